#include <inttypes.h>

#include "base/event.h"
#include "gateway/gateway_int.h"
#include "gateway/suspects.h"

/* how long before the client's deadline a request fails, ms */
#define DEADLINE_MARGIN_MS 20
/* used when neither the client nor the route sets a timeout */
#define DEADLINE_DEFAULT_MS 30000
#define DECODE_TOKENS_DEFAULT 64

static uint32_t
clamp_tier(uint32_t tier)
{
    return tier < MG_TIER_MAX ? tier : MG_TIER_MAX - 1;
}

static void
set_ticket(mg_flow *f)
{
    mg_ticket *t = &f->ticket;
    const mg_client_request *c = &f->request;
    t->id = ++f->gw->next_ticket;
    uint32_t ws_tier = f->workspace != NULL ? f->workspace->tier : 0;
    f->tier = clamp_tier(ws_tier) * MG_TIER_MAX + clamp_tier(f->route->tier);
    t->tier = 2 * f->tier;
    t->weight = 1;
    t->prefill = c->prompt_tokens;
    t->decode = c->output_hint  ? c->output_hint
                : c->has_tokens ? c->output_tokens
                                : DECODE_TOKENS_DEFAULT;
    t->arrived_ms = f->arrived_ms;
    t->deadline_ms = f->arrived_ms + f->route->goal_ms;
    mg_str_copy(t->workspace, sizeof(t->workspace),
                mg_str_of(f->workspace ? f->workspace->name : "-"));
}

/* sets the workspace; returns 0, or the HTTP status of a refusal */
static int
check_workspace(mg_flow *f)
{
    const mg_routing *t = f->routing;
    if (!t->has_workspaces || f->route->is_public) {
        return 0;
    }
    f->workspace = mg_routing_workspace_by_key(t, f->request.key);
    return f->workspace == NULL ? 401 : 0;
}

static bool
take_quota(mg_flow *f)
{
    mg_gateway *gw = f->gw;
    const mg_client_workspace *w = f->workspace;
    if (w == NULL || w->rate <= 0) {
        return true;
    }
    f->quota_cost = 1;
    if (w->by_tokens) {
        f->quota_cost =
            f->request.has_tokens
                ? (double)f->request.prompt_tokens + f->request.output_tokens
                : w->default_tokens;
    }
    mg_gw_usage *u = mg_gw_usage_of(gw, w->name);
    const mg_gateway_limits *l = &gw->opts.limits;
    mg_quota_limits limits = mg_quota_limits_of(&(mg_quota_settings){
        .rate = w->rate,
        .burst = w->burst,
        .overage = l->quota_overage,
        .margin = w->by_tokens ? l->quota_margin : 0,
        .window_ms = l->quota_window_ms,
    });
    int64_t now = mg_now(gw->opts.clock);
    mg_quota_set(&u->quota, &limits);
    struct mg_gw_heard heard = mg_gw_heard(gw);
    mg_quota_set_view(&u->quota, gw->report_age_ms, heard.part, heard.others);
    if (!mg_quota_take(&u->quota, f->quota_cost, mg_rng_unit(&gw->rng), now)) {
        mg_log(MG_EV_QUOTA,
               "id=%.*s workspace=%s cost=%.0f in_window=%.0f rate=%.0f "
               "burst=%.0f used=%" PRIu64 " level=%.0f "
               "lag_ms=%" PRId64 " share=%.2f others=%u",
               MG_STR_FMT(f->request.id), w->name, f->quota_cost,
               u->quota.used_window, w->rate, w->burst, u->quota.used_total,
               u->quota.level, u->quota.lag_ms, u->quota.share,
               u->quota.others);
        mg_flow_refuse(f, 429, mg_quota_wait_ms(&u->quota, now), "quota");
        return false;
    }
    f->usage = u;
    return true;
}

static void
set_deadline(mg_flow *f)
{
    int64_t ms = f->request.timeout_ms;
    if (ms < 0 || (f->route->timeout_ms > 0 && f->route->timeout_ms < ms)) {
        ms = f->route->timeout_ms;
    }
    ms = ms > 0 ? ms : DEADLINE_DEFAULT_MS;
    f->deadline_ms = f->arrived_ms +
                     (ms > DEADLINE_MARGIN_MS ? ms - DEADLINE_MARGIN_MS : 1);
}

static void
admit(mg_flow *f)
{
    mg_gateway *gw = f->gw;
    if (gw->draining) {
        mg_flow_refuse(f, 503, 0, "draining");
        return;
    }
    if (gw->routing == NULL) {
        mg_flow_refuse(f, 503, MG_FLOW_RETRY_AFTER_MS, "no_document");
        return;
    }
    f->routing = mg_routing_ref(gw->routing);
    f->route = mg_routing_find_route(f->routing, f->request.host,
                                     mg_http_path(f->request.http));
    if (f->route == NULL) {
        mg_flow_refuse(f, 404, -1, "no_route");
        return;
    }
    int status = check_workspace(f);
    if (status != 0) {
        mg_flow_refuse(f, status, -1, "key");
        return;
    }
    if (mg_suspect_refuses(f) && !mg_suspect_may_try(f)) {
        mg_flow_refuse_suspect(f);
        return;
    }
    if (!take_quota(f)) {
        return;
    }
    set_deadline(f);
    set_ticket(f);
    mg_service *s = mg_route_choose_service(f->route, mg_rng_unit(&gw->rng));
    f->pool = mg_gw_pool_of(gw, s->name);
    f->pool->tier_last_arrival_ms[f->tier] = f->arrived_ms;
    if (f->request.resumes) {
        mg_event_ids_resume_after(&f->ids, f->request.resume_after);
    }
    f->wait_limit =
        mg_wait_limit_of(f->arrived_ms, f->deadline_ms, f->route->goal_ms,
                         mg_gw_min_first_ms(gw, f));
    mg_flow_wait_for_target(f);
    mg_gw_pool_dispatch(gw, f->pool);
    if (f->state != MG_FLOW_WAITING) {
        return;
    }
    int64_t wait = mg_dequeue_rate_wait_ms(
        &f->pool->dequeue_rate, mg_flow_queued_ahead(f), f->arrived_ms);
    if (f->arrived_ms + wait > f->wait_limit.refuse_at_ms) {
        mg_flow_refuse_busy(f, "queue");
    }
}

void
mg_flow_start(mg_gateway *gw, mg_http_req *r, bool is_relayed)
{
    mg_error err;
    mg_dialect *d = gw->opts.dialect;
    mg_flow *f = mg_flow_new(gw, r, is_relayed);
    if (d->read_request(d, r, &f->request, &err) != MG_OK) {
        mg_flow_refuse(f, 400, -1, err.text);
        return;
    }
    admit(f);
}
