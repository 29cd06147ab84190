#include "group/group_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/list.h"
#include "control/raft.h"

/* a voter without newer records delays its reply to a PULL this long, ms */
#define PULL_WAIT_MS 400
/* a PULL without a reply after this time is repeated at another voter, ms */
#define PULL_TIMEOUT_MS 900
/* a command or read is retried after this time, maybe at another voter, ms */
#define RETRY_MS 400
/* retry interval instead of RETRY_MS while no voter is connected or no leader
   is known, ms */
#define RETRY_SOON_MS 60

/* a command or read in progress */
struct pending_request {
    struct list_head link;
    uint64_t seq;
    bool is_read;
    bool sent; /* at least once */
    /* only for a read: the leader has reported rev, but the records up to it
       are not received yet */
    bool confirmed;
    uint64_t rev;
    mg_buf command;
    int64_t deadline_ms;
    int64_t send_at_ms;
    mg_group_client_cb done;
    void *user;
};

struct mg_group_client {
    mg_group_client_options opts;
    char voters[MG_VOTERS_MAX][MG_NAME_SIZE];
    size_t voter_count;
    char leader[MG_NAME_SIZE];
    size_t next_index; /* voter to try next while no leader is connected */
    uint64_t next_seq;
    uint64_t rev;
    uint64_t pull_seq; /* of the pull in progress, 0: none */
    char pull_peer[MG_NAME_SIZE];
    int64_t pull_sent_ms;
    int64_t pull_deadline_ms;
    int64_t complete_until_ms; /* see mg_group_client_complete_until() */
    struct list_head requests;
    bool current; /* on_current() was called */
};

void
mg_group_peer_name(char out[MG_NAME_SIZE], const char *ip)
{
    snprintf(out, MG_NAME_SIZE, "group/%s", ip);
}

mg_group_client *
mg_group_client_new(const mg_group_client_options *opts)
{
    mg_group_client *c = mg_alloc(sizeof(*c));
    c->opts = *opts;
    /* replies to an earlier process of this node must not match */
    c->next_seq = mg_random_id() >> 1;
    c->complete_until_ms = INT64_MIN;
    init_list_head(&c->requests);
    return c;
}

static bool
contains_name(const char (*names)[MG_NAME_SIZE], size_t n, const char *name)
{
    for (size_t i = 0; i < n; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

void
mg_group_client_set_voters(mg_group_client *c, const mg_voters *voters,
                           uint16_t port)
{
    char names[MG_VOTERS_MAX][MG_NAME_SIZE] = {{0}};
    char addr[MG_ADDR_SIZE + MG_NAME_SIZE];
    size_t n = 0;
    for (unsigned i = 0; i < voters->count; i++) {
        if (voters->ip[i][0] != '\0') {
            mg_group_peer_name(names[n], voters->ip[i]);
            snprintf(addr, sizeof(addr), "%s:%u", voters->ip[i], port);
            mg_net_dial(c->opts.net, names[n++], addr);
        }
    }
    for (size_t i = 0; i < c->voter_count; i++) {
        if (!contains_name(names, n, c->voters[i])) {
            mg_net_undial(c->opts.net, c->voters[i]);
        }
    }
    memcpy(c->voters, names, sizeof(names));
    c->voter_count = n;
    if (!contains_name(names, n, c->leader)) {
        c->leader[0] = '\0';
    }
}

static const char *
next_voter(mg_group_client *c)
{
    for (size_t k = 0; k < c->voter_count; k++) {
        const char *name = c->voters[c->next_index++ % c->voter_count];
        if (mg_net_is_up(c->opts.net, name)) {
            return name;
        }
    }
    return NULL;
}

/* Returns the leader, else any voter with a link, else NULL. */
static const char *
choose_voter(mg_group_client *c)
{
    if (c->leader[0] != '\0' && mg_net_is_up(c->opts.net, c->leader)) {
        return c->leader;
    }
    return next_voter(c);
}

/* Stores the leader that a voter reported; empty: the voter knows none. */
static void
set_leader(mg_group_client *c, const char *voter, mg_str leader)
{
    if (leader.n == 0 && strcmp(c->leader, voter) == 0) {
        /* the voter was the leader until now; it possibly cannot reach the
           new one */
        mg_log(MG_EV_GROUP_LEADER, "leader=- before=%s rev=%llu", voter,
               (unsigned long long)c->rev);
        c->leader[0] = '\0';
    }
    else if (leader.n > 0 && !mg_str_is(leader, c->leader)) {
        mg_log(MG_EV_GROUP_LEADER, "leader=%.*s before=%s rev=%llu",
               MG_STR_FMT(leader), c->leader[0] ? c->leader : "-",
               (unsigned long long)c->rev);
        mg_str_copy(c->leader, sizeof(c->leader), leader);
    }
}

/* --------------------------------------------------------------- pulls */

static void
start_pull(mg_group_client *c, const char *peer)
{
    mg_msg m = {.type = MG_MSG_PULL};
    if (peer == NULL) {
        return;
    }
    c->pull_seq = ++c->next_seq;
    mg_str_copy(c->pull_peer, sizeof(c->pull_peer), mg_str_of(peer));
    c->pull_sent_ms = mg_now(c->opts.clock);
    c->pull_deadline_ms = c->pull_sent_ms + PULL_TIMEOUT_MS;
    m.u.pull.seq = c->pull_seq;
    m.u.pull.rev = c->rev;
    m.u.pull.wait_ms = PULL_WAIT_MS;
    mg_net_send(c->opts.net, peer, &m);
}

static void
finish_request(struct pending_request *p, mg_rc rc, uint64_t rev,
               const char *why)
{
    list_del(&p->link);
    p->done(p->user, rc, rev, why);
    mg_buf_free(&p->command);
    free(p);
}

static void
finish_reads(mg_group_client *c)
{
    list_for_each_safe(el, el1, &c->requests)
    {
        struct pending_request *p =
            list_entry(el, struct pending_request, link);
        if (p->confirmed && c->rev >= p->rev) {
            finish_request(p, MG_OK, p->rev, "");
        }
    }
}

int64_t
mg_group_client_complete_until(const mg_group_client *c)
{
    return c->complete_until_ms;
}

/* A voter names itself as the leader only if mg_raft_is_current(). */
static void
note_complete(mg_group_client *c, const char *peer, const mg_pull_rep_msg *r)
{
    int64_t until = c->pull_sent_ms - MG_RAFT_ELECTION_MAX_MS;
    if (!r->partial && mg_str_is(r->leader, peer) && r->rev >= c->rev &&
        until > c->complete_until_ms) {
        c->complete_until_ms = until;
    }
}

static void
on_pull_rep(mg_group_client *c, const char *peer, const mg_pull_rep_msg *r)
{
    mg_msg m;
    mg_str rest = r->records;
    if (r->seq != c->pull_seq) {
        return;
    }
    c->pull_seq = 0;
    set_leader(c, peer, r->leader);
    if (r->rev > c->rev) {
        while (mg_msg_next(&rest, &m) == MG_OK) {
            if (m.type == MG_MSG_RECORD) {
                c->opts.on_record(c->opts.user, &m.u.record);
            }
        }
        c->rev = r->rev;
        finish_reads(c);
    }
    note_complete(c, peer, r);
    if (!c->current && !r->partial && c->rev > 0) {
        c->current = true;
        if (c->opts.on_current != NULL) {
            c->opts.on_current(c->opts.user);
        }
    }
    start_pull(c, choose_voter(c));
}

/* ------------------------------------------------------------ requests */

static void
send_request(mg_group_client *c, struct pending_request *p)
{
    mg_msg m;
    const char *peer = choose_voter(c);
    p->send_at_ms = mg_now(c->opts.clock) + (peer ? RETRY_MS : RETRY_SOON_MS);
    if (peer == NULL) {
        return;
    }
    if (p->sent && mg_net_unsent(c->opts.net, peer) > p->command.n) {
        return; /* an earlier copy may not have left yet */
    }
    p->sent = true;
    if (p->is_read) {
        m.type = MG_MSG_CONFIRM;
        m.u.confirm.seq = p->seq;
    }
    else {
        m.type = MG_MSG_PROPOSE;
        m.u.propose.seq = p->seq;
        m.u.propose.command = mg_str_buf(&p->command);
    }
    mg_net_send(c->opts.net, peer, &m);
}

static struct pending_request *
add_request(mg_group_client *c, int64_t ms, mg_group_client_cb done,
            void *user)
{
    struct pending_request *p = mg_alloc(sizeof(*p));
    p->seq = ++c->next_seq;
    p->deadline_ms = mg_now(c->opts.clock) + ms;
    p->done = done;
    p->user = user;
    list_add_tail(&p->link, &c->requests);
    return p;
}

void
mg_group_client_propose(mg_group_client *c, const mg_msg *command, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    struct pending_request *p = add_request(c, ms, done, user);
    mg_msg_encode(command, &p->command);
    send_request(c, p);
}

void
mg_group_client_confirm(mg_group_client *c, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    struct pending_request *p = add_request(c, ms, done, user);
    p->is_read = true;
    send_request(c, p);
}

static struct pending_request *
find_request(mg_group_client *c, uint64_t seq)
{
    list_for_each(el, &c->requests)
    {
        struct pending_request *p =
            list_entry(el, struct pending_request, link);
        if (p->seq == seq) {
            return p;
        }
    }
    return NULL;
}

static void
on_not_leader(mg_group_client *c, const char *peer, const mg_not_leader_msg *r)
{
    struct pending_request *p = find_request(c, r->seq);
    set_leader(c, peer, r->leader);
    if (p != NULL) {
        p->send_at_ms = mg_now(c->opts.clock) +
                        (strcmp(c->leader, peer) == 0 || c->leader[0] == '\0'
                             ? RETRY_SOON_MS
                             : 0);
    }
}

static void
on_confirm_rep(mg_group_client *c, const mg_confirm_rep_msg *r)
{
    struct pending_request *p = find_request(c, r->seq);
    if (p == NULL || !p->is_read) {
        return;
    }
    p->confirmed = true;
    p->rev = r->rev;
    finish_reads(c);
}

static void
on_proposed(mg_group_client *c, const mg_proposed_msg *r)
{
    char why[MG_TEXT_SIZE];
    struct pending_request *p = find_request(c, r->seq);
    if (p == NULL || p->is_read) {
        return;
    }
    if (r->rc == MG_E_NO_LEADER) {
        p->send_at_ms = mg_now(c->opts.clock) + RETRY_SOON_MS;
        return;
    }
    mg_str_copy(why, sizeof(why), r->why);
    finish_request(p, (mg_rc)r->rc, r->rev, why);
}

void
mg_group_client_receive(mg_group_client *c, const char *peer, const mg_msg *m)
{
    switch (m->type) {
    case MG_MSG_PULL_REP:
        on_pull_rep(c, peer, &m->u.pull_rep);
        break;
    case MG_MSG_NOT_LEADER:
        on_not_leader(c, peer, &m->u.not_leader);
        break;
    case MG_MSG_CONFIRM_REP:
        on_confirm_rep(c, &m->u.confirm_rep);
        break;
    case MG_MSG_PROPOSED:
        on_proposed(c, &m->u.proposed);
        break;
    default:
        break;
    }
}

static void
tick_request(mg_group_client *c, struct pending_request *p, int64_t now)
{
    if (now >= p->deadline_ms) {
        finish_request(p, p->is_read ? MG_E_NO_QUORUM : MG_E_NO_LEADER, 0,
                       "no reply from the replicated log in time");
    }
    else if (now >= p->send_at_ms && !p->confirmed) {
        send_request(c, p);
    }
}

void
mg_group_client_tick(mg_group_client *c)
{
    int64_t now = mg_now(c->opts.clock);
    if (c->pull_seq != 0 && (now >= c->pull_deadline_ms ||
                             !mg_net_is_up(c->opts.net, c->pull_peer))) {
        if (strcmp(c->pull_peer, c->leader) == 0) {
            c->leader[0] = '\0';
        }
        c->pull_seq = 0;
    }
    if (c->pull_seq == 0) {
        start_pull(c, choose_voter(c));
    }
    list_for_each_safe(el, el1, &c->requests)
    {
        tick_request(c, list_entry(el, struct pending_request, link), now);
    }
}
