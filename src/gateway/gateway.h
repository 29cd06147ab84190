/*
 * gateway - an entry that schedules its requests without a central scheduler
 *
 * A gateway receives requests from its HTTP server, finds their route and
 * workspace, queues them by tier, picks a target for each and forwards the
 * response. It can serve without any other process; it learns the load of
 * other entries from their reports, which are some hundred ms old.
 *
 * A dialect converts between the HTTP headers of requests and responses and
 * the structs below; the gateway itself does not depend on header names.
 */
#ifndef MG_GATEWAY_H
#define MG_GATEWAY_H

#include <uv.h>

#include "base/clock.h"
#include "gateway/capacity.h"
#include "topology/registry.h"
#include "topology/routing.h"
#include "wire/http.h"

#define MG_PARTS_MAX 16

/* a part of a prompt that other requests may share */
typedef struct mg_prompt_part {
    uint64_t id;
    uint32_t tokens;
} mg_prompt_part;

/* a client's request, decoded; strings live as long as the HTTP request */
typedef struct mg_client_request {
    mg_http_req *http;
    mg_str id; /* attempt id */
    mg_str host;
    mg_str key;
    int64_t timeout_ms; /* from arrival; -1: none given */
    bool resumes;       /* resumes a stream after event resume_after */
    uint64_t resume_after;
    bool has_tokens; /* prompt_tokens and output_tokens are given */
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* upper limit */
    uint32_t output_hint;   /* the client's estimate, 0: none */
    mg_prompt_part parts[MG_PARTS_MAX];
    size_t part_count;
} mg_client_request;

/* what the gateway adds to a request that it forwards to a target */
typedef struct mg_dispatch {
    const mg_instance *target;
    mg_str workspace;     /* empty when the request has none */
    int64_t remaining_ms; /* -1: no deadline */
    bool resumes;
    uint64_t resume_after;
} mg_dispatch;

/* the header section of a target's response, decoded */
typedef struct mg_response_head {
    int status;
    mg_str id;    /* attempt id of the request; empty: not given */
    bool not_run; /* the target reports that it did not run the request */
    mg_capacity_statement capacity;
    bool leaving;   /* the target takes no new requests and stops soon */
    bool malformed; /* something that it states about itself can't be read */
} mg_response_head;

typedef struct mg_dialect mg_dialect;
struct mg_dialect {
    /* MG_E_INPUT: the request is malformed, err describes how */
    mg_rc (*read_request)(mg_dialect *d, mg_http_req *r,
                          mg_client_request *out, mg_error *err);
    /* appends to out the header section of a request that is passed on through
       another entry, with the time that is left; -1: no deadline */
    void (*put_relayed)(mg_dialect *d, const mg_client_request *req,
                        int64_t remaining_ms, mg_buf *out);
    /* appends to out the complete header section of the request that is sent
       to the target */
    void (*put_request)(mg_dialect *d, const mg_client_request *req,
                        const mg_dispatch *to, mg_buf *out);
    void (*read_response)(mg_dialect *d, const mg_h1_headers *headers,
                          mg_response_head *out);
};

/* limits set by operators */
typedef struct mg_gateway_limits {
    double retry_ratio;   /* retries per request, over all entries */
    uint32_t retry_slack; /* retries per window beyond those of retry_ratio */
    int64_t retry_window_ms;
    int64_t quota_window_ms;
    double quota_margin;  /* tolerated excess of a quota, tokens per window */
    double quota_overage; /* tolerated excess, as a fraction of the quota */
} mg_gateway_limits;

typedef struct mg_gateway_options {
    uv_loop_t *loop;
    mg_clock *clock;
    mg_registry *registry;
    mg_dialect *dialect;
    const char *domain; /* local failure domain, copied */
    uint64_t seed;
    /* on which entries take requests of other entries, at the address that is
       their name; 0: requests aren't relayed */
    uint16_t relay_port;
    mg_gateway_limits limits;
    /* a target says that it leaves: it must be marked as draining here and on
       all other entries; may be NULL */
    void (*on_leaving)(void *user, const mg_instance *i);
    void *user;
} mg_gateway_options;

typedef struct mg_gateway mg_gateway;

mg_gateway *
mg_gateway_new(const mg_gateway_options *opts);
/* Sets the document in force; takes over the caller's reference to t. */
void
mg_gateway_set_routing(mg_gateway *gw, mg_routing *t);
/* The document in force, or NULL before the first one. */
const mg_routing *
mg_gateway_routing(const mg_gateway *gw);
/* Sets the limits; retry budgets that exist keep their window length. */
void
mg_gateway_set_limits(mg_gateway *gw, const mg_gateway_limits *l);
/* Accepts a request; the gateway sends the response or aborts it. */
void
mg_gateway_handle(mg_gateway *gw, mg_http_req *r);
/* Accepts a request that another entry passes on. */
void
mg_gateway_handle_relayed(mg_gateway *gw, mg_http_req *r);
/* Whether this entry is cut off from a service that other entries reach, so
   that clients are better sent to those. */
bool
mg_gateway_is_cut(const mg_gateway *gw);
/* Must be called when an instance is new or its state has changed. */
void
mg_gateway_instance_changed(mg_gateway *gw, mg_instance *i);
/* Frees the gateway's data of an instance that is removed. */
void
mg_gateway_instance_removed(mg_instance *i);
/* Refuses new requests from now on; those in progress continue. */
void
mg_gateway_drain(mg_gateway *gw);
/* Number of requests in progress. */
size_t
mg_gateway_open_requests(const mg_gateway *gw);
/* Applies the record of a service's rollout. */
void
mg_gateway_set_rollout(mg_gateway *gw, const mg_rec_rollout_msg *rec);
/* Applies the record of the versions of a service that were rolled back. */
void
mg_gateway_set_rejected(mg_gateway *gw, const mg_rec_rejected_msg *rec);
/* Calls f with a ROLLOUT_SAMPLES message for each rollout with dispatches or
   samples since the last call. */
void
mg_gateway_flush_rollout_samples(mg_gateway *gw,
                                 void (*f)(void *user, const mg_msg *m),
                                 void *user);
/* Number of requests, of all entries, on the service's targets whose version
   differs from the given one. */
double
mg_gateway_running_on_other_versions(const mg_gateway *gw, const char *service,
                                     const char *version);
/* an entry that shares the targets' slots */
typedef struct mg_gateway_entry {
    const char *node;
    const char *domain; /* failure domain */
} mg_gateway_entry;

/*
 * Sets the entries that share the targets' slots, in the same order on all
 * entries. self: index of this entry, or n when it is not among them and can
 * only borrow slots.
 */
void
mg_gateway_set_entries(mg_gateway *gw, const mg_gateway_entry *entries,
                       size_t n, size_t self);
/* Appends this entry's load report to loads, as LOAD_* messages. */
void
mg_gateway_append_report(mg_gateway *gw, mg_buf *loads);
/* Applies the load report of another entry; it replaces the previous one. */
void
mg_gateway_receive_report(mg_gateway *gw, const char *node,
                          uint64_t incarnation, mg_str loads);
/* Sets the age of another entry's report when its next one arrives, ms. */
void
mg_gateway_set_report_age(mg_gateway *gw, int64_t ms);
/* Dispatches the requests of scheduled pools; call it once per event loop
   iteration, before HTTP servers write. */
void
mg_gateway_dispatch_scheduled(mg_gateway *gw);
/* Schedules pools with waiting requests; less often, discards stale reports,
   expired strikes and old idle channels. Call it every few ms. */
void
mg_gateway_tick(mg_gateway *gw);

#endif
