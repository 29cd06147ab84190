/*
 * quarantine - requests that were running when a target crashed
 *
 * When a target crashes, the fingerprint of every request that ran on it gets
 * a strike. A fingerprint covers the workspace and the body but not the
 * request id, so that a retry has the same one.
 *
 * At the pool scheduler, one strike makes a request a crash suspect: it runs
 * only on a target without another suspect, on the one with the fewest running
 * requests. Strikes from two different crashes quarantine it: it is refused
 * until the strikes expire. Gateways count strikes of parts of prompts, too,
 * and have rules of their own (gateway/strikes.h).
 *
 * Two suspects never share a target. Otherwise a harmless request that ran
 * beside a harmful one would get its second strike because of that one.
 */
#ifndef MG_QUARANTINE_H
#define MG_QUARANTINE_H

#include "base/check.h"

/* strikes after which the pool scheduler refuses a request; the limit at a
   gateway is in gateway/strikes.h */
#define MG_QUARANTINE_STRIKES 2
#define MG_QUARANTINE_DURATION_MS (3600 * INT64_C(1000))
/* crashes of a fingerprint that are remembered: the first ones that count, and
   the last one; further ones give no strike */
#define MG_QUARANTINE_CRASHES 8
/* fingerprints with strikes; beyond this, the first one added is forgotten */
#define MG_QUARANTINE_RECORDS_MAX 8192

typedef struct mg_quarantine mg_quarantine;

/* a crash of a target that ran what the fingerprint stands for */
typedef struct mg_quarantine_crash_row {
    uint64_t fingerprint;
    uint64_t crash; /* see mg_quarantine_crash() */
    int64_t at_ms;
    /* kept for the caller, not used here: */
    unsigned rank; /* of the fingerprint */
    uint64_t run;  /* what ran on the target, see MG_QUARANTINE_RUN_UNKNOWN */
} mg_quarantine_crash_row;

/* runs of a crash that aren't known, or several */
#define MG_QUARANTINE_RUN_UNKNOWN UINT64_C(0)
#define MG_QUARANTINE_RUN_SEVERAL UINT64_MAX
/* The runs of a crash, if both of these are. */
uint64_t
mg_quarantine_merge_runs(uint64_t a, uint64_t b);

mg_quarantine *
mg_quarantine_new(void);
void
mg_quarantine_free(mg_quarantine *q);
/* Identifies the crash that ended an epoch of a target. */
uint64_t
mg_quarantine_crash(const char *target, uint64_t target_epoch);
/*
 * Adds a strike for a crash and restarts the expiry of all strikes of the
 * fingerprint, whose highest rank is kept. A crash is counted once; another
 * run of it makes the runs several. Returns the number of strikes.
 */
unsigned
mg_quarantine_add_strike(mg_quarantine *q, const mg_quarantine_crash_row *c,
                         int64_t wall_ms);
/* Adds a run of a crash that has given the fingerprint a strike, if it is
   remembered. */
void
mg_quarantine_add_run(mg_quarantine *q, uint64_t fingerprint, uint64_t crash,
                      uint64_t run);
/* Takes back the strikes for crashes up to at_ms, those too that are added
   later: the fingerprint was served then. */
void
mg_quarantine_clear(mg_quarantine *q, uint64_t fingerprint, int64_t at_ms,
                    int64_t wall_ms);
/*
 * Applies a record of the control log; never lowers the number of strikes or
 * the expiry time.
 */
void
mg_quarantine_load(mg_quarantine *q, uint64_t fingerprint, unsigned strikes,
                   int64_t until_wall_ms);
/* Number of strikes that have not expired. */
unsigned
mg_quarantine_strikes(const mg_quarantine *q, uint64_t fingerprint,
                      int64_t wall_ms);
/* Time between the first and the last of the crashes that count, as far as
   they are remembered. */
int64_t
mg_quarantine_span_ms(const mg_quarantine *q, uint64_t fingerprint);

/* Time of the last crash that counts; INT64_MIN: there is none. */
int64_t
mg_quarantine_last_ms(const mg_quarantine *q, uint64_t fingerprint);
/*
 * Requests with the fingerprint that were let through although it has strikes;
 * kept for the caller, until it is cleared. Notes their number, if it is
 * higher than the known one, and the time of the last one.
 */
void
mg_quarantine_note_trials(mg_quarantine *q, uint64_t fingerprint,
                          unsigned trials, int64_t at_ms);
/* Returns their number; sets *at_ms if it isn't 0. */
unsigned
mg_quarantine_trials(const mg_quarantine *q, uint64_t fingerprint,
                     int64_t *at_ms);

/* Calls f with each remembered crash that counts, of the fingerprints that
   have this many strikes or more. */
void
mg_quarantine_each(const mg_quarantine *q, unsigned strikes_min,
                   int64_t wall_ms,
                   void (*f)(void *user, const mg_quarantine_crash_row *c),
                   void *user);
/* Calls f with each remembered crash that counts, of a fingerprint. */
void
mg_quarantine_each_crash(const mg_quarantine *q, uint64_t fingerprint,
                         void (*f)(void *user,
                                   const mg_quarantine_crash_row *c),
                         void *user);
bool
mg_quarantine_is_empty(const mg_quarantine *q);
/* Removes the fingerprints whose strikes have expired. */
void
mg_quarantine_expire(mg_quarantine *q, int64_t wall_ms);

#endif
