#include "policy/quarantine.h"

#include <stdlib.h>

#include <uthash.h>

struct mark {
    UT_hash_handle hh;
    uint64_t fingerprint;
    unsigned marks;
    uint64_t last_death;
    int64_t until_wall_ms;
};

struct mg_quarantine {
    struct mark *marks;
};

mg_quarantine *
mg_quarantine_new(void)
{
    return mg_alloc(sizeof(mg_quarantine));
}

void
mg_quarantine_free(mg_quarantine *q)
{
    struct mark *m;
    struct mark *m1;
    HASH_ITER(hh, q->marks, m, m1)
    {
        HASH_DEL(q->marks, m);
        free(m);
    }
    free(q);
}

static struct mark *
find(const mg_quarantine *q, uint64_t fingerprint)
{
    struct mark *m;
    HASH_FIND(hh, q->marks, &fingerprint, sizeof(fingerprint), m);
    return m;
}

static struct mark *
find_or_add(mg_quarantine *q, uint64_t fingerprint)
{
    struct mark *m = find(q, fingerprint);
    if (m == NULL) {
        m = mg_alloc(sizeof(*m));
        m->fingerprint = fingerprint;
        HASH_ADD(hh, q->marks, fingerprint, sizeof(fingerprint), m);
    }
    return m;
}

unsigned
mg_quarantine_add_strike(mg_quarantine *q, uint64_t fingerprint,
                         const char *target, uint64_t target_epoch,
                         int64_t wall_ms)
{
    struct mark *m = find_or_add(q, fingerprint);
    mg_str epoch = {(const char *)&target_epoch, sizeof(target_epoch)};
    uint64_t death = mg_hash_pair(mg_str_of(target), epoch);
    if (m->until_wall_ms <= wall_ms) {
        m->marks = 0;
    }
    if (m->marks == 0 || m->last_death != death) {
        m->marks++;
    }
    m->last_death = death;
    m->until_wall_ms = wall_ms + MG_QUARANTINE_DURATION_MS;
    return m->marks;
}

void
mg_quarantine_load(mg_quarantine *q, uint64_t fingerprint, unsigned marks,
                   int64_t until_wall_ms)
{
    struct mark *m = find_or_add(q, fingerprint);
    if (marks > m->marks) {
        m->marks = marks;
    }
    if (until_wall_ms > m->until_wall_ms) {
        m->until_wall_ms = until_wall_ms;
    }
}

unsigned
mg_quarantine_strikes(const mg_quarantine *q, uint64_t fingerprint,
                      int64_t wall_ms)
{
    const struct mark *m = find(q, fingerprint);
    return m != NULL && m->until_wall_ms > wall_ms ? m->marks : 0;
}

bool
mg_quarantine_is_empty(const mg_quarantine *q)
{
    return q->marks == NULL;
}

void
mg_quarantine_expire(mg_quarantine *q, int64_t wall_ms)
{
    struct mark *m;
    struct mark *m1;
    HASH_ITER(hh, q->marks, m, m1)
    {
        if (m->until_wall_ms <= wall_ms) {
            HASH_DEL(q->marks, m);
            free(m);
        }
    }
}
