/*
 * group - a replica of the replicated log, run by a separate thread
 *
 * The thread owns the log, the data directory, the state machine and its
 * links, so that a stalled disk delays nothing else. Nodes reach it only over
 * links, including the node in the same process:
 *   PULL     requests the records changed since a revision; the reply is
 *            sent when there are some, or after wait_ms
 *   PROPOSE  submits a command to the log; the reply is PROPOSED after the
 *            command is applied, or NOT_LEADER if this is not the leader
 *   CONFIRM  requests the revision that a linearizable read must reach; the
 *            leader replies after a majority has confirmed it as the leader
 *
 * Voters are named by their IP address. The initial voters of a new group are
 * the seeds; after that a record of the log holds the voters (group/voters.h).
 * A replica whose host has no voter slot applies for one:
 *   CANDIDATE  sent by such a replica; the reply is SEATS
 *   SEATS      the voters, sent to peers that may have older ones
 *   CAN_LEARN  precedes CANDIDATE, except from builds before learners
 *   LEAVING    sent by a node that is about to stop: its voter slot is to be
 *              handed over, and it is to get none
 *   LEARN      sent by the leader to its learner: the slot in which it is to
 *              run the log, until it is a voter
 */
#ifndef MG_GROUP_H
#define MG_GROUP_H

#include "group/voters.h"

typedef struct mg_group mg_group;

typedef struct mg_group_options {
    const char *ip;           /* local IP address */
    const char *key;          /* authenticates the links */
    const char *link_addr;    /* IP:PORT to listen on */
    const char *data_dir;     /* empty: the log is kept in memory */
    mg_voters initial_voters; /* voters of a new group: the configured seeds */
    unsigned wanted_voters;   /* number of voter slots to reach */
    uint16_t link_port;       /* link port of every voter */
    size_t unsent_max; /* bytes that wait for all peers; 0: the default */
    bool new_group; /* first start of the group; data directories are empty */
} mg_group_options;

mg_rc
mg_group_start(mg_group **out, const mg_group_options *opts, mg_error *err);
/* Stops the thread, waits for it and frees g. */
void
mg_group_stop(mg_group *g);

#endif
