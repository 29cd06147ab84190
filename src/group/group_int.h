/*
 * group_int - declarations shared by group.c and group_voters.c
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
/* delay before the data directory is reopened after a storage failure, ms */
#define MG_GROUP_REOPEN_MS 500

/* time in which the hosts of a new group report whether they have a disk, ms
 */
#define MG_GROUP_DISCOVERY_MS 2000
/* a new group takes commands after this time, whatever its voters are, ms */
#define MG_GROUP_FORMING_MAX_MS 8000

/* a proposed command that is not applied yet */
struct proposal {
    UT_hash_handle hh;
    uint64_t index;
    uint64_t term;
    char peer[MG_NAME_SIZE];
    uint64_t seq;
};

/* a PULL that waits for records, or a CONFIRM that waits until its round is
   confirmed by a majority */
struct waiting_request {
    struct list_head link;
    char peer[MG_NAME_SIZE];
    uint64_t seq;
    uint64_t rev;
    uint64_t round;
    int64_t deadline_ms;
};

struct mg_group {
    mg_raft_disk disk; /* first member: callbacks cast it to mg_group */
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
    unsigned slot; /* of this host, a voter or a learner, from 1; 0: none */
    mg_voters_learner learner; /* this host's, as the leader */
    uint16_t link_port;
    size_t unsent_max;
    bool new_group;
    bool local_slot_changed; /* gained or lost; the log must be reopened */
    mg_voter_candidate candidates[MG_GROUP_CANDIDATES_MAX];
    size_t candidate_count;
    /* hosts that have said that they are about to stop */
    mg_voter_candidate leaving[MG_GROUP_CANDIDATES_MAX];
    size_t leaving_count;
    /* as the node of this process reported them in DISK_HOSTS */
    mg_buf disk_hosts;
    mg_buf hosts_without_disk;
    int64_t started_ms;
    /* log index of the last change of the voters that was proposed here,
       0: none */
    uint64_t pending_change_index;
    int64_t next_voters_check_ms;
    int64_t next_candidacy_ms;
    mg_net *net;
    mg_state *state;
    struct proposal *proposals;
    struct list_head pulls;
    struct list_head confirms;
    /* round that confirms the leader for all CONFIRMs received in this
       iteration of the thread's loop, 0: none */
    uint64_t confirm_round;
    int64_t reopen_at_ms;
    bool storage_failed;
};

/* Adopts the voters that the state machine holds, if they are newer. */
void
mg_group_adopt_committed_voters(mg_group *g);
/* Replaces the voters and connects to exactly these. */
void
mg_group_set_voters(mg_group *g, const mg_voters *v);
void
mg_group_dial_voter(mg_group *g, const char *ip);
void
mg_group_save_voters(mg_group *g);
/* Returns the address of the host in a slot, this host's learner included. */
const char *
mg_group_ip_in_slot(const mg_group *g, unsigned slot);
/* Returns the slot of a link peer, a voter or this host's learner, from 1;
   0: none. */
unsigned
mg_group_slot_of_peer(const mg_group *g, const char *peer);
void
mg_group_send_voters(mg_group *g, const char *peer);
void
mg_group_on_candidate(mg_group *g, const char *peer, mg_str ip);
void
mg_group_on_can_learn(mg_group *g, mg_str ip);
/* A peer may have started again, with a build that can't be a learner. */
void
mg_group_on_candidate_up(mg_group *g, const char *peer);
/* A host is about to stop. */
void
mg_group_on_leaving(mg_group *g, mg_str ip);
/* Becomes the learner of the leader. */
void
mg_group_on_learn(mg_group *g, const mg_learn_msg *msg);
/* Adopts newer voters received from a peer; a peer whose voters are older is
   told these. */
void
mg_group_on_voters(mg_group *g, const char *peer, const mg_seats_msg *msg);
void
mg_group_on_disk_hosts(mg_group *g, const mg_disk_hosts_msg *msg);
/* On the leader: replaces voters that are dead, leave or have no disk by
   candidates, adds missing ones. */
void
mg_group_check_voters(mg_group *g, int64_t now);
/* On the leader: whether commands may be committed. In a new group they wait
   until its voters have disks, or for MG_GROUP_FORMING_MAX_MS. */
bool
mg_group_accepts_commands(mg_group *g);
/* Applies for a voter slot, on a host that has none. A learner goes on: a new
   leader doesn't know it. */
void
mg_group_send_candidacy(mg_group *g, int64_t now);

#endif
