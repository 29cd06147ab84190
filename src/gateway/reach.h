/*
 * reach - whether this entry is cut off from a service that others reach
 *
 * A target that doesn't respond has crashed or can't be reached from here;
 * that is told apart by what other entries see of the same service. An entry
 * is cut off from a service when its targets only fail, at least
 * MG_REACH_FAILURES times, while another entry has reached one since. It ends
 * when a target accepts a connection or responds, or when the others reach
 * none either.
 *
 * No I/O; the caller passes the time in, in ms.
 */
#ifndef MG_REACH_H
#define MG_REACH_H

#include <stdbool.h>
#include <stdint.h>

/* failures of targets, without a success between them */
#define MG_REACH_FAILURES 3

typedef struct mg_reach {
    int64_t ok_ms;     /* last success; 0: none yet */
    int64_t others_ms; /* last success of another entry, as reported */
    unsigned failures; /* since ok_ms */
} mg_reach;

/* A target has accepted a connection or responded. */
void
mg_reach_ok(mg_reach *r, int64_t now);
/* A connection to a target failed or broke, or the target is silent. */
void
mg_reach_failed(mg_reach *r);
/* Another entry reports that its last success was age_ms ago. */
void
mg_reach_reported(mg_reach *r, int64_t age_ms, int64_t now);
bool
mg_reach_is_cut(const mg_reach *r, int64_t now);
/* Whether other entries, and not this one, have reached the service since. */
bool
mg_reach_only_others_since(const mg_reach *r, int64_t since_ms);
/* Time since the last success, for reports to other entries; -1: too long ago
   to be reported. */
int64_t
mg_reach_report_age(const mg_reach *r, int64_t now);

#endif
