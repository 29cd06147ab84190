/*
 * place - ways to choose a target for a ticket
 *
 * A placement gives each usable target with room a cost; the least wins.
 * "least_time" is the product's; the others are baselines to measure
 * against, chosen by a pool's key "placement".
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

/* NULL when no placement has the name. */
const mg_placement *
mg_placement_find(const char *name);
const mg_placement *
mg_placement_default(void);

#endif
