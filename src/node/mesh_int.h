/*
 * mesh_int - state of the mesh of a node, and the batches of a hub
 *
 * mesh.c: membership, hubs, messages received; mesh_batch.c: what a hub
 * forwards in batches.
 */
#ifndef MG_MESH_INT_H
#define MG_MESH_INT_H

#include "node/mesh.h"

/* a node for which more bytes than this wait is passed over, and a hub counts
   as not reached */
#define MG_MESH_PEER_UNSENT_MAX (64u << 10)

typedef struct mg_mesh_hub {
    char node[MG_NAME_SIZE];
    int64_t last_seen_ms;
    int64_t avoid_until;
} mg_mesh_hub;

/* heartbeats of nodes and instances that a hub has not yet forwarded, encoded;
   reports are kept with their nodes */
typedef struct mg_mesh_heartbeats {
    mg_buf nodes;
    mg_buf instances;
} mg_mesh_heartbeats;

/* encoded messages that a hub forwards together */
typedef struct mg_mesh_batch {
    mg_mesh_heartbeats heartbeats;
    mg_buf reports;
} mg_mesh_batch;

/* to whom a node's newest report is still to be forwarded */
enum { MG_REPORT_TO_HUBS = 1, MG_REPORT_TO_SUBSCRIBERS = 2 };

struct mg_mesh {
    mg_mesh_options opts;
    mg_mesh_node self;
    mg_mesh_hub hubs[MG_MESH_HUBS_MAX]; /* without this node */
    size_t hub_count;
    mg_voters contacts;
    mg_mesh_hub *primary;   /* receives periodic messages; NULL: none yet */
    mg_mesh_hub *secondary; /* also sends batches while a node is missing */
    int64_t primary_since;
    bool is_hub;
    bool missing;        /* some node has been silent for MISSING_MS */
    mg_mesh_node *nodes; /* without this node */
    /* the highest incarnation of this node that another one knows, 0: none
       above the current one */
    uint64_t incarnation_to_exceed;
    int64_t announce_at;
    int64_t batch_at;
    uint64_t report_seq;
    mg_mesh_heartbeats to_hubs;
    mg_mesh_heartbeats to_subscribers;
    /* the batch that is being sent to subscribers, from next_subscriber on;
       the next batch starts when all have got it */
    mg_mesh_batch current;
    mg_mesh_node *next_subscriber;
};

/* Packs encoded messages that are sent together, unless they are few. */
void
mg_mesh_pack(mg_buf *messages);
/* Keeps a report for the next batches in place of the node's last one. */
void
mg_mesh_keep_report(mg_mesh_node *n, const mg_msg *msg, unsigned flags);
/* Sends batches that are due to the other hubs and to subscribers, unless too
   many bytes wait to be sent. To be called periodically, on a hub only. */
void
mg_mesh_forward_batches(mg_mesh *m, int64_t now);

#endif
