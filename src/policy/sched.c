#include "policy/sched_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"

#define QUEUE_MAX_DEFAULT 4096
#define TICKET_REMAINING_MAX_MS (24 * 3600 * INT64_C(1000))
/* samples of a target before its estimates are compared with a deadline */
#define ESTIMATE_MIN_SAMPLES 8
/* a ticket misses its deadline if this part of its estimated time exceeds the
   remaining time */
#define ESTIMATE_TRUST 0.7
/* the service rate is averaged over windows, exponentially weighted */
#define RATE_WINDOW_MS 500
#define RATE_WEIGHT 0.3
#define RECORD_RETRY_MS 1000

mg_sched *
mg_sched_new(const mg_sched_options *opts)
{
    mg_sched *s = mg_alloc(sizeof(*s));
    s->callbacks = opts->callbacks;
    s->clock = opts->clock;
    mg_str_copy(s->pool, sizeof(s->pool), mg_str_of(opts->pool));
    s->epoch = opts->epoch;
    s->queue_max = QUEUE_MAX_DEFAULT;
    s->placement = mg_placement_default();
    s->queue = mg_tierq_new();
    s->quarantine = mg_quarantine_new();
    init_list_head(&s->targets);
    init_list_head(&s->awaited_entries);
    init_list_head(&s->deferred);
    for (size_t i = 0; i < opts->entry_count; i++) {
        struct awaited_entry *a = mg_alloc(sizeof(*a));
        mg_str_copy(a->entry, sizeof(a->entry), mg_str_of(opts->entries[i]));
        list_add_tail(&a->link, &s->awaited_entries);
    }
    s->rebuilding = opts->entry_count > 0;
    s->rebuild_until_ms = mg_now(s->clock) + MG_SCHED_REBUILD_MS;
    s->rate_window_start_ms = mg_now(s->clock);
    return s;
}

void
mg_sched_free_slot(mg_sched *s, mg_slot *slot)
{
    HASH_DEL(s->slots, slot);
    mg_target_remove_slot(slot->target, slot);
    free(slot);
}

static void
free_ticket(mg_sched *s, mg_ticket *t)
{
    if (t->queue != NULL) {
        mg_tierq_remove(s->queue, t);
    }
    else if (!list_empty(&t->link)) {
        list_del(&t->link);
        s->deferred_count--;
    }
    HASH_DEL(s->tickets, t);
    free(t);
}

void
mg_sched_free(mg_sched *s)
{
    mg_ticket *t;
    mg_ticket *t1;
    HASH_ITER(hh, s->tickets, t, t1)
    {
        free_ticket(s, t);
    }
    mg_slot *slot;
    mg_slot *slot1;
    HASH_ITER(hh, s->slots, slot, slot1)
    {
        mg_sched_free_slot(s, slot);
    }
    list_for_each_safe(el, el1, &s->targets)
    {
        free(list_entry(el, mg_target, link));
    }
    list_for_each_safe(el2, el3, &s->awaited_entries)
    {
        free(list_entry(el2, struct awaited_entry, link));
    }
    mg_tierq_free(s->queue);
    mg_quarantine_free(s->quarantine);
    mg_rollout_free(s->rollout);
    free(s);
}

void
mg_sched_configure(mg_sched *s, const mg_pool *pool)
{
    mg_str_copy(s->version, sizeof(s->version), mg_str_of(pool->version));
    s->queue_max = (size_t)pool->queue_max;
    s->placement = pool->placement[0] ? mg_placement_find(pool->placement)
                                      : mg_placement_default();
}

void
mg_sched_set_rollout(mg_sched *s, const mg_rollout_plan *plan,
                     const mg_rec_move_msg *rec)
{
    if (plan == NULL) {
        mg_rollout_free(s->rollout);
        s->rollout = NULL;
        s->rollout_name[0] = '\0';
        return;
    }
    mg_rollout_state_id state =
        rec ? (mg_rollout_state_id)rec->state : MG_ROLLOUT_PENDING;
    uint32_t share = rec ? (uint32_t)rec->share_permille : 0;
    uint64_t reserved = rec ? rec->reserved : 0;
    if (s->rollout != NULL && strcmp(s->rollout_name, plan->name) == 0) {
        if (rec != NULL) {
            mg_rollout_committed(s->rollout, state, share, reserved);
            s->rollout_retry_ms = 0;
        }
        return;
    }
    mg_rollout_free(s->rollout);
    mg_str_copy(s->rollout_name, sizeof(s->rollout_name),
                mg_str_of(plan->name));
    s->rollout = mg_rollout_new(&(mg_rollout_options){
        .clock = s->clock,
        .name = plan->name,
        .from = s->version,
        .to = plan->to_version,
        .start_wall_ms = plan->start_wall_ms,
        .deadline_wall_ms = plan->deadline_wall_ms,
        .canary_percent = plan->canary_percent,
        .state = state,
        .share_permille = share,
        .reserved = reserved,
    });
}

void
mg_sched_load_quarantine(mg_sched *s, const mg_rec_quarantine_msg *rec)
{
    mg_quarantine_load(s->quarantine, rec->fingerprint, (unsigned)rec->marks,
                       (int64_t)rec->until_wall_ms);
}

/* ------------------------------------------------------------- tickets */

static mg_ticket *
find_ticket(mg_sched *s, uint64_t id)
{
    mg_ticket *t;
    HASH_FIND(hh, s->tickets, &id, sizeof(id), t);
    return t;
}

mg_slot *
mg_sched_find_slot(const mg_sched *s, uint64_t id)
{
    mg_slot *slot;
    HASH_FIND(hh, s->slots, &id, sizeof(id), slot);
    return slot;
}

static void
shed(mg_sched *s, mg_ticket *t, mg_rc rc, int64_t retry_ms)
{
    mg_msg m = {.type = MG_MSG_SHED};
    m.u.shed.id = t->id;
    m.u.shed.attempt = t->attempt;
    m.u.shed.pool = mg_str_of(s->pool);
    m.u.shed.epoch = s->epoch;
    m.u.shed.rc = rc;
    m.u.shed.retry_ms = (uint64_t)retry_ms;
    s->callbacks->send(s->callbacks, t->entry, &m);
    mg_log(MG_EV_ROUTE_SHED,
           "id=%" PRIx64 " pool=%s tier=%u workspace=%s why=%s waiting=%zu "
           "lowest_tier=%d left_ms=%" PRId64 " rate=%.2f",
           t->id, s->pool, t->tier, t->workspace, mg_rc_name(rc),
           mg_tierq_count(s->queue), mg_tierq_lowest_tier(s->queue),
           t->deadline_ms - mg_now(s->clock), s->service_rate);
    mg_count(MG_C_SHED, 1);
    free_ticket(s, t);
}

/*
 * Handles a ticket whose id is known. A higher attempt releases the slot of
 * the previous one; false: the ticket is to be queued.
 */
static bool
handle_known_ticket(mg_sched *s, const char *entry, const mg_ticket_msg *m)
{
    mg_ticket *t = find_ticket(s, m->id);
    if (t != NULL) {
        t->attempt = m->attempt > t->attempt ? m->attempt : t->attempt;
        return true;
    }
    mg_slot *slot = mg_sched_find_slot(s, m->id);
    if (slot == NULL) {
        return false;
    }
    if (m->attempt <= slot->attempt || slot->aborted ||
        strcmp(slot->entry, entry) != 0) {
        return true;
    }
    if (s->rollout != NULL) {
        mg_rollout_withdraw_grant(s->rollout, slot->is_new);
    }
    mg_sched_free_slot(s, slot);
    return false;
}

void
mg_sched_ticket(mg_sched *s, const char *entry, const mg_ticket_msg *m)
{
    if (m->epoch != s->epoch || m->tier >= MG_TIER_MAX ||
        handle_known_ticket(s, entry, m)) {
        return;
    }
    int64_t now = mg_now(s->clock);
    int64_t remaining = m->remaining_ms < TICKET_REMAINING_MAX_MS
                            ? (int64_t)m->remaining_ms
                            : TICKET_REMAINING_MAX_MS;
    mg_ticket *t = mg_alloc(sizeof(*t));
    init_list_head(&t->link);
    t->id = m->id;
    t->attempt = m->attempt;
    mg_str_copy(t->entry, sizeof(t->entry), mg_str_of(entry));
    mg_str_copy(t->workspace, sizeof(t->workspace), m->workspace);
    mg_str_copy(t->route, sizeof(t->route), m->route);
    t->tier = (unsigned)m->tier;
    t->weight = (uint32_t)m->weight;
    t->prefill = (uint32_t)m->prefill;
    t->decode = (uint32_t)m->decode;
    t->arrived_ms = now;
    t->deadline_ms = now + remaining;
    t->prefix = m->prefix;
    t->fingerprint = m->fingerprint;
    HASH_ADD(hh, s->tickets, id, sizeof(t->id), t);
    mg_tierq_add(s->queue, t);
}

void
mg_sched_cancel(mg_sched *s, const char *entry, uint64_t id)
{
    mg_ticket *t = find_ticket(s, id);
    if (t != NULL && strcmp(t->entry, entry) == 0) {
        free_ticket(s, t);
    }
}

static bool
is_new_version(const mg_sched *s, const mg_target *t)
{
    return s->rollout != NULL && mg_rollout_is_new(s->rollout, t->version);
}

static bool
version_allowed(const mg_sched *s, const mg_target *t)
{
    if (is_new_version(s, t)) {
        return mg_rollout_may_use_new(s->rollout);
    }
    if (s->rollout != NULL && !mg_rollout_may_use_old(s->rollout)) {
        return false;
    }
    return s->version[0] == '\0' || strcmp(s->version, t->version) == 0;
}

static bool
has_room(const mg_target *t, const mg_ticket *k)
{
    if (t->running >= t->slots_max) {
        return false;
    }
    /* a request larger than tokens_max runs alone */
    return t->tokens_max == 0 || t->running == 0 ||
           t->predicted_tokens + k->prefill + k->decode <= t->tokens_max;
}

struct choice {
    mg_target *target;
    mg_estimate estimate;
    double cost;
    bool is_new;
};

/* whether candidate b is better than a; suspect: the ticket's request is a
   crash suspect */
static bool
is_better(const struct choice *a, const struct choice *b, bool suspect)
{
    if (a->target == NULL) {
        return true;
    }
    if (suspect && a->target->running != b->target->running) {
        return b->target->running < a->target->running;
    }
    if (a->is_new != b->is_new) {
        /* version_allowed() limits the new version to its share */
        return b->is_new;
    }
    return b->cost < a->cost;
}

static struct choice
choose_target(mg_sched *s, const mg_ticket *k, bool suspect)
{
    struct choice best = {NULL};
    int64_t now = mg_now(s->clock);
    list_for_each(el, &s->targets)
    {
        mg_target *t = list_entry(el, mg_target, link);
        if (!mg_target_usable(t, now) || !has_room(t, k) ||
            !version_allowed(s, t) || (suspect && t->suspects > 0)) {
            continue;
        }
        struct choice c = {.target = t, .is_new = is_new_version(s, t)};
        c.estimate =
            mg_target_estimate(t, k->prefill, k->decode, k->prefix, now);
        c.cost = s->placement->cost(s->placement, t, &c.estimate);
        if (is_better(&best, &c, suspect)) {
            best = c;
        }
    }
    return best;
}

/* -------------------------------------------------------------- grants */

static mg_slot *
new_slot(mg_sched *s, uint64_t id, const char *entry)
{
    mg_slot *slot = mg_alloc(sizeof(*slot));
    slot->id = id;
    slot->granted_ms = mg_now(s->clock);
    mg_str_copy(slot->entry, sizeof(slot->entry), mg_str_of(entry));
    HASH_ADD(hh, s->slots, id, sizeof(slot->id), slot);
    return slot;
}

static void
send_grant(mg_sched *s, const mg_ticket *k, const mg_target *t)
{
    mg_msg m = {.type = MG_MSG_GRANT};
    m.u.grant.id = k->id;
    m.u.grant.attempt = k->attempt;
    m.u.grant.pool = mg_str_of(s->pool);
    m.u.grant.epoch = s->epoch;
    m.u.grant.target = mg_str_of(t->name);
    m.u.grant.addr = mg_str_of(t->addr);
    m.u.grant.version = mg_str_of(t->version);
    m.u.grant.target_epoch = t->epoch;
    m.u.grant.valid_ms = MG_GRANT_VALID_MS;
    s->callbacks->send(s->callbacks, k->entry, &m);
}

static void
grant(mg_sched *s, mg_ticket *k, const struct choice *c, bool suspect)
{
    mg_target *t = c->target;
    int64_t now = mg_now(s->clock);
    mg_slot *slot = new_slot(s, k->id, k->entry);
    slot->attempt = k->attempt;
    mg_str_copy(slot->route, sizeof(slot->route), mg_str_of(k->route));
    slot->prefill = k->prefill;
    slot->decode = k->decode;
    slot->fingerprint = k->fingerprint;
    slot->suspect = suspect;
    slot->is_new = c->is_new;
    mg_target_add_slot(t, slot);
    mg_target_add_prefix(t, k->prefix);
    t->last_grant_seq = ++s->grants;
    if (s->rollout != NULL) {
        mg_rollout_count_grant(s->rollout, c->is_new);
    }
    send_grant(s, k, t);
    mg_log(MG_EV_ROUTE_GRANT,
           "id=%" PRIx64 " pool=%s tier=%u workspace=%s target=%s version=%s "
           "waited_ms=%" PRId64 " left_ms=%" PRId64
           " est_first_ms=%.0f est_total_ms=%.0f running=%u/%u prefix=%s "
           "suspect=%d waiting=%zu why=%s",
           k->id, s->pool, k->tier, k->workspace, t->name, t->version,
           now - k->arrived_ms, k->deadline_ms - now, c->estimate.first_ms,
           c->estimate.total_ms, t->running, t->slots_max,
           c->estimate.prefix_hit ? "hit" : "miss", suspect,
           mg_tierq_count(s->queue) - 1, s->placement->name);
    mg_count(MG_C_GRANTS, 1);
    if (k->queue != NULL) {
        mg_tierq_serve(s->queue, k);
    }
    free_ticket(s, k);
}

/* whether the deadline will be missed even on the best target */
static bool
will_miss_deadline(const mg_sched *s, const mg_ticket *k,
                   const struct choice *c)
{
    int64_t remaining = k->deadline_ms - mg_now(s->clock);
    if (remaining <= 0) {
        return true;
    }
    return c->target != NULL && c->target->samples >= ESTIMATE_MIN_SAMPLES &&
           c->estimate.total_ms * ESTIMATE_TRUST > (double)remaining;
}

/* result of trying to grant a ticket */
typedef enum try_result {
    TRY_ENDED,   /* granted or refused */
    TRY_BLOCKED, /* no target has room */
    /* the request is a crash suspect, and no target that runs no other crash
       suspect has room */
    TRY_BLOCKED_SUSPECT,
} try_result;

static try_result
try_ticket(mg_sched *s, mg_ticket *k)
{
    unsigned strikes = mg_sched_strikes_of(s, k->fingerprint);
    if (strikes >= MG_QUARANTINE_STRIKES) {
        shed(s, k, MG_E_QUARANTINED, 0);
        return TRY_ENDED;
    }
    struct choice c = choose_target(s, k, strikes > 0);
    if (will_miss_deadline(s, k, &c)) {
        shed(s, k, MG_E_DEADLINE, 0);
        return TRY_ENDED;
    }
    if (c.target != NULL) {
        grant(s, k, &c, strikes > 0);
        return TRY_ENDED;
    }
    return strikes > 0 ? TRY_BLOCKED_SUSPECT : TRY_BLOCKED;
}

static void
defer(mg_sched *s, mg_ticket *k)
{
    mg_tierq_remove(s->queue, k);
    list_add_tail(&k->link, &s->deferred);
    s->deferred_count++;
}

static void
grant_tickets(mg_sched *s)
{
    list_for_each_safe(el, el1, &s->deferred)
    {
        try_ticket(s, list_entry(el, mg_ticket, link));
    }
    mg_ticket *k;
    while ((k = mg_tierq_head(s->queue)) != NULL) {
        try_result r = try_ticket(s, k);
        if (r == TRY_BLOCKED) {
            break;
        }
        if (r == TRY_BLOCKED_SUSPECT) {
            defer(s, k);
        }
    }
}

/* ------------------------------------------------------------ shedding */

static void
shed_overflow(mg_sched *s)
{
    while (mg_tierq_count(s->queue) > s->queue_max) {
        shed(s, mg_tierq_victim(s->queue), MG_E_OVERLOAD, 1000);
    }
}

/* Sheds from the end of the queue tickets whose predicted wait exceeds the
   time remaining until their deadline. */
static void
shed_late(mg_sched *s)
{
    mg_ticket *k;
    if (s->service_rate <= 0) {
        return;
    }
    int64_t now = mg_now(s->clock);
    while ((k = mg_tierq_victim(s->queue)) != NULL) {
        double wait =
            (double)mg_tierq_cost_up_to(s->queue, k->tier) / s->service_rate;
        if (wait <= (double)(k->deadline_ms - now)) {
            break;
        }
        shed(s, k, MG_E_OVERLOAD, (int64_t)wait);
    }
}

static void
expire_ticket(void *user, mg_ticket *k)
{
    mg_sched *s = user;
    if (k->deadline_ms <= mg_now(s->clock)) {
        shed(s, k, MG_E_DEADLINE, 0);
    }
}

/* A window in which tickets always waited measures the rate; any other gives
   only a lower bound of it. */
static void
update_service_rate(mg_sched *s)
{
    int64_t now = mg_now(s->clock);
    int64_t span = now - s->rate_window_start_ms;
    s->rate_window_busy = s->rate_window_busy && mg_tierq_count(s->queue) > 0;
    if (span < RATE_WINDOW_MS) {
        return;
    }
    double rate = (double)s->rate_window_cost / (double)span;
    if (s->rate_window_busy && rate > 0) {
        s->service_rate =
            s->service_rate > 0
                ? s->service_rate + (rate - s->service_rate) * RATE_WEIGHT
                : rate;
    }
    else if (rate > s->service_rate && s->service_rate > 0) {
        s->service_rate = rate;
    }
    s->rate_window_cost = 0;
    s->rate_window_busy = mg_tierq_count(s->queue) > 0;
    s->rate_window_start_ms = now;
}

/* ----------------------------------------------------------------- done */

static void
sample_rollout(mg_sched *s, const mg_slot *slot, const mg_done_msg *m)
{
    mg_version_sample sample = {
        .route = slot->route,
        .is_new = slot->is_new,
        .failed = m->result == MG_DONE_FAILED || m->result == MG_DONE_ABORTED,
        .first_per_token = (double)m->first_ms / (slot->prefill + 64.0),
        .gap_ms = m->tokens > 1 ? (double)(m->total_ms - m->first_ms) /
                                      (double)(m->tokens - 1)
                                : 0,
    };
    mg_rollout_add_sample(s->rollout, &sample);
}

void
mg_sched_done(mg_sched *s, const char *entry, const mg_done_msg *m)
{
    mg_slot *slot = mg_sched_find_slot(s, m->id);
    if (slot == NULL || slot->aborted || slot->attempt != m->attempt ||
        strcmp(slot->entry, entry) != 0) {
        return;
    }
    mg_target *t = slot->target;
    t->connect_failed =
        t->connect_failed || m->result == MG_DONE_CONNECT_FAILED;
    bool ran = m->result == MG_DONE_OK || m->result == MG_DONE_FAILED ||
               m->result == MG_DONE_ABORTED;
    /* if the whole response arrives at once, the times of prefill and decoding
       cannot be told apart */
    bool phases_known = m->tokens > 1 || slot->decode <= 1;
    if (m->result == MG_DONE_OK && phases_known) {
        mg_target_add_sample(t, slot->prefill, (double)m->first_ms,
                             (double)m->total_ms, (uint32_t)m->tokens);
    }
    if (m->result == MG_DONE_OK) {
        s->rate_window_cost += mg_request_cost(slot->prefill, slot->decode);
    }
    if (s->rollout != NULL) {
        if (ran) {
            sample_rollout(s, slot, m);
        }
        else {
            mg_rollout_withdraw_grant(s->rollout, slot->is_new);
        }
    }
    if (m->result == MG_DONE_ABORTED) {
        /* This request may have crashed the target. The slot stays until the
           target announces itself again or its lease expires. */
        slot->aborted = true;
        slot->aborted_ms = mg_now(s->clock);
        return;
    }
    mg_sched_free_slot(s, slot);
}

/* --------------------------------------------------------------- rebuild */

static struct awaited_entry *
find_awaited(mg_sched *s, const char *entry)
{
    list_for_each(el, &s->awaited_entries)
    {
        struct awaited_entry *a = list_entry(el, struct awaited_entry, link);
        if (strcmp(a->entry, entry) == 0) {
            return a;
        }
    }
    return NULL;
}

void
mg_sched_held(mg_sched *s, const char *entry, const mg_held_msg *m)
{
    if (m->epoch != s->epoch || mg_sched_find_slot(s, m->id) != NULL) {
        return;
    }
    mg_target *t = mg_sched_find_target(s, m->target);
    if (t == NULL) {
        t = mg_sched_add_target(s, m->target, m->target_epoch);
    }
    if (t->epoch != m->target_epoch) {
        return;
    }
    mg_slot *slot = new_slot(s, m->id, entry);
    slot->attempt = m->attempt;
    mg_str_copy(slot->route, sizeof(slot->route), m->route);
    slot->prefill = (uint32_t)m->prefill;
    slot->decode = (uint32_t)m->decode;
    slot->fingerprint = m->fingerprint;
    slot->granted_ms -= (int64_t)m->elapsed_ms;
    mg_target_add_slot(t, slot);
}

static void
remove_awaited(mg_sched *s, const char *entry)
{
    struct awaited_entry *a = find_awaited(s, entry);
    if (a != NULL) {
        list_del(&a->link);
        free(a);
    }
}

void
mg_sched_synced(mg_sched *s, const char *entry)
{
    remove_awaited(s, entry);
}

void
mg_sched_remove_entry(mg_sched *s, const char *entry)
{
    remove_awaited(s, entry);
    mg_ticket *t;
    mg_ticket *t1;
    HASH_ITER(hh, s->tickets, t, t1)
    {
        if (strcmp(t->entry, entry) == 0) {
            free_ticket(s, t);
        }
    }
    mg_slot *slot;
    mg_slot *slot1;
    HASH_ITER(hh, s->slots, slot, slot1)
    {
        if (strcmp(slot->entry, entry) == 0) {
            mg_sched_free_slot(s, slot);
        }
    }
}

static void
finish_rebuild(mg_sched *s)
{
    if (!s->rebuilding) {
        return;
    }
    bool late = mg_now(s->clock) >= s->rebuild_until_ms;
    if (!list_empty(&s->awaited_entries) && !late) {
        return;
    }
    s->rebuilding = false;
    mg_log(MG_EV_SCHED_REBUILT, "pool=%s epoch=%" PRIu64 " slots=%u late=%d",
           s->pool, s->epoch, HASH_COUNT(s->slots), late);
}

/* ----------------------------------------------------------------- run */

static bool
new_version_has_targets(const mg_sched *s)
{
    list_for_each(el, &s->targets)
    {
        const mg_target *t = list_entry(el, mg_target, link);
        if (is_new_version(s, t) && mg_target_usable(t, mg_now(s->clock))) {
            return true;
        }
    }
    return false;
}

static void
advance_rollout(mg_sched *s)
{
    mg_rollout_change c;
    int64_t now = mg_now(s->clock);
    if (s->rollout == NULL || now < s->rollout_retry_ms ||
        !mg_rollout_next_change(s->rollout, new_version_has_targets(s), &c)) {
        return;
    }
    s->rollout_retry_ms = now + RECORD_RETRY_MS;
    mg_msg m = {.type = MG_MSG_REC_MOVE};
    m.u.rec_move.move = mg_str_of(s->rollout_name);
    m.u.rec_move.pool = mg_str_of(s->pool);
    m.u.rec_move.state = c.state;
    m.u.rec_move.share_permille = c.share_permille;
    m.u.rec_move.reserved = c.reserved;
    m.u.rec_move.wall_ms = (uint64_t)mg_wall(s->clock);
    m.u.rec_move.reason = mg_str_of(c.reason);
    mg_log(MG_EV_MOVE_STATE,
           "move=%s pool=%s state=%s share=%u reserved=%" PRIu64 " why=%s",
           s->rollout_name, s->pool, mg_rollout_state_name(c.state),
           c.share_permille, c.reserved, c.reason);
    s->callbacks->put_record(s->callbacks, s, MG_RECORD_POOL_ROLLOUT,
                             s->rollout_name, &m);
}

void
mg_sched_run(mg_sched *s)
{
    finish_rebuild(s);
    mg_sched_expire_targets(s);
    mg_sched_clear_aborted_slots(s);
    mg_quarantine_expire(s->quarantine, mg_wall(s->clock));
    update_service_rate(s);
    advance_rollout(s);
    mg_tierq_each(s->queue, expire_ticket, s);
    if (!s->rebuilding) {
        grant_tickets(s);
    }
    shed_overflow(s);
    shed_late(s);
}

void
mg_sched_locate(const mg_sched *s, uint64_t id, mg_buf *out)
{
    const mg_slot *slot = mg_sched_find_slot(s, id);
    if (slot != NULL) {
        mg_buf_printf(out, "%s", slot->target->addr);
        return;
    }
    list_for_each(el, &s->targets)
    {
        const mg_target *t = list_entry(el, mg_target, link);
        if (t->addr[0] != '\0') {
            mg_buf_printf(out, "%s%s", out->n ? "," : "", t->addr);
        }
    }
}

const char *
mg_sched_pool(const mg_sched *s)
{
    return s->pool;
}

uint64_t
mg_sched_epoch(const mg_sched *s)
{
    return s->epoch;
}

size_t
mg_sched_waiting(const mg_sched *s)
{
    return HASH_COUNT(s->tickets);
}

size_t
mg_sched_running(const mg_sched *s)
{
    return HASH_COUNT(s->slots);
}

bool
mg_sched_rebuilding(const mg_sched *s)
{
    return s->rebuilding;
}

const mg_rollout *
mg_sched_rollout(const mg_sched *s)
{
    return s->rollout;
}

const struct list_head *
mg_sched_targets(const mg_sched *s)
{
    return &s->targets;
}
