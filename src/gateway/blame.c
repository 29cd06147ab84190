#include "gateway/blame.h"

#include "gateway/strikes.h"

size_t
mg_blame_strikes_needed(bool served)
{
    return served ? MG_STRIKES_SERVED_MAX : MG_STRIKES_MAX;
}

/* number of crashes in which several requests had the part */
static size_t
shared_crashes(const mg_blame_part *p)
{
    size_t n = 0;
    for (size_t i = 0; i < p->crash_count; i++) {
        n += p->crashes[i].run == MG_QUARANTINE_RUN_SEVERAL;
    }
    return n;
}

static bool
is_better_cause(const mg_blame_part *a, const mg_blame_part *b)
{
    if (a->served != b->served) {
        return b->served;
    }
    if (a->crash_count != b->crash_count) {
        return a->crash_count > b->crash_count;
    }
    size_t shared_a = shared_crashes(a);
    size_t shared_b = shared_crashes(b);
    if (shared_a != shared_b) {
        return shared_a < shared_b;
    }
    return a->position > b->position ||
           (a->position == b->position && a->key > b->key);
}

static const mg_blame_part *
find_cause(const mg_blame_part *parts, size_t n)
{
    const mg_blame_part *cause = NULL;
    for (size_t i = 0; i < n; i++) {
        const mg_blame_part *p = &parts[i];
        if (p->crash_count >= mg_blame_strikes_needed(p->served) &&
            (cause == NULL || is_better_cause(p, cause))) {
            cause = p;
        }
    }
    return cause;
}

/* index of a crash in p->crashes; p->crash_count: it isn't there */
static size_t
find_crash(const mg_blame_part *p, uint64_t id)
{
    size_t i = 0;
    while (i < p->crash_count && p->crashes[i].id != id) {
        i++;
    }
    return i;
}

static bool
have_same_crashes(const mg_blame_part *a, const mg_blame_part *b)
{
    if (a->served != b->served || a->crash_count != b->crash_count) {
        return false;
    }
    for (size_t i = 0; i < a->crash_count; i++) {
        if (find_crash(b, a->crashes[i].id) == b->crash_count) {
            return false;
        }
    }
    return true;
}

/* whether the same requests had two parts with the same crashes */
static bool
are_together(const mg_blame_part *a, const mg_blame_part *b)
{
    for (size_t i = 0; a->key != b->key && i < a->crash_count; i++) {
        uint64_t run = a->crashes[i].run;
        if (b->crashes[find_crash(b, a->crashes[i].id)].run != run ||
            run == MG_QUARANTINE_RUN_UNKNOWN ||
            run == MG_QUARANTINE_RUN_SEVERAL) {
            return false;
        }
    }
    return true;
}

/* takes the crashes that the cause explains away from a part */
static void
explain(mg_blame_part *p, const mg_blame_part *cause)
{
    size_t n = 0;
    for (size_t i = 0; i < p->crash_count; i++) {
        if (find_crash(cause, p->crashes[i].id) == cause->crash_count) {
            p->crashes[n++] = p->crashes[i];
        }
    }
    p->crash_count = n;
}

/* the parts that are together with the cause, which is one of them */
static mg_blame_group
form_group(mg_blame_part *parts, size_t n, const mg_blame_part *cause,
           size_t number)
{
    mg_blame_group g = {.key = cause->key,
                        .crash_count = cause->crash_count,
                        .served = cause->served};
    for (size_t i = 0; i < cause->crash_count; i++) {
        g.crashes[i] = cause->crashes[i].id;
    }
    for (size_t i = 0; i < n; i++) {
        if (!have_same_crashes(&parts[i], cause)) {
            continue;
        }
        parts[i].tied = number;
        g.tied++;
        if (are_together(&parts[i], cause)) {
            parts[i].group = number;
            g.size++;
            g.key = parts[i].key < g.key ? parts[i].key : g.key;
        }
    }
    return g;
}

size_t
mg_blame(mg_blame_part *parts, size_t n, mg_blame_group *groups)
{
    const mg_blame_part *cause;
    size_t count = 0;
    for (size_t i = 0; i < n; i++) {
        parts[i].group = 0;
        parts[i].tied = 0;
    }
    while ((cause = find_cause(parts, n)) != NULL) {
        mg_blame_part found = *cause;
        groups[count] = form_group(parts, n, &found, count + 1);
        count++;
        for (size_t i = 0; i < n; i++) {
            explain(&parts[i], &found);
        }
    }
    return count;
}
