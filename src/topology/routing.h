/*
 * routing - the document in force as an entry uses it
 *
 * A table is built once, from one accepted document, and never changes. It
 * is counted by its users: a request keeps the table under which it was
 * admitted, while later requests use a newer one.
 */
#ifndef MG_ROUTING_H
#define MG_ROUTING_H

#include <uthash.h>

#include "base/check.h"
#include "wire/http.h"

#define MG_SPLITS_MAX 8

/* what may be sent to a second target */
typedef enum mg_retry_policy {
    MG_RETRY_NEVER,           /* non-idempotent */
    MG_RETRY_BEFORE_RESPONSE, /* idempotent */
    MG_RETRY_RESUME,          /* a stream that goes on behind its last event */
} mg_retry_policy;

typedef struct mg_service {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    char health_path[MG_TEXT_SIZE];
    uint32_t conns_max;    /* per target, of all entries together */
    bool engine;           /* a model engine, which batches */
    uint32_t slots;        /* requests that an engine runs at once */
    uint32_t kv_tokens;    /* an engine's memory */
    uint32_t event_tokens; /* tokens in an event of its streams */
} mg_service;

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
    int64_t timeout_ms;    /* longest that a caller is kept waiting */
    int64_t goal_ms;       /* on time when answered (begun) within */
    int64_t gap_goal_ms;   /* longest pause between events on time */
    uint32_t tier;         /* 0 is served first */
    uint32_t attempts_max; /* that one request may be sent to */
    bool is_public;        /* needs no key */
    mg_split splits[MG_SPLITS_MAX];
    size_t split_count;
    uint32_t weight_sum;
} mg_route;

typedef struct mg_client_workspace {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    uint32_t tier;           /* goes before the route's */
    bool by_tokens;          /* quota counts tokens, else requests */
    uint32_t default_tokens; /* of a request without a token count */
    double rate;             /* per second; 0: no quota */
    double burst;
} mg_client_workspace;

typedef struct mg_client_key {
    UT_hash_handle hh;
    char *key;
    mg_client_workspace *workspace;
} mg_client_key;

typedef struct mg_routing {
    unsigned refs;
    uint64_t version;
    mg_service *services;
    mg_route *routes;
    mg_client_workspace *workspaces;
    mg_client_key *keys;
    bool has_workspaces; /* requests need a key */
    mg_http_limits limits;
} mg_routing;

/* An empty table with one user. */
mg_routing *
mg_routing_new(void);
mg_routing *
mg_routing_ref(mg_routing *t);
void
mg_routing_unref(mg_routing *t);

/* These take the element over; MG_E_VERSION_CONFLICT when its key is taken. */
mg_rc
mg_routing_add_service(mg_routing *t, mg_service *s);
mg_rc
mg_routing_add_route(mg_routing *t, mg_route *r, mg_str host, mg_str prefix);
mg_rc
mg_routing_add_workspace(mg_routing *t, mg_client_workspace *w);
mg_rc
mg_routing_add_key(mg_routing *t, mg_client_workspace *w, mg_str key);

mg_service *
mg_routing_service(const mg_routing *t, mg_str name);
/* Route with the longest prefix of the path on that host, or NULL. */
const mg_route *
mg_routing_find_route(const mg_routing *t, mg_str host, mg_str path);
const mg_client_workspace *
mg_routing_workspace_by_key(const mg_routing *t, mg_str key);
/* Service for a number that is uniform in [0, 1). */
mg_service *
mg_route_choose_service(const mg_route *r, double at);

#endif
