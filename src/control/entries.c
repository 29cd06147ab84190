/*
 * entries - the leader's view of the entries: serving leases and their
 * renewal, the document revision in force, assignment of pool schedulers
 */
#include "control/control_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "control/assign.h"

#define CHANGES_MAX_BYTES (1u << 20)
/* an entry that takes longer to apply a document gets no lease */
#define APPLY_TIMEOUT_MS 2000
#define ASSIGN_RETRY_MS 500
#define POOLS_MAX 1024
#define ENTRIES_MAX 512
/* how long most entries must hold leases before a scheduler is reassigned */
#define QUORUM_SETTLED_MS (MG_SERVE_WITHOUT_CONTROL_MS + 500)

/* --------------------------------------------------------------- entries */

static struct entry_status *
get_entry_status(mg_control *c, const char *node)
{
    struct entry_status *v;
    HASH_FIND_STR(c->entries, node, v);
    if (v == NULL) {
        v = mg_alloc(sizeof(*v));
        mg_str_copy(v->node, sizeof(v->node), mg_str_of(node));
        HASH_ADD_STR(c->entries, node, v);
    }
    return v;
}

mg_lease_state
mg_control_entry_status(const mg_control *c, const char *node,
                        uint64_t incarnation, uint64_t *rev)
{
    struct entry_status *v;
    HASH_FIND_STR(c->entries, node, v);
    *rev = v != NULL && v->incarnation == incarnation ? v->applied_rev : 0;
    return mg_lease_table_state(c->leases, node, incarnation);
}

struct entry_list {
    mg_control *c;
    size_t members; /* neither stopped nor removed */
    size_t live;    /* members with a live lease */
    /* an entry that may hold a lease is not known to have applied
       document_rev */
    bool document_pending;
    uint64_t document_rev;
    mg_assign_candidate candidates[ENTRIES_MAX];
    char names[ENTRIES_MAX][MG_NAME_SIZE];
    size_t candidate_count;
};

static void
add_entry(void *user, mg_str key, mg_str value, uint64_t rev)
{
    struct entry_list *l = user;
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
        mg_control_entry_status(l->c, node, r->incarnation, &applied);
    if (state == MG_LEASE_UNKNOWN ||
        (state == MG_LEASE_LIVE && applied < l->document_rev)) {
        l->document_pending = true;
    }
    if (r->draining >= MG_DRAIN_STOPPED) {
        return;
    }
    l->members++;
    l->live += state == MG_LEASE_LIVE;
    if (state == MG_LEASE_LIVE && r->draining == MG_DRAIN_NONE &&
        l->candidate_count < ENTRIES_MAX) {
        size_t i = l->candidate_count++;
        memcpy(l->names[i], node, sizeof(node));
        l->candidates[i] = (mg_assign_candidate){l->names[i], r->incarnation};
    }
}

static void
list_entries(mg_control *c, struct entry_list *l)
{
    l->c = c;
    l->members = 0;
    l->live = 0;
    l->document_pending = false;
    l->candidate_count = 0;
    l->document_rev = mg_state_document_rev(c->state);
    mg_state_each(c->state, MG_RECORD_MEMBER, add_entry, l);
}

void
mg_control_count_entries(mg_control *c, size_t *members, size_t *live)
{
    struct entry_list *l = mg_alloc(sizeof(*l));
    list_entries(c, l);
    *members = l->members;
    *live = l->live;
    free(l);
}

static void
entry_recorded(void *user, const mg_apply_reply *reply)
{
    struct entry_status *v = user;
    (void)reply;
    v->record_pending = false;
}

static bool
same_record(const mg_rec_member_msg *a, const mg_rec_member_msg *b)
{
    return mg_str_eq(a->http_addr, b->http_addr) &&
           mg_str_eq(a->link_addr, b->link_addr) &&
           mg_str_eq(a->domain, b->domain) &&
           a->incarnation == b->incarnation && a->draining == b->draining;
}

/* puts the entry's description of itself in its MEMBER record if it differs */
static void
update_entry_record(mg_control *c, const char *node, const mg_renew_msg *q)
{
    struct entry_status *v = get_entry_status(c, node);
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
    bool known = mg_state_get(c->state, MG_RECORD_MEMBER, mg_str_of(node),
                              &value, &rev);
    if (known && mg_msg_decode(value, &old) == MG_OK) {
        const mg_rec_member_msg *o = &old.u.rec_member;
        /* keep the operator's drain command until the entry reports it */
        if (o->draining == MG_DRAIN_DRAINING &&
            o->incarnation == q->incarnation && q->draining == 0) {
            return;
        }
        if (same_record(o, &rec.u.rec_member)) {
            return;
        }
    }
    if (v->record_pending || !mg_raft_ready(c->disk.raft)) {
        return;
    }
    mg_buf data = {0};
    mg_msg_encode(&rec, &data);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_RECORD_MEMBER;
    put.u.cmd_put.key = mg_str_of(node);
    put.u.cmd_put.expect_rev = rev;
    put.u.cmd_put.value = mg_str_buf(&data);
    v->record_pending =
        mg_control_propose(c, &put, entry_recorded, v) == MG_OK;
    mg_buf_free(&data);
}

void
mg_entries_on_renew(mg_control *c, const char *peer, const mg_renew_msg *q)
{
    if (!mg_raft_ready(c->disk.raft)) {
        mg_control_reply_not_leader(c, peer, q->seq);
        return;
    }
    update_entry_record(c, peer, q);
    struct entry_status *v = get_entry_status(c, peer);
    v->incarnation = q->incarnation;
    v->applied_rev = q->rev;
    if (c->renewal_round == 0) {
        c->renewal_round = mg_raft_start_round(c->disk.raft);
    }
    struct renewal *r = mg_alloc(sizeof(*r));
    mg_str_copy(r->node, sizeof(r->node), mg_str_of(peer));
    r->seq = q->seq;
    r->incarnation = q->incarnation;
    r->applied_rev = q->rev;
    r->probe = q->probe;
    r->round = c->renewal_round;
    list_add_tail(&r->link, &c->renewals);
}

static bool
may_grant_lease(mg_control *c, const struct renewal *r)
{
    return !r->probe &&
           (r->applied_rev >= mg_state_document_rev(c->state) ||
            mg_now(c->clock) - c->document_changed_ms < APPLY_TIMEOUT_MS);
}

static void
reply_renewal(mg_control *c, const struct renewal *r)
{
    mg_buf records = {0};
    mg_msg m = {.type = MG_MSG_RENEW_REP};
    bool granted = may_grant_lease(c, r);
    if (granted) {
        mg_lease_table_grant(c->leases, r->node, r->incarnation);
    }
    m.u.renew_rep.seq = r->seq;
    m.u.renew_rep.granted = granted;
    m.u.renew_rep.lease_ms = MG_LEASE_MS;
    m.u.renew_rep.rev = mg_state_changes(c->state, r->applied_rev,
                                         CHANGES_MAX_BYTES, &records);
    m.u.renew_rep.partial = m.u.renew_rep.rev < mg_state_rev(c->state);
    m.u.renew_rep.records = mg_str_buf(&records);
    mg_net_send(c->net, r->node, &m);
    mg_buf_free(&records);
}

void
mg_entries_reply_confirmed(mg_control *c)
{
    uint64_t confirmed = mg_raft_confirmed_round(c->disk.raft);
    list_for_each_safe(el, el1, &c->renewals)
    {
        struct renewal *r = list_entry(el, struct renewal, link);
        if (r->round > confirmed) {
            break;
        }
        reply_renewal(c, r);
        list_del(&r->link);
        free(r);
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
    c->renewal_round = 0;
}

void
mg_entries_role_changed(mg_control *c)
{
    drop_renewals(c);
    mg_lease_table_take_over(c->leases);
    c->document_changed_ms = mg_now(c->clock);
    c->lease_quorum_since_ms = 0;
    for (struct entry_status *v = c->entries; v != NULL; v = v->hh.next) {
        v->record_pending = false;
    }
}

/* ------------------------------------------------------ pool assignment */

static bool
needs_new_holder(mg_control *c, const mg_rec_pool_msg *r)
{
    char node[MG_NAME_SIZE];
    mg_str value;
    uint64_t rev;
    mg_msg m;
    mg_str_copy(node, sizeof(node), r->holder);
    if (mg_lease_table_state(c->leases, node, r->incarnation) ==
        MG_LEASE_NONE) {
        return true;
    }
    return mg_state_get(c->state, MG_RECORD_MEMBER, r->holder, &value, &rev) &&
           mg_msg_decode(value, &m) == MG_OK &&
           m.u.rec_member.incarnation == r->incarnation &&
           m.u.rec_member.draining == MG_DRAIN_STOPPED;
}

static struct pool_status *
get_pool_status(mg_control *c, const char *pool)
{
    struct pool_status *v;
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
 * An entry that served without the control group may continue to do so for
 * MG_SERVE_WITHOUT_CONTROL_MS after most entries have their leases again.
 * Until this time has passed, a scheduler without a leased holder may still
 * be running.
 */
static bool
lease_quorum_is_settled(const mg_control *c)
{
    return c->lease_quorum_since_ms != 0 &&
           mg_now(c->clock) - c->lease_quorum_since_ms >= QUORUM_SETTLED_MS;
}

static void
update_lease_quorum(mg_control *c, const struct entry_list *l)
{
    if (l->live * 2 <= l->members) {
        c->lease_quorum_since_ms = 0;
    }
    else if (c->lease_quorum_since_ms == 0) {
        c->lease_quorum_since_ms = mg_now(c->clock);
    }
}

static void
assign_pool(mg_control *c, const char *pool, const struct entry_list *l)
{
    struct pool_status *v = get_pool_status(c, pool);
    int64_t now = mg_now(c->clock);
    mg_str value;
    uint64_t rev;
    uint64_t epoch = 0;
    mg_msg old;
    if (now < v->retry_ms) {
        return;
    }
    if (mg_state_get(c->state, MG_RECORD_POOL, mg_str_of(pool), &value,
                     &rev) &&
        mg_msg_decode(value, &old) == MG_OK) {
        if (!needs_new_holder(c, &old.u.rec_pool) ||
            !lease_quorum_is_settled(c)) {
            return;
        }
        epoch = old.u.rec_pool.epoch;
    }
    int i = mg_assign_pool(pool, l->candidates, l->candidate_count);
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
    put.u.cmd_put.kind = MG_RECORD_POOL;
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

/* names of the document's pools, cached until its revision changes */
static const struct pool_names *
document_pools(mg_control *c)
{
    static struct pool_names pools;
    static uint64_t read_rev = UINT64_MAX;
    uint64_t rev = mg_state_document_rev(c->state);
    if (rev != read_rev) {
        pools.count = 0;
        mg_state_each(c->state, MG_RECORD_SECTION, add_section_pools, &pools);
        read_rev = rev;
    }
    return &pools;
}

void
mg_entries_leader_tick(mg_control *c)
{
    static struct entry_list l;
    list_entries(c, &l);
    uint64_t rev = l.document_rev;
    if (!l.document_pending && rev > c->in_force_rev) {
        c->in_force_rev = rev;
        mg_log(MG_EV_DOC_IN_FORCE,
               "rev=%" PRIu64 " entries=%zu after_ms=%" PRId64, rev, l.live,
               mg_now(c->clock) - c->document_changed_ms);
    }
    update_lease_quorum(c, &l);
    const struct pool_names *pools = document_pools(c);
    for (size_t i = 0; i < pools->count; i++) {
        assign_pool(c, pools->names[i], &l);
    }
}
