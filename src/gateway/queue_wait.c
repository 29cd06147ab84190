#include "gateway/queue_wait.h"

#include <string.h>

/* of the goal, that a request waits on when it can't be on time any more */
#define LATE_PART 0.5
#define SLICE_MS 125
#define SLICES 8
#define LONG_WAIT_MS 60000
#define RETRY_LEAST_MS 150
#define RETRY_MOST_MS 3000

mg_wait_limit
mg_wait_limit_of(int64_t arrived_ms, int64_t deadline_ms, int64_t goal_ms,
                 int64_t first_ms)
{
    mg_wait_limit p;
    int64_t slack = goal_ms > first_ms ? goal_ms - first_ms : 0;
    int64_t last = deadline_ms - first_ms;
    p.dispatch_by_ms = arrived_ms + slack;
    p.refuse_at_ms =
        p.dispatch_by_ms + (int64_t)(LATE_PART * (double)goal_ms) + 1;
    if (p.refuse_at_ms > last) {
        p.refuse_at_ms = last > arrived_ms ? last : arrived_ms + 1;
    }
    if (p.dispatch_by_ms > p.refuse_at_ms) {
        p.dispatch_by_ms = p.refuse_at_ms;
    }
    return p;
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
advance(mg_dequeue_rate *t, int64_t now)
{
    int64_t slice = now / SLICE_MS;
    if (slice - t->slice > SLICES) {
        memset(t->dequeued, 0, sizeof(t->dequeued));
        t->slice = slice;
    }
    while (t->slice < slice) {
        t->slice++;
        t->dequeued[t->slice % SLICES] = 0;
    }
}

void
mg_dequeue_rate_count(mg_dequeue_rate *t, int64_t now)
{
    advance(t, now);
    t->dequeued[t->slice % SLICES]++;
}

double
mg_dequeue_rate_per_s(mg_dequeue_rate *t, int64_t now)
{
    uint32_t n = 0;
    advance(t, now);
    for (int i = 0; i < SLICES; i++) {
        n += t->dequeued[i];
    }
    return (double)n * 1000.0 / (SLICE_MS * SLICES);
}

int64_t
mg_dequeue_rate_wait_ms(mg_dequeue_rate *t, uint64_t ahead, int64_t now)
{
    double rate = mg_dequeue_rate_per_s(t, now);
    if (rate <= 0) {
        return 0; /* nothing is known: patience will tell */
    }
    double ms = (double)ahead * 1000.0 / rate;
    return ms < LONG_WAIT_MS ? (int64_t)ms : LONG_WAIT_MS;
}

int64_t
mg_retry_after_ms(int64_t wait_ms, int64_t left_ms, double spread)
{
    int64_t ms = wait_ms > RETRY_LEAST_MS ? wait_ms : RETRY_LEAST_MS;
    ms = (int64_t)((double)ms * (0.75 + 0.75 * spread));
    ms = ms < RETRY_MOST_MS ? ms : RETRY_MOST_MS;
    int64_t most = left_ms / 3;
    return ms < most ? ms : most > 1 ? most : 1;
}
