/*
 * sched_int - what sched.c and sched_target.c share
 */
#ifndef MG_SCHED_INT_H
#define MG_SCHED_INT_H

#include "policy/place.h"
#include "policy/quarantine.h"
#include "policy/sched.h"

struct awaited_entry {
    struct list_head link;
    char entry[MG_NAME_SIZE];
};

struct mg_sched {
    mg_sched_callbacks *callbacks;
    mg_clock *clock;
    char pool[MG_NAME_SIZE];
    uint64_t epoch;
    char version[MG_NAME_SIZE];
    size_t queue_max;
    const mg_placement *placement;
    uint64_t grants;
    mg_tierq *queue;
    mg_ticket *tickets;        /* by id, waiting and set aside */
    struct list_head deferred; /* suspects that no target can take now */
    size_t deferred_count;
    mg_slot *slots; /* by id */
    struct list_head targets;
    mg_quarantine *quarantine;
    mg_rollout *rollout;
    char rollout_name[MG_NAME_SIZE];
    int64_t rollout_retry_ms;
    struct list_head awaited_entries;
    bool rebuilding;
    int64_t rebuild_until_ms;
    /* served cost, for the predicted wait */
    double service_rate; /* per ms; 0 until it is known */
    uint64_t rate_window_cost;
    bool rate_window_busy;
    int64_t rate_window_start_ms;
};

/* sched.c */
mg_slot *
mg_sched_find_slot(const mg_sched *s, uint64_t id);
void
mg_sched_free_slot(mg_sched *s, mg_slot *slot);

/* sched_target.c */
mg_target *
mg_sched_find_target(mg_sched *s, mg_str name);
mg_target *
mg_sched_add_target(mg_sched *s, mg_str name, uint64_t epoch);
/* Marks of a fingerprint, with one for a cut that is not yet explained. */
unsigned
mg_sched_strikes_of(const mg_sched *s, uint64_t fingerprint);
/* Targets whose lease ran out: what was cut there is marked. */
void
mg_sched_expire_targets(mg_sched *s);
/* A cut request is cleared once its target has announced itself again. */
void
mg_sched_clear_aborted_slots(mg_sched *s);

#endif
