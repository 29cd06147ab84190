#include "gateway/suspects.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/event.h"

#define PROBE_MS 500

/* a connection that only checks whether the target still listens */
typedef struct probe {
    mg_channel_callbacks callbacks; /* must be first: cast to probe */
    mg_gateway *gw;
    mg_channel *channel;
    uv_timer_t timer;
    uint64_t fingerprint;
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
    f->fingerprint = h != 0 ? h : 1;
    return f->fingerprint;
}

bool
mg_suspect_refuses(mg_flow *f)
{
    return !mg_strikes_is_empty(f->gw->strikes) &&
           mg_strikes_refuses(f->gw->strikes, mg_suspect_fingerprint(f));
}

static void
log_strike(uint64_t fingerprint, const char *target, unsigned strikes)
{
    mg_log(strikes < MG_STRIKES_MAX ? MG_EV_CRASH_SUSPECT : MG_EV_QUARANTINE,
           "fingerprint=%016" PRIx64 " target=%s marks=%u", fingerprint,
           target, strikes);
}

void
mg_suspect_receive_strike(mg_gateway *gw, const mg_load_strike_msg *m)
{
    bool refused = mg_strikes_refuses(gw->strikes, m->key);
    unsigned strikes = mg_strikes_receive(gw->strikes, m->key, m->crash);
    if (!refused && strikes >= MG_STRIKES_MAX) {
        log_strike(m->key, "-", strikes);
    }
}

static void
report_crash(const probe *p)
{
    uint64_t crash = mg_quarantine_crash(p->target, p->started_ms);
    log_strike(p->fingerprint, p->target,
               mg_strikes_add(p->gw->strikes, p->fingerprint, crash));
}

static void
on_probe_closed(uv_handle_t *h)
{
    free(h->data);
}

static void
stop_probe(probe *p, const char *outcome)
{
    mg_log(MG_EV_CRASH_PROBE,
           "id=%s fingerprint=%016" PRIx64 " target=%s outcome=%s", p->id,
           p->fingerprint, p->target, outcome);
    if (p->channel != NULL) {
        mg_channel_close(p->channel);
        p->channel = NULL;
    }
    uv_close((uv_handle_t *)&p->timer, on_probe_closed);
}

static void
on_probe_connected(mg_channel_callbacks *cb)
{
    stop_probe((probe *)cb, "listens");
}

static void
on_probe_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    probe *p = (probe *)cb;
    p->channel = NULL;
    if (result == MG_CHANNEL_CONNECT_FAILED) {
        report_crash(p);
        stop_probe(p, "down");
        return;
    }
    stop_probe(p, "unknown");
}

/* Adds no strike: the host may be unreachable or the target busy, so a timeout
   proves no crash. */
static void
on_probe_timer(uv_timer_t *t)
{
    stop_probe(t->data, "timeout");
}

void
mg_suspect_connection_lost(mg_gateway *gw, mg_gw_target *t, mg_str id,
                           uint64_t fingerprint)
{
    const mg_announcement *info = &t->instance->info;
    probe *p = mg_alloc(sizeof(*p));
    p->callbacks = (mg_channel_callbacks){.on_connected = on_probe_connected,
                                          .on_end = on_probe_end};
    p->gw = gw;
    p->fingerprint = fingerprint;
    p->started_ms = info->started_ms;
    mg_str_copy(p->id, sizeof(p->id), id);
    mg_str_copy(p->target, sizeof(p->target), mg_str_of(info->id));
    uv_timer_init(gw->opts.loop, &p->timer);
    p->timer.data = p;
    uv_timer_start(&p->timer, on_probe_timer, PROBE_MS, 0);
    p->channel = mg_gw_new_channel(t, &p->callbacks);
}
