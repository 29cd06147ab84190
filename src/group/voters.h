/*
 * voters - the voters of the replicated log and their replacement
 *
 * A group has n voter slots. A slot is vacant or assigned to a host, named by
 * its IP address. A majority is more than half of n, vacant slots included.
 * A change affects one slot: a voter is first removed, then another host is
 * assigned, each by its own committed log entry. So any majority after a
 * change shares a member with any majority before it, and a removed voter
 * that still runs behind a network partition is never counted together with
 * its replacement.
 *
 * A new voter with an empty disk does not vote until it has all committed
 * entries; control/raft.h handles this.
 *
 * mg_voters_plan_change() is a pure function.
 */
#ifndef MG_VOTERS_H
#define MG_VOTERS_H

#include "base/check.h"

#define MG_VOTERS_MAX 7
/* a voter is dead, and may be replaced, if silent for longer than this, ms */
#define MG_VOTER_DEAD_MS 4000

typedef struct mg_voters {
    uint64_t rev; /* of the record; 0: the initial voters */
    unsigned count;
    char ip[MG_VOTERS_MAX][MG_NAME_SIZE]; /* by slot; empty: vacant */
} mg_voters;

/* a host that runs a replica of the log but has no voter slot */
typedef struct mg_voter_candidate {
    char ip[MG_NAME_SIZE];
    int64_t last_seen_ms;
} mg_voter_candidate;

typedef enum mg_voters_change_kind {
    MG_VOTERS_KEEP,
    MG_VOTERS_REMOVE,   /* a dead voter, if a candidate exists */
    MG_VOTERS_ASSIGN,   /* a vacant slot to a candidate */
    MG_VOTERS_ADD_SLOT, /* a further slot, for a candidate */
} mg_voters_change_kind;

typedef struct mg_voters_change {
    mg_voters_change_kind kind;
    unsigned slot; /* 0-based */
    char ip[MG_NAME_SIZE];
} mg_voters_change;

/*
 * Returns the next change. wanted: number of slots to reach. age_ms: for each
 * slot, time since the last message of its voter. all_vote: every assigned
 * voter votes (none is still catching up). c: n candidates.
 */
mg_voters_change
mg_voters_plan_change(const mg_voters *v, unsigned wanted,
                      const int64_t *age_ms, bool all_vote,
                      const mg_voter_candidate *c, size_t n, int64_t now);
void
mg_voters_apply(mg_voters *v, const mg_voters_change *change);
/* Returns the slot of the voter with this IP address, from 1; 0: none. */
unsigned
mg_voters_slot_of(const mg_voters *v, const char *ip);
/* Writes "ip,ip,,ip", with an empty field for a vacant slot. */
void
mg_voters_print(const mg_voters *v, char out[MG_VOTERS_MAX * MG_NAME_SIZE]);
/* Parses the format of mg_voters_print(); MG_E_INPUT if text is malformed, v
   is then unchanged. */
mg_rc
mg_voters_parse(mg_voters *v, uint64_t rev, mg_str text);

#endif
