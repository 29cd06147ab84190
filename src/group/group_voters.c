#include "group/group_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/event.h"
#include "group/group_client.h"

/* interval at which the leader checks the voters, ms */
#define VOTERS_CHECK_MS 100
/* interval at which a host without a slot sends CANDIDATE, ms */
#define CANDIDACY_MS 300
/* a host counts as leaving for this time after it has said so, ms; it repeats
   that until it stops */
#define LEAVING_MS 1500
#define VOTERS_KEY "seats"

static mg_rc
read_seats(const mg_seats_msg *msg, uint64_t rev, mg_voters *out)
{
    mg_rc rc = mg_voters_parse(out, rev, msg->holders);
    if (rc == MG_OK) {
        mg_voters_set_swap(out, msg->outgoing, msg->incoming);
    }
    return rc;
}

/* Gets the voters from the state machine. */
static bool
get_committed_voters(const mg_group *g, mg_voters *out)
{
    mg_str value;
    uint64_t rev;
    mg_msg m;
    return mg_state_get(g->state, MG_RECORD_VOTERS, mg_str_of(VOTERS_KEY),
                        &value, &rev) &&
           mg_msg_decode(value, &m) == MG_OK && m.type == MG_MSG_SEATS &&
           read_seats(&m.u.seats, rev, out) == MG_OK;
}

void
mg_group_dial_voter(mg_group *g, const char *ip)
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
mg_group_set_voters(mg_group *g, const mg_voters *v)
{
    char peer[MG_NAME_SIZE];
    for (unsigned i = 0; i < g->voters.count; i++) {
        const char *old = g->voters.ip[i];
        if (old[0] != '\0' && mg_voters_slot_of(v, old) == 0) {
            mg_group_peer_name(peer, old);
            mg_net_undial(g->net, peer);
        }
    }
    g->voters = *v;
    for (unsigned i = 0; i < v->count; i++) {
        mg_group_dial_voter(g, v->ip[i]);
    }
}

void
mg_group_save_voters(mg_group *g)
{
    char ips[MG_VOTERS_MAX * MG_NAME_SIZE];
    char note[sizeof(ips) + 32];
    mg_voters_print(&g->voters, ips);
    snprintf(note, sizeof(note), "%" PRIu64 ":%s", g->voters.rev, ips);
    mg_log(MG_EV_SEATS, "rev=%" PRIu64 " holders=%s own=%u", g->voters.rev,
           ips, g->slot);
    uint64_t slots[MG_STORE_SLOTS] = {
        g->voters.learner_slot,
        g->voters.outgoing,
        g->voters.incoming,
    };
    if (mg_store_save_voters(g->disk.store, mg_str_of(note), slots) != MG_OK) {
        mg_log(MG_EV_STORE_FAILED, "dir=%s what=note", g->data_dir);
        g->storage_failed = true;
        g->reopen_at_ms = mg_now(g->clock) + MG_GROUP_REOPEN_MS;
    }
}

/* Tells the running log that a slot has another holder, or none. */
static void
set_holder(mg_group *g, unsigned slot, const char *ip)
{
    if (mg_raft_is_learner(g->disk.raft, slot) &&
        strcmp(mg_group_ip_in_slot(g, slot), ip) == 0) {
        mg_raft_promote_learner(g->disk.raft, slot);
    }
    else if (slot != g->slot) {
        mg_raft_set_voter_slot(g->disk.raft, slot, ip[0] != '\0');
    }
    if (slot == g->learner.slot) {
        g->learner.slot = 0;
    }
}

/* Applies committed voters to the running log, if they are newer. */
static void
adopt_voters(mg_group *g, const mg_voters *v)
{
    mg_voters old = g->voters;
    if (v->rev <= old.rev) {
        return;
    }
    mg_group_set_voters(g, v);
    g->local_slot_changed |= mg_voters_member_slot(v, g->ip) != g->slot;
    for (unsigned i = 0; i < v->count && g->disk.raft != NULL; i++) {
        if (i >= old.count || strcmp(old.ip[i], v->ip[i]) != 0) {
            set_holder(g, i + 1, v->ip[i]);
        }
    }
    if (g->disk.raft != NULL) {
        mg_raft_set_swap(g->disk.raft, v->outgoing, v->incoming);
    }
    g->next_voters_check_ms = 0;
    mg_group_save_voters(g);
}

void
mg_group_adopt_committed_voters(mg_group *g)
{
    mg_voters v;
    if (get_committed_voters(g, &v)) {
        adopt_voters(g, &v);
    }
}

const char *
mg_group_ip_in_slot(const mg_group *g, unsigned slot)
{
    if (slot == g->slot) {
        return g->ip;
    }
    return slot == g->learner.slot ? g->learner.ip : g->voters.ip[slot - 1];
}

unsigned
mg_group_slot_of_peer(const mg_group *g, const char *peer)
{
    char name[MG_NAME_SIZE];
    for (unsigned i = 1; i <= MG_VOTERS_MAX; i++) {
        const char *ip = mg_group_ip_in_slot(g, i);
        mg_group_peer_name(name, ip);
        if (ip[0] != '\0' && strcmp(name, peer) == 0) {
            return i;
        }
    }
    return 0;
}

void
mg_group_send_voters(mg_group *g, const char *peer)
{
    char ips[MG_VOTERS_MAX * MG_NAME_SIZE];
    mg_msg m = {.type = MG_MSG_SEATS};
    mg_voters_print(&g->voters, ips);
    m.u.seats.rev = g->voters.rev;
    m.u.seats.holders = mg_str_of(ips);
    m.u.seats.outgoing = g->voters.outgoing;
    m.u.seats.incoming = g->voters.incoming;
    mg_net_send(g->net, peer, &m);
}

void
mg_group_on_candidate(mg_group *g, const char *peer, mg_str ip)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), ip);
    mg_voters_note_candidate(g->candidates, &g->candidate_count,
                             MG_GROUP_CANDIDATES_MAX, name, mg_now(g->clock));
    mg_group_send_voters(g, peer);
}

void
mg_group_on_can_learn(mg_group *g, mg_str ip)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), ip);
    mg_voters_note_candidate(g->candidates, &g->candidate_count,
                             MG_GROUP_CANDIDATES_MAX, name, mg_now(g->clock));
    for (size_t i = 0; i < g->candidate_count; i++) {
        if (mg_str_is(ip, g->candidates[i].ip)) {
            g->candidates[i].learns = true;
        }
    }
}

void
mg_group_on_leaving(mg_group *g, mg_str ip)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), ip);
    mg_voters_note_candidate(g->leaving, &g->leaving_count,
                             MG_GROUP_CANDIDATES_MAX, name, mg_now(g->clock));
}

/* Whether a host has said lately that it is about to stop. */
static bool
is_leaving(const mg_group *g, const char *ip, int64_t now)
{
    for (size_t i = 0; i < g->leaving_count; i++) {
        const mg_voter_candidate *c = &g->leaving[i];
        if (now - c->last_seen_ms <= LEAVING_MS && strcmp(c->ip, ip) == 0) {
            return true;
        }
    }
    return false;
}

void
mg_group_on_candidate_up(mg_group *g, const char *peer)
{
    char name[MG_NAME_SIZE];
    for (size_t i = 0; i < g->candidate_count; i++) {
        mg_group_peer_name(name, g->candidates[i].ip);
        if (strcmp(name, peer) == 0) {
            g->candidates[i].learns = false;
        }
    }
}

static void
propose_change(mg_group *g, const mg_voters_change *change)
{
    char ips[MG_VOTERS_MAX * MG_NAME_SIZE];
    uint64_t term;
    mg_buf value = {0};
    mg_buf command = {0};
    mg_voters v = g->voters;
    mg_voters_apply(&v, change);
    mg_voters_print(&v, ips);
    mg_msg rec = {.type = MG_MSG_SEATS};
    rec.u.seats.holders = mg_str_of(ips);
    rec.u.seats.outgoing = v.outgoing;
    rec.u.seats.incoming = v.incoming;
    mg_msg_encode(&rec, &value);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_RECORD_VOTERS;
    put.u.cmd_put.key = mg_str_of(VOTERS_KEY);
    put.u.cmd_put.expect_rev = g->voters.rev;
    put.u.cmd_put.value = mg_str_buf(&value);
    mg_msg_encode(&put, &command);
    mg_log(MG_EV_SEATS, "proposed=%s step=%d seat=%u node=%s", ips,
           change->kind, change->slot + 1, change->ip);
    if (mg_raft_propose(g->disk.raft, mg_str_buf(&command),
                        &g->pending_change_index, &term) != MG_OK) {
        g->pending_change_index = 0;
    }
    mg_buf_free(&value);
    mg_buf_free(&command);
}

/* Whether a comma-separated list contains an address. */
static bool
list_has(const mg_buf *list, const char *ip)
{
    mg_str rest = mg_str_buf(list);
    while (rest.n > 0) {
        if (mg_str_is(mg_str_split(rest, ',', &rest), ip)) {
            return true;
        }
    }
    return false;
}

void
mg_group_on_disk_hosts(mg_group *g, const mg_disk_hosts_msg *msg)
{
    g->disk_hosts.n = 0;
    mg_buf_put(&g->disk_hosts, msg->disks.p, msg->disks.n);
    g->hosts_without_disk.n = 0;
    mg_buf_put(&g->hosts_without_disk, msg->without.p, msg->without.n);
}

/* Collects what the leader knows. A voter counts as one without a disk only
   if its node has said so. */
static void
look_at_voters(mg_group *g, int64_t now, mg_voters_view *view)
{
    *view = (mg_voters_view){
        .wanted = g->wanted_voters,
        .own_slot = g->slot,
        .all_vote = mg_raft_all_members_vote(g->disk.raft),
        .disks_exist = g->disk_hosts.n > 0,
        .candidates = g->candidates,
        .candidate_count = g->candidate_count,
        .now_ms = now,
    };
    if (g->learner.slot != 0) {
        view->learner = g->learner;
        view->learner_age_ms =
            mg_raft_contact_age_ms(g->disk.raft, g->learner.slot);
        view->learner_votes =
            mg_raft_slot_votes(g->disk.raft, g->learner.slot);
        view->learner_leaving = is_leaving(g, g->learner.ip, now);
        view->learner_in_memory = !list_has(&g->disk_hosts, g->learner.ip);
    }
    for (unsigned i = 0; i < g->voters.count; i++) {
        view->age_ms[i] = mg_raft_contact_age_ms(g->disk.raft, i + 1);
        view->in_memory[i] = list_has(&g->hosts_without_disk, g->voters.ip[i]);
        view->leaving[i] = is_leaving(g, g->voters.ip[i], now);
    }
    for (size_t i = 0; i < g->candidate_count; i++) {
        mg_voter_candidate *c = &g->candidates[i];
        c->has_disk = list_has(&g->disk_hosts, c->ip);
        c->leaving = is_leaving(g, c->ip, now);
    }
}

/* Whether each voter is known to have a disk or to have none. */
static bool
knows_all_disks(const mg_group *g)
{
    for (unsigned i = 0; i < g->voters.count; i++) {
        const char *ip = g->voters.ip[i];
        if (ip[0] != '\0' && !list_has(&g->disk_hosts, ip) &&
            !list_has(&g->hosts_without_disk, ip)) {
            return false;
        }
    }
    return true;
}

bool
mg_group_accepts_commands(mg_group *g)
{
    mg_voters_view view;
    int64_t now = mg_now(g->clock);
    int64_t age = now - g->started_ms;
    if (!g->new_group || age >= MG_GROUP_FORMING_MAX_MS) {
        return true;
    }
    look_at_voters(g, now, &view);
    if (age < MG_GROUP_DISCOVERY_MS &&
        (g->disk_hosts.n == 0 || !knows_all_disks(g))) {
        return false;
    }
    return !mg_voters_lack_disks(&g->voters, &view);
}

static void
forget_learner(mg_group *g)
{
    if (g->learner.slot == 0) {
        return;
    }
    mg_log(MG_EV_SEATS, "learner= seat=%u", g->learner.slot);
    mg_raft_set_voter_slot(g->disk.raft, g->learner.slot, false);
    g->learner.slot = 0;
}

static void
add_learner(mg_group *g, const mg_voters_change *change)
{
    g->learner.slot = change->slot + 1;
    mg_str_copy(g->learner.ip, sizeof(g->learner.ip), mg_str_of(change->ip));
    mg_log(MG_EV_SEATS, "learner=%s seat=%u", change->ip, g->learner.slot);
    mg_raft_add_learner(g->disk.raft, g->learner.slot);
}

/* Tells the learner its slot, again and again: it may have started anew. */
static void
send_learn(mg_group *g)
{
    char ips[MG_VOTERS_MAX * MG_NAME_SIZE];
    char peer[MG_NAME_SIZE];
    mg_msg m = {.type = MG_MSG_LEARN};
    if (g->learner.slot == 0) {
        return;
    }
    mg_voters_print(&g->voters, ips);
    m.u.learn.rev = g->voters.rev;
    m.u.learn.holders = mg_str_of(ips);
    m.u.learn.slot = g->learner.slot;
    mg_group_peer_name(peer, g->learner.ip);
    mg_net_send(g->net, peer, &m);
}

static void
carry_out(mg_group *g, const mg_voters_change *change)
{
    switch (change->kind) {
    case MG_VOTERS_KEEP:
        break;
    case MG_VOTERS_LEARN:
        add_learner(g, change);
        break;
    case MG_VOTERS_FORGET:
        forget_learner(g);
        break;
    case MG_VOTERS_REMOVE:
    case MG_VOTERS_ASSIGN:
    case MG_VOTERS_ADD_SLOT:
        propose_change(g, change);
        break;
    }
    send_learn(g);
}

void
mg_group_check_voters(mg_group *g, int64_t now)
{
    g->next_voters_check_ms = now + VOTERS_CHECK_MS;
    if (mg_raft_get_role(g->disk.raft) != MG_RAFT_LEADER) {
        forget_learner(g);
    }
    if (!mg_raft_ready(g->disk.raft) ||
        (g->pending_change_index != 0 &&
         mg_raft_applied_index(g->disk.raft) < g->pending_change_index)) {
        return;
    }
    mg_voters_change change = {MG_VOTERS_KEEP, 0, "", 0};
    if (g->voters.rev == 0) {
        /* publish the initial voters as a record that all nodes receive */
        propose_change(g, &change);
        return;
    }
    mg_voters_view view;
    look_at_voters(g, now, &view);
    change = mg_voters_plan_change(&g->voters, &view);
    carry_out(g, &change);
}

void
mg_group_send_candidacy(mg_group *g, int64_t now)
{
    mg_msg m = {.type = MG_MSG_CANDIDATE};
    mg_msg can_learn = {.type = MG_MSG_CAN_LEARN};
    m.u.candidate.node = mg_str_of(g->ip);
    can_learn.u.can_learn.node = mg_str_of(g->ip);
    g->next_candidacy_ms = now + CANDIDACY_MS;
    for (unsigned i = 0; i < g->voters.count; i++) {
        char peer[MG_NAME_SIZE];
        mg_group_peer_name(peer, g->voters.ip[i]);
        mg_net_send(g->net, peer, &can_learn);
        mg_net_send(g->net, peer, &m);
    }
}

static void
receive_voters(mg_group *g, const mg_voters *v)
{
    switch (mg_voters_compare(&g->voters, g->slot, v, g->ip)) {
    case MG_VOTERS_OLD:
        break;
    case MG_VOTERS_ADOPT:
        /* the leader may be a voter that this host doesn't know yet, and then
           the log can't tell it */
        if (g->slot != 0) {
            adopt_voters(g, v);
        }
        else {
            mg_group_set_voters(g, v);
        }
        break;
    case MG_VOTERS_REOPEN:
        mg_group_set_voters(g, v);
        g->local_slot_changed = true;
        break;
    }
}

void
mg_group_on_voters(mg_group *g, const char *peer, const mg_seats_msg *msg)
{
    mg_voters v;
    if (read_seats(msg, msg->rev, &v) != MG_OK) {
        return;
    }
    if (v.rev < g->voters.rev) {
        /* this host may be the only one left that knows of its removal */
        mg_group_send_voters(g, peer);
        return;
    }
    receive_voters(g, &v);
}

void
mg_group_on_learn(mg_group *g, const mg_learn_msg *msg)
{
    mg_voters v;
    if (mg_voters_parse(&v, msg->rev, msg->holders) == MG_OK &&
        mg_voters_set_learner(&v, msg->slot)) {
        receive_voters(g, &v);
    }
}
