/*
 * node_settings - the TOML settings file of a node
 *
 * A node serves clients, targets and operators. A node with a data directory
 * that is listed as a seed is also a voter of the replicated log. If no host
 * has a data directory, some hosts keep the log in memory.
 */
#ifndef MG_NODE_SETTINGS_H
#define MG_NODE_SETTINGS_H

#include "base/check.h"
#include "group/group.h"

typedef struct mg_node_settings {
    char node[MG_NAME_SIZE];
    char ip[MG_NAME_SIZE];
    char domain[MG_NAME_SIZE];
    char region[MG_TEXT_SIZE];
    char data_dir[MG_TEXT_SIZE]; /* empty: none */
    char log_level[MG_NAME_SIZE];
    char link_key[MG_NAME_SIZE];
    bool new_group; /* first start of the whole cluster */
    /* numbers of hosts with a data_dir, of failure domains or of regions
       whose failure at the same time must be tolerated */
    int64_t faults;
    int64_t fault_domains;
    int64_t fault_regions;
    int64_t link_port; /* of the replicated log; the next two are the mesh's
                          and that of requests from other entries */
    /* limit of what waits to be sent to other hosts, MB; the mesh and the
       replicated log get half each */
    int64_t unsent_max_mb;
    /* listen addresses; empty: disabled */
    char clients_addr[MG_TEXT_SIZE];
    char ready_addr[MG_TEXT_SIZE];
    char control_addr[MG_TEXT_SIZE];
    char directory_addr[MG_TEXT_SIZE];
    char metrics_addr[MG_TEXT_SIZE];
    char seeds[MG_VOTERS_MAX][MG_NAME_SIZE]; /* IP addresses */
    size_t seed_count;
    double retry_ratio;
    int64_t retry_slack;
    double retry_window_s;
    double quota_window_s;
    double quota_overage;   /* tolerated excess, as a fraction of the quota */
    double quota_margin;    /* tokens per window beyond the quota */
    double directory_ttl_s; /* how long clients cache the directory */
    double grace_s;         /* longest time from SIGTERM to exit */
    int64_t ack_ms;         /* timeout of an operator command */
} mg_node_settings;

/* Number of voters that the replicated log should have. */
unsigned
mg_node_settings_voter_count(const mg_node_settings *s);
/* Limit of unsent bytes of the mesh's links and of the log's links, each. */
size_t
mg_node_settings_unsent_max(const mg_node_settings *s);
/* Loads file into s. MG_E_INPUT: invalid settings; errors are appended to
   errors, one per line. */
mg_rc
mg_node_settings_load(const char *file, mg_node_settings *s, mg_buf *errors);

#endif
