/*
 * rollout - shifts a pool's traffic from one version to another
 *
 *     PENDING -> CANARY -> RAMP -> DONE
 *                  |         |
 *                  `---------`---> ROLLED_BACK
 *
 * A rollout that is not done by its deadline is rolled back. One with
 * window_ms that has reached the full share by then is completed instead, if
 * no test indicates a regression. The control log stores state and share; this
 * module decides when they change and how many requests the new version may
 * get.
 *
 * Invariants:
 *  - in CANARY the new version is granted at most
 *    MG_ROLLOUT_CANARY_MIN_BUDGET requests, or canary_percent of the pool's
 *    grants when that is more; a count, not a probability. Grants are
 *    reserved in the log before they are made, and a successor counts every
 *    reserved grant as used, so that the bound holds over restarts;
 *  - in PENDING and ROLLED_BACK, and as soon as a local test has rejected the
 *    new version before DONE, it is granted nothing;
 *  - in each state at least one of the versions may be granted requests;
 *  - DONE and ROLLED_BACK are final.
 *
 * The new version's failures are tested for each route and over all routes
 * by a sequential probability ratio test (Wald, 1945) against the failure
 * rate of the old version. Latency is tested in the same way on the event
 * "slower than the old version's mean by slow_factor"; first-byte times are
 * normalized, so that long requests do not count as slow.
 * The share grows only when the tests at the current share favor the new
 * version, except that a step of a rollout with window_ms may time out.
 */
#ifndef MG_ROLLOUT_H
#define MG_ROLLOUT_H

#include "base/check.h"
#include "base/clock.h"

#define MG_ROLLOUT_CANARY_MIN_BUDGET 20
/* Maximum number of route records. The first record counts the samples of all
   routes; routes without a record of their own are counted only in it. */
#define MG_ROLLOUT_ROUTES_MAX 32

typedef enum mg_rollout_state_id {
    MG_ROLLOUT_PENDING,
    MG_ROLLOUT_CANARY,
    MG_ROLLOUT_RAMP,
    MG_ROLLOUT_DONE,
    MG_ROLLOUT_ROLLED_BACK,
} mg_rollout_state_id;

/* Whether a record that follows one of the same version belongs to another
   order of it. Its first record, PENDING, may not have been received: no
   rollout leaves a final state. */
bool
mg_rollout_is_restarted(mg_rollout_state_id before, mg_rollout_state_id now);

typedef struct mg_rollout mg_rollout;

typedef struct mg_rollout_options {
    mg_clock *clock;
    const char *name;
    const char *from; /* old version */
    const char *to;   /* new version */
    int64_t start_wall_ms;
    int64_t deadline_wall_ms;
    double canary_percent;
    /*
     * Duration of a rollout with a fixed length; 0: none. Such a rollout
     * keeps the first share for the first part of the window. A step with
     * too few samples ends after a set part of the window if no test
     * indicates a regression.
     */
    int64_t window_ms;
    /* A sample above slow_factor times the old version's mean is slow. 0:
       the default; higher where targets of one version differ in speed. */
    double slow_factor;
    /* as restored from the control log */
    mg_rollout_state_id state;
    uint32_t share_permille;
    uint64_t reserved;
} mg_rollout_options;

/* measurements of one finished request */
typedef struct mg_version_sample {
    const char *route;
    bool is_new; /* ran on the new version */
    bool failed;
    /* time to the first byte, normalized: ms per prefill token (pool
       scheduler) or ratio to the predicted time (gateway) */
    double first_per_token;
    double gap_ms; /* mean time between tokens; 0: fewer than two tokens */
    /* by how much first_per_token and gap_ms may exceed the true times, since
       clocks have a resolution; read by the gateway only */
    double first_error;
    double gap_error;
} mg_version_sample;

/* a change that the caller writes to the control log */
typedef struct mg_rollout_change {
    mg_rollout_state_id state;
    uint32_t share_permille;
    uint64_t reserved;
    char reason[160];
} mg_rollout_change;

mg_rollout *
mg_rollout_new(const mg_rollout_options *opts);
void
mg_rollout_free(mg_rollout *r);

/* Whether the next grant may go to the new version. */
bool
mg_rollout_may_use_new(const mg_rollout *r);
/* Whether the next grant may go to the old version; false in DONE only. */
bool
mg_rollout_may_use_old(const mg_rollout *r);
void
mg_rollout_count_grant(mg_rollout *r, bool is_new);
/*
 * Records that a grant ended without a sample, because it was withdrawn or
 * could not be dispatched. It still counts against the canary budget.
 */
void
mg_rollout_withdraw_grant(mg_rollout *r, bool is_new);
void
mg_rollout_add_sample(mg_rollout *r, const mg_version_sample *s);
/*
 * Returns true and fills *c when the state, the share or the reserved grants
 * should change now. has_targets: the new version has a usable target. A
 * change takes effect only by mg_rollout_committed(); until then every call
 * returns it again.
 */
bool
mg_rollout_next_change(mg_rollout *r, bool has_targets, mg_rollout_change *c);
/* Applies a change that the control log has committed; DONE and ROLLED_BACK
   are never left, and reserved never decreases. */
void
mg_rollout_committed(mg_rollout *r, mg_rollout_state_id state,
                     uint32_t share_permille, uint64_t reserved);

mg_rollout_state_id
mg_rollout_state(const mg_rollout *r);
/* Share of the traffic that the new version gets in RAMP, in permille. */
uint32_t
mg_rollout_share(const mg_rollout *r);
/* Name of a state in logs and in the control API. */
const char *
mg_rollout_state_name(mg_rollout_state_id s);
/* Whether version is the one that is rolled out. */
bool
mg_rollout_is_new(const mg_rollout *r, const char *version);
/* Shortest possible time from start to DONE without window_ms; documents with
   shorter rollouts are refused. */
int64_t
mg_rollout_min_duration_ms(void);

#endif
