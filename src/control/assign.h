/*
 * assign - choice of the entry that runs the scheduler of a pool
 *
 * Uses rendezvous hashing (Thaler and Ravishankar, 1998): each entry gets a
 * weight from the hash of its name and the pool's, and the entry with the
 * greatest weight wins. When an entry is removed, only its pools are
 * reassigned.
 */
#ifndef MG_ASSIGN_H
#define MG_ASSIGN_H

#include "base/bytes.h"

typedef struct mg_assign_candidate {
    const char *node;
    uint64_t incarnation;
} mg_assign_candidate;

/* Index of the chosen entry, or -1 when n is 0. */
int
mg_assign_pool(const char *pool, const mg_assign_candidate *entries, size_t n);

#endif
