#include "group/group_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "group/group_client.h"

/* the leader looks after the seats, ms */
#define SEATS_MS 200
/* a host without a seat offers itself, ms */
#define OFFER_MS 300
#define SEATS_KEY "seats"

/* the table that the state machine holds */
static bool
read_seats(const mg_group *g, mg_seats *out)
{
    mg_str value;
    uint64_t rev;
    mg_msg m;
    return mg_state_get(g->state, MG_RECORD_SEATS, mg_str_of(SEATS_KEY),
                        &value, &rev) &&
           mg_msg_decode(value, &m) == MG_OK && m.type == MG_MSG_SEATS &&
           mg_seats_parse(out, rev, m.u.seats.holders) == MG_OK;
}

void
mg_group_dial_holder(mg_group *g, const char *ip)
{
    char peer[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE + MG_NAME_SIZE];
    if (ip[0] == '\0' || strcmp(ip, g->ip) == 0) {
        return;
    }
    mg_group_peer_name(peer, ip);
    snprintf(addr, sizeof(addr), "%s:%u", ip, g->link_port);
    mg_net_dial(g->net, peer, addr);
}

void
mg_group_use_table(mg_group *g, const mg_seats *t)
{
    char peer[MG_NAME_SIZE];
    for (unsigned i = 0; i < g->seats.count; i++) {
        const char *old = g->seats.holder[i];
        if (old[0] != '\0' && mg_seats_of(t, old) == 0) {
            mg_group_peer_name(peer, old);
            mg_net_undial(g->net, peer);
        }
    }
    g->seats = *t;
    for (unsigned i = 0; i < t->count; i++) {
        mg_group_dial_holder(g, t->holder[i]);
    }
}

void
mg_group_save_table(mg_group *g)
{
    char holders[MG_SEATS_MAX * MG_NAME_SIZE];
    char note[sizeof(holders) + 32];
    mg_seats_print(&g->seats, holders);
    snprintf(note, sizeof(note), "%" PRIu64 ":%s", g->seats.rev, holders);
    mg_log(MG_EV_SEATS, "rev=%" PRIu64 " holders=%s own=%u", g->seats.rev,
           holders, g->id);
    if (mg_store_save_note(g->disk.store, mg_str_of(note)) != MG_OK) {
        mg_log(MG_EV_STORE_FAILED, "dir=%s what=note", g->data_dir);
        g->failed = true;
        g->reopen_at = mg_now(g->clock) + MG_GROUP_REOPEN_MS;
    }
}

/* a committed table: the log goes on with its voters */
static void
follow_table(mg_group *g, const mg_seats *t)
{
    mg_seats old = g->seats;
    if (t->rev <= old.rev) {
        return;
    }
    mg_group_use_table(g, t);
    for (unsigned i = 0; i < t->count; i++) {
        bool is_new = i >= old.count;
        if (!is_new && strcmp(old.holder[i], t->holder[i]) == 0) {
            continue;
        }
        if (i + 1 == g->id) {
            g->seats_changed = true;
        }
        else if (g->disk.raft != NULL) {
            mg_raft_set_seat(g->disk.raft, i + 1, t->holder[i][0] != '\0');
        }
    }
    mg_group_save_table(g);
}

void
mg_group_follow_state(mg_group *g)
{
    mg_seats t;
    if (read_seats(g, &t)) {
        follow_table(g, &t);
    }
}

unsigned
mg_group_member_of(const mg_group *g, const char *peer)
{
    char name[MG_NAME_SIZE];
    for (unsigned i = 0; i < g->seats.count; i++) {
        mg_group_peer_name(name, g->seats.holder[i]);
        if (g->seats.holder[i][0] != '\0' && strcmp(name, peer) == 0) {
            return i + 1;
        }
    }
    return 0;
}

void
mg_group_tell_seats(mg_group *g, const char *peer)
{
    char holders[MG_SEATS_MAX * MG_NAME_SIZE];
    mg_msg m = {.type = MG_MSG_SEATS};
    mg_seats_print(&g->seats, holders);
    m.u.seats.rev = g->seats.rev;
    m.u.seats.holders = mg_str_of(holders);
    mg_net_send(g->net, peer, &m);
}

void
mg_group_on_candidate(mg_group *g, const char *peer, mg_str node)
{
    mg_seat_candidate *c = NULL;
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), node);
    for (size_t i = 0; i < g->candidate_count; i++) {
        if (strcmp(g->candidates[i].node, name) == 0) {
            c = &g->candidates[i];
        }
    }
    if (c == NULL && g->candidate_count < MG_GROUP_CANDIDATES_MAX) {
        c = &g->candidates[g->candidate_count++];
        mg_str_copy(c->node, sizeof(c->node), node);
    }
    if (c != NULL) {
        c->heard_ms = mg_now(g->clock);
    }
    mg_group_tell_seats(g, peer);
}

static void
propose_seats(mg_group *g, const mg_seat_plan *plan)
{
    char holders[MG_SEATS_MAX * MG_NAME_SIZE];
    uint64_t term;
    mg_buf value = {0};
    mg_buf command = {0};
    mg_seats t = g->seats;
    mg_seats_apply(&t, plan);
    mg_seats_print(&t, holders);
    mg_msg rec = {.type = MG_MSG_SEATS};
    rec.u.seats.holders = mg_str_of(holders);
    mg_msg_encode(&rec, &value);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_RECORD_SEATS;
    put.u.cmd_put.key = mg_str_of(SEATS_KEY);
    put.u.cmd_put.expect_rev = g->seats.rev;
    put.u.cmd_put.value = mg_str_buf(&value);
    mg_msg_encode(&put, &command);
    mg_log(MG_EV_SEATS, "proposed=%s step=%d seat=%u node=%s", holders,
           plan->step, plan->seat + 1, plan->node);
    if (mg_raft_propose(g->disk.raft, mg_str_buf(&command), &g->seat_index,
                        &term) != MG_OK) {
        g->seat_index = 0;
    }
    mg_buf_free(&value);
    mg_buf_free(&command);
}

/* the leader gives seats of dead holders to hosts that offer themselves */
void
mg_group_look_after_seats(mg_group *g, int64_t now)
{
    int64_t age[MG_SEATS_MAX];
    g->seats_at = now + SEATS_MS;
    if (!mg_raft_ready(g->disk.raft) ||
        (g->seat_index != 0 &&
         mg_raft_applied(g->disk.raft) < g->seat_index)) {
        return;
    }
    for (unsigned i = 0; i < g->seats.count; i++) {
        age[i] = mg_raft_seat_age(g->disk.raft, i + 1);
    }
    mg_seat_plan plan = {MG_SEAT_KEEP, 0, ""};
    if (g->seats.rev == 0) {
        /* the first table becomes a record, so that all hear of it */
        propose_seats(g, &plan);
        return;
    }
    plan = mg_seats_plan(&g->seats, g->wanted, age,
                         mg_raft_all_vote(g->disk.raft), g->candidates,
                         g->candidate_count, now);
    if (plan.step != MG_SEAT_KEEP) {
        propose_seats(g, &plan);
    }
}

void
mg_group_offer(mg_group *g, int64_t now)
{
    mg_msg m = {.type = MG_MSG_CANDIDATE};
    m.u.candidate.node = mg_str_of(g->ip);
    g->offer_at = now + OFFER_MS;
    for (unsigned i = 0; i < g->seats.count; i++) {
        char peer[MG_NAME_SIZE];
        mg_group_peer_name(peer, g->seats.holder[i]);
        mg_net_send(g->net, peer, &m);
    }
}

/* a table from elsewhere: for a member without a seat, or that lost it */
void
mg_group_on_seats(mg_group *g, const mg_seats_msg *q)
{
    mg_seats t;
    if (q->rev <= g->seats.rev ||
        mg_seats_parse(&t, q->rev, q->holders) != MG_OK) {
        return;
    }
    bool holds = mg_seats_of(&t, g->ip) != 0;
    if (g->id != 0 && holds) {
        return; /* the log itself will tell */
    }
    mg_group_use_table(g, &t);
    if (g->id != 0 || holds) {
        g->seats_changed = true;
    }
}
