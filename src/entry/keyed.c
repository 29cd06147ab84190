/*
 * keyed - requests with an idempotency key: ledger lookup, claim and retries
 *
 * An attempt first looks its key up in the ledger (peek). If no attempt holds
 * the key, the request waits for a slot and claims the key once it has one;
 * so an entry that crashes with waiting requests leaves no claims behind. If
 * another attempt holds the key or has run, this one joins it: it requests
 * the response from the entry that holds the claim or, if that entry is lost,
 * reads the stream from the target that runs the request. Nothing is ever
 * dispatched a second time.
 */
#include "entry/request_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "ledger/claims.h"

#define JOIN_INTERVAL_MS 300
#define HOLDER_LOST_MS 2000
#define REFUSE_TIMEOUT_MS 3000

static int64_t
now_of(const mg_request *r)
{
    return mg_now(r->e->clock);
}

void
mg_keyed_finish_unrecorded(mg_request *r, mg_rc rc, mg_ran ran)
{
    r->rc = rc;
    r->ran = ran;
    mg_request_finish(r);
}

/* ----------------------------------------------------------------- joining */

static void
send_join(mg_request *r)
{
    mg_msg m = {.type = MG_MSG_JOIN};
    m.u.join.seq = r->id;
    m.u.join.nonce = r->holder_nonce;
    mg_entry_send(r->e, r->holder, &m);
}

static void
send_locate(mg_request *r)
{
    mg_msg m = {.type = MG_MSG_LOCATE};
    m.u.locate.seq = r->id;
    m.u.locate.pool = mg_str_of(r->params.pool);
    m.u.locate.id = r->holder_nonce;
    mg_pools_send(r->e, r->params.pool, &m);
}

static bool
holder_is_lost(const mg_request *r)
{
    mg_entry *e = r->e;
    if (strcmp(r->holder, e->settings.node) == 0) {
        return r->holder_incarnation != e->incarnation;
    }
    const mg_member *m = mg_view_member(e->view, r->holder);
    return m == NULL || m->incarnation != r->holder_incarnation ||
           now_of(r) - mg_entry_peer(e, r->holder)->last_up_ms >
               HOLDER_LOST_MS;
}

static void
join_holder(mg_request *r, const mg_claim_rep_msg *m)
{
    mg_str_copy(r->holder, sizeof(r->holder), m->holder);
    r->holder_incarnation = m->incarnation;
    r->holder_nonce = m->nonce;
    mg_request_set_state(r, MG_REQ_JOINING);
    r->join_ms = 0;
    mg_keyed_tick_join(r, now_of(r));
}

void
mg_keyed_tick_join(mg_request *r, int64_t now)
{
    if (now - r->join_ms < JOIN_INTERVAL_MS) {
        return;
    }
    r->join_ms = now;
    if (!holder_is_lost(r)) {
        send_join(r);
    }
    else if (r->params.engine) {
        send_locate(r);
    }
    else {
        mg_keyed_finish_unrecorded(r, MG_E_OUTCOME_UNKNOWN, MG_RAN_UNKNOWN);
    }
}

static void
send_stored_response(mg_request *r, uint64_t status, const char *type,
                     mg_str body)
{
    r->response.status = (int)status;
    mg_str_copy(r->response.content_type, sizeof(r->response.content_type),
                mg_str_of(type));
    r->response.body.n = 0;
    mg_buf_put(&r->response.body, body.p, body.n);
    r->response.received = body.n;
    r->ran = MG_RAN_YES;
    mg_request_send_response(r);
    mg_request_end(r);
}

void
mg_request_locate_rep(mg_entry *e, const mg_locate_rep_msg *m)
{
    mg_request *r = mg_request_find(e, m->seq);
    if (r == NULL || r->state != MG_REQ_JOINING || r->addrs != NULL) {
        return;
    }
    mg_log(MG_EV_REQ_RESEND,
           "id=%" PRIx64 " found=lost_holder holder=%s "
           "targets=%.*s",
           r->id, r->holder, MG_STR_FMT(m->addrs));
    r->addrs = mg_str_dup(m->addrs);
    r->next_addr = r->addrs;
    r->nonce = r->holder_nonce;
    r->dispatched = true;
    /* r->nonce is now the lost holder's: a complete response is recorded for
       its claim */
    r->claimed = true;
    r->started_us = uv_hrtime() / 1000;
    r->dispatched_us = r->started_us;
    mg_request_set_state(r, MG_REQ_RUNNING);
    mg_keyed_read_next_target(r);
}

void
mg_keyed_read_next_target(mg_request *r)
{
    char *addr = strsep(&r->next_addr, ",");
    r->resume_until_ms = now_of(r) + JOIN_INTERVAL_MS;
    if (addr == NULL || addr[0] == '\0') {
        mg_keyed_finish_unrecorded(r, MG_E_OUTCOME_UNKNOWN, MG_RAN_UNKNOWN);
        return;
    }
    mg_str_copy(r->target_addr, sizeof(r->target_addr), mg_str_of(addr));
    mg_request_start_target_req(r, true);
}

/* another entry requests the response of a local attempt */
void
mg_request_join(mg_entry *e, const char *peer, const mg_join_msg *m)
{
    mg_msg rep = {.type = MG_MSG_JOIN_REP};
    mg_join_rep_msg *p = &rep.u.join_rep;
    mg_request *r = mg_request_find(e, m->nonce);
    p->seq = m->seq;
    p->type = (mg_str){"", 0};
    p->body = (mg_str){"", 0};
    p->rc = MG_E_IN_PROGRESS;
    p->ran = MG_RAN_UNKNOWN;
    if (r == NULL) {
        p->rc = MG_E_OUTCOME_UNKNOWN;
    }
    else if (r->state == MG_REQ_RETAINED) {
        bool complete =
            r->ran == MG_RAN_YES && r->response.body.n == r->response.received;
        p->rc = complete ? MG_OK : MG_E_OUTCOME_UNKNOWN;
        p->ran = r->ran;
        p->status = (uint64_t)r->response.status;
        p->type = mg_str_of(r->response.content_type);
        p->body = mg_str_buf(&r->response.body);
    }
    mg_entry_send(e, peer, &rep);
}

void
mg_request_join_rep(mg_entry *e, const mg_join_rep_msg *m)
{
    mg_request *r = mg_request_find(e, m->seq);
    if (r == NULL || r->state != MG_REQ_JOINING || m->rc == MG_E_IN_PROGRESS) {
        return;
    }
    if (m->rc == MG_OK) {
        char type[MG_NAME_SIZE];
        mg_str_copy(type, sizeof(type), m->type);
        send_stored_response(r, m->status, type, m->body);
    }
    else if (m->ran == MG_RAN_NO) {
        /* the other attempt has released the key: start again */
        mg_keyed_lookup(r);
    }
    else {
        mg_keyed_finish_unrecorded(r, MG_E_OUTCOME_UNKNOWN, MG_RAN_UNKNOWN);
    }
}

/* ------------------------------------------------------ lookup and claim */

static void
make_claim(const mg_request *r, mg_msg *m)
{
    m->type = MG_MSG_CMD_CLAIM;
    m->u.cmd_claim.workspace = mg_str_of(r->params.workspace);
    m->u.cmd_claim.key = mg_str_of(r->params.key);
    m->u.cmd_claim.digest = mg_str_of(r->params.digest);
    m->u.cmd_claim.holder = mg_str_of(r->e->settings.node);
    m->u.cmd_claim.incarnation = r->e->incarnation;
    m->u.cmd_claim.nonce = r->id;
    m->u.cmd_claim.gen = r->gen;
}

/* another attempt holds the key or has finished */
static void
follow_other_attempt(mg_request *r, const mg_claim_rep_msg *m)
{
    mg_claim_result result = (mg_claim_result)m->result;
    mg_log(MG_EV_REQ_RESEND,
           "id=%" PRIx64 " workspace=%s found=%s holder="
           "%.*s",
           r->id, r->params.workspace, mg_claim_result_name(result),
           MG_STR_FMT(m->holder));
    mg_count(MG_C_RETRIES, 1);
    switch (result) {
    case MG_CLAIM_RUNNING:
        join_holder(r, m);
        break;
    case MG_CLAIM_ANSWERED:
        if (m->answer.n > 0) {
            send_stored_response(r, m->status, "application/json", m->answer);
        }
        else {
            join_holder(r, m);
        }
        break;
    case MG_CLAIM_MISMATCH:
        mg_keyed_finish_unrecorded(r, MG_E_KEY_REUSED, MG_RAN_NO);
        break;
    case MG_CLAIM_FULL:
    case MG_CLAIM_RELEASED:
        /* the claim table is full, or the key was refused after the lookup */
        mg_keyed_finish_unrecorded(r, MG_E_OVERLOAD, MG_RAN_NO);
        break;
    case MG_CLAIM_GRANTED:
    case MG_CLAIM_UNKNOWN:
        mg_keyed_finish_unrecorded(r, MG_E_OUTCOME_UNKNOWN, MG_RAN_UNKNOWN);
        break;
    }
}

static void
on_lookup_reply(void *user, const mg_msg *reply)
{
    mg_request *r = user;
    r->command_seq = 0;
    if (reply->u.claim_rep.result == MG_CLAIM_RELEASED) {
        r->gen = reply->u.claim_rep.gen;
        mg_request_enqueue(r);
    }
    else {
        follow_other_attempt(r, &reply->u.claim_rep);
    }
}

void
mg_keyed_lookup(mg_request *r)
{
    mg_msg m;
    make_claim(r, &m);
    mg_request_set_state(r, MG_REQ_LOOKUP);
    r->command_seq =
        mg_control_link_peek(r->e->control, &m, 0, on_lookup_reply, r);
}

void
mg_keyed_cancel_lookup(mg_request *r)
{
    mg_control_link_cancel(r->e->control, r->command_seq);
    mg_keyed_finish_unrecorded(r, MG_E_DEADLINE, MG_RAN_UNKNOWN);
}

static void
claim_granted(mg_request *r)
{
    mg_log(MG_EV_REQ_CLAIMED, "id=%" PRIx64 " workspace=%s", r->id,
           r->params.workspace);
    r->claimed = true;
    if (r->slot_released) {
        r->slot_released = false;
        mg_request_enqueue(r);
    }
    else {
        mg_request_connect(r);
    }
}

static void
on_claim_reply(void *user, const mg_msg *reply)
{
    mg_request *r = user;
    bool granted = reply->u.claim_rep.result == MG_CLAIM_GRANTED;
    mg_observe(MG_H_CLAIM_WAIT, (now_of(r) - r->join_ms) * 1000);
    r->command_seq = 0;
    if (r->state == MG_REQ_ABANDONED) {
        if (granted) {
            mg_request_release_claim(r);
        }
        mg_request_end(r);
    }
    else if (granted) {
        claim_granted(r);
    }
    else {
        mg_keyed_release_slot(r);
        follow_other_attempt(r, &reply->u.claim_rep);
    }
}

void
mg_keyed_claim(mg_request *r)
{
    mg_msg m;
    make_claim(r, &m);
    mg_count(MG_C_CLAIMS, 1);
    mg_request_set_state(r, MG_REQ_CLAIMING);
    r->join_ms = now_of(r);
    r->command_seq =
        mg_control_link_submit(r->e->control, &m, 0, on_claim_reply, r);
}

void
mg_keyed_release_slot(mg_request *r)
{
    if (!r->slot_released) {
        r->slot_released = true;
        mg_request_report_done(r, MG_DONE_NOT_DISPATCHED);
    }
}

/* responds "unknown"; a claim that is granted later is released */
void
mg_keyed_abandon(mg_request *r)
{
    mg_keyed_release_slot(r);
    r->rc = MG_E_DEADLINE;
    r->ran = MG_RAN_UNKNOWN;
    mg_request_set_state(r, MG_REQ_ABANDONED);
    mg_request_send_outcome(r);
}

/* ---------------------------------------------------------------- refusing */

static void
on_refuse_reply(void *user, const mg_msg *reply)
{
    mg_request *r = user;
    r->command_seq = 0;
    if (reply == NULL) {
        r->ran = MG_RAN_UNKNOWN;
    }
    else if (reply->u.claim_rep.result != MG_CLAIM_RELEASED) {
        follow_other_attempt(r, &reply->u.claim_rep);
        return;
    }
    mg_request_finish(r);
}

void
mg_keyed_refuse(mg_request *r)
{
    mg_msg m = {.type = MG_MSG_CMD_REFUSE};
    m.u.cmd_refuse.workspace = mg_str_of(r->params.workspace);
    m.u.cmd_refuse.key = mg_str_of(r->params.key);
    m.u.cmd_refuse.digest = mg_str_of(r->params.digest);
    m.u.cmd_refuse.gen = r->gen;
    mg_request_set_state(r, MG_REQ_REFUSING);
    r->command_seq = mg_control_link_submit(
        r->e->control, &m, now_of(r) + REFUSE_TIMEOUT_MS, on_refuse_reply, r);
}
