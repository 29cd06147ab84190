#include "policy/tierq.h"

#include <stdlib.h>
#include <string.h>

/* one decoded token occupies an engine as long as so many prefill tokens */
#define DECODE_COST 8

struct mg_workspace_queue {
    UT_hash_handle hh;
    struct list_head link; /* tier.waiting, while it has tickets */
    char workspace[MG_NAME_SIZE];
    struct list_head tickets;
    size_t count;
    uint64_t cost; /* of its tickets */
    double vtime;
    unsigned tier;
};

struct tier {
    mg_workspace_queue *shares; /* by workspace */
    struct list_head waiting;
    double vtime;
    size_t count;
    uint64_t cost;
};

struct mg_tierq {
    struct tier tiers[MG_RANK_MAX];
    uint64_t next_order;
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
        mg_workspace_queue *s;
        mg_workspace_queue *s1;
        HASH_ITER(hh, q->tiers[i].shares, s, s1)
        {
            HASH_DEL(q->tiers[i].shares, s);
            free(s);
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
find_share(struct tier *tier, const mg_ticket *t)
{
    mg_workspace_queue *s;
    HASH_FIND_STR(tier->shares, t->workspace, s);
    if (s == NULL) {
        s = mg_alloc(sizeof(*s));
        mg_str_copy(s->workspace, sizeof(s->workspace),
                    mg_str_of(t->workspace));
        s->tier = t->tier;
        init_list_head(&s->tickets);
        init_list_head(&s->link);
        HASH_ADD_STR(tier->shares, workspace, s);
    }
    return s;
}

/* a ticket that comes before another one of its workspace */
static bool
before(const mg_ticket *a, const mg_ticket *b)
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
    mg_workspace_queue *s = find_share(tier, t);
    t->seq = q->next_order++;
    if (s->count == 0) {
        /* an idle workspace saves up no service */
        s->vtime = s->vtime > tier->vtime ? s->vtime : tier->vtime;
        list_add_tail(&s->link, &tier->waiting);
    }
    struct list_head *at = s->tickets.prev;
    while (at != &s->tickets && before(t, list_entry(at, mg_ticket, link))) {
        at = at->prev;
    }
    list_add_before(&t->link, at->next);
    t->queue = s;
    s->count++;
    s->cost += mg_ticket_cost(t);
    tier->count++;
    tier->cost += mg_ticket_cost(t);
}

void
mg_tierq_remove(mg_tierq *q, mg_ticket *t)
{
    mg_workspace_queue *s = t->queue;
    MG_INVARIANT(s != NULL);
    struct tier *tier = &q->tiers[t->tier];
    list_del(&t->link);
    t->queue = NULL;
    s->cost -= mg_ticket_cost(t);
    tier->count--;
    tier->cost -= mg_ticket_cost(t);
    if (--s->count > 0) {
        return;
    }
    list_del(&s->link);
    if (s->vtime <= tier->vtime) {
        HASH_DEL(tier->shares, s);
        free(s);
    }
}

/* forgets idle workspaces that the tier's virtual time has passed */
static void
forget_idle(struct tier *tier)
{
    mg_workspace_queue *s;
    mg_workspace_queue *s1;
    HASH_ITER(hh, tier->shares, s, s1)
    {
        if (s->count == 0 && s->vtime <= tier->vtime) {
            HASH_DEL(tier->shares, s);
            free(s);
        }
    }
}

void
mg_tierq_serve(mg_tierq *q, mg_ticket *t)
{
    struct tier *tier = &q->tiers[t->tier];
    mg_workspace_queue *s = t->queue;
    uint32_t weight = t->weight ? t->weight : 1;
    tier->vtime = s->vtime;
    s->vtime += (double)mg_ticket_cost(t) / weight;
    mg_tierq_remove(q, t);
    if (HASH_COUNT(tier->shares) > 2 * tier->count + 64) {
        forget_idle(tier);
    }
}

static mg_ticket *
first_ticket(const mg_workspace_queue *s)
{
    return list_entry(s->tickets.next, mg_ticket, link);
}

static mg_ticket *
last_ticket(const mg_workspace_queue *s)
{
    return list_entry(s->tickets.prev, mg_ticket, link);
}

/* XXX: linear in the workspaces that wait; a heap when these are many */
static mg_ticket *
next_of_tier(const struct tier *tier)
{
    mg_ticket *best = NULL;
    list_for_each(el, &tier->waiting)
    {
        mg_ticket *t = first_ticket(list_entry(el, mg_workspace_queue, link));
        if (best == NULL || t->queue->vtime < best->queue->vtime ||
            (t->queue->vtime == best->queue->vtime && before(t, best))) {
            best = t;
        }
    }
    return best;
}

/* virtual time at which the workspace's last ticket would be served */
static double
share_end(const mg_ticket *t)
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
        double end = share_end(t);
        if (worst == NULL || end > worst_end ||
            (end == worst_end && before(worst, t))) {
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
            mg_workspace_queue *s = list_entry(el, mg_workspace_queue, link);
            size_t left = s->count;
            struct list_head *at = s->tickets.next;
            while (left-- > 0) {
                struct list_head *next = at->next;
                f(user, list_entry(at, mg_ticket, link));
                at = next;
            }
        }
    }
}
