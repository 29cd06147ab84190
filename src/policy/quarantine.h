/*
 * quarantine - requests that were running when a target died
 *
 * When a target dies, every request that ran on it gets a mark on its
 * fingerprint (workspace and body, not the request id, so that a resend is
 * known again). One mark makes it a suspect: it is placed where no other
 * suspect runs and with the fewest others. Marks from two different deaths
 * quarantine it: it is refused until the marks expire.
 *
 * Two suspects never share a target, so that an innocent request that ran
 * beside a harmful one does not get a second mark from it.
 */
#ifndef MG_QUARANTINE_H
#define MG_QUARANTINE_H

#include "base/check.h"

#define MG_QUARANTINE_STRIKES 2
#define MG_QUARANTINE_DURATION_MS (3600 * INT64_C(1000))

typedef struct mg_quarantine mg_quarantine;

mg_quarantine *
mg_quarantine_new(void);
void
mg_quarantine_free(mg_quarantine *q);
/*
 * Adds a mark for the death of a target's epoch; the same death marks once.
 * Returns the marks that the fingerprint then has.
 */
unsigned
mg_quarantine_add_strike(mg_quarantine *q, uint64_t fingerprint,
                         const char *target, uint64_t target_epoch,
                         int64_t wall_ms);
/* Takes a record of the control log; it never lowers the marks. */
void
mg_quarantine_load(mg_quarantine *q, uint64_t fingerprint, unsigned marks,
                   int64_t until_wall_ms);
/* Marks that have not expired. */
unsigned
mg_quarantine_strikes(const mg_quarantine *q, uint64_t fingerprint,
                      int64_t wall_ms);
bool
mg_quarantine_is_empty(const mg_quarantine *q);
/* Forgets expired marks. */
void
mg_quarantine_expire(mg_quarantine *q, int64_t wall_ms);

#endif
