/*
 * report - outcomes and latencies of the requests of a run
 */
#ifndef MG_REPORT_H
#define MG_REPORT_H

#include <stdio.h>

#include "base/counter.h"

#define MG_REPORT_TIERS 3

typedef enum mg_result {
    MG_RESULT_GOOD,      /* complete, matches its request, by the deadline */
    MG_RESULT_LATE,      /* complete, matches its request, too late */
    MG_RESULT_REFUSED,   /* error response: the request did not run */
    MG_RESULT_UNKNOWN,   /* error response: the outcome is unknown */
    MG_RESULT_FAILED,    /* error status of the target itself */
    MG_RESULT_TRUNCATED, /* response ended early, without a typed error */
    MG_RESULT_MISSING,   /* no response */
    MG_RESULT_WRONG,     /* response of another request */
    MG_RESULT_COUNT,
} mg_result;

typedef struct mg_tier_report {
    uint64_t offered; /* requests started */
    uint64_t results[MG_RESULT_COUNT];
    mg_histogram first_us; /* time to the first byte */
    mg_histogram gap_us;   /* mean time between tokens of a response */
    mg_histogram total_us;
} mg_tier_report;

typedef struct mg_report {
    mg_tier_report tiers[MG_REPORT_TIERS];
    /* MG_RESULT_GOOD requests: [0] of the first version seen, [1] of others */
    uint64_t by_version[2];
    double seconds;
} mg_report;

const char *
mg_result_name(mg_result r);
void
mg_report_print(const mg_report *r, FILE *out);
void
mg_report_json(const mg_report *r, FILE *out);
/* Number of truncated, missing and wrong responses; 0 for a correct system. */
uint64_t
mg_report_fault_count(const mg_report *r);

#endif
