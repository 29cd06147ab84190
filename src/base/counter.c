#include "base/counter.h"

#include <inttypes.h>
#include <malloc.h>

#define SUB_BITS 4
#define SUB_COUNT (1 << SUB_BITS)
#define VALUE_LIMIT ((INT64_C(1) << 40) - 1)

static uint64_t counters[MG_COUNTERS];
static int64_t gauges[MG_GAUGES];
static mg_histogram histograms[MG_HISTOGRAMS];

static const char *const counter_names[] = {
#define X(id, name) name,
    MG_COUNTER_LIST(X)
#undef X
};

static const char *const gauge_names[] = {
#define X(id, name) name,
    MG_GAUGE_LIST(X)
#undef X
};

static const char *const histogram_names[] = {
#define X(id, name) name,
    MG_HISTOGRAM_LIST(X)
#undef X
};

void
mg_count(mg_counter c, uint64_t n)
{
    __atomic_fetch_add(&counters[c], n, __ATOMIC_RELAXED);
}

uint64_t
mg_counter_value(mg_counter c)
{
    return __atomic_load_n(&counters[c], __ATOMIC_RELAXED);
}

void
mg_gauge_add(mg_gauge g, int64_t n)
{
    __atomic_fetch_add(&gauges[g], n, __ATOMIC_RELAXED);
}

int64_t
mg_gauge_value(mg_gauge g)
{
    return __atomic_load_n(&gauges[g], __ATOMIC_RELAXED);
}

static size_t
bucket_of(int64_t value)
{
    uint64_t v = (uint64_t)value;
    if (v < SUB_COUNT) {
        return (size_t)v;
    }
    int shift = 63 - __builtin_clzll(v) - SUB_BITS;
    return (size_t)(shift + 1) * SUB_COUNT + (v >> shift) - SUB_COUNT;
}

static int64_t
bucket_upper_bound(size_t bucket)
{
    if (bucket < SUB_COUNT) {
        return (int64_t)bucket;
    }
    size_t shift = bucket / SUB_COUNT - 1;
    uint64_t sub = bucket % SUB_COUNT + SUB_COUNT;
    return (int64_t)(((sub + 1) << shift) - 1);
}

void
mg_histogram_add(mg_histogram *h, int64_t value)
{
    if (value < 0) {
        value = 0;
    }
    if (value > VALUE_LIMIT) {
        value = VALUE_LIMIT;
    }
    h->count++;
    h->bucket[bucket_of(value)]++;
}

int64_t
mg_histogram_quantile(const mg_histogram *h, double q)
{
    if (h->count == 0) {
        return 0;
    }
    uint64_t rank = (uint64_t)(q * (double)h->count + 0.999999);
    uint64_t cumulative = 0;
    for (size_t i = 0; i < MG_HISTOGRAM_BUCKETS; i++) {
        cumulative += h->bucket[i];
        if (cumulative >= rank && cumulative > 0) {
            return bucket_upper_bound(i);
        }
    }
    return VALUE_LIMIT;
}

void
mg_observe(mg_histogram_id id, int64_t value)
{
    mg_histogram_add(&histograms[id], value);
}

int64_t
mg_observed_quantile(mg_histogram_id id, double q)
{
    return mg_histogram_quantile(&histograms[id], q);
}

void
mg_metrics_print(mg_buf *out)
{
    for (size_t i = 0; i < MG_COUNTERS; i++) {
        mg_buf_printf(out, "marigold_%s %" PRIu64 "\n", counter_names[i],
                      counters[i]);
    }
    for (size_t i = 0; i < MG_GAUGES; i++) {
        mg_buf_printf(out, "marigold_%s %" PRId64 "\n", gauge_names[i],
                      mg_gauge_value((mg_gauge)i));
    }
    struct mallinfo2 heap = mallinfo2();
    mg_buf_printf(out, "marigold_heap_used_bytes %zu\n",
                  heap.uordblks + heap.hblkhd);
    mg_buf_printf(out, "marigold_heap_mapped_bytes %zu\n",
                  heap.arena + heap.hblkhd);
    for (size_t i = 0; i < MG_HISTOGRAMS; i++) {
        const mg_histogram *h = &histograms[i];
        static const double quantiles[] = {0.5, 0.95, 0.99};
        for (size_t k = 0; k < 3; k++) {
            mg_buf_printf(out, "marigold_%s{quantile=\"%g\"} %" PRId64 "\n",
                          histogram_names[i], quantiles[k],
                          mg_histogram_quantile(h, quantiles[k]));
        }
        mg_buf_printf(out, "marigold_%s_count %" PRIu64 "\n",
                      histogram_names[i], h->count);
    }
}
