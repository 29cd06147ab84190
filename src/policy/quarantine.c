#include "policy/quarantine.h"

#include <stdlib.h>

#include <uthash.h>

/* strikes of one fingerprint */
struct strike_record {
    UT_hash_handle hh;
    uint64_t fingerprint;
    unsigned strikes;
    unsigned rank;
    struct {
        uint64_t id; /* 0: none */
        int64_t at_ms;
        uint64_t run;
    } crashes[MG_QUARANTINE_CRASHES];
    int64_t cleared_ms; /* crashes up to this don't count */
    unsigned trials;
    int64_t tried_ms;
    int64_t until_wall_ms;
};

struct mg_quarantine {
    struct strike_record *records; /* by fingerprint */
};

mg_quarantine *
mg_quarantine_new(void)
{
    return mg_alloc(sizeof(mg_quarantine));
}

void
mg_quarantine_free(mg_quarantine *q)
{
    struct strike_record *r;
    struct strike_record *next;
    HASH_ITER(hh, q->records, r, next)
    {
        HASH_DEL(q->records, r);
        free(r);
    }
    free(q);
}

static struct strike_record *
find(const mg_quarantine *q, uint64_t fingerprint)
{
    struct strike_record *r;
    HASH_FIND(hh, q->records, &fingerprint, sizeof(fingerprint), r);
    return r;
}

static struct strike_record *
find_or_add(mg_quarantine *q, uint64_t fingerprint)
{
    struct strike_record *r = find(q, fingerprint);
    if (r == NULL) {
        if (HASH_COUNT(q->records) >= MG_QUARANTINE_RECORDS_MAX) {
            struct strike_record *first = q->records;
            HASH_DEL(q->records, first);
            free(first);
        }
        r = mg_alloc(sizeof(*r));
        r->cleared_ms = INT64_MIN;
        r->fingerprint = fingerprint;
        HASH_ADD(hh, q->records, fingerprint, sizeof(fingerprint), r);
    }
    return r;
}

uint64_t
mg_quarantine_crash(const char *target, uint64_t target_epoch)
{
    mg_str epoch = {(const char *)&target_epoch, sizeof(target_epoch)};
    uint64_t h = mg_hash_pair(mg_str_of(target), epoch);
    return h != 0 ? h : 1;
}

static bool
counts(const struct strike_record *r, size_t i)
{
    return r->crashes[i].id != 0 && r->crashes[i].at_ms > r->cleared_ms;
}

/* index of a crash in r->crashes; -1: it isn't there */
static int
find_crash(const struct strike_record *r, uint64_t crash)
{
    for (int i = 0; i < MG_QUARANTINE_CRASHES; i++) {
        if (r->crashes[i].id == crash) {
            return i;
        }
    }
    return -1;
}

uint64_t
mg_quarantine_merge_runs(uint64_t a, uint64_t b)
{
    if (a == MG_QUARANTINE_RUN_UNKNOWN || a == b) {
        return b;
    }
    return b == MG_QUARANTINE_RUN_UNKNOWN ? a : MG_QUARANTINE_RUN_SEVERAL;
}

static void
add_run(struct strike_record *r, int crash, uint64_t run)
{
    r->crashes[crash].run =
        mg_quarantine_merge_runs(r->crashes[crash].run, run);
}

/* Index in r->crashes where a crash of this time is stored: a free one, else
   that of the oldest crash that doesn't count any more, else that of the
   newest crash if this one is newer; -1: this one is not stored. */
static int
place_for(const struct strike_record *r, int64_t at_ms)
{
    int old = -1;
    int last = 0;
    for (int i = 0; i < MG_QUARANTINE_CRASHES; i++) {
        int64_t at = r->crashes[i].at_ms;
        if (r->crashes[i].id == 0) {
            return i;
        }
        if (!counts(r, (size_t)i) && (old < 0 || at < r->crashes[old].at_ms)) {
            old = i;
        }
        last = at > r->crashes[last].at_ms ? i : last;
    }
    if (old >= 0) {
        return old;
    }
    return at_ms > r->crashes[last].at_ms ? last : -1;
}

/* Once r->crashes is full, only the newest one is replaced. So the time
   between the first and the last one grows, and crashes in between, which are
   not stored, give no further strike each time that they are reported. */
static void
add_crash(struct strike_record *r, const mg_quarantine_crash_row *c)
{
    int i = place_for(r, c->at_ms);
    if (i < 0) {
        return;
    }
    bool counted = counts(r, (size_t)i);
    r->crashes[i].id = c->crash;
    r->crashes[i].at_ms = c->at_ms;
    r->crashes[i].run = c->run;
    r->strikes += !counted && counts(r, (size_t)i);
}

unsigned
mg_quarantine_add_strike(mg_quarantine *q, const mg_quarantine_crash_row *c,
                         int64_t wall_ms)
{
    struct strike_record *r = find_or_add(q, c->fingerprint);
    if (r->until_wall_ms != 0 && r->until_wall_ms <= wall_ms) {
        r->strikes = 0;
        r->trials = 0;
        r->cleared_ms = r->until_wall_ms;
    }
    int known = find_crash(r, c->crash);
    if (known < 0) {
        add_crash(r, c);
    }
    else {
        add_run(r, known, c->run);
    }
    r->rank = c->rank > r->rank ? c->rank : r->rank;
    r->until_wall_ms = wall_ms + MG_QUARANTINE_DURATION_MS;
    return r->strikes;
}

void
mg_quarantine_clear(mg_quarantine *q, uint64_t fingerprint, int64_t at_ms,
                    int64_t wall_ms)
{
    struct strike_record *r = find_or_add(q, fingerprint);
    r->until_wall_ms = wall_ms + MG_QUARANTINE_DURATION_MS;
    if (at_ms <= r->cleared_ms) {
        return;
    }
    r->cleared_ms = at_ms;
    r->trials = 0;
    r->strikes = 0;
    for (size_t i = 0; i < MG_QUARANTINE_CRASHES; i++) {
        r->strikes += counts(r, i);
    }
}

int64_t
mg_quarantine_span_ms(const mg_quarantine *q, uint64_t fingerprint)
{
    const struct strike_record *r = find(q, fingerprint);
    int64_t first = INT64_MAX;
    int64_t last = INT64_MIN;
    for (size_t i = 0; r != NULL && i < MG_QUARANTINE_CRASHES; i++) {
        if (counts(r, i)) {
            int64_t at = r->crashes[i].at_ms;
            first = at < first ? at : first;
            last = at > last ? at : last;
        }
    }
    return first <= last ? last - first : 0;
}

int64_t
mg_quarantine_last_ms(const mg_quarantine *q, uint64_t fingerprint)
{
    const struct strike_record *r = find(q, fingerprint);
    int64_t last = INT64_MIN;
    for (size_t i = 0; r != NULL && i < MG_QUARANTINE_CRASHES; i++) {
        if (counts(r, i) && r->crashes[i].at_ms > last) {
            last = r->crashes[i].at_ms;
        }
    }
    return last;
}

void
mg_quarantine_note_trials(mg_quarantine *q, uint64_t fingerprint,
                          unsigned trials, int64_t at_ms)
{
    struct strike_record *r = find(q, fingerprint);
    if (r != NULL && trials > r->trials) {
        r->trials = trials;
        r->tried_ms = at_ms;
    }
}

unsigned
mg_quarantine_trials(const mg_quarantine *q, uint64_t fingerprint,
                     int64_t *at_ms)
{
    const struct strike_record *r = find(q, fingerprint);
    if (r == NULL || r->trials == 0) {
        return 0;
    }
    *at_ms = r->tried_ms;
    return r->trials;
}

void
mg_quarantine_load(mg_quarantine *q, uint64_t fingerprint, unsigned strikes,
                   int64_t until_wall_ms)
{
    struct strike_record *r = find_or_add(q, fingerprint);
    if (strikes > r->strikes) {
        r->strikes = strikes;
    }
    if (until_wall_ms > r->until_wall_ms) {
        r->until_wall_ms = until_wall_ms;
    }
}

void
mg_quarantine_add_run(mg_quarantine *q, uint64_t fingerprint, uint64_t crash,
                      uint64_t run)
{
    struct strike_record *r = find(q, fingerprint);
    int known = r != NULL ? find_crash(r, crash) : -1;
    if (known >= 0) {
        add_run(r, known, run);
    }
}

unsigned
mg_quarantine_strikes(const mg_quarantine *q, uint64_t fingerprint,
                      int64_t wall_ms)
{
    const struct strike_record *r = find(q, fingerprint);
    return r != NULL && r->until_wall_ms > wall_ms ? r->strikes : 0;
}

static void
each_crash(const struct strike_record *r,
           void (*f)(void *user, const mg_quarantine_crash_row *c), void *user)
{
    for (size_t i = 0; i < MG_QUARANTINE_CRASHES; i++) {
        if (counts(r, i)) {
            mg_quarantine_crash_row c = {r->fingerprint, r->crashes[i].id,
                                         r->crashes[i].at_ms, r->rank,
                                         r->crashes[i].run};
            f(user, &c);
        }
    }
}

void
mg_quarantine_each(const mg_quarantine *q, unsigned strikes_min,
                   int64_t wall_ms,
                   void (*f)(void *user, const mg_quarantine_crash_row *c),
                   void *user)
{
    for (const struct strike_record *r = q->records; r != NULL;
         r = r->hh.next) {
        if (r->until_wall_ms <= wall_ms || r->strikes < strikes_min) {
            continue;
        }
        each_crash(r, f, user);
    }
}

void
mg_quarantine_each_crash(const mg_quarantine *q, uint64_t fingerprint,
                         void (*f)(void *user,
                                   const mg_quarantine_crash_row *c),
                         void *user)
{
    const struct strike_record *r = find(q, fingerprint);
    if (r != NULL) {
        each_crash(r, f, user);
    }
}

bool
mg_quarantine_is_empty(const mg_quarantine *q)
{
    return q->records == NULL;
}

void
mg_quarantine_expire(mg_quarantine *q, int64_t wall_ms)
{
    struct strike_record *r;
    struct strike_record *next;
    HASH_ITER(hh, q->records, r, next)
    {
        if (r->until_wall_ms <= wall_ms) {
            HASH_DEL(q->records, r);
            free(r);
        }
    }
}
