#include "gateway/queue_wait.h"

#include <string.h>

/* wait of a late request before it is refused, as a part of the goal */
#define LATE_WAIT_PART 0.5
#define SLICE_MS 125
#define SLICES 8
#define WAIT_MAX_MS 60000
#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 3000

mg_wait_limit
mg_wait_limit_of(int64_t arrived_ms, int64_t deadline_ms, int64_t goal_ms,
                 int64_t first_ms)
{
    mg_wait_limit w;
    int64_t slack = goal_ms > first_ms ? goal_ms - first_ms : 0;
    int64_t last_dispatch_ms = deadline_ms - first_ms;
    w.dispatch_by_ms = arrived_ms + slack;
    w.refuse_at_ms =
        w.dispatch_by_ms + (int64_t)(LATE_WAIT_PART * (double)goal_ms) + 1;
    if (w.refuse_at_ms > last_dispatch_ms) {
        w.refuse_at_ms =
            last_dispatch_ms > arrived_ms ? last_dispatch_ms : arrived_ms + 1;
    }
    if (w.dispatch_by_ms > w.refuse_at_ms) {
        w.dispatch_by_ms = w.refuse_at_ms;
    }
    return w;
}

mg_wait_action
mg_wait_limit_action(bool late, bool may_have_run)
{
    if (may_have_run) {
        return MG_WAIT_CONTINUE;
    }
    return late ? MG_WAIT_REFUSE : MG_WAIT_DEMOTE;
}

static void
advance(mg_dequeue_rate *r, int64_t now)
{
    int64_t slice = now / SLICE_MS;
    if (slice - r->slice > SLICES) {
        memset(r->dequeued, 0, sizeof(r->dequeued));
        r->slice = slice;
    }
    while (r->slice < slice) {
        r->slice++;
        r->dequeued[r->slice % SLICES] = 0;
    }
}

void
mg_dequeue_rate_count(mg_dequeue_rate *r, int64_t now)
{
    advance(r, now);
    r->dequeued[r->slice % SLICES]++;
}

double
mg_dequeue_rate_per_s(mg_dequeue_rate *r, int64_t now)
{
    uint32_t n = 0;
    advance(r, now);
    for (int i = 0; i < SLICES; i++) {
        n += r->dequeued[i];
    }
    return (double)n * 1000.0 / (SLICE_MS * SLICES);
}

int64_t
mg_dequeue_rate_wait_ms(mg_dequeue_rate *r, uint64_t ahead, int64_t now)
{
    double rate = mg_dequeue_rate_per_s(r, now);
    if (rate <= 0) {
        return 0; /* rate unknown: only the wait limit applies */
    }
    double ms = (double)ahead * 1000.0 / rate;
    return ms < WAIT_MAX_MS ? (int64_t)ms : WAIT_MAX_MS;
}

int64_t
mg_retry_after_ms(int64_t wait_ms, int64_t remaining_ms, double spread)
{
    int64_t ms = wait_ms > RETRY_MIN_MS ? wait_ms : RETRY_MIN_MS;
    ms = (int64_t)((double)ms * (0.75 + 0.75 * spread));
    ms = ms < RETRY_MAX_MS ? ms : RETRY_MAX_MS;
    int64_t max_ms = remaining_ms / 3;
    return ms < max_ms ? ms : max_ms > 1 ? max_ms : 1;
}
