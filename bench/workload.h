/*
 * workload - seeded request arrivals modelled on a deployment
 *
 * Open loop: arrivals are a Poisson process that does not wait for responses.
 * Lengths are log-uniform between their bounds, a factor of 100 apart by
 * default. The same seed yields the same arrivals: times, clients, lengths
 * and texts.
 */
#ifndef MG_WORKLOAD_H
#define MG_WORKLOAD_H

#include "base/bytes.h"
#include "base/clock.h"

/* clients of one workspace */
typedef struct mg_client_class {
    const char *workspace;
    unsigned tier;
    double arrival_fraction; /* its part of all arrivals, 0 to 1 */
    double service_fraction; /* part of its requests to the service, 0 to 1 */
    int64_t deadline_ms;
} mg_client_class;

typedef struct mg_profile {
    const char *name;
    const char *model;
    const char *service;
    const mg_client_class *clients;
    size_t client_count;
} mg_profile;

typedef struct mg_workload_options {
    const mg_profile *profile;
    uint64_t seed;
    double rate; /* arrivals per second */
    int64_t duration_ms;
    /* fraction of the model requests that have an idempotency key, 0 to 1 */
    double keyed_fraction;
    uint32_t decode_min; /* tokens */
    uint32_t decode_max;
    uint32_t prompt_min; /* bytes */
    uint32_t prompt_max;
} mg_workload_options;

typedef struct mg_arrival {
    int64_t at_ms;
    const mg_client_class *client;
    bool service; /* the request is for the service, else for the model */
    bool stream;
    bool keyed;      /* sent with an idempotency key */
    uint32_t number; /* counts from 0 */
    uint32_t decode_tokens;
    uint32_t prompt_bytes;
    uint32_t prefix_index; /* shared prefix that a long prompt starts with */
} mg_arrival;

typedef struct mg_workload mg_workload;

/* NULL when no profile has the name. */
const mg_profile *
mg_profile_find(const char *name);
mg_workload *
mg_workload_new(const mg_workload_options *opts);
void
mg_workload_free(mg_workload *w);
/* Returns the next arrival, or false at the end of the duration. */
bool
mg_workload_next(mg_workload *w, mg_arrival *a);
/* Appends the prompt: the shared prefix, then text unique to the arrival. */
void
mg_workload_prompt(const mg_workload *w, const mg_arrival *a, mg_buf *out);

#endif
