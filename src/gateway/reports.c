#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gateway/gateway_int.h"
#include "gateway/suspects.h"

/* for this time after the start, the first usage total reported by another
   entry is only a baseline and is not counted, ms */
#define BASELINE_MS 2500
/* reports bear past use for this time after another entry has started, ms */
#define PAST_REPORTS_MS 2000
/* age at which a report is no longer counted, ms */
#define REPORT_STALE_MS 2000
/* an entry is silent if its last report is older than so many times the age at
   which the next one should have come */
#define SILENT_LAGS 2
/* an entry that has not reported for so long has stopped, ms */
#define REPORT_GONE_MS 15000

/* ------------------------------------------------------------- sending */

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
report_pause(void *user, mg_instance *i)
{
    if (i->owner_data != NULL) {
        mg_gw_target_report_pause(i->owner_data, user);
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

/* XXX: after all other messages: hosts of an earlier build ignore what follows
   a message that they don't know. */
static void
report_refused(const mg_gateway *gw, mg_buf *loads)
{
    for (const mg_gw_usage *u = gw->usage; u != NULL; u = u->hh.next) {
        mg_msg m = {.type = MG_MSG_LOAD_REFUSED};
        if (u->quota.refused_total > 0) {
            m.u.load_refused.workspace = mg_str_of(u->workspace);
            m.u.load_refused.cost = u->quota.refused_total;
            mg_msg_encode(&m, loads);
        }
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
    report_refused(gw, loads);
    mg_registry_each(gw->opts.registry, report_pause, loads);
}

/* ----------------------------------------------------------- receiving */

/* a workspace's total of the given type (LOAD_USAGE or LOAD_REFUSED) in the
   previous report of entry p, 0 if it has none */
static uint64_t
previous_total(const mg_gw_peer *p, mg_msg_type type, mg_str workspace)
{
    mg_msg m;
    mg_str rest = mg_str_buf(&p->loads);
    while (mg_msg_next(&rest, &m) == MG_OK) {
        if (m.type != type) {
            continue;
        }
        if (type == MG_MSG_LOAD_USAGE &&
            mg_str_eq(m.u.load_usage.workspace, workspace)) {
            return m.u.load_usage.used;
        }
        if (type == MG_MSG_LOAD_REFUSED &&
            mg_str_eq(m.u.load_refused.workspace, workspace)) {
            return m.u.load_refused.cost;
        }
    }
    return 0;
}

/* counts remote usage, also of workspaces without local requests so far */
static void
add_remote_usage(mg_gateway *gw, const mg_gw_peer *p,
                 const mg_load_usage_msg *l)
{
    char name[MG_NAME_SIZE];
    int64_t now = mg_now(gw->opts.clock);
    uint64_t before = previous_total(p, MG_MSG_LOAD_USAGE, l->workspace);
    if (p->loads.n == 0 && now - gw->started_ms < BASELINE_MS) {
        return; /* the total may include use before this window */
    }
    mg_str_copy(name, sizeof(name), l->workspace);
    if (l->used > before) {
        mg_quota_add_remote(&mg_gw_usage_of(gw, name)->quota,
                            (double)(l->used - before), now);
    }
}

static void
add_remote_refused(mg_gateway *gw, const mg_gw_peer *p,
                   const mg_load_refused_msg *l)
{
    char name[MG_NAME_SIZE];
    uint64_t before = previous_total(p, MG_MSG_LOAD_REFUSED, l->workspace);
    if (p->loads.n == 0 || l->cost <= before) {
        return; /* the first total may include refusals of long ago */
    }
    mg_str_copy(name, sizeof(name), l->workspace);
    mg_quota_add_remote_refused(&mg_gw_usage_of(gw, name)->quota,
                                (double)(l->cost - before),
                                mg_now(gw->opts.clock));
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

/* The target with an id, NULL if it isn't known. */
static mg_gw_target *
find_target(mg_gateway *gw, mg_str id)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), id);
    mg_instance *i = mg_registry_find(gw->opts.registry, name);
    return i != NULL ? mg_gw_target_of(gw, i) : NULL;
}

static void
receive_capacity(mg_gateway *gw, const mg_load_capacity_msg *l)
{
    mg_gw_target *t = find_target(gw, l->id);
    if (t != NULL) {
        mg_gw_target_receive_capacity(t, l);
    }
}

static void
receive_pause(mg_gateway *gw, const mg_load_pause_msg *l)
{
    mg_gw_target *t = find_target(gw, l->id);
    if (t != NULL) {
        mg_gw_target_receive_pause(t, l);
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
        else if (m.type == MG_MSG_LOAD_REFUSED) {
            add_remote_refused(gw, p, &m.u.load_refused);
        }
        else if (m.type == MG_MSG_LOAD_PAUSE) {
            receive_pause(gw, &m.u.load_pause);
        }
        else if (m.type == MG_MSG_LOAD_PAST) {
            add_past_use(gw, &m.u.load_past);
        }
        else if (m.type == MG_MSG_LOAD_STRIKE) {
            mg_suspect_receive_strike(gw, &m.u.load_strike);
        }
        else if (m.type == MG_MSG_LOAD_SUSPECT) {
            mg_suspect_receive_details(gw, &m.u.load_suspect);
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
    mg_gw_schedule_waiting(gw);
}

void
mg_gateway_set_report_age(mg_gateway *gw, int64_t ms)
{
    gw->report_age_ms = ms;
}

struct mg_gw_heard
mg_gw_heard(const mg_gateway *gw)
{
    int64_t now = mg_now(gw->opts.clock);
    struct mg_gw_heard h = {0};
    unsigned silent = 0;
    for (const mg_gw_peer *p = gw->peers; p != NULL; p = p->hh.next) {
        int64_t age = now - p->received_ms;
        bool hears = age <= SILENT_LAGS * gw->report_age_ms;
        h.others += hears;
        silent += !hears && age < REPORT_GONE_MS;
    }
    h.part = (double)(h.others + 1) / (double)(h.others + 1 + silent);
    return h;
}

void
mg_gw_drop_stale_reports(mg_gateway *gw)
{
    int64_t now = mg_now(gw->opts.clock);
    for (mg_gw_peer *p = gw->peers; p != NULL; p = p->hh.next) {
        if (p->counted && now - p->received_ms > REPORT_STALE_MS) {
            apply_loads(gw, mg_str_buf(&p->loads), -1);
            p->counted = false;
        }
    }
}
