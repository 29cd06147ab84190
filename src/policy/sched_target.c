/*
 * sched_target - the targets of a pool: announcements, leases and crashes, and
 * the requests suspected of causing the crashes
 */
#include "policy/sched_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"

/* time after the lease's expiry at which a silent target is removed */
#define TARGET_REMOVE_MS 60000

/* ----------------------------------------------------- crash suspects */

static void
put_strikes(mg_sched *s, const mg_slot *slot, unsigned strikes, int64_t wall)
{
    mg_msg m = {.type = MG_MSG_REC_QUARANTINE};
    char key[32];
    snprintf(key, sizeof(key), "%016" PRIx64, slot->fingerprint);
    m.u.rec_quarantine.fingerprint = slot->fingerprint;
    m.u.rec_quarantine.pool = mg_str_of(s->pool);
    m.u.rec_quarantine.marks = strikes;
    m.u.rec_quarantine.target = mg_str_of(slot->target->name);
    m.u.rec_quarantine.until_wall_ms =
        (uint64_t)(wall + MG_QUARANTINE_DURATION_MS);
    s->callbacks->put_record(s->callbacks, s, MG_RECORD_QUARANTINE, key, &m);
}

static void
add_strike(mg_sched *s, const mg_slot *slot)
{
    int64_t wall = mg_wall(s->clock);
    const mg_target *t = slot->target;
    if (slot->fingerprint == 0) {
        return;
    }
    mg_quarantine_crash_row c = {
        .fingerprint = slot->fingerprint,
        .crash = mg_quarantine_crash(t->name, t->epoch),
        .at_ms = wall,
    };
    unsigned strikes = mg_quarantine_add_strike(s->quarantine, &c, wall);
    mg_log(strikes >= MG_QUARANTINE_STRIKES ? MG_EV_QUARANTINE
                                            : MG_EV_CRASH_SUSPECT,
           "id=%" PRIx64 " fingerprint=%016" PRIx64 " target=%s marks=%u",
           slot->id, slot->fingerprint, t->name, strikes);
    put_strikes(s, slot, strikes, wall);
}

/*
 * Gives a strike to each request that ran on the target and frees its slot.
 * aborted_only: aborted requests only, for a target that may still be alive
 * although its lease has expired.
 */
static void
target_crashed(mg_sched *s, mg_target *t, const char *why, bool aborted_only)
{
    mg_log(MG_EV_TARGET_DOWN,
           "pool=%s target=%s epoch=%" PRIu64 " why=%s running=%u", s->pool,
           t->name, t->epoch, why, t->running);
    list_for_each_safe(el, el1, &t->slots)
    {
        mg_slot *slot = list_entry(el, mg_slot, link);
        if (slot->aborted || !aborted_only) {
            add_strike(s, slot);
            mg_sched_free_slot(s, slot);
        }
    }
}

unsigned
mg_sched_strikes_of(const mg_sched *s, uint64_t fingerprint)
{
    unsigned strikes =
        mg_quarantine_strikes(s->quarantine, fingerprint, mg_wall(s->clock));
    if (fingerprint == 0 || strikes > 0) {
        return strikes;
    }
    list_for_each(el, &s->targets)
    {
        const mg_target *t = list_entry(el, mg_target, link);
        list_for_each(e2, &t->slots)
        {
            const mg_slot *slot = list_entry(e2, mg_slot, link);
            if (slot->aborted && slot->fingerprint == fingerprint) {
                return 1;
            }
        }
    }
    return 0;
}

/* ------------------------------------------------------------- targets */

mg_target *
mg_sched_find_target(mg_sched *s, mg_str name)
{
    list_for_each(el, &s->targets)
    {
        mg_target *t = list_entry(el, mg_target, link);
        if (mg_str_is(name, t->name)) {
            return t;
        }
    }
    return NULL;
}

mg_target *
mg_sched_add_target(mg_sched *s, mg_str name, uint64_t epoch)
{
    mg_target *t = mg_alloc(sizeof(*t));
    mg_str_copy(t->name, sizeof(t->name), name);
    t->epoch = epoch;
    init_list_head(&t->slots);
    list_add_tail(&t->link, &s->targets);
    return t;
}

static void
free_slots(mg_sched *s, mg_target *t)
{
    list_for_each_safe(el, el1, &t->slots)
    {
        mg_sched_free_slot(s, list_entry(el, mg_slot, link));
    }
}

/* A new epoch was announced under a known name. */
static void
restart_target(mg_sched *s, mg_target *t)
{
    if (!t->draining) {
        target_crashed(s, t, "new_epoch", false);
    }
    else {
        list_for_each_safe(el, el1, &t->slots)
        {
            mg_sched_free_slot(s, list_entry(el, mg_slot, link));
        }
    }
    t->draining = false;
    t->samples = 0;
    memset(t->prefixes, 0, sizeof(t->prefixes));
}

mg_rc
mg_sched_announce(mg_sched *s, const mg_announce_msg *m)
{
    int64_t now = mg_now(s->clock);
    mg_target *t = mg_sched_find_target(s, m->target);
    if (t != NULL && m->epoch < t->epoch) {
        return MG_E_VERSION_STALE;
    }
    if (t == NULL) {
        t = mg_sched_add_target(s, m->target, m->epoch);
    }
    else if (m->epoch > t->epoch) {
        restart_target(s, t);
    }
    bool was_usable = mg_target_usable(t, now);
    bool was_draining = t->draining;
    mg_target_on_announce(t, m, now);
    if (t->draining && !was_draining) {
        mg_log(MG_EV_TARGET_LEAVING, "pool=%s target=%s epoch=%" PRIu64,
               s->pool, t->name, t->epoch);
    }
    else if (!was_usable && mg_target_usable(t, now)) {
        mg_log(MG_EV_TARGET_UP,
               "pool=%s target=%s epoch=%" PRIu64 " version=%s domain=%s "
               "slots=%u",
               s->pool, t->name, t->epoch, t->version, t->domain,
               t->slots_max);
    }
    return MG_OK;
}

static bool
has_aborted_slot(const mg_target *t)
{
    list_for_each(el, &t->slots)
    {
        if (list_entry(el, mg_slot, link)->aborted) {
            return true;
        }
    }
    return false;
}

void
mg_sched_expire_targets(mg_sched *s)
{
    int64_t now = mg_now(s->clock);
    list_for_each_safe(el, el1, &s->targets)
    {
        mg_target *t = list_entry(el, mg_target, link);
        if (now < t->lease_until_ms) {
            continue;
        }
        if (t->lease_until_ms == 0) {
            /* Known from HELD messages only. It has the length of a lease to
               announce itself; until then slots_max is 0 and nothing is
               granted. */
            t->lease_until_ms = now + MG_TARGET_LEASE_MS;
            continue;
        }
        if (has_aborted_slot(t)) {
            target_crashed(s, t, "lease", true);
        }
        if (now - t->lease_until_ms > TARGET_REMOVE_MS) {
            free_slots(s, t);
            list_del(&t->link);
            free(t);
        }
    }
}

void
mg_sched_clear_aborted_slots(mg_sched *s)
{
    int64_t now = mg_now(s->clock);
    list_for_each(el, &s->targets)
    {
        mg_target *t = list_entry(el, mg_target, link);
        int64_t last_seen_ms = t->lease_until_ms - MG_TARGET_LEASE_MS;
        list_for_each_safe(e2, e3, &t->slots)
        {
            mg_slot *slot = list_entry(e2, mg_slot, link);
            if (slot->aborted && last_seen_ms > slot->aborted_ms &&
                now < t->lease_until_ms) {
                mg_sched_free_slot(s, slot);
            }
        }
    }
}
