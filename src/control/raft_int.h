/*
 * raft_int - state of a member of the replicated log, and its log in memory
 *
 * raft.c: replication; raft_vote.c: roles and elections; raft_log.c: entries
 * and snapshot.
 */
#ifndef MG_RAFT_INT_H
#define MG_RAFT_INT_H

#include "control/raft.h"

struct mg_raft_stored_entry {
    uint64_t term;
    char *data;
    size_t size;
};

struct mg_raft_peer {
    uint64_t next_index;  /* of the next entry to send */
    uint64_t match_index; /* highest index known to be synced there */
    uint64_t acked_round; /* last round that it acknowledged */
    uint64_t uid;         /* of the disk that match_index refers to */
    bool voter;
    bool vacant;  /* no node holds this voter slot */
    bool learner; /* its slot does not count yet */
    bool vote_granted;
    int64_t last_received_ms;
    int64_t last_sent_ms;
    int64_t next_readmit_ms; /* earliest time of the next READMIT */
};

struct mg_raft {
    unsigned id;
    unsigned n;
    unsigned outgoing; /* slots, see mg_raft_set_swap() */
    unsigned incoming;
    mg_raft_callbacks *callbacks;
    mg_clock *clock;
    mg_rng rng;
    mg_raft_meta meta;
    mg_raft_role role;
    unsigned leader;
    int64_t election_deadline_ms; /* start of the next election or pre-vote */
    int64_t leader_contact_ms;    /* last message from the leader */
    int64_t next_heartbeat_ms;    /* leader only */
    uint64_t round;
    uint64_t mark_round; /* leader only: a round, not confirmed at first */
    int64_t mark_ms;     /* its start */
    int64_t led_ms;      /* start of the round marked before it */
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t synced_index;       /* last entry known to be on the local disk */
    uint64_t leader_first_index; /* leader only: first entry of its term */
    bool unsynced; /* entries appended or truncated since the sync's start */
    bool syncing;
    uint64_t syncing_index; /* last entry that the sync in progress covers */
    bool reply_pending;     /* follower: an acknowledgement is to be sent */
    uint64_t reply_round;
    uint64_t replied_round; /* follower: the last round it acknowledged */
    uint64_t reply_match;   /* highest index known to match the leader's log */
    bool stopped;           /* storage has failed */
    /* log[i] has index snap_index + 1 + i */
    struct mg_raft_stored_entry *log;
    size_t log_count;
    size_t log_cap;
    size_t log_bytes; /* of the entries' data */
    uint64_t snap_index;
    uint64_t snap_term;
    mg_buf snap;
    struct mg_raft_peer peers[MG_RAFT_MAX_MEMBERS + 1];
};

/* Whether a member counts for majorities. */
bool
mg_raft_counts(const mg_raft *r, unsigned slot);
/* Number of voter slots that are a majority of the assigned ones, without the
   one to skip. */
unsigned
mg_raft_majority(const mg_raft *r, unsigned skip);
/* Whether these slots, by number, are a majority. */
bool
mg_raft_is_majority(const mg_raft *r, const bool *slots);
/* Stores term, vote and voter flag; returns whether they are stored. */
bool
mg_raft_save_meta(mg_raft *r);
void
mg_raft_reset_election_timer(mg_raft *r);
/* Sets the delay before the next pre-vote; it is shorter than the election
   timeout, because pre-votes do not disturb a leader. */
void
mg_raft_set_prevote_timer(mg_raft *r);
/* The term must not be less than the current one. */
void
mg_raft_become_follower(mg_raft *r, uint64_t term, unsigned leader);
/* Starts an election, or a pre-vote if pre. */
void
mg_raft_start_election(mg_raft *r, bool pre);
void
mg_raft_on_vote_req(mg_raft *r, unsigned from, const mg_vote_req_msg *q);
void
mg_raft_on_vote_rep(mg_raft *r, unsigned from, const mg_vote_rep_msg *p);
/* Leader only: a new round; its start is kept, to tell what it confirms. */
void
mg_raft_start_marked_round(mg_raft *r);
/* Sends new entries, or a heartbeat, to each other member. */
void
mg_raft_send_to_all(mg_raft *r);

/* Term of an entry or of the snapshot; 0 if the log has no such index. */
uint64_t
mg_raft_log_term_at(const mg_raft *r, uint64_t index);
/* The index must be in the log. */
mg_raft_entry
mg_raft_log_entry_at(const mg_raft *r, uint64_t index);
/* Appends an entry in memory only. */
void
mg_raft_log_push(mg_raft *r, uint64_t term, mg_str data);
/* Appends an entry, which is durable after the next sync. */
bool
mg_raft_log_append(mg_raft *r, uint64_t term, mg_str data);
/* Removes the entries from index on, none of them committed. */
bool
mg_raft_log_truncate(mg_raft *r, uint64_t index);
void
mg_raft_log_clear(mg_raft *r);
/* Replaces the snapshot and removes the entries up to index. */
void
mg_raft_log_set_snapshot(mg_raft *r, uint64_t index, uint64_t term,
                         mg_str data);
/* Stops the member if rc is an error; returns whether it is MG_OK. */
bool
mg_raft_check_storage(mg_raft *r, mg_rc rc);

#endif
