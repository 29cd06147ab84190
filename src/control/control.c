#include "control/control.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/counter.h"
#include "base/event.h"
#include "base/list.h"
#include "control/assign.h"
#include "control/operator.h"
#include "control/store.h"

#define TICK_MS 20
#define CHANGES_MAX_BYTES (1u << 20)
/* an entry that is behind for longer holds no lease */
#define APPLY_WITHIN_MS 2000
#define ASSIGN_RETRY_MS 500
#define POOLS_MAX 1024
#define MEMBERS_MAX 512
#define WATCH_MS 100
#define QUORUM_SETTLED_MS (MG_FRESH_MS + 500)
#define OPERATOR_BODY_MAX (17u << 20)

/* a proposed command that waits to be applied */
struct waiting {
    UT_hash_handle hh;
    uint64_t index;
    uint64_t term;
    mg_apply_done done;
    void *user;
};

/* a renewal that waits for its round */
struct renewal {
    struct list_head link;
    char node[MG_NAME_SIZE];
    uint64_t seq;
    uint64_t incarnation;
    uint64_t rev;
    bool probe; /* asks for changes only, holds no lease */
    uint64_t round;
};

/* what the leader knows of an entry beside its record */
struct entry_view {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE];
    uint64_t incarnation;
    uint64_t rev;
    bool record_pending;
};

struct pool_view {
    UT_hash_handle hh;
    char pool[MG_NAME_SIZE];
    int64_t retry_ms;
};

struct mg_control {
    mg_raft_host host; /* first: raft gives it back */
    uv_loop_t *loop;
    uv_timer_t timer;
    mg_clock *clock;
    mg_settings settings;
    unsigned id;
    uint64_t incarnation;
    mg_raft *raft;
    mg_store *store;
    mg_state *state;
    mg_net *net;
    mg_http_server *http;
    mg_operator *operator_;
    mg_leases *leases;
    struct waiting *waiting;
    struct list_head renewals;
    struct entry_view *entries;
    struct pool_view *pools;
    uint64_t open_round; /* round of this turn's renewals, 0 for none */
    uint64_t seen_document_rev;
    int64_t document_at;
    uint64_t in_force;
    int64_t watch_at;
    int64_t quorum_since; /* most entries hold leases; 0: they don't */
    bool failed;
};

/* ---------------------------------------------------------- raft's host */

static mg_control *
control_of(mg_raft_host *h)
{
    return (mg_control *)h;
}

static void
host_send(mg_raft_host *h, unsigned to, const mg_msg *m)
{
    mg_control *c = control_of(h);
    mg_net_send(c->net, c->settings.control[to - 1].node, m);
}

static mg_rc
host_save_meta(mg_raft_host *h, const mg_raft_meta *meta)
{
    return mg_store_save_meta(control_of(h)->store, meta);
}

static mg_rc
host_append(mg_raft_host *h, const mg_raft_entry *e)
{
    mg_count(MG_C_RAFT_ENTRIES, 1);
    return mg_store_append(control_of(h)->store, e);
}

static mg_rc
host_truncate(mg_raft_host *h, uint64_t index)
{
    return mg_store_truncate(control_of(h)->store, index);
}

static mg_rc
host_sync(mg_raft_host *h)
{
    uint64_t start = uv_hrtime();
    mg_rc rc = mg_store_sync(control_of(h)->store);
    mg_observe(MG_H_SYNC_TIME, (int64_t)((uv_hrtime() - start) / 1000));
    mg_count(MG_C_RAFT_SYNCS, 1);
    return rc;
}

static mg_rc
host_save_snapshot(mg_raft_host *h, uint64_t index, uint64_t term, mg_str data)
{
    mg_log(MG_EV_RAFT_SNAPSHOT, "index=%" PRIu64 " term=%" PRIu64 " bytes=%zu",
           index, term, data.n);
    return mg_store_save_snapshot(control_of(h)->store, index, term, data);
}

static void
finish_waiting(mg_control *c, struct waiting *w, const mg_apply_reply *reply)
{
    HASH_DEL(c->waiting, w);
    w->done(w->user, reply);
    free(w);
}

static void
host_apply(mg_raft_host *h, const mg_raft_entry *e)
{
    mg_control *c = control_of(h);
    mg_apply_reply reply;
    mg_state_apply(c->state, e->data, &reply);
    struct waiting *w;
    HASH_FIND(hh, c->waiting, &e->index, sizeof(e->index), w);
    if (w == NULL) {
        return;
    }
    if (w->term != e->term) {
        reply = (mg_apply_reply){.rc = MG_E_NO_LEADER};
    }
    finish_waiting(c, w, &reply);
}

static void
host_restore(mg_raft_host *h, mg_str data)
{
    mg_control *c = control_of(h);
    mg_rc rc = mg_state_load(c->state, data);
    MG_INVARIANT(rc == MG_OK);
}

static void
fail_all_waiting(mg_control *c)
{
    struct waiting *w;
    struct waiting *w1;
    mg_apply_reply reply = {.rc = MG_E_NO_LEADER};
    HASH_ITER(hh, c->waiting, w, w1)
    {
        finish_waiting(c, w, &reply);
    }
}

static void
drop_renewals(mg_control *c)
{
    list_for_each_safe(el, el1, &c->renewals)
    {
        struct renewal *r = list_entry(el, struct renewal, link);
        list_del(&r->link);
        free(r);
    }
    c->open_round = 0;
}

static void
host_role_changed(mg_raft_host *h, mg_raft_role role, uint64_t term)
{
    static const char *const names[] = {"follower", "pre_candidate",
                                        "candidate", "leader"};
    mg_control *c = control_of(h);
    mg_log(MG_EV_RAFT_ROLE, "role=%s term=%" PRIu64, names[role], term);
    drop_renewals(c);
    if (role == MG_RAFT_LEADER) {
        mg_count(MG_C_RAFT_ELECTIONS, 1);
        mg_leases_take_over(c->leases);
        c->document_at = mg_now(c->clock);
        c->quorum_since = 0;
        struct entry_view *v;
        for (v = c->entries; v != NULL; v = v->hh.next) {
            v->record_pending = false;
        }
    }
    else {
        fail_all_waiting(c);
    }
}

static void
host_failed(mg_raft_host *h, mg_rc rc)
{
    mg_control *c = control_of(h);
    mg_log(MG_EV_STORE_FAILED, "dir=%s rc=%s", c->settings.data_dir,
           mg_rc_name(rc));
    c->failed = true;
    uv_stop(c->loop);
}

/* ------------------------------------------------------------ proposals */

mg_rc
mg_control_propose(mg_control *c, const mg_msg *command, mg_apply_done done,
                   void *user)
{
    mg_buf data = {0};
    uint64_t index;
    uint64_t term;
    mg_msg_encode(command, &data);
    mg_rc rc = mg_raft_propose(c->raft, mg_str_buf(&data), &index, &term);
    mg_buf_free(&data);
    if (rc != MG_OK) {
        return rc;
    }
    struct waiting *w = mg_alloc(sizeof(*w));
    w->index = index;
    w->term = term;
    w->done = done;
    w->user = user;
    HASH_ADD(hh, c->waiting, index, sizeof(w->index), w);
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
    return c->raft;
}

const char *
mg_control_leader(const mg_control *c)
{
    unsigned leader = mg_raft_leader(c->raft);
    return leader ? c->settings.control[leader - 1].node : "";
}

uint64_t
mg_control_in_force(const mg_control *c)
{
    return c->in_force;
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

/* --------------------------------------------------------------- entries */

static struct entry_view *
entry_of(mg_control *c, const char *node)
{
    struct entry_view *v;
    HASH_FIND_STR(c->entries, node, v);
    if (v == NULL) {
        v = mg_alloc(sizeof(*v));
        mg_str_copy(v->node, sizeof(v->node), mg_str_of(node));
        HASH_ADD_STR(c->entries, node, v);
    }
    return v;
}

mg_lease_state
mg_control_member(const mg_control *c, const char *node, uint64_t incarnation,
                  uint64_t *rev)
{
    struct entry_view *v;
    HASH_FIND_STR(c->entries, node, v);
    *rev = v != NULL && v->incarnation == incarnation ? v->rev : 0;
    return mg_leases_state(c->leases, node, incarnation);
}

struct member_list {
    mg_control *c;
    size_t members;
    size_t live;
    bool behind; /* one that may hold a lease has not applied the document */
    uint64_t document_rev;
    mg_candidate candidates[MEMBERS_MAX];
    char names[MEMBERS_MAX][MG_NAME_SIZE];
    size_t candidate_count;
};

static void
add_member(void *user, mg_str key, mg_str value, uint64_t rev)
{
    struct member_list *l = user;
    mg_msg m;
    (void)rev;
    if (mg_msg_decode(value, &m) != MG_OK || m.type != MG_MSG_REC_MEMBER) {
        return;
    }
    const mg_rec_member_msg *r = &m.u.rec_member;
    char node[MG_NAME_SIZE];
    uint64_t applied;
    mg_str_copy(node, sizeof(node), key);
    mg_lease_state state =
        mg_control_member(l->c, node, r->incarnation, &applied);
    if (state == MG_LEASE_MAYBE ||
        (state == MG_LEASE_LIVE && applied < l->document_rev)) {
        l->behind = true;
    }
    if (r->draining >= MG_DRAIN_STOPPED) {
        return;
    }
    l->members++;
    l->live += state == MG_LEASE_LIVE;
    if (state == MG_LEASE_LIVE && r->draining == MG_DRAIN_NONE &&
        l->candidate_count < MEMBERS_MAX) {
        size_t i = l->candidate_count++;
        memcpy(l->names[i], node, sizeof(node));
        l->candidates[i] = (mg_candidate){l->names[i], r->incarnation};
    }
}

static void
list_members(mg_control *c, struct member_list *l)
{
    l->c = c;
    l->members = 0;
    l->live = 0;
    l->behind = false;
    l->candidate_count = 0;
    l->document_rev = mg_state_document_rev(c->state);
    mg_state_each(c->state, MG_KIND_MEMBER, add_member, l);
}

void
mg_control_count_members(mg_control *c, size_t *members, size_t *live)
{
    struct member_list *l = mg_alloc(sizeof(*l));
    list_members(c, l);
    *members = l->members;
    *live = l->live;
    free(l);
}

static void
member_recorded(void *user, const mg_apply_reply *reply)
{
    struct entry_view *v = user;
    (void)reply;
    v->record_pending = false;
}

static bool
same_member(const mg_rec_member_msg *a, const mg_rec_member_msg *b)
{
    return mg_str_eq(a->http_addr, b->http_addr) &&
           mg_str_eq(a->link_addr, b->link_addr) &&
           mg_str_eq(a->domain, b->domain) &&
           a->incarnation == b->incarnation && a->draining == b->draining;
}

/* keeps the MEMBER record as the entry describes itself */
static void
record_member(mg_control *c, const char *node, const mg_renew_msg *q)
{
    struct entry_view *v = entry_of(c, node);
    mg_msg rec = {.type = MG_MSG_REC_MEMBER};
    rec.u.rec_member.node = mg_str_of(node);
    rec.u.rec_member.http_addr = q->http_addr;
    rec.u.rec_member.link_addr = q->link_addr;
    rec.u.rec_member.domain = q->domain;
    rec.u.rec_member.incarnation = q->incarnation;
    rec.u.rec_member.draining = q->draining;
    mg_str value;
    uint64_t rev;
    mg_msg old;
    bool known =
        mg_state_get(c->state, MG_KIND_MEMBER, mg_str_of(node), &value, &rev);
    if (known && mg_msg_decode(value, &old) == MG_OK) {
        const mg_rec_member_msg *o = &old.u.rec_member;
        /* an operator's order to drain stands until the entry follows it */
        if (o->draining == MG_DRAIN_LEAVING &&
            o->incarnation == q->incarnation && q->draining == 0) {
            return;
        }
        if (same_member(o, &rec.u.rec_member)) {
            return;
        }
    }
    if (v->record_pending || !mg_raft_ready(c->raft)) {
        return;
    }
    mg_buf data = {0};
    mg_msg_encode(&rec, &data);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_KIND_MEMBER;
    put.u.cmd_put.key = mg_str_of(node);
    put.u.cmd_put.expect_rev = rev;
    put.u.cmd_put.value = mg_str_buf(&data);
    v->record_pending =
        mg_control_propose(c, &put, member_recorded, v) == MG_OK;
    mg_buf_free(&data);
}

static void
reply_not_leader(mg_control *c, const char *peer, uint64_t seq)
{
    mg_msg m = {.type = MG_MSG_NOT_LEADER};
    m.u.not_leader.seq = seq;
    m.u.not_leader.leader = mg_str_of(mg_control_leader(c));
    mg_net_send(c->net, peer, &m);
}

static void
on_renew(mg_control *c, const char *peer, const mg_renew_msg *q)
{
    if (!mg_raft_ready(c->raft)) {
        reply_not_leader(c, peer, q->seq);
        return;
    }
    record_member(c, peer, q);
    struct entry_view *v = entry_of(c, peer);
    v->incarnation = q->incarnation;
    v->rev = q->rev;
    if (c->open_round == 0) {
        c->open_round = mg_raft_start_round(c->raft);
    }
    struct renewal *r = mg_alloc(sizeof(*r));
    mg_str_copy(r->node, sizeof(r->node), mg_str_of(peer));
    r->seq = q->seq;
    r->incarnation = q->incarnation;
    r->rev = q->rev;
    r->probe = q->probe;
    r->round = c->open_round;
    list_add_tail(&r->link, &c->renewals);
}

static bool
may_hold_lease(mg_control *c, const struct renewal *r)
{
    return !r->probe && (r->rev >= mg_state_document_rev(c->state) ||
                         mg_now(c->clock) - c->document_at < APPLY_WITHIN_MS);
}

static void
answer_renewal(mg_control *c, const struct renewal *r)
{
    mg_buf records = {0};
    mg_msg m = {.type = MG_MSG_RENEW_REP};
    bool granted = may_hold_lease(c, r);
    if (granted) {
        mg_leases_grant(c->leases, r->node, r->incarnation);
    }
    m.u.renew_rep.seq = r->seq;
    m.u.renew_rep.granted = granted;
    m.u.renew_rep.lease_ms = MG_LEASE_MS;
    m.u.renew_rep.rev =
        mg_state_changes(c->state, r->rev, CHANGES_MAX_BYTES, &records);
    m.u.renew_rep.partial = m.u.renew_rep.rev < mg_state_rev(c->state);
    m.u.renew_rep.records = mg_str_buf(&records);
    mg_net_send(c->net, r->node, &m);
    mg_buf_free(&records);
}

static void
answer_confirmed_renewals(mg_control *c)
{
    uint64_t confirmed = mg_raft_confirmed_round(c->raft);
    list_for_each_safe(el, el1, &c->renewals)
    {
        struct renewal *r = list_entry(el, struct renewal, link);
        if (r->round > confirmed) {
            break;
        }
        answer_renewal(c, r);
        list_del(&r->link);
        free(r);
    }
}

/* ------------------------------------------------- claims and proposals */

/* an entry's command on its way through the log */
struct remote_command {
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
    m.u.claim_rep.answer = r->answer;
    mg_net_send(c->net, peer, &m);
}

static void
command_applied(void *user, const mg_apply_reply *reply)
{
    struct remote_command *rc = user;
    mg_msg m;
    if (reply->rc == MG_E_NO_LEADER) {
        reply_not_leader(rc->c, rc->peer, rc->seq);
    }
    else if (rc->is_claim) {
        reply_claim(rc->c, rc->peer, rc->seq, &reply->claim);
    }
    else {
        m.type = MG_MSG_PROPOSE_REP;
        m.u.propose_rep.seq = rc->seq;
        m.u.propose_rep.rc = reply->rc;
        m.u.propose_rep.rev = reply->rev;
        mg_net_send(rc->c->net, rc->peer, &m);
    }
    free(rc);
}

/* entries may claim, finalise, credit and put their own kinds of records */
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
               (m->u.cmd_put.kind == MG_KIND_MOVE ||
                m->u.cmd_put.kind == MG_KIND_QUARANTINE);
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
    struct remote_command *rc = mg_alloc(sizeof(*rc));
    rc->c = c;
    rc->seq = seq;
    rc->is_claim = is_claim;
    mg_str_copy(rc->peer, sizeof(rc->peer), mg_str_of(peer));
    if (!mg_raft_ready(c->raft) ||
        mg_control_propose(c, &m, command_applied, rc) != MG_OK) {
        reply_not_leader(c, peer, seq);
        free(rc);
    }
}

/* an answer that may be old: a later claim decides */
static void
on_peek(mg_control *c, const char *peer, const mg_peek_msg *q)
{
    mg_msg m;
    mg_claim_reply reply;
    if (mg_msg_decode(q->command, &m) != MG_OK || m.type != MG_MSG_CMD_CLAIM) {
        mg_count(MG_C_BAD_INPUT, 1);
    }
    else if (!mg_raft_ready(c->raft)) {
        reply_not_leader(c, peer, q->seq);
    }
    else {
        mg_state_peek(c->state, &m.u.cmd_claim, &reply);
        reply_claim(c, peer, q->seq, &reply);
    }
}

/* ------------------------------------------------------- pool placement */

static bool
needs_holder(mg_control *c, const mg_rec_pool_msg *r)
{
    char node[MG_NAME_SIZE];
    mg_str value;
    uint64_t rev;
    mg_msg m;
    mg_str_copy(node, sizeof(node), r->holder);
    if (mg_leases_state(c->leases, node, r->incarnation) == MG_LEASE_GONE) {
        return true;
    }
    return mg_state_get(c->state, MG_KIND_MEMBER, r->holder, &value, &rev) &&
           mg_msg_decode(value, &m) == MG_OK &&
           m.u.rec_member.incarnation == r->incarnation &&
           m.u.rec_member.draining == MG_DRAIN_STOPPED;
}

static struct pool_view *
pool_of(mg_control *c, const char *pool)
{
    struct pool_view *v;
    HASH_FIND_STR(c->pools, pool, v);
    if (v == NULL) {
        v = mg_alloc(sizeof(*v));
        mg_str_copy(v->pool, sizeof(v->pool), mg_str_of(pool));
        HASH_ADD_STR(c->pools, pool, v);
    }
    return v;
}

static void
pool_recorded(void *user, const mg_apply_reply *reply)
{
    (void)user;
    (void)reply;
}

/*
 * Entries that served without the control group may do so for
 * MG_FRESH_MS after most of them have their leases back.
 */
static bool
quorum_is_settled(const mg_control *c)
{
    return c->quorum_since != 0 &&
           mg_now(c->clock) - c->quorum_since >= QUORUM_SETTLED_MS;
}

static void
watch_quorum(mg_control *c, const struct member_list *l)
{
    if (l->live * 2 <= l->members) {
        c->quorum_since = 0;
    }
    else if (c->quorum_since == 0) {
        c->quorum_since = mg_now(c->clock);
    }
}

static void
place_pool(mg_control *c, const char *pool, const struct member_list *l)
{
    struct pool_view *v = pool_of(c, pool);
    int64_t now = mg_now(c->clock);
    mg_str value;
    uint64_t rev;
    uint64_t epoch = 0;
    mg_msg old;
    if (now < v->retry_ms) {
        return;
    }
    if (mg_state_get(c->state, MG_KIND_POOL, mg_str_of(pool), &value, &rev) &&
        mg_msg_decode(value, &old) == MG_OK) {
        if (!needs_holder(c, &old.u.rec_pool) || !quorum_is_settled(c)) {
            return;
        }
        epoch = old.u.rec_pool.epoch;
    }
    int i = mg_assign(pool, l->candidates, l->candidate_count);
    if (i < 0) {
        return;
    }
    v->retry_ms = now + ASSIGN_RETRY_MS;
    mg_msg rec = {.type = MG_MSG_REC_POOL};
    rec.u.rec_pool.pool = mg_str_of(pool);
    rec.u.rec_pool.holder = mg_str_of(l->candidates[i].node);
    rec.u.rec_pool.incarnation = l->candidates[i].incarnation;
    rec.u.rec_pool.epoch = epoch + 1;
    mg_buf data = {0};
    mg_msg_encode(&rec, &data);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_KIND_POOL;
    put.u.cmd_put.key = mg_str_of(pool);
    put.u.cmd_put.expect_rev = rev;
    put.u.cmd_put.value = mg_str_buf(&data);
    mg_control_propose(c, &put, pool_recorded, NULL);
    mg_buf_free(&data);
    mg_log(MG_EV_POOL_ASSIGNED,
           "pool=%s holder=%s epoch=%" PRIu64 " candidates=%zu why=%s", pool,
           l->candidates[i].node, epoch + 1, l->candidate_count,
           epoch ? "former_holder_gone" : "new_pool");
}

struct pool_names {
    char names[POOLS_MAX][MG_NAME_SIZE];
    size_t count;
};

static void
add_section_pools(void *user, mg_str key, mg_str value, uint64_t rev)
{
    struct pool_names *p = user;
    mg_msg m;
    (void)key;
    (void)rev;
    if (mg_msg_decode(value, &m) != MG_OK) {
        return;
    }
    mg_str text = m.u.rec_section.text;
    json_t *tree = json_loadb(text.p, text.n, 0, NULL);
    size_t i;
    json_t *pool;
    json_array_foreach(json_object_get(tree, "pool"), i, pool)
    {
        const char *name = json_string_value(json_object_get(pool, "name"));
        if (name != NULL && p->count < POOLS_MAX) {
            mg_str_copy(p->names[p->count++], MG_NAME_SIZE, mg_str_of(name));
        }
    }
    json_decref(tree);
}

/* pools of the document, read again when it has changed */
static const struct pool_names *
document_pools(mg_control *c)
{
    static struct pool_names pools;
    static uint64_t read_rev = UINT64_MAX;
    uint64_t rev = mg_state_document_rev(c->state);
    if (rev != read_rev) {
        pools.count = 0;
        mg_state_each(c->state, MG_KIND_SECTION, add_section_pools, &pools);
        read_rev = rev;
    }
    return &pools;
}

static void
watch_entries(mg_control *c)
{
    static struct member_list l;
    list_members(c, &l);
    uint64_t rev = l.document_rev;
    if (!l.behind && rev > c->in_force) {
        c->in_force = rev;
        mg_log(MG_EV_DOC_IN_FORCE,
               "rev=%" PRIu64 " entries=%zu after_ms=%" PRId64, rev, l.live,
               mg_now(c->clock) - c->document_at);
    }
    watch_quorum(c, &l);
    const struct pool_names *pools = document_pools(c);
    for (size_t i = 0; i < pools->count; i++) {
        place_pool(c, pools->names[i], &l);
    }
}

/* ---------------------------------------------------------- the process */

/* an operator's request that another member passed on */
struct remote_operator {
    mg_control *c;
    char peer[MG_NAME_SIZE];
    uint64_t seq;
};

static void
remote_operator_done(void *user, int status, mg_str body)
{
    struct remote_operator *ro = user;
    mg_msg m = {.type = MG_MSG_OPERATOR_REP};
    m.u.operator_rep.seq = ro->seq;
    m.u.operator_rep.status = (uint64_t)status;
    m.u.operator_rep.body = body;
    mg_net_send(ro->c->net, ro->peer, &m);
    free(ro);
}

static void
on_operator(mg_control *c, const char *peer, const mg_operator_req_msg *q)
{
    struct remote_operator *ro = mg_alloc(sizeof(*ro));
    ro->c = c;
    ro->seq = q->seq;
    mg_str_copy(ro->peer, sizeof(ro->peer), mg_str_of(peer));
    mg_operator_handle(c->operator_, q->method, q->path, q->key, q->body,
                       remote_operator_done, ro);
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
        mg_raft_receive(c->raft, id, m);
        break;
    case MG_MSG_RENEW:
        on_renew(c, peer, &m->u.renew);
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
        on_operator(c, peer, &m->u.operator_req);
        break;
    case MG_MSG_OPERATOR_REP:
        mg_operator_forwarded(c->operator_, &m->u.operator_rep);
        break;
    default:
        mg_log(MG_EV_BAD_INPUT, "peer=%s what=%s", peer, mg_msg_name(m->type));
        mg_count(MG_C_BAD_INPUT, 1);
    }
}

static void
on_turn(void *user)
{
    mg_control *c = user;
    mg_raft_flush(c->raft);
    c->open_round = 0;
    if (!list_empty(&c->renewals)) {
        answer_confirmed_renewals(c);
    }
}

static void
note_document(mg_control *c)
{
    uint64_t rev = mg_state_document_rev(c->state);
    if (rev != c->seen_document_rev) {
        c->seen_document_rev = rev;
        c->document_at = mg_now(c->clock);
    }
}

static void
compact_if_long(mg_control *c)
{
    if (mg_raft_log_length(c->raft) < (size_t)c->settings.snapshot_entries) {
        return;
    }
    mg_buf data = {0};
    mg_state_save(c->state, &data);
    mg_raft_compact(c->raft, mg_str_buf(&data));
    mg_buf_free(&data);
}

static void
on_tick(uv_timer_t *t)
{
    mg_control *c = t->data;
    mg_raft_tick(c->raft);
    note_document(c);
    if (mg_raft_ready(c->raft) && mg_now(c->clock) >= c->watch_at) {
        c->watch_at = mg_now(c->clock) + WATCH_MS;
        watch_entries(c);
    }
    compact_if_long(c);
    mg_operator_tick(c->operator_);
}

static mg_rc
open_raft(mg_control *c, mg_error *err)
{
    mg_store_image image;
    mg_rc rc =
        mg_store_open(&c->store, c->settings.data_dir, false, &image, err);
    if (rc != MG_OK) {
        return rc;
    }
    if (image.torn) {
        mg_log(MG_EV_STORE_TORN, "dir=%s entries=%zu", c->settings.data_dir,
               image.entry_count);
    }
    if (!image.meta.voter) {
        mg_log(MG_EV_RAFT_REJOIN, "uid=%016" PRIx64, image.meta.uid);
    }
    c->host = (mg_raft_host){
        host_send,         host_save_meta,     host_append, host_truncate,
        host_sync,         host_save_snapshot, host_apply,  host_restore,
        host_role_changed, host_failed,
    };
    c->raft = mg_raft_new(&(mg_raft_options){
        .id = c->id,
        .members = (unsigned)c->settings.control_count,
        .host = &c->host,
        .clock = c->clock,
        .seed = c->incarnation,
        .meta = image.meta,
        .snapshot_index = image.snapshot_index,
        .snapshot_term = image.snapshot_term,
        .snapshot = mg_str_buf(&image.snapshot),
        .entries = image.entries,
        .entry_count = image.entry_count,
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
                               .on_turn = on_turn,
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
                            .body_max = OPERATOR_BODY_MAX,
                            .on_request = mg_operator_http,
                            .user = c->operator_,
                        },
                        err);
}

mg_rc
mg_control_open(mg_control **out, uv_loop_t *loop, const mg_settings *settings,
                mg_error *err)
{
    unsigned id = mg_settings_control_id(settings, settings->node);
    if (id == 0) {
        return mg_fail(err, MG_E_INPUT,
                       "node %s is not among the [[control]] nodes",
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
    c->leases = mg_leases_new(c->clock);
    c->operator_ = mg_operator_new(c);
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
    uv_timer_start(&c->timer, on_tick, TICK_MS, TICK_MS);
    *out = c;
    return MG_OK;
}

mg_rc
mg_control_init_folder(const char *dir, mg_error *err)
{
    mg_store *store;
    mg_store_image image;
    mg_rc rc = mg_store_open(&store, dir, true, &image, err);
    if (rc != MG_OK) {
        return rc;
    }
    if (!image.fresh) {
        rc = mg_fail(err, MG_E_CONFLICT, "%s: holds a member's data already",
                     dir);
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
mg_control_failed(const mg_control *c)
{
    return c->failed;
}
