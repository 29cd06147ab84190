#include "entry/control_link.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/event.h"

#define RENEW_TIMEOUT_MS 400
#define PROBE_MS 300
#define RESEND_MS 400
#define SENT_RING 16

struct call {
    UT_hash_handle hh;
    uint64_t seq;
    mg_msg_type type; /* CLAIM, PEEK or PROPOSE */
    mg_buf command;
    int64_t deadline_ms;
    int64_t resend_ms;
    mg_control_link_cb done;
    void *user;
};

struct mg_control_link {
    mg_control_link_options opts;
    size_t leader; /* index of the member that is asked */
    mg_lease lease;
    bool was_leased;
    uint64_t next_seq;
    int64_t renew_at;
    int64_t renew_timeout_at; /* 0: no renewal is open */
    int64_t last_asked_ms;    /* last renewal that was not a probe */
    bool probing; /* the lease ran out and no leader answered since */
    struct {
        uint64_t seq;
        int64_t at;
    } sent[SENT_RING];
    struct call *calls;
};

mg_control_link *
mg_control_link_new(const mg_control_link_options *opts)
{
    mg_control_link *l = mg_alloc(sizeof(*l));
    l->opts = *opts;
    l->last_asked_ms = mg_now(opts->clock) - 2 * MG_LEASE_MS;
    return l;
}

static void
free_call(mg_control_link *l, struct call *c)
{
    HASH_DEL(l->calls, c);
    mg_buf_free(&c->command);
    free(c);
}

void
mg_control_link_free(mg_control_link *l)
{
    struct call *c;
    struct call *c1;
    HASH_ITER(hh, l->calls, c, c1)
    {
        free_call(l, c);
    }
    free(l);
}

static int64_t
now_of(const mg_control_link *l)
{
    return mg_now(l->opts.clock);
}

bool
mg_control_link_leased(const mg_control_link *l)
{
    return mg_lease_valid(&l->lease, now_of(l));
}

bool
mg_control_link_lease_expired(const mg_control_link *l)
{
    return !mg_control_link_leased(l) &&
           now_of(l) - l->last_asked_ms > MG_LEASE_MS + 2 * MG_LEASE_MARGIN_MS;
}

size_t
mg_control_link_pending(const mg_control_link *l)
{
    return HASH_COUNT(l->calls);
}

static const char *
leader_node(const mg_control_link *l)
{
    return l->opts.settings->control[l->leader].node;
}

static void
ask_next_member(mg_control_link *l)
{
    l->leader = (l->leader + 1) % l->opts.settings->control_count;
}

/*
 * A lease that ran out is asked for again only after a leader has answered
 * a probe.
 */
static bool
must_probe(const mg_control_link *l)
{
    return !mg_control_link_leased(l) && l->probing;
}

static void
send_renewal(mg_control_link *l)
{
    int64_t now = now_of(l);
    mg_msg m = {.type = MG_MSG_RENEW};
    l->opts.fill_renewal(l->opts.user, &m.u.renew);
    m.u.renew.seq = ++l->next_seq;
    m.u.renew.probe = must_probe(l);
    if (!m.u.renew.probe) {
        l->last_asked_ms = now;
    }
    l->sent[m.u.renew.seq % SENT_RING].seq = m.u.renew.seq;
    l->sent[m.u.renew.seq % SENT_RING].at = now;
    l->renew_timeout_at = now + RENEW_TIMEOUT_MS;
    l->renew_at =
        now + (mg_control_link_leased(l) ? MG_LEASE_RENEW_MS : PROBE_MS);
    if (mg_net_send(l->opts.net, leader_node(l), &m) != MG_OK) {
        ask_next_member(l);
        l->renew_timeout_at = 0;
        l->renew_at = now + PROBE_MS / 3;
    }
}

void
mg_control_link_renew_now(mg_control_link *l)
{
    l->renew_at = now_of(l);
}

static void
send_call(mg_control_link *l, struct call *c)
{
    mg_msg m;
    c->resend_ms = now_of(l) + RESEND_MS;
    m.type = c->type;
    /* the three have the same fields */
    m.u.propose.seq = c->seq;
    m.u.propose.command = mg_str_buf(&c->command);
    mg_net_send(l->opts.net, leader_node(l), &m);
}

static uint64_t
start_call(mg_control_link *l, mg_msg_type type, const mg_msg *command,
           int64_t deadline_ms, mg_control_link_cb done, void *user)
{
    struct call *c = mg_alloc(sizeof(*c));
    c->seq = ++l->next_seq;
    c->type = type;
    mg_msg_encode(command, &c->command);
    c->deadline_ms = deadline_ms;
    c->done = done;
    c->user = user;
    HASH_ADD(hh, l->calls, seq, sizeof(c->seq), c);
    send_call(l, c);
    return c->seq;
}

uint64_t
mg_control_link_submit(mg_control_link *l, const mg_msg *command,
                       int64_t deadline_ms, mg_control_link_cb done,
                       void *user)
{
    bool claim = command->type == MG_MSG_CMD_CLAIM ||
                 command->type == MG_MSG_CMD_REFUSE;
    return start_call(l, claim ? MG_MSG_CLAIM : MG_MSG_PROPOSE, command,
                      deadline_ms, done, user);
}

uint64_t
mg_control_link_peek(mg_control_link *l, const mg_msg *command,
                     int64_t deadline_ms, mg_control_link_cb done, void *user)
{
    return start_call(l, MG_MSG_PEEK, command, deadline_ms, done, user);
}

static struct call *
find_call(mg_control_link *l, uint64_t seq)
{
    struct call *c;
    HASH_FIND(hh, l->calls, &seq, sizeof(seq), c);
    return c;
}

void
mg_control_link_cancel(mg_control_link *l, uint64_t seq)
{
    struct call *c = find_call(l, seq);
    if (c != NULL) {
        free_call(l, c);
    }
}

static void
finish_call(mg_control_link *l, uint64_t seq, const mg_msg *reply)
{
    struct call *c = find_call(l, seq);
    if (c == NULL) {
        return;
    }
    mg_control_link_cb done = c->done;
    void *user = c->user;
    free_call(l, c);
    done(user, reply);
}

static int64_t
sent_at(const mg_control_link *l, uint64_t seq)
{
    return l->sent[seq % SENT_RING].seq == seq ? l->sent[seq % SENT_RING].at
                                               : -1;
}

static void
on_renew_rep(mg_control_link *l, const mg_renew_rep_msg *m)
{
    int64_t at = sent_at(l, m->seq);
    if (at < 0) {
        return;
    }
    l->renew_timeout_at = 0;
    l->probing = false;
    if (l->opts.apply_records(l->opts.user, m) != MG_OK) {
        return;
    }
    if (m->granted) {
        mg_lease_renewed(&l->lease, at, (int64_t)m->lease_ms);
    }
    if (m->partial || !mg_control_link_leased(l)) {
        l->renew_at = now_of(l);
    }
}

static void
on_not_leader(mg_control_link *l, const mg_not_leader_msg *m)
{
    char node[MG_NAME_SIZE];
    mg_str_copy(node, sizeof(node), m->leader);
    unsigned id = mg_settings_control_id(l->opts.settings, node);
    if (id != 0 && id - 1 != l->leader) {
        l->leader = id - 1;
        l->renew_at = now_of(l);
    }
    struct call *c = find_call(l, m->seq);
    if (c != NULL) {
        c->resend_ms = now_of(l) + RESEND_MS / 8;
    }
}

void
mg_control_link_receive(mg_control_link *l, const char *peer, const mg_msg *m)
{
    if (mg_settings_control_id(l->opts.settings, peer) == 0) {
        return;
    }
    switch (m->type) {
    case MG_MSG_RENEW_REP:
        on_renew_rep(l, &m->u.renew_rep);
        break;
    case MG_MSG_NOT_LEADER:
        on_not_leader(l, &m->u.not_leader);
        break;
    case MG_MSG_CLAIM_REP:
        finish_call(l, m->u.claim_rep.seq, m);
        break;
    case MG_MSG_PROPOSE_REP:
        finish_call(l, m->u.propose_rep.seq, m);
        break;
    default:
        break;
    }
}

static void
tick_lease(mg_control_link *l, int64_t now)
{
    bool leased = mg_control_link_leased(l);
    if (leased != l->was_leased) {
        l->was_leased = leased;
        mg_log(leased ? MG_EV_ENTRY_LEASED : MG_EV_ENTRY_UNLEASED, "node=%s",
               l->opts.settings->node);
        if (!leased) {
            /* from here on with probes, until a leader answers */
            l->probing = true;
        }
    }
    if (l->renew_timeout_at != 0 && now >= l->renew_timeout_at) {
        l->renew_timeout_at = 0;
        ask_next_member(l);
        l->renew_at = now;
    }
    if (now >= l->renew_at) {
        send_renewal(l);
    }
}

/* callbacks may add and forget calls: collect first, then finish */
static void
expire_calls(mg_control_link *l, int64_t now)
{
    mg_buf late = {0};
    for (struct call *c = l->calls; c != NULL; c = c->hh.next) {
        if (c->deadline_ms != 0 && now >= c->deadline_ms) {
            mg_buf_put(&late, &c->seq, sizeof(c->seq));
        }
    }
    for (size_t i = 0; i < late.n; i += sizeof(uint64_t)) {
        uint64_t seq;
        memcpy(&seq, late.p + i, sizeof(seq));
        finish_call(l, seq, NULL);
    }
    mg_buf_free(&late);
}

void
mg_control_link_tick(mg_control_link *l)
{
    int64_t now = now_of(l);
    tick_lease(l, now);
    expire_calls(l, now);
    for (struct call *c = l->calls; c != NULL; c = c->hh.next) {
        if (now >= c->resend_ms) {
            send_call(l, c);
        }
    }
}
