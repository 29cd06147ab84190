/*
 * rejected - the versions of a service that were rolled back
 *
 * Their targets go on running for a while, also while the next version is
 * rolled out; they get no requests. A version that is rolled out again is
 * judged by that rollout, and is rejected no more once it has completed.
 *
 * Entries and hubs follow the rollouts' records; a record of its own
 * (REC_REJECTED) keeps the versions for those that start later. An earlier
 * build ignores it.
 */
#ifndef MG_REJECTED_H
#define MG_REJECTED_H

#include "policy/rollout.h"
#include "wire/msg.h"

/* of one service; the oldest ones beyond it are forgotten */
#define MG_REJECTED_MAX 16

typedef struct mg_rejected {
    char versions[MG_REJECTED_MAX][MG_NAME_SIZE]; /* oldest first */
    size_t count;
} mg_rejected;

bool
mg_rejected_has(const mg_rejected *r, const char *version);
/* Takes note of the state that a rollout of the version has reached; returns
   whether this has changed r. */
bool
mg_rejected_follow(mg_rejected *r, const char *version,
                   mg_rollout_state_id state);
/* Appends the field versions of REC_REJECTED. */
void
mg_rejected_encode(const mg_rejected *r, mg_buf *out);
/* Reads that field; what can't be read is left out. */
void
mg_rejected_decode(mg_rejected *r, mg_str versions);

#endif
