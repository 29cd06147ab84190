#include "gateway/share.h"

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
mg_share_loans(double free_slots, size_t entries, double random)
{
    double part = free_slots * LOAN_PART / (double)entries;
    return part > 0 ? (uint32_t)(part + random) : 0;
}
