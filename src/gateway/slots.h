/*
 * share - which slots of the targets belong to which entry
 *
 * Entries see each other's requests some hundred ms late. When all targets
 * are nearly full, each freed slot would be taken by several of them at
 * once. So the slots of a service are dealt out: an entry knows exactly which
 * of its own are free. Of the others it may use, until it hears more, its part
 * of those that seem free, so that all together don't take more than there
 * are.
 *
 * Pure: the same for all entries that know the same entries and targets.
 * Where they differ for a while, a target gets a few requests too many.
 */
#ifndef MG_SLOTS_H
#define MG_SLOTS_H

#include <stddef.h>
#include <stdint.h>

typedef struct mg_slots_target {
    uint32_t slots;
    uint32_t domain; /* number of its failure domain */
} mg_slots_target;

/*
 * Of n targets in an order that is the same everywhere, share[i] becomes the
 * number of slots that belongs to entry self of count entries (0-based);
 * domains[] are the entries' failure domains. All entries get the same
 * number of slots, or one more; as many of them as possible at targets of
 * their own domain.
 */
void
mg_slots_allocate(const mg_slots_target *targets, size_t n, size_t self,
                  const uint32_t *domains, size_t count, uint32_t *share);
/*
 * Slots of others that an entry may use of a target with so many free, until
 * the next time: at random, in [0, 1), rounded up or down. waiting: other
 * entries that said that they wait for a slot. At least the square root of
 * all is counted, for those that have not said so yet. Of a target that is
 * half free one slot is lent: always to an entry with few own slots in the
 * service, else as often as all together may take what is free.
 */
uint32_t
mg_slots_borrowable(double free_slots, uint32_t slots, size_t entries,
                    size_t waiting, uint32_t own, double random);

#endif
