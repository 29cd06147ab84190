#include "node/directory.h"

#include <string.h>

#include "base/bytes.h"

#define DOMAINS_MAX 64
/* hosts named so far stay named up to this factor of what is needed */
#define KEEP_FACTOR 1.5

/* the hosts by failure domain, with the hash that orders them in it */
struct view {
    const mg_directory_host *hosts;
    size_t n;
    uint64_t hash[MG_DIRECTORY_HOSTS_MAX];
    size_t domain[MG_DIRECTORY_HOSTS_MAX];
    const char *domains[DOMAINS_MAX];
    size_t domain_count;
};

static size_t
domain_of(struct view *v, const char *name)
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
make_view(struct view *v, const mg_directory_host *hosts, size_t n)
{
    v->hosts = hosts;
    v->n = n;
    v->domain_count = 0;
    for (size_t i = 0; i < n; i++) {
        v->hash[i] = mg_hash(mg_str_of(hosts[i].node));
        v->domain[i] = domain_of(v, hosts[i].domain);
    }
}

static size_t
larger(size_t a, size_t b)
{
    return a > b ? a : b;
}

static size_t
wanted(const struct view *v, const mg_directory_demand *demand)
{
    size_t want = larger(MG_DIRECTORY_ENTRIES_MIN,
                         MG_DIRECTORY_MIN_PER_DOMAIN * v->domain_count);
    want =
        larger(want, (size_t)(demand->slots / MG_DIRECTORY_SLOTS_PER_ENTRY));
    want = larger(want, (size_t)(demand->rate / MG_DIRECTORY_RATE_PER_ENTRY));
    /* each change deals out all slots anew */
    bool keeps = demand->advertised > want &&
                 (double)demand->advertised <= KEEP_FACTOR * (double)want;
    return keeps ? demand->advertised : want;
}

/* the first by hash that is not chosen yet; n: none */
static size_t
next_of_domain(const struct view *v, size_t domain, bool keeps_log,
               const bool *chosen)
{
    size_t best = v->n;
    for (size_t i = 0; i < v->n; i++) {
        if (chosen[i] || v->domain[i] != domain ||
            v->hosts[i].is_voter != keeps_log) {
            continue;
        }
        if (best == v->n || v->hash[i] < v->hash[best]) {
            best = i;
        }
    }
    return best;
}

/* one more host of each domain; how many there were */
static size_t
add_round(const struct view *v, bool keeps_log, bool *chosen)
{
    size_t added = 0;
    for (size_t d = 0; d < v->domain_count; d++) {
        size_t at = next_of_domain(v, d, keeps_log, chosen);
        if (at < v->n) {
            chosen[at] = true;
            added++;
        }
    }
    return added;
}

static size_t
add_until(const struct view *v, bool keeps_log, size_t count, size_t want,
          bool *chosen)
{
    size_t added = 1;
    while (count < want && added > 0) {
        added = add_round(v, keeps_log, chosen);
        count += added;
    }
    return count;
}

size_t
mg_directory_choose(const mg_directory_host *hosts, size_t n,
                    const mg_directory_demand *demand, bool *chosen)
{
    static struct view v;
    n = n < MG_DIRECTORY_HOSTS_MAX ? n : MG_DIRECTORY_HOSTS_MAX;
    make_view(&v, hosts, n);
    memset(chosen, 0, n * sizeof(*chosen));
    size_t count = add_until(&v, false, 0, wanted(&v, demand), chosen);
    /* the log's hosts, when there are hardly any others */
    return add_until(&v, true, count, MG_DIRECTORY_ENTRIES_MIN, chosen);
}
