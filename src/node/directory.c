#include "node/directory.h"

#include <string.h>

#include "base/bytes.h"

#define DOMAINS_MAX 64
/* the advertised hosts are kept up to this multiple of the needed number */
#define KEEP_FACTOR 1.5

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
domain_index(struct host_table *v, const char *name)
{
    for (size_t d = 0; d < v->domain_count; d++) {
        if (strcmp(v->domains[d], name) == 0) {
            return d;
        }
    }
    if (v->domain_count == DOMAINS_MAX) {
        return DOMAINS_MAX - 1;
    }
    v->domains[v->domain_count] = name;
    return v->domain_count++;
}

static void
build_table(struct host_table *v, const mg_directory_host *hosts, size_t n)
{
    v->hosts = hosts;
    v->n = n;
    v->domain_count = 0;
    for (size_t i = 0; i < n; i++) {
        v->hash[i] = mg_hash(mg_str_of(hosts[i].node));
        v->domain[i] = domain_index(v, hosts[i].domain);
    }
}

static size_t
max_size(size_t a, size_t b)
{
    return a > b ? a : b;
}

static size_t
needed_entries(const struct host_table *v, const mg_directory_demand *demand)
{
    size_t needed = max_size(MG_DIRECTORY_ENTRIES_MIN,
                             MG_DIRECTORY_MIN_PER_DOMAIN * v->domain_count);
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

/* Returns the unchosen host of a domain with the lowest hash, or v->n. */
static size_t
next_of_domain(const struct host_table *v, size_t domain, bool voters,
               const bool *chosen)
{
    size_t best = v->n;
    for (size_t i = 0; i < v->n; i++) {
        if (chosen[i] || v->domain[i] != domain ||
            v->hosts[i].is_voter != voters) {
            continue;
        }
        if (best == v->n || v->hash[i] < v->hash[best]) {
            best = i;
        }
    }
    return best;
}

/* Chooses one more host of each domain, and returns how many were added. */
static size_t
add_round(const struct host_table *v, bool voters, bool *chosen)
{
    size_t added = 0;
    for (size_t d = 0; d < v->domain_count; d++) {
        size_t at = next_of_domain(v, d, voters, chosen);
        if (at < v->n) {
            chosen[at] = true;
            added++;
        }
    }
    return added;
}

static size_t
add_until(const struct host_table *v, bool voters, size_t count, size_t needed,
          bool *chosen)
{
    size_t added = 1;
    while (count < needed && added > 0) {
        added = add_round(v, voters, chosen);
        count += added;
    }
    return count;
}

size_t
mg_directory_choose(const mg_directory_host *hosts, size_t n,
                    const mg_directory_demand *demand, bool *chosen)
{
    static struct host_table v;
    n = n < MG_DIRECTORY_HOSTS_MAX ? n : MG_DIRECTORY_HOSTS_MAX;
    build_table(&v, hosts, n);
    memset(chosen, 0, n * sizeof(*chosen));
    size_t count = add_until(&v, false, 0, needed_entries(&v, demand), chosen);
    /* add voters of the log only while there are too few other hosts */
    return add_until(&v, true, count, MG_DIRECTORY_ENTRIES_MIN, chosen);
}
