/*
 * lease - time-limited permission to act, granted by the control leader
 *
 * The holder counts a lease from the time it sent the renewal request. The
 * grantor counts it from the time of the grant and adds a margin for clock
 * drift, so for the grantor a lease always expires after it has expired for
 * its holder (Gray and Cheriton, 1989). Each side reads only its local
 * monotonic clock.
 *
 * A new grantor does not know the leases that its predecessor granted. Until
 * the last of these must have expired, it assumes that any holder may have
 * one.
 */
#ifndef MG_LEASE_H
#define MG_LEASE_H

#include "base/check.h"
#include "base/clock.h"

#define MG_LEASE_MS 3000
#define MG_LEASE_RENEW_MS 700
#define MG_LEASE_MARGIN_MS 150 /* allows for 5 % clock drift */
/* how long an entry without a lease may serve, counted from a query in which a
   majority of all entries confirmed that they hold none
   (src/entry/without_control.c) */
#define MG_SERVE_WITHOUT_CONTROL_MS 1000

/* a lease, at its holder */
typedef struct mg_lease {
    int64_t until_ms; /* on the holder's monotonic clock */
} mg_lease;

/* Extends the lease: the renewal sent at sent_ms was granted for lease_ms. */
void
mg_lease_renewed(mg_lease *l, int64_t sent_ms, int64_t lease_ms);
bool
mg_lease_valid(const mg_lease *l, int64_t now);

/* all leases, at their grantor */
typedef struct mg_lease_table mg_lease_table;

typedef enum mg_lease_state {
    MG_LEASE_NONE,    /* expired, or never granted */
    MG_LEASE_UNKNOWN, /* a former grantor may have granted one */
    MG_LEASE_LIVE,
} mg_lease_state;

mg_lease_table *
mg_lease_table_new(mg_clock *clock);
void
mg_lease_table_free(mg_lease_table *l);
/* For a new grantor: clears the table and reports every lease as unknown for
   as long as a former grantor's leases can last. */
void
mg_lease_table_take_over(mg_lease_table *l);
/* Grants a lease that starts now, or extends the holder's present one. */
void
mg_lease_table_grant(mg_lease_table *l, const char *holder,
                     uint64_t incarnation);
mg_lease_state
mg_lease_table_state(const mg_lease_table *l, const char *holder,
                     uint64_t incarnation);

#endif
