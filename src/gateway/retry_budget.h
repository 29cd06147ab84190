/*
 * retry_budget - how many retries an entry may send
 *
 * In any window all entries together may send at most ratio * requests + slack
 * retries. Each entry applies the ratio to its local requests and adds only
 * its part of the slack, so the sum holds without coordination.
 *
 * No I/O; the caller passes the time in.
 */
#ifndef MG_RETRY_BUDGET_H
#define MG_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define MG_RETRY_BUDGET_SLICES 20

typedef struct mg_retry_budget {
    int64_t slice_ms; /* a window has MG_RETRY_BUDGET_SLICES slices */
    int64_t slice;    /* number of the newest slice: time / slice_ms */
    uint32_t requests[MG_RETRY_BUDGET_SLICES];
    uint32_t retries[MG_RETRY_BUDGET_SLICES];
} mg_retry_budget;

void
mg_retry_budget_init(mg_retry_budget *b, int64_t window_ms);
/* Counts the first dispatch of a request; retries are not counted here. */
void
mg_retry_budget_count_request(mg_retry_budget *b, int64_t now);
/*
 * Takes one retry from the budget; false when the budget is used up. slack:
 * this entry's part of the slack, in retries per window.
 */
bool
mg_retry_budget_take(mg_retry_budget *b, double ratio, double slack,
                     int64_t now);

#endif
