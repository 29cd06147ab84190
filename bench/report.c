#include "report.h"

#include <inttypes.h>
#include <stdlib.h>

#include <jansson.h>

static const char *const names[] = {"good",   "late", "refused", "unknown",
                                    "failed", "cut",  "missing", "wrong"};

const char *
mg_result_name(mg_result r)
{
    return names[r];
}

static double
ms(const mg_histogram *h, double q)
{
    return (double)mg_histogram_quantile(h, q) / 1000.0;
}

void
mg_report_print(const mg_report *r, FILE *out)
{
    fprintf(out, "%-5s %8s", "tier", "offered");
    for (int k = 0; k < MG_RESULT_COUNT; k++) {
        fprintf(out, " %8s", names[k]);
    }
    fprintf(out, " %9s %9s %9s %9s %9s\n", "goodput", "first p50", "first p95",
            "gap p95", "total p95");
    for (int i = 0; i < MG_REPORT_TIERS; i++) {
        const mg_tier_report *t = &r->tiers[i];
        fprintf(out, "%-5d %8" PRIu64, i, t->offered);
        for (int k = 0; k < MG_RESULT_COUNT; k++) {
            fprintf(out, " %8" PRIu64, t->results[k]);
        }
        fprintf(out, " %8.1f%% %7.1fms %7.1fms %7.2fms %7.1fms\n",
                t->offered ? 100.0 * (double)t->results[MG_RESULT_GOOD] /
                                 (double)t->offered
                           : 100.0,
                ms(&t->first_us, 0.5), ms(&t->first_us, 0.95),
                ms(&t->gap_us, 0.95), ms(&t->total_us, 0.95));
    }
}

static json_t *
quantiles(const mg_histogram *h)
{
    return json_pack("{s:f, s:f, s:f}", "p50", ms(h, 0.5), "p95", ms(h, 0.95),
                     "p99", ms(h, 0.99));
}

void
mg_report_json(const mg_report *r, FILE *out)
{
    json_t *tiers = json_array();
    for (int i = 0; i < MG_REPORT_TIERS; i++) {
        const mg_tier_report *t = &r->tiers[i];
        json_t *j =
            json_pack("{s:i, s:I, s:o, s:o, s:o}", "tier", i, "offered",
                      (json_int_t)t->offered, "first_ms",
                      quantiles(&t->first_us), "gap_ms", quantiles(&t->gap_us),
                      "total_ms", quantiles(&t->total_us));
        for (int k = 0; k < MG_RESULT_COUNT; k++) {
            json_object_set_new(j, names[k],
                                json_integer((json_int_t)t->results[k]));
        }
        json_array_append_new(tiers, j);
    }
    json_t *body =
        json_pack("{s:f, s:o}", "seconds", r->seconds, "tiers", tiers);
    json_dumpf(body, out, JSON_INDENT(1) | JSON_SORT_KEYS);
    fputc('\n', out);
    json_decref(body);
}

uint64_t
mg_report_fault_count(const mg_report *r)
{
    uint64_t n = 0;
    for (int i = 0; i < MG_REPORT_TIERS; i++) {
        const uint64_t *x = r->tiers[i].results;
        n +=
            x[MG_RESULT_TRUNCATED] + x[MG_RESULT_MISSING] + x[MG_RESULT_WRONG];
    }
    return n;
}
