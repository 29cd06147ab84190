#include "control/operator.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "base/counter.h"
#include "base/event.h"
#include "policy/rollout.h"
#include "topology/config.h"

#define FORWARD_TIMEOUT_MS 8000
#define CONFLICT_RETRIES 5
#define OWNER_KEY_HEADER "x-owner-key"

/* an HTTP request that has no response yet */
struct http_request {
    UT_hash_handle hh;
    uint64_t seq;
    mg_operator *o;
    mg_http_req *req;    /* NULL once the client has disconnected */
    int64_t deadline_ms; /* of a forwarded request, else 0 */
};

struct mg_operator {
    mg_control *c;
    uint64_t next_seq;
    struct http_request *pending;
};

/* a posted document that is not applied yet */
struct document_request {
    mg_operator *o;
    const mg_owner *owner; /* owner of the key sent with the document */
    mg_operator_reply_cb reply;
    void *user;
    mg_document doc;
    int attempts;
};

mg_operator *
mg_operator_new(mg_control *c)
{
    mg_operator *o = mg_alloc(sizeof(*o));
    o->c = c;
    return o;
}

void
mg_operator_free(mg_operator *o)
{
    free(o);
}

static void
reply_json(mg_operator_reply_cb reply, void *user, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_SORT_KEYS | JSON_INDENT(2));
    reply(user, status, mg_str_of(text));
    free(text);
    json_decref(body);
}

static void
reply_error(mg_operator_reply_cb reply, void *user, mg_rc rc, const char *text)
{
    reply_json(reply, user, mg_rc_http_status(rc),
               json_pack("{s:s, s:s}", "code", mg_rc_name(rc), "text", text));
}

/* ------------------------------------------------------------- documents */

static const mg_owner *
find_owner(const mg_settings *s, mg_str key)
{
    char hex[MG_HEX_SHA256_SIZE];
    mg_sha256_hex(key, hex);
    const mg_owner *found = NULL;
    for (size_t i = 0; i < s->owner_count; i++) {
        if (mg_str_eq_consttime(mg_str_of(hex),
                                mg_str_of(s->owners[i].key_sha256))) {
            found = &s->owners[i];
        }
    }
    return found;
}

static bool
current_section(const mg_state *state, const char *name,
                mg_rec_section_msg *sec)
{
    mg_str value;
    uint64_t rev;
    mg_msg m;
    if (!mg_state_get(state, MG_RECORD_SECTION, mg_str_of(name), &value,
                      &rev) ||
        mg_msg_decode(value, &m) != MG_OK) {
        return false;
    }
    *sec = m.u.rec_section;
    return true;
}

static bool
is_known_version(const mg_rec_section_msg *cur, const mg_section *s)
{
    mg_msg m;
    mg_str history = cur->history;
    while (mg_msg_next(&history, &m) == MG_OK) {
        if (m.u.section_version.version == (uint64_t)s->version &&
            mg_str_is(m.u.section_version.digest, s->digest)) {
            return true;
        }
    }
    return false;
}

/* reports sections that the owner of the key may not change */
static void
check_section_owners(const mg_state *state, const mg_document *doc,
                     const mg_owner *owner, mg_checker *ck)
{
    ck->path[0] = '\0';
    for (size_t i = 0; i < doc->count; i++) {
        const mg_section *s = &doc->sections[i];
        mg_rec_section_msg cur;
        bool exists = current_section(state, s->name, &cur);
        if (exists && is_known_version(&cur, s)) {
            continue;
        }
        mg_str section_owner = exists ? cur.owner : mg_str_of(s->owner);
        if (strcmp(s->owner, owner->name) != 0 ||
            (exists && !mg_str_is(cur.owner, owner->name))) {
            mg_check_error(ck, NULL, s->name,
                           "section of owner \"%.*s\" can't be changed with "
                           "the key of \"%s\"",
                           MG_STR_FMT(section_owner), owner->name);
        }
    }
}

/* the current document, with its sections replaced by those of a new one */
struct merge {
    mg_config *config;
    const mg_document *doc;
    mg_checker *ck;
};

static bool
has_section(const mg_document *doc, mg_str name)
{
    for (size_t i = 0; i < doc->count; i++) {
        if (mg_str_is(name, doc->sections[i].name)) {
            return true;
        }
    }
    return false;
}

static void
add_unchanged_section(void *user, mg_str key, mg_str value, uint64_t rev)
{
    struct merge *b = user;
    mg_msg m;
    (void)rev;
    if (has_section(b->doc, key) || mg_msg_decode(value, &m) != MG_OK) {
        return;
    }
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), key);
    mg_config_set_section_json(b->config, name, m.u.rec_section.text, b->ck);
}

static void
add_new_section(struct merge *b, const mg_state *state, const mg_section *s)
{
    mg_rec_section_msg cur;
    mg_str text = mg_str_of(s->text);
    /* a version that was accepted before does not change the section */
    if (current_section(state, s->name, &cur) && is_known_version(&cur, s)) {
        text = cur.text;
    }
    mg_config_set_section_json(b->config, s->name, text, b->ck);
}

static void
check_rollout_deadlines(const mg_state *state, const mg_config *config,
                        mg_checker *ck)
{
    int64_t now = mg_wall(mg_system_clock());
    const mg_rollout_plan *m = mg_config_first_rollout(config);
    for (; m != NULL; m = m->hh.next) {
        int64_t start = m->start_wall_ms > now ? m->start_wall_ms : now;
        mg_str value;
        uint64_t rev;
        /* a recorded rollout has started already or is over */
        if (mg_state_get(state, MG_RECORD_POOL_ROLLOUT, mg_str_of(m->name),
                         &value, &rev)) {
            continue;
        }
        if (m->deadline_wall_ms - start < mg_rollout_min_duration_ms()) {
            mg_check_error(
                ck, NULL, "move",
                "\"%s\" can't be completed by its deadline: it needs "
                "at least %" PRId64 " ms, %" PRId64 " ms are left",
                m->name, mg_rollout_min_duration_ms(),
                m->deadline_wall_ms - start);
        }
    }
}

/* checks the document that the state would contain with doc's sections */
static void
check_merged_document(const mg_state *state, const mg_document *doc,
                      mg_checker *ck)
{
    struct merge b = {mg_config_new(), doc, ck};
    mg_state_each(state, MG_RECORD_SECTION, add_unchanged_section, &b);
    for (size_t i = 0; i < doc->count; i++) {
        add_new_section(&b, state, &doc->sections[i]);
    }
    if (ck->error_count == 0) {
        mg_config_verify(b.config, ck);
    }
    if (ck->error_count == 0) {
        check_rollout_deadlines(state, b.config, ck);
    }
    mg_config_free(b.config);
}

static void
document_applied(void *user, const mg_apply_reply *reply);

static void
encode_sections(const mg_document *doc, mg_buf *out)
{
    for (size_t i = 0; i < doc->count; i++) {
        const mg_section *s = &doc->sections[i];
        mg_msg m = {.type = MG_MSG_REC_SECTION};
        m.u.rec_section.name = mg_str_of(s->name);
        m.u.rec_section.owner = mg_str_of(s->owner);
        m.u.rec_section.version = (uint64_t)s->version;
        m.u.rec_section.digest = mg_str_of(s->digest);
        m.u.rec_section.text = mg_str_of(s->text);
        mg_msg_encode(&m, out);
    }
}

static void
free_document_request(struct document_request *d)
{
    mg_document_free(&d->doc);
    free(d);
}

static void
refuse_document(struct document_request *d, mg_rc rc, const char *text)
{
    mg_log(MG_EV_DOC_REFUSED, "code=%s why=%.300s", mg_rc_name(rc), text);
    reply_error(d->reply, d->user, rc, text);
    free_document_request(d);
}

/* checks the document against the current state and proposes it */
static void
propose_document(struct document_request *d)
{
    const mg_state *state = mg_control_state(d->o->c);
    mg_checker ck;
    mg_checker_init(&ck, "document");
    check_section_owners(state, &d->doc, d->owner, &ck);
    mg_rc rc = ck.error_count ? MG_E_NOT_OWNER : MG_OK;
    if (rc == MG_OK) {
        check_merged_document(state, &d->doc, &ck);
        rc = ck.error_count ? MG_E_INPUT : MG_OK;
    }
    if (rc != MG_OK) {
        mg_buf_put(&ck.errors, "", 1);
        refuse_document(d, rc, ck.errors.p);
        mg_checker_free(&ck);
        return;
    }
    mg_checker_free(&ck);
    mg_buf sections = {0};
    encode_sections(&d->doc, &sections);
    mg_msg m = {.type = MG_MSG_CMD_DOCUMENT};
    m.u.cmd_document.base_rev = mg_state_document_rev(state);
    m.u.cmd_document.sections = mg_str_buf(&sections);
    rc = mg_control_propose(d->o->c, &m, document_applied, d);
    mg_buf_free(&sections);
    if (rc != MG_OK) {
        refuse_document(d, rc, "this member is no longer the leader");
    }
}

static void
document_applied(void *user, const mg_apply_reply *reply)
{
    struct document_request *d = user;
    if (reply->rc == MG_E_DOCUMENT_CHANGED &&
        d->attempts++ < CONFLICT_RETRIES) {
        propose_document(d);
        return;
    }
    if (reply->rc != MG_OK) {
        refuse_document(d, reply->rc,
                        reply->text[0] ? reply->text : mg_rc_name(reply->rc));
        return;
    }
    mg_log(MG_EV_DOC_ACCEPTED, "rev=%" PRIu64 " sections=%zu", reply->rev,
           d->doc.count);
    reply_json(
        d->reply, d->user, 200,
        json_pack("{s:s, s:I}", "code", "ok", "rev", (json_int_t)reply->rev));
    free_document_request(d);
}

static void
handle_document(mg_operator *o, const mg_owner *owner, mg_str body,
                mg_operator_reply_cb reply, void *user)
{
    mg_checker ck;
    size_t members;
    size_t live;
    mg_control_count_entries(o->c, &members, &live);
    if (members > 0 && live * 2 <= members) {
        reply_error(reply, user, MG_E_NO_QUORUM,
                    "a majority of the entries must hold leases");
        return;
    }
    struct document_request *d = mg_alloc(sizeof(*d));
    d->o = o;
    d->owner = owner;
    d->reply = reply;
    d->user = user;
    mg_checker_init(&ck, "document");
    mg_rc rc = mg_document_parse(body, "document", &d->doc, &ck);
    if (rc != MG_OK) {
        mg_buf_put(&ck.errors, "", 1);
        refuse_document(d, rc, ck.errors.p);
    }
    else {
        propose_document(d);
    }
    mg_checker_free(&ck);
}

/* ---------------------------------------------------------------- status */

struct listing {
    mg_operator *o;
    json_t *out;
};

static json_t *
json_str(mg_str s)
{
    return json_stringn(s.p ? s.p : "", s.n);
}

static void
list_section(void *user, mg_str key, mg_str value, uint64_t rev)
{
    struct listing *l = user;
    mg_msg m;
    (void)rev;
    if (mg_msg_decode(value, &m) == MG_OK) {
        const mg_rec_section_msg *s = &m.u.rec_section;
        json_array_append_new(
            l->out,
            json_pack("{s:o, s:o, s:I, s:o, s:I}", "section", json_str(key),
                      "owner", json_str(s->owner), "version",
                      (json_int_t)s->version, "digest", json_str(s->digest),
                      "rev", (json_int_t)s->accepted_rev));
    }
}

static void
list_member(void *user, mg_str key, mg_str value, uint64_t rev)
{
    static const char *const leases[] = {"none", "maybe", "live"};
    static const char *const drains[] = {"none", "leaving", "stopped",
                                         "removed"};
    struct listing *l = user;
    mg_msg m;
    char node[MG_NAME_SIZE];
    uint64_t applied;
    (void)rev;
    mg_str_copy(node, sizeof(node), key);
    if (mg_msg_decode(value, &m) != MG_OK) {
        return;
    }
    const mg_rec_member_msg *r = &m.u.rec_member;
    mg_lease_state state =
        mg_control_entry_status(l->o->c, node, r->incarnation, &applied);
    json_array_append_new(
        l->out,
        json_pack("{s:s, s:o, s:o, s:s, s:s, s:I}", "node", node, "http_addr",
                  json_str(r->http_addr), "domain", json_str(r->domain),
                  "lease", leases[state], "drain", drains[r->draining & 3],
                  "rev", (json_int_t)applied));
}

static void
list_pool(void *user, mg_str key, mg_str value, uint64_t rev)
{
    struct listing *l = user;
    mg_msg m;
    (void)rev;
    if (mg_msg_decode(value, &m) == MG_OK) {
        json_array_append_new(
            l->out, json_pack("{s:o, s:o, s:I}", "pool", json_str(key),
                              "holder", json_str(m.u.rec_pool.holder), "epoch",
                              (json_int_t)m.u.rec_pool.epoch));
    }
}

static void
list_rollout(void *user, mg_str key, mg_str value, uint64_t rev)
{
    struct listing *l = user;
    mg_msg m;
    (void)rev;
    if (mg_msg_decode(value, &m) == MG_OK) {
        const mg_rec_move_msg *r = &m.u.rec_move;
        json_array_append_new(
            l->out,
            json_pack("{s:o, s:o, s:s, s:I, s:I, s:o}", "move", json_str(key),
                      "pool", json_str(r->pool), "state",
                      mg_rollout_state_name((mg_rollout_state_id)r->state),
                      "share_permille", (json_int_t)r->share_permille,
                      "changed_wall_ms", (json_int_t)r->wall_ms, "reason",
                      json_str(r->reason)));
    }
}

static void
list_credit(void *user, const char *member, uint64_t count)
{
    json_object_set_new(user, member, json_integer((json_int_t)count));
}

static json_t *
list_kind(mg_operator *o, mg_record_kind kind,
          void (*f)(void *user, mg_str key, mg_str value, uint64_t rev))
{
    struct listing l = {o, json_array()};
    mg_state_each(mg_control_state(o->c), kind, f, &l);
    return l.out;
}

static json_t *
status_json(mg_operator *o)
{
    const mg_raft *r = mg_control_raft(o->c);
    const mg_state *s = mg_control_state(o->c);
    return json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o}",
                     "leader", mg_control_leader(o->c), "term",
                     (json_int_t)mg_raft_term(r), "commit",
                     (json_int_t)mg_raft_commit_index(r), "rev",
                     (json_int_t)mg_state_rev(s), "document_rev",
                     (json_int_t)mg_state_document_rev(s), "in_force_rev",
                     (json_int_t)mg_control_in_force_rev(o->c), "claims",
                     (json_int_t)mg_state_claim_count(s), "sections",
                     list_kind(o, MG_RECORD_SECTION, list_section), "entries",
                     list_kind(o, MG_RECORD_MEMBER, list_member), "pools",
                     list_kind(o, MG_RECORD_POOL, list_pool));
}

static json_t *
credits_json(mg_operator *o)
{
    json_t *out = json_object();
    mg_state_each_credit(mg_control_state(o->c), list_credit, out);
    return json_pack("{s:o}", "credits", out);
}

/* --------------------------------------------------------------- draining */

struct drain_request {
    mg_operator_reply_cb reply;
    void *user;
};

static void
drain_recorded(void *user, const mg_apply_reply *reply)
{
    struct drain_request *d = user;
    if (reply->rc == MG_OK) {
        reply_json(d->reply, d->user, 200, json_pack("{s:s}", "code", "ok"));
    }
    else {
        reply_error(d->reply, d->user, reply->rc,
                    "the command may not have been applied, try again");
    }
    free(d);
}

static void
set_draining(mg_operator *o, mg_str node, mg_drain_state to,
             mg_operator_reply_cb reply, void *user)
{
    mg_str value;
    uint64_t rev;
    mg_msg rec;
    if (!mg_state_get(mg_control_state(o->c), MG_RECORD_MEMBER, node, &value,
                      &rev) ||
        mg_msg_decode(value, &rec) != MG_OK) {
        reply_error(reply, user, MG_E_NOT_FOUND, "no such entry");
        return;
    }
    char name[MG_NAME_SIZE];
    uint64_t applied;
    mg_str_copy(name, sizeof(name), node);
    if (to == MG_DRAIN_REMOVED &&
        mg_control_entry_status(o->c, name, rec.u.rec_member.incarnation,
                                &applied) != MG_LEASE_NONE) {
        reply_error(reply, user, MG_E_VERSION_CONFLICT,
                    "the entry may hold a lease: drain or stop it first");
        return;
    }
    mg_buf data = {0};
    rec.u.rec_member.draining = to;
    mg_msg_encode(&rec, &data);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_RECORD_MEMBER;
    put.u.cmd_put.key = mg_str_of(name);
    put.u.cmd_put.expect_rev = rev;
    put.u.cmd_put.value = mg_str_buf(&data);
    struct drain_request *d = mg_alloc(sizeof(*d));
    *d = (struct drain_request){reply, user};
    if (mg_control_propose(o->c, &put, drain_recorded, d) != MG_OK) {
        free(d);
        reply_error(reply, user, MG_E_NO_LEADER,
                    "this member is not the leader");
    }
    mg_buf_free(&data);
}

/* --------------------------------------------------------------- routing */

/* whether path is prefix, a non-empty part and suffix; *part is set to it */
static bool
match_path(mg_str path, const char *prefix, const char *suffix, mg_str *part)
{
    size_t a = strlen(prefix);
    size_t b = strlen(suffix);
    if (path.n <= a + b || memcmp(path.p, prefix, a) != 0 ||
        memcmp(path.p + path.n - b, suffix, b) != 0) {
        return false;
    }
    *part = (mg_str){path.p + a, path.n - a - b};
    return true;
}

void
mg_operator_handle(mg_operator *o, mg_str method, mg_str path, mg_str key,
                   mg_str body, mg_operator_reply_cb reply, void *user)
{
    bool get = mg_str_is(method, "GET");
    mg_str node;
    if (!mg_raft_ready(mg_control_raft(o->c))) {
        reply_error(reply, user, MG_E_NO_LEADER, "no leader yet, try again");
        return;
    }
    if (get && mg_str_is(path, "/v1/status")) {
        reply_json(reply, user, 200, status_json(o));
        return;
    }
    const mg_owner *owner = find_owner(mg_control_settings(o->c), key);
    if (owner == NULL) {
        reply_error(reply, user, MG_E_WRONG_KEY,
                    "the key belongs to no owner");
    }
    else if (get && mg_str_is(path, "/v1/moves")) {
        reply_json(
            reply, user, 200,
            json_pack("{s:o}", "moves",
                      list_kind(o, MG_RECORD_POOL_ROLLOUT, list_rollout)));
    }
    else if (get && mg_str_is(path, "/v1/credits")) {
        reply_json(reply, user, 200, credits_json(o));
    }
    else if (!get && mg_str_is(path, "/v1/document")) {
        handle_document(o, owner, body, reply, user);
    }
    else if (!get && match_path(path, "/v1/members/", "/remove", &node)) {
        set_draining(o, node, MG_DRAIN_REMOVED, reply, user);
    }
    else if (!get && match_path(path, "/v1/members/", "/drain", &node)) {
        set_draining(o, node, MG_DRAIN_DRAINING, reply, user);
    }
    else {
        reply_error(reply, user, MG_E_NOT_FOUND, "no such operation");
    }
}

/* -------------------------------------------------------------- HTTP port */

static void
finish_request(struct http_request *p, int status, mg_str body)
{
    HASH_DEL(p->o->pending, p);
    if (p->req != NULL) {
        mg_http_on_disconnect(p->req, NULL, NULL);
        mg_http_reply(p->req, status, "application/json", NULL, body);
    }
    free(p);
}

static void
reply_http(void *user, int status, mg_str body)
{
    finish_request(user, status, body);
}

static void
on_client_disconnect(void *user)
{
    ((struct http_request *)user)->req = NULL;
}

void
mg_operator_tick(mg_operator *o)
{
    struct http_request *p;
    struct http_request *p1;
    int64_t now = mg_now(mg_system_clock());
    static const char text[] = "{\"code\": \"no_leader\", \"text\": "
                               "\"the leader did not respond; the change may "
                               "have been accepted, retry it\"}";
    HASH_ITER(hh, o->pending, p, p1)
    {
        if (p->deadline_ms != 0 && now >= p->deadline_ms) {
            finish_request(p, mg_rc_http_status(MG_E_NO_LEADER),
                           mg_str_of(text));
        }
    }
}

static void
print_metrics(mg_http_req *req)
{
    mg_buf out = {0};
    mg_metrics_print(&out);
    mg_http_reply(req, 200, "text/plain", NULL, mg_str_buf(&out));
    mg_buf_free(&out);
}

static struct http_request *
new_request(mg_operator *o, mg_http_req *req)
{
    struct http_request *p = mg_alloc(sizeof(*p));
    p->seq = ++o->next_seq;
    p->o = o;
    p->req = req;
    HASH_ADD(hh, o->pending, seq, sizeof(p->seq), p);
    mg_http_on_disconnect(req, on_client_disconnect, p);
    return p;
}

static void
forward_request(mg_operator *o, mg_http_req *req, struct http_request *p)
{
    mg_msg m = {.type = MG_MSG_OPERATOR};
    m.u.operator_req.seq = p->seq;
    m.u.operator_req.method = mg_http_method(req);
    m.u.operator_req.path = mg_http_path(req);
    m.u.operator_req.key = mg_http_header(req, OWNER_KEY_HEADER);
    m.u.operator_req.body = mg_http_body(req);
    p->deadline_ms = mg_now(mg_system_clock()) + FORWARD_TIMEOUT_MS;
    if (mg_control_forward(o->c, &m) != MG_OK) {
        reply_error(reply_http, p, MG_E_NO_LEADER,
                    "no leader is known, try again");
    }
}

void
mg_operator_on_request(void *user, mg_http_req *req)
{
    mg_operator *o = user;
    if (mg_str_is(mg_http_path(req), "/metrics")) {
        print_metrics(req);
        return;
    }
    struct http_request *p = new_request(o, req);
    if (mg_raft_get_role(mg_control_raft(o->c)) == MG_RAFT_LEADER) {
        mg_operator_handle(o, mg_http_method(req), mg_http_path(req),
                           mg_http_header(req, OWNER_KEY_HEADER),
                           mg_http_body(req), reply_http, p);
    }
    else {
        forward_request(o, req, p);
    }
}

void
mg_operator_on_forward_reply(mg_operator *o, const mg_operator_rep_msg *m)
{
    struct http_request *p;
    HASH_FIND(hh, o->pending, &m->seq, sizeof(m->seq), p);
    if (p != NULL) {
        finish_request(p, (int)m->status, m->body);
    }
}
