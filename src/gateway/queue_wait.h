/*
 * queue_wait - how long a request waits for a target, and when it is refused
 *
 * No I/O; the caller passes the time in. Handles temporary overload:
 *  - requests that can still meet their goal are served before the late ones
 *    of the same tier, so that a long queue does not make all of them late;
 *  - a late request waits a little longer, behind the others of its tier, and
 *    is then refused, since a retry by the client has better chances;
 *  - a request whose predicted wait exceeds that limit is refused at once.
 */
#ifndef MG_QUEUE_WAIT_H
#define MG_QUEUE_WAIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct mg_wait_limit {
    int64_t dispatch_by_ms; /* latest dispatch that meets the goal */
    int64_t refuse_at_ms;   /* refused when not dispatched by then */
} mg_wait_limit;

/*
 * Computes the wait limit of a request. deadline_ms: end of the client's or
 * the route's timeout; goal_ms: target time from arrival to the first event;
 * first_ms: predicted time from dispatch to the first event.
 */
mg_wait_limit
mg_wait_limit_of(int64_t arrived_ms, int64_t deadline_ms, int64_t goal_ms,
                 int64_t first_ms);

/* what to do when a waiting request's timer fires */
typedef enum mg_wait_action {
    MG_WAIT_DEMOTE,   /* move it behind those of its tier that aren't late */
    MG_WAIT_REFUSE,   /* refuse it as not run: the client may retry */
    MG_WAIT_CONTINUE, /* wait until its deadline: it may have run */
} mg_wait_action;

/*
 * late: the request was demoted already. may_have_run: it was sent to a target
 * before, so a refusal must not state that it did not run, even if the timer
 * fired early.
 */
mg_wait_action
mg_wait_limit_action(bool late, bool may_have_run);

/* rate at which a pool dequeues its waiting requests, over the last second */
typedef struct mg_dequeue_rate {
    int64_t slice; /* number of the newest slice */
    uint32_t dequeued[8];
} mg_dequeue_rate;

/* Counts one dequeued request. */
void
mg_dequeue_rate_count(mg_dequeue_rate *r, int64_t now);
/* Requests dequeued per second, averaged over the last second. */
double
mg_dequeue_rate_per_s(mg_dequeue_rate *r, int64_t now);
/* Predicted time until as many requests as given by ahead are dequeued, ms;
   0 (unknown) when none was dequeued in the last second. */
int64_t
mg_dequeue_rate_wait_ms(mg_dequeue_rate *r, uint64_t ahead, int64_t now);

/*
 * Delay after which a refused client should retry, ms: the predicted wait with
 * random jitter, at most a third of the time until the deadline, remaining_ms.
 * spread: uniform in [0, 1).
 */
int64_t
mg_retry_after_ms(int64_t wait_ms, int64_t remaining_ms, double spread);

#endif
