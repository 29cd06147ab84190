#include "node/directory.h"

#include <string.h>

#include "base/bytes.h"

#define DOMAINS_MAX 64
/* the number of advertised hosts is reduced only if it exceeds the needed
   number by more than this factor */
#define KEEP_FACTOR 1.5
/* one part in this many of the live hosts must be ready for one more to be
   withdrawn */
#define READY_PARTS 3

/* hosts with their failure domain and the hash that ranks them in it */
struct host_table {
    const mg_directory_host *hosts;
    size_t n;
    uint64_t hash[MG_DIRECTORY_HOSTS_MAX];
    size_t domain[MG_DIRECTORY_HOSTS_MAX];
    const char *domains[DOMAINS_MAX];
    size_t domain_count;
};

static size_t
domain_index(struct host_table *t, const char *name)
{
    for (size_t d = 0; d < t->domain_count; d++) {
        if (strcmp(t->domains[d], name) == 0) {
            return d;
        }
    }
    if (t->domain_count == DOMAINS_MAX) {
        return DOMAINS_MAX - 1;
    }
    t->domains[t->domain_count] = name;
    return t->domain_count++;
}

static void
build_table(struct host_table *t, const mg_directory_host *hosts, size_t n)
{
    t->hosts = hosts;
    t->n = n;
    t->domain_count = 0;
    for (size_t i = 0; i < n; i++) {
        t->hash[i] = mg_hash(mg_str_of(hosts[i].node));
        t->domain[i] = domain_index(t, hosts[i].domain);
    }
}

static size_t
max_size(size_t a, size_t b)
{
    return a > b ? a : b;
}

static size_t
needed_entries(const struct host_table *t, const mg_directory_demand *demand)
{
    size_t needed = max_size(MG_DIRECTORY_ENTRIES_MIN,
                             MG_DIRECTORY_MIN_PER_DOMAIN * t->domain_count);
    needed = max_size(needed,
                      (size_t)(demand->slots / MG_DIRECTORY_SLOTS_PER_ENTRY));
    needed =
        max_size(needed, (size_t)(demand->rate / MG_DIRECTORY_RATE_PER_ENTRY));
    /* each change of the number reallocates all slots */
    bool keep_current =
        demand->advertised > needed &&
        (double)demand->advertised <= KEEP_FACTOR * (double)needed;
    return keep_current ? demand->advertised : needed;
}

bool
mg_directory_withdraw(bool withdrawn, bool cut, size_t others_ready,
                      size_t live)
{
    if (!cut || others_ready == 0) {
        return false;
    }
    return withdrawn || others_ready * READY_PARTS >= live;
}

/* Returns the unchosen host of a domain with the lowest hash, or t->n. */
static size_t
next_of_domain(const struct host_table *t, size_t domain, bool voters,
               const bool *chosen)
{
    size_t best = t->n;
    for (size_t i = 0; i < t->n; i++) {
        if (chosen[i] || t->domain[i] != domain ||
            t->hosts[i].is_voter != voters) {
            continue;
        }
        if (best == t->n || t->hash[i] < t->hash[best]) {
            best = i;
        }
    }
    return best;
}

/* Chooses one more host of each domain, and returns how many were added. */
static size_t
add_round(const struct host_table *t, bool voters, bool *chosen)
{
    size_t added = 0;
    for (size_t d = 0; d < t->domain_count; d++) {
        size_t at = next_of_domain(t, d, voters, chosen);
        if (at < t->n) {
            chosen[at] = true;
            added++;
        }
    }
    return added;
}

static size_t
add_until(const struct host_table *t, bool voters, size_t count, size_t needed,
          bool *chosen)
{
    size_t added = 1;
    while (count < needed && added > 0) {
        added = add_round(t, voters, chosen);
        count += added;
    }
    return count;
}

size_t
mg_directory_choose(const mg_directory_host *hosts, size_t n,
                    const mg_directory_demand *demand, bool *chosen)
{
    static struct host_table t;
    n = n < MG_DIRECTORY_HOSTS_MAX ? n : MG_DIRECTORY_HOSTS_MAX;
    build_table(&t, hosts, n);
    memset(chosen, 0, n * sizeof(*chosen));
    size_t count = add_until(&t, false, 0, needed_entries(&t, demand), chosen);
    /* add voters of the log only while there are too few other hosts */
    return add_until(&t, true, count, MG_DIRECTORY_ENTRIES_MIN, chosen);
}
