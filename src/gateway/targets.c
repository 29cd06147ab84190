#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gateway/gateway_int.h"
#include "gateway/pick.h"
#include "gateway/slots.h"

#define CANDIDATES_MAX 512
/* keep-alive time of a peer that does not announce one, ms */
#define KEEP_ALIVE_DEFAULT_MS 4000
/* a channel is not reused this long before the peer's keep-alive ends, ms */
#define KEEP_ALIVE_MARGIN_MS 700
/* longest idle time of a channel for a request that must not be retried, ms */
#define RECENT_IDLE_MS 1500
/* a failing target is avoided for this time, doubled with each failure, ms */
#define AVOID_FIRST_MS 250
#define AVOID_MAX_MS 4000
#define AVOID_DOUBLINGS 4
/* an error response may be the client's fault: a target is avoided only after
   this many consecutive failures */
#define ERROR_RESPONSES_MIN 3
#define SLOTS_DEFAULT 4
/* responses whose statements can't be read are logged at this interval, ms */
#define MALFORMED_LOG_INTERVAL_MS 60000
/* 1/7 of the allocated slots is reserved for higher tiers seen recently */
#define RESERVE_DIVISOR 7
#define TIER_RECENT_MS 2000
/* time constant of the exponential decay of learned samples, ms */
#define DECAY_MS 8000.0
#define DECAY_STEP_MS 100
/* requests per second are sent as a whole number of thousandths */
#define MILLI 1000.0
/* weight of the initial assumption that a target's slowdown is 1, ms */
#define PRIOR_MS 100.0

mg_gw_target *
mg_gw_target_of(mg_gateway *gw, mg_instance *i)
{
    mg_gw_target *t = i->owner_data;
    if (t == NULL) {
        t = mg_alloc(sizeof(*t));
        t->gw = gw;
        t->instance = i;
        init_list_head(&t->idle);
        i->owner_data = t;
    }
    return t;
}

static bool
is_unhealthy(const mg_gw_target *t, int64_t now)
{
    return now < t->avoid_until_ms || mg_instance_is_silent(t->instance, now);
}

/* decays the sums of learned samples */
static void
decay(mg_gw_target *t, int64_t now)
{
    int64_t age = now - t->decayed_at_ms;
    if (age < DECAY_STEP_MS) {
        return;
    }
    double factor = age > 20 * DECAY_MS ? 0 : exp(-(double)age / DECAY_MS);
    t->measured_ms *= factor;
    t->nominal_ms *= factor;
    t->reported_measured_ms *= factor;
    t->reported_nominal_ms *= factor;
    t->decayed_at_ms = now;
}

void
mg_gw_target_add_sample(mg_gw_target *t, double measured_ms, double nominal_ms)
{
    decay(t, mg_now(t->gw->opts.clock));
    t->measured_ms += measured_ms;
    t->nominal_ms += nominal_ms;
    t->unreported_measured_ms += measured_ms;
    t->unreported_nominal_ms += nominal_ms;
}

void
mg_gw_target_add_reported_sample(mg_gw_target *t, double measured_ms,
                                 double nominal_ms)
{
    decay(t, mg_now(t->gw->opts.clock));
    t->reported_measured_ms += measured_ms;
    t->reported_nominal_ms += nominal_ms;
}

double
mg_gw_target_slowdown(mg_gw_target *t, int64_t now)
{
    decay(t, now);
    return (t->measured_ms + t->reported_measured_ms + PRIOR_MS) /
           (t->nominal_ms + t->reported_nominal_ms + PRIOR_MS);
}

static uint32_t
slots_of(const mg_gw_target *t)
{
    uint32_t slots = t->instance->info.slots;
    return slots > 0 ? slots : SLOTS_DEFAULT;
}

static mg_candidate
candidate_of(mg_gw_target *t, int64_t now)
{
    const mg_announcement *info = &t->instance->info;
    return (mg_candidate){
        .slots = slots_of(t),
        .running = t->running + t->reported_running,
        .local_running = t->running,
        .allocated = t->allocated,
        .borrowable = t->borrowable,
        .backlog = t->backlog + t->reported_backlog,
        .slowdown = mg_gw_target_slowdown(t, now),
        .same_domain = strcmp(info->domain, t->gw->domain) == 0,
        .unhealthy = is_unhealthy(t, now),
        .held_back = !mg_capacity_admits(&t->capacity, now),
    };
}

void
mg_gw_target_update_borrowable(mg_gw_target *t)
{
    mg_gateway *gw = t->gw;
    uint32_t slots = slots_of(t);
    double free_slots = (double)slots - t->reported_running - t->running;
    const mg_gw_pool *p = mg_gw_pool_of(gw, t->instance->info.service);
    t->borrowable = mg_slots_borrowable(free_slots, slots, gw->entry_count,
                                        (size_t)p->waiting_entries,
                                        p->allocated, mg_rng_unit(&gw->rng));
}

/* whether f may use an allocated slot; some are kept for higher tiers with
   recent requests */
static bool
may_use_allocated(const mg_flow *f, int64_t now)
{
    const mg_gw_pool *p = f->pool;
    if (p->running + p->allocated / RESERVE_DIVISOR < p->allocated) {
        return true;
    }
    for (uint32_t i = 0; i < f->tier; i++) {
        if (p->tier_last_arrival_ms[i] != 0 &&
            now - p->tier_last_arrival_ms[i] < TIER_RECENT_MS) {
            return false;
        }
    }
    return true;
}

static mg_pick_request
pick_request(const mg_flow *f, int64_t now)
{
    return (mg_pick_request){
        .prompt_tokens = f->request.prompt_tokens,
        .goal_ms = (double)f->route->goal_ms,
        .may_use_allocated = may_use_allocated(f, now),
    };
}

int64_t
mg_gw_min_first_ms(mg_gateway *gw, const mg_flow *f)
{
    mg_instance_group *g =
        mg_registry_service(gw->opts.registry, f->pool->service);
    int64_t now = mg_now(gw->opts.clock);
    mg_pick_request r = pick_request(f, now);
    double min_ms = -1;
    if (g == NULL) {
        return 0;
    }
    list_for_each(el, &g->instances)
    {
        mg_instance *i = list_entry(el, mg_instance, link);
        if (!mg_instance_is_usable(i, now)) {
            continue;
        }
        mg_candidate c = candidate_of(mg_gw_target_of(gw, i), now);
        c.backlog = 0;
        double ms = mg_pick_first_ms(&r, &c);
        min_ms = min_ms < 0 || ms < min_ms ? ms : min_ms;
    }
    return min_ms < 0 ? 0 : (int64_t)min_ms;
}

static int
compare_ids(const void *a, const void *b)
{
    const mg_gw_target *x = *(mg_gw_target *const *)a;
    const mg_gw_target *y = *(mg_gw_target *const *)b;
    return strcmp(x->instance->info.id, y->instance->info.id);
}

/* ------------------------------------------------------------- capacity */

/* divides a limit that the target states among the entries */
static void
divide_limit(mg_gw_target *t)
{
    const mg_gateway *gw = t->gw;
    if (t->capacity.stated.limited) {
        uint32_t shares =
            mg_capacity_shares(t->capacity.stated.rate_max, gw->entry_count);
        bool owner = mg_capacity_owns(mg_hash(mg_str_of(t->instance->info.id)),
                                      gw->entry_keys, gw->entry_count,
                                      gw->self_index, shares);
        mg_capacity_divide(&t->capacity, owner, shares,
                           mg_now(gw->opts.clock));
    }
}

static void
log_capacity(const mg_gw_target *t, const char *why)
{
    const mg_capacity *c = &t->capacity;
    mg_log(MG_EV_TARGET_CAPACITY,
           "id=%s service=%s why=%s limited=%d rate_max=%.2f brittle=%d "
           "rejections_max=%u pause_ms=%lld owner=%d shares=%u running=%u "
           "others=%.0f",
           t->instance->info.id, t->instance->info.service, why,
           c->stated.limited, c->stated.rate_max, c->stated.brittle,
           c->stated.rejections_max, (long long)c->heard.pause_ms, c->owner,
           c->shares, t->running, t->reported_running);
}

static void
forget_former_run(mg_gw_target *t)
{
    if (t->capacity_run != t->instance->info.started_ms) {
        t->capacity_run = t->instance->info.started_ms;
        t->capacity = (mg_capacity){0};
    }
}

void
mg_gw_target_states(mg_gw_target *t, const mg_capacity_statement *s,
                    int64_t sent_ms)
{
    forget_former_run(t);
    if (mg_capacity_heard(&t->capacity, s, sent_ms,
                          mg_now(t->gw->opts.clock))) {
        divide_limit(t);
        log_capacity(t, "stated");
    }
    else if (s->pause_ms > 0) {
        log_capacity(t, "pause");
    }
}

void
mg_gw_target_leaves(mg_gw_target *t, const mg_response_head *res)
{
    mg_gateway *gw = t->gw;
    int64_t now = mg_now(gw->opts.clock);
    if (res->malformed &&
        now - gw->malformed_logged_ms >= MALFORMED_LOG_INTERVAL_MS) {
        gw->malformed_logged_ms = now;
        mg_log(MG_EV_BAD_INPUT, "id=%s what=statement", t->instance->info.id);
    }
    if (res->leaving && t->instance->info.state == MG_INSTANCE_READY &&
        gw->opts.on_leaving != NULL) {
        gw->opts.on_leaving(gw->opts.user, t->instance);
    }
}

void
mg_gw_target_receive_capacity(mg_gw_target *t, const mg_load_capacity_msg *m)
{
    mg_capacity_report r = {
        .said = {.limited = m->limited != 0,
                 .rate_max = (double)m->rate_max_milli / MILLI,
                 .brittle = m->brittle != 0,
                 .rejections_max = (uint32_t)m->rejections_max},
        .age_ms = (int64_t)m->age_ms,
        .sent_age_ms = (int64_t)m->sent_age_ms,
    };
    forget_former_run(t);
    if (m->run != t->capacity_run || m->age_ms > INT32_MAX ||
        m->sent_age_ms > INT64_MAX / 2) {
        return;
    }
    if (mg_capacity_reported(&t->capacity, &r, mg_now(t->gw->opts.clock))) {
        divide_limit(t);
        log_capacity(t, "reported");
    }
}

void
mg_gw_target_report_capacity(mg_gw_target *t, mg_buf *loads)
{
    mg_capacity_report r;
    mg_msg m = {.type = MG_MSG_LOAD_CAPACITY};
    forget_former_run(t);
    if (!mg_capacity_next_report(&t->capacity, mg_now(t->gw->opts.clock),
                                 &r)) {
        return;
    }
    m.u.load_capacity.id = mg_str_of(t->instance->info.id);
    m.u.load_capacity.run = t->capacity_run;
    m.u.load_capacity.limited = r.said.limited;
    m.u.load_capacity.rate_max_milli = (uint64_t)(r.said.rate_max * MILLI);
    m.u.load_capacity.brittle = r.said.brittle;
    m.u.load_capacity.rejections_max = r.said.rejections_max;
    m.u.load_capacity.age_ms = (uint64_t)r.age_ms;
    m.u.load_capacity.sent_age_ms = (uint64_t)r.sent_age_ms;
    mg_msg_encode(&m, loads);
}

void
mg_gw_target_report_pause(mg_gw_target *t, mg_buf *loads)
{
    mg_msg m = {.type = MG_MSG_LOAD_PAUSE};
    forget_former_run(t);
    int64_t left_ms =
        mg_capacity_pause_left(&t->capacity, mg_now(t->gw->opts.clock));
    if (left_ms > 0) {
        m.u.load_pause.id = mg_str_of(t->instance->info.id);
        m.u.load_pause.run = t->capacity_run;
        m.u.load_pause.left_ms = (uint64_t)left_ms;
        mg_msg_encode(&m, loads);
    }
}

void
mg_gw_target_receive_pause(mg_gw_target *t, const mg_load_pause_msg *m)
{
    forget_former_run(t);
    if (m->run == t->capacity_run && m->left_ms < INT32_MAX) {
        mg_capacity_pause_reported(&t->capacity, (int64_t)m->left_ms,
                                   mg_rng_unit(&t->gw->rng),
                                   mg_now(t->gw->opts.clock));
    }
}

void
mg_gw_target_expire_capacity(mg_gw_target *t)
{
    forget_former_run(t);
    if (mg_capacity_expire(&t->capacity, mg_now(t->gw->opts.clock))) {
        log_capacity(t, "silent");
    }
}

/* ---------------------------------------------------------------- slots */

mg_gw_target *
mg_gw_random_target(mg_gateway *gw, mg_gw_pool *p, const char *except)
{
    mg_instance_group *g = mg_registry_service(gw->opts.registry, p->service);
    int64_t now = mg_now(gw->opts.clock);
    mg_gw_target *chosen = NULL;
    bool is_healthy = false;
    uint32_t count = 0;
    if (g == NULL) {
        return NULL;
    }
    list_for_each(el, &g->instances)
    {
        mg_instance *i = list_entry(el, mg_instance, link);
        mg_gw_target *t = mg_gw_target_of(gw, i);
        bool healthy = !is_unhealthy(t, now);
        if (!mg_instance_is_usable(i, now) ||
            strcmp(i->info.id, except) == 0 || (is_healthy && !healthy)) {
            continue;
        }
        count = healthy && !is_healthy ? 0 : count;
        is_healthy = healthy;
        if (mg_rng_below(&gw->rng, ++count) == 0) {
            chosen = t;
        }
    }
    return chosen;
}

/* reallocates the slots of the pool when entries or targets have changed */
static void
allocate_slots(mg_gateway *gw, mg_gw_pool *p, const mg_instance_group *g)
{
    static mg_gw_target *targets[CANDIDATES_MAX];
    static mg_slots_target slot_targets[CANDIDATES_MAX];
    static uint32_t allocated[CANDIDATES_MAX];
    size_t n = 0;
    if (p->allocation_gen == gw->gen) {
        return;
    }
    p->allocation_gen = gw->gen;
    p->allocated = 0;
    list_for_each(el, &g->instances)
    {
        mg_instance *i = list_entry(el, mg_instance, link);
        mg_gw_target *t = mg_gw_target_of(gw, i);
        t->allocated = 0;
        divide_limit(t);
        if (i->info.state == MG_INSTANCE_READY && n < CANDIDATES_MAX) {
            targets[n++] = t;
        }
    }
    qsort(targets, n, sizeof(targets[0]), compare_ids);
    for (size_t i = 0; i < n; i++) {
        slot_targets[i] = (mg_slots_target){
            slots_of(targets[i]),
            mg_gw_domain_number(targets[i]->instance->info.domain)};
    }
    mg_slots_allocate(slot_targets, n, gw->self_index, gw->entry_domains,
                      gw->entry_count, allocated);
    for (size_t i = 0; i < n; i++) {
        targets[i]->allocated = allocated[i];
        p->allocated += allocated[i];
    }
}

/* the usable targets of a service, and how their versions may be used */
struct choice {
    size_t n;
    mg_gw_target *targets[CANDIDATES_MAX];
    mg_candidate candidates[CANDIDATES_MAX];
    mg_version_use uses[CANDIDATES_MAX];
    bool any[MG_VERSION_PREFERRED + 1];
};

static void
collect(mg_gateway *gw, const mg_flow *f, const mg_instance_group *g,
        struct choice *c)
{
    int64_t now = mg_now(gw->opts.clock);
    c->n = 0;
    memset(c->any, 0, sizeof(c->any));
    list_for_each(el, &g->instances)
    {
        mg_instance *i = list_entry(el, mg_instance, link);
        if (!mg_instance_is_usable(i, now) || c->n == CANDIDATES_MAX) {
            continue;
        }
        mg_gw_target *t = mg_gw_target_of(gw, i);
        c->targets[c->n] = t;
        c->candidates[c->n] = candidate_of(t, now);
        c->candidates[c->n].unhealthy |= t == f->previous_target;
        c->uses[c->n] =
            mg_versions_use(gw->versions, g->service, i->info.version);
        c->any[c->uses[c->n]] = true;
        c->n++;
    }
}

/* picks one of the targets whose version has the given use (preferred, allowed
   or fallback) */
static mg_gw_target *
choose_with_use(mg_gateway *gw, const mg_flow *f, const struct choice *c,
                mg_version_use use)
{
    static mg_candidate candidates[CANDIDATES_MAX];
    static size_t from[CANDIDATES_MAX];
    size_t n = 0;
    for (size_t i = 0; i < c->n; i++) {
        if (c->uses[i] == use) {
            candidates[n] = c->candidates[i];
            from[n++] = i;
        }
    }
    mg_pick_request r = pick_request(f, mg_now(gw->opts.clock));
    int at = mg_pick(&r, candidates, n, mg_rng_unit(&gw->rng));
    return at < 0 ? NULL : c->targets[from[at]];
}

mg_gw_target *
mg_gw_choose_target(mg_gateway *gw, mg_flow *f)
{
    static struct choice c;
    mg_gw_target *t = NULL;
    mg_instance_group *g =
        mg_registry_service(gw->opts.registry, f->pool->service);
    if (g == NULL) {
        return NULL;
    }
    allocate_slots(gw, f->pool, g);
    collect(gw, f, g, &c);
    if (c.any[MG_VERSION_PREFERRED]) {
        t = choose_with_use(gw, f, &c, MG_VERSION_PREFERRED);
    }
    if (t == NULL && c.any[MG_VERSION_ALLOWED]) {
        t = choose_with_use(gw, f, &c, MG_VERSION_ALLOWED);
    }
    if (t == NULL && !c.any[MG_VERSION_PREFERRED] &&
        !c.any[MG_VERSION_ALLOWED]) {
        t = choose_with_use(gw, f, &c, MG_VERSION_FALLBACK);
    }
    return t;
}

/* ------------------------------------------------------------- channels */

static void
on_channel_closed(void *owner, mg_channel *c)
{
    (void)owner;
    list_del(mg_channel_list_node(c));
}

static void
on_channel_idle(void *owner, mg_channel *c)
{
    mg_gw_target *t = owner;
    list_add_tail(mg_channel_list_node(c), &t->idle);
}

static bool
is_usable(const mg_channel *c, bool recent_only)
{
    int64_t max_idle = mg_channel_keep_alive_ms(c);
    int64_t idle = mg_channel_idle_ms(c);
    max_idle = (max_idle < 0 ? KEEP_ALIVE_DEFAULT_MS : max_idle) -
               KEEP_ALIVE_MARGIN_MS;
    if (recent_only && max_idle > RECENT_IDLE_MS) {
        max_idle = RECENT_IDLE_MS;
    }
    return idle < max_idle;
}

/* whether f was written to c, or so often that it can't tell */
static bool
may_have_used(const mg_flow *f, const mg_channel *c)
{
    if (f->sends > MG_FLOW_CHANNELS_MAX) {
        return true;
    }
    for (uint32_t i = 0; i < f->sends; i++) {
        if (f->used_channels[i] == c) {
            return true;
        }
    }
    return false;
}

mg_channel *
mg_gw_idle_channel(mg_gw_target *t, const mg_flow *f, bool recent_only)
{
    /* the last used one first; those before it are idle for longer */
    for (struct list_head *el = t->idle.prev; el != &t->idle; el = el->prev) {
        mg_channel *c = mg_channel_from_list_node(el);
        if (!is_usable(c, recent_only)) {
            return NULL;
        }
        if (!may_have_used(f, c)) {
            list_del(el);
            return c;
        }
    }
    return NULL;
}

void
mg_gw_close_idle(mg_gw_target *t)
{
    bool not_ready = t->instance->info.state != MG_INSTANCE_READY;
    list_for_each_safe(el, el1, &t->idle)
    {
        mg_channel *c = mg_channel_from_list_node(el);
        if (not_ready || !is_usable(c, false)) {
            mg_channel_close(c);
        }
    }
}

/* called when no request uses the target, so all channels are idle */
void
mg_gw_close_all(mg_gw_target *t)
{
    list_for_each_safe(el, el1, &t->idle)
    {
        mg_channel_close(mg_channel_from_list_node(el));
    }
}

mg_channel *
mg_gw_new_channel(mg_gw_target *t, mg_channel_callbacks *cb)
{
    mg_channel_options opts = {
        .loop = t->gw->opts.loop,
        .on_closed = on_channel_closed,
        .on_idle = on_channel_idle,
        .owner = t,
    };
    /* announcements with an invalid address are refused */
    mg_rc rc = mg_addr_parse(t->instance->info.addr, &opts.addr);
    MG_INVARIANT(rc == MG_OK);
    return mg_channel_new(&opts, cb);
}

void
mg_gw_target_failed(mg_gw_target *t, bool error_response)
{
    unsigned doublings =
        t->failures < AVOID_DOUBLINGS ? t->failures : AVOID_DOUBLINGS;
    int64_t ms = (int64_t)AVOID_FIRST_MS << doublings;
    t->failures++;
    if (error_response && t->failures < ERROR_RESPONSES_MIN) {
        return;
    }
    ms = ms < AVOID_MAX_MS ? ms : AVOID_MAX_MS;
    t->avoid_until_ms = mg_now(t->gw->opts.clock) + ms;
}

void
mg_gw_target_served(mg_gw_target *t)
{
    t->failures = 0;
    t->avoid_until_ms = 0;
}
