/*
 * mesh - membership, state propagation and load reports between nodes
 *
 * Some nodes are hubs, which relay messages; every node keeps a link to every
 * hub. Changes (a node or target joins, leaves or changes state) go to all
 * hubs, and each hub forwards them to all nodes immediately. Periodic
 * messages (heartbeats, load reports) go to one hub, preferably in the
 * sender's own failure domain. This hub forwards them in batches to the other
 * hubs, and each hub to the nodes that subscribe to it. While a node has
 * recently lost contact with another one, it sends periodic messages to all
 * hubs and subscribes to a second one.
 *
 * Changes go before periodic messages: a hub holds its batches back while many
 * bytes wait to be sent, and then sends the newest report of each node only.
 * Batches, and the state that a new link gets, are packed (base/pack.h).
 *
 * The states of a node are ordered by its incarnation, then by a sequence
 * number; only a newer state is stored and forwarded, so that copies that
 * arrive late end at the first hub. The incarnation of a later start is higher
 * unless the clock was set back; then a hub tells the node the incarnation
 * that it must exceed.
 *
 * The mesh does not interpret instances and reports. The callbacks store
 * them; the result of on_instance decides whether and how the mesh forwards.
 */
#ifndef MG_MESH_H
#define MG_MESH_H

#include "base/check.h"
#include "base/clock.h"
#include "group/voters.h"
#include "topology/registry.h"
#include "wire/link.h"

#define MG_MESH_HUBS_MAX 7

/* a node as known from its own messages; kept after it expires (!live) */
typedef struct mg_mesh_node {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE]; /* its IP address */
    char front_addr[MG_ADDR_SIZE];
    char domain[MG_NAME_SIZE];
    char region[MG_NAME_SIZE];
    uint64_t incarnation;
    uint64_t seq;
    bool ready;
    bool has_disk;
    bool live;
    int64_t last_seen_ms;
    /* on a hub: batches are sent to this node until then */
    int64_t subscriber_until;
    uint64_t report_incarnation;
    uint64_t report_seq;
    mg_buf report;         /* on a hub: the newest one, encoded */
    unsigned report_flags; /* batches that it is still to be sent with */
    double request_rate;   /* requests per second, as reported */
    bool is_voter;
} mg_mesh_node;

typedef struct mg_mesh mg_mesh;

typedef struct mg_mesh_options {
    mg_net *net;
    mg_clock *clock;
    const char *node;
    const char *front_addr;
    const char *domain;
    const char *region;
    uint64_t incarnation; /* higher at each start of the node */
    bool has_disk;
    /* receives an announcement; returns whether it is a change */
    mg_announce_result (*on_instance)(void *user, const mg_announcement *a);
    void (*on_report)(void *user, const char *node, uint64_t incarnation,
                      mg_str loads);
    /* calls f for each instance that a hub sends to a newly linked node */
    void (*each_instance)(void *user,
                          void (*f)(void *to, const mg_announcement *a),
                          void *to);
    void *user;
} mg_mesh_options;

mg_mesh *
mg_mesh_new(const mg_mesh_options *opts);
/* Sets the nodes to keep links to in addition to the hubs. A starting node may
   know only these. */
void
mg_mesh_set_contacts(mg_mesh *m, const mg_voters *contacts, uint16_t port);
/* Sets the hubs, which are the voters of the log; this node may be one. */
void
mg_mesh_set_hubs(mg_mesh *m, const mg_voters *voters, uint16_t port);
/* Returns false if the message does not belong to the mesh. */
bool
mg_mesh_receive(mg_mesh *m, const char *peer, const mg_msg *msg);
/* Sends this node's state to a new peer; a hub sends all that it knows. */
void
mg_mesh_link_up(mg_mesh *m, const char *peer);
/* Sets whether clients may be sent to this node. */
void
mg_mesh_set_ready(mg_mesh *m, bool ready);
/* Propagates an announcement that this node received from a target. */
void
mg_mesh_announce(mg_mesh *m, const mg_announcement *a,
                 mg_announce_result result);
/* Sends this entry's load report and request rate to all other nodes. */
void
mg_mesh_report(mg_mesh *m, double rate, mg_str loads);
/* Sends to all hubs except this node itself. */
void
mg_mesh_send_to_hubs(mg_mesh *m, const mg_msg *msg);
bool
mg_mesh_is_hub(const mg_mesh *m);
/* Whether this node is the lead hub: the live hub whose name sorts first. */
bool
mg_mesh_is_lead_hub(const mg_mesh *m);
/* To be called about every 50 ms. */
void
mg_mesh_tick(mg_mesh *m);
/* Requests per second over all live nodes. */
double
mg_mesh_request_rate(const mg_mesh *m);
/* Stores up to max live and ready nodes, this one included if ready, and
   returns their number. The pointers are owned by the mesh. */
size_t
mg_mesh_ready_nodes(const mg_mesh *m, const mg_mesh_node **out, size_t max);
/* Whether any live node, this one included, has a data directory. */
bool
mg_mesh_has_disks(const mg_mesh *m);
/* Appends the comma-separated names of live nodes, this one included, that
   have a data directory. */
void
mg_mesh_list_disks(const mg_mesh *m, mg_buf *out);
/* Whether a node is known, live or not, and has no data directory. */
bool
mg_mesh_lacks_disk(const mg_mesh *m, const char *node);
/* Number of live nodes whose name sorts before this one's. */
size_t
mg_mesh_rank(const mg_mesh *m);
/* Number of live nodes, this one included. */
size_t
mg_mesh_live_count(const mg_mesh *m);
/* Whether this node can propagate changes soon: it has links to a majority of
   the hubs, itself counted, on which few bytes wait. */
bool
mg_mesh_connected(const mg_mesh *m);

#endif
