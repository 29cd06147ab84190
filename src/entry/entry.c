#include "entry/entry.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/event.h"
#include "entry/entry_int.h"

#define TICK_MS 10
#define CREDIT_INTERVAL_MS 200
#define DRAIN_GRACE_MS 1000
#define MAILBOX_ROUNDS_MAX 64
/* bounds a drain whose records the control group does not accept */
#define DRAIN_RECORD_WAIT_MS 60000
/* bounds the time that clients have to read responses after that, ms */
#define DRAIN_WRITE_WAIT_MS 5000

bool
mg_entry_serving(const mg_entry *e)
{
    return mg_control_link_leased(e->control) ||
           mg_now(e->clock) < e->without_control_until_ms;
}

mg_peer *
mg_entry_peer(mg_entry *e, const char *node)
{
    mg_peer *p;
    HASH_FIND_STR(e->peers, node, p);
    if (p == NULL) {
        p = mg_alloc(sizeof(*p));
        mg_str_copy(p->node, sizeof(p->node), mg_str_of(node));
        p->last_up_ms = mg_now(e->clock);
        p->unleased_ms = INT64_MIN / 2;
        HASH_ADD_STR(e->peers, node, p);
    }
    return p;
}

void
mg_entry_send(mg_entry *e, const char *node, const mg_msg *m)
{
    if (strcmp(node, e->settings.node) == 0) {
        mg_frame_encode(m, &e->mailbox);
    }
    else {
        mg_net_send(e->net, node, m);
    }
}

/* --------------------------------------------------------------- addresses */

mg_str
mg_entry_addresses(mg_entry *e, mg_buf *out)
{
    json_t *list = json_array();
    const mg_member *m = mg_view_members(e->view);
    for (; m != NULL; m = m->hh.next) {
        bool self = strcmp(m->node, e->settings.node) == 0;
        bool up = self ? e->stage == MG_STAGE_SERVING
                       : m->draining == 0 && mg_net_is_up(e->net, m->node);
        if (up) {
            json_array_append_new(list,
                                  json_pack("{s:s, s:s}", "addr", m->http_addr,
                                            "domain", m->domain));
        }
    }
    json_t *body = json_pack("{s:o, s:I}", "entries", list, "ttl_ms",
                             (json_int_t)e->settings.entries_ttl_ms);
    char *text = json_dumps(body, JSON_COMPACT);
    mg_buf_put(out, text, strlen(text));
    free(text);
    json_decref(body);
    return mg_str_buf(out);
}

/* ----------------------------------------------------------------- credits */

void
mg_entry_add_credit(mg_entry *e, const char *member)
{
    mg_credit *c;
    HASH_FIND_STR(e->credits, member, c);
    if (c == NULL) {
        c = mg_alloc(sizeof(*c));
        mg_str_copy(c->member, sizeof(c->member), mg_str_of(member));
        HASH_ADD_STR(e->credits, member, c);
    }
    c->count++;
}

static void
credits_recorded(void *user, const mg_msg *reply)
{
    mg_entry *e = user;
    (void)reply;
    e->credits_in_flight = false;
}

/* one batch is in flight at a time: its seq prevents counting it twice */
static void
send_credits(mg_entry *e)
{
    mg_buf list = {0};
    mg_credit *c;
    mg_credit *c1;
    HASH_ITER(hh, e->credits, c, c1)
    {
        mg_msg m = {.type = MG_MSG_CREDIT};
        m.u.credit.member = mg_str_of(c->member);
        m.u.credit.count = c->count;
        mg_msg_encode(&m, &list);
        HASH_DEL(e->credits, c);
        free(c);
    }
    mg_msg m = {.type = MG_MSG_CMD_CREDITS};
    m.u.cmd_credits.holder = mg_str_of(e->settings.node);
    m.u.cmd_credits.incarnation = e->incarnation;
    m.u.cmd_credits.seq = ++e->credit_seq;
    m.u.cmd_credits.credits = mg_str_buf(&list);
    e->credits_in_flight = true;
    mg_control_link_submit(e->control, &m, 0, credits_recorded, e);
    mg_buf_free(&list);
}

static void
tick_credits(mg_entry *e, int64_t now)
{
    if (e->credits != NULL && !e->credits_in_flight &&
        now >= e->next_credits_ms) {
        e->next_credits_ms = now + CREDIT_INTERVAL_MS;
        send_credits(e);
    }
}

/* ------------------------------------------------------------ control link */

static void
fill_renewal(void *user, mg_renew_msg *m)
{
    mg_entry *e = user;
    m->incarnation = e->incarnation;
    m->http_addr = mg_str_of(e->settings.http_addr);
    m->link_addr = mg_str_of(e->settings.link_addr);
    m->domain = mg_str_of(e->settings.domain);
    m->draining = e->stage;
    m->rev = mg_view_rev(e->view);
}

static void
dial_members(mg_entry *e)
{
    const mg_member *m = mg_view_members(e->view);
    for (; m != NULL; m = m->hh.next) {
        if (strcmp(m->node, e->settings.node) == 0) {
            continue;
        }
        if (m->draining >= 3) {
            mg_net_undial(e->net, m->node);
        }
        else if (strcmp(e->settings.node, m->node) < 0) {
            /* of two entries, only the one with the lesser name dials, so
               that there is one connection between them */
            mg_net_dial(e->net, m->node, m->link_addr);
        }
    }
}

static mg_rc
apply_records(void *user, const mg_renew_rep_msg *m)
{
    mg_entry *e = user;
    mg_error err = {.text = ""};
    uint64_t before = mg_view_rev(e->view);
    if (m->rev <= before) {
        return MG_OK;
    }
    mg_rc rc = mg_view_apply(e->view, m->records, m->rev, &err);
    if (rc != MG_OK) {
        mg_log(MG_EV_CONFIG_BAD, "rev=%llu why=%s", (unsigned long long)m->rev,
               err.text);
        return rc;
    }
    mg_log(MG_EV_CONFIG_APPLIED, "rev=%llu from=%llu bytes=%zu",
           (unsigned long long)m->rev, (unsigned long long)before,
           m->records.n);
    dial_members(e);
    mg_pools_view_changed(e);
    const mg_member *self = mg_view_member(e->view, e->settings.node);
    if (self != NULL && self->incarnation == e->incarnation &&
        self->draining == MG_STAGE_DRAINING) {
        mg_entry_drain(e); /* operator command */
    }
    return MG_OK;
}

/* ---------------------------------------------------------------- messages */

static void
on_message(void *user, const char *peer, const mg_msg *m)
{
    mg_entry *e = user;
    switch (m->type) {
    case MG_MSG_GRANT:
        mg_request_grant(e, &m->u.grant);
        break;
    case MG_MSG_SHED:
        mg_request_shed(e, &m->u.shed);
        break;
    case MG_MSG_ANNOUNCE_REP:
        mg_front_announce_rep(e, &m->u.announce_rep);
        break;
    case MG_MSG_JOIN:
        mg_request_join(e, peer, &m->u.join);
        break;
    case MG_MSG_JOIN_REP:
        mg_request_join_rep(e, &m->u.join_rep);
        break;
    case MG_MSG_LOCATE_REP:
        mg_request_locate_rep(e, &m->u.locate_rep);
        break;
    case MG_MSG_FRESH_REQ:
        mg_without_control_on_query(e, peer, &m->u.fresh_req);
        break;
    case MG_MSG_FRESH_REP:
        mg_without_control_on_reply(e, peer, &m->u.fresh_rep);
        break;
    case MG_MSG_RENEW_REP:
    case MG_MSG_NOT_LEADER:
    case MG_MSG_CLAIM_REP:
    case MG_MSG_PROPOSE_REP:
        mg_control_link_receive(e->control, peer, m);
        break;
    default:
        mg_pools_receive(e, peer, m);
    }
}

/* handles this entry's messages to itself, and those that they cause */
static void
read_mailbox(mg_entry *e)
{
    for (int i = 0; i < MAILBOX_ROUNDS_MAX && e->mailbox.n > 0; i++) {
        mg_buf box = e->mailbox;
        e->mailbox = (mg_buf){0};
        mg_str rest = mg_str_buf(&box);
        mg_msg m;
        size_t used;
        while (mg_frame_decode(rest, MG_FRAME_MAX, &used, &m) == MG_OK) {
            on_message(e, e->settings.node, &m);
            rest.p += used;
            rest.n -= used;
        }
        mg_buf_free(&box);
        mg_pools_run_dirty(e);
    }
}

static void
before_flush(void *user)
{
    mg_entry *e = user;
    mg_pools_run_dirty(e);
    read_mailbox(e);
}

/* ------------------------------------------------------------------- drain */

void
mg_entry_drain(mg_entry *e)
{
    if (e->stage != MG_STAGE_SERVING) {
        return;
    }
    e->stage = MG_STAGE_DRAINING;
    e->stage_until_ms =
        mg_now(e->clock) + e->settings.entries_ttl_ms + DRAIN_GRACE_MS;
    mg_control_link_renew_now(e->control);
    mg_log(MG_EV_DRAIN, "stage=leaving open=%zu", e->open_requests);
}

static void
tick_drain(mg_entry *e, int64_t now)
{
    if (e->stage == MG_STAGE_DRAINING && now >= e->stage_until_ms) {
        e->stage = MG_STAGE_FINISHING;
        e->stage_until_ms = now + DRAIN_RECORD_WAIT_MS;
        mg_http_drain(e->http);
        mg_pools_stop(e);
        mg_control_link_renew_now(e->control);
        mg_log(MG_EV_DRAIN, "stage=finishing open=%zu", e->open_requests);
    }
    if (e->stage != MG_STAGE_FINISHING || e->stopped) {
        return;
    }
    bool written = mg_http_unwritten(e->http) == 0 ||
                   now >= e->stage_until_ms + DRAIN_WRITE_WAIT_MS;
    bool responded = mg_http_open_requests(e->http) == 0 && written;
    bool recorded = e->open_requests == 0 && e->credits == NULL &&
                    mg_control_link_pending(e->control) == 0;
    if (responded && (recorded || now >= e->stage_until_ms)) {
        e->stopped = true;
        mg_log(MG_EV_DRAIN, "stage=done unrecorded=%zu",
               mg_control_link_pending(e->control));
        uv_stop(e->loop);
    }
}

static void
on_tick(uv_timer_t *t)
{
    mg_entry *e = t->data;
    int64_t now = mg_now(e->clock);
    mg_control_link_tick(e->control);
    mg_without_control_tick(e);
    mg_request_tick(e);
    mg_front_tick(e);
    mg_pools_tick(e);
    tick_credits(e, now);
    tick_drain(e, now);
}

static mg_rc
open_ports(mg_entry *e, mg_error *err)
{
    mg_rc rc = mg_net_open(&e->net,
                           &(mg_net_options){
                               .loop = e->loop,
                               .clock = e->clock,
                               .node = e->settings.node,
                               .key = e->settings.link_key,
                               .listen_addr = e->settings.link_addr,
                               .incarnation = e->incarnation,
                               .on_message = on_message,
                               .before_flush = before_flush,
                               .user = e,
                           },
                           err);
    if (rc != MG_OK) {
        return rc;
    }
    for (size_t i = 0; i < e->settings.control_count; i++) {
        const mg_control_addr *a = &e->settings.control[i];
        mg_net_dial(e->net, a->node, a->link_addr);
    }
    return mg_http_open(
        &e->http,
        &(mg_http_options){
            .loop = e->loop,
            .listen_addr = e->settings.http_addr,
            .limits = {.body_max = (size_t)e->settings.body_max},
            .on_request = mg_front_on_request,
            .user = e,
        },
        err);
}

mg_rc
mg_entry_open(mg_entry **out, uv_loop_t *loop, const mg_settings *settings,
              mg_error *err)
{
    mg_entry *e = mg_alloc(sizeof(*e));
    e->loop = loop;
    e->clock = mg_system_clock();
    e->settings = *settings;
    /* must increase from one start to the next: the control group ignores
       credits of a lower incarnation */
    e->incarnation = (uint64_t)mg_wall(e->clock);
    e->view = mg_view_new();
    init_list_head(&e->active);
    init_list_head(&e->retained);
    mg_pools_init(e);
    mg_rc rc = open_ports(e, err);
    if (rc != MG_OK) {
        return rc;
    }
    e->control = mg_control_link_new(&(mg_control_link_options){
        .clock = e->clock,
        .net = e->net,
        .settings = &e->settings,
        .fill_renewal = fill_renewal,
        .apply_records = apply_records,
        .user = e,
    });
    uv_timer_init(loop, &e->timer);
    e->timer.data = e;
    uv_timer_start(&e->timer, on_tick, TICK_MS, TICK_MS);
    *out = e;
    return MG_OK;
}
