#include "gateway/versions.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "gateway/rejected.h"

/* newest versions of a service whose first_seen_ms is kept */
#define KNOWN_MAX 8
#define ALL_PERMILLE 1000

typedef struct known_version {
    char version[MG_NAME_SIZE];
    int64_t first_seen_ms;
} known_version;

typedef struct service_rollout {
    UT_hash_handle hh;
    char service[MG_NAME_SIZE];
    known_version known[KNOWN_MAX]; /* oldest first */
    size_t known_count;
    mg_rejected rejected;
    bool has_rollout; /* a rollout record exists; the fields below are valid */
    char version[MG_NAME_SIZE];
    mg_rollout *rollout;
    uint64_t reserved; /* canary requests reserved for all entries */
    /* since the last flush: numbers of requests sent to the old and the new
       version, and encoded samples */
    uint64_t sent_old;
    uint64_t sent_new;
    mg_buf samples;
} service_rollout;

struct mg_versions {
    mg_clock *clock;
    service_rollout *services;
    size_t self_index;
    size_t entry_count;
};

mg_versions *
mg_versions_new(mg_clock *clock)
{
    mg_versions *v = mg_alloc(sizeof(*v));
    v->clock = clock;
    v->entry_count = 1;
    return v;
}

void
mg_versions_free(mg_versions *v)
{
    service_rollout *s;
    service_rollout *s1;
    HASH_ITER(hh, v->services, s, s1)
    {
        HASH_DEL(v->services, s);
        mg_rollout_free(s->rollout);
        mg_buf_free(&s->samples);
        free(s);
    }
    free(v);
}

static service_rollout *
service_of(mg_versions *v, const char *service)
{
    service_rollout *s;
    HASH_FIND_STR(v->services, service, s);
    if (s == NULL) {
        s = mg_alloc(sizeof(*s));
        mg_str_copy(s->service, sizeof(s->service), mg_str_of(service));
        HASH_ADD_STR(v->services, service, s);
    }
    return s;
}

/* this entry's part of the reserved canary requests */
static uint64_t
local_part(const mg_versions *v, uint64_t reserved)
{
    return v->self_index < v->entry_count
               ? (reserved + v->entry_count - 1 - v->self_index) /
                     v->entry_count
               : 0;
}

static void
apply_state(const mg_versions *v, service_rollout *s,
            mg_rollout_state_id state, uint32_t share)
{
    mg_rollout_committed(s->rollout, state, share, local_part(v, s->reserved));
}

static void
start_rollout(mg_versions *v, service_rollout *s,
              const mg_rec_rollout_msg *rec)
{
    mg_rollout_free(s->rollout);
    mg_str_copy(s->version, sizeof(s->version), rec->version);
    s->has_rollout = true;
    s->sent_old = 0;
    s->sent_new = 0;
    s->samples.n = 0;
    s->rollout = mg_rollout_new(&(mg_rollout_options){
        .clock = v->clock,
        .name = s->service,
        .from = "",
        .to = s->version,
        .deadline_wall_ms = INT64_MAX,
        .window_ms = (int64_t)rec->window_ms,
        .slow_factor = MG_VERSION_SLOW_FACTOR,
        .state = (mg_rollout_state_id)rec->state,
        .share_permille = (uint32_t)rec->share_permille,
        .reserved = local_part(v, rec->reserved),
    });
}

void
mg_versions_set_rejected(mg_versions *v, const mg_rec_rejected_msg *rec)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), rec->service);
    service_rollout *s = service_of(v, name);
    /* it may lack the version of the present rollout, which is judged by that
       one; no other rollout is ordered until the record has it */
    mg_rejected_decode(&s->rejected, rec->versions);
}

void
mg_versions_set_rollout(mg_versions *v, const mg_rec_rollout_msg *rec)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), rec->service);
    service_rollout *s = service_of(v, name);
    s->reserved = rec->reserved;
    mg_str_copy(name, sizeof(name), rec->version);
    mg_rejected_follow(&s->rejected, name, (mg_rollout_state_id)rec->state);
    if (!s->has_rollout || !mg_str_is(rec->version, s->version) ||
        mg_rollout_is_restarted(mg_rollout_state(s->rollout),
                                (mg_rollout_state_id)rec->state)) {
        start_rollout(v, s, rec);
        return;
    }
    apply_state(v, s, (mg_rollout_state_id)rec->state,
                (uint32_t)rec->share_permille);
}

void
mg_versions_set_entries(mg_versions *v, size_t self, size_t count)
{
    v->self_index = self;
    v->entry_count = count > 0 ? count : 1;
}

static bool
hold_has_expired(service_rollout *s, const char *version, int64_t now)
{
    for (size_t i = 0; i < s->known_count; i++) {
        if (strcmp(s->known[i].version, version) == 0) {
            return now - s->known[i].first_seen_ms >= MG_VERSION_HOLD_MS;
        }
    }
    if (s->known_count == KNOWN_MAX) {
        memmove(s->known, s->known + 1, sizeof(s->known) - sizeof(*s->known));
        s->known_count--;
    }
    known_version *k = &s->known[s->known_count++];
    mg_str_copy(k->version, sizeof(k->version), mg_str_of(version));
    /* the first version needs no wait: no other one serves */
    k->first_seen_ms = s->known_count == 1 ? now - MG_VERSION_HOLD_MS : now;
    return s->known_count == 1;
}

static mg_version_use
new_version_use(const service_rollout *s)
{
    switch (mg_rollout_state(s->rollout)) {
    case MG_ROLLOUT_DONE:
        return MG_VERSION_PREFERRED;
    case MG_ROLLOUT_CANARY:
    case MG_ROLLOUT_RAMP:
        return mg_rollout_may_use_new(s->rollout) ? MG_VERSION_PREFERRED
                                                  : MG_VERSION_EXCLUDED;
    case MG_ROLLOUT_PENDING:
    case MG_ROLLOUT_ROLLED_BACK:
        break;
    }
    return MG_VERSION_EXCLUDED;
}

/* the new version gets all requests, even if it is still being tested */
static bool
has_all_traffic(const mg_rollout *r)
{
    return mg_rollout_state(r) == MG_ROLLOUT_DONE ||
           (mg_rollout_share(r) == ALL_PERMILLE && mg_rollout_may_use_new(r));
}

mg_version_use
mg_versions_use(mg_versions *v, const char *service, const char *version)
{
    service_rollout *s = service_of(v, service);
    if (s->has_rollout) {
        if (strcmp(version, s->version) == 0) {
            return new_version_use(s);
        }
        if (mg_rejected_has(&s->rejected, version)) {
            return MG_VERSION_EXCLUDED;
        }
        if (has_all_traffic(s->rollout)) {
            return MG_VERSION_FALLBACK;
        }
    }
    return hold_has_expired(s, version, mg_now(v->clock))
               ? MG_VERSION_ALLOWED
               : MG_VERSION_EXCLUDED;
}

/* the service's rollout that has not ended, or NULL */
static service_rollout *
active_rollout(mg_versions *v, const char *service)
{
    service_rollout *s = service_of(v, service);
    if (!s->has_rollout) {
        return NULL;
    }
    mg_rollout_state_id state = mg_rollout_state(s->rollout);
    return state == MG_ROLLOUT_DONE || state == MG_ROLLOUT_ROLLED_BACK ? NULL
                                                                       : s;
}

void
mg_versions_count_sent(mg_versions *v, const char *service,
                       const char *version)
{
    service_rollout *s = active_rollout(v, service);
    if (s == NULL) {
        return;
    }
    bool is_new = strcmp(version, s->version) == 0;
    mg_rollout_count_grant(s->rollout, is_new);
    s->sent_new += is_new;
    s->sent_old += !is_new;
}

static void
subtract_errors(mg_version_sample *s)
{
    double first = s->first_per_token - s->first_error;
    double gap = s->gap_ms - s->gap_error;
    s->first_per_token = first > 0 ? first : 0;
    s->gap_ms = gap > 0 ? gap : 0;
}

void
mg_versions_add_sample(mg_versions *v, const char *service,
                       const char *version, mg_version_sample *sample)
{
    service_rollout *s = active_rollout(v, service);
    if (s == NULL || (strcmp(version, s->version) != 0 &&
                      mg_rejected_has(&s->rejected, version))) {
        return; /* the new version is compared with sound ones */
    }
    sample->is_new = strcmp(version, s->version) == 0;
    if (sample->is_new) {
        subtract_errors(sample);
    }
    mg_rollout_add_sample(s->rollout, sample);
    mg_msg m = {.type = MG_MSG_ROLLOUT_SAMPLE};
    m.u.rollout_sample.route = mg_str_of(sample->route);
    m.u.rollout_sample.is_new = sample->is_new;
    m.u.rollout_sample.failed = sample->failed;
    /* a ratio to the prediction, in millionths, despite the field's name */
    m.u.rollout_sample.first_ns_per_token =
        (uint64_t)(sample->first_per_token * 1e6);
    m.u.rollout_sample.gap_us = (uint64_t)(sample->gap_ms * 1e3);
    mg_msg_encode(&m, &s->samples);
}

void
mg_versions_flush_samples(mg_versions *v,
                          void (*f)(void *user, const mg_msg *m), void *user)
{
    for (service_rollout *s = v->services; s != NULL; s = s->hh.next) {
        if (s->sent_old + s->sent_new == 0 && s->samples.n == 0) {
            continue;
        }
        mg_msg m = {.type = MG_MSG_ROLLOUT_SAMPLES};
        m.u.rollout_samples.service = mg_str_of(s->service);
        m.u.rollout_samples.version = mg_str_of(s->version);
        m.u.rollout_samples.sent_old = s->sent_old;
        m.u.rollout_samples.sent_new = s->sent_new;
        m.u.rollout_samples.samples = mg_str_buf(&s->samples);
        f(user, &m);
        s->sent_old = 0;
        s->sent_new = 0;
        s->samples.n = 0;
    }
}
