/*
 * blame - which parts of prompts are the cause of crashes
 *
 * A target that crashes gives strikes to all parts of what it ran (strikes.h).
 * Few of them are the cause: of the parts with enough crashes, the one with
 * the most is blamed, then the one with the most of the remaining crashes, as
 * long as there are enough. Parts that were never served come first. Of parts
 * with the same crashes it is the one that fewer requests had as the targets
 * crashed, then the last one in the prompt: what comes first is shared by more
 * requests.
 *
 * Parts that have the same crashes because the same requests had them can't be
 * told apart: any one of them may be the cause. They are blamed as a group,
 * for requests that have all of them. A request that lacks one goes on: it is
 * served, which clears the parts that it has, or its crash makes the group
 * smaller.
 *
 * Pure: the result depends on the arguments only.
 */
#ifndef MG_BLAME_H
#define MG_BLAME_H

#include "policy/quarantine.h"

/* a part of a prompt that has strikes */
typedef struct mg_blame_part {
    uint64_t key;
    unsigned position; /* in the prompt */
    bool served;       /* before the crashes */
    size_t crash_count;
    struct {
        uint64_t id;
        uint64_t run; /* the request that had the part, see quarantine.h */
    } crashes[MG_QUARANTINE_CRASHES];
    /* results, each 1 + the index of a group, or 0: the group that it belongs
       to, and the one with whose parts it shares all crashes */
    size_t group;
    size_t tied;
} mg_blame_part;

/* a group of blamed parts, or a single one */
typedef struct mg_blame_group {
    size_t size;
    size_t tied;  /* parts with the same crashes, its own ones among them */
    uint64_t key; /* the smallest of its keys: the same at all entries */
    size_t crash_count;
    uint64_t crashes[MG_QUARANTINE_CRASHES];
    bool served; /* its parts were, before the crashes */
} mg_blame_group;

/* Number of crashes after which a part is blamed. */
size_t
mg_blame_strikes_needed(bool served);
/* Sets the parts' results and returns the number of groups, at most n. The
   parts' crashes are lost. */
size_t
mg_blame(mg_blame_part *parts, size_t n, mg_blame_group *groups);

#endif
