/*
 * rollout - moves a pool's traffic from one version to another
 *
 *     PENDING -> CANARY -> RAMP -> DONE
 *                  |         |
 *                  `---------`---> TAKEN_BACK
 *
 * A move that is not done by its time is taken back, with that as reason.
 * The state and the share are kept in the control log; this module decides
 * when they change and how many requests the new version may get.
 *
 * What always holds:
 *  - in CANARY the new version is granted at most
 *    MG_ROLLOUT_CANARY_MIN_BUDGET requests, or its percentage of the pool's
 *    grants when that is more; a count, not a probability. Grants are
 *    reserved in the log before they are given, and a successor takes all
 *    that was reserved as given, so that the bound holds over restarts;
 *  - in PENDING, TAKEN_BACK and after a local verdict it is granted none;
 *  - a move has one end: DONE and TAKEN_BACK are never left.
 *
 * Faults are judged for each route and for the whole version by a
 * sequential probability ratio test (Wald, 1945) against the old version's
 * own failure rate; slowness by the same test on the sign "slower than the
 * old version's usual time by the stated factor", with times compared per
 * predicted token, so that long requests do not look slow. The share grows
 * only while the new version has proved itself at the present one.
 */
#ifndef MG_ROLLOUT_H
#define MG_ROLLOUT_H

#include "base/check.h"
#include "base/clock.h"

#define MG_ROLLOUT_CANARY_MIN_BUDGET 20
#define MG_ROLLOUT_ROUTES_MAX 32

typedef enum mg_rollout_state_id {
    MG_ROLLOUT_PENDING,
    MG_ROLLOUT_CANARY,
    MG_ROLLOUT_RAMP,
    MG_ROLLOUT_DONE,
    MG_ROLLOUT_ROLLED_BACK,
} mg_rollout_state_id;

typedef struct mg_rollout mg_rollout;

typedef struct mg_rollout_options {
    mg_clock *clock;
    const char *name;
    const char *from;
    const char *to;
    int64_t start_wall_ms;
    int64_t deadline_wall_ms;
    double canary_percent;
    /*
     * Time for the whole move, 0: as long as it takes. With it the share
     * stays small for the first part of the time, and a step that brings
     * too few answers ends by time, if nothing speaks against the version.
     */
    int64_t window_ms;
    /* times the old version's mean that count as slow, 0: the usual factor;
       more where targets of one version differ in speed by themselves */
    double slow_factor;
    /* from the control log */
    mg_rollout_state_id state;
    uint32_t share_permille;
    uint64_t reserved;
} mg_rollout_options;

/* one finished request */
typedef struct mg_version_sample {
    const char *route;
    bool is_new; /* ran on the new version */
    bool failed;
    double first_per_token; /* ms to the first byte per prefill token */
    double gap_ms;          /* between tokens; 0 when there were none */
} mg_version_sample;

/* a change that the holder writes to the control log */
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
/* Whether it may go to the old one; false once the move is done. */
bool
mg_rollout_may_use_old(const mg_rollout *r);
void
mg_rollout_count_grant(mg_rollout *r, bool is_new);
/* A grant that was withdrawn before dispatch. */
void
mg_rollout_withdraw_grant(mg_rollout *r, bool is_new);
void
mg_rollout_add_sample(mg_rollout *r, const mg_version_sample *s);
/*
 * Whether a change is due; asked often. has_targets: the new version has
 * live targets. old_targets: the old one still has.
 */
bool
mg_rollout_next_change(mg_rollout *r, bool has_targets, mg_rollout_change *c);
/* The control log has taken a change. */
void
mg_rollout_committed(mg_rollout *r, mg_rollout_state_id state,
                     uint32_t share_permille, uint64_t reserved);

mg_rollout_state_id
mg_rollout_state(const mg_rollout *r);
uint32_t
mg_rollout_share(const mg_rollout *r);
const char *
mg_rollout_state_name(mg_rollout_state_id s);
bool
mg_rollout_is_new(const mg_rollout *r, const char *version);
/* Least time from start to done; a shorter plan is refused at apply. */
int64_t
mg_rollout_min_duration_ms(void);

#endif
