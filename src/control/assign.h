/*
 * assign - which entry holds the scheduler of a pool
 *
 * Rendezvous hashing (Thaler and Ravishankar, 1998): each entry gets a
 * weight from the hash of pool and name, and the greatest wins. When an
 * entry goes, only its own pools move.
 */
#ifndef MG_ASSIGN_H
#define MG_ASSIGN_H

#include "base/bytes.h"

typedef struct mg_candidate {
    const char *node;
    uint64_t incarnation;
} mg_candidate;

/* Index of the entry that holds the pool, or -1 when there is none. */
int
mg_assign_pool(const char *pool, const mg_candidate *entries, size_t n);

#endif
