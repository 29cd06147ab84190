/*
 * place - placement policies: which target a ticket is granted
 *
 * A policy computes a cost for each usable target with free capacity; the
 * target with the lowest cost wins. "least_time" is the default; the others
 * are baselines for benchmarks. A pool selects one by its key "placement".
 */
#ifndef MG_PLACE_H
#define MG_PLACE_H

#include "topology/target.h"

typedef struct mg_placement mg_placement;
struct mg_placement {
    const char *name;
    double (*cost)(const mg_placement *p, const mg_target *t,
                   const mg_estimate *e);
};

/* Returns NULL for an unknown name; the result is static. */
const mg_placement *
mg_placement_find(const char *name);
const mg_placement *
mg_placement_default(void);

#endif
