/*
 * counter - named counters and latency histograms of a process
 *
 * Counters are 64-bit, never decrease, and may be incremented from any
 * thread, as may gauges; a histogram is updated by one thread only.
 * mg_metrics_print() appends the text that GET /metrics returns, with the
 * process's heap.
 */
#ifndef MG_COUNTER_H
#define MG_COUNTER_H

#include "base/bytes.h"

/* identifier, metric name without the prefix "marigold_" */
#define MG_COUNTER_LIST(X)                          \
    X(REQUESTS, "requests_total")                   \
    X(COMPLETED, "answered_total")                  \
    X(TRUNCATED, "cut_total")                       \
    X(REFUSED, "refused_total")                     \
    X(CANCELLED, "cancelled_total")                 \
    X(DISPATCHED, "dispatched_total")               \
    X(CONNECT_FAILED, "connect_failed_total")       \
    X(GRANTS, "grants_total")                       \
    X(SHED, "shed_total")                           \
    X(STALE_GRANTS, "stale_grants_total")           \
    X(CLAIMS, "claims_total")                       \
    X(RETRIES, "resends_total")                     \
    X(BAD_INPUT, "bad_input_total")                 \
    X(UNKNOWN_MESSAGES, "unknown_messages_total")   \
    X(LOG_DROPPED, "log_dropped_total")             \
    X(LINKS_OPENED, "links_opened_total")           \
    X(LINKS_LOST, "links_lost_total")               \
    X(LINK_BYTES_IN, "link_bytes_in_total")         \
    X(LINK_BYTES_OUT, "link_bytes_out_total")       \
    X(LINK_REPORT_BYTES, "link_report_bytes_total") \
    X(LINK_MEMBER_BYTES, "link_member_bytes_total") \
    X(LINK_RECORD_BYTES, "link_record_bytes_total") \
    X(LINK_LOG_BYTES, "link_log_bytes_total")       \
    X(LINK_OTHER_BYTES, "link_other_bytes_total")   \
    X(RAFT_ENTRIES, "raft_entries_total")           \
    X(RAFT_SYNCS, "raft_syncs_total")               \
    X(RAFT_ELECTIONS, "raft_elections_total")       \
    X(CONFIG_APPLIED, "config_applied_total")

typedef enum mg_counter {
#define X(id, name) MG_C_##id,
    MG_COUNTER_LIST(X)
#undef X
        MG_COUNTERS
} mg_counter;

/* identifier, metric name; current values that rise and fall, in bytes */
#define MG_GAUGE_LIST(X)                \
    X(LINK_UNSENT, "link_unsent_bytes") \
    X(LOG_MEMORY, "log_memory_bytes")

typedef enum mg_gauge {
#define X(id, name) MG_G_##id,
    MG_GAUGE_LIST(X)
#undef X
        MG_GAUGES
} mg_gauge;

/* identifier, metric name; values in microseconds */
#define MG_HISTOGRAM_LIST(X)       \
    X(CLAIM_WAIT, "claim_wait_us") \
    X(GRANT_WAIT, "grant_wait_us") \
    X(FIRST_BYTE, "first_byte_us") \
    X(SYNC_TIME, "sync_us")        \
    X(LOOP_ITERATION, "loop_turn_us")

typedef enum mg_histogram_id {
#define X(id, name) MG_H_##id,
    MG_HISTOGRAM_LIST(X)
#undef X
        MG_HISTOGRAMS
} mg_histogram_id;

void
mg_count(mg_counter c, uint64_t n);
uint64_t
mg_counter_value(mg_counter c);
/* Adds to the current value, which all threads share. */
void
mg_gauge_add(mg_gauge g, int64_t n);
int64_t
mg_gauge_value(mg_gauge g);

/*
 * Log-linear buckets, 16 for each power of two: a quantile is at most 1/16
 * above the true value. Values are clamped to [0, 2^40).
 */
#define MG_HISTOGRAM_BUCKETS (37 * 16)

typedef struct mg_histogram {
    uint64_t count;
    uint64_t bucket[MG_HISTOGRAM_BUCKETS];
} mg_histogram;

void
mg_histogram_add(mg_histogram *h, int64_t value);
/* Upper bound of the bucket that holds quantile q in (0, 1]; 0 when empty. */
int64_t
mg_histogram_quantile(const mg_histogram *h, double q);

/* Adds a value to a histogram of the process. */
void
mg_observe(mg_histogram_id id, int64_t value);
/* mg_histogram_quantile() of a histogram of the process. */
int64_t
mg_observed_quantile(mg_histogram_id id, double q);
void
mg_metrics_print(mg_buf *out);

#endif
