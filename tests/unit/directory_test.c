/* which hosts callers are sent to, over seeded sets of hosts */
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
count_hosts(const char *domain, bool with_log, bool only_chosen)
{
    size_t count = 0;
    for (size_t i = 0; i < set.n; i++) {
        count +=
            (domain == NULL || strcmp(set.hosts[i].domain, domain) == 0) &&
            (with_log || !set.hosts[i].is_voter) &&
            (!only_chosen || set.chosen[i]);
    }
    return count;
}

/* each failure domain gives as many as the others, or all it has */
static bool
is_even(void)
{
    size_t most = 0;
    for (size_t i = 0; i < set.n; i++) {
        size_t own = count_hosts(set.hosts[i].domain, false, true);
        most = own > most ? own : most;
    }
    for (size_t i = 0; i < set.n; i++) {
        const char *domain = set.hosts[i].domain;
        size_t own = count_hosts(domain, false, true);
        if (own < most && own < count_hosts(domain, false, false)) {
            return false;
        }
    }
    return true;
}

static const char *
check_choice(size_t count, const mg_directory_demand *d)
{
    size_t others = count_hosts(NULL, false, false);
    size_t log_hosts = set.n - others;
    size_t named_others = count_hosts(NULL, false, true);
    size_t least = d->slots / MG_DIRECTORY_SLOTS_PER_ENTRY;
    least =
        least < MG_DIRECTORY_ENTRIES_MIN ? MG_DIRECTORY_ENTRIES_MIN : least;
    if (count != count_hosts(NULL, true, true)) {
        return "another number than was marked";
    }
    if (named_others < (least < others ? least : others)) {
        return "too few were named";
    }
    if (count > named_others && others >= MG_DIRECTORY_ENTRIES_MIN) {
        return "a host of the log was named beside enough others";
    }
    if (count < MG_DIRECTORY_ENTRIES_MIN && count < others + log_hosts) {
        return "hosts of the log were left out though others lack";
    }
    return is_even() ? NULL : "failure domains are uneven";
}

static const char *
history(uint64_t seed)
{
    mg_rng r;
    bool before[HOSTS];
    mg_rng_init(&r, seed);
    make_hosts(&r);
    mg_directory_demand d = {.slots = mg_rng_below(&r, 1500)};
    size_t count = mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    const char *broken = check_choice(count, &d);
    if (broken != NULL) {
        return broken;
    }
    /* more demand adds hosts and takes none away */
    memcpy(before, set.chosen, sizeof(before));
    d.rate = mg_rng_below(&r, 3000);
    mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    for (size_t i = 0; i < set.n; i++) {
        if (before[i] && !set.chosen[i]) {
            return "more demand took a host away";
        }
    }
    /* a little less takes none away either: all slots would move */
    memcpy(before, set.chosen, sizeof(before));
    d.advertised = count_hosts(NULL, false, true);
    d.rate *= 0.92;
    d.slots -= d.slots / 16;
    mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    for (size_t i = 0; i < set.n; i++) {
        if (before[i] && !set.chosen[i] && !set.hosts[i].is_voter) {
            return "a little less demand took a host away";
        }
    }
    /* another order of the hosts changes nothing */
    memcpy(before, set.chosen, sizeof(before));
    mg_directory_host first = set.hosts[0];
    set.hosts[0] = set.hosts[set.n - 1];
    set.hosts[set.n - 1] = first;
    mg_directory_choose(set.hosts, set.n, &d, set.chosen);
    return before[0] == set.chosen[set.n - 1] &&
                   before[set.n - 1] == set.chosen[0]
               ? NULL
               : "the order of the hosts matters";
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"hosts that are named", test_histories},
        CU_TEST_INFO_NULL,
    };
    return run_suite("directory", tests);
}
