/*
 * pick - which target a request goes to
 *
 * Pure: a table of candidates in, an index out. A target takes no more than
 * its slots by what this entry counts itself and what the others reported;
 * among those with room the one where the request is expected to be done
 * first wins, by learned speed, load, and the tokens of the prompt that the
 * target still holds.
 */
#ifndef MG_PICK_H
#define MG_PICK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct mg_candidate {
    uint32_t slots;
    double running; /* own and reported requests */
    double pace;    /* time that it takes, against the mean of all: 1 */
    double warm;    /* part of the prompt that it holds, 0 to 1 */
    bool near;      /* in the entry's failure domain */
    bool doubtful;  /* failed lately, or silent */
} mg_candidate;

/*
 * Index of the best candidate with room, -1 when there is none. Doubtful
 * ones are taken only when no other exists. tie, uniform in [0, 1), spreads
 * equals.
 */
int
mg_pick(const mg_candidate *c, size_t n, double tie);

#endif
