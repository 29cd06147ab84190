/*
 * seats - who votes in the replicated log, and who replaces whom
 *
 * A group has n seats; a majority is always of n, whether a seat is taken or
 * vacant. A seat is held by a host, named by its IP address. Two seats never
 * change in one step, and a seat is first vacated, then given to another
 * host, each as a committed entry of the log: so any majority after a step
 * shares a member with any majority before it, and the former holder, who
 * may be alive beyond a cut, can't be counted together with the new one.
 *
 * The holder's disk is another matter (control/raft.h): who comes with an
 * empty one does not vote until it has all that was committed.
 *
 * mg_voters_plan_change() is pure.
 */
#ifndef MG_VOTERS_H
#define MG_VOTERS_H

#include "base/check.h"

#define MG_VOTERS_MAX 7
/* a holder that was not heard for so long may be replaced, ms */
#define MG_VOTER_DEAD_MS 4000

typedef struct mg_voters {
    uint64_t rev; /* of the record; 0: the first table */
    unsigned count;
    char ip[MG_VOTERS_MAX][MG_NAME_SIZE]; /* empty: vacant */
} mg_voters;

/* a host with a disk that holds no seat */
typedef struct mg_voter_candidate {
    char ip[MG_NAME_SIZE];
    int64_t last_seen_ms;
} mg_voter_candidate;

typedef enum mg_voters_change_kind {
    MG_VOTERS_KEEP,
    MG_VOTERS_REMOVE,   /* the holder is dead and a candidate is there */
    MG_VOTERS_ASSIGN,   /* a vacant seat to a candidate */
    MG_VOTERS_ADD_SLOT, /* another seat, to a candidate */
} mg_voters_change_kind;

typedef struct mg_voters_change {
    mg_voters_change_kind kind;
    unsigned slot; /* 0-based */
    char ip[MG_NAME_SIZE];
} mg_voters_change;

/*
 * The next step. wanted: seats that the group should have. age_ms: for each
 * seat, since its holder was heard. all_vote: every holder votes (nobody is
 * still catching up).
 */
mg_voters_change
mg_voters_plan_change(const mg_voters *s, unsigned wanted,
                      const int64_t *age_ms, bool all_vote,
                      const mg_voter_candidate *c, size_t n, int64_t now);
/* Carries a step out. */
void
mg_voters_apply(mg_voters *s, const mg_voters_change *plan);
/* Seat of a node from 1, 0 when it has none. */
unsigned
mg_voters_slot_of(const mg_voters *s, const char *node);
/* As "ip,ip,,ip"; MG_E_INPUT when it is not such a list. */
void
mg_voters_print(const mg_voters *s, char out[MG_VOTERS_MAX * MG_NAME_SIZE]);
mg_rc
mg_voters_parse(mg_voters *s, uint64_t rev, mg_str text);

#endif
