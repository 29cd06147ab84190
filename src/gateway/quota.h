/*
 * quota - a workspace's quota over all entries
 *
 * A token bucket that every entry keeps for itself and drains by what all
 * entries have admitted: its own at once, the others' as they report it, as
 * totals that only grow. A report that comes late leaves the bucket in debt,
 * so that the sum over a window stays within rate and burst plus what was
 * admitted within the delay of the reports.
 *
 * Pure; time is passed in.
 */
#ifndef MG_QUOTA_H
#define MG_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

typedef struct mg_quota {
    double rate; /* per second; 0: none */
    double burst;
    double level; /* may be below 0 */
    int64_t at_ms;
    uint64_t used; /* by this entry, ever */
} mg_quota;

/* Takes new figures; the first call fills the bucket. */
void
mg_quota_set(mg_quota *q, double rate, double burst, int64_t now);
/* Takes cost out if the bucket is not empty. */
bool
mg_quota_take(mg_quota *q, double cost, int64_t now);
/* Another entry has used this much more. */
void
mg_quota_drain(mg_quota *q, double cost, int64_t now);
/* Gives back what was taken for a request that was not run. */
void
mg_quota_give_back(mg_quota *q, double cost);
/* Milliseconds until the bucket is not empty. */
int64_t
mg_quota_wait_ms(mg_quota *q, int64_t now);

#endif
