#include "gateway/gateway.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "gateway/gateway_int.h"
#include "gateway/relay.h"
#include "gateway/suspects.h"

#define SWEEP_MS 500
/* for this time after the start, the first usage total reported by another
   entry is only a baseline and is not counted, ms */
#define BASELINE_MS 2500
/* reports bear past use for this time after another entry has started, ms */
#define PAST_REPORTS_MS 2000
/* age at which a report is no longer counted, ms */
#define REPORT_STALE_MS 2000

/* --------------------------------------------------------------- pools */

mg_gw_pool *
mg_gw_pool_of(mg_gateway *gw, const char *service)
{
    mg_gw_pool *p;
    HASH_FIND_STR(gw->pools, service, p);
    if (p == NULL) {
        p = mg_alloc(sizeof(*p));
        p->gw = gw;
        mg_str_copy(p->service, sizeof(p->service), mg_str_of(service));
        p->waiting = mg_tierq_new();
        mg_retry_budget_init(&p->retry_budget,
                             gw->opts.limits.retry_window_ms);
        init_list_head(&p->link);
        HASH_ADD_STR(gw->pools, service, p);
    }
    return p;
}

void
mg_gw_pool_schedule(mg_gateway *gw, mg_gw_pool *p)
{
    if (!p->scheduled) {
        p->scheduled = true;
        list_add_tail(&p->link, &gw->scheduled_pools);
    }
}

void
mg_gw_pool_dispatch(mg_gateway *gw, mg_gw_pool *p)
{
    mg_ticket *ticket;
    while ((ticket = mg_tierq_head(p->waiting)) != NULL) {
        mg_flow *f = list_entry(ticket, mg_flow, ticket);
        if (mg_suspect_refuses(f)) {
            mg_flow_refuse_suspect(f);
            continue;
        }
        bool relayed = mg_relay_wanted(f);
        mg_gw_target *t = relayed ? NULL : mg_gw_choose_target(gw, f);
        if (t == NULL && !relayed) {
            return;
        }
        mg_tierq_serve(p->waiting, ticket);
        mg_dequeue_rate_count(&p->dequeue_rate, mg_now(gw->opts.clock));
        if (relayed) {
            mg_relay_start(f);
        }
        else {
            mg_flow_dispatch(f, t);
        }
    }
}

void
mg_gateway_dispatch_scheduled(mg_gateway *gw)
{
    list_for_each_safe(el, el1, &gw->scheduled_pools)
    {
        mg_gw_pool *p = list_entry(el, mg_gw_pool, link);
        list_del(&p->link);
        p->scheduled = false;
        mg_gw_pool_dispatch(gw, p);
    }
}

/* ------------------------------------------------------------- reports */

static void
report_target(void *user, mg_instance *i)
{
    mg_gw_target *t = i->owner_data;
    if (t != NULL) {
        mg_gw_target_update_borrowable(t);
    }
    if (t == NULL || (t->running == 0 && t->unreported_nominal_ms < 1)) {
        return;
    }
    mg_msg m = {.type = MG_MSG_LOAD_TARGET};
    m.u.load_target.id = mg_str_of(i->info.id);
    m.u.load_target.running = t->running;
    m.u.load_target.prefill = (uint64_t)t->backlog;
    m.u.load_target.took_ms = (uint64_t)t->unreported_measured_ms;
    m.u.load_target.work_ms = (uint64_t)t->unreported_nominal_ms;
    t->unreported_measured_ms = 0;
    t->unreported_nominal_ms = 0;
    mg_msg_encode(&m, user);
}

static void
report_capacity(void *user, mg_instance *i)
{
    if (i->owner_data != NULL) {
        mg_gw_target_report_capacity(i->owner_data, user);
    }
}

static void
report_reach(const mg_gateway *gw, mg_buf *loads)
{
    int64_t now = mg_now(gw->opts.clock);
    /* a draining entry takes no requests of others */
    const mg_gw_pool *p = gw->draining ? NULL : gw->pools;
    for (; p != NULL; p = p->hh.next) {
        int64_t age_ms = mg_reach_report_age(&p->reach, now);
        mg_msg m = {.type = MG_MSG_LOAD_REACH};
        if (age_ms >= 0) {
            m.u.load_reach.service = mg_str_of(p->service);
            m.u.load_reach.age_ms = (uint64_t)age_ms;
            mg_msg_encode(&m, loads);
        }
    }
}

static void
report_past_use_of(mg_gw_usage *u, int64_t now, mg_buf *loads)
{
    for (unsigned i = 0; i < MG_QUOTA_INTERVALS; i++) {
        mg_msg m = {.type = MG_MSG_LOAD_PAST};
        int64_t age_ms;
        double used = mg_quota_past(&u->quota, i, now, &age_ms);
        if (used < 1) {
            continue;
        }
        m.u.load_past.workspace = mg_str_of(u->workspace);
        m.u.load_past.used = (uint64_t)used;
        m.u.load_past.age_ms = (uint64_t)age_ms;
        mg_msg_encode(&m, loads);
    }
}

/* For entries that have just started. Only for workspaces that use at least
   half of their quota, to keep reports small.
   XXX: a started entry may grant another one what it had used before. */
static void
report_past_use(mg_gateway *gw, mg_buf *loads)
{
    int64_t now = mg_now(gw->opts.clock);
    mg_gw_usage *u = now < gw->past_until_ms ? gw->usage : NULL;
    for (; u != NULL; u = u->hh.next) {
        if (mg_quota_is_half_used(&u->quota, now)) {
            report_past_use_of(u, now, loads);
        }
    }
}

void
mg_gateway_append_report(mg_gateway *gw, mg_buf *loads)
{
    mg_registry_each(gw->opts.registry, report_target, loads);
    for (mg_gw_pool *p = gw->pools; p != NULL; p = p->hh.next) {
        mg_msg m = {.type = MG_MSG_LOAD_POOL};
        if (mg_tierq_count(p->waiting) > 0) {
            m.u.load_pool.service = mg_str_of(p->service);
            m.u.load_pool.waiting = mg_tierq_count(p->waiting);
            mg_msg_encode(&m, loads);
        }
    }
    report_reach(gw, loads);
    for (mg_gw_usage *u = gw->usage; u != NULL; u = u->hh.next) {
        mg_msg m = {.type = MG_MSG_LOAD_USAGE};
        if (u->quota.used_total == 0) {
            continue;
        }
        m.u.load_usage.workspace = mg_str_of(u->workspace);
        m.u.load_usage.used = u->quota.used_total;
        mg_msg_encode(&m, loads);
    }
    report_past_use(gw, loads);
    mg_strikes_report(gw->strikes, loads);
    mg_registry_each(gw->opts.registry, report_capacity, loads);
}

/* a workspace's total in the previous report of entry p, 0 if it has none */
static uint64_t
previously_used(const mg_gw_peer *p, mg_str workspace)
{
    mg_msg m;
    mg_str rest = mg_str_buf(&p->loads);
    while (mg_msg_next(&rest, &m) == MG_OK) {
        if (m.type == MG_MSG_LOAD_USAGE &&
            mg_str_eq(m.u.load_usage.workspace, workspace)) {
            return m.u.load_usage.used;
        }
    }
    return 0;
}

mg_gw_usage *
mg_gw_usage_of(mg_gateway *gw, const char *workspace)
{
    mg_gw_usage *u;
    HASH_FIND_STR(gw->usage, workspace, u);
    if (u == NULL) {
        u = mg_alloc(sizeof(*u));
        mg_str_copy(u->workspace, sizeof(u->workspace), mg_str_of(workspace));
        mg_quota_set(&u->quota, 0, 0, 0, gw->opts.limits.quota_window_ms);
        HASH_ADD_STR(gw->usage, workspace, u);
    }
    return u;
}

/* counts remote usage, also of workspaces without local requests so far */
static void
add_remote_usage(mg_gateway *gw, const mg_gw_peer *p,
                 const mg_load_usage_msg *l)
{
    char name[MG_NAME_SIZE];
    int64_t now = mg_now(gw->opts.clock);
    uint64_t before = previously_used(p, l->workspace);
    if (p->loads.n == 0 && now - gw->started_ms < BASELINE_MS) {
        return; /* the total may include use before this window */
    }
    mg_str_copy(name, sizeof(name), l->workspace);
    if (l->used > before) {
        mg_quota_add_remote(&mg_gw_usage_of(gw, name)->quota,
                            (double)(l->used - before), now);
    }
}

/* After a start, counts what a workspace had used before it, as the first
   report that says so has it. */
static void
add_past_use(mg_gateway *gw, const mg_load_past_msg *l)
{
    char name[MG_NAME_SIZE];
    int64_t now = mg_now(gw->opts.clock);
    if (now - gw->started_ms > gw->opts.limits.quota_window_ms) {
        return;
    }
    mg_str_copy(name, sizeof(name), l->workspace);
    mg_gw_usage *u = mg_gw_usage_of(gw, name);
    if (u->past_report == 0) {
        u->past_report = gw->report_count;
        mg_log(MG_EV_QUOTA, "workspace=%s why=past_use", name);
    }
    int64_t age_ms = l->age_ms < INT32_MAX ? (int64_t)l->age_ms : INT32_MAX;
    /* what was used since is known */
    if (u->past_report == gw->report_count && age_ms >= now - gw->started_ms) {
        mg_quota_add_past(&u->quota, (double)l->used, age_ms, now);
    }
}

static void
add_signed(double *sum, double sign, uint64_t value)
{
    *sum += sign * (double)value;
    *sum = *sum > 0 ? *sum : 0;
}

/* adds (sign 1) or subtracts (sign -1) the loads of a report */
static void
apply_loads(mg_gateway *gw, mg_str loads, double sign)
{
    char id[MG_NAME_SIZE];
    mg_msg m;
    while (mg_msg_next(&loads, &m) == MG_OK) {
        if (m.type == MG_MSG_LOAD_POOL) {
            mg_str_copy(id, sizeof(id), m.u.load_pool.service);
            add_signed(&mg_gw_pool_of(gw, id)->waiting_entries, sign, 1);
        }
        if (m.type != MG_MSG_LOAD_TARGET) {
            continue;
        }
        mg_str_copy(id, sizeof(id), m.u.load_target.id);
        mg_instance *i = mg_registry_find(gw->opts.registry, id);
        if (i == NULL) {
            continue;
        }
        mg_gw_target *t = mg_gw_target_of(gw, i);
        const mg_load_target_msg *l = &m.u.load_target;
        add_signed(&t->reported_running, sign, l->running);
        add_signed(&t->reported_backlog, sign, l->prefill);
        if (sign > 0) {
            mg_gw_target_add_reported_sample(t, (double)l->took_ms,
                                             (double)l->work_ms);
        }
    }
}

static void
receive_capacity(mg_gateway *gw, const mg_load_capacity_msg *l)
{
    char id[MG_NAME_SIZE];
    mg_str_copy(id, sizeof(id), l->id);
    mg_instance *i = mg_registry_find(gw->opts.registry, id);
    if (i != NULL) {
        mg_gw_target_receive_capacity(mg_gw_target_of(gw, i), l);
    }
}

static void
receive_reach(mg_gateway *gw, mg_gw_peer *p, const mg_load_reach_msg *l)
{
    char service[MG_NAME_SIZE];
    mg_str_copy(service, sizeof(service), l->service);
    if (l->age_ms < INT32_MAX) {
        mg_reach_reported(&mg_gw_pool_of(gw, service)->reach,
                          (int64_t)l->age_ms, mg_now(gw->opts.clock));
    }
    if (p->reached_count < MG_GW_REACHED_MAX) {
        p->reached[p->reached_count++] = mg_hash(l->service);
    }
}

static mg_gw_peer *
peer_of(mg_gateway *gw, const char *node)
{
    mg_gw_peer *p;
    HASH_FIND_STR(gw->peers, node, p);
    if (p == NULL) {
        p = mg_alloc(sizeof(*p));
        mg_str_copy(p->node, sizeof(p->node), mg_str_of(node));
        HASH_ADD_STR(gw->peers, node, p);
    }
    return p;
}

static void
schedule_waiting_pools(mg_gateway *gw)
{
    for (mg_gw_pool *p = gw->pools; p != NULL; p = p->hh.next) {
        if (mg_tierq_count(p->waiting) > 0) {
            mg_gw_pool_schedule(gw, p);
        }
    }
}

void
mg_gateway_receive_report(mg_gateway *gw, const char *node,
                          uint64_t incarnation, mg_str loads)
{
    mg_gw_peer *p = peer_of(gw, node);
    mg_msg m;
    if (p->counted) {
        apply_loads(gw, mg_str_buf(&p->loads), -1);
    }
    if (p->incarnation != incarnation) {
        p->incarnation = incarnation;
        p->loads.n = 0;
        mg_strikes_entry_started(gw->strikes);
        gw->past_until_ms = mg_now(gw->opts.clock) + PAST_REPORTS_MS;
    }
    gw->report_count++;
    p->reached_count = 0;
    mg_str rest = loads;
    while (mg_msg_next(&rest, &m) == MG_OK) {
        if (m.type == MG_MSG_LOAD_USAGE) {
            add_remote_usage(gw, p, &m.u.load_usage);
        }
        else if (m.type == MG_MSG_LOAD_PAST) {
            add_past_use(gw, &m.u.load_past);
        }
        else if (m.type == MG_MSG_LOAD_STRIKE) {
            mg_suspect_receive_strike(gw, &m.u.load_strike);
        }
        else if (m.type == MG_MSG_LOAD_SERVED) {
            mg_suspect_receive_served(gw, &m.u.load_served);
        }
        else if (m.type == MG_MSG_LOAD_REACH) {
            receive_reach(gw, p, &m.u.load_reach);
        }
        else if (m.type == MG_MSG_LOAD_CAPACITY) {
            receive_capacity(gw, &m.u.load_capacity);
        }
    }
    p->loads.n = 0;
    mg_buf_put(&p->loads, loads.p, loads.n);
    p->received_ms = mg_now(gw->opts.clock);
    p->counted = true;
    apply_loads(gw, mg_str_buf(&p->loads), 1);
    schedule_waiting_pools(gw);
}

void
mg_gateway_set_report_age(mg_gateway *gw, int64_t ms)
{
    gw->report_age_ms = ms;
}

/* stops counting the loads of entries that no longer report */
static void
drop_stale_reports(mg_gateway *gw)
{
    int64_t now = mg_now(gw->opts.clock);
    for (mg_gw_peer *p = gw->peers; p != NULL; p = p->hh.next) {
        if (p->counted && now - p->received_ms > REPORT_STALE_MS) {
            apply_loads(gw, mg_str_buf(&p->loads), -1);
            p->counted = false;
        }
    }
}

/* ------------------------------------------------------------- gateway */

mg_gateway *
mg_gateway_new(const mg_gateway_options *opts)
{
    mg_gateway *gw = mg_alloc(sizeof(*gw));
    gw->opts = *opts;
    mg_str_copy(gw->domain, sizeof(gw->domain), mg_str_of(opts->domain));
    mg_rng_init(&gw->rng, opts->seed);
    init_list_head(&gw->scheduled_pools);
    gw->strikes = mg_strikes_new(opts->clock);
    gw->versions = mg_versions_new(opts->clock);
    gw->started_ms = mg_now(opts->clock);
    gw->entry_count = 1;
    gw->gen = 1;
    return gw;
}

void
mg_gateway_set_routing(mg_gateway *gw, mg_routing *t)
{
    mg_routing_unref(gw->routing);
    gw->routing = t;
    mg_log(MG_EV_CONFIG_APPLIED, "version=%" PRIu64 " routes=%u services=%u",
           t->version, HASH_COUNT(t->routes), HASH_COUNT(t->services));
    mg_count(MG_C_CONFIG_APPLIED, 1);
}

const mg_routing *
mg_gateway_routing(const mg_gateway *gw)
{
    return gw->routing;
}

void
mg_gateway_set_limits(mg_gateway *gw, const mg_gateway_limits *l)
{
    gw->opts.limits = *l;
}

void
mg_gateway_handle(mg_gateway *gw, mg_http_req *r)
{
    mg_flow_start(gw, r, false);
}

void
mg_gateway_handle_relayed(mg_gateway *gw, mg_http_req *r)
{
    mg_flow_start(gw, r, true);
}

bool
mg_gateway_is_cut(const mg_gateway *gw)
{
    for (const mg_gw_pool *p = gw->pools; p != NULL; p = p->hh.next) {
        if (p->cut) {
            return true;
        }
    }
    return false;
}

void
mg_gateway_instance_changed(mg_gateway *gw, mg_instance *i)
{
    mg_gw_target *t = mg_gw_target_of(gw, i);
    gw->gen++;
    if (i->info.state == MG_INSTANCE_READY) {
        mg_gw_target_served(t);
        mg_gw_pool_schedule(gw, mg_gw_pool_of(gw, i->info.service));
    }
    else {
        mg_gw_close_idle(t);
    }
}

void
mg_gateway_instance_removed(mg_instance *i)
{
    mg_gw_target *t = i->owner_data;
    i->owner_data = NULL;
    if (t != NULL) {
        t->gw->gen++;
        mg_gw_close_all(t);
        free(t);
    }
}

void
mg_gateway_drain(mg_gateway *gw)
{
    gw->draining = true;
}

size_t
mg_gateway_open_requests(const mg_gateway *gw)
{
    return gw->open_requests;
}

uint32_t
mg_gw_domain_number(const char *domain)
{
    return (uint32_t)mg_hash(mg_str_of(domain));
}

void
mg_gateway_set_entries(mg_gateway *gw, const mg_gateway_entry *entries,
                       size_t n, size_t self)
{
    bool same = gw->entry_count == n && gw->self_index == self;
    n = n < MG_GW_ENTRIES_MAX ? n : MG_GW_ENTRIES_MAX;
    for (size_t i = 0; i < n; i++) {
        uint32_t number = mg_gw_domain_number(entries[i].domain);
        uint64_t key = mg_hash(mg_str_of(entries[i].node));
        same =
            same && gw->entry_domains[i] == number && gw->entry_keys[i] == key;
        gw->entry_domains[i] = number;
        gw->entry_keys[i] = key;
    }
    if (!same) {
        gw->entry_count = n;
        gw->self_index = self;
        gw->gen++;
        mg_versions_set_entries(gw->versions, self, n);
    }
}

void
mg_gateway_set_rollout(mg_gateway *gw, const mg_rec_rollout_msg *rec)
{
    mg_versions_set_rollout(gw->versions, rec);
    schedule_waiting_pools(gw);
}

void
mg_gateway_flush_rollout_samples(mg_gateway *gw,
                                 void (*f)(void *user, const mg_msg *m),
                                 void *user)
{
    mg_versions_flush_samples(gw->versions, f, user);
}

double
mg_gateway_running_on_other_versions(const mg_gateway *gw, const char *service,
                                     const char *version)
{
    double running = 0;
    mg_instance_group *g = mg_registry_service(gw->opts.registry, service);
    if (g == NULL) {
        return 0;
    }
    list_for_each(el, &g->instances)
    {
        const mg_instance *i = list_entry(el, mg_instance, link);
        const mg_gw_target *t = i->owner_data;
        if (t != NULL && strcmp(i->info.version, version) != 0) {
            running += t->running + t->reported_running;
        }
    }
    return running;
}

static void
sweep_target(void *user, mg_instance *i)
{
    (void)user;
    if (i->owner_data != NULL) {
        mg_gw_close_idle(i->owner_data);
        mg_gw_target_expire_capacity(i->owner_data);
    }
}

void
mg_gateway_tick(mg_gateway *gw)
{
    int64_t now = mg_now(gw->opts.clock);
    mg_relay_probe(gw);
    schedule_waiting_pools(gw);
    if (now >= gw->next_sweep_ms) {
        gw->next_sweep_ms = now + SWEEP_MS;
        drop_stale_reports(gw);
        mg_strikes_expire(gw->strikes);
        mg_registry_each(gw->opts.registry, sweep_target, NULL);
    }
}
