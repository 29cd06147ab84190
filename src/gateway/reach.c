#include "gateway/reach.h"

/* a service is reached several times in this time, or it has few requests */
#define QUIET_MS 400
/* a report is at most this much older than it says, ms */
#define REPORT_DELAY_MS 300
/* after this time a success says nothing about now, ms */
#define OLD_MS 2000

void
mg_reach_ok(mg_reach *r, int64_t now)
{
    r->ok_ms = now;
    r->failures = 0;
}

void
mg_reach_failed(mg_reach *r)
{
    r->failures++;
}

void
mg_reach_reported(mg_reach *r, int64_t age_ms, int64_t now)
{
    if (now - age_ms > r->others_ms) {
        r->others_ms = now - age_ms;
    }
}

bool
mg_reach_only_others_since(const mg_reach *r, int64_t since_ms)
{
    return r->ok_ms < since_ms && r->others_ms - REPORT_DELAY_MS > since_ms;
}

bool
mg_reach_is_cut(const mg_reach *r, int64_t now)
{
    return r->failures >= MG_REACH_FAILURES && now - r->ok_ms > QUIET_MS &&
           now - r->others_ms < OLD_MS &&
           mg_reach_only_others_since(r, r->ok_ms + 1);
}

int64_t
mg_reach_report_age(const mg_reach *r, int64_t now)
{
    return r->ok_ms != 0 && now - r->ok_ms < OLD_MS ? now - r->ok_ms : -1;
}
