#include <stdlib.h>
#include <string.h>

#include "gateway/gateway_int.h"

/* --------------------------------------------------------------- pools */

mg_gw_pool *
mg_gw_pool_of(mg_gateway *gw, const char *service)
{
    mg_gw_pool *p;
    HASH_FIND_STR(gw->pools, service, p);
    if (p == NULL) {
        p = mg_alloc(sizeof(*p));
        p->gw = gw;
        mg_str_copy(p->service, sizeof(p->service), mg_str_of(service));
        p->waiting = mg_tierq_new();
        mg_retry_budget_init(&p->retry_budget,
                             gw->opts.limits.retry_window_ms);
        init_list_head(&p->link);
        HASH_ADD_STR(gw->pools, service, p);
    }
    return p;
}

void
mg_gw_pool_schedule(mg_gateway *gw, mg_gw_pool *p)
{
    if (!p->scheduled) {
        p->scheduled = true;
        list_add_tail(&p->link, &gw->scheduled_pools);
    }
}

void
mg_gw_schedule_waiting(mg_gateway *gw)
{
    for (mg_gw_pool *p = gw->pools; p != NULL; p = p->hh.next) {
        if (mg_tierq_count(p->waiting) > 0) {
            mg_gw_pool_schedule(gw, p);
        }
    }
}

mg_gw_usage *
mg_gw_usage_of(mg_gateway *gw, const char *workspace)
{
    mg_gw_usage *u;
    HASH_FIND_STR(gw->usage, workspace, u);
    if (u == NULL) {
        u = mg_alloc(sizeof(*u));
        mg_str_copy(u->workspace, sizeof(u->workspace), mg_str_of(workspace));
        mg_quota_set(
            &u->quota,
            &(mg_quota_limits){.window_ms = gw->opts.limits.quota_window_ms});
        mg_quota_set_view(&u->quota, 0, 1, 0);
        if (gw->entry_count > 1 || gw->report_age_ms > 0) {
            mg_quota_start_empty(&u->quota, gw->started_ms);
        }
        HASH_ADD_STR(gw->usage, workspace, u);
    }
    return u;
}

uint32_t
mg_gw_domain_number(const char *domain)
{
    return (uint32_t)mg_hash(mg_str_of(domain));
}
