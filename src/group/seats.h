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
 * mg_seats_plan() is pure.
 */
#ifndef MG_SEATS_H
#define MG_SEATS_H

#include "base/check.h"

#define MG_SEATS_MAX 7
/* a holder that was not heard for so long may be replaced, ms */
#define MG_SEAT_DEAD_MS 4000

typedef struct mg_seats {
    uint64_t rev; /* of the record; 0: the first table */
    unsigned count;
    char holder[MG_SEATS_MAX][MG_NAME_SIZE]; /* empty: vacant */
} mg_seats;

/* a host with a disk that holds no seat */
typedef struct mg_seat_candidate {
    char node[MG_NAME_SIZE];
    int64_t heard_ms;
} mg_seat_candidate;

typedef enum mg_seat_step {
    MG_SEAT_KEEP,
    MG_SEAT_VACATE, /* the holder is dead and a candidate is there */
    MG_SEAT_GIVE,   /* a vacant seat to a candidate */
    MG_SEAT_ADD,    /* another seat, to a candidate */
} mg_seat_step;

typedef struct mg_seat_plan {
    mg_seat_step step;
    unsigned seat; /* 0-based */
    char node[MG_NAME_SIZE];
} mg_seat_plan;

/*
 * The next step. wanted: seats that the group should have. age_ms: for each
 * seat, since its holder was heard. all_vote: every holder votes (nobody is
 * still catching up).
 */
mg_seat_plan
mg_seats_plan(const mg_seats *s, unsigned wanted, const int64_t *age_ms,
              bool all_vote, const mg_seat_candidate *c, size_t n,
              int64_t now);
/* Carries a step out. */
void
mg_seats_apply(mg_seats *s, const mg_seat_plan *plan);
/* Seat of a node from 1, 0 when it has none. */
unsigned
mg_seats_of(const mg_seats *s, const char *node);
/* As "ip,ip,,ip"; MG_E_INPUT when it is not such a list. */
void
mg_seats_print(const mg_seats *s, char out[MG_SEATS_MAX * MG_NAME_SIZE]);
mg_rc
mg_seats_parse(mg_seats *s, uint64_t rev, mg_str text);

#endif
