#include "policy/place.h"

#include <string.h>

/* predicted time to the last token, from local counts and learned rates */
static double
least_time(const mg_placement *p, const mg_target *t, const mg_estimate *e)
{
    (void)p;
    (void)t;
    return e->total_ms;
}

/* the target whose last grant is oldest, regardless of load */
static double
round_robin(const mg_placement *p, const mg_target *t, const mg_estimate *e)
{
    (void)p;
    (void)e;
    return (double)t->last_grant_seq;
}

/* fewest running requests by the targets' reports, which are delayed */
static double
least_reported(const mg_placement *p, const mg_target *t, const mg_estimate *e)
{
    (void)p;
    (void)e;
    return t->reported_running;
}

static const mg_placement placements[] = {
    {"least_time", least_time},
    {"round_robin", round_robin},
    {"least_reported", least_reported},
};

const mg_placement *
mg_placement_find(const char *name)
{
    for (size_t i = 0; i < sizeof(placements) / sizeof(placements[0]); i++) {
        if (strcmp(placements[i].name, name) == 0) {
            return &placements[i];
        }
    }
    return NULL;
}

const mg_placement *
mg_placement_default(void)
{
    return &placements[0];
}
