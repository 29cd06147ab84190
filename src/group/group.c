#include "group/group_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "group/group_client.h"

#define TICK_MS 20
/* size of the claim ledger, an argument of mg_state_new(); no command of this
   log uses the ledger */
#define CLAIMS_MAX 1024
/* a log of this length is compacted into a snapshot, entries */
#define SNAPSHOT_THRESHOLD 64
/* size of the records in one PULL_REP, exceeded by at most one record */
#define PULL_REP_MAX_BYTES (256u << 10)
/* while more bytes than this wait to be sent to the peer, or to all peers
   together, records wait */
#define PULL_PEER_UNSENT_MAX (4u << 10)
#define PULL_UNSENT_MAX (2u << 20)
/* a log of this size is compacted as well, bytes */
#define SNAPSHOT_THRESHOLD_BYTES (4u << 20)

/* ------------------------------------------------------- raft callbacks */

static mg_group *
group_of(mg_raft_callbacks *cb)
{
    return (mg_group *)cb;
}

static void
send_message(mg_raft_callbacks *cb, unsigned to, const mg_msg *m)
{
    char peer[MG_NAME_SIZE];
    mg_group_peer_name(peer, mg_group_ip_in_slot(group_of(cb), to));
    mg_net_send(group_of(cb)->net, peer, m);
}

static void
finish_proposal(mg_group *g, struct proposal *p, const mg_apply_reply *reply)
{
    mg_msg m = {.type = MG_MSG_PROPOSED};
    m.u.proposed.seq = p->seq;
    m.u.proposed.rc = reply->rc;
    m.u.proposed.rev = reply->rev;
    m.u.proposed.why = mg_str_of(reply->text);
    mg_net_send(g->net, p->peer, &m);
    HASH_DEL(g->proposals, p);
    free(p);
}

static void
apply_entry(mg_raft_callbacks *cb, const mg_raft_entry *e)
{
    mg_group *g = group_of(cb);
    mg_apply_reply reply;
    struct proposal *p;
    mg_state_apply(g->state, e->data, &reply);
    mg_group_adopt_committed_voters(g);
    HASH_FIND(hh, g->proposals, &e->index, sizeof(e->index), p);
    if (p == NULL) {
        return;
    }
    if (p->term != e->term) {
        reply = (mg_apply_reply){.rc = MG_E_NO_LEADER};
    }
    finish_proposal(g, p, &reply);
}

static void
restore_snapshot(mg_raft_callbacks *cb, mg_str data)
{
    mg_rc rc = mg_state_load(group_of(cb)->state, data);
    MG_INVARIANT(rc == MG_OK);
    mg_group_adopt_committed_voters(group_of(cb));
}

static const char *
leader_name(const mg_group *g)
{
    static char name[MG_NAME_SIZE];
    unsigned leader = g->disk.raft ? mg_raft_leader(g->disk.raft) : 0;
    if (leader == 0 || g->voters.ip[leader - 1][0] == '\0') {
        return "";
    }
    mg_group_peer_name(name, g->voters.ip[leader - 1]);
    return name;
}

static void
drop_waiting(struct list_head *requests)
{
    list_for_each_safe(el, el1, requests)
    {
        list_del(el);
        free(list_entry(el, struct waiting_request, link));
    }
}

static void
drop_leader_requests(mg_group *g)
{
    mg_apply_reply reply = {.rc = MG_E_NO_LEADER};
    struct proposal *p;
    struct proposal *p1;
    HASH_ITER(hh, g->proposals, p, p1)
    {
        finish_proposal(g, p, &reply);
    }
    drop_waiting(&g->confirms);
    g->confirm_round = 0;
}

static void
on_role_changed(mg_raft_callbacks *cb, mg_raft_role role, uint64_t term)
{
    static const char *const names[] = {"follower", "pre_candidate",
                                        "candidate", "leader"};
    mg_log(MG_EV_RAFT_ROLE, "role=%s term=%" PRIu64, names[role], term);
    if (role == MG_RAFT_LEADER) {
        mg_count(MG_C_RAFT_ELECTIONS, 1);
    }
    else {
        drop_leader_requests(group_of(cb));
    }
}

static void
on_storage_failed(mg_raft_callbacks *cb, mg_rc rc)
{
    mg_group *g = group_of(cb);
    mg_log(MG_EV_STORE_FAILED, "dir=%s rc=%s", g->data_dir, mg_rc_name(rc));
    g->storage_failed = true;
    g->reopen_at_ms = mg_now(g->clock) + MG_GROUP_REOPEN_MS;
}

/* ------------------------------------------------------------ requests */

static struct waiting_request *
add_waiting(struct list_head *to, const char *peer, uint64_t seq)
{
    struct waiting_request *w = mg_alloc(sizeof(*w));
    mg_str_copy(w->peer, sizeof(w->peer), mg_str_of(peer));
    w->seq = seq;
    list_add_tail(&w->link, to);
    return w;
}

/* Returns the PULL of a peer that waits, to be replaced by its next one: the
   peer no longer expects a reply to the earlier one. */
static struct waiting_request *
find_pull(mg_group *g, const char *peer)
{
    list_for_each(el, &g->pulls)
    {
        struct waiting_request *w =
            list_entry(el, struct waiting_request, link);
        if (strcmp(w->peer, peer) == 0) {
            return w;
        }
    }
    return NULL;
}

static void
on_pull(mg_group *g, const char *peer, const mg_pull_msg *msg)
{
    struct waiting_request *w = find_pull(g, peer);
    if (w == NULL) {
        w = add_waiting(&g->pulls, peer, msg->seq);
    }
    w->seq = msg->seq;
    w->rev = msg->rev;
    w->deadline_ms = mg_now(g->clock) + (int64_t)msg->wait_ms;
}

static void
reply_not_leader(mg_group *g, const char *peer, uint64_t seq)
{
    mg_msg m = {.type = MG_MSG_NOT_LEADER};
    m.u.not_leader.seq = seq;
    m.u.not_leader.leader = mg_str_of(leader_name(g));
    mg_net_send(g->net, peer, &m);
}

/* Whether a command that a peer sent again is in the log already. */
static bool
is_proposed(const mg_group *g, const char *peer, uint64_t seq)
{
    for (const struct proposal *p = g->proposals; p != NULL; p = p->hh.next) {
        if (p->seq == seq && strcmp(p->peer, peer) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_propose(mg_group *g, const char *peer, const mg_propose_msg *msg)
{
    mg_msg m;
    struct proposal *p;
    if (mg_msg_decode(msg->command, &m) != MG_OK ||
        (m.type != MG_MSG_CMD_DOCUMENT && m.type != MG_MSG_CMD_PUT)) {
        mg_log(MG_EV_BAD_INPUT, "peer=%s what=command", peer);
        mg_count(MG_C_BAD_INPUT, 1);
        return;
    }
    if (is_proposed(g, peer, msg->seq)) {
        return;
    }
    p = mg_alloc(sizeof(*p));
    p->seq = msg->seq;
    mg_str_copy(p->peer, sizeof(p->peer), mg_str_of(peer));
    if (!mg_raft_ready(g->disk.raft) || !mg_group_accepts_commands(g) ||
        mg_raft_propose(g->disk.raft, msg->command, &p->index, &p->term) !=
            MG_OK) {
        reply_not_leader(g, peer, msg->seq);
        free(p);
        return;
    }
    HASH_ADD(hh, g->proposals, index, sizeof(p->index), p);
}

static void
on_confirm(mg_group *g, const char *peer, uint64_t seq)
{
    if (!mg_raft_ready(g->disk.raft)) {
        reply_not_leader(g, peer, seq);
        return;
    }
    if (g->confirm_round == 0) {
        g->confirm_round = mg_raft_start_round(g->disk.raft);
    }
    struct waiting_request *w = add_waiting(&g->confirms, peer, seq);
    w->round = g->confirm_round;
    w->rev = mg_state_rev(g->state);
}

static void
reply_confirms(mg_group *g)
{
    uint64_t confirmed = mg_raft_confirmed_round(g->disk.raft);
    list_for_each_safe(el, el1, &g->confirms)
    {
        struct waiting_request *w =
            list_entry(el, struct waiting_request, link);
        if (w->round > confirmed) {
            break;
        }
        mg_msg m = {.type = MG_MSG_CONFIRM_REP};
        m.u.confirm_rep.seq = w->seq;
        m.u.confirm_rep.rc = MG_OK;
        m.u.confirm_rep.rev = w->rev;
        mg_net_send(g->net, w->peer, &m);
        list_del(&w->link);
        free(w);
    }
}

/* A client takes the records of a leader that names itself for complete. */
static const char *
leader_of_reply(const mg_group *g)
{
    const mg_raft *r = g->disk.raft;
    bool leads = r != NULL && mg_raft_get_role(r) == MG_RAFT_LEADER;
    return leads && !mg_raft_is_current(r) ? "" : leader_name(g);
}

static void
reply_pull(mg_group *g, const struct waiting_request *w)
{
    mg_buf records = {0};
    mg_msg m = {.type = MG_MSG_PULL_REP};
    m.u.pull_rep.seq = w->seq;
    m.u.pull_rep.rev =
        mg_state_changes(g->state, w->rev, PULL_REP_MAX_BYTES, &records);
    m.u.pull_rep.partial = m.u.pull_rep.rev < mg_state_rev(g->state);
    m.u.pull_rep.leader = mg_str_of(leader_of_reply(g));
    m.u.pull_rep.records = mg_str_buf(&records);
    mg_net_send(g->net, w->peer, &m);
    mg_buf_free(&records);
}

/* Whether records may be sent to a peer: it has taken the last ones, and few
   bytes wait for all peers together. */
static bool
may_send_records(mg_group *g, const char *peer)
{
    return mg_net_unsent(g->net, peer) < PULL_PEER_UNSENT_MAX &&
           mg_net_unsent_total(g->net) < PULL_UNSENT_MAX;
}

static void
reply_pulls(mg_group *g)
{
    int64_t now = mg_now(g->clock);
    uint64_t rev = mg_state_rev(g->state);
    list_for_each_safe(el, el1, &g->pulls)
    {
        struct waiting_request *w =
            list_entry(el, struct waiting_request, link);
        if (w->rev < rev ? may_send_records(g, w->peer)
                         : now >= w->deadline_ms) {
            reply_pull(g, w);
            list_del(&w->link);
            free(w);
        }
    }
}

static void
on_message(void *user, const char *peer, const mg_msg *m)
{
    mg_group *g = user;
    if (m->type == MG_MSG_SEATS) {
        mg_group_on_voters(g, peer, &m->u.seats);
        return;
    }
    if (m->type == MG_MSG_CANDIDATE) {
        mg_group_on_candidate(g, peer, m->u.candidate.node);
        return;
    }
    if (m->type == MG_MSG_CAN_LEARN) {
        mg_group_on_can_learn(g, m->u.can_learn.node);
        return;
    }
    if (m->type == MG_MSG_LEAVING) {
        mg_group_on_leaving(g, m->u.leaving.node);
        return;
    }
    if (m->type == MG_MSG_LEARN) {
        mg_group_on_learn(g, &m->u.learn);
        return;
    }
    if (m->type == MG_MSG_DISK_HOSTS && strcmp(peer, g->ip) == 0) {
        mg_group_on_disk_hosts(g, &m->u.disk_hosts);
        return;
    }
    if (g->disk.raft == NULL) {
        return;
    }
    switch (m->type) {
    case MG_MSG_VOTE_REQ:
    case MG_MSG_VOTE_REP:
    case MG_MSG_APPEND:
    case MG_MSG_APPEND_REP:
    case MG_MSG_SNAPSHOT:
        mg_raft_receive(g->disk.raft, mg_group_slot_of_peer(g, peer), m);
        break;
    case MG_MSG_PULL:
        on_pull(g, peer, &m->u.pull);
        break;
    case MG_MSG_PROPOSE:
        on_propose(g, peer, &m->u.propose);
        break;
    case MG_MSG_CONFIRM:
        on_confirm(g, peer, m->u.confirm.seq);
        break;
    default:
        mg_log(MG_EV_BAD_INPUT, "peer=%s what=%s", peer, mg_msg_name(m->type));
        mg_count(MG_C_BAD_INPUT, 1);
    }
}

static void
on_up(void *user, const char *peer)
{
    mg_group *g = user;
    mg_group_on_candidate_up(g, peer);
    if (g->voters.rev > 0) {
        mg_group_send_voters(g, peer);
    }
}

/* ----------------------------------------------------------- the thread */

static void
close_log(mg_group *g)
{
    drop_leader_requests(g);
    drop_waiting(&g->pulls);
    mg_raft_disk_close(&g->disk);
    if (g->state != NULL) {
        mg_state_free(g->state);
    }
    g->state = NULL;
    g->slot = 0;
    g->learner.slot = 0;
    g->pending_change_index = 0;
    g->local_slot_changed = false;
}

/* Reads the saved voters; returns whether there are some. */
static bool
read_saved_voters(mg_group *g, mg_voters *v)
{
    mg_buf note = {0};
    mg_str ips;
    uint64_t rev = 0;
    uint64_t slots[MG_STORE_SLOTS];
    bool found = mg_store_load_voters(g->disk.store, &note, slots) == MG_OK;
    if (found) {
        mg_str rev_text = mg_str_split(mg_str_buf(&note), ':', &ips);
        for (size_t i = 0; i < rev_text.n; i++) {
            rev = rev * 10 + (uint64_t)(rev_text.p[i] - '0');
        }
        found = mg_voters_parse(v, rev, ips) == MG_OK;
    }
    if (found) {
        mg_voters_set_learner(v, slots[0]);
        mg_voters_set_swap(v, slots[1], slots[2]);
    }
    mg_buf_free(&note);
    return found;
}

/* Loads the saved voters, unless they are seeds that a host without a vote has
   saved. A vote of another slot is given up. */
static mg_rc
load_voters(mg_group *g, mg_raft_meta *meta)
{
    mg_voters saved;
    if (!read_saved_voters(g, &saved)) {
        return MG_OK;
    }
    /* the slot in which this host is to learn may be told anew */
    bool is_known = saved.rev == g->voters.rev && g->voters.learner_slot != 0;
    if (saved.rev >= g->voters.rev && !is_known &&
        mg_voters_are_agreed(&saved, meta->voter)) {
        mg_group_set_voters(g, &saved);
    }
    if (meta->voter && !mg_voters_keep_vote(&saved, &g->voters, g->ip)) {
        meta->voter = 0;
        return mg_store_save_meta(g->disk.store, meta);
    }
    return MG_OK;
}

static void
start_raft(mg_group *g, const mg_store_image *image)
{
    unsigned slot = mg_voters_member_slot(&g->voters, g->ip);
    unsigned members = g->voters.count > slot ? g->voters.count : slot;
    g->slot = slot;
    g->disk.raft = mg_raft_new(&(mg_raft_options){
        .id = slot,
        .members = members,
        .callbacks = &g->disk.callbacks,
        .clock = g->clock,
        .seed = mg_random_id(),
        .meta = image->meta,
        .learner = mg_voters_slot_of(&g->voters, g->ip) == 0,
        .snapshot_index = image->snapshot_index,
        .snapshot_term = image->snapshot_term,
        .snapshot = mg_str_buf(&image->snapshot),
        .entries = image->entries,
        .entry_count = image->entry_count,
        .commit_index = image->commit_index,
    });
    for (unsigned i = 0; i < g->voters.count; i++) {
        bool assigned = g->voters.ip[i][0] != '\0';
        if (i + 1 != slot && (!assigned || i >= members)) {
            mg_raft_set_voter_slot(g->disk.raft, i + 1, assigned);
        }
    }
    mg_raft_set_swap(g->disk.raft, g->voters.outgoing, g->voters.incoming);
    if (mg_raft_is_learner(g->disk.raft, slot) &&
        mg_voters_slot_of(&g->voters, g->ip) == slot) {
        /* it was told by the log that was just read */
        mg_raft_promote_learner(g->disk.raft, slot);
    }
    mg_group_save_voters(g);
}

static mg_rc
open_log(mg_group *g, mg_error *err)
{
    mg_store_image image;
    mg_rc rc =
        mg_store_open(&g->disk.store, g->data_dir, g->new_group, &image, err);
    if (rc != MG_OK) {
        g->disk.store = NULL;
        return rc;
    }
    if (image.torn_tail) {
        mg_log(MG_EV_STORE_TORN, "dir=%s entries=%zu", g->data_dir,
               image.entry_count);
    }
    bool founds = image.fresh && g->new_group && g->voters.rev == 0;
    if (image.fresh && !founds) {
        /* a host with an empty data directory votes only in a new group */
        image.meta.voter = 0;
    }
    rc = load_voters(g, &image.meta);
    if (!image.meta.voter) {
        mg_log(MG_EV_RAFT_REJOIN, "uid=%016" PRIx64, image.meta.uid);
    }
    bool agreed = mg_voters_are_agreed(&g->voters, image.meta.voter);
    if (rc != MG_OK) {
        mg_store_close(g->disk.store);
        g->disk.store = NULL;
    }
    else if (agreed && mg_voters_member_slot(&g->voters, g->ip) != 0) {
        g->state = mg_state_new(CLAIMS_MAX);
        start_raft(g, &image);
    }
    else {
        image.meta.voter = 0;
        rc = mg_store_save_meta(g->disk.store, &image.meta);
        mg_store_close(g->disk.store);
        g->disk.store = NULL;
    }
    mg_store_image_free(&image);
    return rc;
}

static void
reopen_log(mg_group *g)
{
    mg_error err;
    if (mg_now(g->clock) < g->reopen_at_ms) {
        return;
    }
    g->storage_failed = false;
    if (open_log(g, &err) != MG_OK) {
        mg_log(MG_EV_STORE_FAILED, "dir=%s why=%s", g->data_dir, err.text);
        g->reopen_at_ms = mg_now(g->clock) + MG_GROUP_REOPEN_MS;
    }
    else if (g->disk.raft == NULL) {
        /* no voter slot: reopen when one is assigned to this host */
        g->reopen_at_ms = INT64_MAX;
    }
}

static void
close_if_needed(mg_group *g)
{
    if (g->local_slot_changed) {
        g->reopen_at_ms = 0;
        close_log(g);
    }
    else if (g->storage_failed) {
        close_log(g);
    }
}

static void
before_flush(void *user)
{
    mg_group *g = user;
    if (g->disk.raft == NULL) {
        return;
    }
    mg_raft_flush(g->disk.raft);
    close_if_needed(g);
    if (g->disk.raft == NULL) {
        return;
    }
    g->confirm_round = 0;
    if (!list_empty(&g->confirms)) {
        reply_confirms(g);
    }
    if (!list_empty(&g->pulls)) {
        reply_pulls(g);
    }
}

static void
compact_if_long(mg_group *g)
{
    if (mg_raft_log_length(g->disk.raft) < SNAPSHOT_THRESHOLD &&
        mg_raft_log_bytes(g->disk.raft) < SNAPSHOT_THRESHOLD_BYTES) {
        return;
    }
    mg_buf data = {0};
    mg_state_save(g->state, &data);
    mg_raft_compact(g->disk.raft, mg_str_buf(&data));
    mg_buf_free(&data);
}

/* A learner applies, too: a new leader doesn't know it. */
static bool
is_applying(const mg_group *g)
{
    return g->disk.raft == NULL || g->voters.learner_slot != 0;
}

static void
on_tick(uv_timer_t *t)
{
    mg_group *g = t->data;
    int64_t now = mg_now(g->clock);
    close_if_needed(g);
    if (g->disk.raft == NULL) {
        reopen_log(g);
    }
    if (is_applying(g) && now >= g->next_candidacy_ms) {
        mg_group_send_candidacy(g, now);
    }
    if (g->disk.raft == NULL) {
        return;
    }
    mg_raft_tick(g->disk.raft);
    compact_if_long(g);
    if (now >= g->next_voters_check_ms) {
        mg_group_check_voters(g, now);
    }
    close_if_needed(g);
}

static void
on_stop(uv_async_t *a)
{
    mg_group *g = a->data;
    mg_net_close(g->net);
    uv_close((uv_handle_t *)&g->timer, NULL);
    uv_close((uv_handle_t *)&g->stop, NULL);
}

static void *
run_thread(void *arg)
{
    mg_group *g = arg;
    uv_run(&g->loop, UV_RUN_DEFAULT);
    close_log(g);
    mg_buf_free(&g->disk_hosts);
    mg_buf_free(&g->hosts_without_disk);
    uv_loop_close(&g->loop);
    return NULL;
}

static mg_rc
open_links(mg_group *g, mg_error *err)
{
    mg_rc rc = mg_net_open(&g->net,
                           &(mg_net_options){
                               .loop = &g->loop,
                               .clock = g->clock,
                               .node = g->peer_name,
                               .key = g->key,
                               .listen_addr = g->link_addr,
                               .incarnation = mg_random_id(),
                               .unsent_max = g->unsent_max,
                               .on_message = on_message,
                               .on_up = on_up,
                               .before_flush = before_flush,
                               .user = g,
                           },
                           err);
    if (rc != MG_OK) {
        return rc;
    }
    for (unsigned i = 0; i < g->initial_voters.count; i++) {
        mg_group_dial_voter(g, g->initial_voters.ip[i]);
    }
    return MG_OK;
}

mg_rc
mg_group_start(mg_group **out, const mg_group_options *opts, mg_error *err)
{
    mg_group *g = mg_alloc(sizeof(*g));
    mg_rc rc;
    mg_raft_disk_init(&g->disk, &g->loop);
    g->disk.callbacks.send = send_message;
    g->disk.callbacks.apply = apply_entry;
    g->disk.callbacks.restore = restore_snapshot;
    g->disk.callbacks.role_changed = on_role_changed;
    g->disk.callbacks.failed = on_storage_failed;
    g->clock = mg_system_clock();
    g->started_ms = mg_now(g->clock);
    mg_group_peer_name(g->peer_name, opts->ip);
    mg_str_copy(g->ip, sizeof(g->ip), mg_str_of(opts->ip));
    mg_str_copy(g->key, sizeof(g->key), mg_str_of(opts->key));
    mg_str_copy(g->link_addr, sizeof(g->link_addr),
                mg_str_of(opts->link_addr));
    mg_str_copy(g->data_dir, sizeof(g->data_dir), mg_str_of(opts->data_dir));
    g->link_port = opts->link_port;
    g->unsent_max = opts->unsent_max;
    g->new_group = opts->new_group;
    g->initial_voters = opts->initial_voters;
    g->initial_voters.rev = 0;
    g->voters = g->initial_voters;
    g->wanted_voters = opts->wanted_voters;
    init_list_head(&g->pulls);
    init_list_head(&g->confirms);
    uv_loop_init(&g->loop);
    uv_async_init(&g->loop, &g->stop, on_stop);
    g->stop.data = g;
    uv_timer_init(&g->loop, &g->timer);
    g->timer.data = g;
    rc = open_links(g, err);
    if (rc != MG_OK) {
        return rc;
    }
    uv_timer_start(&g->timer, on_tick, 0, TICK_MS);
    if (pthread_create(&g->thread, NULL, run_thread, g) != 0) {
        return mg_fail(err, MG_E_IO, "cannot create the log thread");
    }
    *out = g;
    return MG_OK;
}

void
mg_group_stop(mg_group *g)
{
    uv_async_send(&g->stop);
    pthread_join(g->thread, NULL);
    free(g);
}
