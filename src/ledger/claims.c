#include "ledger/claims.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/list.h"

typedef enum claim_state {
    STATE_HELD,
    STATE_RELEASED,
    STATE_ANSWERED,
    STATE_UNKNOWN,
} claim_state;

struct claim {
    UT_hash_handle hh;
    struct list_head link; /* in mg_claims.order */
    char *id;              /* workspace, NUL, key */
    size_t id_size;
    size_t workspace_size;
    char *digest;
    char *holder;
    uint64_t incarnation;
    uint64_t nonce;
    uint64_t gen; /* generation */
    claim_state state;
    uint64_t status;
    mg_buf response;
};

struct mg_claims {
    struct claim *table;
    struct list_head order; /* oldest first */
    size_t max;
};

mg_claims *
mg_claims_new(size_t max)
{
    mg_claims *c = mg_alloc(sizeof(*c));
    c->max = max;
    init_list_head(&c->order);
    return c;
}

static void
evict(mg_claims *c, struct claim *cl)
{
    HASH_DEL(c->table, cl);
    list_del(&cl->link);
    free(cl->id);
    free(cl->digest);
    free(cl->holder);
    mg_buf_free(&cl->response);
    free(cl);
}

void
mg_claims_free(mg_claims *c)
{
    list_for_each_safe(el, el1, &c->order)
    {
        evict(c, list_entry(el, struct claim, link));
    }
    free(c);
}

static void
make_id(mg_buf *id, mg_str workspace, mg_str key)
{
    mg_buf_put(id, workspace.p, workspace.n);
    mg_buf_put(id, "", 1);
    mg_buf_put(id, key.p, key.n);
}

static struct claim *
find_claim(const mg_claims *c, mg_str workspace, mg_str key)
{
    mg_buf id = {0};
    struct claim *cl;
    make_id(&id, workspace, key);
    HASH_FIND(hh, c->table, id.p, id.n, cl);
    mg_buf_free(&id);
    return cl;
}

static struct claim *
insert_claim(mg_claims *c, mg_str workspace, mg_str key, mg_str digest)
{
    struct claim *cl = mg_alloc(sizeof(*cl));
    mg_buf id = {0};
    make_id(&id, workspace, key);
    cl->id = id.p;
    cl->id_size = id.n;
    cl->workspace_size = workspace.n;
    cl->digest = mg_str_dup(digest);
    cl->state = STATE_RELEASED;
    HASH_ADD_KEYPTR(hh, c->table, cl->id, cl->id_size, cl);
    list_add_tail(&cl->link, &c->order);
    return cl;
}

static void
hold(struct claim *cl, mg_str holder, uint64_t incarnation, uint64_t nonce)
{
    free(cl->holder);
    cl->holder = mg_str_dup(holder);
    cl->incarnation = incarnation;
    cl->nonce = nonce;
    cl->state = STATE_HELD;
}

/* evicts the oldest finished request if the table is full; false: no room */
static bool
make_room(mg_claims *c)
{
    if (HASH_COUNT(c->table) < c->max) {
        return true;
    }
    list_for_each(el, &c->order)
    {
        struct claim *cl = list_entry(el, struct claim, link);
        if (cl->state != STATE_HELD) {
            evict(c, cl);
            return true;
        }
    }
    return false;
}

static mg_claim_result
state_result(const struct claim *cl, uint64_t nonce)
{
    switch (cl->state) {
    case STATE_HELD:
        return cl->nonce == nonce ? MG_CLAIM_GRANTED : MG_CLAIM_RUNNING;
    case STATE_ANSWERED:
        return MG_CLAIM_ANSWERED;
    case STATE_UNKNOWN:
        return MG_CLAIM_UNKNOWN;
    case STATE_RELEASED:
        break;
    }
    return MG_CLAIM_RELEASED;
}

static void
fill_reply(const struct claim *cl, uint64_t nonce, mg_claim_reply *reply)
{
    reply->result = state_result(cl, nonce);
    reply->holder = mg_str_of(cl->holder);
    reply->incarnation = cl->incarnation;
    reply->nonce = cl->nonce;
    reply->gen = cl->gen;
    reply->status = cl->status;
    reply->response = mg_str_buf(&cl->response);
}

void
mg_claims_claim(mg_claims *c, const mg_cmd_claim_msg *cmd,
                mg_claim_reply *reply)
{
    *reply = (mg_claim_reply){0};
    struct claim *cl = find_claim(c, cmd->workspace, cmd->key);
    if (cl == NULL) {
        if (!make_room(c)) {
            reply->result = MG_CLAIM_FULL;
            return;
        }
        cl = insert_claim(c, cmd->workspace, cmd->key, cmd->digest);
        hold(cl, cmd->holder, cmd->incarnation, cmd->nonce);
    }
    else if (!mg_str_eq(mg_str_of(cl->digest), cmd->digest)) {
        reply->result = MG_CLAIM_MISMATCH;
        return;
    }
    else if (cl->state == STATE_RELEASED && cl->nonce != cmd->nonce &&
             cmd->gen >= cl->gen) {
        hold(cl, cmd->holder, cmd->incarnation, cmd->nonce);
    }
    fill_reply(cl, cmd->nonce, reply);
}

void
mg_claims_peek(const mg_claims *c, const mg_cmd_claim_msg *cmd,
               mg_claim_reply *reply)
{
    *reply = (mg_claim_reply){.result = MG_CLAIM_RELEASED};
    const struct claim *cl = find_claim(c, cmd->workspace, cmd->key);
    if (cl == NULL) {
        return;
    }
    if (mg_str_eq(mg_str_of(cl->digest), cmd->digest)) {
        fill_reply(cl, cmd->nonce, reply);
    }
    else {
        reply->result = MG_CLAIM_MISMATCH;
    }
}

void
mg_claims_refuse(mg_claims *c, const mg_cmd_refuse_msg *cmd,
                 mg_claim_reply *reply)
{
    *reply = (mg_claim_reply){.result = MG_CLAIM_FULL};
    struct claim *cl = find_claim(c, cmd->workspace, cmd->key);
    if (cl == NULL) {
        if (!make_room(c)) {
            return;
        }
        cl = insert_claim(c, cmd->workspace, cmd->key, cmd->digest);
    }
    else if (!mg_str_eq(mg_str_of(cl->digest), cmd->digest)) {
        reply->result = MG_CLAIM_MISMATCH;
        return;
    }
    if (cl->state == STATE_RELEASED && cmd->gen >= cl->gen) {
        cl->gen = cmd->gen + 1;
    }
    fill_reply(cl, 0, reply);
}

static claim_state
final_state(uint64_t ran)
{
    switch (ran) {
    case MG_RAN_NO:
        return STATE_RELEASED;
    case MG_RAN_YES:
        return STATE_ANSWERED;
    default:
        return STATE_UNKNOWN;
    }
}

mg_rc
mg_claims_finalize(mg_claims *c, const mg_cmd_final_msg *cmd, bool *first)
{
    *first = false;
    struct claim *cl = find_claim(c, cmd->workspace, cmd->key);
    if (cl == NULL) {
        return MG_E_NOT_FOUND;
    }
    claim_state to = final_state(cmd->ran);
    if (cl->nonce != cmd->nonce) {
        return MG_E_KEY_REUSED;
    }
    if (cl->state != STATE_HELD) {
        return cl->state == to ? MG_OK : MG_E_KEY_REUSED;
    }
    cl->state = to;
    cl->status = cmd->status;
    cl->gen += to == STATE_RELEASED;
    if (to == STATE_ANSWERED) {
        *first = true;
        if (cmd->answer.n <= MG_CLAIM_RESPONSE_MAX) {
            mg_buf_put(&cl->response, cmd->answer.p, cmd->answer.n);
        }
    }
    return MG_OK;
}

size_t
mg_claims_count(const mg_claims *c)
{
    return HASH_COUNT(c->table);
}

const char *
mg_claim_result_name(mg_claim_result r)
{
    static const char *const names[] = {"granted", "running",  "answered",
                                        "unknown", "mismatch", "released",
                                        "full"};
    return names[r];
}

void
mg_claims_save(const mg_claims *c, mg_buf *out)
{
    list_for_each(el, &c->order)
    {
        const struct claim *cl = list_entry(el, struct claim, link);
        mg_msg m = {.type = MG_MSG_SNAP_CLAIM};
        mg_snap_claim_msg *s = &m.u.snap_claim;
        s->workspace = (mg_str){cl->id, cl->workspace_size};
        s->key = (mg_str){cl->id + cl->workspace_size + 1,
                          cl->id_size - cl->workspace_size - 1};
        s->digest = mg_str_of(cl->digest);
        s->holder = mg_str_of(cl->holder);
        s->incarnation = cl->incarnation;
        s->nonce = cl->nonce;
        s->gen = cl->gen;
        s->state = cl->state;
        s->status = cl->status;
        s->answer = mg_str_buf(&cl->response);
        mg_msg_encode(&m, out);
    }
}

void
mg_claims_load(mg_claims *c, const mg_snap_claim_msg *m)
{
    struct claim *cl = insert_claim(c, m->workspace, m->key, m->digest);
    hold(cl, m->holder, m->incarnation, m->nonce);
    cl->state = (claim_state)m->state;
    cl->gen = m->gen;
    cl->status = m->status;
    mg_buf_put(&cl->response, m->answer.p, m->answer.n);
}
