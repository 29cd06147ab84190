#include "entry/control_link.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/event.h"

#define RENEW_TIMEOUT_MS 400
#define PROBE_INTERVAL_MS 300
#define RETRY_MS 400
#define SENT_RING_SIZE 16

/* a command to be retried until its reply or deadline */
struct pending_command {
    UT_hash_handle hh;
    uint64_t seq;
    mg_msg_type type; /* CLAIM, PEEK or PROPOSE */
    mg_buf command;
    int64_t deadline_ms;
    int64_t retry_at_ms;
    mg_control_link_cb done;
    void *user;
};

struct mg_control_link {
    mg_control_link_options opts;
    size_t leader; /* index of the member to send to */
    mg_lease lease;
    bool was_leased;
    uint64_t next_seq;
    int64_t next_renewal_ms;
    int64_t renewal_deadline_ms; /* 0: no renewal in flight */
    int64_t last_renewal_ms;     /* probes excepted */
    bool probing; /* the lease expired and no leader replied since */
    struct {
        uint64_t seq;
        int64_t at;
    } sent[SENT_RING_SIZE]; /* last renewals; at: monotonic ms */
    struct pending_command *commands;
};

mg_control_link *
mg_control_link_new(const mg_control_link_options *opts)
{
    mg_control_link *l = mg_alloc(sizeof(*l));
    l->opts = *opts;
    l->last_renewal_ms = mg_now(opts->clock) - 2 * MG_LEASE_MS;
    return l;
}

static void
free_command(mg_control_link *l, struct pending_command *c)
{
    HASH_DEL(l->commands, c);
    mg_buf_free(&c->command);
    free(c);
}

void
mg_control_link_free(mg_control_link *l)
{
    struct pending_command *c;
    struct pending_command *c1;
    HASH_ITER(hh, l->commands, c, c1)
    {
        free_command(l, c);
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
           now_of(l) - l->last_renewal_ms >
               MG_LEASE_MS + 2 * MG_LEASE_MARGIN_MS;
}

size_t
mg_control_link_pending(const mg_control_link *l)
{
    return HASH_COUNT(l->commands);
}

static const char *
leader_node(const mg_control_link *l)
{
    return l->opts.settings->control[l->leader].node;
}

static void
use_next_member(mg_control_link *l)
{
    l->leader = (l->leader + 1) % l->opts.settings->control_count;
}

/* after the lease has expired, only probes are sent until a leader replies */
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
        l->last_renewal_ms = now;
    }
    l->sent[m.u.renew.seq % SENT_RING_SIZE].seq = m.u.renew.seq;
    l->sent[m.u.renew.seq % SENT_RING_SIZE].at = now;
    l->renewal_deadline_ms = now + RENEW_TIMEOUT_MS;
    l->next_renewal_ms = now + (mg_control_link_leased(l) ? MG_LEASE_RENEW_MS
                                                          : PROBE_INTERVAL_MS);
    if (mg_net_send(l->opts.net, leader_node(l), &m) != MG_OK) {
        use_next_member(l);
        l->renewal_deadline_ms = 0;
        l->next_renewal_ms = now + PROBE_INTERVAL_MS / 3;
    }
}

void
mg_control_link_renew_now(mg_control_link *l)
{
    l->next_renewal_ms = now_of(l);
}

static void
send_command(mg_control_link *l, struct pending_command *c)
{
    mg_msg m;
    c->retry_at_ms = now_of(l) + RETRY_MS;
    m.type = c->type;
    /* CLAIM, PEEK and PROPOSE have the same fields */
    m.u.propose.seq = c->seq;
    m.u.propose.command = mg_str_buf(&c->command);
    mg_net_send(l->opts.net, leader_node(l), &m);
}

static uint64_t
submit(mg_control_link *l, mg_msg_type type, const mg_msg *command,
       int64_t deadline_ms, mg_control_link_cb done, void *user)
{
    struct pending_command *c = mg_alloc(sizeof(*c));
    c->seq = ++l->next_seq;
    c->type = type;
    mg_msg_encode(command, &c->command);
    c->deadline_ms = deadline_ms;
    c->done = done;
    c->user = user;
    HASH_ADD(hh, l->commands, seq, sizeof(c->seq), c);
    send_command(l, c);
    return c->seq;
}

uint64_t
mg_control_link_submit(mg_control_link *l, const mg_msg *command,
                       int64_t deadline_ms, mg_control_link_cb done,
                       void *user)
{
    bool claim = command->type == MG_MSG_CMD_CLAIM ||
                 command->type == MG_MSG_CMD_REFUSE;
    return submit(l, claim ? MG_MSG_CLAIM : MG_MSG_PROPOSE, command,
                  deadline_ms, done, user);
}

uint64_t
mg_control_link_peek(mg_control_link *l, const mg_msg *command,
                     int64_t deadline_ms, mg_control_link_cb done, void *user)
{
    return submit(l, MG_MSG_PEEK, command, deadline_ms, done, user);
}

static struct pending_command *
find_command(mg_control_link *l, uint64_t seq)
{
    struct pending_command *c;
    HASH_FIND(hh, l->commands, &seq, sizeof(seq), c);
    return c;
}

void
mg_control_link_cancel(mg_control_link *l, uint64_t seq)
{
    struct pending_command *c = find_command(l, seq);
    if (c != NULL) {
        free_command(l, c);
    }
}

static void
finish_command(mg_control_link *l, uint64_t seq, const mg_msg *reply)
{
    struct pending_command *c = find_command(l, seq);
    if (c == NULL) {
        return;
    }
    mg_control_link_cb done = c->done;
    void *user = c->user;
    free_command(l, c);
    done(user, reply);
}

static int64_t
sent_at(const mg_control_link *l, uint64_t seq)
{
    return l->sent[seq % SENT_RING_SIZE].seq == seq
               ? l->sent[seq % SENT_RING_SIZE].at
               : -1;
}

static void
on_renew_rep(mg_control_link *l, const mg_renew_rep_msg *m)
{
    int64_t at = sent_at(l, m->seq);
    if (at < 0) {
        return;
    }
    l->renewal_deadline_ms = 0;
    l->probing = false;
    if (l->opts.apply_records(l->opts.user, m) != MG_OK) {
        return;
    }
    if (m->granted) {
        mg_lease_renewed(&l->lease, at, (int64_t)m->lease_ms);
    }
    if (m->partial || !mg_control_link_leased(l)) {
        l->next_renewal_ms = now_of(l);
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
        l->next_renewal_ms = now_of(l);
    }
    struct pending_command *c = find_command(l, m->seq);
    if (c != NULL) {
        c->retry_at_ms = now_of(l) + RETRY_MS / 8;
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
        finish_command(l, m->u.claim_rep.seq, m);
        break;
    case MG_MSG_PROPOSE_REP:
        finish_command(l, m->u.propose_rep.seq, m);
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
            /* send only probes until a leader replies */
            l->probing = true;
        }
    }
    if (l->renewal_deadline_ms != 0 && now >= l->renewal_deadline_ms) {
        l->renewal_deadline_ms = 0;
        use_next_member(l);
        l->next_renewal_ms = now;
    }
    if (now >= l->next_renewal_ms) {
        send_renewal(l);
    }
}

/* collects the expired commands before it ends them, as their callbacks may
   add and cancel commands */
static void
expire_commands(mg_control_link *l, int64_t now)
{
    mg_buf expired = {0};
    for (struct pending_command *c = l->commands; c != NULL; c = c->hh.next) {
        if (c->deadline_ms != 0 && now >= c->deadline_ms) {
            mg_buf_put(&expired, &c->seq, sizeof(c->seq));
        }
    }
    for (size_t i = 0; i < expired.n; i += sizeof(uint64_t)) {
        uint64_t seq;
        memcpy(&seq, expired.p + i, sizeof(seq));
        finish_command(l, seq, NULL);
    }
    mg_buf_free(&expired);
}

void
mg_control_link_tick(mg_control_link *l)
{
    int64_t now = now_of(l);
    tick_lease(l, now);
    expire_commands(l, now);
    for (struct pending_command *c = l->commands; c != NULL; c = c->hh.next) {
        if (now >= c->retry_at_ms) {
            send_command(l, c);
        }
    }
}
