#include "gateway/relay.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/addr.h"
#include "base/counter.h"
#include "base/event.h"

/* failed connections of a request after which another entry is tried although
   this one isn't cut off: its old connections may live on */
#define CONNECT_FAILURES_MAX 2
/* entries that are tried for a request until one accepts the connection */
#define ATTEMPTS_MAX 3
/* likewise, until one doesn't refuse it: the first may drain, or be cut off
   since its last report */
#define REFUSED_ATTEMPTS_MAX 2
#define STATUS_UNAVAILABLE 503
#define CONNECT_MS 300
#define PROBE_MS 400
#define PROBE_INTERVAL_MS 500

static int64_t
now_of(const mg_flow *f)
{
    return mg_now(f->gw->opts.clock);
}

static bool
reaches(const mg_gw_peer *p, uint64_t service)
{
    for (size_t i = 0; i < p->reached_count; i++) {
        if (p->reached[i] == service) {
            return true;
        }
    }
    return false;
}

/* an entry that reaches f's service, drawn at random, but not the one that f
   was last passed on through; NULL if there is none */
static const mg_gw_peer *
choose_entry(const mg_flow *f)
{
    uint64_t service = mg_hash(mg_str_of(f->pool->service));
    const mg_gw_peer *chosen = NULL;
    uint32_t count = 0;
    for (const mg_gw_peer *p = f->gw->peers; p != NULL; p = p->hh.next) {
        if (p->counted && reaches(p, service) &&
            strcmp(p->node, f->relay) != 0 &&
            mg_rng_below(&f->gw->rng, ++count) == 0) {
            chosen = p;
        }
    }
    return chosen;
}

bool
mg_relay_wanted(const mg_flow *f)
{
    /* the other entry allows as many attempts as the route does, so none may
       have been used here */
    return f->gw->opts.relay_port != 0 && !f->is_relayed &&
           f->possible_runs == 0 && f->relay_attempts == 0 &&
           (f->pool->cut || f->connect_failures >= CONNECT_FAILURES_MAX) &&
           choose_entry(f) != NULL;
}

/* ------------------------------------------------------------- channel */

static mg_channel *
connect_to(mg_gateway *gw, const char *node, mg_channel_callbacks *cb)
{
    char addr[MG_NAME_SIZE + 8];
    mg_channel_options opts = {.loop = gw->opts.loop};
    snprintf(addr, sizeof(addr), "%s:%u", node, gw->opts.relay_port);
    if (mg_addr_parse(addr, &opts.addr) != MG_OK) {
        return NULL;
    }
    return mg_channel_new(&opts, cb);
}

/* --------------------------------------------------------------- flow */

static void
on_connected(mg_channel_callbacks *cb)
{
    mg_flow *f = (mg_flow *)cb;
    mg_dialect *d = f->gw->opts.dialect;
    mg_buf headers = {0};
    int64_t now = now_of(f);
    int64_t left = f->request.timeout_ms < 0
                       ? -1
                       : f->request.timeout_ms - (now - f->arrived_ms);
    d->put_relayed(d, &f->request, left, &headers);
    f->state = MG_FLOW_RELAYED;
    f->sends++;
    f->possible_runs++;
    f->sent_ms = now;
    mg_log(MG_EV_REQ_RELAYED,
           "id=%.*s entry=%s service=%s attempts=%u cut=%d "
           "connect_failures=%u sends=%u waited_ms=%" PRId64
           " left_ms=%" PRId64,
           MG_STR_FMT(f->request.id), f->relay, f->pool->service,
           f->relay_attempts, f->pool->cut, f->connect_failures, f->sends,
           now - f->arrived_ms, left);
    mg_flow_set_timer(f, f->deadline_ms);
    mg_channel_send(f->channel, mg_str_buf(&headers),
                    mg_http_body(f->request.http), mg_flow_is_head(f));
    mg_buf_free(&headers);
}

/* whether an entry that refuses with this status states that it has not run
   the request */
static bool
states_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static mg_channel_action
on_headers(mg_channel_callbacks *cb, const mg_h1_headers *headers)
{
    mg_flow *f = (mg_flow *)cb;
    mg_dialect *d = f->gw->opts.dialect;
    mg_response_head res = {0};
    d->read_response(d, headers, &res);
    f->status = headers->status;
    /* responses of targets bear the attempt id, those of entries don't */
    f->not_run = states_not_run(res.status) && res.id.n == 0;
    f->streaming = headers->chunked && !mg_flow_is_head(f);
    f->close_delimited = mg_flow_is_close_delimited(f, headers);
    mg_flow_save_headers(f, headers);
    if (f->streaming || f->close_delimited) {
        f->response_started = true;
        f->first_byte_ms = now_of(f);
        mg_flow_start_response(f);
    }
    return MG_CHANNEL_ACCEPT;
}

static void
on_data(mg_channel_callbacks *cb, mg_str data)
{
    mg_flow *f = (mg_flow *)cb;
    if (f->response_started) {
        mg_http_write(f->request.http, data);
    }
    else {
        mg_buf_put(&f->body, data.p, data.n);
    }
    mg_flow_hold_response(f);
}

/* sends a response that was held */
static void
send_whole(mg_flow *f)
{
    f->first_byte_ms = now_of(f);
    mg_flow_log_response(f, f->relay);
    mg_flow_send_buffered(f);
    mg_flow_finish(f);
}

static void
try_entry(mg_flow *f);

/* the other entry has not run the request */
static void
after_refusal(mg_flow *f)
{
    f->possible_runs--;
    if (f->status == STATUS_UNAVAILABLE &&
        f->relay_attempts < REFUSED_ATTEMPTS_MAX && choose_entry(f) != NULL) {
        f->body.n = 0;
        try_entry(f);
    }
    else {
        send_whole(f);
    }
}

static void
on_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    mg_flow *f = (mg_flow *)cb;
    mg_flow_channel_ended(f);
    if (result == MG_CHANNEL_CONNECT_FAILED) {
        try_entry(f);
        return;
    }
    if (result != MG_CHANNEL_COMPLETE) {
        mg_flow_fail(f, "relay_broke_off");
        return;
    }
    if (f->not_run && !f->response_started) {
        after_refusal(f);
        return;
    }
    if (!f->response_started) {
        send_whole(f);
        return;
    }
    mg_flow_log_response(f, f->relay);
    mg_http_finish(f->request.http);
    mg_flow_finish(f);
}

static void
try_entry(mg_flow *f)
{
    const mg_gw_peer *p =
        f->relay_attempts < ATTEMPTS_MAX ? choose_entry(f) : NULL;
    if (p == NULL) {
        mg_flow_fail(f, "no_entry");
        return;
    }
    f->state = MG_FLOW_RELAY_CONNECTING;
    f->relay_attempts++;
    mg_str_copy(f->relay, sizeof(f->relay), mg_str_of(p->node));
    int64_t until = now_of(f) + CONNECT_MS;
    mg_flow_set_timer(f, until < f->deadline_ms ? until : f->deadline_ms);
    f->channel = connect_to(f->gw, f->relay, &f->callbacks);
    if (f->channel == NULL) {
        mg_flow_fail(f, "no_entry");
    }
}

/* a connection to another entry takes too long: tries one more */
static void
on_timeout(mg_flow *f)
{
    mg_flow_close_channel(f);
    try_entry(f);
}

void
mg_relay_start(mg_flow *f)
{
    f->callbacks =
        (mg_channel_callbacks){on_connected, on_headers, on_data, on_end};
    f->on_relay_timeout = on_timeout;
    f->reused_channel = false;
    if (f->usage != NULL) {
        mg_quota_refund(&f->usage->quota, f->quota_cost, f->arrived_ms,
                        now_of(f));
        f->usage = NULL;
    }
    try_entry(f);
}

/* -------------------------------------------------------------- probes */

static void
stop_probe(mg_gw_pool *p)
{
    if (p->probe != NULL) {
        mg_channel_close(p->probe);
        p->probe = NULL;
    }
}

static mg_gw_pool *
pool_of_probe(mg_channel_callbacks *cb)
{
    return list_entry(cb, mg_gw_pool, probe_callbacks);
}

static void
on_probe_connected(mg_channel_callbacks *cb)
{
    mg_gw_pool *p = pool_of_probe(cb);
    mg_reach_ok(&p->reach, mg_now(p->gw->opts.clock));
    stop_probe(p);
}

static void
on_probe_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    (void)result;
    pool_of_probe(cb)->probe = NULL;
}

static void
start_probe(mg_gateway *gw, mg_gw_pool *p, int64_t now)
{
    mg_gw_target *t = mg_gw_random_target(gw, p, "");
    p->next_probe_ms = now + PROBE_INTERVAL_MS;
    p->probe_until_ms = now + PROBE_MS;
    if (t != NULL) {
        p->probe_callbacks = (mg_channel_callbacks){
            .on_connected = on_probe_connected, .on_end = on_probe_end};
        p->probe = mg_gw_new_channel(t, &p->probe_callbacks);
    }
}

static void
update_cut(mg_gw_pool *p, int64_t now)
{
    bool cut = mg_reach_is_cut(&p->reach, now);
    if (cut != p->cut) {
        p->cut = cut;
        mg_log(MG_EV_POOL_CUT,
               "service=%s cut=%d failures=%u ok_age_ms=%" PRId64
               " others_age_ms=%" PRId64,
               p->service, cut, p->reach.failures, now - p->reach.ok_ms,
               now - p->reach.others_ms);
        p->next_probe_ms = now;
    }
}

void
mg_relay_probe(mg_gateway *gw)
{
    int64_t now = mg_now(gw->opts.clock);
    for (mg_gw_pool *p = gw->pools; p != NULL; p = p->hh.next) {
        update_cut(p, now);
        if (p->probe != NULL && now >= p->probe_until_ms) {
            stop_probe(p);
        }
        if (p->cut && p->probe == NULL && now >= p->next_probe_ms) {
            start_probe(gw, p, now);
        }
    }
}
