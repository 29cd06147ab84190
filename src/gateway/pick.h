/*
 * pick - selects the target of a request
 *
 * No I/O: a table of candidates in, an index out. An entry uses its allocated
 * slots before borrowed ones (gateway/slots.h): it knows exactly which of its
 * allocated slots are free, whereas many entries with old reports would all
 * choose the same fast target. Among targets with borrowable slots it takes
 * the better of two random ones (power of two choices).
 * The cost of a candidate is the predicted time to the first event, from the
 * prompt, the backlog of prompts at the target and its measured slowdown.
 * Predictions below a fraction of the goal cost the same, so short prompts
 * leave the fast targets to long ones.
 */
#ifndef MG_PICK_H
#define MG_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct mg_candidate {
    uint32_t slots;
    double running;         /* local and reported requests */
    uint32_t local_running; /* requests of this entry */
    uint32_t allocated;     /* slots allocated to this entry */
    uint32_t borrowable;    /* other slots that it may use now */
    double backlog;         /* prompt tokens not prefilled yet */
    double slowdown;        /* ratio of measured to predicted time; 1: equal */
    double cached_fraction; /* part of the prompt in its cache, 0 to 1 */
    bool same_domain;       /* in the entry's failure domain */
    bool unhealthy;         /* failed recently, or silent */
    bool held_back;         /* by what it states, see gateway/capacity.h */
} mg_candidate;

typedef struct mg_pick_request {
    double prompt_tokens;
    double goal_ms;         /* to the first event, or the complete response */
    bool may_use_allocated; /* false: they are left to higher tiers */
} mg_pick_request;

/* Predicted time to the first event at a target of slowdown 1, ms. */
double
mg_pick_nominal_ms(double prompt_tokens, double backlog);
/* Predicted time to the first event at candidate c, ms. */
double
mg_pick_first_ms(const mg_pick_request *r, const mg_candidate *c);
/* Whether the request may be sent to candidate c now. */
bool
mg_pick_has_room(const mg_pick_request *r, const mg_candidate *c);
/*
 * Index of the best candidate with a free allocated slot, else of the better
 * of two random ones with a borrowable slot, or -1. Unhealthy candidates are
 * used only when there are no others. tie: uniform in [0, 1).
 */
int
mg_pick(const mg_pick_request *r, const mg_candidate *c, size_t n, double tie);

#endif
