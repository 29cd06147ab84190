/*
 * report - what became of the requests of a run
 */
#ifndef MG_REPORT_H
#define MG_REPORT_H

#include <stdio.h>

#include "base/counter.h"

#define MG_REPORT_TIERS 3

typedef enum mg_result {
    MG_RESULT_GOOD,    /* whole, its own, within the deadline */
    MG_RESULT_LATE,    /* whole and its own */
    MG_RESULT_REFUSED, /* told that it did not run */
    MG_RESULT_UNKNOWN, /* told that the outcome is unknown */
    MG_RESULT_FAILED,  /* the target's own error, told as such */
    MG_RESULT_CUT,     /* ended early, without a typed outcome */
    MG_RESULT_MISSING, /* no answer at all */
    MG_RESULT_WRONG,   /* not the answer to its own request */
    MG_RESULTS,
} mg_result;

typedef struct mg_tier_report {
    uint64_t offered;
    uint64_t results[MG_RESULTS];
    mg_histogram first_us;
    mg_histogram gap_us; /* mean gap of each answer */
    mg_histogram total_us;
} mg_tier_report;

typedef struct mg_report {
    mg_tier_report tiers[MG_REPORT_TIERS];
    uint64_t by_version[2]; /* good answers: first version seen, others */
    double seconds;
} mg_report;

const char *
mg_result_name(mg_result r);
void
mg_report_print(const mg_report *r, FILE *out);
void
mg_report_json(const mg_report *r, FILE *out);
/* Answers that a correct system never gives. */
uint64_t
mg_report_faults(const mg_report *r);

#endif
