/*
 * lease - who may act, and until when
 *
 * A holder asks for renewal and counts its lease from the time it sent the
 * request. A grantor counts from the time it granted, adds a margin for
 * clocks that run at different speeds, and so always sees a lease end after
 * its holder does (Gray and Cheriton, 1989). Each side reads only its own
 * monotonic clock.
 *
 * A grantor that takes over from another one does not know the leases that
 * its predecessor granted: for the longest time that one of these can last
 * it treats every holder as possibly live.
 */
#ifndef MG_LEASE_H
#define MG_LEASE_H

#include "base/check.h"
#include "base/clock.h"

#define MG_LEASE_MS 3000
#define MG_LEASE_RENEW_MS 700
#define MG_LEASE_MARGIN_MS 150 /* 5 in 100 of clock drift */
/* how long the entries' agreement that none is leased lets them serve */
#define MG_SERVE_WITHOUT_CONTROL_MS 1000

/* holder's side */
typedef struct mg_lease {
    int64_t until_ms;
} mg_lease;

/* A renewal asked for at sent_ms was granted for lease_ms. */
void
mg_lease_renewed(mg_lease *l, int64_t sent_ms, int64_t lease_ms);
bool
mg_lease_valid(const mg_lease *l, int64_t now);

/* grantor's side */
typedef struct mg_lease_table mg_lease_table;

typedef enum mg_lease_state {
    MG_LEASE_NONE,    /* no lease can be held */
    MG_LEASE_UNKNOWN, /* a predecessor may have granted one */
    MG_LEASE_LIVE,
} mg_lease_state;

mg_lease_table *
mg_lease_table_new(mg_clock *clock);
void
mg_lease_table_free(mg_lease_table *l);
/* Forgets all grants and waits out those of a predecessor. */
void
mg_lease_table_take_over(mg_lease_table *l);
/* Grants from now on; the same holder's earlier grant is extended. */
void
mg_lease_table_grant(mg_lease_table *l, const char *holder,
                     uint64_t incarnation);
mg_lease_state
mg_lease_table_state(const mg_lease_table *l, const char *holder,
                     uint64_t incarnation);

#endif
