#include "group/group_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "base/list.h"

/* how long a member may hold back an answer without news, ms */
#define PULL_WAIT_MS 400
/* no answer for so long: another member is asked, ms */
#define PULL_TIMEOUT_MS 900
/* a question is sent again, elsewhere, after this, ms */
#define ASK_AGAIN_MS 400
#define ASK_SOON_MS 60

/* a command or a read under way */
struct question {
    struct list_head link;
    uint64_t seq;
    bool is_read;
    bool confirmed; /* a read that waits for its revision */
    uint64_t rev;
    mg_buf command;
    int64_t until;
    int64_t ask_at;
    mg_group_client_cb done;
    void *user;
};

struct mg_group_client {
    mg_group_client_options opts;
    char members[MG_VOTERS_MAX][MG_NAME_SIZE];
    size_t member_count;
    char leader[MG_NAME_SIZE];
    size_t turn; /* member to ask when the leader is not known */
    uint64_t next_seq;
    uint64_t rev;
    uint64_t pull_seq; /* of the pull under way, 0: none */
    char pull_peer[MG_NAME_SIZE];
    int64_t pull_until;
    struct list_head questions;
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
    init_list_head(&c->questions);
    return c;
}

static bool
is_member(const char (*names)[MG_NAME_SIZE], size_t n, const char *name)
{
    for (size_t i = 0; i < n; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

void
mg_group_client_set_voters(mg_group_client *c, const mg_voters *seats,
                           uint16_t port)
{
    char names[MG_VOTERS_MAX][MG_NAME_SIZE] = {{0}};
    char addr[MG_ADDR_SIZE + MG_NAME_SIZE];
    size_t n = 0;
    for (unsigned i = 0; i < seats->count; i++) {
        if (seats->ip[i][0] != '\0') {
            mg_group_peer_name(names[n], seats->ip[i]);
            snprintf(addr, sizeof(addr), "%s:%u", seats->ip[i], port);
            mg_net_dial(c->opts.net, names[n++], addr);
        }
    }
    for (size_t i = 0; i < c->member_count; i++) {
        if (!is_member(names, n, c->members[i])) {
            mg_net_undial(c->opts.net, c->members[i]);
        }
    }
    memcpy(c->members, names, sizeof(names));
    c->member_count = n;
    if (!is_member(names, n, c->leader)) {
        c->leader[0] = '\0';
    }
}

static const char *
next_member(mg_group_client *c)
{
    for (size_t k = 0; k < c->member_count; k++) {
        const char *name = c->members[c->turn++ % c->member_count];
        if (mg_net_is_up(c->opts.net, name)) {
            return name;
        }
    }
    return NULL;
}

/* the leader, or else any member with a link */
static const char *
best_member(mg_group_client *c)
{
    if (c->leader[0] != '\0' && mg_net_is_up(c->opts.net, c->leader)) {
        return c->leader;
    }
    return next_member(c);
}

/* what a member says of the leader; empty: it knows none */
static void
note_leader(mg_group_client *c, const char *member, mg_str leader)
{
    if (leader.n == 0 && strcmp(c->leader, member) == 0) {
        /* it led, and may be cut off from those that have another now */
        mg_log(MG_EV_GROUP_LEADER, "leader=- before=%s rev=%llu", member,
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
    c->pull_until = mg_now(c->opts.clock) + PULL_TIMEOUT_MS;
    m.u.pull.seq = c->pull_seq;
    m.u.pull.rev = c->rev;
    m.u.pull.wait_ms = PULL_WAIT_MS;
    mg_net_send(c->opts.net, peer, &m);
}

static void
end_question(struct question *q, mg_rc rc, uint64_t rev, const char *why)
{
    list_del(&q->link);
    q->done(q->user, rc, rev, why);
    mg_buf_free(&q->command);
    free(q);
}

static void
end_reads(mg_group_client *c)
{
    list_for_each_safe(el, el1, &c->questions)
    {
        struct question *q = list_entry(el, struct question, link);
        if (q->confirmed && c->rev >= q->rev) {
            end_question(q, MG_OK, q->rev, "");
        }
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
    note_leader(c, peer, r->leader);
    if (r->rev > c->rev) {
        while (mg_msg_next(&rest, &m) == MG_OK) {
            if (m.type == MG_MSG_RECORD) {
                c->opts.on_record(c->opts.user, &m.u.record);
            }
        }
        c->rev = r->rev;
        end_reads(c);
    }
    start_pull(c, best_member(c));
}

/* ----------------------------------------------------------- questions */

static void
ask(mg_group_client *c, struct question *q)
{
    mg_msg m;
    const char *peer = best_member(c);
    q->ask_at = mg_now(c->opts.clock) + (peer ? ASK_AGAIN_MS : ASK_SOON_MS);
    if (peer == NULL) {
        return;
    }
    if (q->is_read) {
        m.type = MG_MSG_CONFIRM;
        m.u.confirm.seq = q->seq;
    }
    else {
        m.type = MG_MSG_PROPOSE;
        m.u.propose.seq = q->seq;
        m.u.propose.command = mg_str_buf(&q->command);
    }
    mg_net_send(c->opts.net, peer, &m);
}

static struct question *
add_question(mg_group_client *c, int64_t ms, mg_group_client_cb done,
             void *user)
{
    struct question *q = mg_alloc(sizeof(*q));
    q->seq = ++c->next_seq;
    q->until = mg_now(c->opts.clock) + ms;
    q->done = done;
    q->user = user;
    list_add_tail(&q->link, &c->questions);
    return q;
}

void
mg_group_client_propose(mg_group_client *c, const mg_msg *command, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    struct question *q = add_question(c, ms, done, user);
    mg_msg_encode(command, &q->command);
    ask(c, q);
}

void
mg_group_client_confirm(mg_group_client *c, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    struct question *q = add_question(c, ms, done, user);
    q->is_read = true;
    ask(c, q);
}

static struct question *
find_question(mg_group_client *c, uint64_t seq)
{
    list_for_each(el, &c->questions)
    {
        struct question *q = list_entry(el, struct question, link);
        if (q->seq == seq) {
            return q;
        }
    }
    return NULL;
}

static void
on_not_leader(mg_group_client *c, const char *peer, const mg_not_leader_msg *r)
{
    struct question *q = find_question(c, r->seq);
    note_leader(c, peer, r->leader);
    if (q != NULL) {
        q->ask_at =
            mg_now(c->opts.clock) +
            (strcmp(c->leader, peer) == 0 || c->leader[0] == '\0' ? ASK_SOON_MS
                                                                  : 0);
    }
}

static void
on_confirm_rep(mg_group_client *c, const mg_confirm_rep_msg *r)
{
    struct question *q = find_question(c, r->seq);
    if (q == NULL || !q->is_read) {
        return;
    }
    q->confirmed = true;
    q->rev = r->rev;
    end_reads(c);
}

static void
on_proposed(mg_group_client *c, const mg_proposed_msg *r)
{
    char why[MG_TEXT_SIZE];
    struct question *q = find_question(c, r->seq);
    if (q == NULL || q->is_read) {
        return;
    }
    if (r->rc == MG_E_NO_LEADER) {
        q->ask_at = mg_now(c->opts.clock) + ASK_SOON_MS;
        return;
    }
    mg_str_copy(why, sizeof(why), r->why);
    end_question(q, (mg_rc)r->rc, r->rev, why);
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
tick_question(mg_group_client *c, struct question *q, int64_t now)
{
    if (now >= q->until) {
        end_question(q, q->is_read ? MG_E_NO_QUORUM : MG_E_NO_LEADER, 0,
                     "no answer from the group");
    }
    else if (now >= q->ask_at && !q->confirmed) {
        ask(c, q);
    }
}

void
mg_group_client_tick(mg_group_client *c)
{
    int64_t now = mg_now(c->opts.clock);
    if (c->pull_seq != 0 &&
        (now >= c->pull_until || !mg_net_is_up(c->opts.net, c->pull_peer))) {
        if (strcmp(c->pull_peer, c->leader) == 0) {
            c->leader[0] = '\0';
        }
        c->pull_seq = 0;
    }
    if (c->pull_seq == 0) {
        start_pull(c, best_member(c));
    }
    list_for_each_safe(el, el1, &c->questions)
    {
        tick_question(c, list_entry(el, struct question, link), now);
    }
}
