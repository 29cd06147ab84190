/*
 * routing - routing table of an entry: services, routes and workspaces
 *
 * A table is built from one accepted configuration document and not modified
 * afterwards. It is reference-counted: a request keeps the table that it was
 * admitted with, while later requests use a newer one.
 */
#ifndef MG_ROUTING_H
#define MG_ROUTING_H

#include <uthash.h>

#include "base/check.h"
#include "wire/http.h"

#define MG_SPLITS_MAX 8

/* when a request that may have run is retried at another target */
typedef enum mg_retry_policy {
    MG_RETRY_NEVER,           /* never: requests are not idempotent */
    MG_RETRY_BEFORE_RESPONSE, /* until its response has started */
    MG_RETRY_RESUME,          /* always: streams resume after the last event */
} mg_retry_policy;

typedef struct mg_service {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    char health_path[MG_TEXT_SIZE];
    uint32_t conns_max;    /* per target, over all entries */
    bool engine;           /* a model engine, which runs requests in batches */
    uint32_t slots;        /* maximum of concurrent requests of an engine */
    uint32_t kv_tokens;    /* capacity of an engine's KV cache */
    uint32_t event_tokens; /* tokens per event of a stream */
} mg_service;

/* a service's part of the traffic of a route */
typedef struct mg_split {
    mg_service *service;
    uint32_t weight;
} mg_split;

typedef struct mg_route {
    UT_hash_handle hh;
    char *key; /* host, NUL, prefix */
    size_t key_size;
    char name[MG_NAME_SIZE];
    bool stream;
    mg_retry_policy retry_policy;
    int64_t timeout_ms;    /* maximum duration of a request */
    int64_t goal_ms;       /* goal for the time from a request's arrival to its
                              response, or a stream's first event */
    int64_t gap_goal_ms;   /* goal for the time between events; 0: none */
    uint32_t tier;         /* 0 is served first */
    uint32_t attempts_max; /* of a request; attempts that certainly did not
                              run are not counted */
    bool is_public;        /* needs no API key */
    mg_split splits[MG_SPLITS_MAX];
    size_t split_count;
    uint32_t weight_sum;
} mg_route;

typedef struct mg_client_workspace {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    /* queued requests are ordered by this first, then by the route's tier */
    uint32_t tier;
    bool by_tokens;          /* the quota counts tokens, not requests */
    uint32_t default_tokens; /* charged for a request without a token count */
    double rate;             /* tokens or requests per second; 0: no quota */
    double burst;
} mg_client_workspace;

typedef struct mg_client_key {
    UT_hash_handle hh;
    char *key;
    mg_client_workspace *workspace;
} mg_client_key;

typedef struct mg_routing {
    unsigned refs;
    uint64_t version; /* of the document */
    mg_service *services;
    mg_route *routes;
    mg_client_workspace *workspaces;
    mg_client_key *keys;
    bool has_workspaces; /* requests need an API key */
    mg_http_limits limits;
} mg_routing;

/* An empty table with one reference. */
mg_routing *
mg_routing_new(void);
mg_routing *
mg_routing_ref(mg_routing *t);
void
mg_routing_unref(mg_routing *t);

/* These three take ownership of the element, also on failure. They return
   MG_E_VERSION_CONFLICT if its name, or its host and prefix, is taken. */
mg_rc
mg_routing_add_service(mg_routing *t, mg_service *s);
mg_rc
mg_routing_add_route(mg_routing *t, mg_route *r, mg_str host, mg_str prefix);
mg_rc
mg_routing_add_workspace(mg_routing *t, mg_client_workspace *w);
/* Adds an API key of w; MG_E_VERSION_CONFLICT if the table has it already. */
mg_rc
mg_routing_add_key(mg_routing *t, mg_client_workspace *w, mg_str key);

mg_service *
mg_routing_service(const mg_routing *t, mg_str name);
/* The host's route whose prefix is the longest match of path, or NULL. */
const mg_route *
mg_routing_find_route(const mg_routing *t, mg_str host, mg_str path);
/* Workspace of an API key, or NULL. */
const mg_client_workspace *
mg_routing_workspace_by_key(const mg_routing *t, mg_str key);
/* Picks a service by the weights; at: a random number in [0, 1). */
mg_service *
mg_route_choose_service(const mg_route *r, double at);

#endif
