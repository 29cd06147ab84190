/*
 * pick - which target a request goes to
 *
 * Pure: a table of candidates in, an index out. An entry fills the slots
 * that belong to it before it uses others that it was lent
 * (gateway/share.h): of its own it knows for sure which are free, while many
 * entries that see the others late would all take the same fast target.
 * Of lent slots it takes the better of two at random.
 * For those with room the time to the first event is predicted, from the
 * prompt, the prompts that the target still reads for others, and the pace
 * that was learned of it. Being faster than a part of the goal is worth
 * nothing: so short prompts leave the fast targets to long ones.
 */
#ifndef MG_PICK_H
#define MG_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct mg_candidate {
    uint32_t slots;
    double running;         /* own and reported requests */
    uint32_t local_running; /* requests of this entry */
    uint32_t allocated;     /* slots that belong to this entry */
    uint32_t borrowable;    /* of other slots, that it may use now */
    double backlog;         /* prompt tokens that it has still to read */
    double slowdown;        /* time that it takes, against the prediction: 1 */
    double cached_fraction; /* part of the prompt that it holds, 0 to 1 */
    bool same_domain;       /* in the entry's failure domain */
    bool unhealthy;         /* failed lately, or silent */
} mg_candidate;

typedef struct mg_pick_request {
    double prompt_tokens;
    double goal_ms; /* to the first event, or the answer */
    bool
        may_use_allocated; /* the last free slots of the entry's shares, too */
} mg_pick_request;

/* Predicted time to the first event at a target of pace 1, ms. */
double
mg_pick_nominal_ms(double prompt_tokens, double backlog);
/* Predicted time to the first event at that target, ms. */
double
mg_pick_first_ms(const mg_pick_request *r, const mg_candidate *c);
/* Whether the request may be sent to that target now. */
bool
mg_pick_has_room(const mg_pick_request *r, const mg_candidate *c);
/*
 * Index of the best candidate with an own slot, else of the better of two
 * with a lent one, -1 when there is none. Doubtful ones are taken only when
 * no other exists. tie is uniform in [0, 1).
 */
int
mg_pick(const mg_pick_request *r, const mg_candidate *c, size_t n, double tie);

#endif
