/*
 * fresh - serving while the control group is unreachable
 *
 * The leader accepts a change of the document only while most entries hold
 * leases. An entry without a lease queries the others; if a majority of all
 * entries, itself included, have expired leases (see
 * mg_control_link_lease_expired), no change can have been accepted since, and
 * the entry serves for MG_SERVE_WITHOUT_CONTROL_MS from the time of the query.
 * An entry that has a newer document is not counted.
 */
#include "entry/entry_int.h"

#include <stdlib.h>
#include <string.h>

#include "base/event.h"

#define QUERY_INTERVAL_MS 250
#define MEMBERS_MAX 512

static void
query_members(mg_entry *e, int64_t now)
{
    mg_msg m = {.type = MG_MSG_FRESH_REQ};
    m.u.fresh_req.seq = (uint64_t)now;
    const mg_member *p = mg_view_members(e->view);
    for (; p != NULL; p = p->hh.next) {
        if (strcmp(p->node, e->settings.node) != 0) {
            mg_net_send(e->net, p->node, &m);
        }
    }
}

static int
compare_descending(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x < y) - (x > y);
}

/* latest time at which a majority of the members is known to be unleased */
static int64_t
majority_unleased_ms(mg_entry *e, int64_t now)
{
    int64_t times[MEMBERS_MAX];
    size_t members = 0;
    size_t n = 0;
    const mg_member *p = mg_view_members(e->view);
    for (; p != NULL && members < MEMBERS_MAX; p = p->hh.next) {
        /* excludes stopped and removed members, as the leader does */
        if (p->draining >= 2) {
            continue;
        }
        members++;
        times[n++] = strcmp(p->node, e->settings.node) == 0
                         ? now
                         : mg_entry_peer(e, p->node)->unleased_ms;
    }
    if (members == 0) {
        return INT64_MIN / 2;
    }
    qsort(times, n, sizeof(times[0]), compare_descending);
    return times[members / 2];
}

void
mg_without_control_tick(mg_entry *e)
{
    int64_t now = mg_now(e->clock);
    if (!mg_control_link_lease_expired(e->control) ||
        now < e->next_lease_query_ms) {
        return;
    }
    e->next_lease_query_ms = now + QUERY_INTERVAL_MS;
    query_members(e, now);
}

void
mg_without_control_on_query(mg_entry *e, const char *peer,
                            const mg_fresh_req_msg *m)
{
    mg_msg rep = {.type = MG_MSG_FRESH_REP};
    rep.u.fresh_rep.seq = m->seq;
    rep.u.fresh_rep.leased = !mg_control_link_lease_expired(e->control);
    rep.u.fresh_rep.rev = mg_view_document_rev(e->view);
    mg_net_send(e->net, peer, &rep);
}

void
mg_without_control_on_reply(mg_entry *e, const char *peer,
                            const mg_fresh_rep_msg *m)
{
    int64_t now = mg_now(e->clock);
    if (m->leased || m->rev > mg_view_document_rev(e->view) ||
        (int64_t)m->seq > now || !mg_control_link_lease_expired(e->control)) {
        return;
    }
    mg_peer *p = mg_entry_peer(e, peer);
    if ((int64_t)m->seq > p->unleased_ms) {
        p->unleased_ms = (int64_t)m->seq;
    }
    int64_t until = majority_unleased_ms(e, now) + MG_SERVE_WITHOUT_CONTROL_MS;
    if (until > now && e->without_control_until_ms <= now) {
        mg_log(MG_EV_SERVE_WITHOUT_CONTROL, "node=%s document_rev=%llu",
               e->settings.node,
               (unsigned long long)mg_view_document_rev(e->view));
    }
    if (until > e->without_control_until_ms) {
        e->without_control_until_ms = until;
    }
}
