#include "gateway/gateway_int.h"
#include "gateway/relay.h"
#include "gateway/suspects.h"

void
mg_gw_pool_dispatch(mg_gateway *gw, mg_gw_pool *p)
{
    mg_ticket *ticket;
    while ((ticket = mg_tierq_head(p->waiting)) != NULL) {
        mg_flow *f = list_entry(ticket, mg_flow, ticket);
        bool relayed = mg_relay_wanted(f);
        bool trial = mg_suspect_refuses(f);
        if (trial && (relayed || !mg_suspect_may_try(f))) {
            mg_flow_refuse_suspect(f);
            continue;
        }
        mg_gw_target *t = relayed ? NULL : mg_gw_choose_target(gw, f);
        if (t == NULL && !relayed) {
            return;
        }
        mg_tierq_serve(p->waiting, ticket);
        mg_dequeue_rate_count(&p->dequeue_rate, mg_now(gw->opts.clock));
        if (trial) {
            mg_suspect_tried(f);
        }
        if (relayed) {
            mg_relay_start(f);
        }
        else {
            mg_flow_dispatch(f, t);
        }
    }
}

void
mg_gateway_dispatch_scheduled(mg_gateway *gw)
{
    list_for_each_safe(el, el1, &gw->scheduled_pools)
    {
        mg_gw_pool *p = list_entry(el, mg_gw_pool, link);
        list_del(&p->link);
        p->scheduled = false;
        mg_gw_pool_dispatch(gw, p);
    }
}
