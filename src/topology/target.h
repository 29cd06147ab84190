/*
 * target - one back end, as its pool scheduler sees it
 *
 * What the scheduler granted is counted by itself and believed before the
 * target's own lagged report. Rates are learned from finished requests.
 * A target is known by name and epoch: the same name with another epoch is
 * another run of it, on which nothing of the former runs.
 */
#ifndef MG_TARGET_H
#define MG_TARGET_H

#include <uthash.h>

#include "base/check.h"
#include "base/list.h"
#include "wire/msg.h"

#define MG_TARGET_LEASE_MS 3000
#define MG_TARGET_PREFIXES 256

/* a granted request, until its entry says how it ended */
typedef struct mg_slot {
    struct list_head link; /* mg_target.slots */
    UT_hash_handle hh;     /* of the scheduler's table, by id */
    struct mg_target *target;
    uint64_t id;
    uint64_t attempt;
    char entry[MG_NAME_SIZE];
    char route[MG_NAME_SIZE];
    uint32_t prefill;
    uint32_t decode;
    uint64_t fingerprint;
    bool suspect;
    bool is_new;  /* runs on the new version of a move */
    bool aborted; /* cut: kept until it is clear whether the target died */
    int64_t granted_ms;
    int64_t aborted_ms;
} mg_slot;

typedef struct mg_target {
    struct list_head link; /* of the scheduler */
    char name[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE];
    char version[MG_NAME_SIZE];
    char domain[MG_NAME_SIZE];
    uint64_t epoch;
    uint32_t slots_max;
    uint32_t tokens_max; /* in flight; 0: no bound */
    bool draining;
    int64_t lease_until_ms;
    bool connect_failed; /* an entry could not connect since it last announced
                          */
    struct list_head slots;
    uint32_t running;
    uint32_t suspects;
    uint64_t predicted_tokens; /* predicted, of the running requests */
    uint64_t last_grant_seq;   /* number of its last grant in the pool */
    uint32_t reported_running;
    int64_t reported_ms; /* when the report was taken */
    /* learned */
    uint64_t samples;
    double first_per_token; /* ms to the first byte per prefill token */
    double gap_ms;          /* between tokens */
    uint64_t prefixes[MG_TARGET_PREFIXES];
} mg_target;

/* Takes an announcement of the target's present epoch. */
void
mg_target_on_announce(mg_target *t, const mg_announce_msg *a, int64_t now);
bool
mg_target_usable(const mg_target *t, int64_t now);
void
mg_target_add_slot(mg_target *t, mg_slot *s);
void
mg_target_remove_slot(mg_target *t, mg_slot *s);
/* Learns from a request that took first_ms and total_ms for tokens. */
void
mg_target_add_sample(mg_target *t, uint32_t prefill, double first_ms,
                     double total_ms, uint32_t tokens);
bool
mg_target_has_prefix(const mg_target *t, uint64_t prefix);
void
mg_target_add_prefix(mg_target *t, uint64_t prefix);

/* Predicted times of a request that is placed now. */
typedef struct mg_estimate {
    double first_ms;
    double total_ms;
    bool prefix_hit;
} mg_estimate;

mg_estimate
mg_target_estimate(const mg_target *t, uint32_t prefill, uint32_t decode,
                   uint64_t prefix, int64_t now);

#endif
