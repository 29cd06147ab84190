#include "gateway/slots.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/outcome.h"

/* a deal under way: what each entry has, and who is next */
struct deal {
    const uint32_t *domains;
    size_t count;
    size_t self;
    uint32_t *have;
    uint32_t limit; /* that an entry may have for now */
    size_t next;
};

/* the next entry below the limit, of one domain if asked; count: none */
static size_t
next_entry(struct deal *d, bool of_domain, uint32_t domain)
{
    for (size_t k = 0; k < d->count; k++) {
        size_t e = (d->next + k) % d->count;
        if (d->have[e] < d->limit && (!of_domain || d->domains[e] == domain)) {
            d->next = e + 1;
            return e;
        }
    }
    return d->count;
}

/* deals out what is left of each target's slots, until all have the limit */
static void
deal_round(struct deal *d, const mg_slots_target *targets, size_t n,
           bool of_domain, uint32_t *left, uint32_t *share)
{
    for (size_t i = 0; i < n; i++) {
        while (left[i] > 0) {
            size_t e = next_entry(d, of_domain, targets[i].domain);
            if (e == d->count) {
                break;
            }
            d->have[e]++;
            left[i]--;
            share[i] += e == d->self;
        }
    }
}

void
mg_slots_allocate(const mg_slots_target *targets, size_t n, size_t self,
                  const uint32_t *domains, size_t count, uint32_t *share)
{
    uint32_t *have = mg_alloc((count + n) * sizeof(*have));
    uint32_t *left = have + count;
    uint32_t total = 0;
    struct deal d = {domains, count, self, have, 0, 0};
    memset(have, 0, (count + n) * sizeof(*have));
    for (size_t i = 0; i < n; i++) {
        share[i] = 0;
        left[i] = targets[i].slots;
        total += left[i];
    }
    d.limit = total / (uint32_t)count;
    deal_round(&d, targets, n, true, left, share);
    deal_round(&d, targets, n, false, left, share);
    d.limit++;
    deal_round(&d, targets, n, true, left, share);
    deal_round(&d, targets, n, false, left, share);
    free(have);
}

/* reports are about two of their intervals old: what was lent since is not
   seen yet */
#define LOAN_PART 0.5
#define FEW_OWN_SLOTS 4

uint32_t
mg_slots_borrowable(double free_slots, uint32_t slots, size_t entries,
                    size_t waiting, uint32_t own, double random)
{
    double by = sqrt((double)entries);
    by = (double)waiting + 1 > by ? (double)waiting + 1 : by;
    double part = free_slots * LOAN_PART / by;
    uint32_t loans = part > 0 ? (uint32_t)(part + random) : 0;
    bool one = 2 * free_slots >= slots &&
               (own < FEW_OWN_SLOTS || random * by < free_slots);
    return loans == 0 && one ? 1 : loans;
}
