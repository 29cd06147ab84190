#include "topology/lease.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#define ID_SIZE (MG_NAME_SIZE + 24)
#define GRANT_MS (MG_LEASE_MS + MG_LEASE_MARGIN_MS)

struct grant {
    UT_hash_handle hh;
    char id[ID_SIZE]; /* holder and incarnation */
    int64_t until_ms;
};

struct mg_lease_table {
    mg_clock *clock;
    struct grant *grants;
    int64_t unknown_until_ms;
};

void
mg_lease_renewed(mg_lease *l, int64_t sent_ms, int64_t lease_ms)
{
    if (sent_ms + lease_ms > l->until_ms) {
        l->until_ms = sent_ms + lease_ms;
    }
}

bool
mg_lease_valid(const mg_lease *l, int64_t now)
{
    return now < l->until_ms;
}

mg_lease_table *
mg_lease_table_new(mg_clock *clock)
{
    mg_lease_table *l = mg_alloc(sizeof(*l));
    l->clock = clock;
    return l;
}

static void
drop_all(mg_lease_table *l)
{
    struct grant *g;
    struct grant *g1;
    HASH_ITER(hh, l->grants, g, g1)
    {
        HASH_DEL(l->grants, g);
        free(g);
    }
}

void
mg_lease_table_free(mg_lease_table *l)
{
    drop_all(l);
    free(l);
}

void
mg_lease_table_take_over(mg_lease_table *l)
{
    drop_all(l);
    l->unknown_until_ms = mg_now(l->clock) + GRANT_MS;
}

static void
make_id(char id[ID_SIZE], const char *holder, uint64_t incarnation)
{
    snprintf(id, ID_SIZE, "%.63s/%016" PRIx64, holder, incarnation);
}

static struct grant *
find(const mg_lease_table *l, const char *holder, uint64_t incarnation)
{
    char id[ID_SIZE];
    struct grant *g;
    make_id(id, holder, incarnation);
    HASH_FIND_STR(l->grants, id, g);
    return g;
}

static void
drop_expired(mg_lease_table *l)
{
    struct grant *g;
    struct grant *g1;
    HASH_ITER(hh, l->grants, g, g1)
    {
        if (mg_now(l->clock) >= g->until_ms) {
            HASH_DEL(l->grants, g);
            free(g);
        }
    }
}

void
mg_lease_table_grant(mg_lease_table *l, const char *holder,
                     uint64_t incarnation)
{
    struct grant *g = find(l, holder, incarnation);
    if (g == NULL) {
        drop_expired(l);
        g = mg_alloc(sizeof(*g));
        make_id(g->id, holder, incarnation);
        HASH_ADD_STR(l->grants, id, g);
    }
    g->until_ms = mg_now(l->clock) + GRANT_MS;
}

mg_lease_state
mg_lease_table_state(const mg_lease_table *l, const char *holder,
                     uint64_t incarnation)
{
    int64_t now = mg_now(l->clock);
    const struct grant *g = find(l, holder, incarnation);
    if (g != NULL && now < g->until_ms) {
        return MG_LEASE_LIVE;
    }
    return now < l->unknown_until_ms ? MG_LEASE_UNKNOWN : MG_LEASE_NONE;
}
