#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "gateway/gateway_int.h"
#include "gateway/pick.h"
#include "gateway/suspects.h"

/* a time measured with mg_now() exceeds the true one by less than this */
#define CLOCK_RESOLUTION_MS 1.0
/* retry-after of a request that has crashed its targets */
#define SUSPECT_RETRY_MS 3000
/* failed connections after which a request fails */
#define CONNECT_ATTEMPTS_MAX 4
/* "not run" responses after which a request fails */
#define REJECTIONS_MAX 3
#define CONNECT_MS 400
/* a request that may be retried is sent to another target when its target is
   silent for SILENT_GAPS * gap goal, and at least for SILENT_MIN_MS */
#define SILENT_GAPS 2
#define SILENT_MIN_MS 800
/* before the first byte: silence limit as a multiple of the goal_ms */
#define SILENT_GOALS 2

static void
on_timer(uv_timer_t *t);

static int64_t
now_of(const mg_flow *f)
{
    return mg_now(f->gw->opts.clock);
}

/* ---------------------------------------------------------- completion */

static void
on_timer_closed(uv_handle_t *h)
{
    mg_flow *f = h->data;
    mg_buf_free(&f->headers);
    mg_buf_free(&f->body);
    mg_sse_parser_free(&f->sse_parser);
    mg_routing_unref(f->routing);
    free(f);
}

/* called when the target has prefilled f's prompt or will never prefill it */
static void
clear_backlog(mg_flow *f)
{
    f->target->backlog -= f->backlog;
    f->backlog = 0;
}

/* adds a sample to the rollout of the target's service, if there is one */
static void
sample_version(mg_flow *f, bool failed)
{
    double events = f->event_count > 1 ? f->event_count - 1 : 0;
    int64_t first = f->first_event_ms != 0 ? f->first_event_ms : now_of(f);
    mg_version_sample s = {
        .route = f->route->name,
        .failed = failed,
        /* relative to the prediction, to compare unequal requests */
        .first_per_token = (double)(first - f->sent_ms) / f->nominal_ms,
        .gap_ms =
            events > 0
                ? (double)(f->last_received_ms - f->first_event_ms) / events
                : 0,
        .first_error = CLOCK_RESOLUTION_MS / f->nominal_ms,
        .gap_error = events > 0 ? CLOCK_RESOLUTION_MS / events : 0,
    };
    mg_versions_add_sample(f->gw->versions, f->pool->service,
                           f->target->instance->info.version, &s);
}

static void
target_failed(mg_flow *f, bool error_response)
{
    if (!error_response) {
        mg_reach_failed(&f->pool->reach);
    }
    mg_gw_target_failed(f->target, error_response);
    sample_version(f, true);
}

/* The connection has ended, maybe since the target has crashed; may_be_whole:
   if the target has not crashed, that was the end of its response. */
static void
suspect(mg_flow *f, bool may_be_whole)
{
    mg_suspect s;
    mg_suspect_of(f, &s);
    s.may_be_whole = may_be_whole;
    mg_suspect_connection_lost(f->gw, f->target, &s);
}

static void
target_served(mg_flow *f)
{
    mg_gw_target_served(f->target);
    if (f->close_delimited) {
        suspect(f, true);
    }
    else {
        mg_suspect_served(f);
    }
    sample_version(f, false);
}

static void
release_target(mg_flow *f)
{
    if (f->target != NULL) {
        f->previous_target = f->target;
        clear_backlog(f);
        f->pool->running--;
        f->target->running--;
        f->target->instance->refs--;
        f->target = NULL;
        mg_gw_pool_schedule(f->gw, f->pool);
    }
}

void
mg_flow_channel_ended(mg_flow *f)
{
    if (f->channel != NULL) {
        mg_channel_describe_end(f->channel, f->channel_end);
    }
    f->channel = NULL;
}

void
mg_flow_close_channel(mg_flow *f)
{
    mg_channel *c = f->channel;
    mg_flow_channel_ended(f);
    if (c != NULL) {
        mg_channel_close(c);
    }
}

/* drops what is held of the response */
static void
drop_held(mg_flow *f)
{
    f->body.n = 0;
    mg_sse_parser_reset(&f->sse_parser);
    mg_response_memory_release(&f->gw->response_memory, &f->held);
}

/* A request that is answered must not be found in the queue any more. */
static void
leave_queue(mg_flow *f)
{
    if (f->ticket.queue != NULL) {
        mg_tierq_remove(f->pool->waiting, &f->ticket);
    }
}

/* the response is complete or aborted, or the client has disconnected */
void
mg_flow_finish(mg_flow *f)
{
    if (f->state == MG_FLOW_DONE) {
        return;
    }
    leave_queue(f);
    f->state = MG_FLOW_DONE;
    mg_flow_close_channel(f);
    release_target(f);
    drop_held(f);
    f->gw->open_requests--;
    uv_close((uv_handle_t *)&f->timer, on_timer_closed);
}

static const char *
ran_name(const mg_flow *f)
{
    return mg_ran_name(f->possible_runs == 0 ? MG_RAN_NO : MG_RAN_UNKNOWN);
}

void
mg_flow_refuse(mg_flow *f, int status, int64_t retry_ms, const char *why)
{
    char extra[64] = "";
    mg_log(MG_EV_REQ_REFUSED,
           "id=%.*s status=%d why=%s ran=%s sends=%u waited_ms=%" PRId64
           " retry_ms=%" PRId64,
           MG_STR_FMT(f->request.id), status, why, ran_name(f), f->sends,
           now_of(f) - f->arrived_ms, retry_ms);
    mg_count(MG_C_REFUSED, 1);
    if (retry_ms >= 0) {
        snprintf(extra, sizeof(extra), "retry-after: %.3f\n",
                 (double)retry_ms / 1000.0);
    }
    if (f->usage != NULL && f->possible_runs == 0) {
        mg_quota_refund(&f->usage->quota, f->quota_cost, f->arrived_ms,
                        now_of(f));
    }
    leave_queue(f);
    mg_http_reply(f->request.http, status, NULL, extra, (mg_str){"", 0});
    mg_flow_finish(f);
}

static void
abort_response(mg_flow *f, const char *why)
{
    mg_log(MG_EV_REQ_CUT, "id=%.*s why=%s last=%" PRIu64 " ms=%" PRId64 " %s",
           MG_STR_FMT(f->request.id), why, f->ids.last,
           now_of(f) - f->arrived_ms, f->channel_end);
    mg_count(MG_C_TRUNCATED, 1);
    leave_queue(f);
    mg_http_abort(f->request.http);
    mg_flow_finish(f);
}

/* ends a request that is not retried any more */
void
mg_flow_fail(mg_flow *f, const char *why)
{
    if (f->response_started) {
        abort_response(f, why);
    }
    else if (f->possible_runs == 0) {
        mg_flow_refuse(f, 503, MG_FLOW_RETRY_AFTER_MS, why);
    }
    else {
        mg_flow_refuse(f, 502, -1, why);
    }
}

void
mg_flow_refuse_suspect(mg_flow *f)
{
    if (f->response_started || f->possible_runs > 0) {
        mg_flow_fail(f, "ended_its_targets");
    }
    else {
        mg_flow_refuse(f, 503, SUSPECT_RETRY_MS, "ended_its_targets");
    }
}

static void
on_client_disconnect(void *user)
{
    mg_flow *f = user;
    mg_log(MG_EV_REQ_CANCELLED, "id=%.*s sends=%u ms=%" PRId64,
           MG_STR_FMT(f->request.id), f->sends, now_of(f) - f->arrived_ms);
    mg_count(MG_C_CANCELLED, 1);
    mg_flow_finish(f);
}

/* ------------------------------------------------------------- retries */

void
mg_flow_set_timer(mg_flow *f, int64_t at)
{
    int64_t now = now_of(f);
    f->timer_at_ms = at;
    uv_timer_start(&f->timer, on_timer, (uint64_t)(at > now ? at - now : 1),
                   0);
}

uint64_t
mg_flow_queued_ahead(const mg_flow *f)
{
    uint64_t n = 0;
    for (unsigned rank = 0; rank <= 2 * f->tier; rank++) {
        n += mg_tierq_tier_count(f->pool->waiting, rank);
    }
    return f->ticket.queue != NULL && n > 0 ? n - 1 : n;
}

void
mg_flow_refuse_busy(mg_flow *f, const char *why)
{
    mg_gateway *gw = f->gw;
    int64_t now = now_of(f);
    int64_t ms = mg_dequeue_rate_wait_ms(&f->pool->dequeue_rate,
                                         mg_flow_queued_ahead(f), now);
    mg_flow_refuse(
        f, 503,
        mg_retry_after_ms(ms, f->deadline_ms - now, mg_rng_unit(&gw->rng)),
        why);
}

static bool
may_have_run(const mg_flow *f)
{
    return f->possible_runs > 0 || f->response_started;
}

/* whether f waits behind the requests of its tier that can meet their goal */
static bool
is_late(const mg_flow *f)
{
    return f->ticket.tier != 2 * f->tier;
}

void
mg_flow_wait_for_target(mg_flow *f)
{
    f->state = MG_FLOW_WAITING;
    f->streaming = false;
    f->first_event_ms = 0;
    f->last_received_ms = 0;
    f->event_count = 0;
    f->headers.n = 0;
    mg_event_ids_start_run(&f->ids);
    drop_held(f);
    mg_tierq_add(f->pool->waiting, &f->ticket);
    mg_gw_pool_schedule(f->gw, f->pool);
    mg_flow_set_timer(f, may_have_run(f) ? f->deadline_ms
                                         : f->wait_limit.dispatch_by_ms);
}

/* moves f, which is late, behind the requests of its tier that are not late */
static void
demote(mg_flow *f)
{
    mg_tierq_remove(f->pool->waiting, &f->ticket);
    f->ticket.tier = 2 * f->tier + 1;
    mg_tierq_add(f->pool->waiting, &f->ticket);
    mg_flow_set_timer(f, f->wait_limit.refuse_at_ms);
}

static bool
take_retry(mg_flow *f)
{
    const mg_gateway *gw = f->gw;
    const mg_gateway_limits *l = &gw->opts.limits;
    double entries = gw->entry_count > 0 ? (double)gw->entry_count : 1.0;
    return mg_retry_budget_take(&f->pool->retry_budget, l->retry_ratio * 0.8,
                                (double)l->retry_slack * 0.8 / entries,
                                now_of(f));
}

/* the target reported that it did not run the request */
static void
after_rejection(mg_flow *f)
{
    f->possible_runs--;
    if (f->sends - f->possible_runs < REJECTIONS_MAX && take_retry(f)) {
        mg_flow_wait_for_target(f);
    }
    else {
        mg_flow_fail(f, "rejected");
    }
}

static bool
may_retry(const mg_flow *f)
{
    if (f->route->retry_policy == MG_RETRY_NEVER ||
        f->possible_runs >= f->route->attempts_max) {
        return false;
    }
    return !f->response_started ||
           (f->route->retry_policy == MG_RETRY_RESUME && !f->has_no_id);
}

/* retries a request that failed at its target and may have run, if allowed */
static bool
retry(mg_flow *f)
{
    if (!may_retry(f) || !take_retry(f)) {
        return false;
    }
    release_target(f);
    mg_flow_wait_for_target(f);
    return true;
}

/* how long a target may be silent: factor * goal_ms, at least SILENT_MIN_MS */
static int64_t
silence_limit_ms(int64_t goal_ms, int64_t factor)
{
    int64_t ms = goal_ms * factor;
    return ms > SILENT_MIN_MS ? ms : SILENT_MIN_MS;
}

/* sets the timer: silence check at now + ms if retriable, else deadline */
static void
watch_silence(mg_flow *f, int64_t ms)
{
    int64_t at = now_of(f) + ms;
    bool retriable = may_retry(f) && at < f->deadline_ms;
    mg_flow_set_timer(f, retriable ? at : f->deadline_ms);
}

/* ----------------------------------------------------------- responses */

static mg_channel_action
on_headers(mg_channel_callbacks *cb, const mg_h1_headers *headers)
{
    mg_flow *f = (mg_flow *)cb;
    mg_response_head res = {0};
    f->gw->opts.dialect->read_response(f->gw->opts.dialect, headers, &res);
    mg_gw_target_leaves(f->target, &res);
    if (res.id.n > 0 && !mg_str_eq(res.id, f->request.id)) {
        mg_log(MG_EV_BAD_INPUT, "id=%.*s target=%s what=other_answer",
               MG_STR_FMT(f->request.id), f->target->instance->info.id);
        return MG_CHANNEL_SKIP;
    }
    if (res.not_run && res.id.n == 0 && f->reused_channel) {
        /* it may be the refusal of the request before, written once more */
        mg_log(MG_EV_BAD_INPUT, "id=%.*s target=%s what=refusal_without_id",
               MG_STR_FMT(f->request.id), f->target->instance->info.id);
        return MG_CHANNEL_REJECT;
    }
    mg_gw_target_states(f->target, &res.capacity, f->sent_ms);
    mg_reach_ok(&f->pool->reach, now_of(f));
    f->state = MG_FLOW_RECEIVING;
    f->status = res.status;
    f->not_run = res.not_run;
    f->close_delimited = mg_flow_is_close_delimited(f, headers);
    f->streaming = f->route->stream && res.status == 200 && !res.not_run &&
                   !mg_flow_is_head(f);
    if (!f->response_started) {
        mg_flow_save_headers(f, headers);
    }
    return MG_CHANNEL_ACCEPT;
}

static void
forward_event(mg_flow *f, const mg_sse_event *ev)
{
    if (f->backlog > 0) {
        mg_gw_target_add_sample(f->target, (double)(now_of(f) - f->sent_ms),
                                f->nominal_ms);
        clear_backlog(f);
    }
    if (!f->response_started) {
        f->response_started = true;
        f->first_byte_ms = now_of(f);
        mg_flow_start_response(f);
    }
    mg_http_write(f->request.http, ev->bytes);
    f->last_received_ms = now_of(f);
    f->first_event_ms =
        f->first_event_ms != 0 ? f->first_event_ms : f->last_received_ms;
    if (++f->event_count == 2) {
        mg_suspect_parts_served(f);
    }
    f->has_no_id |= !ev->has_id;
}

void
mg_flow_reject_response(mg_flow *f, const char *why)
{
    mg_flow_close_channel(f);
    release_target(f);
    mg_flow_fail(f, why);
}

/* The run doesn't go on where the one before has ended; another one may. */
static void
leave_gap(mg_flow *f, uint64_t id)
{
    mg_log(MG_EV_REQ_CONNECT_FAILED,
           "id=%.*s target=%s why=event_missing last=%" PRIu64 " next=%" PRIu64
           " step=%" PRIu64 " ms=%" PRId64,
           MG_STR_FMT(f->request.id), f->target->instance->info.id,
           f->ids.last, id, f->ids.step, now_of(f) - f->arrived_ms);
    mg_flow_close_channel(f);
    target_failed(f, false);
    if (!retry(f)) {
        mg_flow_fail(f, "event_missing");
    }
}

static void
on_data(mg_channel_callbacks *cb, mg_str data)
{
    mg_flow *f = (mg_flow *)cb;
    mg_sse_event ev;
    if (!f->streaming) {
        mg_buf_put(&f->body, data.p, data.n);
        mg_flow_hold_response(f);
        return;
    }
    mg_sse_parser_feed(&f->sse_parser, data);
    if (f->last_received_ms == 0) {
        f->last_received_ms = now_of(f);
        watch_silence(f, silence_limit_ms(f->route->gap_goal_ms, SILENT_GAPS));
    }
    while (mg_sse_parser_next(&f->sse_parser, &ev)) {
        mg_event_kind kind =
            ev.has_id ? mg_event_ids_take(&f->ids, ev.id) : MG_EVENT_NEXT;
        if (kind == MG_EVENT_AFTER_GAP) {
            leave_gap(f, ev.id);
            return;
        }
        if (kind == MG_EVENT_NEXT) {
            forward_event(f, &ev);
        }
    }
    mg_flow_hold_response(f);
}

static bool
ends_inside_event(const mg_flow *f)
{
    return f->sse_parser.pending.n > f->sse_parser.consumed;
}

/* Whether the end of the current run shows no more than that its connection
   has ended, while the client would take the end of its response, which began
   with another run, as proof that it is complete. */
static bool
end_is_unproven(const mg_flow *f)
{
    return f->close_delimited && mg_http_is_chunked(f->request.http);
}

static void
end_stream(mg_flow *f)
{
    if (ends_inside_event(f) || !f->response_started) {
        target_failed(f, false);
        suspect(f, false);
        if (!retry(f)) {
            mg_flow_fail(f, "stream_ended_early");
        }
        return;
    }
    if (end_is_unproven(f)) {
        /* another run goes on after the last event, if there is more */
        suspect(f, true);
        if (!retry(f)) {
            mg_flow_fail(f, "end_unproven");
        }
        return;
    }
    target_served(f);
    mg_flow_log_response(f, f->target->instance->info.id);
    mg_http_finish(f->request.http);
    mg_flow_finish(f);
}

static void
end_buffered(mg_flow *f)
{
    if (f->not_run) {
        mg_log(MG_EV_REQ_CONNECT_FAILED, "id=%.*s target=%s why=not_run_%d",
               MG_STR_FMT(f->request.id), f->target->instance->info.id,
               f->status);
        mg_capacity_rejected(&f->target->capacity, now_of(f));
        release_target(f);
        after_rejection(f);
        return;
    }
    if (f->status >= 500) {
        target_failed(f, true);
        if (retry(f)) {
            return;
        }
        if (f->response_started) {
            mg_flow_fail(f, "resumption_failed");
            return;
        }
    }
    else {
        target_served(f);
        mg_gw_target_add_sample(f->target, (double)(now_of(f) - f->sent_ms),
                                f->nominal_ms);
    }
    if (f->response_started) {
        mg_flow_fail(f, "resumption_refused");
        return;
    }
    f->first_byte_ms = now_of(f);
    mg_flow_log_response(f, f->target->instance->info.id);
    mg_flow_send_buffered(f);
    mg_flow_finish(f);
}

static const char *
result_name(mg_channel_result result)
{
    static const char *const names[] = {
        [MG_CHANNEL_COMPLETE] = "whole",
        [MG_CHANNEL_CONNECT_FAILED] = "unreached",
        [MG_CHANNEL_TRUNCATED] = "cut",
        [MG_CHANNEL_MALFORMED] = "garbled",
    };
    return names[result];
}

static void
on_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    mg_flow *f = (mg_flow *)cb;
    bool stale_channel = f->reused_channel && result == MG_CHANNEL_TRUNCATED &&
                         f->state == MG_FLOW_SENT;
    mg_flow_channel_ended(f);
    if (result == MG_CHANNEL_COMPLETE) {
        if (f->streaming) {
            end_stream(f);
        }
        else {
            end_buffered(f);
        }
        return;
    }
    mg_log(MG_EV_REQ_CONNECT_FAILED,
           "id=%.*s target=%s why=%s kept=%d ms=%" PRId64 " %s",
           MG_STR_FMT(f->request.id), f->target->instance->info.id,
           result_name(result), f->reused_channel, now_of(f) - f->arrived_ms,
           f->channel_end);
    if (result == MG_CHANNEL_CONNECT_FAILED) {
        mg_reach_failed(&f->pool->reach);
        mg_gw_target_failed(f->target, false);
    }
    else {
        /* whether the target has closed an idle channel or crashed shows only
           when it is probed */
        suspect(f, false);
        if (!stale_channel) {
            target_failed(f, false);
        }
    }
    if (result == MG_CHANNEL_CONNECT_FAILED) {
        mg_count(MG_C_CONNECT_FAILED, 1);
        release_target(f);
        if (++f->connect_failures < CONNECT_ATTEMPTS_MAX) {
            mg_flow_wait_for_target(f);
        }
        else {
            mg_flow_fail(f, "unreached");
        }
    }
    else if (!retry(f)) {
        mg_flow_fail(f, result_name(result));
    }
}

/* ------------------------------------------------------------ dispatch */

static void
send_request(mg_flow *f)
{
    mg_gateway *gw = f->gw;
    mg_buf headers = {0};
    int64_t now = now_of(f);
    double slowdown = mg_gw_target_slowdown(f->target, now);
    mg_dispatch to = {
        .target = f->target->instance,
        .workspace = mg_str_of(f->workspace ? f->workspace->name : NULL),
        .remaining_ms = f->request.timeout_ms < 0
                            ? -1
                            : f->request.timeout_ms - (now - f->arrived_ms),
        .resumes = f->ids.has_last,
        .resume_after = f->ids.last,
    };
    gw->opts.dialect->put_request(gw->opts.dialect, &f->request, &to,
                                  &headers);
    if (f->sends < MG_FLOW_CHANNELS_MAX) {
        f->used_channels[f->sends] = f->channel;
    }
    if (f->sends++ == 0) {
        mg_retry_budget_count_request(&f->pool->retry_budget, now);
    }
    if (f->usage != NULL && f->possible_runs > 0) {
        mg_quota_charge(&f->usage->quota, f->quota_cost, now);
    }
    f->possible_runs++;
    f->sent_ms = now;
    f->state = MG_FLOW_SENT;
    mg_count(MG_C_DISPATCHED, 1);
    mg_log(MG_EV_REQ_DISPATCHED,
           "id=%.*s target=%s own=%u others=%.0f backlog=%.0f pace=%.2f "
           "kept=%d tier=%u late=%u prompt=%u goal_ms=%" PRId64
           " predicted_ms=%.0f waited_ms=%" PRId64 " left_ms=%" PRId64,
           MG_STR_FMT(f->request.id), f->target->instance->info.id,
           f->target->running, f->target->reported_running,
           f->target->backlog + f->target->reported_backlog, slowdown,
           f->reused_channel, f->tier, is_late(f), f->request.prompt_tokens,
           f->route->goal_ms, f->nominal_ms * slowdown, now - f->arrived_ms,
           to.remaining_ms);
    watch_silence(f, silence_limit_ms(f->route->goal_ms, SILENT_GOALS));
    mg_channel_send(f->channel, mg_str_buf(&headers),
                    mg_http_body(f->request.http), mg_flow_is_head(f));
    mg_buf_free(&headers);
}

static void
on_connected(mg_channel_callbacks *cb)
{
    mg_flow *f = (mg_flow *)cb;
    mg_reach_ok(&f->pool->reach, now_of(f));
    send_request(f);
}

void
mg_flow_dispatch(mg_flow *f, mg_gw_target *t)
{
    f->callbacks =
        (mg_channel_callbacks){on_connected, on_headers, on_data, on_end};
    bool recent_only = f->route->retry_policy == MG_RETRY_NEVER;
    mg_observe(MG_H_GRANT_WAIT, (now_of(f) - f->arrived_ms) * 1000);
    f->target = t;
    f->nominal_ms = mg_pick_nominal_ms(f->request.prompt_tokens,
                                       t->backlog + t->reported_backlog);
    f->backlog = f->request.prompt_tokens;
    t->backlog += f->backlog;
    if (t->running >= t->allocated && t->borrowable > 0) {
        t->borrowable--;
    }
    f->pool->running++;
    t->running++;
    t->instance->refs++;
    mg_capacity_take(&t->capacity, now_of(f));
    mg_versions_count_sent(f->gw->versions, f->pool->service,
                           t->instance->info.version);
    /* a target may write its response to this request a second time on the
       channel, and the id would match that of a later attempt there */
    f->channel = mg_gw_idle_channel(t, f, recent_only);
    f->reused_channel = f->channel != NULL;
    if (f->reused_channel) {
        mg_channel_reuse(f->channel, &f->callbacks);
        send_request(f);
        return;
    }
    f->state = MG_FLOW_CONNECTING;
    int64_t until = now_of(f) + CONNECT_MS;
    mg_flow_set_timer(f, until < f->deadline_ms ? until : f->deadline_ms);
    f->channel = mg_gw_new_channel(t, &f->callbacks);
}

/* the target sends nothing: retries at another one, if allowed */
static void
on_silence_timer(mg_flow *f)
{
    int64_t ms = silence_limit_ms(f->route->gap_goal_ms, SILENT_GAPS);
    if (f->last_received_ms != 0 && now_of(f) - f->last_received_ms < ms) {
        watch_silence(f, ms - (now_of(f) - f->last_received_ms));
        return;
    }
    if (!may_retry(f) || !take_retry(f)) {
        /* the response may still arrive: wait until the deadline */
        mg_flow_set_timer(f, f->deadline_ms);
        return;
    }
    mg_log(MG_EV_REQ_CONNECT_FAILED,
           "id=%.*s target=%s why=silent last=%" PRIu64 " ms=%" PRId64,
           MG_STR_FMT(f->request.id), f->target->instance->info.id,
           f->ids.last, now_of(f) - f->arrived_ms);
    mg_flow_close_channel(f);
    target_failed(f, false);
    release_target(f);
    mg_flow_wait_for_target(f);
}

static void
on_wait_timer(mg_flow *f)
{
    switch (mg_wait_limit_action(is_late(f), may_have_run(f))) {
    case MG_WAIT_DEMOTE:
        demote(f);
        break;
    case MG_WAIT_REFUSE:
        mg_flow_refuse_busy(f, "waited");
        break;
    case MG_WAIT_CONTINUE:
        mg_flow_set_timer(f, f->deadline_ms);
        break;
    }
}

static void
on_timer(uv_timer_t *t)
{
    mg_flow *f = t->data;
    int64_t now = now_of(f);
    bool late = now >= f->deadline_ms;
    if (now < f->timer_at_ms) {
        /* the event loop's time is some ms older than the clock when a timer
           is set */
        mg_flow_set_timer(f, f->timer_at_ms);
        return;
    }
    if (f->state == MG_FLOW_CONNECTING && !late) {
        mg_flow_close_channel(f);
        on_end(&f->callbacks, MG_CHANNEL_CONNECT_FAILED);
        return;
    }
    if ((f->state == MG_FLOW_SENT || f->state == MG_FLOW_RECEIVING) && !late) {
        on_silence_timer(f);
        return;
    }
    if (f->state == MG_FLOW_WAITING && !late) {
        on_wait_timer(f);
        return;
    }
    if (f->state == MG_FLOW_RELAY_CONNECTING && !late) {
        f->on_relay_timeout(f);
        return;
    }
    if (f->state == MG_FLOW_SENT) {
        mg_reach_failed(&f->pool->reach);
    }
    mg_flow_close_channel(f);
    release_target(f);
    if (f->response_started || f->possible_runs == 0) {
        mg_flow_fail(f, "deadline");
    }
    else {
        mg_flow_refuse(f, 504, -1, "deadline");
    }
}

mg_flow *
mg_flow_new(mg_gateway *gw, mg_http_req *r, bool is_relayed)
{
    mg_flow *f = mg_alloc(sizeof(*f));
    f->gw = gw;
    f->is_relayed = is_relayed;
    f->request.http = r;
    f->arrived_ms = now_of(f);
    uv_timer_init(gw->opts.loop, &f->timer);
    f->timer.data = f;
    gw->open_requests++;
    mg_count(MG_C_REQUESTS, 1);
    mg_http_on_disconnect(r, on_client_disconnect, f);
    return f;
}
