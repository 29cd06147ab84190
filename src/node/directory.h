/*
 * directory - selects the hosts that are advertised to clients
 *
 * Target slots are allocated among the advertised hosts. With fewer of them,
 * each one has more slots, and a request waits less often at one entry while
 * another entry has a free slot. The number of advertised hosts therefore
 * follows the number of slots and the request rate. Every failure domain
 * contributes equally. Voters of the replicated log are advertised only when
 * there are too few other hosts, so that log failures do not affect clients.
 *
 * The selection is a pure function: hosts with the same view of the cluster
 * select the same set, and a small change in demand changes few entries.
 */
#ifndef MG_DIRECTORY_H
#define MG_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* target slots that justify one more entry */
#define MG_DIRECTORY_SLOTS_PER_ENTRY 24
/* highest request rate per entry, requests per second */
#define MG_DIRECTORY_RATE_PER_ENTRY 60
/* minimum number of entries per failure domain, and in total */
#define MG_DIRECTORY_MIN_PER_DOMAIN 2
#define MG_DIRECTORY_ENTRIES_MIN 6

#define MG_DIRECTORY_HOSTS_MAX 1024

/* a live host that accepts clients */
typedef struct mg_directory_host {
    const char *node;
    const char *domain;
    bool is_voter;
} mg_directory_host;

typedef struct mg_directory_demand {
    uint64_t slots; /* of all ready targets */
    double rate;    /* requests per second over all entries */
    /* number of hosts advertised now; it is not reduced if it exceeds the
       needed number only slightly */
    size_t advertised;
} mg_directory_demand;

/*
 * Whether an entry that is cut off from a service is withdrawn, so that it is
 * not advertised: when at least a third of the live hosts are ready without
 * it, until it is no longer cut off or no other host is ready. withdrawn:
 * whether it is now; others_ready: ready hosts but this one.
 */
bool
mg_directory_withdraw(bool withdrawn, bool cut, size_t others_ready,
                      size_t live);
/*
 * Sets chosen[i] for each selected host and returns their number. chosen[]
 * has n elements; hosts beyond MG_DIRECTORY_HOSTS_MAX are ignored, and their
 * elements are not written.
 */
size_t
mg_directory_choose(const mg_directory_host *hosts, size_t n,
                    const mg_directory_demand *demand, bool *chosen);

#endif
