/*
 * sched_int - types and functions shared by sched.c and sched_target.c
 */
#ifndef MG_SCHED_INT_H
#define MG_SCHED_INT_H

#include "policy/place.h"
#include "policy/quarantine.h"
#include "policy/sched.h"

/* an entry that has not reported all its held grants yet */
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
    mg_ticket *tickets;        /* by id, queued and deferred */
    struct list_head deferred; /* suspects without a suitable target */
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
    /* rate at which cost is served, to predict waiting times */
    double service_rate; /* cost per ms; 0: unknown */
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
/*
 * Number of strikes of a fingerprint. It is 1 instead of 0 while an aborted
 * request with this fingerprint keeps its slot because it is not yet known
 * whether its target has crashed.
 */
unsigned
mg_sched_strikes_of(const mg_sched *s, uint64_t fingerprint);
/*
 * Adds strikes for the aborted requests of targets whose lease has expired,
 * and removes targets that stay silent.
 */
void
mg_sched_expire_targets(mg_sched *s);
/* Frees aborted requests whose target has announced itself since then. */
void
mg_sched_clear_aborted_slots(mg_sched *s);

#endif
