/*
 * workload - seeded arrivals in the shape of a deployment
 *
 * Open loop: arrivals are a Poisson process that does not wait for answers.
 * Lengths are log-uniform over a hundredfold. The same seed gives the same
 * arrivals: times, callers, lengths and texts.
 */
#ifndef MG_WORKLOAD_H
#define MG_WORKLOAD_H

#include "base/bytes.h"
#include "base/clock.h"

typedef struct mg_caller_kind {
    const char *workspace;
    unsigned tier;
    double share;    /* of the arrivals */
    double services; /* part of them that call the plain service */
    int64_t deadline_ms;
} mg_caller_kind;

typedef struct mg_profile {
    const char *name;
    const char *model;
    const char *service;
    const mg_caller_kind *callers;
    size_t caller_count;
} mg_profile;

typedef struct mg_workload_options {
    const mg_profile *profile;
    uint64_t seed;
    double rate; /* arrivals a second */
    int64_t duration_ms;
    double keyed; /* part of model requests with an idempotency key */
    uint32_t decode_min;
    uint32_t decode_max;
    uint32_t prompt_min; /* bytes */
    uint32_t prompt_max;
} mg_workload_options;

typedef struct mg_arrival {
    int64_t at_ms;
    const mg_caller_kind *caller;
    bool service;
    bool stream;
    bool keyed;
    uint32_t number;
    uint32_t decode;
    uint32_t prompt;
    uint32_t prefix; /* which shared prefix its prompt starts with */
} mg_arrival;

typedef struct mg_workload mg_workload;

/* NULL when no profile has the name. */
const mg_profile *
mg_profile_find(const char *name);
mg_workload *
mg_workload_new(const mg_workload_options *opts);
void
mg_workload_free(mg_workload *w);
/* false when the duration is over */
bool
mg_workload_next(mg_workload *w, mg_arrival *a);
/* The prompt's text, unique to the arrival behind its shared prefix. */
void
mg_workload_prompt(const mg_workload *w, const mg_arrival *a, mg_buf *out);

#endif
