/*
 * sched - the scheduler of one pool: who runs next, and where
 *
 * One scheduler per pool holds the pool's tickets, slots and targets. The
 * requests stay at their entries: an entry sends a TICKET and waits for a
 * GRANT (a slot at a target) or a SHED. It reports each grant's end with
 * DONE.
 *
 * What always holds:
 *  - no ticket is shed for overload while one of a lower tier waits, and a
 *    waiting ticket is granted before any of a lower tier;
 *  - a target that leaves, or whose lease ran out, is granted nothing;
 *  - a target never runs more than its slots, by the scheduler's count;
 *  - nothing is granted before the slots that a former holder granted have
 *    been rebuilt from the entries (HELD), or MG_SCHED_REBUILD_MS passed;
 *  - nothing is granted once the holder's lease ran out (mg_sched_stop).
 *
 * A ticket that could be served but will miss its deadline is refused as
 * MG_E_DEADLINE, which is not an overload decision between tiers.
 *
 * A scheduler is a pure state machine: time is the clock's, messages go out
 * through mg_sched_callbacks. When it is lost, entries send their tickets and
 * held grants to its successor.
 */
#ifndef MG_SCHED_H
#define MG_SCHED_H

#include "base/clock.h"
#include "policy/rollout.h"
#include "policy/tierq.h"
#include "topology/target.h"

#define MG_SCHED_REBUILD_MS 1000
#define MG_GRANT_VALID_MS 1000

typedef struct mg_sched mg_sched;

typedef struct mg_sched_callbacks mg_sched_callbacks;
struct mg_sched_callbacks {
    void (*send)(mg_sched_callbacks *h, const char *entry, const mg_msg *m);
    /* writes a record to the control log; guarded by the pool's epoch */
    void (*put_record)(mg_sched_callbacks *h, mg_sched *s, unsigned kind,
                       const char *key, const mg_msg *value);
};

/* how a granted request ended, in DONE */
typedef enum mg_done_result {
    MG_DONE_OK,
    MG_DONE_FAILED,         /* the target answered with an error */
    MG_DONE_ABORTED,        /* the connection ended before the answer did */
    MG_DONE_NOT_DISPATCHED, /* withdrawn before the write */
    MG_DONE_CONNECT_FAILED, /* no connection to the target */
    MG_DONE_CANCELLED,      /* dispatched, the caller left */
} mg_done_result;

typedef struct mg_sched_options {
    mg_sched_callbacks *callbacks;
    mg_clock *clock;
    const char *pool;
    uint64_t epoch;
    /* entries whose held grants are awaited before the first grant */
    const char *const *entries;
    size_t entry_count;
} mg_sched_options;

mg_sched *
mg_sched_new(const mg_sched_options *opts);
void
mg_sched_free(mg_sched *s);

/* The pool's part of the document; copied. */
void
mg_sched_configure(mg_sched *s, const mg_pool *pool);
/* The pool's move (NULL: none) and its record (NULL: none yet). */
void
mg_sched_set_rollout(mg_sched *s, const mg_rollout_plan *move,
                     const mg_rec_move_msg *rec);
void
mg_sched_load_quarantine(mg_sched *s, const mg_rec_quarantine_msg *rec);

void
mg_sched_ticket(mg_sched *s, const char *entry, const mg_ticket_msg *m);
void
mg_sched_cancel(mg_sched *s, const char *entry, uint64_t id);
void
mg_sched_done(mg_sched *s, const char *entry, const mg_done_msg *m);
void
mg_sched_held(mg_sched *s, const char *entry, const mg_held_msg *m);
void
mg_sched_synced(mg_sched *s, const char *entry);
/* Drops the tickets and slots of an entry that holds no lease any more. */
void
mg_sched_remove_entry(mg_sched *s, const char *entry);
/* MG_E_VERSION_STALE for an epoch below the known one. */
mg_rc
mg_sched_announce(mg_sched *s, const mg_announce_msg *m);
/*
 * Addresses, by commas, of the targets where a request may run: the one that
 * it was granted, else all that are known.
 */
void
mg_sched_locate(const mg_sched *s, uint64_t id, mg_buf *out);
/* Expiry, shedding and grants. Called after input and every few ms. */
void
mg_sched_run(mg_sched *s);

const char *
mg_sched_pool(const mg_sched *s);
uint64_t
mg_sched_epoch(const mg_sched *s);
size_t
mg_sched_waiting(const mg_sched *s);
size_t
mg_sched_running(const mg_sched *s);
bool
mg_sched_rebuilding(const mg_sched *s);
/* NULL when the pool has no move. */
const mg_rollout *
mg_sched_rollout(const mg_sched *s);
const struct list_head *
mg_sched_targets(const mg_sched *s);

#endif
