/*
 * request - life cycle of a client's request at its entry
 *
 * A request is written to a target at most once: on_connected() checks the
 * lease, the grant and, with an idempotency key, the claim right before the
 * write. Later connections only read: a response that was aborted or timed out
 * is resumed at its offset, and the request is never sent again.
 *
 * A request with a key is reported as not run (MG_RAN_NO) only by the attempt
 * that holds its claim and has not dispatched it. Without the ledger's reply
 * an earlier attempt may have run it, and MG_RAN_UNKNOWN is reported.
 */
#include "entry/request_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "ledger/claims.h"

#define TICKET_RETRY_MS 1000
#define SERVICE_IDLE_TIMEOUT_MS 60000
#define RESUME_DELAY_MS 200
#define FINAL_WAIT_MS 3000
#define RETAIN_MS 600000
#define RETAINED_BYTES_MAX (8u << 20)

static int64_t
now_of(const mg_request *r)
{
    return mg_now(r->e->clock);
}

bool
mg_request_is_keyed(const mg_request *r)
{
    return r->params.key[0] != '\0';
}

mg_request *
mg_request_find(const mg_entry *e, uint64_t id)
{
    mg_request *r;
    HASH_FIND(hh, e->requests, &id, sizeof(id), r);
    return r;
}

static void
free_request(mg_request *r)
{
    mg_entry *e = r->e;
    if (r->http != NULL) {
        mg_http_on_disconnect(r->http, NULL, NULL);
    }
    list_del(&r->link);
    HASH_DEL(e->requests, r);
    mg_buf_free(&r->body);
    mg_response_reader_free(&r->response);
    free(r->addrs);
    free(r);
}

void
mg_request_set_state(mg_request *r, mg_request_state state)
{
    bool is_active = state != MG_REQ_RETAINED;
    r->state = state;
    list_del(&r->link);
    list_add_tail(&r->link, is_active ? &r->e->active : &r->e->retained);
}

/* ---------------------------------------------------- responses to clients */

/* stops sending: the client has its response or has disconnected */
static void
detach_client(mg_request *r)
{
    if (r->http != NULL) {
        mg_http_on_disconnect(r->http, NULL, NULL);
        r->http = NULL;
    }
}

/* sends an error event, then closes without the closing chunk */
static void
abort_stream(const mg_request *r, mg_http_req *http)
{
    char event[256];
    snprintf(event, sizeof(event),
             "event: error\ndata: {\"error\":{\"code\":\"%s\","
             "\"ran\":\"%s\"}}\n\n",
             mg_rc_name(r->rc), mg_ran_name(r->ran));
    mg_http_write(http, mg_str_of(event));
    mg_http_abort(http);
}

static void
send_refusal(mg_request *r)
{
    mg_log(MG_EV_REQ_REFUSED,
           "id=%" PRIx64 " workspace=%s pool=%s tier=%u code=%s ran=%s", r->id,
           r->params.workspace, r->params.pool, r->params.tier,
           mg_rc_name(r->rc), mg_ran_name(r->ran));
    mg_count(MG_C_REFUSED, 1);
    if (r->http == NULL) {
        return;
    }
    mg_http_req *http = r->http;
    detach_client(r);
    if (r->response_started) {
        abort_stream(r, http);
    }
    else {
        mg_front_refuse(http, r->rc, r->ran, r->retry_ms, NULL);
    }
}

void
mg_request_format_headers(const mg_request *r, char *out, size_t size)
{
    snprintf(out, size, "x-request-id: %" PRIx64 "\nx-version: %s\n", r->id,
             r->version);
}

void
mg_request_send_response(mg_request *r)
{
    char extra[256];
    if (r->http == NULL) {
        return;
    }
    mg_http_req *http = r->http;
    detach_client(r);
    if (r->response_started) {
        mg_http_finish(http);
        return;
    }
    mg_request_format_headers(r, extra, sizeof(extra));
    mg_http_reply(http, r->response.status, r->response.content_type, extra,
                  mg_str_buf(&r->response.body));
}

static void
send_success(mg_request *r)
{
    uint64_t total = uv_hrtime() / 1000 - r->started_us;
    if (!mg_request_is_keyed(r) && r->response.status < 300) {
        mg_entry_add_credit(r->e, r->params.member);
    }
    mg_log(MG_EV_REQ_ANSWERED,
           "id=%" PRIx64 " workspace=%s pool=%s target=%s version=%s "
           "status=%d bytes=%" PRIu64 " total_us=%" PRIu64,
           r->id, r->params.workspace, r->params.pool, r->target, r->version,
           r->response.status, r->response.received, total);
    mg_count(MG_C_COMPLETED, 1);
    mg_request_send_response(r);
}

/* ----------------------------------------------------- retained responses */

static void
evict_retained(mg_entry *e)
{
    int64_t now = mg_now(e->clock);
    list_for_each_safe(el, el1, &e->retained)
    {
        mg_request *r = list_entry(el, mg_request, link);
        if (r->retained_until_ms > now &&
            e->retained_bytes <= RETAINED_BYTES_MAX) {
            break;
        }
        e->retained_bytes -= r->response.body.n + sizeof(*r);
        free_request(r);
    }
}

/* ends the request: retained for retries if it has a key, else freed */
void
mg_request_end(mg_request *r)
{
    mg_entry *e = r->e;
    detach_client(r);
    mg_response_memory_release(&e->response_memory, &r->held);
    e->open_requests--;
    if (!mg_request_is_keyed(r)) {
        free_request(r);
        return;
    }
    mg_buf_free(&r->body);
    r->retained_until_ms = now_of(r) + RETAIN_MS;
    e->retained_bytes += r->response.body.n + sizeof(*r);
    mg_request_set_state(r, MG_REQ_RETAINED);
    evict_retained(e);
}

/* ---------------------------------------------------------- final records */

void
mg_request_send_outcome(mg_request *r)
{
    if (r->replied) {
        return;
    }
    r->replied = true;
    if (r->ran == MG_RAN_YES) {
        send_success(r);
    }
    else {
        send_refusal(r);
    }
}

void
mg_request_finish(mg_request *r)
{
    mg_request_send_outcome(r);
    mg_request_end(r);
}

static void
final_recorded(void *user, const mg_msg *reply)
{
    mg_request *r = user;
    (void)reply;
    r->command_seq = 0;
    mg_request_finish(r);
}

static void
release_recorded(void *user, const mg_msg *reply)
{
    (void)user;
    (void)reply;
}

static void
make_final_record(const mg_request *r, mg_msg *m)
{
    m->type = MG_MSG_CMD_FINAL;
    m->u.cmd_final.workspace = mg_str_of(r->params.workspace);
    m->u.cmd_final.key = mg_str_of(r->params.key);
    m->u.cmd_final.nonce = r->nonce;
    m->u.cmd_final.ran = r->ran;
    m->u.cmd_final.status = (uint64_t)r->response.status;
    bool credited = r->ran == MG_RAN_YES && r->response.status < 300;
    m->u.cmd_final.member = mg_str_of(credited ? r->params.member : "");
    m->u.cmd_final.answer = (mg_str){"", 0};
    if (r->ran == MG_RAN_YES && !r->params.stream &&
        r->response.body.n <= MG_CLAIM_RESPONSE_MAX) {
        m->u.cmd_final.answer = mg_str_buf(&r->response.body);
    }
}

void
mg_request_conclude(mg_request *r, mg_rc rc, mg_ran ran)
{
    r->rc = rc;
    r->ran = ran;
    if (!r->claimed) {
        if (mg_request_is_keyed(r) && ran == MG_RAN_NO) {
            mg_keyed_refuse(r);
        }
        else {
            mg_request_finish(r);
        }
        return;
    }
    mg_msg m;
    make_final_record(r, &m);
    mg_request_set_state(r, MG_REQ_RECORDING);
    /* the record is retried without a deadline; the client waits for at most
       FINAL_WAIT_MS */
    r->final_until_ms = now_of(r) + FINAL_WAIT_MS;
    r->command_seq =
        mg_control_link_submit(r->e->control, &m, 0, final_recorded, r);
}

/* retries the record without a deadline, even after the request is freed */
void
mg_request_release_claim(mg_request *r)
{
    mg_msg m;
    r->ran = MG_RAN_NO;
    make_final_record(r, &m);
    mg_control_link_submit(r->e->control, &m, 0, release_recorded, NULL);
}

/* ----------------------------------------------------------------- tickets */

void
mg_request_report_done(mg_request *r, mg_done_result result)
{
    uint64_t now = uv_hrtime() / 1000;
    mg_msg m = {.type = MG_MSG_DONE};
    m.u.done.id = r->id;
    m.u.done.attempt = r->attempt;
    m.u.done.pool = mg_str_of(r->params.pool);
    m.u.done.epoch = r->pool_epoch;
    m.u.done.result = result;
    if (r->dispatched) {
        m.u.done.first_ms = r->first_byte_us
                                ? (r->first_byte_us - r->dispatched_us) / 1000
                                : 0;
        m.u.done.total_ms = (now - r->dispatched_us) / 1000;
    }
    m.u.done.tokens = r->response.events; /* 0 unless streamed */
    mg_pools_send(r->e, r->params.pool, &m);
}

static void
send_cancel(mg_request *r)
{
    mg_msg m = {.type = MG_MSG_CANCEL};
    m.u.cancel.id = r->id;
    m.u.cancel.pool = mg_str_of(r->params.pool);
    m.u.cancel.epoch = r->pool_epoch;
    mg_pools_send(r->e, r->params.pool, &m);
}

static void
send_ticket(mg_request *r)
{
    int64_t now = now_of(r);
    mg_msg m = {.type = MG_MSG_TICKET};
    r->attempt++;
    r->ticket_ms = now;
    r->pool_epoch = mg_pools_epoch(r->e, r->params.pool);
    m.u.ticket.id = r->id;
    m.u.ticket.attempt = r->attempt;
    m.u.ticket.pool = mg_str_of(r->params.pool);
    m.u.ticket.epoch = r->pool_epoch;
    m.u.ticket.tier = r->params.tier;
    m.u.ticket.workspace = mg_str_of(r->params.workspace);
    m.u.ticket.weight = r->params.weight;
    m.u.ticket.prefill = r->params.prefill;
    m.u.ticket.decode = r->params.decode;
    m.u.ticket.remaining_ms = r->params.deadline_ms > now
                                  ? (uint64_t)(r->params.deadline_ms - now)
                                  : 0;
    m.u.ticket.prefix = r->params.prefix;
    m.u.ticket.fingerprint = r->params.fingerprint;
    m.u.ticket.route = mg_str_of(r->params.route);
    mg_pools_send(r->e, r->params.pool, &m);
}

void
mg_request_enqueue(mg_request *r)
{
    mg_request_set_state(r, MG_REQ_WAITING);
    send_ticket(r);
}

void
mg_request_shed(mg_entry *e, const mg_shed_msg *m)
{
    mg_request *r = mg_request_find(e, m->id);
    if (r == NULL || r->state != MG_REQ_WAITING || r->attempt != m->attempt) {
        return;
    }
    r->retry_ms = (int64_t)m->retry_ms;
    mg_request_conclude(r, (mg_rc)m->rc, MG_RAN_NO);
}

bool
mg_request_shed_lower_tier(mg_entry *e, unsigned tier)
{
    mg_request *victim = NULL;
    list_for_each(el, &e->active)
    {
        mg_request *r = list_entry(el, mg_request, link);
        if (r->state == MG_REQ_WAITING && r->params.tier > tier &&
            (victim == NULL || r->params.tier > victim->params.tier)) {
            victim = r;
        }
    }
    if (victim == NULL) {
        return false;
    }
    send_cancel(victim);
    mg_request_conclude(victim, MG_E_OVERLOAD, MG_RAN_NO);
    return true;
}

/* ---------------------------------------------------------------- dispatch */

static void
requeue(mg_request *r, mg_done_result result)
{
    mg_request_report_done(r, result);
    mg_request_enqueue(r);
}

/* returns the reason why the request must not be written now, or NULL */
static const char *
check_dispatch(const mg_request *r)
{
    if (!mg_entry_serving(r->e)) {
        return "no_lease";
    }
    if (now_of(r) >= r->grant_until_ms) {
        return "grant_expired";
    }
    if (mg_pools_epoch(r->e, r->params.pool) != r->pool_epoch) {
        return "other_scheduler";
    }
    if (mg_request_is_keyed(r) && !r->claimed) {
        return "no_claim";
    }
    return NULL;
}

static bool
on_connected(void *user)
{
    mg_request *r = user;
    if (r->response.resuming) {
        return true; /* only reads */
    }
    const char *why = check_dispatch(r);
    if (why != NULL) {
        mg_log(MG_EV_GRANT_STALE, "id=%" PRIx64 " target=%s why=%s", r->id,
               r->target, why);
        mg_count(MG_C_STALE_GRANTS, 1);
        return false;
    }
    r->dispatched = true;
    r->dispatched_us = uv_hrtime() / 1000;
    r->state = MG_REQ_RUNNING;
    mg_log(MG_EV_REQ_DISPATCHED,
           "id=%" PRIx64 " workspace=%s pool=%s target=%s epoch=%" PRIu64,
           r->id, r->params.workspace, r->params.pool, r->target,
           r->target_epoch);
    mg_count(MG_C_DISPATCHED, 1);
    return true;
}

void
mg_request_truncated(mg_request *r, const char *why)
{
    mg_log(MG_EV_REQ_CUT,
           "id=%" PRIx64 " workspace=%s target=%s received=%" PRIu64 " why=%s",
           r->id, r->params.workspace, r->target, r->response.received, why);
    mg_count(MG_C_TRUNCATED, 1);
    mg_buf_free(&r->response.body);
    if (r->nonce != r->id) {
        /* this attempt must not record the outcome of another one */
        mg_keyed_finish_unrecorded(r, MG_E_OUTCOME_UNKNOWN, MG_RAN_UNKNOWN);
        return;
    }
    mg_request_report_done(r, MG_DONE_ABORTED);
    mg_request_conclude(r, MG_E_OUTCOME_UNKNOWN, MG_RAN_UNKNOWN);
}

/* this target has no more data: a joining attempt tries the next target */
static void
response_unavailable(mg_request *r, const char *why)
{
    if (r->next_addr != NULL && r->response.received == 0) {
        mg_keyed_read_next_target(r);
    }
    else {
        mg_request_truncated(r, why);
    }
}

/* resumes at the offset over a new connection, if still allowed */
static void
schedule_resume(mg_request *r, const char *why)
{
    int64_t now = now_of(r);
    if (r->params.engine && now < r->resume_until_ms) {
        r->resume_at_ms = now + RESUME_DELAY_MS;
    }
    else {
        response_unavailable(r, why);
    }
}

static void
dispatch_failed(mg_request *r, const char *why)
{
    bool withdrawn = strcmp(why, "withdrawn") == 0;
    if (!withdrawn) {
        mg_log(MG_EV_REQ_CONNECT_FAILED, "id=%" PRIx64 " target=%s why=%s",
               r->id, r->target, why);
        mg_count(MG_C_CONNECT_FAILED, 1);
    }
    requeue(r, withdrawn ? MG_DONE_NOT_DISPATCHED : MG_DONE_CONNECT_FAILED);
}

static void
on_target_req_end(void *user, mg_http_result end, const char *why)
{
    mg_request *r = user;
    r->target_req = NULL;
    if (!r->dispatched) {
        dispatch_failed(r, why);
        return;
    }
    switch (mg_response_reader_classify(&r->response, end)) {
    case MG_RESPONSE_COMPLETE:
        mg_request_report_done(r, r->response.status < 500 ? MG_DONE_OK
                                                           : MG_DONE_FAILED);
        mg_request_conclude(r, MG_OK, MG_RAN_YES);
        break;
    case MG_RESPONSE_NOT_RUN:
        /* rejected by the target, which has another epoch */
        r->dispatched = false;
        r->first_byte_us = 0;
        mg_response_reader_reset(&r->response);
        requeue(r, MG_DONE_CONNECT_FAILED);
        break;
    case MG_RESPONSE_RESUMABLE:
        schedule_resume(r, why);
        break;
    case MG_RESPONSE_TRUNCATED:
        response_unavailable(r, why);
        break;
    }
}

void
mg_request_start_target_req(mg_request *r, bool resume)
{
    char path[MG_TEXT_SIZE];
    char extra[512];
    mg_response_reader_connect(&r->response, resume);
    if (resume) {
        snprintf(path, sizeof(path), "/v1/streams/%" PRIx64 "?offset=%" PRIu64,
                 r->nonce, r->response.received);
    }
    else {
        snprintf(path, sizeof(path), "%s", r->params.path);
    }
    snprintf(extra, sizeof(extra),
             "content-type: application/json\r\nx-request-id: %" PRIx64
             "\r\nx-target-epoch: %" PRIu64 "\r\n%s%.200s%s",
             r->id, r->target_epoch,
             mg_request_is_keyed(r) ? "idempotency-key: " : "", r->params.key,
             mg_request_is_keyed(r) ? "\r\n" : "");
    mg_http_client_req *req =
        mg_http_client_req_new(&(mg_http_client_req_options){
            .loop = r->e->loop,
            .addr = r->target_addr,
            .method = resume ? "GET" : "POST",
            .path = path,
            .extra_headers = extra,
            .body = resume ? (mg_str){"", 0} : mg_str_buf(&r->body),
            .connect_timeout_ms = MG_TARGET_CONNECT_TIMEOUT_MS,
            .read_timeout_ms = r->params.engine ? MG_ENGINE_IDLE_TIMEOUT_MS
                                                : SERVICE_IDLE_TIMEOUT_MS,
            .on_connected = on_connected,
            .on_headers = mg_response_on_headers,
            .on_data = mg_response_on_data,
            .on_end = on_target_req_end,
            .user = r,
        });
    if (req != NULL) {
        r->target_req = req;
    }
}

void
mg_request_connect(mg_request *r)
{
    mg_request_set_state(r, MG_REQ_CONNECTING);
    mg_request_start_target_req(r, false);
}

void
mg_request_grant(mg_entry *e, const mg_grant_msg *m)
{
    mg_request *r = mg_request_find(e, m->id);
    if (r == NULL || r->state != MG_REQ_WAITING || r->attempt != m->attempt ||
        m->epoch != r->pool_epoch) {
        return;
    }
    mg_observe(MG_H_GRANT_WAIT, (int64_t)(uv_hrtime() / 1000 - r->started_us));
    mg_str_copy(r->target, sizeof(r->target), m->target);
    mg_str_copy(r->target_addr, sizeof(r->target_addr), m->addr);
    mg_str_copy(r->version, sizeof(r->version), m->version);
    r->target_epoch = m->target_epoch;
    r->grant_until_ms = now_of(r) + (int64_t)m->valid_ms;
    r->resume_until_ms = now_of(r) + MG_RESUME_TIMEOUT_MS;
    if (mg_request_is_keyed(r) && !r->claimed) {
        mg_keyed_claim(r);
    }
    else {
        mg_request_connect(r);
    }
}

/* ---------------------------------------------------------- cancellation */

static void
cancel_running(mg_request *r)
{
    if (r->target_req != NULL) {
        mg_http_client_req_cancel(r->target_req);
        r->target_req = NULL;
    }
    if (r->dispatched && r->params.engine) {
        mg_response_cancel_at_target(r);
    }
    mg_request_report_done(r, r->dispatched ? MG_DONE_CANCELLED
                                            : MG_DONE_NOT_DISPATCHED);
    r->rc = MG_E_CLOSED;
    mg_request_end(r);
}

static void
on_client_disconnect(void *user)
{
    mg_request *r = user;
    r->http = NULL;
    mg_count(MG_C_CANCELLED, 1);
    mg_log(MG_EV_REQ_CANCELLED, "id=%" PRIx64 " workspace=%s dispatched=%d",
           r->id, r->params.workspace, r->dispatched);
    switch (r->state) {
    case MG_REQ_WAITING:
        send_cancel(r);
        mg_request_conclude(r, MG_E_CLOSED, MG_RAN_NO);
        break;
    case MG_REQ_LOOKUP:
        mg_keyed_cancel_lookup(r);
        break;
    case MG_REQ_JOINING:
        mg_keyed_finish_unrecorded(r, MG_E_CLOSED, MG_RAN_UNKNOWN);
        break;
    case MG_REQ_CONNECTING:
    case MG_REQ_RUNNING:
        /* a request with a key continues, as the client may retry it */
        if (!mg_request_is_keyed(r)) {
            cancel_running(r);
        }
        break;
    case MG_REQ_CLAIMING:
    case MG_REQ_REFUSING:
    case MG_REQ_RECORDING:
    case MG_REQ_RETAINED:
    case MG_REQ_ABANDONED:
        break;
    }
}

/* ---------------------------------------------------------------- timeouts */

static void
refuse_expired(mg_request *r)
{
    switch (r->state) {
    case MG_REQ_LOOKUP:
        /* the ledger has not replied: an earlier attempt may have run */
        mg_keyed_cancel_lookup(r);
        break;
    case MG_REQ_CLAIMING:
        mg_keyed_abandon(r);
        break;
    case MG_REQ_JOINING:
        mg_keyed_finish_unrecorded(r, MG_E_IN_PROGRESS, MG_RAN_UNKNOWN);
        break;
    case MG_REQ_WAITING:
        send_cancel(r);
        mg_request_conclude(r, MG_E_DEADLINE, MG_RAN_NO);
        break;
    default:
        break;
    }
}

static void
tick_request(mg_request *r, int64_t now)
{
    if (r->resume_at_ms != 0 && now >= r->resume_at_ms) {
        r->resume_at_ms = 0;
        mg_request_start_target_req(r, true);
    }
    else if (now >= r->params.deadline_ms && r->state < MG_REQ_CONNECTING) {
        refuse_expired(r);
    }
    else if (r->state == MG_REQ_CLAIMING && now >= r->grant_until_ms) {
        mg_keyed_release_slot(r);
    }
    else if (r->state == MG_REQ_RECORDING && now >= r->final_until_ms) {
        mg_request_send_outcome(r);
    }
    else if (r->state == MG_REQ_WAITING &&
             now - r->ticket_ms >= TICKET_RETRY_MS) {
        send_ticket(r);
    }
    else if (r->state == MG_REQ_JOINING) {
        mg_keyed_tick_join(r, now);
    }
    else {
        mg_response_recount(r);
    }
}

void
mg_request_tick(mg_entry *e)
{
    int64_t now = mg_now(e->clock);
    list_for_each_safe(el, el1, &e->active)
    {
        tick_request(list_entry(el, mg_request, link), now);
    }
    evict_retained(e);
}

static void
send_held(mg_request *r, uint64_t epoch)
{
    mg_msg m = {.type = MG_MSG_HELD};
    m.u.held.id = r->id;
    m.u.held.attempt = r->attempt;
    m.u.held.pool = mg_str_of(r->params.pool);
    m.u.held.epoch = epoch;
    m.u.held.tier = r->params.tier;
    m.u.held.workspace = mg_str_of(r->params.workspace);
    m.u.held.prefill = r->params.prefill;
    m.u.held.decode = r->params.decode;
    m.u.held.target = mg_str_of(r->target);
    m.u.held.target_epoch = r->target_epoch;
    m.u.held.fingerprint = r->params.fingerprint;
    m.u.held.route = mg_str_of(r->params.route);
    m.u.held.elapsed_ms = (uv_hrtime() / 1000 - r->dispatched_us) / 1000;
    mg_pools_send(r->e, r->params.pool, &m);
    r->pool_epoch = epoch;
}

static mg_pool_sync *
find_sync(mg_entry *e, const char *pool)
{
    mg_pool_sync *s;
    HASH_FIND_STR(e->syncs, pool, s);
    if (s == NULL) {
        s = mg_alloc(sizeof(*s));
        mg_str_copy(s->pool, sizeof(s->pool), mg_str_of(pool));
        HASH_ADD_STR(e->syncs, pool, s);
    }
    return s;
}

/* reports dispatched requests before tickets are sent: a new scheduler must
   count the slots that these occupy before it grants others */
void
mg_request_resync(mg_entry *e, const char *pool)
{
    uint64_t epoch = mg_pools_epoch(e, pool);
    mg_pool_sync *sync = find_sync(e, pool);
    if (sync->epoch == epoch) {
        return;
    }
    sync->epoch = epoch;
    list_for_each_safe(el, el1, &e->active)
    {
        mg_request *r = list_entry(el, mg_request, link);
        if (strcmp(r->params.pool, pool) == 0 && r->state == MG_REQ_RUNNING) {
            send_held(r, epoch);
        }
    }
    mg_msg m = {.type = MG_MSG_SYNCED};
    m.u.synced.pool = mg_str_of(pool);
    m.u.synced.epoch = epoch;
    mg_pools_send(e, pool, &m);
    list_for_each_safe(el2, el3, &e->active)
    {
        mg_request *r = list_entry(el2, mg_request, link);
        if (strcmp(r->params.pool, pool) == 0 && r->state == MG_REQ_WAITING) {
            send_ticket(r);
        }
    }
}

/* ------------------------------------------------------------------- begin */

void
mg_request_begin(mg_entry *e, mg_http_req *http,
                 const mg_request_params *params)
{
    mg_request *r = mg_alloc(sizeof(*r));
    r->e = e;
    r->id = mg_random_id();
    r->nonce = r->id;
    r->http = http;
    r->params = *params;
    r->started_us = uv_hrtime() / 1000;
    init_list_head(&r->link);
    mg_str body = mg_http_body(http);
    mg_buf_put(&r->body, body.p, body.n);
    HASH_ADD(hh, e->requests, id, sizeof(r->id), r);
    e->open_requests++;
    mg_http_on_disconnect(http, on_client_disconnect, r);
    mg_log(MG_EV_REQ_ADMITTED,
           "id=%" PRIx64 " workspace=%s pool=%s tier=%u prefill=%u decode=%u "
           "keyed=%d left_ms=%" PRId64,
           r->id, params->workspace, params->pool, params->tier,
           params->prefill, params->decode, mg_request_is_keyed(r),
           params->deadline_ms - now_of(r));
    if (mg_request_is_keyed(r)) {
        mg_keyed_lookup(r);
    }
    else {
        mg_request_enqueue(r);
    }
}
