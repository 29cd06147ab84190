#include "workload.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/outcome.h"

#define PREFIXES 4
#define PREFIX_BYTES 512

static const mg_client_class hanbit_clients[] = {
    {"gangwon-blanks", 0, 0.25, 0.2, 8000},
    {"gyeonggi-turners", 0, 0.15, 0.2, 8000},
    {"schools", 1, 0.20, 0.0, 12000},
    {"craft-shops", 1, 0.10, 0.3, 12000},
    {"moisture-logs", 2, 0.30, 0.0, 30000},
};

static const mg_client_class kyushu_clients[] = {
    {"fukuoka-daily", 0, 0.25, 0.1, 6000},
    {"kumamoto-press", 0, 0.15, 0.1, 6000},
    {"kagoshima-post", 1, 0.20, 0.1, 15000},
    {"syndication", 1, 0.15, 0.2, 15000},
    {"catalogue", 2, 0.25, 0.0, 60000},
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const mg_profile profiles[] = {
    {"hanbit", "grain-llm", "yard-app", hanbit_clients, COUNT(hanbit_clients)},
    {"kyushu", "column-llm", "sales-desk", kyushu_clients,
     COUNT(kyushu_clients)},
};

struct mg_workload {
    mg_workload_options opts;
    mg_rng rng;
    double at_ms;
    uint32_t count;
};

const mg_profile *
mg_profile_find(const char *name)
{
    for (size_t i = 0; i < COUNT(profiles); i++) {
        if (strcmp(profiles[i].name, name) == 0) {
            return &profiles[i];
        }
    }
    return NULL;
}

mg_workload *
mg_workload_new(const mg_workload_options *opts)
{
    mg_workload *w = mg_alloc(sizeof(*w));
    w->opts = *opts;
    mg_rng_init(&w->rng, opts->seed);
    return w;
}

void
mg_workload_free(mg_workload *w)
{
    free(w);
}

static uint32_t
log_uniform(mg_rng *r, uint32_t min, uint32_t max)
{
    double u = mg_rng_unit(r);
    return (uint32_t)(min * pow((double)max / min, u));
}

static const mg_client_class *
pick_client(mg_workload *w)
{
    double u = mg_rng_unit(&w->rng);
    const mg_profile *p = w->opts.profile;
    for (size_t i = 0; i + 1 < p->client_count; i++) {
        u -= p->clients[i].arrival_fraction;
        if (u < 0) {
            return &p->clients[i];
        }
    }
    return &p->clients[p->client_count - 1];
}

bool
mg_workload_next(mg_workload *w, mg_arrival *a)
{
    w->at_ms += -log(1.0 - mg_rng_unit(&w->rng)) * 1000.0 / w->opts.rate;
    if (w->at_ms >= (double)w->opts.duration_ms) {
        return false;
    }
    a->at_ms = (int64_t)w->at_ms;
    a->number = w->count++;
    a->client = pick_client(w);
    a->service = mg_rng_unit(&w->rng) < a->client->service_fraction;
    a->stream = mg_rng_unit(&w->rng) < 0.8;
    a->keyed = mg_rng_unit(&w->rng) < w->opts.keyed_fraction || a->service;
    a->decode_tokens =
        log_uniform(&w->rng, w->opts.decode_min, w->opts.decode_max);
    a->prompt_bytes =
        log_uniform(&w->rng, w->opts.prompt_min, w->opts.prompt_max);
    a->prefix_index = mg_rng_below(&w->rng, PREFIXES);
    return true;
}

void
mg_workload_prompt(const mg_workload *w, const mg_arrival *a, mg_buf *out)
{
    size_t start = out->n;
    if (a->prompt_bytes > PREFIX_BYTES) {
        while (out->n - start < PREFIX_BYTES) {
            mg_buf_printf(out, "%s shared prefix %u. ", a->client->workspace,
                          a->prefix_index);
        }
    }
    mg_buf_printf(out, "request %u of seed %" PRIu64 " ", a->number,
                  w->opts.seed);
    while (out->n - start < a->prompt_bytes) {
        mg_buf_printf(out, "maple zelkova walnut %u ", a->number);
    }
}
