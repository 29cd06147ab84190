/*
 * mesh - how nodes find each other and what they tell each other
 *
 * Some nodes are hubs. Every node keeps a link to every hub. Changes (a node
 * or a target that comes, leaves, changes its state) go to all hubs and from
 * each of them to all nodes at once. What is said all the time (signs of
 * life, what each entry has under way) goes to one hub, of the node's own
 * failure domain if possible, from there in batches to the other hubs, and
 * from each to the nodes that use it. A node that no longer hears some other
 * node uses all hubs until it does.
 *
 * The mesh decides nothing about instances and reports; the node's tables
 * tell by their outcome whether something is news and is passed on.
 */
#ifndef MG_MESH_H
#define MG_MESH_H

#include "base/check.h"
#include "base/clock.h"
#include "group/seats.h"
#include "topology/registry.h"
#include "wire/link.h"

#define MG_MESH_HUBS_MAX 7

/* a live node, as others see it */
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
    int64_t subscriber_until; /* of a hub: the node gets batches until then */
    uint64_t report_incarnation;
    uint64_t report_seq;
    double request_rate; /* requests in a second, as it reports */
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
    uint64_t incarnation;
    bool has_disk;
    /* an announcement came; the result says whether it is news */
    mg_announce_result (*on_instance)(void *user, const mg_announcement *a);
    void (*on_report)(void *user, const char *node, uint64_t incarnation,
                      mg_str loads);
    /* calls f for what a hub tells a node that has just come */
    void (*each_instance)(void *user,
                          void (*f)(void *to, const mg_announcement *a),
                          void *to);
    void *user;
} mg_mesh_options;

mg_mesh *
mg_mesh_new(const mg_mesh_options *opts);
/* Nodes that links are kept to beside those to the hubs: who starts anew may
   know only them. */
void
mg_mesh_set_contacts(mg_mesh *m, const mg_seats *contacts, uint16_t port);
/* The hubs, by IP address; this node may be among them. */
void
mg_mesh_set_hubs(mg_mesh *m, const mg_seats *seats, uint16_t port);
/* false when the message is not the mesh's. */
bool
mg_mesh_receive(mg_mesh *m, const char *peer, const mg_msg *msg);
void
mg_mesh_link_up(mg_mesh *m, const char *peer);
/* Whether callers may be sent to this node. */
void
mg_mesh_set_ready(mg_mesh *m, bool ready);
/* Tells all others of an announcement that came to this node. */
void
mg_mesh_announce(mg_mesh *m, const mg_announcement *a,
                 mg_announce_result result);
/* Tells all others what this entry has under way, and its rate of requests. */
void
mg_mesh_report(mg_mesh *m, double rate, mg_str loads);
/* To all hubs, of which this node may be one: itself is not told. */
void
mg_mesh_send_to_hubs(mg_mesh *m, const mg_msg *msg);
bool
mg_mesh_is_hub(const mg_mesh *m);
/* Whether this node is the first of the live hubs. */
bool
mg_mesh_is_lead_hub(const mg_mesh *m);
/* Every 50 ms or so. */
void
mg_mesh_tick(mg_mesh *m);
/* Requests in a second at all live nodes. */
double
mg_mesh_request_rate(const mg_mesh *m);
/* Live and ready nodes, this one included when it is ready. */
size_t
mg_mesh_ready_nodes(const mg_mesh *m, const mg_mesh_node **out, size_t max);
/* Whether any live node, this one included, has a disk. */
bool
mg_mesh_has_disks(const mg_mesh *m);
/* Live nodes whose name is before this one's. */
size_t
mg_mesh_rank(const mg_mesh *m);
size_t
mg_mesh_live_count(const mg_mesh *m);
/* Whether what this node is told reaches the others: it has links to most
   hubs. */
bool
mg_mesh_connected(const mg_mesh *m);

#endif
