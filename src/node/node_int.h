/*
 * node_int - internal state of a node
 *
 * node.c: links, records, targets, timers, startup and shutdown;
 * node_operator.c: operator commands; node_entries.c: advertised hosts.
 */
#ifndef MG_NODE_INT_H
#define MG_NODE_INT_H

#include "base/loopwatch.h"
#include "node/node.h"
#include "node/target_file.h"

#define MG_NODE_ENTRIES_MAX 1024
#define MG_NODE_SERVERS_MAX 8

struct mg_node {
    uv_loop_t *loop;
    mg_clock *clock;
    mg_node_settings settings;
    mg_document_codec *codec;
    uint64_t incarnation;
    mg_net *net;
    mg_mesh *mesh;
    bool withdrawn;  /* see mg_directory_withdraw() */
    mg_group *group; /* local replica of the log; NULL: none */
    mg_group_client *client;
    mg_registry *registry;
    mg_gateway *gateway;
    mg_rollout_manager *rollouts;
    mg_http_server *client_server;
    mg_http_server *relay_server;
    /* all of them; the process ends once their responses are written */
    mg_http_server *servers[MG_NODE_SERVERS_MAX];
    size_t server_count;
    uv_timer_t timer;
    uv_prepare_t prepare;
    int64_t report_at;
    int64_t sweep_at;
    int64_t stats_at;
    int64_t entries_at;
    int64_t disk_hosts_at;
    const mg_mesh_node *advertised[MG_NODE_ENTRIES_MAX]; /* to clients */
    size_t advertised_count;
    uint64_t rate_requests; /* total at the last update of the rate */
    int64_t rate_at;
    double request_rate; /* requests per second */
    int64_t opened_at;
    mg_target_file *target_file; /* NULL: no data directory */
    int64_t save_at;             /* 0: no unsaved change */
    mg_loopwatch watch;
    mg_voters voters; /* of the log; they are also the hubs */
    mg_buf document;  /* text of the current document */
    /* Of a document that came before other records of the log: which versions
       get requests, for one, isn't known yet. NULL: none */
    mg_routing *held_routing;
    bool records_current;
    uint64_t document_version;
    int64_t drain_since; /* 0: not draining */
    int64_t leaving_at;  /* when the voters are told so again */
};

/* node_operator.c */
/* Applies a configuration document of the log, unless it is outdated. */
void
mg_node_apply_section(mg_node *n, const mg_rec_section_msg *s);
/* All records of the log are known: puts the document in force. */
void
mg_node_use_held_routing(mg_node *n);
/* Sends this entry's request counts and rollout samples to the hubs. */
void
mg_node_send_rollout_samples(mg_node *n);
/* Callbacks of the rollout manager; user is the node. */
mg_rc
mg_node_find_service(void *user, const char *service);
double
mg_node_running_on_others(void *user, const char *service,
                          const char *version);

/* node_entries.c */
/* Selects the advertised hosts and passes them to the gateway, which allocates
   the target slots among them. Runs at most every 200 ms. */
void
mg_node_update_entries(mg_node *n, int64_t now);
/* Withdraws this host, or ends that, as it is cut off from a service or not.
 */
void
mg_node_update_withdrawn(mg_node *n);
/* Updates the moving average of the request rate. */
void
mg_node_measure_rate(mg_node *n, int64_t now);

#endif
