/*
 * tierq - waiting tickets of a pool in the order of service and of shedding
 *
 * A ticket stands for one request that waits at its entry. Tiers are strict:
 * rank 0 is served first and shed last. Inside a tier the workspaces share
 * by weight (start-time fair queueing; Goyal, Vin and Cheng, 1996): the one
 * with the least virtual time comes next. Inside a workspace the earliest
 * deadline comes first.
 *
 * mg_tierq_head() is the next to be served. mg_tierq_victim() is the next to
 * be shed: of the lowest tier that waits, from the workspace whose last ticket
 * would be served last, the latest deadline. So no ticket is a victim while
 * one of a lower tier waits.
 *
 * The queue links tickets and does not own them.
 */
#ifndef MG_TIERQ_H
#define MG_TIERQ_H

#include "base/check.h"
#include "base/list.h"
#include "topology/config.h"

/*
 * Ranks of service, 0 first. A caller may order by the workspace's tier, then
 * by the route's, and put late requests behind those on time.
 */
#define MG_RANK_MAX (2 * MG_TIER_MAX * MG_TIER_MAX)

typedef struct mg_workspace_queue mg_workspace_queue;

typedef struct mg_ticket {
    struct list_head link;     /* mg_workspace_queue.tickets, by deadline */
    UT_hash_handle hh;         /* of the holder's table, by id */
    mg_workspace_queue *queue; /* NULL when it does not wait */
    uint64_t id;
    uint64_t attempt;
    uint64_t seq; /* of arrival, breaks ties */
    char entry[MG_NAME_SIZE];
    char workspace[MG_NAME_SIZE];
    char route[MG_NAME_SIZE];
    unsigned tier; /* rank, below MG_RANK_MAX */
    uint32_t weight;
    uint32_t prefill; /* predicted tokens */
    uint32_t decode;
    int64_t arrived_ms;
    int64_t deadline_ms; /* on the scheduler's clock */
    uint64_t prefix;
    uint64_t fingerprint;
} mg_ticket;

typedef struct mg_tierq mg_tierq;

mg_tierq *
mg_tierq_new(void);
/* Tickets are left to their owner. */
void
mg_tierq_free(mg_tierq *q);

void
mg_tierq_add(mg_tierq *q, mg_ticket *t);
void
mg_tierq_remove(mg_tierq *q, mg_ticket *t);
/* Takes the ticket out and charges its cost to its workspace. */
void
mg_tierq_serve(mg_tierq *q, mg_ticket *t);

mg_ticket *
mg_tierq_head(const mg_tierq *q);
mg_ticket *
mg_tierq_victim(const mg_tierq *q);

size_t
mg_tierq_count(const mg_tierq *q);
size_t
mg_tierq_tier_count(const mg_tierq *q, unsigned tier);
/* Lowest tier (greatest rank) with a waiting ticket, -1 when none waits. */
int
mg_tierq_lowest_tier(const mg_tierq *q);
/* Predicted cost of the tickets that wait in tiers up to this rank. */
uint64_t
mg_tierq_cost_up_to(const mg_tierq *q, unsigned tier);
/* Cost of a request in tokens, decoding weighed as it occupies an engine. */
uint64_t
mg_request_cost(uint32_t prefill, uint32_t decode);
uint64_t
mg_ticket_cost(const mg_ticket *t);
/* Calls f for each waiting ticket; f may remove the ticket it is given. */
void
mg_tierq_each(mg_tierq *q, void (*f)(void *user, mg_ticket *t), void *user);

#endif
