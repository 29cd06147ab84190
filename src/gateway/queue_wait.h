/*
 * patience - how long a request waits for a target, and when it is refused
 *
 * Pure. Answers a load that is more than the targets can serve for a while:
 *  - a request that can still be on time stands before those of its tier
 *    that can't, so that a queue that is too long does not make all late;
 *  - one that can't be on time any more waits only a little longer, behind
 *    the others of its tier: its caller does better to come again;
 *  - one that would have to wait beyond that for what stands before it is
 *    refused at once.
 */
#ifndef MG_QUEUE_WAIT_H
#define MG_QUEUE_WAIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct mg_wait_limit {
    int64_t dispatch_by_ms; /* dispatched by then it is on time */
    int64_t refuse_at_ms;   /* and by then it is refused */
} mg_wait_limit;

/*
 * deadline_ms: when the caller or the route gives up; goal_ms: from arrival
 * to the first event; first_ms: predicted from dispatch to the first event.
 */
mg_wait_limit
mg_wait_limit_of(int64_t arrived_ms, int64_t deadline_ms, int64_t goal_ms,
                 int64_t first_ms);

/* what to do when a waiting request's timer fires */
typedef enum mg_wait_action {
    MG_WAIT_DEMOTE,   /* behind those of its tier that can be on time */
    MG_WAIT_REFUSE,   /* it has not run: its caller may come again */
    MG_WAIT_CONTINUE, /* it may have run: only its deadline ends it */
} mg_wait_action;

/*
 * late: it waits as a late one already. may_have_run: it was sent before, so
 * that nothing may say that it has not run, however early the timer fired.
 */
mg_wait_action
mg_wait_limit_action(bool late, bool may_have_run);

/* rate at which a pool takes up requests that wait */
typedef struct mg_dequeue_rate {
    int64_t slice;
    uint32_t dequeued[8];
} mg_dequeue_rate;

void
mg_dequeue_rate_count(mg_dequeue_rate *t, int64_t now);
/* Requests taken up in a second, lately. */
double
mg_dequeue_rate_per_s(mg_dequeue_rate *t, int64_t now);
/* Predicted wait behind so many requests, ms; 0 when none was taken up
   lately, from which nothing follows. */
int64_t
mg_dequeue_rate_wait_ms(mg_dequeue_rate *t, uint64_t ahead, int64_t now);

/*
 * When a refused caller should come again, ms: after the predicted wait,
 * spread so that not all come at once, in a third of the time left at most.
 * spread: uniform in [0, 1).
 */
int64_t
mg_retry_after_ms(int64_t wait_ms, int64_t left_ms, double spread);

#endif
