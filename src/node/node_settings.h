/*
 * node_settings - settings of a node, a TOML file
 *
 * A node serves callers, targets and operators, and, when it has a data
 * folder and is among the seeds, votes in the replicated log. Where no host
 * has a data folder, some hosts keep the log in memory.
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
    char data_dir[MG_TEXT_SIZE]; /* empty: no disk */
    char log_level[MG_NAME_SIZE];
    char link_key[MG_NAME_SIZE];
    bool new_group;        /* the whole system starts for the first time */
    int64_t faults;        /* hosts with a disk that may be lost at once */
    int64_t fault_domains; /* failure domains that may be lost at once */
    int64_t fault_regions;
    int64_t link_port; /* first of two: group, mesh */
    /* where it serves; empty: not at all */
    char callers_addr[MG_TEXT_SIZE];
    char ready_addr[MG_TEXT_SIZE];
    char control_addr[MG_TEXT_SIZE];
    char directory_addr[MG_TEXT_SIZE];
    char metrics_addr[MG_TEXT_SIZE];
    char seeds[MG_SEATS_MAX][MG_NAME_SIZE]; /* IP addresses */
    size_t seed_count;
    double retry_ratio;
    int64_t retry_slack;
    double retry_window_s;
    double quota_window_s;
    double quota_overage;   /* part of a quota that errors may cost */
    double quota_margin;    /* tokens in a window that errors may cost */
    double directory_ttl_s; /* how long callers keep an answer */
    double grace_s;         /* from SIGTERM to the end at the latest */
    int64_t ack_ms;         /* an operator's order is answered within */
} mg_node_settings;

/* Voters that the replicated log should have. */
unsigned
mg_node_settings_voter_count(const mg_node_settings *s);
/* Errors, a line each, are appended. */
mg_rc
mg_node_settings_load(const char *file, mg_node_settings *s, mg_buf *errors);

#endif
