/*
 * Blame of parts for crashes, over random histories of requests that ran on
 * targets as these crashed, against a naive twin that keeps all of it in
 * bit sets.
 */
#include "suite.h"

#include "gateway/blame.h"
#include "gateway/strikes.h"

#define PARTS 6
#define RUNS_MAX 3
#define BIT(i) (1U << (i))

/* of each crash: the parts of each request that ran; 0: none */
static unsigned runs[MG_QUARANTINE_CRASHES][RUNS_MAX];
static size_t crashes;
static bool served[PARTS];
static unsigned positions[PARTS];

static uint64_t
key_of(size_t part)
{
    return 2 * part + 1;
}

/* the requests that had a part in a crash, as a bit set */
static unsigned
runs_with(size_t part, size_t crash)
{
    unsigned set = 0;
    for (size_t r = 0; r < RUNS_MAX; r++) {
        set |= runs[crash][r] & BIT(part) ? BIT(r) : 0;
    }
    return set;
}

static unsigned
crashes_of(size_t part)
{
    unsigned set = 0;
    for (size_t c = 0; c < crashes; c++) {
        set |= runs_with(part, c) ? BIT(c) : 0;
    }
    return set;
}

static unsigned
count(unsigned set)
{
    return (unsigned)__builtin_popcount(set);
}

static void
draw(mg_rng *r)
{
    bool alone = mg_rng_below(r, 2);
    unsigned common = mg_rng_below(r, 2) ? BIT(mg_rng_below(r, PARTS)) : 0;
    crashes = 1 + mg_rng_below(r, MG_QUARANTINE_CRASHES);
    memset(runs, 0, sizeof(runs));
    for (size_t p = 0; p < PARTS; p++) {
        served[p] = mg_rng_below(r, 3) == 0;
        positions[p] = mg_rng_below(r, 3);
    }
    for (size_t c = 0; c < crashes; c++) {
        size_t n = alone ? 1 : 1 + mg_rng_below(r, RUNS_MAX);
        for (size_t i = 0; i < n; i++) {
            runs[c][i] = mg_rng_below(r, BIT(PARTS)) | (i == 0 ? common : 0);
        }
    }
}

static void
fill(mg_blame_part *parts)
{
    for (size_t p = 0; p < PARTS; p++) {
        parts[p] = (mg_blame_part){
            .key = key_of(p), .position = positions[p], .served = served[p]};
        for (size_t c = 0; c < crashes; c++) {
            unsigned set = runs_with(p, c);
            if (set != 0) {
                size_t i = parts[p].crash_count++;
                parts[p].crashes[i].id = 100 + c;
                parts[p].crashes[i].run =
                    count(set) > 1 ? MG_QUARANTINE_RUN_SEVERAL : 10 * c + set;
            }
        }
    }
}

/* crashes in which several requests had the part, of those that are left */
static unsigned
shared_crashes(size_t part, unsigned left)
{
    unsigned n = 0;
    for (size_t c = 0; c < crashes; c++) {
        n += (left & BIT(c)) && count(runs_with(part, c)) > 1;
    }
    return n;
}

/* the better cause of two, by the rules in blame.h, one after the other */
static size_t
better(size_t a, size_t b, unsigned left)
{
    unsigned crashes_a = count(crashes_of(a) & left);
    unsigned crashes_b = count(crashes_of(b) & left);
    if (served[a] != served[b]) {
        return served[a] ? b : a;
    }
    if (crashes_a != crashes_b) {
        return crashes_a > crashes_b ? a : b;
    }
    unsigned shared_a = shared_crashes(a, left);
    unsigned shared_b = shared_crashes(b, left);
    if (shared_a != shared_b) {
        return shared_a < shared_b ? a : b;
    }
    if (positions[a] != positions[b]) {
        return positions[a] > positions[b] ? a : b;
    }
    return key_of(a) > key_of(b) ? a : b;
}

static bool
are_tied(size_t a, size_t b, unsigned left)
{
    return served[a] == served[b] &&
           (crashes_of(a) & left) == (crashes_of(b) & left);
}

static bool
in_same_requests(size_t a, size_t b, unsigned left)
{
    unsigned set = crashes_of(a) & left;
    if (!are_tied(a, b, left)) {
        return false;
    }
    for (size_t c = 0; c < crashes; c++) {
        unsigned with = runs_with(a, c);
        if ((set & BIT(c)) && (with != runs_with(b, c) || count(with) != 1)) {
            return false;
        }
    }
    return true;
}

/* the naive twin: sets the group of each part, and that it is tied with */
static void
blame_naively(size_t group[PARTS], size_t tied[PARTS])
{
    unsigned left = BIT(crashes) - 1; /* crashes that aren't explained */
    memset(group, 0, PARTS * sizeof(*group));
    memset(tied, 0, PARTS * sizeof(*tied));
    for (size_t number = 1;; number++) {
        size_t cause = PARTS;
        for (size_t p = 0; p < PARTS; p++) {
            unsigned needed = served[p] ? 5 : 3;
            if (count(crashes_of(p) & left) >= needed) {
                cause = cause == PARTS ? p : better(cause, p, left);
            }
        }
        if (cause == PARTS) {
            return;
        }
        for (size_t p = 0; p < PARTS; p++) {
            if (p == cause || in_same_requests(p, cause, left)) {
                group[p] = number;
            }
            if (are_tied(p, cause, left)) {
                tied[p] = number;
            }
        }
        left &= ~crashes_of(cause);
    }
}

static bool
is_refused(unsigned prompt, const size_t group[PARTS])
{
    for (size_t p = 0; p < PARTS; p++) {
        bool has_all = group[p] != 0;
        for (size_t o = 0; o < PARTS; o++) {
            has_all &= group[o] != group[p] || (prompt & BIT(o));
        }
        if (has_all) {
            return true;
        }
    }
    return false;
}

/* If each crash had one request, and these have a part in common that was
   never served, each of them is refused. */
static bool
lets_cause_through(const size_t group[PARTS])
{
    unsigned common = BIT(PARTS) - 1;
    for (size_t c = 0; c < crashes; c++) {
        bool alone = runs[c][1] == 0 && runs[c][2] == 0;
        common &= alone ? runs[c][0] : 0;
    }
    for (size_t p = 0; p < PARTS; p++) {
        common &= ~(served[p] ? BIT(p) : 0);
    }
    bool refused = true;
    for (size_t c = 0; c < crashes; c++) {
        refused &= is_refused(runs[c][0], group);
    }
    return common != 0 && crashes >= MG_STRIKES_MAX && !refused;
}

static const char *
history(uint64_t seed)
{
    mg_rng r;
    mg_blame_part parts[PARTS];
    mg_blame_group groups[PARTS];
    size_t naive[PARTS];
    size_t naive_tied[PARTS];
    size_t group[PARTS];
    size_t sizes[PARTS + 1] = {0};
    size_t ties[PARTS + 1] = {0};
    mg_rng_init(&r, seed);
    draw(&r);
    fill(parts);
    blame_naively(naive, naive_tied);
    size_t n = mg_blame(parts, PARTS, groups);
    for (size_t p = 0; p < PARTS; p++) {
        group[p] = parts[p].group;
        sizes[group[p]]++;
        ties[parts[p].tied]++;
        if (group[p] != naive[p] || parts[p].tied != naive_tied[p]) {
            return "another group than the naive twin's";
        }
    }
    for (size_t g = 0; g < n; g++) {
        if (groups[g].size != sizes[g + 1] || groups[g].tied != ties[g + 1]) {
            return "a wrong size of a group";
        }
    }
    return lets_cause_through(group) ? "a crashing request isn't refused"
                                     : NULL;
}

static void
test_histories(void)
{
    run_histories(history, 10 * HISTORIES);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"the parts to blame", test_histories},
        CU_TEST_INFO_NULL,
    };
    return run_suite("blame", tests);
}
