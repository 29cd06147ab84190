/*
 * group - a voter of the replicated log, in a thread of its own
 *
 * The thread owns the log, the data folder, the state machine and its links,
 * so that a disk that stalls holds up nothing else. Nodes talk to it over
 * links only, also the node of the same process:
 *   PULL     records changed since a revision; answered when there are some,
 *            or when wait_ms is over
 *   PROPOSE  a command for the log; PROPOSED when it was applied, NOT_LEADER
 *            elsewhere than at the leader
 *   CONFIRM  the revision up to which a read is current: answered by a
 *            leader that a majority has confirmed after the question came
 *
 * Members name each other by IP address. The voters of a new group are the
 * seeds; later the log itself says who holds which seat (group/seats.h), and
 * a host with a disk and no seat offers itself:
 *   CANDIDATE  from such a host; answered with SEATS
 *   SEATS      the table, where a newer one is known
 */
#ifndef MG_GROUP_H
#define MG_GROUP_H

#include "group/voters.h"

typedef struct mg_group mg_group;

typedef struct mg_group_options {
    const char *ip;           /* own IP address */
    const char *key;          /* of the links */
    const char *link_addr;    /* IP:PORT to listen on */
    const char *data_dir;     /* empty: the log is kept in memory */
    mg_voters initial_voters; /* rev 0: the seeds, who are the voters of a new
                                 group */
    unsigned wanted_voters;   /* seats that the group should have */
    uint16_t link_port;       /* of every voter */
    bool new_group; /* this folder's first start, with all the others */
} mg_group_options;

mg_rc
mg_group_start(mg_group **out, const mg_group_options *opts, mg_error *err);
/* Ends the thread and waits for it. */
void
mg_group_stop(mg_group *g);

#endif
