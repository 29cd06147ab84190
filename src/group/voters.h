/*
 * voters - the voters of the replicated log and their replacement
 *
 * A group has n voter slots. A slot is vacant or assigned to a host, named by
 * its IP address. A majority is more than half of the assigned slots. A
 * change affects one slot, by its own committed log entry, so any majority
 * after a change shares a member with any majority before it.
 *
 * A voter is replaced in three steps, so that at each of them as many disks
 * may be lost as before:
 *  1. The leader chooses a learner, which gets the log and the right to vote
 *     but does not count. No log entry: if the leader changes, the next one
 *     chooses again; if the learner dies, another is chosen. It does so as
 *     soon as there is a candidate, before a voter has to be replaced: while a
 *     voter is gone, the loss of one more disk may be one too many.
 *  2. Once it votes, it gets a vacant slot or a further one. While both have a
 *     slot, a majority is one of all others and the voter, and one of all
 *     others and its successor: neither is needed for it.
 *  3. The voter's slot becomes vacant.
 * In one entry (the voter's slot to its successor) this would be unsafe: hosts
 * that have not applied it yet count by the former voters, and both sides of a
 * network that is cut could have a majority.
 *
 * Builds before learners remove a voter first. A candidate that has such a
 * build is assigned a slot in this order. They know of no successors in step
 * 2 and take more than half of all assigned slots, which shares a member with
 * both majorities.
 *
 * A voter that is about to stop hands its slot over before. One that is silent
 * is replaced at once if a learner votes, and else only when it is dead.
 *
 * A new voter with an empty disk does not vote until it has all committed
 * entries; control/raft.h handles this.
 *
 * Voters belong on hosts with a disk: any number of the other hosts may fail
 * at once, and each restart of one loses its log. The initial voters are the
 * seeds, which may lack a disk. Their slots are assigned to hosts with a disk,
 * or vacated if there are no more such hosts. Only if no live host has a disk
 * is the log kept in memory.
 *
 * XXX: the last two voters are not reduced to one, so a group of which only
 * one host has a disk depends on the memory of others.
 *
 * mg_voters_plan_change() is a pure function.
 */
#ifndef MG_VOTERS_H
#define MG_VOTERS_H

#include "base/check.h"

#define MG_VOTERS_MAX 7
/* a voter is dead, and may be replaced, if silent for longer than this, ms */
#define MG_VOTER_DEAD_MS 4000
/* likewise if a learner has the log already; six heartbeats */
#define MG_VOTER_SILENT_MS 600

typedef struct mg_voters {
    uint64_t rev; /* of the record; 0: the initial voters */
    unsigned count;
    char ip[MG_VOTERS_MAX][MG_NAME_SIZE]; /* by slot; empty: vacant */
    /* slots, from 1, of a voter and of its successor, while both have one */
    unsigned outgoing;
    unsigned incoming;
    /* on a host that is a learner: its slot, from 1; else 0. It is no part of
       the record and not sent to other hosts. */
    unsigned learner_slot;
} mg_voters;

/* on the leader: the host that learns, and its slot, from 1; 0: none */
typedef struct mg_voters_learner {
    unsigned slot;
    char ip[MG_NAME_SIZE];
} mg_voters_learner;

/* a host that runs a replica of the log but has no voter slot */
typedef struct mg_voter_candidate {
    char ip[MG_NAME_SIZE];
    int64_t last_seen_ms;
    bool has_disk;
    bool learns;  /* can be a learner; earlier builds can't */
    bool leaving; /* is about to stop */
} mg_voter_candidate;

/* what the leader knows about the voters and those who may become one */
typedef struct mg_voters_view {
    unsigned wanted;               /* number of voters to reach */
    unsigned own_slot;             /* the leader's, from 1 */
    bool all_vote;                 /* no voter is still catching up */
    bool disks_exist;              /* some live host has a disk */
    int64_t age_ms[MG_VOTERS_MAX]; /* by slot: since the last message */
    bool in_memory[MG_VOTERS_MAX]; /* by slot: the voter has no disk */
    bool leaving[MG_VOTERS_MAX];   /* by slot: the voter is about to stop */
    mg_voters_learner learner;
    int64_t learner_age_ms; /* since its last message */
    bool learner_votes;     /* it has the log and the right to vote */
    bool learner_leaving;
    bool learner_in_memory; /* it has no disk */
    const mg_voter_candidate *candidates;
    size_t candidate_count;
    int64_t now_ms;
} mg_voters_view;

typedef enum mg_voters_change_kind {
    MG_VOTERS_KEEP,
    MG_VOTERS_REMOVE,   /* a voter that is dead, leaves or has no disk */
    MG_VOTERS_ASSIGN,   /* a vacant slot to a candidate */
    MG_VOTERS_ADD_SLOT, /* a further slot, for a candidate */
    MG_VOTERS_LEARN,    /* a candidate becomes the learner; no log entry */
    MG_VOTERS_FORGET,   /* there is to be no learner; no log entry */
} mg_voters_change_kind;

typedef struct mg_voters_change {
    mg_voters_change_kind kind;
    unsigned slot; /* 0-based */
    char ip[MG_NAME_SIZE];
    unsigned outgoing; /* slot of the voter that is replaced, from 1 */
} mg_voters_change;

/* Notes that a host applies for a slot, or that it leaves. Of more than max,
   the one that has been silent for longest is forgotten. */
void
mg_voters_note_candidate(mg_voter_candidate *c, size_t *count, size_t max,
                         const char *ip, int64_t now_ms);
/* Returns the next change. */
mg_voters_change
mg_voters_plan_change(const mg_voters *v, const mg_voters_view *view);
/* Whether a voter without a disk still is to be replaced by a host with one:
   until then, what is committed may be lost with the memory of the voters. */
bool
mg_voters_lack_disks(const mg_voters *v, const mg_voters_view *view);
/*
 * Whether the group has agreed on these voters, so that a host may take its
 * slot. Voters without a revision are the seeds of this host, and are the
 * group's only on a host that has had a vote since the group began. A host
 * that lost its disk gets the voters from other hosts: its seeds may be any
 * hosts by then, itself among them.
 */
bool
mg_voters_are_agreed(const mg_voters *v, bool has_vote);
/* Whether a host whose directory has the voters stored keeps its vote among
   the voters now: a vote belongs to a slot. */
bool
mg_voters_keep_vote(const mg_voters *stored, const mg_voters *now,
                    const char *ip);
/* What a host does about voters that another host has sent. */
typedef enum mg_voters_news {
    MG_VOTERS_OLD,    /* nothing, they aren't newer than its own */
    MG_VOTERS_ADOPT,  /* it keeps its slot, or still has none */
    MG_VOTERS_REOPEN, /* its slot is gained, lost or another: it opens the log
                         anew, see mg_voters_keep_vote() */
} mg_voters_news;
/* slot: in which this host, with address ip, runs the log; 0: none. */
mg_voters_news
mg_voters_compare(const mg_voters *own, unsigned slot, const mg_voters *sent,
                  const char *ip);
void
mg_voters_apply(mg_voters *v, const mg_voters_change *change);
/* Returns the slot of the voter with this IP address, from 1; 0: none. */
unsigned
mg_voters_slot_of(const mg_voters *v, const char *ip);
/* Returns the slot in which a host runs the log, as a voter or as a learner,
   from 1; 0: none. v is as that host knows them. */
unsigned
mg_voters_member_slot(const mg_voters *v, const char *ip);
/* Writes "ip,ip,,ip", with an empty field for a vacant slot. */
void
mg_voters_print(const mg_voters *v, char out[MG_VOTERS_MAX * MG_NAME_SIZE]);
/* Parses the format of mg_voters_print(); MG_E_INPUT if text is malformed, v
   is then unchanged. */
mg_rc
mg_voters_parse(mg_voters *v, uint64_t rev, mg_str text);
/* Notes that this host is a learner in a slot, from 1; false if the slot isn't
   vacant or the next further one, v is then unchanged. */
bool
mg_voters_set_learner(mg_voters *v, uint64_t slot);
/* Notes that a voter and its successor hold these slots, from 1, both; 0, 0:
   none do. Slots that aren't assigned are ignored. */
void
mg_voters_set_swap(mg_voters *v, uint64_t outgoing, uint64_t incoming);

#endif
