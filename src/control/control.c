#include "control/control_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"

#define TIMER_MS 20
#define LEADER_TICK_MS 100
#define OPERATOR_BODY_MAX (17u << 20)

/* ------------------------------------------------------- raft callbacks */

static mg_control *
control_of(mg_raft_callbacks *cb)
{
    return (mg_control *)cb;
}

static void
raft_send(mg_raft_callbacks *cb, unsigned to, const mg_msg *m)
{
    mg_control *c = control_of(cb);
    mg_net_send(c->net, c->settings.control[to - 1].node, m);
}

static void
finish_pending_command(mg_control *c, struct pending_command *p,
                       const mg_apply_reply *reply)
{
    HASH_DEL(c->pending_commands, p);
    p->done(p->user, reply);
    free(p);
}

static void
raft_apply(mg_raft_callbacks *cb, const mg_raft_entry *e)
{
    mg_control *c = control_of(cb);
    mg_apply_reply reply;
    mg_state_apply(c->state, e->data, &reply);
    struct pending_command *p;
    HASH_FIND(hh, c->pending_commands, &e->index, sizeof(e->index), p);
    if (p == NULL) {
        return;
    }
    if (p->term != e->term) {
        reply = (mg_apply_reply){.rc = MG_E_NO_LEADER};
    }
    finish_pending_command(c, p, &reply);
}

static void
raft_restore(mg_raft_callbacks *cb, mg_str data)
{
    mg_control *c = control_of(cb);
    mg_rc rc = mg_state_load(c->state, data);
    MG_INVARIANT(rc == MG_OK);
}

static void
fail_pending_commands(mg_control *c)
{
    struct pending_command *p;
    struct pending_command *p1;
    mg_apply_reply reply = {.rc = MG_E_NO_LEADER};
    HASH_ITER(hh, c->pending_commands, p, p1)
    {
        finish_pending_command(c, p, &reply);
    }
}

static void
raft_role_changed(mg_raft_callbacks *cb, mg_raft_role role, uint64_t term)
{
    static const char *const names[] = {"follower", "pre_candidate",
                                        "candidate", "leader"};
    mg_control *c = control_of(cb);
    mg_log(MG_EV_RAFT_ROLE, "role=%s term=%" PRIu64, names[role], term);
    mg_entries_role_changed(c);
    if (role == MG_RAFT_LEADER) {
        mg_count(MG_C_RAFT_ELECTIONS, 1);
    }
    else {
        fail_pending_commands(c);
    }
}

static void
raft_failed(mg_raft_callbacks *cb, mg_rc rc)
{
    mg_control *c = control_of(cb);
    mg_log(MG_EV_STORE_FAILED, "dir=%s rc=%s", c->settings.data_dir,
           mg_rc_name(rc));
    c->failed = true;
    uv_stop(c->loop);
}

/* ------------------------------------------------------------ proposals */

mg_rc
mg_control_propose(mg_control *c, const mg_msg *command, mg_apply_cb done,
                   void *user)
{
    mg_buf data = {0};
    uint64_t index;
    uint64_t term;
    mg_msg_encode(command, &data);
    mg_rc rc = mg_raft_propose(c->disk.raft, mg_str_buf(&data), &index, &term);
    mg_buf_free(&data);
    if (rc != MG_OK) {
        return rc;
    }
    struct pending_command *p = mg_alloc(sizeof(*p));
    p->index = index;
    p->term = term;
    p->done = done;
    p->user = user;
    HASH_ADD(hh, c->pending_commands, index, sizeof(p->index), p);
    return MG_OK;
}

const mg_settings *
mg_control_settings(const mg_control *c)
{
    return &c->settings;
}

const mg_state *
mg_control_state(const mg_control *c)
{
    return c->state;
}

const mg_raft *
mg_control_raft(const mg_control *c)
{
    return c->disk.raft;
}

const char *
mg_control_leader(const mg_control *c)
{
    unsigned leader = mg_raft_leader(c->disk.raft);
    return leader ? c->settings.control[leader - 1].node : "";
}

uint64_t
mg_control_in_force_rev(const mg_control *c)
{
    return c->in_force_rev;
}

mg_rc
mg_control_forward(mg_control *c, const mg_msg *request)
{
    const char *leader = mg_control_leader(c);
    if (leader[0] == '\0' || strcmp(leader, c->settings.node) == 0) {
        return MG_E_NO_LEADER;
    }
    return mg_net_send(c->net, leader, request) == MG_OK ? MG_OK
                                                         : MG_E_NO_LEADER;
}

void
mg_control_reply_not_leader(mg_control *c, const char *peer, uint64_t seq)
{
    mg_msg m = {.type = MG_MSG_NOT_LEADER};
    m.u.not_leader.seq = seq;
    m.u.not_leader.leader = mg_str_of(mg_control_leader(c));
    mg_net_send(c->net, peer, &m);
}

/* ------------------------------------------------ commands from entries */

/* an entry's command that is not committed yet */
struct entry_command {
    mg_control *c;
    char peer[MG_NAME_SIZE];
    uint64_t seq;
    bool is_claim;
};

static void
reply_claim(mg_control *c, const char *peer, uint64_t seq,
            const mg_claim_reply *r)
{
    mg_msg m = {.type = MG_MSG_CLAIM_REP};
    m.u.claim_rep.seq = seq;
    m.u.claim_rep.result = r->result;
    m.u.claim_rep.holder = r->holder;
    m.u.claim_rep.incarnation = r->incarnation;
    m.u.claim_rep.nonce = r->nonce;
    m.u.claim_rep.gen = r->gen;
    m.u.claim_rep.status = r->status;
    m.u.claim_rep.answer = r->response;
    mg_net_send(c->net, peer, &m);
}

static void
command_applied(void *user, const mg_apply_reply *reply)
{
    struct entry_command *cmd = user;
    mg_msg m;
    if (reply->rc == MG_E_NO_LEADER) {
        mg_control_reply_not_leader(cmd->c, cmd->peer, cmd->seq);
    }
    else if (cmd->is_claim) {
        reply_claim(cmd->c, cmd->peer, cmd->seq, &reply->claim);
    }
    else {
        m.type = MG_MSG_PROPOSE_REP;
        m.u.propose_rep.seq = cmd->seq;
        m.u.propose_rep.rc = reply->rc;
        m.u.propose_rep.rev = reply->rev;
        mg_net_send(cmd->c->net, cmd->peer, &m);
    }
    free(cmd);
}

/*
 * Entries may claim, finalize, credit and put two kinds of records. CLAIM
 * messages carry claims and refusals, PROPOSE messages the other commands.
 */
static bool
allowed_from_entry(const mg_msg *m, bool is_claim)
{
    switch (m->type) {
    case MG_MSG_CMD_CLAIM:
    case MG_MSG_CMD_REFUSE:
        return is_claim;
    case MG_MSG_CMD_FINAL:
    case MG_MSG_CMD_CREDITS:
        return !is_claim;
    case MG_MSG_CMD_PUT:
        return !is_claim && m->u.cmd_put.guard_pool.n > 0 &&
               (m->u.cmd_put.kind == MG_RECORD_POOL_ROLLOUT ||
                m->u.cmd_put.kind == MG_RECORD_QUARANTINE);
    default:
        return false;
    }
}

static void
on_command(mg_control *c, const char *peer, uint64_t seq, mg_str command,
           bool is_claim)
{
    mg_msg m;
    if (mg_msg_decode(command, &m) != MG_OK ||
        !allowed_from_entry(&m, is_claim)) {
        mg_log(MG_EV_BAD_INPUT, "peer=%s what=command", peer);
        mg_count(MG_C_BAD_INPUT, 1);
        return;
    }
    struct entry_command *cmd = mg_alloc(sizeof(*cmd));
    cmd->c = c;
    cmd->seq = seq;
    cmd->is_claim = is_claim;
    mg_str_copy(cmd->peer, sizeof(cmd->peer), mg_str_of(peer));
    if (!mg_raft_ready(c->disk.raft) ||
        mg_control_propose(c, &m, command_applied, cmd) != MG_OK) {
        mg_control_reply_not_leader(c, peer, seq);
        free(cmd);
    }
}

/* replies with the result that a claim would have now; this may be outdated,
   so only the claim that follows is decisive */
static void
on_peek(mg_control *c, const char *peer, const mg_peek_msg *q)
{
    mg_msg m;
    mg_claim_reply reply;
    if (mg_msg_decode(q->command, &m) != MG_OK || m.type != MG_MSG_CMD_CLAIM) {
        mg_count(MG_C_BAD_INPUT, 1);
    }
    else if (!mg_raft_ready(c->disk.raft)) {
        mg_control_reply_not_leader(c, peer, q->seq);
    }
    else {
        mg_state_peek(c->state, &m.u.cmd_claim, &reply);
        reply_claim(c, peer, q->seq, &reply);
    }
}

/* -------------------------------------------------------------- process */

/* an operator's request forwarded by another member */
struct forwarded_request {
    mg_control *c;
    char peer[MG_NAME_SIZE];
    uint64_t seq;
};

static void
forwarded_request_done(void *user, int status, mg_str body)
{
    struct forwarded_request *f = user;
    mg_msg m = {.type = MG_MSG_OPERATOR_REP};
    m.u.operator_rep.seq = f->seq;
    m.u.operator_rep.status = (uint64_t)status;
    m.u.operator_rep.body = body;
    mg_net_send(f->c->net, f->peer, &m);
    free(f);
}

static void
on_forwarded_request(mg_control *c, const char *peer,
                     const mg_operator_req_msg *q)
{
    struct forwarded_request *f = mg_alloc(sizeof(*f));
    f->c = c;
    f->seq = q->seq;
    mg_str_copy(f->peer, sizeof(f->peer), mg_str_of(peer));
    mg_operator_handle(c->operator_api, q->method, q->path, q->key, q->body,
                       forwarded_request_done, f);
}

static void
on_message(void *user, const char *peer, const mg_msg *m)
{
    mg_control *c = user;
    unsigned id = mg_settings_control_id(&c->settings, peer);
    switch (m->type) {
    case MG_MSG_VOTE_REQ:
    case MG_MSG_VOTE_REP:
    case MG_MSG_APPEND:
    case MG_MSG_APPEND_REP:
    case MG_MSG_SNAPSHOT:
        mg_raft_receive(c->disk.raft, id, m);
        break;
    case MG_MSG_RENEW:
        mg_entries_on_renew(c, peer, &m->u.renew);
        break;
    case MG_MSG_CLAIM:
        on_command(c, peer, m->u.claim.seq, m->u.claim.command, true);
        break;
    case MG_MSG_PEEK:
        on_peek(c, peer, &m->u.peek);
        break;
    case MG_MSG_PROPOSE:
        on_command(c, peer, m->u.propose.seq, m->u.propose.command, false);
        break;
    case MG_MSG_OPERATOR:
        on_forwarded_request(c, peer, &m->u.operator_req);
        break;
    case MG_MSG_OPERATOR_REP:
        mg_operator_on_forward_reply(c->operator_api, &m->u.operator_rep);
        break;
    default:
        mg_log(MG_EV_BAD_INPUT, "peer=%s what=%s", peer, mg_msg_name(m->type));
        mg_count(MG_C_BAD_INPUT, 1);
    }
}

static void
before_flush(void *user)
{
    mg_control *c = user;
    mg_raft_flush(c->disk.raft);
    c->renewal_round = 0;
    if (!list_empty(&c->renewals)) {
        mg_entries_reply_confirmed(c);
    }
}

static void
check_document_changed(mg_control *c)
{
    uint64_t rev = mg_state_document_rev(c->state);
    if (rev != c->seen_document_rev) {
        c->seen_document_rev = rev;
        c->document_changed_ms = mg_now(c->clock);
    }
}

static void
compact_log_if_long(mg_control *c)
{
    if (mg_raft_log_length(c->disk.raft) <
        (size_t)c->settings.snapshot_entries) {
        return;
    }
    mg_buf data = {0};
    mg_state_save(c->state, &data);
    mg_raft_compact(c->disk.raft, mg_str_buf(&data));
    mg_buf_free(&data);
}

static void
on_tick(uv_timer_t *t)
{
    mg_control *c = t->data;
    mg_raft_tick(c->disk.raft);
    check_document_changed(c);
    if (mg_raft_ready(c->disk.raft) &&
        mg_now(c->clock) >= c->next_leader_tick_ms) {
        c->next_leader_tick_ms = mg_now(c->clock) + LEADER_TICK_MS;
        mg_entries_leader_tick(c);
    }
    compact_log_if_long(c);
    mg_operator_tick(c->operator_api);
}

static mg_rc
open_raft(mg_control *c, mg_error *err)
{
    mg_store_image image;
    mg_rc rc = mg_store_open(&c->disk.store, c->settings.data_dir, false,
                             &image, err);
    if (rc != MG_OK) {
        return rc;
    }
    if (image.torn_tail) {
        mg_log(MG_EV_STORE_TORN, "dir=%s entries=%zu", c->settings.data_dir,
               image.entry_count);
    }
    if (!image.meta.voter) {
        mg_log(MG_EV_RAFT_REJOIN, "uid=%016" PRIx64, image.meta.uid);
    }
    mg_raft_disk_init(&c->disk, c->loop);
    c->disk.callbacks.send = raft_send;
    c->disk.callbacks.apply = raft_apply;
    c->disk.callbacks.restore = raft_restore;
    c->disk.callbacks.role_changed = raft_role_changed;
    c->disk.callbacks.failed = raft_failed;
    c->disk.raft = mg_raft_new(&(mg_raft_options){
        .id = c->id,
        .members = (unsigned)c->settings.control_count,
        .callbacks = &c->disk.callbacks,
        .clock = c->clock,
        .seed = c->incarnation,
        .meta = image.meta,
        .snapshot_index = image.snapshot_index,
        .snapshot_term = image.snapshot_term,
        .snapshot = mg_str_buf(&image.snapshot),
        .entries = image.entries,
        .entry_count = image.entry_count,
        .commit_index = image.commit_index,
    });
    mg_store_image_free(&image);
    return MG_OK;
}

static mg_rc
open_ports(mg_control *c, mg_error *err)
{
    mg_rc rc = mg_net_open(&c->net,
                           &(mg_net_options){
                               .loop = c->loop,
                               .clock = c->clock,
                               .node = c->settings.node,
                               .key = c->settings.link_key,
                               .listen_addr = c->settings.link_addr,
                               .incarnation = c->incarnation,
                               .on_message = on_message,
                               .before_flush = before_flush,
                               .user = c,
                           },
                           err);
    if (rc != MG_OK) {
        return rc;
    }
    for (size_t i = 0; i < c->settings.control_count; i++) {
        const mg_control_addr *a = &c->settings.control[i];
        if (i + 1 != c->id) {
            mg_net_dial(c->net, a->node, a->link_addr);
        }
    }
    return mg_http_open(&c->http,
                        &(mg_http_options){
                            .loop = c->loop,
                            .listen_addr = c->settings.http_addr,
                            .limits = {.body_max = OPERATOR_BODY_MAX},
                            .on_request = mg_operator_on_request,
                            .user = c->operator_api,
                        },
                        err);
}

mg_rc
mg_control_open(mg_control **out, uv_loop_t *loop, const mg_settings *settings,
                mg_error *err)
{
    unsigned id = mg_settings_control_id(settings, settings->node);
    if (id == 0) {
        return mg_fail(err, MG_E_INPUT, "node %s is not listed in [[control]]",
                       settings->node);
    }
    if (settings->data_dir[0] == '\0') {
        return mg_fail(err, MG_E_INPUT, "data_dir: missing key");
    }
    mg_control *c = mg_alloc(sizeof(*c));
    c->loop = loop;
    c->clock = mg_system_clock();
    c->settings = *settings;
    c->id = id;
    c->incarnation = mg_random_id();
    c->state = mg_state_new((size_t)settings->claims_max);
    c->leases = mg_lease_table_new(c->clock);
    c->operator_api = mg_operator_new(c);
    init_list_head(&c->renewals);
    mg_rc rc = open_raft(c, err);
    if (rc != MG_OK) {
        return rc;
    }
    rc = open_ports(c, err);
    if (rc != MG_OK) {
        return rc;
    }
    uv_timer_init(loop, &c->timer);
    c->timer.data = c;
    uv_timer_start(&c->timer, on_tick, TIMER_MS, TIMER_MS);
    *out = c;
    return MG_OK;
}

mg_rc
mg_control_init_data_dir(const char *dir, mg_error *err)
{
    mg_store *store;
    mg_store_image image;
    mg_rc rc = mg_store_open(&store, dir, true, &image, err);
    if (rc != MG_OK) {
        return rc;
    }
    if (!image.fresh) {
        rc = mg_fail(err, MG_E_VERSION_CONFLICT,
                     "%s: already holds the data of a member", dir);
    }
    mg_store_image_free(&image);
    mg_store_close(store);
    return rc;
}

void
mg_control_stop(mg_control *c)
{
    uv_stop(c->loop);
}

bool
mg_control_storage_failed(const mg_control *c)
{
    return c->failed;
}
