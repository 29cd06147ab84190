/*
 * front - HTTP interface for clients and targets: request validation,
 * admission, announcements, status
 */
#include "entry/entry_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/counter.h"
#include "base/event.h"

#define BYTES_PER_TOKEN 4
#define DECODE_DEFAULT 256
#define DECODE_MAX 100000
#define PREFIX_BYTES 256
#define DEADLINE_MAX_MS 86400000
#define ANNOUNCE_TIMEOUT_MS 1000
#define RETRY_AFTER_MS 500
#define SLOTS_MAX 4096
#define SERVICES "/v1/services/"

/* ---------------------------------------------------------------- refusals */

void
mg_front_refuse(mg_http_req *http, mg_rc rc, mg_ran ran, int64_t retry_ms,
                const char *text)
{
    char extra[64] = "";
    json_t *body = json_pack("{s:{s:s, s:s}}", "error", "code", mg_rc_name(rc),
                             "ran", mg_ran_name(ran));
    if (text != NULL) {
        json_object_set_new(json_object_get(body, "error"), "text",
                            json_string(text));
    }
    if (retry_ms > 0) {
        snprintf(extra, sizeof(extra), "retry-after: %" PRId64 "\n",
                 (retry_ms + 999) / 1000);
    }
    char *out = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    mg_http_reply(http, mg_rc_http_status(rc), "application/json", extra,
                  mg_str_of(out));
    free(out);
    json_decref(body);
}

static void
refuse_input(mg_http_req *http, mg_rc rc, const char *text)
{
    mg_log(MG_EV_BAD_INPUT, "path=%.*s code=%s why=%s",
           (int)(mg_http_path(http).n < 64 ? mg_http_path(http).n : 64),
           mg_http_path(http).p, mg_rc_name(rc), text);
    mg_count(MG_C_BAD_INPUT, 1);
    mg_front_refuse(http, rc, MG_RAN_NO, 0, text);
}

static void
refuse_early(mg_http_req *http, const mg_request_params *params, mg_rc rc)
{
    /* an earlier attempt with this key may have run: see request.c */
    mg_ran ran = params->key[0] ? MG_RAN_UNKNOWN : MG_RAN_NO;
    mg_log(MG_EV_REQ_REFUSED,
           "id=0 workspace=%s pool=%s tier=%u code=%s ran=%s",
           params->workspace, params->pool, params->tier, mg_rc_name(rc),
           mg_ran_name(ran));
    mg_count(MG_C_REFUSED, 1);
    mg_front_refuse(http, rc, ran, RETRY_AFTER_MS, NULL);
}

/* --------------------------------------------------------------- admission */

static bool
starts_with(mg_str s, const char *prefix)
{
    size_t n = strlen(prefix);
    return s.n >= n && memcmp(s.p, prefix, n) == 0;
}

static const char *
read_workspace(mg_entry *e, mg_http_req *http, mg_request_params *params)
{
    mg_str key = mg_http_header(http, "authorization");
    if (starts_with(key, "Bearer ")) {
        key.p += 7;
        key.n -= 7;
    }
    const mg_config *c = mg_view_config(e->view);
    const mg_workspace *w = mg_config_workspace_by_key(c, key);
    if (w == NULL) {
        return "no workspace has this API key";
    }
    const mg_tier *t = mg_config_tier(c, w->tier);
    if (t == NULL) {
        return "the tier of the workspace does not exist";
    }
    mg_str_copy(params->workspace, sizeof(params->workspace),
                mg_str_of(w->name));
    mg_str_copy(params->member, sizeof(params->member), mg_str_of(w->member));
    params->tier = (unsigned)t->rank;
    params->weight = (uint32_t)w->weight;
    params->deadline_ms = t->deadline_ms;
    return NULL;
}

/* parses an integer from 1 to max; 0 if s is not one */
static int64_t
parse_count(mg_str s, int64_t max)
{
    int64_t v = 0;
    if (s.n == 0 || s.n > 12) {
        return 0;
    }
    for (size_t i = 0; i < s.n; i++) {
        if (s.p[i] < '0' || s.p[i] > '9') {
            return 0;
        }
        v = v * 10 + (s.p[i] - '0');
    }
    return v <= max ? v : 0;
}

static bool
is_header_text(mg_str s)
{
    for (size_t i = 0; i < s.n; i++) {
        if (s.p[i] < 0x21 || s.p[i] > 0x7e) {
            return false;
        }
    }
    return true;
}

static const char *
read_headers(mg_http_req *http, mg_request_params *params)
{
    mg_str key = mg_http_header(http, "idempotency-key");
    mg_str deadline = mg_http_header(http, "x-deadline-ms");
    if (key.n > 200 || !is_header_text(key)) {
        return "idempotency-key: expected at most 200 printable ASCII "
               "characters without spaces";
    }
    mg_str_copy(params->key, sizeof(params->key), key);
    if (deadline.n > 0) {
        params->deadline_ms = parse_count(deadline, DEADLINE_MAX_MS);
        if (params->deadline_ms == 0) {
            return "x-deadline-ms: expected an integer from 1 to 86400000";
        }
    }
    return NULL;
}

/* appends the text of a prompt or of messages */
static void
add_text(json_t *v, mg_buf *out)
{
    size_t i;
    json_t *item;
    const char *key;
    if (json_is_string(v)) {
        mg_buf_put(out, json_string_value(v), json_string_length(v));
    }
    else if (json_is_array(v)) {
        json_array_foreach(v, i, item)
        {
            add_text(item, out);
        }
    }
    else if (json_is_object(v)) {
        json_object_foreach(v, key, item)
        {
            if (strcmp(key, "content") == 0 || strcmp(key, "text") == 0) {
                add_text(item, out);
            }
        }
    }
}

static const char *
measure_prompt(json_t *body, mg_request_params *params)
{
    mg_buf text = {0};
    add_text(json_object_get(body, "messages"), &text);
    add_text(json_object_get(body, "prompt"), &text);
    params->prefill = (uint32_t)(text.n / BYTES_PER_TOKEN + 1);
    if (text.n >= PREFIX_BYTES) {
        params->prefix = mg_hash_pair(mg_str_of(params->workspace),
                                      (mg_str){text.p, PREFIX_BYTES});
    }
    mg_buf_free(&text);
    json_t *max = json_object_get(body, "max_tokens");
    params->decode = DECODE_DEFAULT;
    if (max != NULL) {
        json_int_t n = json_integer_value(max);
        if (!json_is_integer(max) || n < 1 || n > DECODE_MAX) {
            return "max_tokens: expected an integer from 1 to 100000";
        }
        params->decode = (uint32_t)n;
    }
    return NULL;
}

static const char *
read_completion(mg_http_req *http, mg_request_params *params)
{
    mg_str body = mg_http_body(http);
    json_error_t je;
    static char why[JSON_ERROR_TEXT_LENGTH + 64];
    json_t *tree = json_loadb(body.p ? body.p : "", body.n, 0, &je);
    if (!json_is_object(tree)) {
        snprintf(why, sizeof(why), "body: expected a JSON object: %s",
                 tree ? "found another type" : je.text);
        json_decref(tree);
        return why;
    }
    const char *model = json_string_value(json_object_get(tree, "model"));
    const char *error = "model: expected a name";
    if (model != NULL && strlen(model) < MG_NAME_SIZE) {
        mg_str_copy(params->pool, sizeof(params->pool), mg_str_of(model));
        params->stream = json_is_true(json_object_get(tree, "stream"));
        error = measure_prompt(tree, params);
    }
    json_decref(tree);
    return error;
}

static const char *
read_service(mg_http_req *http, mg_request_params *params)
{
    mg_str path = mg_http_path(http);
    size_t prefix_size = strlen(SERVICES);
    mg_str rest;
    mg_str name = mg_str_split(
        (mg_str){path.p + prefix_size, path.n - prefix_size}, '/', &rest);
    if (name.n == 0 || name.n >= MG_NAME_SIZE) {
        return "path: expected /v1/services/NAME";
    }
    mg_str_copy(params->pool, sizeof(params->pool), name);
    params->prefill = (uint32_t)(mg_http_body(http).n / BYTES_PER_TOKEN);
    params->decode = 1;
    return NULL;
}

static mg_rc
read_pool(mg_entry *e, mg_http_req *http, mg_request_params *params,
          bool service, const char **why)
{
    const mg_pool *p =
        mg_config_pool(mg_view_config(e->view), mg_str_of(params->pool));
    bool is_service = p != NULL && strcmp(p->kind, "service") == 0;
    if (p == NULL || is_service != service) {
        *why = service ? "no such service" : "no such model";
        return MG_E_NOT_FOUND;
    }
    params->engine = !service;
    bool non_idempotent =
        !p->idempotent || mg_http_header(http, "x-non-idempotent").n > 0;
    if (non_idempotent && params->key[0] == '\0') {
        *why = "a non-idempotent request requires the header "
               "idempotency-key";
        return MG_E_KEY_REQUIRED;
    }
    return MG_OK;
}

static void
set_fingerprints(mg_http_req *http, mg_request_params *params)
{
    mg_str path = mg_http_path(http);
    mg_str body = mg_http_body(http);
    mg_buf all = {0};
    mg_buf_put(&all, path.p, path.n);
    mg_buf_put(&all, "\n", 1);
    mg_buf_put(&all, body.p, body.n);
    mg_sha256_hex(mg_str_buf(&all), params->digest);
    params->fingerprint =
        mg_hash_pair(mg_str_of(params->workspace), mg_str_buf(&all)) | 1;
    mg_buf_free(&all);
    mg_str_copy(params->route, sizeof(params->route), path);
    mg_str_copy(params->path, sizeof(params->path), path);
}

/* lower tiers have lower limits, so that they cannot shut out higher ones */
static bool
has_capacity(mg_entry *e, unsigned tier)
{
    size_t max = (size_t)e->settings.requests_max;
    if (e->open_requests <
        max * (2 * MG_TIER_MAX - tier) / (2 * MG_TIER_MAX)) {
        return true;
    }
    return mg_request_shed_lower_tier(e, tier);
}

static void
admit(mg_entry *e, mg_http_req *http, bool service)
{
    mg_request_params params = {0};
    mg_count(MG_C_REQUESTS, 1);
    const char *why = read_workspace(e, http, &params);
    if (why != NULL) {
        refuse_input(http, MG_E_WRONG_KEY, why);
        return;
    }
    why = read_headers(http, &params);
    if (why == NULL) {
        why = service ? read_service(http, &params)
                      : read_completion(http, &params);
    }
    if (why != NULL) {
        refuse_input(http, MG_E_INPUT, why);
        return;
    }
    mg_rc rc = read_pool(e, http, &params, service, &why);
    if (rc != MG_OK) {
        refuse_input(http, rc, why);
        return;
    }
    if (mg_http_path(http).n >= sizeof(params.path)) {
        refuse_input(http, MG_E_TOO_LARGE, "path: too long");
        return;
    }
    params.deadline_ms += mg_now(e->clock);
    set_fingerprints(http, &params);
    if (e->stage == MG_STAGE_FINISHING) {
        refuse_early(http, &params, MG_E_DRAINING);
    }
    else if (!mg_entry_serving(e)) {
        refuse_early(http, &params, MG_E_NO_LEASE);
    }
    else if (!has_capacity(e, params.tier)) {
        refuse_early(http, &params, MG_E_OVERLOAD);
    }
    else {
        mg_request_begin(e, http, &params);
    }
}

/* ----------------------------------------------------------- announcements */

static void
announcer_gone(void *user)
{
    ((mg_pending_announcement *)user)->http = NULL;
}

static void
finish_announcement(mg_pending_announcement *an, mg_rc rc, uint64_t lease_ms)
{
    HASH_DEL(an->e->announcements, an);
    if (an->http != NULL) {
        mg_http_on_disconnect(an->http, NULL, NULL);
        if (rc == MG_OK) {
            char body[64];
            snprintf(body, sizeof(body), "{\"lease_ms\": %" PRIu64 "}",
                     lease_ms);
            mg_http_reply(an->http, 200, "application/json", NULL,
                          mg_str_of(body));
        }
        else {
            mg_front_refuse(an->http, rc, MG_RAN_NO, RETRY_AFTER_MS, NULL);
        }
    }
    free(an);
}

void
mg_front_announce_rep(mg_entry *e, const mg_announce_rep_msg *m)
{
    mg_pending_announcement *an;
    HASH_FIND(hh, e->announcements, &m->seq, sizeof(m->seq), an);
    if (an != NULL) {
        finish_announcement(an, (mg_rc)m->rc, m->lease_ms);
    }
}

void
mg_front_tick(mg_entry *e)
{
    int64_t now = mg_now(e->clock);
    mg_pending_announcement *an;
    mg_pending_announcement *an1;
    HASH_ITER(hh, e->announcements, an, an1)
    {
        if (now >= an->deadline_ms) {
            finish_announcement(an, MG_E_NO_LEASE, 0);
        }
    }
}

struct announce_body {
    char pool[MG_NAME_SIZE];
    char target[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE];
    char version[MG_NAME_SIZE];
    char domain[MG_NAME_SIZE];
    int64_t epoch;
    int64_t slots;
    int64_t tokens_max;
    bool leaving;
    int64_t running;
    int64_t queued;
    int64_t report_age_ms;
};

static const mg_key_spec announce_keys[] = {
    {"pool", MG_KEY_NAME, true, offsetof(struct announce_body, pool), 0, 0,
     NULL},
    {"target", MG_KEY_NAME, true, offsetof(struct announce_body, target), 0, 0,
     NULL},
    {"addr", MG_KEY_ADDR, true, offsetof(struct announce_body, addr), 0, 0,
     NULL},
    {"version", MG_KEY_NAME, true, offsetof(struct announce_body, version), 0,
     0, NULL},
    {"domain", MG_KEY_NAME, false, offsetof(struct announce_body, domain), 0,
     0, NULL},
    {"epoch", MG_KEY_INT, true, offsetof(struct announce_body, epoch), 1, 9e15,
     NULL},
    {"slots", MG_KEY_INT, true, offsetof(struct announce_body, slots), 1,
     SLOTS_MAX, NULL},
    {"tokens_max", MG_KEY_INT, false,
     offsetof(struct announce_body, tokens_max), 0, 1e9, NULL},
    {"leaving", MG_KEY_BOOL, false, offsetof(struct announce_body, leaving), 0,
     0, NULL},
    {"running", MG_KEY_INT, false, offsetof(struct announce_body, running), 0,
     1e6, NULL},
    {"queued", MG_KEY_INT, false, offsetof(struct announce_body, queued), 0,
     1e6, NULL},
    {"report_age_ms", MG_KEY_INT, false,
     offsetof(struct announce_body, report_age_ms), 0, 1e9, NULL},
    {0}};

static void
forward_announcement(mg_entry *e, mg_http_req *http,
                     const struct announce_body *t)
{
    mg_msg m = {.type = MG_MSG_ANNOUNCE};
    mg_pending_announcement *an = mg_alloc(sizeof(*an));
    an->seq = ++e->next_seq;
    an->e = e;
    an->http = http;
    an->deadline_ms = mg_now(e->clock) + ANNOUNCE_TIMEOUT_MS;
    HASH_ADD(hh, e->announcements, seq, sizeof(an->seq), an);
    mg_http_on_disconnect(http, announcer_gone, an);
    m.u.announce.seq = an->seq;
    m.u.announce.pool = mg_str_of(t->pool);
    m.u.announce.target = mg_str_of(t->target);
    m.u.announce.addr = mg_str_of(t->addr);
    m.u.announce.version = mg_str_of(t->version);
    m.u.announce.domain = mg_str_of(t->domain);
    m.u.announce.epoch = (uint64_t)t->epoch;
    m.u.announce.slots = (uint64_t)t->slots;
    m.u.announce.tokens_max = (uint64_t)t->tokens_max;
    m.u.announce.leaving = t->leaving;
    m.u.announce.running = (uint64_t)t->running;
    m.u.announce.queued = (uint64_t)t->queued;
    m.u.announce.report_age_ms = (uint64_t)t->report_age_ms;
    if (mg_pools_send(e, t->pool, &m) != MG_OK) {
        finish_announcement(an, MG_E_NO_LEASE, 0);
    }
}

static void
handle_announce(mg_entry *e, mg_http_req *http)
{
    struct announce_body t = {0};
    mg_checker ck;
    mg_str body = mg_http_body(http);
    if (!mg_str_eq_consttime(mg_http_header(http, "x-target-key"),
                             mg_str_of(e->settings.target_key))) {
        refuse_input(http, MG_E_WRONG_KEY, "x-target-key: missing or wrong");
        return;
    }
    json_t *tree = json_loadb(body.p ? body.p : "", body.n, 0, NULL);
    mg_checker_init(&ck, "body");
    if (!json_is_object(tree)) {
        mg_check_error(&ck, NULL, NULL, "expected a JSON object");
    }
    else {
        mg_check_table(&ck, tree, NULL, announce_keys, &t);
    }
    json_decref(tree);
    if (ck.error_count > 0) {
        mg_buf_put(&ck.errors, "", 1);
        refuse_input(http, MG_E_INPUT, ck.errors.p);
    }
    else if (mg_config_pool(mg_view_config(e->view), mg_str_of(t.pool)) ==
             NULL) {
        mg_front_refuse(http, MG_E_NOT_FOUND, MG_RAN_NO, RETRY_AFTER_MS,
                        "no such pool");
    }
    else {
        forward_announcement(e, http, &t);
    }
    mg_checker_free(&ck);
}

/* ------------------------------------------------------------------ status */

static void
reply_addresses(mg_entry *e, mg_http_req *http)
{
    mg_buf out = {0};
    mg_http_reply(http, 200, "application/json", NULL,
                  mg_entry_addresses(e, &out));
    mg_buf_free(&out);
}

static void
reply_metrics(mg_http_req *http)
{
    mg_buf out = {0};
    mg_metrics_print(&out);
    mg_http_reply(http, 200, "text/plain", NULL, mg_str_buf(&out));
    mg_buf_free(&out);
}

static json_t *
sched_json(const mg_sched *s)
{
    json_t *targets = json_array();
    list_for_each(el, mg_sched_targets(s))
    {
        const mg_target *t = list_entry(el, mg_target, link);
        json_array_append_new(
            targets, json_pack("{s:s, s:s, s:I, s:i, s:i, s:b, s:f, s:f}",
                               "target", t->name, "version", t->version,
                               "epoch", (json_int_t)t->epoch, "running",
                               (int)t->running, "slots", (int)t->slots_max,
                               "leaving", t->draining, "first_per_token_ms",
                               t->first_per_token, "gap_ms", t->gap_ms));
    }
    return json_pack("{s:s, s:I, s:I, s:I, s:b, s:o}", "pool",
                     mg_sched_pool(s), "epoch", (json_int_t)mg_sched_epoch(s),
                     "waiting", (json_int_t)mg_sched_waiting(s), "running",
                     (json_int_t)mg_sched_running(s), "rebuilding",
                     mg_sched_rebuilding(s), "targets", targets);
}

static void
reply_status(mg_entry *e, mg_http_req *http)
{
    static const char *const stages[] = {"serving", "leaving", "finishing"};
    json_t *scheds = json_array();
    for (mg_local_sched *ls = e->scheds; ls != NULL; ls = ls->hh.next) {
        json_array_append_new(scheds, sched_json(ls->sched));
    }
    json_t *body = json_pack(
        "{s:s, s:b, s:b, s:s, s:I, s:I, s:o}", "node", e->settings.node,
        "leased", mg_control_link_leased(e->control), "serving",
        mg_entry_serving(e), "stage", stages[e->stage], "rev",
        (json_int_t)mg_view_rev(e->view), "open_requests",
        (json_int_t)e->open_requests, "schedulers", scheds);
    char *text = json_dumps(body, JSON_INDENT(2) | JSON_SORT_KEYS);
    mg_http_reply(http, 200, "application/json", NULL, mg_str_of(text));
    free(text);
    json_decref(body);
}

void
mg_front_on_request(void *user, mg_http_req *http)
{
    mg_entry *e = user;
    mg_str path = mg_http_path(http);
    if (mg_str_is(mg_http_method(http), "POST")) {
        if (mg_str_is(path, "/v1/chat/completions") ||
            mg_str_is(path, "/v1/completions")) {
            admit(e, http, false);
            return;
        }
        if (starts_with(path, SERVICES)) {
            admit(e, http, true);
            return;
        }
        if (mg_str_is(path, "/v1/targets/announce")) {
            handle_announce(e, http);
            return;
        }
    }
    else if (mg_str_is(mg_http_method(http), "GET")) {
        if (mg_str_is(path, "/v1/entries")) {
            reply_addresses(e, http);
            return;
        }
        if (mg_str_is(path, "/metrics")) {
            reply_metrics(http);
            return;
        }
        if (mg_str_is(path, "/status")) {
            reply_status(e, http);
            return;
        }
    }
    refuse_input(http, MG_E_NOT_FOUND, "no such path");
}
