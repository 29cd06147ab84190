/*
 * pools - this entry's schedulers, and messages to those of other entries
 */
#include "entry/entry_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"

#define MEMBERS_MAX 512
#define RECORD_TIMEOUT_MS 3000

static mg_local_sched *
find_local(const mg_entry *e, const char *pool)
{
    mg_local_sched *ls;
    HASH_FIND_STR(e->scheds, pool, ls);
    return ls;
}

uint64_t
mg_pools_epoch(const mg_entry *e, const char *pool)
{
    const mg_holder *h = mg_view_holder(e->view, pool);
    return h ? h->epoch : 0;
}

mg_rc
mg_pools_send(mg_entry *e, const char *pool, const mg_msg *m)
{
    const mg_holder *h = mg_view_holder(e->view, pool);
    if (h == NULL) {
        return MG_E_NO_LEASE;
    }
    mg_entry_send(e, h->node, m);
    return MG_OK;
}

/* ---------------------------------------------------- scheduler callbacks */

static void
send_message(mg_sched_callbacks *h, const char *entry, const mg_msg *m)
{
    mg_entry_send((mg_entry *)h, entry, m);
}

static void
on_put_reply(void *user, const mg_msg *reply)
{
    (void)user;
    if (reply != NULL && reply->u.propose_rep.rc != MG_OK) {
        mg_log(MG_EV_RECORD_REFUSED, "rc=%s",
               mg_rc_name((mg_rc)reply->u.propose_rep.rc));
    }
}

static void
put_record(mg_sched_callbacks *h, mg_sched *s, unsigned kind, const char *key,
           const mg_msg *value)
{
    mg_entry *e = (mg_entry *)h;
    mg_str old;
    mg_buf data = {0};
    mg_msg_encode(value, &data);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = kind;
    put.u.cmd_put.key = mg_str_of(key);
    put.u.cmd_put.expect_rev = mg_view_record(e->view, kind, key, &old);
    put.u.cmd_put.guard_pool = mg_str_of(mg_sched_pool(s));
    put.u.cmd_put.guard_epoch = mg_sched_epoch(s);
    put.u.cmd_put.value = mg_str_buf(&data);
    mg_control_link_submit(e->control, &put,
                           mg_now(e->clock) + RECORD_TIMEOUT_MS, on_put_reply,
                           NULL);
    mg_buf_free(&data);
    mg_control_link_renew_now(e->control);
}

void
mg_pools_init(mg_entry *e)
{
    e->sched_callbacks = (mg_sched_callbacks){send_message, put_record};
}

/* ----------------------------------------------------------- set-up */

static void
load_quarantine(void *user, const mg_msg *m)
{
    if (m->type == MG_MSG_REC_QUARANTINE) {
        mg_sched_load_quarantine(user, &m->u.rec_quarantine);
    }
}

static void
configure(mg_entry *e, mg_local_sched *ls)
{
    const mg_config *c = mg_view_config(e->view);
    const mg_pool *pool = mg_config_pool(c, mg_str_of(ls->pool));
    const mg_rollout_plan *move = mg_config_rollout(c, ls->pool);
    if (pool != NULL) {
        mg_sched_configure(ls->sched, pool);
    }
    mg_msg m;
    mg_str value;
    const mg_rec_move_msg *rec = NULL;
    if (move != NULL &&
        mg_view_record(e->view, MG_RECORD_POOL_ROLLOUT, move->name, &value) !=
            0 &&
        mg_msg_decode(value, &m) == MG_OK) {
        rec = &m.u.rec_move;
    }
    mg_sched_set_rollout(ls->sched, move, rec);
    mg_view_each_record(e->view, MG_RECORD_QUARANTINE, load_quarantine,
                        ls->sched);
    ls->dirty = true;
}

static void
start_sched(mg_entry *e, const mg_holder *h)
{
    const char *entries[MEMBERS_MAX];
    size_t n = 0;
    const mg_member *p = mg_view_members(e->view);
    for (; p != NULL && n < MEMBERS_MAX; p = p->hh.next) {
        if (p->draining < 3) {
            entries[n++] = p->node;
        }
    }
    mg_local_sched *ls = mg_alloc(sizeof(*ls));
    mg_str_copy(ls->pool, sizeof(ls->pool), mg_str_of(h->pool));
    ls->sched = mg_sched_new(&(mg_sched_options){
        .callbacks = &e->sched_callbacks,
        .clock = e->clock,
        .pool = h->pool,
        .epoch = h->epoch,
        .entries = entries,
        .entry_count = n,
    });
    HASH_ADD_STR(e->scheds, pool, ls);
    configure(e, ls);
    mg_log(MG_EV_SCHED_START, "pool=%s epoch=%" PRIu64 " entries=%zu", h->pool,
           h->epoch, n);
}

static void
stop_sched(mg_entry *e, mg_local_sched *ls, const char *why)
{
    mg_log(MG_EV_SCHED_STOP, "pool=%s epoch=%" PRIu64 " why=%s waiting=%zu",
           ls->pool, mg_sched_epoch(ls->sched), why,
           mg_sched_waiting(ls->sched));
    HASH_DEL(e->scheds, ls);
    mg_sched_free(ls->sched);
    free(ls);
}

static bool
is_local_holder(const mg_entry *e, const mg_holder *h)
{
    return strcmp(h->node, e->settings.node) == 0 &&
           h->incarnation == e->incarnation;
}

void
mg_pools_stop(mg_entry *e)
{
    mg_local_sched *ls;
    mg_local_sched *ls1;
    HASH_ITER(hh, e->scheds, ls, ls1)
    {
        stop_sched(e, ls, "drain");
    }
}

static void
update_pool(mg_entry *e, const mg_holder *h)
{
    mg_local_sched *ls = find_local(e, h->pool);
    if (ls != NULL &&
        (!is_local_holder(e, h) || mg_sched_epoch(ls->sched) != h->epoch)) {
        stop_sched(e, ls, "other_holder");
        ls = NULL;
    }
    if (ls == NULL && is_local_holder(e, h) &&
        e->stage != MG_STAGE_FINISHING) {
        start_sched(e, h);
    }
    else if (ls != NULL) {
        configure(e, ls);
    }
}

void
mg_pools_view_changed(mg_entry *e)
{
    const mg_holder *h = mg_view_holders(e->view);
    for (; h != NULL; h = h->hh.next) {
        update_pool(e, h);
        mg_request_resync(e, h->pool);
    }
}

/* -------------------------------------------------------------- messages */

static void
on_announce(mg_entry *e, const char *peer, const mg_announce_msg *m)
{
    char pool[MG_NAME_SIZE];
    mg_str_copy(pool, sizeof(pool), m->pool);
    mg_local_sched *ls = find_local(e, pool);
    mg_msg rep = {.type = MG_MSG_ANNOUNCE_REP};
    rep.u.announce_rep.seq = m->seq;
    rep.u.announce_rep.lease_ms = MG_TARGET_LEASE_MS;
    rep.u.announce_rep.rc = MG_E_NO_LEASE;
    if (ls != NULL) {
        rep.u.announce_rep.rc = mg_sched_announce(ls->sched, m);
        ls->dirty = true;
    }
    mg_entry_send(e, peer, &rep);
}

static void
on_locate(mg_entry *e, const char *peer, const mg_locate_msg *m)
{
    char pool[MG_NAME_SIZE];
    mg_buf addrs = {0};
    mg_str_copy(pool, sizeof(pool), m->pool);
    mg_local_sched *ls = find_local(e, pool);
    if (ls != NULL && !mg_sched_rebuilding(ls->sched)) {
        mg_sched_locate(ls->sched, m->id, &addrs);
        mg_msg rep = {.type = MG_MSG_LOCATE_REP};
        rep.u.locate_rep.seq = m->seq;
        rep.u.locate_rep.addrs = mg_str_buf(&addrs);
        mg_entry_send(e, peer, &rep);
    }
    mg_buf_free(&addrs);
}

/* finds the local scheduler that a message is for; NULL: none */
static mg_local_sched *
find_for_message(mg_entry *e, mg_str pool, uint64_t epoch)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), pool);
    mg_local_sched *ls = find_local(e, name);
    if (ls == NULL || mg_sched_epoch(ls->sched) != epoch) {
        return NULL;
    }
    ls->dirty = true;
    return ls;
}

void
mg_pools_receive(mg_entry *e, const char *peer, const mg_msg *m)
{
    mg_local_sched *ls;
    switch (m->type) {
    case MG_MSG_ANNOUNCE:
        on_announce(e, peer, &m->u.announce);
        break;
    case MG_MSG_LOCATE:
        on_locate(e, peer, &m->u.locate);
        break;
    case MG_MSG_TICKET:
        ls = find_for_message(e, m->u.ticket.pool, m->u.ticket.epoch);
        if (ls != NULL) {
            mg_sched_ticket(ls->sched, peer, &m->u.ticket);
        }
        break;
    case MG_MSG_HELD:
        ls = find_for_message(e, m->u.held.pool, m->u.held.epoch);
        if (ls != NULL) {
            mg_sched_held(ls->sched, peer, &m->u.held);
        }
        break;
    case MG_MSG_SYNCED:
        ls = find_for_message(e, m->u.synced.pool, m->u.synced.epoch);
        if (ls != NULL) {
            mg_sched_synced(ls->sched, peer);
        }
        break;
    case MG_MSG_CANCEL:
        ls = find_for_message(e, m->u.cancel.pool, m->u.cancel.epoch);
        if (ls != NULL) {
            mg_sched_cancel(ls->sched, peer, m->u.cancel.id);
        }
        break;
    case MG_MSG_DONE:
        ls = find_for_message(e, m->u.done.pool, m->u.done.epoch);
        if (ls != NULL) {
            mg_sched_done(ls->sched, peer, &m->u.done);
        }
        break;
    default:
        break;
    }
}

void
mg_pools_run_dirty(mg_entry *e)
{
    if (!mg_entry_serving(e)) {
        return;
    }
    for (mg_local_sched *ls = e->scheds; ls != NULL; ls = ls->hh.next) {
        if (ls->dirty) {
            ls->dirty = false;
            mg_sched_run(ls->sched);
        }
    }
}

static void
drop_entry(mg_entry *e, const char *node)
{
    for (mg_local_sched *ls = e->scheds; ls != NULL; ls = ls->hh.next) {
        mg_sched_remove_entry(ls->sched, node);
        ls->dirty = true;
    }
}

/*
 * Drops the tickets and slots of an entry whose lease has certainly expired,
 * or that has restarted (new incarnation).
 */
static void
check_peer(mg_entry *e, const mg_member *m, int64_t now)
{
    mg_peer *p = mg_entry_peer(e, m->node);
    if (p->incarnation != m->incarnation) {
        if (p->incarnation != 0) {
            drop_entry(e, m->node);
        }
        p->incarnation = m->incarnation;
        p->last_up_ms = now;
    }
    if (mg_net_is_up(e->net, m->node)) {
        p->last_up_ms = now;
        p->expired = false;
    }
    bool expired = now - p->last_up_ms > MG_LEASE_MS + 2 * MG_LEASE_MARGIN_MS;
    if (expired && !p->expired) {
        p->expired = true;
        drop_entry(e, m->node);
    }
}

void
mg_pools_tick(mg_entry *e)
{
    int64_t now = mg_now(e->clock);
    const mg_member *m = mg_view_members(e->view);
    for (; m != NULL; m = m->hh.next) {
        if (strcmp(m->node, e->settings.node) != 0) {
            check_peer(e, m, now);
        }
    }
    for (mg_local_sched *ls = e->scheds; ls != NULL; ls = ls->hh.next) {
        ls->dirty = true;
    }
}
