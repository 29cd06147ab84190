/*
 * quota - a workspace's quota over all entries
 *
 * In any window a workspace may use rate times the window, plus the burst.
 * Every entry counts for itself what all entries have admitted in the last
 * window: its own use at once, the others' as they report it, as totals that
 * only grow. What the others admit while their reports are under way is
 * estimated from what they admitted lately; so the sum over a window stays
 * close to the quota also where many entries report seldom.
 *
 * Pure; time is passed in.
 */
#ifndef MG_QUOTA_H
#define MG_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#define MG_QUOTA_SLICES 64

typedef struct mg_quota {
    double rate; /* per second; 0: none */
    double burst;
    double margin;    /* more in a window, for what is counted too high */
    int64_t slice_ms; /* a window is MG_QUOTA_SLICES of them */
    int64_t slice;    /* number of the newest one */
    double used_per_slice[MG_QUOTA_SLICES];
    double remote_per_slice[MG_QUOTA_SLICES]; /* of it, by other entries */
    double used_window;
    int64_t lag_ms; /* age of the others' reports when the next one comes */
    uint64_t used_total; /* by this entry, ever */
} mg_quota;

void
mg_quota_set(mg_quota *q, double rate, double burst, double margin,
             int64_t window_ms);
/* How old what is known of the other entries gets, ms. */
void
mg_quota_set_lag(mg_quota *q, int64_t lag_ms);
/* Takes cost if the window has any room left. */
bool
mg_quota_take(mg_quota *q, double cost, int64_t now);
/* Another entry has used this much more. */
void
mg_quota_add_remote(mg_quota *q, double cost, int64_t now);
/* Gives back what was taken for a request that was not run. */
void
mg_quota_refund(mg_quota *q, double cost, int64_t now);
/* Milliseconds until the window has room again, 0 when it has. */
int64_t
mg_quota_wait_ms(mg_quota *q, int64_t now);

#endif
