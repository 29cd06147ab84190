/*
 * quota - a workspace's quota over all entries
 *
 * In any window a workspace may use rate * window + burst. Every entry counts
 * what all entries have admitted in the last window: local use at once, remote
 * use from reports, which carry totals that only grow. What other entries
 * admit between their reports is estimated from their recent rate, so the sum
 * over a window stays close to the quota even when many entries report rarely.
 *
 * No I/O; the caller passes the time in. Costs are requests or tokens.
 */
#ifndef MG_QUOTA_H
#define MG_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#define MG_QUOTA_SLICES 64
/* intervals of a window in which past use is reported */
#define MG_QUOTA_INTERVALS 8

typedef struct mg_quota {
    double rate; /* per second; 0: unlimited */
    double burst;
    double margin;    /* tolerated excess in a window */
    int64_t slice_ms; /* a window has MG_QUOTA_SLICES slices */
    int64_t slice;    /* number of the newest slice */
    double used_per_slice[MG_QUOTA_SLICES];
    double remote_per_slice[MG_QUOTA_SLICES]; /* part used at other entries */
    double used_window;                       /* sum of used_per_slice */
    int64_t lag_ms;                           /* see mg_quota_set_lag() */
    uint64_t used_total; /* at this entry, since its start */
} mg_quota;

/* Sets the limits; a change of window_ms clears the counts. */
void
mg_quota_set(mg_quota *q, double rate, double burst, double margin,
             int64_t window_ms);
/* Sets lag_ms: the age that a report of another entry has reached when that
   entry's next report arrives. */
void
mg_quota_set_lag(mg_quota *q, int64_t lag_ms);
/* Takes cost if the window has any room left, even if less than cost. */
bool
mg_quota_take(mg_quota *q, double cost, int64_t now);
/* Counts use at another entry; cost: increase since its previous report. */
void
mg_quota_add_remote(mg_quota *q, double cost, int64_t now);
/* Counts another use of a request that has taken cost, whatever the limits. */
void
mg_quota_charge(mg_quota *q, double cost, int64_t now);
/* Whether at least half of the quota is used. */
bool
mg_quota_is_half_used(mg_quota *q, int64_t now);
/* Use in one of MG_QUOTA_INTERVALS intervals of the last window, 0 being the
   newest, and the time since the end of that interval. */
double
mg_quota_past(mg_quota *q, unsigned interval, int64_t now, int64_t *age_ms);
/* Counts use of this age, by all entries, from before this entry's start. */
void
mg_quota_add_past(mg_quota *q, double cost, int64_t age_ms, int64_t now);
/* Takes back a cost that was counted at taken_ms: the request was not run.
   Once that time has left the window, nothing changes. */
void
mg_quota_refund(mg_quota *q, double cost, int64_t taken_ms, int64_t now);
/* Time until the window has room again, ms; 0 when it has room now. */
int64_t
mg_quota_wait_ms(mg_quota *q, int64_t now);

#endif
