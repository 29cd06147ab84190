/*
 * directory - which hosts callers are sent to
 *
 * Not every host needs to take callers. The fewer do, the more slots each
 * one has at the targets: an entry that knows few slots lets a request wait
 * while another entry's slot is free. So as many hosts are named as the
 * slots and the rate of requests are worth, the same from each failure
 * domain, and those that keep the replicated log only when there are hardly
 * any others: what happens to the log's hosts then hits no caller.
 *
 * Pure: hosts that know the same of the others name the same ones; a few
 * more or less slots add or take away some and leave the rest.
 */
#ifndef MG_DIRECTORY_H
#define MG_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* slots at the targets that make another entry worth while */
#define MG_DIRECTORY_SLOTS_PER_ENTRY 24
/* requests in a second, of which an entry is to carry no more */
#define MG_DIRECTORY_RATE_PER_ENTRY 60
/* entries in each failure domain, and in all, at least */
#define MG_DIRECTORY_MIN_PER_DOMAIN 2
#define MG_DIRECTORY_ENTRIES_MIN 6

#define MG_DIRECTORY_HOSTS_MAX 1024

/* a live host that takes callers */
typedef struct mg_directory_host {
    const char *node;
    const char *domain;
    bool is_voter;
} mg_directory_host;

typedef struct mg_directory_demand {
    uint64_t slots; /* of all ready targets */
    double rate;    /* requests in a second, all entries together */
    size_t
        advertised; /* hosts named so far: a few more than needed are kept */
} mg_directory_demand;

/*
 * Marks the hosts to be named in chosen[n] and returns their number. Hosts
 * beyond the maximum are not looked at.
 */
size_t
mg_directory_choose(const mg_directory_host *hosts, size_t n,
                    const mg_directory_demand *demand, bool *chosen);

#endif
