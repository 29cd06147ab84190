/*
 * node_int - what the parts of a node share
 *
 * node.c: links, records, targets, time, start and end; node_orders.c: what
 * operators order and ask; node_entries.c: which hosts take callers.
 */
#ifndef MG_NODE_INT_H
#define MG_NODE_INT_H

#include "base/loopwatch.h"
#include "node/node.h"
#include "node/target_file.h"

#define MG_NODE_ENTRIES_MAX 1024

struct mg_node {
    uv_loop_t *loop;
    mg_clock *clock;
    mg_node_settings settings;
    mg_document_codec *codec;
    uint64_t incarnation;
    mg_net *net;
    mg_mesh *mesh;
    mg_group *group; /* NULL: no voter */
    mg_group_client *client;
    mg_registry *registry;
    mg_gateway *gateway;
    mg_rollout_manager *rollouts;
    mg_http_server *client_server;
    uv_timer_t timer;
    uv_prepare_t prepare;
    int64_t report_at;
    int64_t sweep_at;
    int64_t stats_at;
    int64_t entries_at;
    const mg_mesh_node *advertised[MG_NODE_ENTRIES_MAX]; /* to callers */
    size_t advertised_count;
    uint64_t rate_requests; /* requests when the rate was last looked at */
    int64_t rate_at;
    double request_rate; /* requests in a second */
    int64_t opened_at;
    mg_target_file *target_file; /* NULL: no data folder */
    int64_t save_at;             /* 0: nothing has changed */
    mg_loopwatch watch;
    mg_seats voters; /* voters of the log, who are hubs too */
    mg_buf document; /* text in force */
    uint64_t document_version;
    int64_t drain_since; /* 0: not draining */
};

/* node_orders.c */
/* The log holds a document. */
void
mg_node_apply_section(mg_node *n, const mg_rec_section_msg *s);
/* Passes on what entries sent and saw for moves. */
void
mg_node_send_rollout_samples(mg_node *n);
double
mg_node_running_on_others(void *user, const char *service,
                          const char *version);

/* node_entries.c */
/* Chooses the hosts that take callers and tells the gateway who shares the
   slots; does so now and then only. */
void
mg_node_update_entries(mg_node *n, int64_t now);
/* Requests in a second, lately. */
void
mg_node_measure_rate(mg_node *n, int64_t now);

#endif
