#include "gateway/gateway.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "gateway/gateway_int.h"
#include "gateway/relay.h"

#define SWEEP_MS 500

mg_gateway *
mg_gateway_new(const mg_gateway_options *opts)
{
    mg_gateway *gw = mg_alloc(sizeof(*gw));
    gw->opts = *opts;
    mg_str_copy(gw->domain, sizeof(gw->domain), mg_str_of(opts->domain));
    mg_rng_init(&gw->rng, opts->seed);
    init_list_head(&gw->scheduled_pools);
    gw->strikes = mg_strikes_new(opts->clock);
    gw->versions = mg_versions_new(opts->clock);
    gw->started_ms = mg_now(opts->clock);
    gw->entry_count = 1;
    gw->gen = 1;
    return gw;
}

void
mg_gateway_set_routing(mg_gateway *gw, mg_routing *t)
{
    mg_routing_unref(gw->routing);
    gw->routing = t;
    mg_log(MG_EV_CONFIG_APPLIED, "version=%" PRIu64 " routes=%u services=%u",
           t->version, HASH_COUNT(t->routes), HASH_COUNT(t->services));
    mg_count(MG_C_CONFIG_APPLIED, 1);
}

const mg_routing *
mg_gateway_routing(const mg_gateway *gw)
{
    return gw->routing;
}

void
mg_gateway_set_limits(mg_gateway *gw, const mg_gateway_limits *l)
{
    gw->opts.limits = *l;
}

void
mg_gateway_handle(mg_gateway *gw, mg_http_req *r)
{
    mg_flow_start(gw, r, false);
}

void
mg_gateway_handle_relayed(mg_gateway *gw, mg_http_req *r)
{
    mg_flow_start(gw, r, true);
}

bool
mg_gateway_is_cut(const mg_gateway *gw)
{
    for (const mg_gw_pool *p = gw->pools; p != NULL; p = p->hh.next) {
        if (p->cut) {
            return true;
        }
    }
    return false;
}

void
mg_gateway_instance_changed(mg_gateway *gw, mg_instance *i)
{
    mg_gw_target *t = mg_gw_target_of(gw, i);
    gw->gen++;
    if (i->info.state == MG_INSTANCE_READY) {
        mg_gw_target_served(t);
        mg_gw_pool_schedule(gw, mg_gw_pool_of(gw, i->info.service));
    }
    else {
        mg_gw_close_idle(t);
    }
}

void
mg_gateway_instance_removed(mg_instance *i)
{
    mg_gw_target *t = i->owner_data;
    i->owner_data = NULL;
    if (t != NULL) {
        t->gw->gen++;
        mg_gw_close_all(t);
        free(t);
    }
}

void
mg_gateway_drain(mg_gateway *gw)
{
    gw->draining = true;
}

size_t
mg_gateway_open_requests(const mg_gateway *gw)
{
    return gw->open_requests;
}

void
mg_gateway_set_entries(mg_gateway *gw, const mg_gateway_entry *entries,
                       size_t n, size_t self)
{
    bool same = gw->entry_count == n && gw->self_index == self;
    n = n < MG_GW_ENTRIES_MAX ? n : MG_GW_ENTRIES_MAX;
    for (size_t i = 0; i < n; i++) {
        uint32_t number = mg_gw_domain_number(entries[i].domain);
        uint64_t key = mg_hash(mg_str_of(entries[i].node));
        same =
            same && gw->entry_domains[i] == number && gw->entry_keys[i] == key;
        gw->entry_domains[i] = number;
        gw->entry_keys[i] = key;
    }
    if (!same) {
        gw->entry_count = n;
        gw->self_index = self;
        gw->gen++;
        mg_versions_set_entries(gw->versions, self, n);
        mg_strikes_set_entries(gw->strikes, self, n);
    }
}

void
mg_gateway_set_rollout(mg_gateway *gw, const mg_rec_rollout_msg *rec)
{
    mg_versions_set_rollout(gw->versions, rec);
    mg_gw_schedule_waiting(gw);
}

void
mg_gateway_set_rejected(mg_gateway *gw, const mg_rec_rejected_msg *rec)
{
    mg_versions_set_rejected(gw->versions, rec);
}

void
mg_gateway_flush_rollout_samples(mg_gateway *gw,
                                 void (*f)(void *user, const mg_msg *m),
                                 void *user)
{
    mg_versions_flush_samples(gw->versions, f, user);
}

double
mg_gateway_running_on_other_versions(const mg_gateway *gw, const char *service,
                                     const char *version)
{
    double running = 0;
    mg_instance_group *g = mg_registry_service(gw->opts.registry, service);
    if (g == NULL) {
        return 0;
    }
    list_for_each(el, &g->instances)
    {
        const mg_instance *i = list_entry(el, mg_instance, link);
        const mg_gw_target *t = i->owner_data;
        if (t != NULL && strcmp(i->info.version, version) != 0) {
            running += t->running + t->reported_running;
        }
    }
    return running;
}

static void
sweep_target(void *user, mg_instance *i)
{
    (void)user;
    if (i->owner_data != NULL) {
        mg_gw_close_idle(i->owner_data);
        mg_gw_target_expire_capacity(i->owner_data);
    }
}

void
mg_gateway_tick(mg_gateway *gw)
{
    int64_t now = mg_now(gw->opts.clock);
    mg_relay_probe(gw);
    mg_gw_schedule_waiting(gw);
    if (now >= gw->next_sweep_ms) {
        gw->next_sweep_ms = now + SWEEP_MS;
        mg_gw_drop_stale_reports(gw);
        mg_strikes_expire(gw->strikes);
        mg_registry_each(gw->opts.registry, sweep_target, NULL);
    }
}
