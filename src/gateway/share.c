#include "gateway/share.h"

#include <math.h>

void
mg_share_deal(const uint32_t *slots, size_t n, size_t self, size_t count,
              uint32_t *share)
{
    size_t next = 0; /* entry that the next slot goes to */
    for (size_t i = 0; i < n; i++) {
        share[i] = 0;
        for (uint32_t k = 0; k < slots[i]; k++) {
            share[i] += next == self;
            next = next + 1 < count ? next + 1 : 0;
        }
    }
}

/* reports are about two of their intervals old: what was lent since is not
   seen yet */
#define LOAN_PART 0.5

uint32_t
mg_share_loans(double free_slots, uint32_t slots, size_t entries,
               size_t waiting, double random)
{
    double by = sqrt((double)entries);
    by = (double)waiting + 1 > by ? (double)waiting + 1 : by;
    double part = free_slots * LOAN_PART / by;
    uint32_t loans = part > 0 ? (uint32_t)(part + random) : 0;
    return loans == 0 && 2 * free_slots >= slots ? 1 : loans;
}
