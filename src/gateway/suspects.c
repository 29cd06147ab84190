#include "gateway/suspects.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/event.h"

#define PROBE_MS 500
/* time in which other entries report whether they reach the service, ms */
#define CONFIRM_MS 800

/* other targets that are probed until one listens */
#define OTHERS_MAX 3

typedef enum probe_stage {
    PROBE_TARGET,  /* connects to the target, which must listen */
    PROBE_ANOTHER, /* it doesn't; connects to another target of the service */
    PROBE_CONFIRM, /* nor does that one: waits for reports of other entries */
} probe_stage;

/* a connection that only checks whether the target still listens */
typedef struct probe {
    mg_channel_callbacks callbacks; /* must be first: cast to probe */
    mg_gateway *gw;
    mg_gw_pool *pool;
    probe_stage stage;
    int64_t down_ms;          /* when the target refused the connection */
    char other[MG_NAME_SIZE]; /* the other target that is probed */
    unsigned others;
    mg_channel *channel;
    uv_timer_t timer;
    mg_suspect suspect; /* id points to the one below */
    uint64_t started_ms;
    char id[MG_NAME_SIZE]; /* of the request */
    char target[MG_NAME_SIZE];
} probe;

uint64_t
mg_suspect_fingerprint(mg_flow *f)
{
    if (f->fingerprint != 0) {
        return f->fingerprint;
    }
    const mg_client_request *c = &f->request;
    mg_str client =
        f->workspace != NULL ? mg_str_of(f->workspace->name) : c->key;
    uint64_t path =
        mg_hash_pair(mg_http_path(c->http), mg_http_query(c->http));
    uint64_t rest = mg_hash_pair(client, mg_http_body(c->http));
    uint64_t h = mg_hash_pair((mg_str){(const char *)&path, sizeof(path)},
                              (mg_str){(const char *)&rest, sizeof(rest)});
    h &= ~MG_STRIKES_PART;
    f->fingerprint = h != 0 ? h : ~MG_STRIKES_PART;
    return f->fingerprint;
}

static uint64_t
part_key(const mg_prompt_part *p)
{
    mg_str id = {(const char *)&p->id, sizeof(p->id)};
    return mg_hash_pair(mg_str_of("part"), id) | MG_STRIKES_PART;
}

/* number of the parts that other requests may share */
static size_t
shared_parts(const mg_flow *f)
{
    return f->request.part_count > 0 ? f->request.part_count - 1 : 0;
}

/* sets keys to the request's own one and those of its parts; returns their
   number */
static size_t
keys_of(mg_flow *f, uint64_t keys[MG_PARTS_MAX])
{
    size_t n = 0;
    keys[n++] = mg_suspect_fingerprint(f);
    for (size_t i = 0; i < shared_parts(f); i++) {
        keys[n++] = part_key(&f->request.parts[i]);
    }
    return n;
}

static const char *
kind_of(uint64_t key)
{
    return key & MG_STRIKES_PART ? "part" : "request";
}

bool
mg_suspect_refuses(mg_flow *f)
{
    uint64_t keys[MG_PARTS_MAX];
    size_t cause[MG_PARTS_MAX];
    if (mg_strikes_is_empty(f->gw->strikes)) {
        return false;
    }
    size_t n = keys_of(f, keys);
    return mg_strikes_find_cause(f->gw->strikes, keys, n, cause) > 0;
}

bool
mg_suspect_may_try(mg_flow *f)
{
    uint64_t keys[MG_PARTS_MAX];
    size_t n = keys_of(f, keys);
    return mg_strikes_may_try(f->gw->strikes, keys, n);
}

void
mg_suspect_tried(mg_flow *f)
{
    uint64_t keys[MG_PARTS_MAX];
    size_t cause[MG_PARTS_MAX];
    size_t n = keys_of(f, keys);
    size_t count = mg_strikes_find_cause(f->gw->strikes, keys, n, cause);
    for (size_t i = 0; i < count; i++) {
        mg_log(MG_EV_CRASH_TRIAL, "id=%.*s kind=%s key=%016" PRIx64,
               MG_STR_FMT(f->request.id), kind_of(keys[cause[i]]),
               keys[cause[i]]);
    }
    mg_strikes_tried(f->gw->strikes, keys, n);
}

static void
add_key(mg_suspect *s, uint64_t key, size_t position)
{
    s->positions[s->key_count] = (unsigned)position;
    s->keys[s->key_count++] = key;
}

void
mg_suspect_of(mg_flow *f, mg_suspect *out)
{
    uint64_t keys[MG_PARTS_MAX];
    size_t n = keys_of(f, keys);
    *out = (mg_suspect){.id = f->request.id, .run = keys[0]};
    add_key(out, keys[0], 0);
    for (size_t i = 1; f->event_count <= 1 && i < n; i++) {
        add_key(out, keys[i], i - 1);
    }
}

static void
log_if_cleared(mg_gateway *gw, uint64_t key, bool was_refused)
{
    if (was_refused && !mg_strikes_blames(gw->strikes, key)) {
        mg_log(MG_EV_CRASH_CLEARED, "kind=%s key=%016" PRIx64, kind_of(key),
               key);
    }
}

static void
key_served(mg_gateway *gw, uint64_t key)
{
    bool refused = mg_strikes_blames(gw->strikes, key);
    mg_strikes_served(gw->strikes, key);
    log_if_cleared(gw, key, refused);
}

void
mg_suspect_parts_served(mg_flow *f)
{
    for (size_t i = 0; i < shared_parts(f); i++) {
        key_served(f->gw, part_key(&f->request.parts[i]));
    }
}

void
mg_suspect_served(mg_flow *f)
{
    key_served(f->gw, mg_suspect_fingerprint(f));
    mg_suspect_parts_served(f);
}

void
mg_suspect_receive_strike(mg_gateway *gw, const mg_load_strike_msg *m)
{
    bool refused = mg_strikes_blames(gw->strikes, m->key);
    unsigned strikes = mg_strikes_receive(gw->strikes, m);
    size_t together = mg_strikes_blames(gw->strikes, m->key);
    if (!refused && together > 0) {
        mg_log(MG_EV_QUARANTINE,
               "kind=%s key=%016" PRIx64 " marks=%u together=%zu reported=1",
               kind_of(m->key), m->key, strikes, together);
    }
}

void
mg_suspect_receive_details(mg_gateway *gw, const mg_load_suspect_msg *m)
{
    bool refused = mg_strikes_blames(gw->strikes, m->key);
    mg_strikes_receive_details(gw->strikes, m);
    log_if_cleared(gw, m->key, refused);
}

void
mg_suspect_receive_served(mg_gateway *gw, const mg_load_served_msg *m)
{
    bool refused = mg_strikes_blames(gw->strikes, m->key);
    mg_strikes_receive_served(gw->strikes, m);
    log_if_cleared(gw, m->key, refused);
}

static void
report_crash(const probe *p)
{
    uint64_t crash = mg_quarantine_crash(p->target, p->started_ms);
    for (size_t i = 0; i < p->suspect.key_count; i++) {
        uint64_t key = p->suspect.keys[i];
        unsigned strikes =
            mg_strikes_add(p->gw->strikes, key, p->suspect.positions[i], crash,
                           p->suspect.run);
        size_t together = mg_strikes_blames(p->gw->strikes, key);
        mg_log(together > 0 ? MG_EV_QUARANTINE : MG_EV_CRASH_SUSPECT,
               "id=%s kind=%s position=%u key=%016" PRIx64
               " target=%s born=%" PRIu64 " marks=%u served=%d together=%zu",
               p->id, kind_of(key), p->suspect.positions[i], key, p->target,
               p->started_ms, strikes,
               mg_strikes_was_served(p->gw->strikes, key), together);
    }
}

static void
on_probe_closed(uv_handle_t *h)
{
    free(h->data);
}

static void
stop_probe(probe *p, const char *outcome)
{
    mg_log(MG_EV_CRASH_PROBE, "id=%s key=%016" PRIx64 " target=%s outcome=%s",
           p->id, p->suspect.keys[0], p->target, outcome);
    if (p->channel != NULL) {
        mg_channel_close(p->channel);
        p->channel = NULL;
    }
    uv_close((uv_handle_t *)&p->timer, on_probe_closed);
}

static void
on_probe_timer(uv_timer_t *t);

static void
start_stage(probe *p, probe_stage stage, int64_t ms)
{
    p->stage = stage;
    uv_timer_start(&p->timer, on_probe_timer, (uint64_t)ms, 0);
}

/* The target refuses connections: it has crashed, or this entry is cut off
   from all targets, or all have crashed. */
static void
probe_another(probe *p)
{
    mg_gw_target *t = mg_gw_random_target(p->gw, p->pool, p->target);
    if (t == NULL || p->others++ == OTHERS_MAX) {
        start_stage(p, PROBE_CONFIRM, CONFIRM_MS);
        return;
    }
    mg_str_copy(p->other, sizeof(p->other), mg_str_of(t->instance->info.id));
    start_stage(p, PROBE_ANOTHER, PROBE_MS);
    p->channel = mg_gw_new_channel(t, &p->callbacks);
}

/* so that it isn't drawn again */
static void
other_failed(const probe *p)
{
    mg_instance *i = mg_registry_find(p->gw->opts.registry, p->other);
    if (i != NULL) {
        mg_gw_target_failed(mg_gw_target_of(p->gw, i), false);
    }
}

static void
on_probe_connected(mg_channel_callbacks *cb)
{
    probe *p = (probe *)cb;
    if (p->stage == PROBE_ANOTHER) {
        report_crash(p);
        stop_probe(p, "down");
        return;
    }
    for (size_t i = 0; p->suspect.may_be_whole && i < p->suspect.key_count;
         i++) {
        key_served(p->gw, p->suspect.keys[i]);
    }
    stop_probe(p, "listens");
}

static void
on_probe_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    probe *p = (probe *)cb;
    p->channel = NULL;
    if (p->stage == PROBE_ANOTHER) {
        other_failed(p);
        probe_another(p);
    }
    else if (result == MG_CHANNEL_CONNECT_FAILED) {
        p->down_ms = mg_now(p->gw->opts.clock);
        probe_another(p);
    }
    else {
        stop_probe(p, "unknown");
    }
}

static void
on_probe_timer(uv_timer_t *t)
{
    probe *p = t->data;
    switch (p->stage) {
    case PROBE_TARGET:
        /* the host may be unreachable or the target busy: no proof */
        stop_probe(p, "timeout");
        break;
    case PROBE_ANOTHER:
        mg_channel_close(p->channel);
        p->channel = NULL;
        start_stage(p, PROBE_CONFIRM, CONFIRM_MS);
        break;
    case PROBE_CONFIRM:
        if (mg_reach_only_others_since(&p->pool->reach, p->down_ms)) {
            stop_probe(p, "cut_off");
            break;
        }
        report_crash(p);
        stop_probe(p, "down");
        break;
    }
}

void
mg_suspect_connection_lost(mg_gateway *gw, mg_gw_target *t,
                           const mg_suspect *suspect)
{
    const mg_announcement *info = &t->instance->info;
    probe *p = mg_alloc(sizeof(*p));
    p->callbacks = (mg_channel_callbacks){.on_connected = on_probe_connected,
                                          .on_end = on_probe_end};
    p->gw = gw;
    p->pool = mg_gw_pool_of(gw, info->service);
    p->suspect = *suspect;
    p->started_ms = info->started_ms;
    mg_str_copy(p->id, sizeof(p->id), suspect->id);
    p->suspect.id = mg_str_of(p->id);
    mg_str_copy(p->target, sizeof(p->target), mg_str_of(info->id));
    uv_timer_init(gw->opts.loop, &p->timer);
    p->timer.data = p;
    start_stage(p, PROBE_TARGET, PROBE_MS);
    p->channel = mg_gw_new_channel(t, &p->callbacks);
}
