#include "gateway/slots.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/outcome.h"

/* state of an allocation in progress */
struct allocation {
    const uint32_t *domains;
    size_t count;
    size_t self;
    uint32_t *assigned; /* slots of each entry so far */
    uint32_t limit;     /* slots that each entry may get in this round */
    size_t next;        /* entry to start the search at */
};

/* index of the next entry below the limit (if same_domain, only of entries in
   that domain), or a->count when there is none */
static size_t
next_entry(struct allocation *a, bool same_domain, uint32_t domain)
{
    for (size_t k = 0; k < a->count; k++) {
        size_t e = (a->next + k) % a->count;
        if (a->assigned[e] < a->limit &&
            (!same_domain || a->domains[e] == domain)) {
            a->next = e + 1;
            return e;
        }
    }
    return a->count;
}

/* allocates each target's remaining slots to entries below a->limit */
static void
allocate_round(struct allocation *a, const mg_slots_target *targets, size_t n,
               bool same_domain, uint32_t *remaining, uint32_t *allocated)
{
    for (size_t i = 0; i < n; i++) {
        while (remaining[i] > 0) {
            size_t e = next_entry(a, same_domain, targets[i].domain);
            if (e == a->count) {
                break;
            }
            a->assigned[e]++;
            remaining[i]--;
            allocated[i] += e == a->self;
        }
    }
}

void
mg_slots_allocate(const mg_slots_target *targets, size_t n, size_t self,
                  const uint32_t *domains, size_t count, uint32_t *allocated)
{
    uint32_t *assigned = mg_alloc((count + n) * sizeof(*assigned));
    uint32_t *remaining = assigned + count;
    uint32_t total = 0;
    struct allocation a = {domains, count, self, assigned, 0, 0};
    memset(assigned, 0, (count + n) * sizeof(*assigned));
    for (size_t i = 0; i < n; i++) {
        allocated[i] = 0;
        remaining[i] = targets[i].slots;
        total += remaining[i];
    }
    a.limit = total / (uint32_t)count;
    allocate_round(&a, targets, n, true, remaining, allocated);
    allocate_round(&a, targets, n, false, remaining, allocated);
    a.limit++;
    allocate_round(&a, targets, n, true, remaining, allocated);
    allocate_round(&a, targets, n, false, remaining, allocated);
    free(assigned);
}

/* fraction of the free slots that entries borrow: reports are about two report
   intervals old, so borrowing since then is not visible yet */
#define BORROW_PART 0.5
#define FEW_ALLOCATED_SLOTS 4

uint32_t
mg_slots_borrowable(double free_slots, uint32_t slots, size_t entries,
                    size_t waiting, uint32_t local_allocated, double random)
{
    double borrowers = sqrt((double)entries);
    borrowers =
        (double)waiting + 1 > borrowers ? (double)waiting + 1 : borrowers;
    double part = free_slots * BORROW_PART / borrowers;
    uint32_t borrowable = part > 0 ? (uint32_t)(part + random) : 0;
    bool borrow_one =
        2 * free_slots >= slots && (local_allocated < FEW_ALLOCATED_SLOTS ||
                                    random * borrowers < free_slots);
    return borrowable == 0 && borrow_one ? 1 : borrowable;
}
