/*
 * tierq - queue of waiting tickets, ordered for service and for shedding
 *
 * A ticket stands for one request that waits at its entry. Tiers are strict:
 * rank 0 is served first and shed last. Within a tier the workspaces are
 * served in proportion to their weights by start-time fair queueing (Goyal,
 * Vin and Cheng, 1996): the one with the least virtual time comes next.
 * Within a workspace the earliest deadline comes first.
 *
 * mg_tierq_head() is the next ticket to serve. mg_tierq_victim() is the next
 * to shed: in the lowest tier with waiting tickets, the latest deadline of
 * the workspace that would finish last. So no ticket is shed while one of a
 * lower tier waits.
 *
 * The queue links tickets and does not own them.
 */
#ifndef MG_TIERQ_H
#define MG_TIERQ_H

#include "base/check.h"
#include "base/list.h"
#include "topology/config.h"

/*
 * Number of ranks; rank 0 is the highest tier. There is room to rank by the
 * workspace's tier, then by the route's tier, then by whether the request is
 * late.
 */
#define MG_RANK_MAX (2 * MG_TIER_MAX * MG_TIER_MAX)

typedef struct mg_workspace_queue mg_workspace_queue;

typedef struct mg_ticket {
    struct list_head link;     /* mg_workspace_queue.tickets, by deadline */
    UT_hash_handle hh;         /* in the owner's table, by id */
    mg_workspace_queue *queue; /* NULL: not in a tierq */
    uint64_t id;
    uint64_t attempt;
    uint64_t seq; /* order of arrival, breaks ties */
    char entry[MG_NAME_SIZE];
    char workspace[MG_NAME_SIZE];
    char route[MG_NAME_SIZE];
    unsigned tier; /* rank, below MG_RANK_MAX */
    uint32_t weight;
    uint32_t prefill; /* predicted tokens of the prompt */
    uint32_t decode;  /* predicted tokens of the output */
    int64_t arrived_ms;
    int64_t deadline_ms;  /* on the scheduler's clock */
    uint64_t prefix;      /* hash of the prompt's prefix; 0: none */
    uint64_t fingerprint; /* see quarantine.h; 0: none */
} mg_ticket;

typedef struct mg_tierq mg_tierq;

mg_tierq *
mg_tierq_new(void);
/* Does not free the tickets. */
void
mg_tierq_free(mg_tierq *q);

void
mg_tierq_add(mg_tierq *q, mg_ticket *t);
void
mg_tierq_remove(mg_tierq *q, mg_ticket *t);
/* Removes the ticket and charges its cost to its workspace. */
void
mg_tierq_serve(mg_tierq *q, mg_ticket *t);

/* Next ticket to serve, and next one to shed; NULL when none waits. */
mg_ticket *
mg_tierq_head(const mg_tierq *q);
mg_ticket *
mg_tierq_victim(const mg_tierq *q);

size_t
mg_tierq_count(const mg_tierq *q);
size_t
mg_tierq_tier_count(const mg_tierq *q, unsigned tier);
/* Lowest tier (greatest rank) with a waiting ticket; -1: none waits. */
int
mg_tierq_lowest_tier(const mg_tierq *q);
/* Predicted cost of the tickets waiting in ranks 0 to tier. */
uint64_t
mg_tierq_cost_up_to(const mg_tierq *q, unsigned tier);
/*
 * Cost of a request in prefill tokens; a decoded token counts as several,
 * as it occupies an engine for longer.
 */
uint64_t
mg_request_cost(uint32_t prefill, uint32_t decode);
uint64_t
mg_ticket_cost(const mg_ticket *t);
/* Calls f for each waiting ticket; f may remove that ticket only. */
void
mg_tierq_each(mg_tierq *q, void (*f)(void *user, mg_ticket *t), void *user);

#endif
