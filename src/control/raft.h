/*
 * raft - a replicated log (Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014), with pre-vote, leader step-down
 * without quorum, and readmission of members that lost their disk
 *
 * An mg_raft is a pure state machine: it is fed messages and the time, and
 * acts through the calls of mg_raft_callbacks. It opens no socket and no file.
 *
 * Members are the seats 1..n, n <= 7. Who holds a seat is the host's matter:
 * it tells with mg_raft_set_voter_slot() when a committed entry has changed
 * that, one seat at a time, a seat being vacant before it has another holder.
 * A majority is of all n seats.
 *
 * What always holds:
 *  - an entry is reported committed only when a majority of voters has it on
 *    disk; at one index all members apply the same entry;
 *  - a vote and a term are on disk before they are told to anyone;
 *  - a member that lost its disk has a new uid and neither votes nor is
 *    counted until it holds a committed READMIT entry with that uid, that
 *    is, until it has all that was committed before.
 *
 * Durability is grouped: entries go to the host's append as they come and to
 * its sync once in mg_raft_flush(), which the host calls once in each turn
 * of its loop; acknowledgements leave after the sync.
 */
#ifndef MG_RAFT_H
#define MG_RAFT_H

#include "base/clock.h"
#include "wire/msg.h"

#define MG_RAFT_MAX_MEMBERS 7
#define MG_RAFT_HEARTBEAT_MS 100
#define MG_RAFT_ELECTION_MIN_MS 500
#define MG_RAFT_ELECTION_MAX_MS 900
/* a member that has just started, or asks for pre-votes, hears of a leader
   within this if there is one */
#define MG_RAFT_PREVOTE_MIN_MS 150
#define MG_RAFT_PREVOTE_MAX_MS 400
/* a member may get its READMIT within a snapshot, which does not tell it */
#define MG_RAFT_READMIT_RETRY_MS 1000
#define MG_RAFT_BATCH_BYTES (1u << 20)

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

/* what a member keeps besides its log and snapshot */
typedef struct mg_raft_meta {
    uint64_t term;
    uint64_t vote; /* member voted for in term, 0 for none */
    uint64_t uid;  /* identity of this data folder */
    uint64_t voter;
} mg_raft_meta;

typedef struct mg_raft_callbacks mg_raft_callbacks;
struct mg_raft_callbacks {
    /* may lose, delay or double the message */
    void (*send)(mg_raft_callbacks *h, unsigned to, const mg_msg *m);
    /* durable when it returns MG_OK */
    mg_rc (*save_meta)(mg_raft_callbacks *h, const mg_raft_meta *meta);
    /* buffered until sync */
    mg_rc (*append)(mg_raft_callbacks *h, const mg_raft_entry *e);
    /* drops all entries from index on; durable with the next sync */
    mg_rc (*truncate)(mg_raft_callbacks *h, uint64_t index);
    mg_rc (*sync)(mg_raft_callbacks *h);
    /* durable when it returns; entries up to index are dropped */
    mg_rc (*save_snapshot)(mg_raft_callbacks *h, uint64_t index, uint64_t term,
                           mg_str data);
    /* a committed entry, in order; never READMIT or no-op entries twice */
    void (*apply)(mg_raft_callbacks *h, const mg_raft_entry *e);
    /* replaces the state machine by a snapshot */
    void (*restore)(mg_raft_callbacks *h, mg_str data);
    void (*role_changed)(mg_raft_callbacks *h, mg_raft_role role,
                         uint64_t term);
    /* storage failed: the member must stop */
    void (*failed)(mg_raft_callbacks *h, mg_rc rc);
};

typedef struct mg_raft mg_raft;

typedef struct mg_raft_options {
    unsigned id; /* 1..members */
    unsigned members;
    mg_raft_callbacks *callbacks;
    mg_clock *clock;
    uint64_t seed; /* of the election timer */
    mg_raft_meta meta;
    /* from disk: snapshot (index 0 for none) and entries after it */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    mg_str snapshot;
    const mg_raft_entry *entries; /* copied */
    size_t entry_count;
    uint64_t commit_index; /* known to be committed: applied at once */
} mg_raft_options;

mg_raft *
mg_raft_new(const mg_raft_options *opts);
void
mg_raft_free(mg_raft *r);

/*
 * A seat has another holder (taken) or none. A new holder is not counted
 * until it is readmitted. A seat above n makes the group larger.
 */
void
mg_raft_set_voter_slot(mg_raft *r, unsigned seat, bool taken);
/* Since a seat's holder was heard by this leader, ms. */
int64_t
mg_raft_contact_age_ms(const mg_raft *r, unsigned seat);
/* Whether every holder of a seat votes, as this leader knows. */
bool
mg_raft_all_members_vote(const mg_raft *r);
void
mg_raft_tick(mg_raft *r);
void
mg_raft_receive(mg_raft *r, unsigned from, const mg_msg *m);
/*
 * Adds a command to the log. MG_E_NO_LEADER unless this member leads. On
 * MG_OK *index and *term tell where it will be applied if it is committed;
 * another term applied at that index means that it was lost.
 */
mg_rc
mg_raft_propose(mg_raft *r, mg_str data, uint64_t *index, uint64_t *term);
/* Syncs what was appended, then sends what waits for that. */
void
mg_raft_flush(mg_raft *r);
/*
 * Keeps state as the snapshot at the last applied index and drops the log
 * up to there.
 */
void
mg_raft_compact(mg_raft *r, mg_str state);

/*
 * Starts a round of contact with the members and returns its number. When
 * mg_raft_confirmed_round() has reached it, this member was the leader after
 * the call (a read or a lease granted before the call is valid).
 */
uint64_t
mg_raft_start_round(mg_raft *r);
uint64_t
mg_raft_confirmed_round(const mg_raft *r);

mg_raft_role
mg_raft_get_role(const mg_raft *r);
/* member that leads as far as known, 0 for none */
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
/* entries since the snapshot */
size_t
mg_raft_log_length(const mg_raft *r);
bool
mg_raft_is_voter(const mg_raft *r);
/* the leader has applied an entry of its own term */
bool
mg_raft_ready(const mg_raft *r);

#endif
