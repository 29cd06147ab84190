/*
 * raft - a replicated log (Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014), with pre-vote, leader step-down
 * without quorum, and readmission of members that lost their disk
 *
 * An mg_raft is a pure state machine: it takes messages and the time as
 * input and acts through mg_raft_callbacks. It opens no socket and no file.
 *
 * Members are identified by voter slots 1..n, n <= 7. The user of this module
 * maps slots to nodes and reports each committed change of that mapping with
 * mg_raft_set_voter_slot(): one slot at a time, and a slot is vacated before
 * it is assigned to another node. A majority is a majority of the assigned
 * slots, see mg_raft_set_swap() for a voter and its successor.
 *
 * A learner is a member in a slot that does not count yet: it gets the log,
 * and may be readmitted, but is part of no majority and starts no election.
 * Only the leader and the learner itself know of it.
 *
 * A change of the voters is proposed only when all earlier ones are applied.
 * So a member that gets such an entry applies the earlier ones first, and
 * never counts by voters from two changes ago.
 *
 * Invariants:
 *  - an entry is reported committed only when a majority of voters has it on
 *    disk; all members apply the same entry at the same index;
 *  - a vote and a term are on disk before any message carries them;
 *  - a member that lost its disk has a new uid. It neither votes nor counts
 *    until it has applied a READMIT entry with that uid, and by then it has
 *    every entry that was committed before.
 *
 * Disk writes are batched: entries are passed to append() as they arrive and
 * synced together in mg_raft_flush(), to be called once per event loop
 * iteration. Acknowledgements are sent after the sync. While a sync takes
 * long, heartbeats are answered, so that a slow disk does not end the leader's
 * term.
 */
#ifndef MG_RAFT_H
#define MG_RAFT_H

#include "base/clock.h"
#include "wire/msg.h"

#define MG_RAFT_MAX_MEMBERS 7
#define MG_RAFT_HEARTBEAT_MS 100
#define MG_RAFT_ELECTION_MIN_MS 500
#define MG_RAFT_ELECTION_MAX_MS 900
/* delay before a starting member asks for pre-votes, and between attempts;
   long enough to receive a heartbeat if there is a leader */
#define MG_RAFT_PREVOTE_MIN_MS 150
#define MG_RAFT_PREVOTE_MAX_MS 400
/* interval at which READMIT is proposed again: a member that received a
   snapshot in place of the command has not applied it */
#define MG_RAFT_READMIT_RETRY_MS 1000
#define MG_RAFT_BATCH_BYTES (1u << 20)
/* a member with this much unacknowledged gets heartbeats only; if it missed
   entries, its answer to one tells from where on */
#define MG_RAFT_WINDOW_BYTES (1u << 20)

typedef enum mg_raft_role {
    MG_RAFT_FOLLOWER,
    MG_RAFT_PRE_CANDIDATE,
    MG_RAFT_CANDIDATE,
    MG_RAFT_LEADER,
} mg_raft_role;

typedef struct mg_raft_entry {
    uint64_t term;
    uint64_t index;
    mg_str data;
} mg_raft_entry;

/* what a member stores besides its log and snapshot */
typedef struct mg_raft_meta {
    uint64_t term;
    uint64_t vote;  /* member voted for in term, 0 for none */
    uint64_t uid;   /* identity of this data directory */
    uint64_t voter; /* 1: has the right to vote, 0: has not */
} mg_raft_meta;

typedef struct mg_raft_callbacks mg_raft_callbacks;
/* embedded in the user's struct; each callback gets a pointer to it */
struct mg_raft_callbacks {
    /* may lose, delay or duplicate the message */
    void (*send)(mg_raft_callbacks *cb, unsigned to, const mg_msg *m);
    /* durable when it returns MG_OK */
    mg_rc (*save_meta)(mg_raft_callbacks *cb, const mg_raft_meta *meta);
    /* buffered until sync */
    mg_rc (*append)(mg_raft_callbacks *cb, const mg_raft_entry *e);
    /* removes all entries from index on; durable after the next sync */
    mg_rc (*truncate)(mg_raft_callbacks *cb, uint64_t index);
    /* makes the appended entries durable; on MG_E_IN_PROGRESS, the user calls
       mg_raft_synced() once they are, and no other sync starts before */
    mg_rc (*sync)(mg_raft_callbacks *cb);
    /* durable when it returns MG_OK; drops the log entries up to index */
    mg_rc (*save_snapshot)(mg_raft_callbacks *cb, uint64_t index,
                           uint64_t term, mg_str data);
    /* applies a committed entry; each once and in order, no-ops included */
    void (*apply)(mg_raft_callbacks *cb, const mg_raft_entry *e);
    /* replaces the state machine's state by a snapshot */
    void (*restore)(mg_raft_callbacks *cb, mg_str data);
    void (*role_changed)(mg_raft_callbacks *cb, mg_raft_role role,
                         uint64_t term);
    /* storage failed: the member must stop */
    void (*failed)(mg_raft_callbacks *cb, mg_rc rc);
};

typedef struct mg_raft mg_raft;

typedef struct mg_raft_options {
    unsigned id; /* 1..members */
    unsigned members;
    mg_raft_callbacks *callbacks;
    mg_clock *clock;
    uint64_t seed; /* for election timeouts */
    mg_raft_meta meta;
    bool learner; /* this member's slot does not count yet */
    /* from disk: snapshot (index 0 for none) and entries after it */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    mg_str snapshot;
    const mg_raft_entry *entries; /* copied */
    size_t entry_count;
    uint64_t commit_index; /* entries up to it are applied by mg_raft_new() */
} mg_raft_options;

mg_raft *
mg_raft_new(const mg_raft_options *opts);
void
mg_raft_free(mg_raft *r);

/*
 * Records that another node holds a voter slot (taken) or that the slot is
 * vacant. A new holder does not count until it is readmitted. A slot above n
 * enlarges the group. The slot must not be this member's.
 */
void
mg_raft_set_voter_slot(mg_raft *r, unsigned slot, bool taken);
/* Leader only: sends the log to a learner in a vacant or further slot. */
void
mg_raft_add_learner(mg_raft *r, unsigned slot);
/* Records that the learner in this slot, which may be this member's, has
   become its holder. It keeps the right to vote that it was readmitted to. */
void
mg_raft_promote_learner(mg_raft *r, unsigned slot);
/*
 * While a voter and its successor hold slots both, a majority is one without
 * the successor and one without the voter. 0, 0: each holder counts alike.
 */
void
mg_raft_set_swap(mg_raft *r, unsigned outgoing, unsigned incoming);
/* Whether a slot has a learner. */
bool
mg_raft_is_learner(const mg_raft *r, unsigned slot);
/* Leader only: whether the member in a slot has said that it has the right to
   vote. */
bool
mg_raft_slot_votes(const mg_raft *r, unsigned slot);
/* Leader only: ms since the last message of a slot; 0 for the local one. */
int64_t
mg_raft_contact_age_ms(const mg_raft *r, unsigned slot);
/* Leader only: whether every holder of a voter slot has the right to vote; a
   new holder gets it when it is readmitted. */
bool
mg_raft_all_members_vote(const mg_raft *r);
/* Runs the timers; must be called at intervals that are much shorter than
   MG_RAFT_HEARTBEAT_MS. */
void
mg_raft_tick(mg_raft *r);
/* Handles a message from a voter slot; ignored if from is 0 or vacant. */
void
mg_raft_receive(mg_raft *r, unsigned from, const mg_msg *m);
/*
 * Appends a command to the log. MG_E_NO_LEADER unless this member leads. On
 * MG_OK, *index and *term identify the entry. If an entry of another term is
 * applied at that index, the command was lost.
 */
mg_rc
mg_raft_propose(mg_raft *r, mg_str data, uint64_t *index, uint64_t *term);
/* Starts to sync appended entries; sends the acknowledgements for those that
   are synced. */
void
mg_raft_flush(mg_raft *r);
/* Records the outcome of a sync that was in progress. */
void
mg_raft_synced(mg_raft *r, mg_rc rc);
/*
 * Saves state as the snapshot at the last applied index and drops the log
 * up to that index.
 */
void
mg_raft_compact(mg_raft *r, mg_str state);

/*
 * Starts a round of messages to all members and returns its number. Once
 * mg_raft_confirmed_round() reaches it, a majority has acknowledged this
 * member as leader after the call, so a read or a lease granted before the
 * call is valid.
 */
uint64_t
mg_raft_start_round(mg_raft *r);
uint64_t
mg_raft_confirmed_round(const mg_raft *r);

mg_raft_role
mg_raft_get_role(const mg_raft *r);
/* Member that is known as leader, 0 for none. */
unsigned
mg_raft_leader(const mg_raft *r);
uint64_t
mg_raft_term(const mg_raft *r);
uint64_t
mg_raft_applied_index(const mg_raft *r);
uint64_t
mg_raft_commit_index(const mg_raft *r);
uint64_t
mg_raft_last_index(const mg_raft *r);
/* Number of entries since the snapshot. */
size_t
mg_raft_log_length(const mg_raft *r);
/* Size of the commands in these entries. */
size_t
mg_raft_log_bytes(const mg_raft *r);
bool
mg_raft_is_voter(const mg_raft *r);
/* Whether this member leads and has applied an entry of its own term. */
bool
mg_raft_ready(const mg_raft *r);
/* Whether this member leads and has applied all entries that were committed
   until MG_RAFT_ELECTION_MAX_MS ago. One that has just thawed may lead no
   more, which the others' acknowledgements tell, but not the role. */
bool
mg_raft_is_current(const mg_raft *r);

#endif
