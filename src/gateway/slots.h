/*
 * slots - allocation of the targets' slots to entries
 *
 * Load reports of other entries are some hundred ms old. When all targets are
 * nearly full, several entries would use the same freed slot. Therefore
 * the slots of a service are allocated to the entries: an entry knows exactly
 * which of its allocated slots are free. Until the next reports it may borrow
 * a part of the other slots that seem free, small enough that all entries
 * together do not use more than there are.
 *
 * No I/O: all entries that know the same entries and targets compute the same
 * allocation. While they differ, a target gets a few requests too many.
 */
#ifndef MG_SLOTS_H
#define MG_SLOTS_H

#include <stddef.h>
#include <stdint.h>

typedef struct mg_slots_target {
    uint32_t slots;
    uint32_t domain; /* see mg_gw_domain_number() */
} mg_slots_target;

/*
 * Sets allocated[i] to the number of slots of targets[i] that are allocated
 * to entry self (0-based) of count entries; domains[] are the entries' failure
 * domains. The order of targets and entries must be the same on all entries.
 * The totals of two entries differ by at most one slot; slots are preferably
 * allocated in the entry's failure domain.
 */
void
mg_slots_allocate(const mg_slots_target *targets, size_t n, size_t self,
                  const uint32_t *domains, size_t count, uint32_t *allocated);
/*
 * Number of a target's slots that an entry may borrow until the next report:
 * its part of free_slots, randomly rounded up or down. waiting: other entries
 * that reported waiting requests; at least sqrt(entries) are assumed, for
 * those that have not reported yet. local_allocated: slots allocated to this
 * entry in the service. random: uniform in [0, 1). When half of the target is
 * free, one slot may be borrowed even if that part is less: always by an entry
 * with few allocated slots, by any other with a probability such that all
 * borrowing entries together borrow about as many slots as are free.
 */
uint32_t
mg_slots_borrowable(double free_slots, uint32_t slots, size_t entries,
                    size_t waiting, uint32_t local_allocated, double random);

#endif
