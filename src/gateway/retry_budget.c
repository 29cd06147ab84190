#include "gateway/retry_budget.h"

#include <string.h>

void
mg_retry_budget_init(mg_retry_budget *b, int64_t window_ms)
{
    memset(b, 0, sizeof(*b));
    b->slice_ms = window_ms / MG_RETRY_BUDGET_SLICES;
    b->slice_ms = b->slice_ms > 0 ? b->slice_ms : 1;
}

static int64_t
advance(mg_retry_budget *b, int64_t now)
{
    int64_t slice = now / b->slice_ms;
    if (slice - b->slice > MG_RETRY_BUDGET_SLICES) {
        b->slice = slice - MG_RETRY_BUDGET_SLICES;
    }
    while (b->slice < slice) {
        b->slice++;
        b->requests[b->slice % MG_RETRY_BUDGET_SLICES] = 0;
        b->retries[b->slice % MG_RETRY_BUDGET_SLICES] = 0;
    }
    return b->slice % MG_RETRY_BUDGET_SLICES;
}

void
mg_retry_budget_count_request(mg_retry_budget *b, int64_t now)
{
    b->requests[advance(b, now)]++;
}

bool
mg_retry_budget_take(mg_retry_budget *b, double ratio, double slack,
                     int64_t now)
{
    int64_t at = advance(b, now);
    double firsts = 0;
    double repeats = 0;
    for (int i = 0; i < MG_RETRY_BUDGET_SLICES; i++) {
        firsts += b->requests[i];
        repeats += b->retries[i];
    }
    if (repeats + 1 > ratio * firsts + slack) {
        return false;
    }
    b->retries[at]++;
    return true;
}
