/*
 * sched - the scheduler of one pool: which request runs next, and where
 *
 * One scheduler per pool holds the pool's tickets, slots and targets. The
 * requests stay at their entries: an entry sends a TICKET and waits for a
 * GRANT (a slot at a target) or a SHED. It reports the end of each granted
 * request with DONE.
 *
 * Invariants:
 *  - no ticket is shed for overload while one of a lower tier waits, and a
 *    waiting ticket is granted before any of a lower tier;
 *  - a target that is draining, or whose lease has expired, is granted
 *    nothing;
 *  - a target never runs more requests than it has slots, by the scheduler's
 *    count;
 *  - nothing is granted before the slots granted by an earlier scheduler of
 *    the pool have been rebuilt from the entries' HELD messages, or
 *    MG_SCHED_REBUILD_MS passed;
 *  - nothing is granted outside mg_sched_run(), which the entry that runs the
 *    scheduler calls only while it may serve.
 *
 * A ticket that would miss its deadline even if it were granted now is
 * refused as MG_E_DEADLINE; this is not an overload decision between tiers.
 *
 * A scheduler is a pure state machine: it takes the time from the clock and
 * sends messages through mg_sched_callbacks. When it is lost, the entries
 * send their tickets and held grants to its successor.
 */
#ifndef MG_SCHED_H
#define MG_SCHED_H

#include "base/clock.h"
#include "policy/rollout.h"
#include "policy/tierq.h"
#include "topology/target.h"

/* longest wait for the entries' HELD messages, ms */
#define MG_SCHED_REBUILD_MS 1000
/* longest time from a grant to its dispatch by the entry, ms */
#define MG_GRANT_VALID_MS 1000

typedef struct mg_sched mg_sched;

typedef struct mg_sched_callbacks mg_sched_callbacks;
struct mg_sched_callbacks {
    void (*send)(mg_sched_callbacks *cb, const char *entry, const mg_msg *m);
    /* Writes a record to the control log, which accepts it only under the
       pool's current epoch. */
    void (*put_record)(mg_sched_callbacks *cb, mg_sched *s, unsigned kind,
                       const char *key, const mg_msg *value);
};

/* How a granted request ended; the result field of DONE. */
typedef enum mg_done_result {
    MG_DONE_OK,
    MG_DONE_FAILED,         /* the target sent an error response */
    MG_DONE_ABORTED,        /* connection lost before the response's end */
    MG_DONE_NOT_DISPATCHED, /* withdrawn before it was sent */
    MG_DONE_CONNECT_FAILED, /* could not connect to the target */
    MG_DONE_CANCELLED,      /* the client disconnected after dispatch */
} mg_done_result;

typedef struct mg_sched_options {
    mg_sched_callbacks *callbacks;
    mg_clock *clock;
    const char *pool;
    uint64_t epoch;
    /* The first grant waits until these entries have reported the grants that
       they hold, at most MG_SCHED_REBUILD_MS. The names are copied. */
    const char *const *entries;
    size_t entry_count;
} mg_sched_options;

mg_sched *
mg_sched_new(const mg_sched_options *opts);
void
mg_sched_free(mg_sched *s);

/* Applies the pool's settings from the document. They are copied. */
void
mg_sched_configure(mg_sched *s, const mg_pool *pool);
/*
 * Sets the pool's planned rollout (NULL: none) and its latest record in the
 * control log (NULL: none yet). Both are copied.
 */
void
mg_sched_set_rollout(mg_sched *s, const mg_rollout_plan *plan,
                     const mg_rec_move_msg *rec);
/* Applies a quarantine record of the control log. */
void
mg_sched_load_quarantine(mg_sched *s, const mg_rec_quarantine_msg *rec);

/* Queues a ticket; a repeated one takes effect only with a higher attempt. */
void
mg_sched_ticket(mg_sched *s, const char *entry, const mg_ticket_msg *m);
/* Removes a waiting ticket; a granted one is ended by mg_sched_done(). */
void
mg_sched_cancel(mg_sched *s, const char *entry, uint64_t id);
/* Records the result of a granted request; ignores unknown ids and attempts.
 */
void
mg_sched_done(mg_sched *s, const char *entry, const mg_done_msg *m);
/* Restores the slot of a request that an earlier scheduler of the pool
   granted. */
void
mg_sched_held(mg_sched *s, const char *entry, const mg_held_msg *m);
/* The entry has reported all its held grants. */
void
mg_sched_synced(mg_sched *s, const char *entry);
/* Removes the tickets and slots of an entry that lost its lease or restarted.
 */
void
mg_sched_remove_entry(mg_sched *s, const char *entry);
/* Returns MG_E_VERSION_STALE for an epoch of the target below the known one.
 */
mg_rc
mg_sched_announce(mg_sched *s, const mg_announce_msg *m);
/*
 * Appends the addresses, separated by commas, of the targets where a request
 * may run: the one that it was granted, else all known targets.
 */
void
mg_sched_locate(const mg_sched *s, uint64_t id, mg_buf *out);
/* Expires targets, strikes and tickets, then grants and sheds tickets. Call it
   after input and every few ms. */
void
mg_sched_run(mg_sched *s);

const char *
mg_sched_pool(const mg_sched *s);
uint64_t
mg_sched_epoch(const mg_sched *s);
/* Number of waiting tickets. */
size_t
mg_sched_waiting(const mg_sched *s);
/* Number of granted requests that have not ended. */
size_t
mg_sched_running(const mg_sched *s);
bool
mg_sched_rebuilding(const mg_sched *s);
/* NULL when the pool has no rollout. */
const mg_rollout *
mg_sched_rollout(const mg_sched *s);
/* List of mg_target, by their field link. */
const struct list_head *
mg_sched_targets(const mg_sched *s);

#endif
