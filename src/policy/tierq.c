#include "policy/tierq.h"

#include <stdlib.h>
#include <string.h>

/* prefill tokens that occupy an engine for as long as one decoded token */
#define DECODE_COST 8

/* tickets of one workspace in one tier */
struct mg_workspace_queue {
    UT_hash_handle hh;
    struct list_head link; /* tier.waiting, while tickets wait */
    char workspace[MG_NAME_SIZE];
    struct list_head tickets; /* earliest deadline first */
    size_t count;
    uint64_t cost; /* of its tickets */
    double vtime;  /* virtual start time of its next ticket */
    unsigned tier;
};

struct tier {
    mg_workspace_queue *queues; /* by workspace */
    struct list_head waiting;   /* queues with tickets */
    double vtime; /* virtual start time of the last ticket served */
    size_t count;
    uint64_t cost;
};

struct mg_tierq {
    struct tier tiers[MG_RANK_MAX];
    uint64_t next_seq;
};

mg_tierq *
mg_tierq_new(void)
{
    mg_tierq *q = mg_alloc(sizeof(*q));
    for (size_t i = 0; i < MG_RANK_MAX; i++) {
        init_list_head(&q->tiers[i].waiting);
    }
    return q;
}

void
mg_tierq_free(mg_tierq *q)
{
    for (size_t i = 0; i < MG_RANK_MAX; i++) {
        mg_workspace_queue *wq;
        mg_workspace_queue *next;
        HASH_ITER(hh, q->tiers[i].queues, wq, next)
        {
            HASH_DEL(q->tiers[i].queues, wq);
            free(wq);
        }
    }
    free(q);
}

uint64_t
mg_request_cost(uint32_t prefill, uint32_t decode)
{
    return (uint64_t)prefill + (uint64_t)decode * DECODE_COST + 1;
}

uint64_t
mg_ticket_cost(const mg_ticket *t)
{
    return mg_request_cost(t->prefill, t->decode);
}

static mg_workspace_queue *
find_queue(struct tier *tier, const mg_ticket *t)
{
    mg_workspace_queue *wq;
    HASH_FIND_STR(tier->queues, t->workspace, wq);
    if (wq == NULL) {
        wq = mg_alloc(sizeof(*wq));
        mg_str_copy(wq->workspace, sizeof(wq->workspace),
                    mg_str_of(t->workspace));
        wq->tier = t->tier;
        init_list_head(&wq->tickets);
        init_list_head(&wq->link);
        HASH_ADD_STR(tier->queues, workspace, wq);
    }
    return wq;
}

/* whether a is served before b, both of one workspace */
static bool
served_before(const mg_ticket *a, const mg_ticket *b)
{
    if (a->deadline_ms != b->deadline_ms) {
        return a->deadline_ms < b->deadline_ms;
    }
    return a->seq < b->seq;
}

void
mg_tierq_add(mg_tierq *q, mg_ticket *t)
{
    MG_INVARIANT(t->tier < MG_RANK_MAX && t->queue == NULL);
    struct tier *tier = &q->tiers[t->tier];
    mg_workspace_queue *wq = find_queue(tier, t);
    t->seq = q->next_seq++;
    if (wq->count == 0) {
        /* an idle workspace does not accumulate unused service */
        wq->vtime = wq->vtime > tier->vtime ? wq->vtime : tier->vtime;
        list_add_tail(&wq->link, &tier->waiting);
    }
    struct list_head *at = wq->tickets.prev;
    while (at != &wq->tickets &&
           served_before(t, list_entry(at, mg_ticket, link))) {
        at = at->prev;
    }
    list_add_before(&t->link, at->next);
    t->queue = wq;
    wq->count++;
    wq->cost += mg_ticket_cost(t);
    tier->count++;
    tier->cost += mg_ticket_cost(t);
}

void
mg_tierq_remove(mg_tierq *q, mg_ticket *t)
{
    mg_workspace_queue *wq = t->queue;
    MG_INVARIANT(wq != NULL);
    struct tier *tier = &q->tiers[t->tier];
    list_del(&t->link);
    t->queue = NULL;
    wq->cost -= mg_ticket_cost(t);
    tier->count--;
    tier->cost -= mg_ticket_cost(t);
    if (--wq->count > 0) {
        return;
    }
    list_del(&wq->link);
    if (wq->vtime <= tier->vtime) {
        HASH_DEL(tier->queues, wq);
        free(wq);
    }
}

/* Removes idle workspaces that are not ahead of the tier's virtual time. */
static void
remove_idle(struct tier *tier)
{
    mg_workspace_queue *wq;
    mg_workspace_queue *next;
    HASH_ITER(hh, tier->queues, wq, next)
    {
        if (wq->count == 0 && wq->vtime <= tier->vtime) {
            HASH_DEL(tier->queues, wq);
            free(wq);
        }
    }
}

void
mg_tierq_serve(mg_tierq *q, mg_ticket *t)
{
    struct tier *tier = &q->tiers[t->tier];
    mg_workspace_queue *wq = t->queue;
    uint32_t weight = t->weight ? t->weight : 1;
    tier->vtime = wq->vtime;
    wq->vtime += (double)mg_ticket_cost(t) / weight;
    mg_tierq_remove(q, t);
    if (HASH_COUNT(tier->queues) > 2 * tier->count + 64) {
        remove_idle(tier);
    }
}

static mg_ticket *
first_ticket(const mg_workspace_queue *wq)
{
    return list_entry(wq->tickets.next, mg_ticket, link);
}

static mg_ticket *
last_ticket(const mg_workspace_queue *wq)
{
    return list_entry(wq->tickets.prev, mg_ticket, link);
}

/* XXX: linear in the number of waiting workspaces; use a heap if many */
static mg_ticket *
next_of_tier(const struct tier *tier)
{
    mg_ticket *best = NULL;
    list_for_each(el, &tier->waiting)
    {
        mg_ticket *t = first_ticket(list_entry(el, mg_workspace_queue, link));
        if (best == NULL || t->queue->vtime < best->queue->vtime ||
            (t->queue->vtime == best->queue->vtime &&
             served_before(t, best))) {
            best = t;
        }
    }
    return best;
}

/* virtual time at which all waiting tickets of the ticket's workspace would
   have been served */
static double
finish_time(const mg_ticket *t)
{
    uint32_t weight = t->weight ? t->weight : 1;
    return t->queue->vtime + (double)t->queue->cost / weight;
}

static mg_ticket *
last_of_tier(const struct tier *tier)
{
    mg_ticket *worst = NULL;
    double worst_end = 0;
    list_for_each(el, &tier->waiting)
    {
        mg_ticket *t = last_ticket(list_entry(el, mg_workspace_queue, link));
        double end = finish_time(t);
        if (worst == NULL || end > worst_end ||
            (end == worst_end && served_before(worst, t))) {
            worst = t;
            worst_end = end;
        }
    }
    return worst;
}

mg_ticket *
mg_tierq_head(const mg_tierq *q)
{
    for (size_t i = 0; i < MG_RANK_MAX; i++) {
        if (q->tiers[i].count > 0) {
            return next_of_tier(&q->tiers[i]);
        }
    }
    return NULL;
}

mg_ticket *
mg_tierq_victim(const mg_tierq *q)
{
    int lowest = mg_tierq_lowest_tier(q);
    return lowest < 0 ? NULL : last_of_tier(&q->tiers[lowest]);
}

size_t
mg_tierq_count(const mg_tierq *q)
{
    size_t n = 0;
    for (size_t i = 0; i < MG_RANK_MAX; i++) {
        n += q->tiers[i].count;
    }
    return n;
}

size_t
mg_tierq_tier_count(const mg_tierq *q, unsigned tier)
{
    return q->tiers[tier].count;
}

int
mg_tierq_lowest_tier(const mg_tierq *q)
{
    for (int i = MG_RANK_MAX - 1; i >= 0; i--) {
        if (q->tiers[i].count > 0) {
            return i;
        }
    }
    return -1;
}

uint64_t
mg_tierq_cost_up_to(const mg_tierq *q, unsigned tier)
{
    uint64_t cost = 0;
    for (size_t i = 0; i <= tier; i++) {
        cost += q->tiers[i].cost;
    }
    return cost;
}

void
mg_tierq_each(mg_tierq *q, void (*f)(void *user, mg_ticket *t), void *user)
{
    for (size_t i = 0; i < MG_RANK_MAX; i++) {
        list_for_each_safe(el, el1, &q->tiers[i].waiting)
        {
            mg_workspace_queue *wq = list_entry(el, mg_workspace_queue, link);
            size_t remaining = wq->count;
            struct list_head *at = wq->tickets.next;
            while (remaining-- > 0) {
                struct list_head *next = at->next;
                f(user, list_entry(at, mg_ticket, link));
                at = next;
            }
        }
    }
}
