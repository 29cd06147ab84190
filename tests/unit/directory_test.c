/* Properties of the selection of advertised hosts, over seeded host sets. */
#include "suite.h"

#include "node/directory.h"

#define HOSTS 60

static struct {
    char names[HOSTS][32];
    mg_directory_host hosts[HOSTS];
    bool chosen[HOSTS];
    size_t n;
} set;

static void
make_hosts(mg_rng *r)
{
    static const char *const domains[] = {"a", "b", "c", "d"};
    size_t domain_count = 1 + mg_rng_below(r, 4);
    set.n = 1 + mg_rng_below(r, HOSTS);
    for (size_t i = 0; i < set.n; i++) {
        snprintf(set.names[i], sizeof(set.names[i]), "10.%u.0.%zu",
                 mg_rng_below(r, 200), i);
        set.hosts[i] = (mg_directory_host){
            .node = set.names[i],
            .domain = domains[mg_rng_below(r, (uint32_t)domain_count)],
            .is_voter = mg_rng_below(r, 6) == 0,
        };
    }
}

static size_t
count_hosts(const char *domain, bool with_voters, bool only_chosen)
{
    size_t count = 0;
    for (size_t i = 0; i < set.n; i++) {
        count +=
            (domain == NULL || strcmp(set.hosts[i].domain, domain) == 0) &&
            (with_voters || !set.hosts[i].is_voter) &&
            (!only_chosen || set.chosen[i]);
    }
    return count;
}

/* Whether each failure domain contributes as many hosts as any other, or all
   that it has; voters are not counted. */
static bool
is_even(void)
{
    size_t max_chosen = 0;
    for (size_t i = 0; i < set.n; i++) {
        size_t chosen_count = count_hosts(set.hosts[i].domain, false, true);
        max_chosen = chosen_count > max_chosen ? chosen_count : max_chosen;
    }
    for (size_t i = 0; i < set.n; i++) {
        const char *domain = set.hosts[i].domain;
        size_t chosen_count = count_hosts(domain, false, true);
        if (chosen_count < max_chosen &&
            chosen_count < count_hosts(domain, false, false)) {
            return false;
        }
    }
    return true;
}

static const char *
check_choice(size_t count, const mg_directory_demand *d)
{
    size_t non_voters = count_hosts(NULL, false, false);
    size_t voters = set.n - non_voters;
    size_t chosen_others = count_hosts(NULL, false, true);
    size_t min_count = d->slots / MG_DIRECTORY_SLOTS_PER_ENTRY;
    min_count = min_count < MG_DIRECTORY_ENTRIES_MIN ? MG_DIRECTORY_ENTRIES_MIN
                                                     : min_count;
    if (count != count_hosts(NULL, true, true)) {
        return "the returned number differs from the chosen hosts";
    }
    if (chosen_others < (min_count < non_voters ? min_count : non_voters)) {
        return "too few hosts were chosen";
    }
    if (count > chosen_others && non_voters >= MG_DIRECTORY_ENTRIES_MIN) {
        return "a voter was chosen although there are enough other hosts";
    }
    if (count < MG_DIRECTORY_ENTRIES_MIN && count < non_voters + voters) {
        return "voters were left out although there are too few other hosts";
    }
    return is_even() ? NULL : "failure domains contribute unequally";
}

static const char *
check_seed(uint64_t seed)
{
    mg_rng r;
    bool before[HOSTS];
    mg_rng_init(&r, seed);
    make_hosts(&r);
    mg_directory_demand d = {.slots = mg_rng_below(&r, 1500)};
    size_t count = mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    const char *violation = check_choice(count, &d);
    if (violation != NULL) {
        return violation;
    }
    /* more demand only adds hosts */
    memcpy(before, set.chosen, sizeof(before));
    d.rate = mg_rng_below(&r, 3000);
    mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    for (size_t i = 0; i < set.n; i++) {
        if (before[i] && !set.chosen[i]) {
            return "more demand removed a host";
        }
    }
    /* slightly less demand removes no host, because each removal reallocates
       all slots */
    memcpy(before, set.chosen, sizeof(before));
    d.advertised = count_hosts(NULL, false, true);
    d.rate *= 0.92;
    d.slots -= d.slots / 16;
    mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    for (size_t i = 0; i < set.n; i++) {
        if (before[i] && !set.chosen[i] && !set.hosts[i].is_voter) {
            return "slightly less demand removed a host";
        }
    }
    /* the result does not depend on the order of the hosts */
    memcpy(before, set.chosen, sizeof(before));
    mg_directory_host first = set.hosts[0];
    set.hosts[0] = set.hosts[set.n - 1];
    set.hosts[set.n - 1] = first;
    mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    return before[0] == set.chosen[set.n - 1] &&
                   before[set.n - 1] == set.chosen[0]
               ? NULL
               : "the result depends on the order of the hosts";
}

static void
test_histories(void)
{
    run_histories(check_seed, HISTORIES);
}

/* Entries that are cut off leave the directory one after the other, as far as
   enough others are left; it never stays empty, whoever is cut off. */
static const char *
withdraw_history(uint64_t seed)
{
    bool withdrawn[HOSTS] = {false};
    bool cut[HOSTS] = {false};
    mg_rng r;
    mg_rng_init(&r, seed);
    size_t n = 1 + mg_rng_below(&r, HOSTS);
    for (int step = 0; step < 200; step++) {
        size_t i = mg_rng_below(&r, (uint32_t)n);
        size_t others = 0;
        cut[i] = mg_rng_below(&r, 4) == 0 ? !cut[i] : cut[i];
        for (size_t k = 0; k < n; k++) {
            others += k != i && !withdrawn[k];
        }
        bool now = mg_directory_withdraw(withdrawn[i], cut[i], others, n);
        if (now && !cut[i]) {
            return "an entry that isn't cut off is withdrawn";
        }
        if (now && others == 0) {
            return "the directory is empty";
        }
        if (now && !withdrawn[i] && 3 * others < n) {
            return "too few entries are left";
        }
        if (!now && cut[i] && 3 * others >= n && others > 0) {
            return "an entry that is cut off stays";
        }
        withdrawn[i] = now;
    }
    return NULL;
}

static void
test_withdrawn_entries(void)
{
    run_histories(withdraw_history, HISTORIES);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"selection of advertised hosts", test_histories},
        {"entries that are withdrawn", test_withdrawn_entries},
        CU_TEST_INFO_NULL,
    };
    return run_suite("directory", tests);
}
