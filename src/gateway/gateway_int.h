/*
 * gateway_int - declarations shared by the source files of the gateway
 *
 * Each file calls only those before it: pools.c: pools and other tables;
 * targets.c: targets, channels to them, and their load; suspects.c: requests
 * that may have crashed targets; flow.c: one request from the queue to its
 * end; relay.c: the way through another entry; dispatch.c: from the queue to a
 * target or an entry; admit.c: checks before a request waits; reports.c:
 * between entries; gateway.c: the functions of gateway.h.
 */
#ifndef MG_GATEWAY_INT_H
#define MG_GATEWAY_INT_H

#include "gateway/event_ids.h"
#include "gateway/gateway.h"
#include "gateway/queue_wait.h"
#include "gateway/quota.h"
#include "gateway/reach.h"
#include "gateway/retry_budget.h"
#include "gateway/sse.h"
#include "gateway/strikes.h"
#include "gateway/versions.h"
#include "policy/tierq.h"
#include "wire/channel.h"
#include "wire/response_memory.h"

/* number of request tiers; ranked by workspace tier, then by route tier */
#define MG_GW_TIERS (MG_TIER_MAX * MG_TIER_MAX)
/* maximum number of entries with allocated slots; others only borrow */
#define MG_GW_ENTRIES_MAX 1024

/* an instance, with its load as this gateway knows it */
typedef struct mg_gw_target {
    mg_gateway *gw;
    mg_instance *instance;
    struct list_head idle;   /* idle channels, the last used one last */
    uint32_t running;        /* requests of this entry */
    double reported_running; /* requests of other entries */
    double backlog;          /* local prompt tokens not prefilled yet */
    double reported_backlog; /* other entries' prompt tokens not prefilled */
    /* exponentially decayed sums of measured times to the first event, and of
       the times predicted for them at slowdown 1; reported_*: those of other
       entries */
    double measured_ms;
    double nominal_ms;
    double reported_measured_ms;
    double reported_nominal_ms;
    double unreported_measured_ms; /* local, since the last report */
    double unreported_nominal_ms;
    int64_t decayed_at_ms;
    uint32_t allocated;  /* slots allocated to this entry */
    uint32_t borrowable; /* other slots usable until the next report */
    mg_capacity capacity;
    uint64_t capacity_run; /* start of the run that capacity belongs to */
    uint32_t failures;     /* consecutive */
    int64_t avoid_until_ms;
} mg_gw_target;

/* the requests of one service */
typedef struct mg_gw_pool {
    UT_hash_handle hh;
    mg_gateway *gw;
    char service[MG_NAME_SIZE];
    mg_tierq *waiting;
    mg_retry_budget retry_budget;
    mg_dequeue_rate dequeue_rate;
    int64_t tier_last_arrival_ms[MG_GW_TIERS]; /* per tier, 0: none yet */
    mg_reach reach;
    bool cut;          /* mg_reach_is_cut() at the last tick */
    mg_channel *probe; /* connection that checks whether the cut has ended */
    mg_channel_callbacks probe_callbacks;
    int64_t probe_until_ms;
    int64_t next_probe_ms;
    double waiting_entries;  /* other entries with waiting requests */
    uint64_t allocation_gen; /* mg_gateway.gen at the last allocation */
    uint32_t allocated; /* slots allocated to this entry, of all targets */
    uint32_t running;   /* requests of this entry */
    bool scheduled;     /* runs at the end of this event loop iteration */
    struct list_head link;
} mg_gw_pool;

/* quota of a workspace, and what it has used */
typedef struct mg_gw_usage {
    UT_hash_handle hh;
    char workspace[MG_NAME_SIZE];
    mg_quota quota;
    /* number of the received report that told what was used before this
       entry's start, 0: none yet */
    uint64_t past_report;
} mg_gw_usage;

/* services that an entry reports to reach; further ones are ignored */
#define MG_GW_REACHED_MAX 16

/* the last load report of another entry */
typedef struct mg_gw_peer {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE];
    uint64_t incarnation;
    int64_t received_ms;
    bool counted; /* its requests are included in the load of targets */
    mg_buf loads;
    uint64_t reached[MG_GW_REACHED_MAX]; /* hashes of services */
    size_t reached_count;
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
    mg_strikes *strikes;
    mg_gw_peer *peers;
    size_t open_requests;
    mg_response_memory response_memory;
    int64_t started_ms;
    int64_t past_until_ms; /* until then reports include past use, since
                              another entry has just started */
    uint64_t report_count; /* reports received from other entries */
    int64_t report_age_ms;
    size_t entry_count; /* number of entries that share the slots */
    size_t self_index;  /* index of this entry among them */
    uint32_t entry_domains[MG_GW_ENTRIES_MAX];
    uint64_t entry_keys[MG_GW_ENTRIES_MAX]; /* hashes of their names */
    uint64_t gen; /* incremented when entries or targets change */
    bool draining;
    uint64_t next_ticket;
    int64_t next_sweep_ms;
    int64_t malformed_logged_ms; /* what a target states about itself */
};

typedef enum mg_flow_state {
    MG_FLOW_WAITING,
    MG_FLOW_CONNECTING,
    MG_FLOW_SENT,             /* written to a target, no response yet */
    MG_FLOW_RECEIVING,        /* receiving the response */
    MG_FLOW_RELAY_CONNECTING, /* connecting to another entry */
    MG_FLOW_RELAYED,          /* written to another entry */
    MG_FLOW_DONE,
} mg_flow_state;

/* channels that a request remembers; one that was sent more often is sent on
   new channels only */
#define MG_FLOW_CHANNELS_MAX 8

/* a client's request from admission to the end of its response */
typedef struct mg_flow mg_flow;
struct mg_flow {
    mg_channel_callbacks callbacks; /* must be first: cast to mg_flow */
    mg_gateway *gw;
    mg_client_request request;
    mg_routing *routing;
    const mg_route *route;
    const mg_client_workspace *workspace;
    mg_gw_usage *usage;
    double quota_cost;
    uint64_t fingerprint; /* see suspects.h; 0: not computed yet */
    mg_gw_pool *pool;
    mg_ticket ticket; /* linked into pool->waiting */
    mg_flow_state state;
    mg_channel *channel;
    mg_gw_target *target;
    /* avoided by a retry; never dereferenced, as it may be freed */
    const mg_gw_target *previous_target;
    /* channels that it was written to; never dereferenced, as they may be
       freed. A response on one of them may belong to an earlier attempt. */
    const mg_channel *used_channels[MG_FLOW_CHANNELS_MAX];
    bool reused_channel;
    bool is_relayed; /* came from another entry, must not be relayed again */
    char relay[MG_NAME_SIZE]; /* entry that it is passed on through */
    uint32_t relay_attempts;
    void (*on_relay_timeout)(mg_flow *f); /* no connection to that entry */
    double backlog;    /* prompt tokens included in target->backlog */
    double nominal_ms; /* predicted time to the first event at slowdown 1 */
    uint32_t sends;    /* requests written to targets */
    uint32_t possible_runs; /* times that a target may have run it */
    uint32_t connect_failures;
    uint32_t tier;
    mg_wait_limit wait_limit;
    int64_t arrived_ms;
    int64_t deadline_ms;
    int64_t sent_ms;
    int64_t first_byte_ms;    /* when the client was sent the first byte */
    int64_t first_event_ms;   /* from the current target, 0: none */
    int64_t last_received_ms; /* from the current target, 0: none */
    uint32_t event_count;     /* from the current target */
    char channel_end[MG_CHANNEL_END_SIZE]; /* of the last channel, for logs */
    int status;
    bool not_run; /* the current response reports that it did not run */
    bool streaming;
    bool response_started; /* the client was sent the header section */
    bool close_delimited;  /* response delimited by connection close */
    mg_buf headers;        /* header lines for the client */
    mg_buf body;
    mg_sse_parser sse_parser;
    size_t held; /* bytes in gw->response_memory */
    mg_event_ids ids;
    bool has_no_id; /* the client was sent an event without an id, so that
                         no other run can go on after it */
    uv_timer_t timer;
    int64_t timer_at_ms; /* when it is to fire */
};

/* pools.c */
/* The pool of a service; created on first use. */
mg_gw_pool *
mg_gw_pool_of(mg_gateway *gw, const char *service);
/* Schedules the pool's dispatch for the end of this event loop iteration. */
void
mg_gw_pool_schedule(mg_gateway *gw, mg_gw_pool *p);
/* Schedules all pools with waiting requests. */
void
mg_gw_schedule_waiting(mg_gateway *gw);
/* Usage of a workspace; created on first use. */
mg_gw_usage *
mg_gw_usage_of(mg_gateway *gw, const char *workspace);
/* Maps a failure domain's name to a number, the same on all entries. */
uint32_t
mg_gw_domain_number(const char *domain);

/* dispatch.c */
/* Dispatches waiting requests of the pool until no target has room. */
void
mg_gw_pool_dispatch(mg_gateway *gw, mg_gw_pool *p);

/* reports.c */
/* Stops counting the loads of entries that no longer report. */
void
mg_gw_drop_stale_reports(mg_gateway *gw);
/* the entries that report */
struct mg_gw_heard {
    unsigned others;
    double part; /* of those that have reported lately, this one included */
};
struct mg_gw_heard
mg_gw_heard(const mg_gateway *gw);

/* retry-after of a refusal that does not depend on the load, ms */
#define MG_FLOW_RETRY_AFTER_MS 250

/* admit.c */
/* Decodes and checks a request, and adds it to its pool's queue, or refuses
   it; is_relayed: from another entry. */
void
mg_flow_start(mg_gateway *gw, mg_http_req *r, bool is_relayed);

/* flow.c */
/* Responds without a target; retry_ms < 0: no retry-after header. */
void
mg_flow_refuse(mg_flow *f, int status, int64_t retry_ms, const char *why);
/* Refuses for lack of free targets; the client may return when the queue ahead
   has gone. */
void
mg_flow_refuse_busy(mg_flow *f, const char *why);
/* Ends a request that is not retried any more: aborts its response, or refuses
   it with the status that tells whether it may have run. */
void
mg_flow_fail(mg_flow *f, const char *why);
/* Frees f; its response is complete or aborted, or the client has left. */
void
mg_flow_finish(mg_flow *f);
/* The last channel has ended: notes how, for the logs, and forgets it. */
void
mg_flow_channel_ended(mg_flow *f);
void
mg_flow_close_channel(mg_flow *f);
/* Ends a request because of what its target has sent. */
void
mg_flow_reject_response(mg_flow *f, const char *why);
/* Starts the timer, to fire at that time by the gateway's clock, not before.
 */
void
mg_flow_set_timer(mg_flow *f, int64_t at);
/* Ends a request that has crashed its targets. */
void
mg_flow_refuse_suspect(mg_flow *f);
/* Adds the request to its pool's queue, first or for a retry. */
void
mg_flow_wait_for_target(mg_flow *f);
/* Number of waiting requests that would be dequeued before this one. */
uint64_t
mg_flow_queued_ahead(const mg_flow *f);
/* A request that has just arrived; is_relayed: from another entry. */
mg_flow *
mg_flow_new(mg_gateway *gw, mg_http_req *r, bool is_relayed);
/* Sends a request, which was taken out of the queue, to a target. */
void
mg_flow_dispatch(mg_flow *f, mg_gw_target *t);

/* flow_response.c */
/* Whether the client asks for the header section only. */
bool
mg_flow_is_head(const mg_flow *f);
/* Whether only the end of its connection ends the response. */
bool
mg_flow_is_close_delimited(const mg_flow *f, const mg_h1_headers *headers);
/* Keeps the header lines for the client. */
void
mg_flow_save_headers(mg_flow *f, const mg_h1_headers *headers);
/* Sends the header section of a response whose length isn't known. A response
   that the target delimits by its connection is sent so, too: it may be
   truncated, as a target that crashes closes like one that is done. */
void
mg_flow_start_response(mg_flow *f);
/* Counts what is held of the response; ends the request if it is too much. */
void
mg_flow_hold_response(mg_flow *f);
/* Sends the response that is held as a whole. */
void
mg_flow_send_buffered(mg_flow *f);
/* Logs and counts a complete response; from: the target or entry. */
void
mg_flow_log_response(mg_flow *f, const char *from);

/* targets.c */
/* The gateway's data of an instance; created on first use. */
mg_gw_target *
mg_gw_target_of(mg_gateway *gw, mg_instance *i);
/* Picks a target for a waiting request; NULL when none has room. */
mg_gw_target *
mg_gw_choose_target(mg_gateway *gw, mg_flow *f);
/* A usable target of the pool, drawn at random, if possible from the healthy
   ones, but not the one with this id; NULL if there is none. */
mg_gw_target *
mg_gw_random_target(mg_gateway *gw, mg_gw_pool *p, const char *except);
/* Shortest predicted time to the first event over the pool's targets if they
   had no backlog, ms; 0 when none is usable. */
int64_t
mg_gw_min_first_ms(mg_gateway *gw, const mg_flow *f);
/*
 * An idle channel to the target that f was never written to, or NULL.
 * recent_only: f must not be retried, so only a recently used channel is
 * returned.
 */
mg_channel *
mg_gw_idle_channel(mg_gw_target *t, const mg_flow *f, bool recent_only);
mg_channel *
mg_gw_new_channel(mg_gw_target *t, mg_channel_callbacks *cb);
/* Closes idle channels that are too old, or all if the target isn't ready. */
void
mg_gw_close_idle(mg_gw_target *t);
void
mg_gw_close_all(mg_gw_target *t);
/* Adds times to the first event that another entry reported. */
void
mg_gw_target_add_reported_sample(mg_gw_target *t, double measured_ms,
                                 double nominal_ms);
/* Recomputes how many slots of others this entry may borrow of the target. */
void
mg_gw_target_update_borrowable(mg_gw_target *t);
/*
 * Records a failed or a served request, for the choice of later targets.
 * error_response: the target responded with status 5xx.
 */
void
mg_gw_target_failed(mg_gw_target *t, bool error_response);
void
mg_gw_target_served(mg_gw_target *t);
/* Takes note of what a response states; sent_ms: time of its request. */
void
mg_gw_target_states(mg_gw_target *t, const mg_capacity_statement *s,
                    int64_t sent_ms);
/* Takes note that the target leaves, if it says so in any response, also in
   one that belongs to another request. Logs statements that can't be read,
   once a minute. */
void
mg_gw_target_leaves(mg_gw_target *t, const mg_response_head *res);
/* Takes note of what another entry reports about the target. */
void
mg_gw_target_receive_capacity(mg_gw_target *t, const mg_load_capacity_msg *m);
/* Appends to loads what this entry has heard from the target, if others must
   know it. */
void
mg_gw_target_report_capacity(mg_gw_target *t, mg_buf *loads);
/* Appends to loads how long the target wants no requests, if it does. */
void
mg_gw_target_report_pause(mg_gw_target *t, mg_buf *loads);
void
mg_gw_target_receive_pause(mg_gw_target *t, const mg_load_pause_msg *m);
/* Forgets statements of former runs and those that nobody has heard for
   long. */
void
mg_gw_target_expire_capacity(mg_gw_target *t);
/*
 * Adds a local sample: time to the first event or the complete response.
 * nominal_ms: time that was predicted for it at slowdown 1.
 */
void
mg_gw_target_add_sample(mg_gw_target *t, double measured_ms,
                        double nominal_ms);
/* Ratio of measured to predicted times to the first event; 1 without samples.
 */
double
mg_gw_target_slowdown(mg_gw_target *t, int64_t now);

#endif
