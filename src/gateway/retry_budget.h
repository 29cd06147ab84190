/*
 * budget - how many repeats an entry may send
 *
 * All entries together may send ratio times the first sends of a window,
 * plus a slack. Each keeps to the ratio of its own first sends and to its
 * part of the slack, so that the sum holds without any agreement.
 *
 * Pure; time is passed in.
 */
#ifndef MG_RETRY_BUDGET_H
#define MG_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define MG_RETRY_BUDGET_SLICES 20

typedef struct mg_retry_budget {
    int64_t slice_ms;
    int64_t slice; /* number of the newest slice */
    uint32_t requests[MG_RETRY_BUDGET_SLICES];
    uint32_t retries[MG_RETRY_BUDGET_SLICES];
} mg_retry_budget;

void
mg_retry_budget_init(mg_retry_budget *b, int64_t window_ms);
void
mg_retry_budget_count_request(mg_retry_budget *b, int64_t now);
/* Counts a repeat if there is room for it: slack is this entry's part. */
bool
mg_retry_budget_take(mg_retry_budget *b, double ratio, double slack,
                     int64_t now);

#endif
