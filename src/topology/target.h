/*
 * target - state of one target in its pool's scheduler
 *
 * The scheduler relies on its own count of granted requests rather than on
 * the target's reports, which lag behind. It estimates the target's speed
 * from completed requests.
 *
 * A target is identified by its name and epoch. A new epoch is a new run:
 * requests of the previous run are no longer running.
 */
#ifndef MG_TARGET_H
#define MG_TARGET_H

#include <uthash.h>

#include "base/check.h"
#include "base/list.h"
#include "wire/msg.h"

/* each announcement of a target renews its lease for this time, ms */
#define MG_TARGET_LEASE_MS 3000
#define MG_TARGET_PREFIXES 256

/* a granted request, until its entry reports the result */
typedef struct mg_slot {
    struct list_head link; /* mg_target.slots */
    UT_hash_handle hh;     /* mg_sched.slots, by id */
    struct mg_target *target;
    uint64_t id;
    uint64_t attempt;
    char entry[MG_NAME_SIZE];
    char route[MG_NAME_SIZE];
    uint32_t prefill; /* prompt tokens */
    uint32_t decode;  /* predicted output tokens */
    uint64_t fingerprint;
    bool suspect; /* a crash suspect */
    bool is_new;  /* runs on the new version of a rollout */
    bool aborted; /* kept until it is known whether the target has crashed */
    int64_t granted_ms;
    int64_t aborted_ms;
} mg_slot;

typedef struct mg_target {
    struct list_head link; /* mg_sched.targets */
    char name[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE];
    char version[MG_NAME_SIZE];
    char domain[MG_NAME_SIZE];
    uint64_t epoch;
    uint32_t slots_max;
    uint32_t tokens_max; /* of running requests; 0: unlimited */
    bool draining;
    int64_t lease_until_ms; /* end of the last announcement's lease */
    bool connect_failed;    /* since the last announcement, at any entry */
    struct list_head slots;
    uint32_t running;          /* number of slots */
    uint32_t suspects;         /* number of slots of crash suspects */
    uint64_t predicted_tokens; /* prefill and decode of all slots */
    uint64_t last_grant_seq;   /* pool-wide number of its last grant */
    uint32_t reported_running; /* by the target itself */
    int64_t reported_ms;       /* when the target counted them */
    /* running averages over completed requests */
    uint64_t samples;
    double first_per_token; /* ms to the first byte per prefill token */
    double gap_ms;          /* time between output tokens */
    uint64_t prefixes[MG_TARGET_PREFIXES]; /* hashes of recent ones */
} mg_target;

/* Applies an announcement of this epoch or, for a new run, of a later one. */
void
mg_target_on_announce(mg_target *t, const mg_announce_msg *a, int64_t now);
/* Whether requests may be granted to the target. */
bool
mg_target_usable(const mg_target *t, int64_t now);
void
mg_target_add_slot(mg_target *t, mg_slot *s);
void
mg_target_remove_slot(mg_target *t, mg_slot *s);
/* Updates the averages with a completed request. first_ms: time to its first
   byte; total_ms: time to its end; tokens: number of its output tokens. */
void
mg_target_add_sample(mg_target *t, uint32_t prefill, double first_ms,
                     double total_ms, uint32_t tokens);
/* Whether the target has probably cached this prompt prefix. prefix: its hash,
   0 for none. */
bool
mg_target_has_prefix(const mg_target *t, uint64_t prefix);
void
mg_target_add_prefix(mg_target *t, uint64_t prefix);

/* predicted times of a request that is granted now */
typedef struct mg_estimate {
    double first_ms;
    double total_ms;
    bool prefix_hit;
} mg_estimate;

mg_estimate
mg_target_estimate(const mg_target *t, uint32_t prefill, uint32_t decode,
                   uint64_t prefix, int64_t now);

#endif
