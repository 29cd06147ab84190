/*
 * gateway - an entry that decides by itself
 *
 * A gateway takes calls from its HTTP server, finds their route and
 * workspace, lets them wait in the order of their tiers, picks a target for
 * each and passes the answer on. It needs no other process to serve: what
 * others have under way comes to it as reports, some hundred ms late.
 *
 * How calls, targets and answers look on the wire is the business of a
 * dialect; the gateway knows only what the structs below say.
 */
#ifndef MG_GATEWAY_H
#define MG_GATEWAY_H

#include <uv.h>

#include "base/clock.h"
#include "topology/registry.h"
#include "topology/routing.h"
#include "wire/http.h"

#define MG_PARTS_MAX 16

/* a part of a prompt that other requests may share */
typedef struct mg_prompt_part {
    uint64_t id;
    uint32_t tokens;
} mg_prompt_part;

/* a caller's request, decoded; strings live as long as the HTTP request */
typedef struct mg_client_request {
    mg_http_req *http;
    mg_str id; /* of this attempt */
    mg_str host;
    mg_str key;
    int64_t timeout_ms; /* that the caller waits; -1: not said */
    bool resumes;       /* a stream is to go on behind an event */
    uint64_t resume_after;
    bool has_tokens;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* at most */
    uint32_t output_hint;   /* the caller's estimate, 0: none */
    mg_prompt_part parts[MG_PARTS_MAX];
    size_t part_count;
} mg_client_request;

/* what the gateway adds to a request on its way to a target */
typedef struct mg_dispatch {
    const mg_instance *target;
    mg_str workspace;     /* empty when the call has none */
    int64_t remaining_ms; /* -1: no deadline */
    bool resumes;
    uint64_t resume_after;
} mg_dispatch;

/* the head of a target's answer, decoded */
typedef struct mg_response_head {
    int status;
    mg_str id;    /* of the attempt that it answers; empty: not said */
    bool not_run; /* the target says that it did not run the request */
} mg_response_head;

typedef struct mg_dialect mg_dialect;
struct mg_dialect {
    /* MG_E_INPUT: err says what is wrong with the call */
    mg_rc (*read_request)(mg_dialect *d, mg_http_req *r,
                          mg_client_request *out, mg_error *err);
    /* appends the whole head of the request to a target */
    void (*put_request)(mg_dialect *d, const mg_client_request *call,
                        const mg_dispatch *to, mg_buf *out);
    void (*read_response)(mg_dialect *d, const mg_h1_headers *head,
                          mg_response_head *out);
};

/* bounds that operators set */
typedef struct mg_gateway_limits {
    double retry_ratio; /* repeats for each request, over all entries */
    uint32_t retry_slack;
    int64_t retry_window_ms;
    int64_t quota_window_ms;
    double quota_margin;  /* tokens in a window that errors may cost */
    double quota_overage; /* part of a quota that errors may cost */
} mg_gateway_limits;

typedef struct mg_gateway_options {
    uv_loop_t *loop;
    mg_clock *clock;
    mg_registry *registry;
    mg_dialect *dialect;
    const char *domain; /* own failure domain, copied */
    uint64_t seed;
    mg_gateway_limits limits;
} mg_gateway_options;

typedef struct mg_gateway mg_gateway;

mg_gateway *
mg_gateway_new(const mg_gateway_options *opts);
/* The document in force; takes over the caller's use of it. */
void
mg_gateway_set_routing(mg_gateway *gw, mg_routing *t);
const mg_routing *
mg_gateway_routing(const mg_gateway *gw);
/* Bounds that hold from now on; a budget's window stays as it was. */
void
mg_gateway_set_limits(mg_gateway *gw, const mg_gateway_limits *l);
/* Takes a request; it is answered by the gateway. */
void
mg_gateway_handle(mg_gateway *gw, mg_http_req *r);
/* An instance is new or has changed its state. */
void
mg_gateway_instance_changed(mg_gateway *gw, mg_instance *i);
/* Frees what the gateway holds of an instance that is forgotten. */
void
mg_gateway_instance_removed(mg_instance *i);
/* From now on requests are refused; those in hand go on. */
void
mg_gateway_drain(mg_gateway *gw);
/* Requests in hand. */
size_t
mg_gateway_open_requests(const mg_gateway *gw);
/* The record of a service's move to another version. */
void
mg_gateway_set_rollout(mg_gateway *gw, const mg_rec_rollout_msg *rec);
/* Calls f with what was sent and seen for moves since the last call. */
void
mg_gateway_flush_rollout_samples(mg_gateway *gw,
                                 void (*f)(void *user, const mg_msg *m),
                                 void *user);
/* Requests of all entries at targets of the service with another version. */
double
mg_gateway_running_on_other_versions(const mg_gateway *gw, const char *service,
                                     const char *version);
/*
 * Failure domains of the entries that share the targets' slots, in an order
 * that is the same everywhere; self: this entry's place among them, n when
 * it is none of them and has only what the others lend.
 */
void
mg_gateway_set_entries(mg_gateway *gw, const char *const *domains, size_t n,
                       size_t self);
/* What this entry has under way: LOAD_* messages. */
void
mg_gateway_append_report(mg_gateway *gw, mg_buf *loads);
/* The same of another entry; a later report replaces an earlier one. */
void
mg_gateway_receive_report(mg_gateway *gw, const char *node,
                          uint64_t incarnation, mg_str loads);
/* How old what is known of other entries gets before they report again. */
void
mg_gateway_set_report_age(mg_gateway *gw, int64_t ms);
/* Sends what can be sent now; once in each turn of the loop, before HTTP
   servers write. */
void
mg_gateway_dispatch_scheduled(mg_gateway *gw);
/* Regular work, every few ms. */
void
mg_gateway_tick(mg_gateway *gw);

#endif
