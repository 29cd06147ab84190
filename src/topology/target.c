#include "topology/target.h"

/* minimum weight of a sample in the running averages */
#define SAMPLE_WEIGHT_MIN 0.1
/* a sample counts as at most this multiple of the average, so that one stalled
   response does not make a target look too slow; if the target remains slow,
   the average follows within some ten samples */
#define SAMPLE_MAX_FACTOR 4.0
/* estimates before the first sample */
#define INITIAL_FIRST_PER_TOKEN 0.1
#define INITIAL_GAP_MS 10.0
/* fraction of the prefill that remains if the prefix is cached */
#define PREFIX_HIT_FACTOR 0.2

void
mg_target_on_announce(mg_target *t, const mg_announce_msg *a, int64_t now)
{
    mg_str_copy(t->addr, sizeof(t->addr), a->addr);
    mg_str_copy(t->version, sizeof(t->version), a->version);
    mg_str_copy(t->domain, sizeof(t->domain), a->domain);
    t->epoch = a->epoch;
    t->slots_max = (uint32_t)a->slots;
    t->tokens_max = (uint32_t)a->tokens_max;
    t->draining = t->draining || a->leaving;
    t->lease_until_ms = now + MG_TARGET_LEASE_MS;
    t->connect_failed = false;
    t->reported_running = (uint32_t)a->running;
    t->reported_ms = now - (int64_t)a->report_age_ms;
    if (t->samples == 0) {
        t->first_per_token = INITIAL_FIRST_PER_TOKEN;
        t->gap_ms = INITIAL_GAP_MS;
    }
}

bool
mg_target_usable(const mg_target *t, int64_t now)
{
    return !t->draining && !t->connect_failed && now < t->lease_until_ms;
}

void
mg_target_add_slot(mg_target *t, mg_slot *s)
{
    s->target = t;
    list_add_tail(&s->link, &t->slots);
    t->running++;
    t->suspects += s->suspect;
    t->predicted_tokens += s->prefill + s->decode;
}

void
mg_target_remove_slot(mg_target *t, mg_slot *s)
{
    list_del(&s->link);
    s->target = NULL;
    t->running--;
    t->suspects -= s->suspect;
    t->predicted_tokens -= s->prefill + s->decode;
}

/* Updates a running average: the arithmetic mean of the first samples, then
   an exponentially weighted one. */
static void
update_mean(double *mean, double value, uint64_t samples)
{
    double w = 1.0 / (double)(samples + 1);
    if (samples > 0 && *mean > 0 && value > *mean * SAMPLE_MAX_FACTOR) {
        value = *mean * SAMPLE_MAX_FACTOR;
    }
    *mean += (value - *mean) * (w > SAMPLE_WEIGHT_MIN ? w : SAMPLE_WEIGHT_MIN);
}

void
mg_target_add_sample(mg_target *t, uint32_t prefill, double first_ms,
                     double total_ms, uint32_t tokens)
{
    update_mean(&t->first_per_token, first_ms / (prefill + 1.0), t->samples);
    if (tokens > 1) {
        update_mean(&t->gap_ms, (total_ms - first_ms) / (tokens - 1.0),
                    t->samples);
    }
    t->samples++;
}

bool
mg_target_has_prefix(const mg_target *t, uint64_t prefix)
{
    return prefix != 0 && t->prefixes[prefix % MG_TARGET_PREFIXES] == prefix;
}

void
mg_target_add_prefix(mg_target *t, uint64_t prefix)
{
    if (prefix != 0) {
        t->prefixes[prefix % MG_TARGET_PREFIXES] = prefix;
    }
}

/* Prefill tokens that the running requests have not processed yet. */
static double
prefill_backlog(const mg_target *t, int64_t now)
{
    double backlog = 0;
    list_for_each(el, &t->slots)
    {
        const mg_slot *s = list_entry(el, mg_slot, link);
        double done = (double)(now - s->granted_ms) / t->first_per_token;
        double left = s->prefill - done;
        backlog += left > 0 ? left : 0;
    }
    return backlog;
}

mg_estimate
mg_target_estimate(const mg_target *t, uint32_t prefill, uint32_t decode,
                   uint64_t prefix, int64_t now)
{
    mg_estimate e;
    e.prefix_hit = mg_target_has_prefix(t, prefix);
    double work = prefill * (e.prefix_hit ? PREFIX_HIT_FACTOR : 1.0) + 1.0;
    double load = t->slots_max ? (double)t->running / t->slots_max : 1.0;
    e.first_ms = (work + prefill_backlog(t, now)) * t->first_per_token;
    e.total_ms = e.first_ms + decode * t->gap_ms * (1.0 + load);
    return e;
}
