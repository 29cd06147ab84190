#include "control/raft_int.h"

static void
become_leader(mg_raft *r);

bool
mg_raft_counts(const mg_raft *r, unsigned slot)
{
    return !r->peers[slot].vacant && !r->peers[slot].learner;
}

unsigned
mg_raft_majority(const mg_raft *r, unsigned skip)
{
    unsigned assigned = 0;
    for (unsigned i = 1; i <= r->n; i++) {
        assigned += i != skip && mg_raft_counts(r, i);
    }
    return assigned / 2 + 1;
}

static bool
is_majority_without(const mg_raft *r, const bool *slots, unsigned skip)
{
    unsigned n = 0;
    for (unsigned i = 1; i <= r->n; i++) {
        n += i != skip && mg_raft_counts(r, i) && slots[i];
    }
    return n >= mg_raft_majority(r, skip);
}

bool
mg_raft_is_majority(const mg_raft *r, const bool *slots)
{
    return is_majority_without(r, slots, r->incoming) &&
           is_majority_without(r, slots, r->outgoing);
}

bool
mg_raft_save_meta(mg_raft *r)
{
    return mg_raft_check_storage(
        r, r->callbacks->save_meta(r->callbacks, &r->meta));
}

static void
set_election_timer(mg_raft *r, uint32_t min_ms, uint32_t max_ms)
{
    r->election_deadline_ms =
        mg_now(r->clock) + min_ms + mg_rng_below(&r->rng, max_ms - min_ms);
}

void
mg_raft_reset_election_timer(mg_raft *r)
{
    set_election_timer(r, MG_RAFT_ELECTION_MIN_MS, MG_RAFT_ELECTION_MAX_MS);
}

void
mg_raft_set_prevote_timer(mg_raft *r)
{
    set_election_timer(r, MG_RAFT_PREVOTE_MIN_MS, MG_RAFT_PREVOTE_MAX_MS);
}

static void
set_role(mg_raft *r, mg_raft_role role)
{
    if (r->role != role) {
        r->role = role;
        r->callbacks->role_changed(r->callbacks, role, r->meta.term);
    }
}

void
mg_raft_become_follower(mg_raft *r, uint64_t term, unsigned leader)
{
    if (term > r->meta.term) {
        r->meta.term = term;
        r->meta.vote = 0;
        if (!mg_raft_save_meta(r)) {
            return;
        }
        /* the new leader's log may differ from the former leader's */
        r->reply_pending = false;
        r->reply_match = 0;
    }
    r->leader = leader;
    set_role(r, MG_RAFT_FOLLOWER);
}

static bool
log_is_up_to_date(const mg_raft *r, uint64_t index, uint64_t term)
{
    uint64_t last = mg_raft_log_term_at(r, mg_raft_last_index(r));
    return term > last || (term == last && index >= mg_raft_last_index(r));
}

static void
advance_if_elected(mg_raft *r)
{
    bool granted[MG_RAFT_MAX_MEMBERS + 1] = {false};
    for (unsigned i = 1; i <= r->n; i++) {
        granted[i] = r->peers[i].vote_granted;
    }
    if (!mg_raft_is_majority(r, granted)) {
        return;
    }
    if (r->role == MG_RAFT_PRE_CANDIDATE) {
        mg_raft_start_election(r, false);
    }
    else if (r->role == MG_RAFT_CANDIDATE) {
        become_leader(r);
    }
}

void
mg_raft_start_election(mg_raft *r, bool pre)
{
    if (!pre) {
        r->meta.term++;
        r->meta.vote = r->id;
        if (!mg_raft_save_meta(r)) {
            return;
        }
    }
    r->leader = 0;
    if (pre) {
        mg_raft_set_prevote_timer(r);
    }
    else {
        mg_raft_reset_election_timer(r);
    }
    set_role(r, pre ? MG_RAFT_PRE_CANDIDATE : MG_RAFT_CANDIDATE);
    for (unsigned i = 1; i <= r->n; i++) {
        r->peers[i].vote_granted = i == r->id;
    }
    mg_msg m = {.type = MG_MSG_VOTE_REQ};
    m.u.vote_req.term = r->meta.term + pre;
    m.u.vote_req.last_index = mg_raft_last_index(r);
    m.u.vote_req.last_term = mg_raft_log_term_at(r, mg_raft_last_index(r));
    m.u.vote_req.pre = pre;
    for (unsigned i = 1; i <= r->n; i++) {
        if (i != r->id) {
            r->callbacks->send(r->callbacks, i, &m);
        }
    }
    advance_if_elected(r);
}

static void
become_leader(mg_raft *r)
{
    int64_t now = mg_now(r->clock);
    r->leader = r->id;
    for (unsigned i = 1; i <= r->n; i++) {
        struct mg_raft_peer *p = &r->peers[i];
        *p = (struct mg_raft_peer){.vacant = p->vacant, .learner = p->learner};
        p->next_index = mg_raft_last_index(r) + 1;
        p->last_received_ms = now;
    }
    r->leader_first_index = mg_raft_last_index(r) + 1;
    set_role(r, MG_RAFT_LEADER);
    r->mark_round = 0;
    r->mark_ms = INT64_MIN;
    mg_raft_start_marked_round(r);
    /* an entry of the current term lets those of earlier terms be committed */
    mg_msg m = {.type = MG_MSG_CMD_NOOP};
    m.u.cmd_noop.term = r->meta.term;
    mg_buf data = {0};
    mg_msg_encode(&m, &data);
    mg_raft_log_append(r, r->meta.term, mg_str_buf(&data));
    mg_buf_free(&data);
    mg_raft_send_to_all(r);
}

static bool
may_grant(const mg_raft *r, unsigned from, const mg_vote_req_msg *q)
{
    if (!r->meta.voter || !log_is_up_to_date(r, q->last_index, q->last_term)) {
        return false;
    }
    if (q->pre) {
        /* while heartbeats arrive, the leader is not to be replaced */
        bool has_leader =
            r->role == MG_RAFT_LEADER ||
            mg_now(r->clock) - r->leader_contact_ms < MG_RAFT_ELECTION_MIN_MS;
        return q->term > r->meta.term && !has_leader;
    }
    return q->term == r->meta.term &&
           (r->meta.vote == 0 || r->meta.vote == from);
}

void
mg_raft_on_vote_req(mg_raft *r, unsigned from, const mg_vote_req_msg *q)
{
    if (!q->pre && q->term > r->meta.term) {
        mg_raft_become_follower(r, q->term, 0);
    }
    bool grant = may_grant(r, from, q);
    if (grant && !q->pre) {
        r->meta.vote = from;
        if (!mg_raft_save_meta(r)) {
            return;
        }
        mg_raft_reset_election_timer(r);
    }
    mg_msg m = {.type = MG_MSG_VOTE_REP};
    m.u.vote_rep.term = q->pre && grant ? q->term : r->meta.term;
    m.u.vote_rep.granted = grant;
    m.u.vote_rep.pre = q->pre;
    r->callbacks->send(r->callbacks, from, &m);
}

void
mg_raft_on_vote_rep(mg_raft *r, unsigned from, const mg_vote_rep_msg *p)
{
    bool pre = r->role == MG_RAFT_PRE_CANDIDATE;
    if (!p->granted && p->term > r->meta.term) {
        mg_raft_become_follower(r, p->term, 0);
        return;
    }
    if (!p->granted || p->pre != pre ||
        p->term != r->meta.term + (pre ? 1 : 0)) {
        return;
    }
    if (pre || r->role == MG_RAFT_CANDIDATE) {
        r->peers[from].vote_granted = true;
        advance_if_elected(r);
    }
}
