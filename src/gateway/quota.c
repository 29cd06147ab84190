#include "gateway/quota.h"

#include <string.h>

/* parts of the tolerated excess that are granted */
#define OVERAGE_PART 0.3
#define MARGIN_PART 0.3
/* slices from which the remote use and the demand are estimated */
#define RATE_SLICES 5
/* below this part of the bucket, an entry admits a part of the demand */
#define FULL_PART 0.5
/* so many requests within a lag may come to one entry without others having
 * any */
#define BURST_REQUESTS 1
/* what the bucket holds is spread over so many lags */
#define SPREAD_LAGS 2
/* an excess is paid back within this part of a window */
#define PAY_BACK_PART 0.25

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
        memset(q->asked_per_slice, 0, sizeof(q->asked_per_slice));
        q->used_window = 0;
        q->slice = slice;
    }
    while (q->slice < slice) {
        q->slice++;
        q->used_window -= *slice_at(q, q->slice);
        *slice_at(q, q->slice) = 0;
        q->remote_per_slice[q->slice % MG_QUOTA_SLICES] = 0;
        q->asked_per_slice[q->slice % MG_QUOTA_SLICES] = 0;
    }
}

static void
add(mg_quota *q, double cost)
{
    *slice_at(q, q->slice) += cost;
    q->used_window += cost;
    q->level -= cost;
}

mg_quota_limits
mg_quota_limits_of(const mg_quota_settings *s)
{
    double window_s = (double)s->window_ms / 1000.0;
    double factor = 1 + s->overage * OVERAGE_PART;
    double margin = s->margin * MARGIN_PART;
    return (mg_quota_limits){
        .rate = s->rate > 0 ? (s->rate + s->burst / window_s) * factor : 0,
        .rate_apart = s->rate,
        .burst = s->burst * factor + margin,
        .ceiling = (s->rate * window_s + s->burst) * factor + margin,
        .window_ms = s->window_ms,
    };
}

void
mg_quota_set(mg_quota *q, const mg_quota_limits *limits)
{
    int64_t slice_ms = limits->window_ms / MG_QUOTA_SLICES;
    slice_ms = slice_ms > 0 ? slice_ms : 1;
    if (q->slice_ms != slice_ms) {
        *q = (mg_quota){.used_total = q->used_total,
                        .refused_total = q->refused_total,
                        .lag_ms = q->lag_ms,
                        .share = q->share,
                        .others = q->others,
                        .empty_ms = q->empty_ms};
        q->slice_ms = slice_ms;
    }
    if (limits->rate != q->limits.rate || limits->burst != q->limits.burst) {
        q->is_level_known = false;
    }
    q->limits = *limits;
}

void
mg_quota_set_view(mg_quota *q, int64_t lag_ms, double share, unsigned others)
{
    q->lag_ms = lag_ms;
    q->share = share;
    q->others = others;
}

void
mg_quota_start_empty(mg_quota *q, int64_t empty_ms)
{
    q->empty_ms = empty_ms;
}

/* Per second, over the last slices. */
static double
recent_rate(const mg_quota *q, const double *per_slice)
{
    double sum = 0;
    for (int64_t k = 0; k < RATE_SLICES && k <= q->slice; k++) {
        sum += per_slice[(q->slice - k) % MG_QUOTA_SLICES];
    }
    return sum * 1000.0 / (double)(RATE_SLICES * q->slice_ms);
}

/* What others use for each unit that is used here, over the window. */
static double
use_of_others(const mg_quota *q)
{
    double remote = 0;
    for (int i = 0; i < MG_QUOTA_SLICES; i++) {
        remote += q->remote_per_slice[i];
    }
    double local = q->used_window - remote;
    double part = local > 0 ? remote / local : q->others;
    return part < q->others ? part : q->others;
}

/* Use at this entry that others don't know yet. */
static double
recent_local_use(const mg_quota *q)
{
    double sum = 0;
    for (int64_t k = 0; k <= q->lag_ms / q->slice_ms && k <= q->slice; k++) {
        size_t i = (size_t)(q->slice - k) % MG_QUOTA_SLICES;
        sum += q->used_per_slice[i] - q->remote_per_slice[i];
    }
    return sum;
}

/* Estimate of what other entries have admitted since their last reports: as
   much as lately, or what has just come here at once, if that is more. */
static double
unreported_estimate(const mg_quota *q)
{
    double usual =
        recent_rate(q, q->remote_per_slice) * (double)q->lag_ms / 1000.0;
    double burst = recent_local_use(q) - BURST_REQUESTS * q->cost;
    double alike = burst > 0 ? burst * use_of_others(q) : 0;
    return alike > usual ? alike : usual;
}

/* What the reporting entries may use per second. */
static double
shared_rate(const mg_quota *q)
{
    return q->share < 1 ? q->limits.rate_apart * q->share : q->limits.rate;
}

/* What the bucket would hold if it had been full before the window. */
static double
level_by_history(mg_quota *q, int64_t now)
{
    double rate_per_ms = shared_rate(q) / 1000.0;
    double used = 0;
    double debt = 0;
    int64_t ms = now - q->slice * q->slice_ms;
    for (int64_t k = 0; k < MG_QUOTA_SLICES && k <= q->slice; k++) {
        used += *slice_at(q, q->slice - k);
        double missing = used - rate_per_ms * (double)ms;
        debt = missing > debt ? missing : debt;
        ms += q->slice_ms;
    }
    return q->limits.burst * q->share - debt;
}

/* Adds what the rate has added to the bucket, up to its size. */
static void
refill(mg_quota *q, int64_t now)
{
    double size = q->limits.burst * q->share;
    if (q->is_level_known) {
        q->level += shared_rate(q) * (double)(now - q->level_ms) / 1000.0;
    }
    else {
        q->level = level_by_history(q, now);
        q->is_level_known = true;
        if (q->empty_ms != 0) {
            double refilled =
                shared_rate(q) * (double)(now - q->empty_ms) / 1000.0;
            q->level = refilled < q->level ? refilled : q->level;
        }
    }
    double window_s = (double)(q->slice_ms * MG_QUOTA_SLICES) / 1000.0;
    double debt_max = shared_rate(q) * window_s * PAY_BACK_PART;
    q->level = q->level < size ? q->level : size;
    q->level = q->level > -debt_max ? q->level : -debt_max;
    q->level_ms = now;
}

/* What the bucket holds, less what others may have taken since their last
   reports; negative after an excess. */
static double
bucket_level(mg_quota *q, int64_t now)
{
    refill(q, now);
    return q->level - unreported_estimate(q);
}

/* Use that leaves the window within a time, on top of the room that it has
   now. */
static double
window_room(mg_quota *q, int64_t within_ms)
{
    double room = q->limits.ceiling - q->used_window - unreported_estimate(q);
    int64_t slices = within_ms / q->slice_ms;
    for (int64_t k = 1; k <= slices && k < MG_QUOTA_SLICES; k++) {
        room += *slice_at(q, q->slice + k);
    }
    return room;
}

/* The part of the demand that is admitted now; 1 or more: all of it. */
static double
admitted_part(mg_quota *q, int64_t now)
{
    double level = bucket_level(q, now);
    double room = window_room(q, 0);
    if (q->lag_ms == 0 || room <= 0) {
        return level > 0 && room > 0 ? 1 : 0;
    }
    double window_s = (double)(q->slice_ms * MG_QUOTA_SLICES) / 1000.0;
    double spread_s = SPREAD_LAGS * (double)q->lag_ms / 1000.0;
    double pace = window_room(q, SPREAD_LAGS * q->lag_ms) / spread_s;
    if (level < q->limits.burst * q->share * FULL_PART) {
        double bucket_pace =
            shared_rate(q) +
            level / (level > 0 ? spread_s : window_s * PAY_BACK_PART);
        pace = bucket_pace < pace ? bucket_pace : pace;
    }
    return pace / recent_rate(q, q->asked_per_slice);
}

void
mg_quota_charge(mg_quota *q, double cost, int64_t now)
{
    advance(q, now);
    add(q, cost);
    q->used_total += (uint64_t)cost;
}

static void
add_demand(mg_quota *q, double cost)
{
    q->asked_per_slice[q->slice % MG_QUOTA_SLICES] += cost;
}

bool
mg_quota_take(mg_quota *q, double cost, double draw, int64_t now)
{
    advance(q, now);
    q->cost = cost;
    add_demand(q, cost);
    if (q->limits.rate > 0 && draw >= admitted_part(q, now)) {
        q->refused_total += (uint64_t)cost;
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
    add_demand(q, cost);
    q->remote_per_slice[q->slice % MG_QUOTA_SLICES] += cost;
}

void
mg_quota_add_remote_refused(mg_quota *q, double cost, int64_t now)
{
    advance(q, now);
    add_demand(q, cost);
}

bool
mg_quota_is_half_used(mg_quota *q, int64_t now)
{
    double window_s = (double)(q->slice_ms * MG_QUOTA_SLICES) / 1000.0;
    advance(q, now);
    return q->limits.rate > 0 &&
           2 * q->used_window >= q->limits.rate * window_s + q->limits.burst;
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
        q->level += cost;
    }
    q->used_total -=
        q->used_total >= (uint64_t)cost ? (uint64_t)cost : q->used_total;
}

int64_t
mg_quota_wait_ms(mg_quota *q, int64_t now)
{
    advance(q, now);
    if (q->limits.rate <= 0) {
        return 0;
    }
    double level = bucket_level(q, now);
    double ms = level < 0 ? -level * 1000.0 / shared_rate(q) : 0;
    double used = q->used_window;
    for (int64_t k = 1; used >= q->limits.ceiling && k <= MG_QUOTA_SLICES;
         k++) {
        /* the slice that leaves the window when slice + k begins */
        used -= *slice_at(q, q->slice + k);
        double until = (double)((q->slice + k) * q->slice_ms - now);
        ms = until > ms ? until : ms;
    }
    double window_ms = (double)(q->slice_ms * MG_QUOTA_SLICES);
    return (int64_t)(ms < window_ms ? ms : window_ms);
}
