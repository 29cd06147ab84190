/*
 * group_int - what group.c and group_seats.c share
 */
#ifndef MG_GROUP_INT_H
#define MG_GROUP_INT_H

#include <pthread.h>

#include <uthash.h>

#include "base/list.h"
#include "control/raft_disk.h"
#include "control/state.h"
#include "group/group.h"
#include "wire/link.h"

#define MG_GROUP_CANDIDATES_MAX 32
/* after a failure of the data folder, before it is opened again */
#define MG_GROUP_REOPEN_MS 500

/* a proposed command that waits to be applied */
struct proposal {
    UT_hash_handle hh;
    uint64_t index;
    uint64_t term;
    char peer[MG_NAME_SIZE];
    uint64_t seq;
};

/* a question that waits: for records, or for a round of the log */
struct question {
    struct list_head link;
    char peer[MG_NAME_SIZE];
    uint64_t seq;
    uint64_t rev;
    uint64_t round;
    int64_t until;
};

struct mg_group {
    mg_raft_disk disk; /* first: raft gives it back */
    pthread_t thread;
    uv_loop_t loop;
    uv_timer_t timer;
    uv_async_t stop;
    mg_clock *clock;
    char peer_name[MG_NAME_SIZE];
    char key[MG_NAME_SIZE];
    char link_addr[MG_ADDR_SIZE];
    char data_dir[MG_TEXT_SIZE];
    char ip[MG_NAME_SIZE];
    mg_voters voters;
    mg_voters initial_voters;
    unsigned wanted_voters;
    unsigned slot; /* own seat from 1, 0: none */
    uint16_t link_port;
    bool new_group;
    bool own_slot_changed; /* the log took this member's seat away */
    mg_voter_candidate candidates[MG_GROUP_CANDIDATES_MAX];
    size_t candidate_count;
    uint64_t pending_change_index; /* entry of a step under way, 0: none */
    int64_t next_voters_check_ms;
    int64_t next_candidacy_ms;
    mg_net *net;
    mg_state *state;
    struct proposal *proposals;
    struct list_head pulls;
    struct list_head confirms;
    uint64_t confirm_round; /* round of this turn's questions, 0 for none */
    int64_t reopen_at_ms;
    bool storage_failed;
};

/* The state machine may hold a newer table: the log goes on with it. */
void
mg_group_adopt_committed_voters(mg_group *g);
/* Keeps links to the holders of this table. */
void
mg_group_set_voters(mg_group *g, const mg_voters *t);
void
mg_group_dial_voter(mg_group *g, const char *ip);
void
mg_group_save_voters(mg_group *g);
/* Seat of a peer, 0 when it has none. */
unsigned
mg_group_slot_of_peer(const mg_group *g, const char *peer);
void
mg_group_send_voters(mg_group *g, const char *peer);
void
mg_group_on_candidate(mg_group *g, const char *peer, mg_str node);
/* A table from elsewhere: for a member without a seat, or that lost it. */
void
mg_group_on_voters(mg_group *g, const mg_seats_msg *q);
/* The leader gives seats of dead holders to hosts that offer themselves. */
void
mg_group_check_voters(mg_group *g, int64_t now);
/* A host without a seat offers itself. */
void
mg_group_send_candidacy(mg_group *g, int64_t now);

#endif
