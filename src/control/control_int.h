/*
 * control_int - declarations shared by control.c and entries.c
 */
#ifndef MG_CONTROL_INT_H
#define MG_CONTROL_INT_H

#include <uthash.h>

#include "base/list.h"
#include "control/control.h"
#include "control/operator.h"
#include "control/raft_disk.h"

/* a proposed command that is not applied yet, by log index */
struct pending_command {
    UT_hash_handle hh;
    uint64_t index;
    uint64_t term;
    mg_apply_cb done;
    void *user;
};

/* a lease renewal that waits for its round to be confirmed */
struct renewal {
    struct list_head link;
    char node[MG_NAME_SIZE];
    uint64_t seq;
    uint64_t incarnation;
    uint64_t applied_rev;
    bool probe; /* asks for changed records only, not for a lease */
    uint64_t round;
};

/* what the leader knows of an entry besides its MEMBER record */
struct entry_status {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE];
    uint64_t incarnation;
    uint64_t applied_rev;
    bool record_pending;
};

/* what the leader knows of the assignment of a pool's scheduler */
struct pool_status {
    UT_hash_handle hh;
    char pool[MG_NAME_SIZE];
    int64_t retry_ms; /* earliest time of the next assignment */
};

struct mg_control {
    /* must be the first member: pointers to it are cast to mg_control */
    mg_raft_disk disk;
    uv_loop_t *loop;
    uv_timer_t timer;
    mg_clock *clock;
    mg_settings settings;
    unsigned id;
    uint64_t incarnation;
    mg_state *state;
    mg_net *net;
    mg_http_server *http;
    mg_operator *operator_api;
    mg_lease_table *leases;
    struct pending_command *pending_commands;
    struct list_head renewals;
    struct entry_status *entries;
    struct pool_status *pools;
    /* Raft round shared by the renewals that arrive in one loop iteration;
       0: not started yet */
    uint64_t renewal_round;
    uint64_t seen_document_rev;
    int64_t document_changed_ms;
    uint64_t in_force_rev;
    int64_t next_leader_tick_ms;
    int64_t lease_quorum_since_ms; /* 0: no majority holds leases */
    bool failed;
};

/* control.c */
void
mg_control_reply_not_leader(mg_control *c, const char *peer, uint64_t seq);

/* entries.c */
void
mg_entries_on_renew(mg_control *c, const char *peer, const mg_renew_msg *q);
/* Replies to the renewals whose round a majority has confirmed. */
void
mg_entries_reply_confirmed(mg_control *c);
/* Leader only: updates the revision in force and assigns schedulers. */
void
mg_entries_leader_tick(mg_control *c);
/* To be called when this member has won or lost leadership. */
void
mg_entries_role_changed(mg_control *c);

#endif
