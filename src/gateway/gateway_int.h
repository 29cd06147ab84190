/*
 * gateway_int - what the parts of a gateway share
 *
 * gateway.c: tables, reports and the pools; flow.c: one request from its
 * admission to its end; targets.c: channels and what is known of a target.
 */
#ifndef MG_GATEWAY_INT_H
#define MG_GATEWAY_INT_H

#include "gateway/retry_budget.h"
#include "gateway/sse.h"
#include "gateway/gateway.h"
#include "gateway/queue_wait.h"
#include "gateway/quota.h"
#include "gateway/versions.h"
#include "policy/quarantine.h"
#include "policy/tierq.h"
#include "wire/channel.h"

/* the workspace's tier, then the route's */
#define MG_GW_TIERS (MG_TIER_MAX * MG_TIER_MAX)
/* entries that share the slots; more share them as these do */
#define MG_GW_ENTRIES_MAX 1024

/* what a gateway knows of an instance */
typedef struct mg_gw_target {
    mg_gateway *gw;
    mg_instance *instance;
    struct list_head idle;   /* channels, the last used one last */
    uint32_t running;        /* requests of this entry */
    double reported_running; /* requests of the other entries */
    double backlog;          /* prompt tokens of this entry, not read yet */
    double reported_backlog;
    /* what first events took, and what was predicted at pace 1: sums that
       fade, of this entry and of the others */
    double measured_ms;
    double nominal_ms;
    double reported_measured_ms;
    double reported_nominal_ms;
    double unreported_measured_ms; /* not reported to the others yet */
    double unreported_nominal_ms;
    int64_t decayed_at;
    uint32_t allocated;  /* slots that belong to this entry */
    uint32_t borrowable; /* of others, until the next report */
    uint32_t failures;   /* in a row */
    int64_t avoid_until;
} mg_gw_target;

/* requests for one service */
typedef struct mg_gw_pool {
    UT_hash_handle hh;
    char service[MG_NAME_SIZE];
    mg_tierq *waiting;
    mg_retry_budget retry_budget;
    mg_dequeue_rate dequeue_rate;
    int64_t tier_last_arrival_ms[MG_GW_TIERS]; /* last request of each tier */
    double waiting_entries;  /* others that said that requests wait there */
    uint64_t allocation_gen; /* of the entries and targets dealt with */
    uint32_t allocated; /* slots of all targets that belong to the entry */
    uint32_t running;   /* requests of this entry */
    bool scheduled;     /* is to be run at the end of this turn */
    struct list_head link;
} mg_gw_pool;

typedef struct mg_gw_usage {
    UT_hash_handle hh;
    char workspace[MG_NAME_SIZE];
    mg_quota quota;
} mg_gw_usage;

/* another entry's last report */
typedef struct mg_gw_peer {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE];
    uint64_t incarnation;
    int64_t received_ms;
    bool counted; /* its requests count as load of their targets */
    mg_buf loads;
} mg_gw_peer;

struct mg_gateway {
    mg_gateway_options opts;
    char domain[MG_NAME_SIZE];
    mg_rng rng;
    mg_routing *routing;
    mg_gw_pool *pools;
    struct list_head scheduled_pools;
    mg_gw_usage *usage;
    mg_versions *versions;
    mg_quarantine *suspects;
    mg_buf crashes; /* LOAD_CRASH messages, not reported yet */
    mg_gw_peer *peers;
    size_t open_requests;
    int64_t started_ms;
    int64_t report_age_ms;
    size_t entries;    /* that share the slots */
    size_t self_index; /* this entry's place among them */
    uint32_t entry_domains[MG_GW_ENTRIES_MAX];
    uint64_t gen; /* grows when entries or targets change */
    bool draining;
    uint64_t next_ticket;
    int64_t sweep_at;
};

typedef enum mg_flow_state {
    MG_FLOW_WAITING,
    MG_FLOW_CONNECTING,
    MG_FLOW_SENT,      /* written to a target, no answer yet */
    MG_FLOW_RECEIVING, /* the answer is coming in */
    MG_FLOW_DONE,
} mg_flow_state;

typedef struct mg_flow {
    mg_channel_callbacks user; /* first: a channel gives it back */
    mg_gateway *gw;
    mg_client_request request;
    mg_routing *routing;
    const mg_route *route;
    const mg_client_workspace *workspace;
    mg_gw_usage *usage;
    double quota_cost;
    mg_gw_pool *pool;
    mg_ticket ticket; /* first member of what the queue links */
    mg_flow_state state;
    mg_channel *channel;
    mg_gw_target *target;
    const mg_gw_target
        *failed_target; /* where it failed last: compared only */
    bool reused_channel;
    double backlog;         /* its prompt counts as unread at the target */
    double nominal_ms;      /* predicted to the first event at pace 1 */
    uint32_t sends;         /* requests written to targets */
    uint32_t possible_runs; /* of them, those that may have run */
    uint32_t connect_failures;
    uint32_t tier;
    mg_wait_limit wait_limit;
    int64_t arrived_ms;
    int64_t deadline_ms;
    int64_t sent_ms;
    int64_t first_byte_ms;  /* of the first byte passed on */
    int64_t first_event_ms; /* first event from the present target, 0: none */
    int64_t last_received_ms; /* last one, 0: none */
    uint32_t event_count;     /* from the present target */
    int status;
    bool not_run; /* as the present answer says */
    bool streaming;
    bool response_started; /* the caller has the head */
    bool close_delimited;  /* the answer's body ends with its connection */
    mg_buf headers;        /* header lines for the caller */
    mg_buf body;
    mg_sse_parser events;
    bool has_last_id;
    uint64_t last_id;
    uv_timer_t timer;
} mg_flow;

/* gateway.c */
void
mg_gw_run_pool(mg_gateway *gw, mg_gw_pool *p);
mg_gw_pool *
mg_gw_pool_of(mg_gateway *gw, const char *service);
void
mg_gw_pool_schedule(mg_gateway *gw, mg_gw_pool *p);

/* A number for a failure domain's name, the same everywhere. */
uint32_t
mg_gw_domain_number(const char *domain);
/* What a workspace uses; made when it is not known yet. */
mg_gw_usage *
mg_gw_usage_of(mg_gateway *gw, const char *workspace);

/* flow.c */
void
mg_flow_start(mg_gateway *gw, mg_http_req *r);
void
mg_flow_dispatch(mg_flow *f, mg_gw_target *t);

/* targets.c */
mg_gw_target *
mg_gw_target_of(mg_gateway *gw, mg_instance *i);
mg_gw_target *
mg_gw_choose_target(mg_gateway *gw, mg_flow *f);
/* Predicted time to the first event at the pool's fastest target, ms. */
int64_t
mg_gw_min_first_ms(mg_gateway *gw, const mg_flow *f);
/*
 * An idle channel to the target, or NULL. sure: only one that is fit for a
 * request that may not be repeated.
 */
mg_channel *
mg_gw_idle_channel(mg_gw_target *t, bool sure);
mg_channel *
mg_gw_new_channel(mg_gw_target *t, mg_channel_callbacks *u);
/* Closes idle channels that are no longer of use, or all. */
void
mg_gw_close_idle(mg_gw_target *t);
void
mg_gw_close_all(mg_gw_target *t);
/* The same, told by another entry. */
void
mg_gw_target_learn_reported(mg_gw_target *t, double took_ms, double work_ms);
/* Slots of others that may be used until the next call. */
void
mg_gw_target_update_borrowable(mg_gw_target *t);
/*
 * How a request to the target ended, for the choice of later ones; answered:
 * with an answer that says so.
 */
void
mg_gw_target_failed(mg_gw_target *t, bool answered);
void
mg_gw_target_served(mg_gw_target *t);
/* A first event (or a whole answer) came after that time. */
void
mg_gw_target_learn(mg_gw_target *t, double took_ms, double work_ms);
/* Time that the target takes against the prediction. */
double
mg_gw_target_slowdown(mg_gw_target *t, int64_t now);

#endif
