#include "gateway/quota.h"

#include <string.h>

/* slices from which the remote rate is estimated */
#define RATE_SLICES 5

static double *
slice_at(mg_quota *q, int64_t slice)
{
    return &q->used_per_slice[slice % MG_QUOTA_SLICES];
}

static void
advance(mg_quota *q, int64_t now)
{
    int64_t slice = now / q->slice_ms;
    if (slice - q->slice >= MG_QUOTA_SLICES) {
        memset(q->used_per_slice, 0, sizeof(q->used_per_slice));
        memset(q->remote_per_slice, 0, sizeof(q->remote_per_slice));
        q->used_window = 0;
        q->slice = slice;
    }
    while (q->slice < slice) {
        q->slice++;
        q->used_window -= *slice_at(q, q->slice);
        *slice_at(q, q->slice) = 0;
        q->remote_per_slice[q->slice % MG_QUOTA_SLICES] = 0;
    }
}

static double
limit_of(const mg_quota *q)
{
    double window_s = (double)(q->slice_ms * MG_QUOTA_SLICES) / 1000.0;
    return q->rate * window_s + q->burst + q->margin;
}

static void
add(mg_quota *q, double cost)
{
    *slice_at(q, q->slice) += cost;
    q->used_window += cost;
}

void
mg_quota_set(mg_quota *q, double rate, double burst, double margin,
             int64_t window_ms)
{
    int64_t slice_ms = window_ms / MG_QUOTA_SLICES;
    slice_ms = slice_ms > 0 ? slice_ms : 1;
    if (q->slice_ms != slice_ms) {
        memset(q->used_per_slice, 0, sizeof(q->used_per_slice));
        memset(q->remote_per_slice, 0, sizeof(q->remote_per_slice));
        q->used_window = 0;
        q->slice = 0;
        q->slice_ms = slice_ms;
    }
    q->rate = rate;
    q->burst = burst;
    q->margin = margin;
}

void
mg_quota_set_lag(mg_quota *q, int64_t lag_ms)
{
    q->lag_ms = lag_ms;
}

/* estimate of what other entries have admitted since their last reports */
static double
unreported_estimate(const mg_quota *q)
{
    double recent = 0;
    for (int64_t k = 0; k < RATE_SLICES && k <= q->slice; k++) {
        recent += q->remote_per_slice[(q->slice - k) % MG_QUOTA_SLICES];
    }
    return recent * (double)q->lag_ms / (double)(RATE_SLICES * q->slice_ms);
}

void
mg_quota_charge(mg_quota *q, double cost, int64_t now)
{
    advance(q, now);
    add(q, cost);
    q->used_total += (uint64_t)cost;
}

bool
mg_quota_take(mg_quota *q, double cost, int64_t now)
{
    advance(q, now);
    if (q->rate > 0 &&
        q->used_window + unreported_estimate(q) >= limit_of(q)) {
        return false;
    }
    mg_quota_charge(q, cost, now);
    return true;
}

void
mg_quota_add_remote(mg_quota *q, double cost, int64_t now)
{
    advance(q, now);
    add(q, cost);
    q->remote_per_slice[q->slice % MG_QUOTA_SLICES] += cost;
}

bool
mg_quota_is_half_used(mg_quota *q, int64_t now)
{
    advance(q, now);
    return q->rate > 0 && 2 * q->used_window >= limit_of(q);
}

double
mg_quota_past(mg_quota *q, unsigned interval, int64_t now, int64_t *age_ms)
{
    enum { SLICES = MG_QUOTA_SLICES / MG_QUOTA_INTERVALS };
    double used = 0;
    advance(q, now);
    *age_ms = (int64_t)interval * SLICES * q->slice_ms;
    for (int64_t i = 0; i < SLICES; i++) {
        int64_t slice = q->slice - (int64_t)interval * SLICES - i;
        used += slice >= 0 ? *slice_at(q, slice) : 0;
    }
    return used;
}

void
mg_quota_add_past(mg_quota *q, double cost, int64_t age_ms, int64_t now)
{
    advance(q, now);
    int64_t slice = q->slice - age_ms / q->slice_ms;
    if (slice >= 0 && q->slice - slice < MG_QUOTA_SLICES) {
        *slice_at(q, slice) += cost;
        q->used_window += cost;
    }
}

void
mg_quota_refund(mg_quota *q, double cost, int64_t taken_ms, int64_t now)
{
    int64_t slice = taken_ms / q->slice_ms;
    advance(q, now);
    if (q->slice - slice < MG_QUOTA_SLICES) {
        *slice_at(q, slice) -= cost;
        q->used_window -= cost;
    }
    q->used_total -=
        q->used_total >= (uint64_t)cost ? (uint64_t)cost : q->used_total;
}

int64_t
mg_quota_wait_ms(mg_quota *q, int64_t now)
{
    advance(q, now);
    double used = q->used_window;
    double limit = limit_of(q);
    if (q->rate <= 0 || used < limit) {
        return 0;
    }
    for (int64_t k = 1; k <= MG_QUOTA_SLICES; k++) {
        /* the slice that leaves the window when slice + k begins */
        used -= *slice_at(q, q->slice + k);
        if (used < limit) {
            return (q->slice + k) * q->slice_ms - now;
        }
    }
    return q->slice_ms * MG_QUOTA_SLICES;
}
