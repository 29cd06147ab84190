#include "control/raft_int.h"

#include <stdlib.h>
#include <string.h>

/* makes this member a voter if READMIT carries its id and its disk's uid */
static void
apply_readmit(mg_raft *r, const mg_msg *m)
{
    if (m->u.cmd_readmit.node == r->id &&
        m->u.cmd_readmit.uid == r->meta.uid && !r->meta.voter) {
        r->meta.voter = 1;
        mg_raft_save_meta(r);
    }
}

static void
apply_committed(mg_raft *r)
{
    while (r->applied_index < r->commit_index && !r->stopped) {
        mg_raft_entry e = mg_raft_log_entry_at(r, r->applied_index + 1);
        mg_msg m;
        if (mg_msg_decode(e.data, &m) == MG_OK &&
            m.type == MG_MSG_CMD_READMIT) {
            apply_readmit(r, &m);
        }
        r->applied_index++;
        r->callbacks->apply(r->callbacks, &e);
    }
}

/* the highest value reached by a majority without one slot; local is this
   member's value */
static uint64_t
value_without(const mg_raft *r, uint64_t local,
              uint64_t (*value)(const struct mg_raft_peer *p), unsigned skip)
{
    uint64_t sorted[MG_RAFT_MAX_MEMBERS] = {0};
    unsigned k = 0;
    for (unsigned i = 1; i <= r->n; i++) {
        bool votes = i == r->id ? r->meta.voter : r->peers[i].voter;
        bool counts = votes && i != skip && mg_raft_counts(r, i);
        uint64_t v = !counts ? 0 : i == r->id ? local : value(&r->peers[i]);
        unsigned at = k++;
        while (at > 0 && sorted[at - 1] < v) {
            sorted[at] = sorted[at - 1];
            at--;
        }
        sorted[at] = v;
    }
    return sorted[mg_raft_majority(r, skip) - 1];
}

static uint64_t
majority_value(const mg_raft *r, uint64_t local,
               uint64_t (*value)(const struct mg_raft_peer *p))
{
    uint64_t a = value_without(r, local, value, r->incoming);
    uint64_t b = value_without(r, local, value, r->outgoing);
    return a < b ? a : b;
}

static uint64_t
peer_match_index(const struct mg_raft_peer *p)
{
    return p->match_index;
}

static uint64_t
peer_acked_round(const struct mg_raft_peer *p)
{
    return p->acked_round;
}

static void
advance_commit(mg_raft *r)
{
    if (r->role != MG_RAFT_LEADER) {
        return;
    }
    uint64_t index = majority_value(r, r->synced_index, peer_match_index);
    /* a majority does not commit an entry of an earlier term by itself; it is
       committed when a later entry of the current term is */
    if (index > r->commit_index &&
        mg_raft_log_term_at(r, index) == r->meta.term) {
        r->commit_index = index;
        apply_committed(r);
    }
}

/* ------------------------------------------------------------ sending */

static void
send_snapshot(mg_raft *r, unsigned to)
{
    mg_msg m = {.type = MG_MSG_SNAPSHOT};
    m.u.snapshot.term = r->meta.term;
    m.u.snapshot.last_index = r->snap_index;
    m.u.snapshot.last_term = r->snap_term;
    m.u.snapshot.round = r->round;
    m.u.snapshot.data = mg_str_buf(&r->snap);
    r->peers[to].next_index = r->snap_index + 1;
    r->peers[to].last_sent_ms = mg_now(r->clock);
    r->callbacks->send(r->callbacks, to, &m);
}

/* Whether a member has not acknowledged so much that it gets no more until it
   does. */
static bool
is_window_full(const mg_raft *r, const struct mg_raft_peer *p)
{
    uint64_t index = p->match_index > r->snap_index ? p->match_index + 1
                                                    : r->snap_index + 1;
    size_t bytes = 0;
    for (; index < p->next_index && bytes < MG_RAFT_WINDOW_BYTES; index++) {
        bytes += mg_raft_log_entry_at(r, index).data.n;
    }
    return bytes >= MG_RAFT_WINDOW_BYTES;
}

/* Sends the entries that a member lacks, or none if its window is full; the
   message is a heartbeat then. */
static void
send_append(mg_raft *r, unsigned to)
{
    struct mg_raft_peer *p = &r->peers[to];
    if (p->vacant) {
        return;
    }
    if (p->next_index <= r->snap_index) {
        send_snapshot(r, to);
        return;
    }
    mg_msg m = {.type = MG_MSG_APPEND};
    m.u.append.term = r->meta.term;
    m.u.append.prev_index = p->next_index - 1;
    m.u.append.prev_term = mg_raft_log_term_at(r, p->next_index - 1);
    m.u.append.commit = r->commit_index;
    m.u.append.round = r->round;
    mg_buf entries = {0};
    bool full = is_window_full(r, p);
    while (!full && p->next_index <= mg_raft_last_index(r) &&
           entries.n < MG_RAFT_BATCH_BYTES) {
        mg_raft_entry e = mg_raft_log_entry_at(r, p->next_index++);
        mg_msg em = {.type = MG_MSG_LOG_ENTRY};
        em.u.log_entry.term = e.term;
        em.u.log_entry.index = e.index;
        em.u.log_entry.data = e.data;
        mg_msg_encode(&em, &entries);
    }
    m.u.append.entries = mg_str_buf(&entries);
    p->last_sent_ms = mg_now(r->clock);
    r->callbacks->send(r->callbacks, to, &m);
    mg_buf_free(&entries);
}

void
mg_raft_send_to_all(mg_raft *r)
{
    for (unsigned i = 1; i <= r->n; i++) {
        if (i != r->id) {
            send_append(r, i);
        }
    }
    r->next_heartbeat_ms = mg_now(r->clock) + MG_RAFT_HEARTBEAT_MS;
}

static void
send_append_rep(mg_raft *r, unsigned to, bool ok, uint64_t match,
                uint64_t round)
{
    mg_msg m = {.type = MG_MSG_APPEND_REP};
    m.u.append_rep.term = r->meta.term;
    m.u.append_rep.ok = ok;
    m.u.append_rep.match = match;
    m.u.append_rep.round = round;
    m.u.append_rep.uid = r->meta.uid;
    m.u.append_rep.voter = r->meta.voter;
    r->callbacks->send(r->callbacks, to, &m);
}

/* ----------------------------------------------------------- follower */

static bool
changes_voters(const mg_raft *r, uint64_t index)
{
    mg_msg m;
    return mg_msg_decode(mg_raft_log_entry_at(r, index).data, &m) == MG_OK &&
           m.type == MG_MSG_CMD_PUT && m.u.cmd_put.kind == MG_RECORD_VOTERS;
}

/* A change of the voters proves that the one before it is committed. */
static void
commit_voters_before(mg_raft *r, uint64_t index)
{
    if (!changes_voters(r, index)) {
        return;
    }
    for (uint64_t i = index - 1; i > r->commit_index; i--) {
        if (changes_voters(r, i)) {
            r->commit_index = i;
        }
    }
}

/* keeps matching entries, truncates at the first that differs, appends */
static bool
append_entries(mg_raft *r, mg_str rest, uint64_t *match)
{
    mg_msg m;
    mg_rc rc;
    while ((rc = mg_msg_next(&rest, &m)) == MG_OK) {
        const mg_log_entry_msg *e = &m.u.log_entry;
        if (m.type != MG_MSG_LOG_ENTRY || e->index != *match + 1) {
            return false;
        }
        *match = e->index;
        if (e->index <= r->commit_index) {
            continue;
        }
        if (e->index <= mg_raft_last_index(r)) {
            if (mg_raft_log_term_at(r, e->index) == e->term) {
                continue;
            }
            if (!mg_raft_log_truncate(r, e->index)) {
                return false;
            }
        }
        if (!mg_raft_log_append(r, e->term, e->data)) {
            return false;
        }
        commit_voters_before(r, e->index);
    }
    return rc == MG_E_CLOSED;
}

static void
follow_leader(mg_raft *r, unsigned from, uint64_t term)
{
    mg_raft_become_follower(r, term, from);
    r->leader_contact_ms = mg_now(r->clock);
    mg_raft_reset_election_timer(r);
}

static void
on_append(mg_raft *r, unsigned from, const mg_append_msg *a)
{
    if (a->term < r->meta.term) {
        send_append_rep(r, from, false, 0, 0);
        return;
    }
    follow_leader(r, from, a->term);
    if (r->stopped) {
        return;
    }
    uint64_t match = a->prev_index;
    bool agrees = a->prev_index <= r->commit_index ||
                  (a->prev_index <= mg_raft_last_index(r) &&
                   mg_raft_log_term_at(r, a->prev_index) == a->prev_term);
    if (!agrees) {
        uint64_t hint = a->prev_index - 1;
        if (hint > mg_raft_last_index(r)) {
            hint = mg_raft_last_index(r);
        }
        if (hint < r->commit_index) {
            hint = r->commit_index;
        }
        send_append_rep(r, from, false, hint, a->round);
        return;
    }
    if (!append_entries(r, a->entries, &match)) {
        return;
    }
    uint64_t commit = a->commit < match ? a->commit : match;
    if (commit > r->commit_index) {
        r->commit_index = commit;
    }
    if (match > r->reply_match) {
        r->reply_match = match;
    }
    r->reply_pending = true;
    r->reply_round = a->round;
    apply_committed(r);
}

static bool
install_snapshot(mg_raft *r, const mg_snapshot_msg *s)
{
    /* if the log agrees with the snapshot, the entries after it are kept: they
       may have been acknowledged */
    bool agrees = s->last_index <= mg_raft_last_index(r) &&
                  mg_raft_log_term_at(r, s->last_index) == s->last_term;
    if (!agrees && mg_raft_last_index(r) > r->commit_index &&
        !mg_raft_log_truncate(r, r->commit_index + 1)) {
        return false;
    }
    if (!mg_raft_check_storage(
            r, r->callbacks->save_snapshot(r->callbacks, s->last_index,
                                           s->last_term, s->data))) {
        return false;
    }
    mg_raft_log_set_snapshot(r, s->last_index, s->last_term, s->data);
    r->commit_index = s->last_index;
    r->applied_index = s->last_index;
    r->synced_index = agrees ? r->synced_index : s->last_index;
    if (r->synced_index < s->last_index) {
        r->synced_index = s->last_index;
    }
    r->callbacks->restore(r->callbacks, s->data);
    return true;
}

static void
on_snapshot(mg_raft *r, unsigned from, const mg_snapshot_msg *s)
{
    if (s->term < r->meta.term) {
        send_append_rep(r, from, false, 0, 0);
        return;
    }
    follow_leader(r, from, s->term);
    if (s->last_index > r->commit_index && !r->stopped &&
        !install_snapshot(r, s)) {
        return;
    }
    if (s->last_index > r->reply_match) {
        r->reply_match = s->last_index;
    }
    r->reply_pending = true;
    r->reply_round = s->round;
}

/* ------------------------------------------------------------- leader */

static void
propose_readmit(mg_raft *r, unsigned node, uint64_t uid)
{
    mg_msg m = {.type = MG_MSG_CMD_READMIT};
    m.u.cmd_readmit.node = node;
    m.u.cmd_readmit.uid = uid;
    mg_buf data = {0};
    mg_msg_encode(&m, &data);
    mg_raft_log_append(r, r->meta.term, mg_str_buf(&data));
    mg_buf_free(&data);
    r->peers[node].next_readmit_ms =
        mg_now(r->clock) + MG_RAFT_READMIT_RETRY_MS;
}

static void
on_append_rep(mg_raft *r, unsigned from, const mg_append_rep_msg *p)
{
    if (p->term > r->meta.term) {
        mg_raft_become_follower(r, p->term, 0);
        return;
    }
    if (r->role != MG_RAFT_LEADER || p->term < r->meta.term) {
        return;
    }
    struct mg_raft_peer *peer = &r->peers[from];
    peer->last_received_ms = mg_now(r->clock);
    if (peer->uid != p->uid) {
        /* another disk: what was synced to the former one does not count */
        peer->uid = p->uid;
        peer->match_index = 0;
        peer->acked_round = 0;
        peer->next_readmit_ms = 0;
    }
    peer->voter = p->voter;
    if (p->round > peer->acked_round && p->round <= r->round) {
        peer->acked_round = p->round;
    }
    if (!p->ok) {
        uint64_t next = p->match + 1;
        peer->next_index =
            next > peer->match_index ? next : peer->match_index + 1;
        if (peer->next_index > mg_raft_last_index(r) + 1) {
            peer->next_index = mg_raft_last_index(r) + 1;
        }
        send_append(r, from);
        return;
    }
    if (p->match > peer->match_index && p->match <= mg_raft_last_index(r)) {
        peer->match_index = p->match;
    }
    if (peer->next_index <= peer->match_index) {
        peer->next_index = peer->match_index + 1;
    }
    if (!peer->voter && peer->match_index >= r->commit_index &&
        mg_now(r->clock) >= peer->next_readmit_ms && mg_raft_ready(r)) {
        propose_readmit(r, from, peer->uid);
    }
    advance_commit(r);
}

void
mg_raft_start_marked_round(mg_raft *r)
{
    /* one that isn't confirmed yet goes on: the round trip may be longer than
       the interval */
    if (mg_raft_confirmed_round(r) >= r->mark_round) {
        r->led_ms = r->mark_ms;
        r->mark_round = r->round + 1;
        r->mark_ms = mg_now(r->clock);
    }
    r->round++;
}

/* the latest time at which a majority is known to have had no later leader */
static int64_t
led_until(const mg_raft *r)
{
    return mg_raft_confirmed_round(r) >= r->mark_round ? r->mark_ms
                                                       : r->led_ms;
}

static bool
has_majority_contact(const mg_raft *r, int64_t now)
{
    bool heard[MG_RAFT_MAX_MEMBERS + 1] = {false};
    for (unsigned i = 1; i <= r->n; i++) {
        int64_t age_ms = now - r->peers[i].last_received_ms;
        heard[i] = i == r->id || age_ms < MG_RAFT_ELECTION_MAX_MS;
    }
    return mg_raft_is_majority(r, heard);
}

static void
tick_leader(mg_raft *r, int64_t now)
{
    if (!has_majority_contact(r, now)) {
        mg_raft_become_follower(r, r->meta.term, 0);
        mg_raft_reset_election_timer(r);
        return;
    }
    if (now >= r->next_heartbeat_ms) {
        mg_raft_start_marked_round(r);
        mg_raft_send_to_all(r);
    }
}

void
mg_raft_set_voter_slot(mg_raft *r, unsigned slot, bool taken)
{
    MG_INVARIANT(slot >= 1 && slot <= MG_RAFT_MAX_MEMBERS && slot != r->id);
    if (slot > r->n) {
        r->n = slot;
    }
    r->peers[slot] = (struct mg_raft_peer){
        .next_index = mg_raft_last_index(r) + 1,
        .vacant = !taken,
        .last_received_ms = mg_now(r->clock),
    };
}

void
mg_raft_add_learner(mg_raft *r, unsigned slot)
{
    MG_INVARIANT(slot > r->n || r->peers[slot].vacant);
    mg_raft_set_voter_slot(r, slot, true);
    r->peers[slot].learner = true;
}

void
mg_raft_promote_learner(mg_raft *r, unsigned slot)
{
    MG_INVARIANT(mg_raft_is_learner(r, slot));
    r->peers[slot].learner = false;
}

void
mg_raft_set_swap(mg_raft *r, unsigned outgoing, unsigned incoming)
{
    r->outgoing = outgoing;
    r->incoming = incoming;
}

bool
mg_raft_is_learner(const mg_raft *r, unsigned slot)
{
    return slot <= r->n && r->peers[slot].learner;
}

bool
mg_raft_slot_votes(const mg_raft *r, unsigned slot)
{
    return slot == r->id ? r->meta.voter : r->peers[slot].voter;
}

int64_t
mg_raft_contact_age_ms(const mg_raft *r, unsigned slot)
{
    return slot == r->id ? 0
                         : mg_now(r->clock) - r->peers[slot].last_received_ms;
}

bool
mg_raft_all_members_vote(const mg_raft *r)
{
    for (unsigned i = 1; i <= r->n; i++) {
        if (i != r->id && mg_raft_counts(r, i) && !r->peers[i].voter) {
            return false;
        }
    }
    return r->meta.voter;
}

void
mg_raft_tick(mg_raft *r)
{
    int64_t now = mg_now(r->clock);
    if (r->stopped) {
        return;
    }
    if (r->role == MG_RAFT_LEADER) {
        tick_leader(r, now);
    }
    else if (now >= r->election_deadline_ms) {
        mg_raft_set_prevote_timer(r);
        if (r->meta.voter && !r->peers[r->id].learner) {
            mg_raft_start_election(r, true);
        }
        else {
            r->leader = 0;
        }
    }
}

void
mg_raft_receive(mg_raft *r, unsigned from, const mg_msg *m)
{
    if (r->stopped || from == 0 || from > r->n || from == r->id ||
        r->peers[from].vacant) {
        return;
    }
    if (r->peers[from].learner && m->type != MG_MSG_APPEND_REP) {
        return;
    }
    switch (m->type) {
    case MG_MSG_VOTE_REQ:
        mg_raft_on_vote_req(r, from, &m->u.vote_req);
        break;
    case MG_MSG_VOTE_REP:
        mg_raft_on_vote_rep(r, from, &m->u.vote_rep);
        break;
    case MG_MSG_APPEND:
        on_append(r, from, &m->u.append);
        break;
    case MG_MSG_APPEND_REP:
        on_append_rep(r, from, &m->u.append_rep);
        break;
    case MG_MSG_SNAPSHOT:
        on_snapshot(r, from, &m->u.snapshot);
        break;
    default:
        break;
    }
}

mg_rc
mg_raft_propose(mg_raft *r, mg_str data, uint64_t *index, uint64_t *term)
{
    if (r->role != MG_RAFT_LEADER || r->stopped) {
        return MG_E_NO_LEADER;
    }
    if (!mg_raft_log_append(r, r->meta.term, data)) {
        return MG_E_IO;
    }
    *index = mg_raft_last_index(r);
    *term = r->meta.term;
    return MG_OK;
}

static void
send_new_entries(mg_raft *r)
{
    for (unsigned i = 1; i <= r->n; i++) {
        const struct mg_raft_peer *p = &r->peers[i];
        if (i != r->id && p->next_index <= mg_raft_last_index(r) &&
            !is_window_full(r, p)) {
            send_append(r, i);
        }
    }
}

static void
start_sync(mg_raft *r)
{
    r->unsynced = false;
    r->syncing = true;
    r->syncing_index = mg_raft_last_index(r);
    mg_rc rc = r->callbacks->sync(r->callbacks);
    if (rc != MG_E_IN_PROGRESS) {
        mg_raft_synced(r, rc);
    }
}

/* Acknowledges the entries that are synced. While the others are not, a new
   round is acknowledged without them. */
static void
acknowledge(mg_raft *r)
{
    bool synced = r->reply_match <= r->synced_index;
    if (!synced && r->reply_round == r->replied_round) {
        return;
    }
    r->reply_pending = !synced;
    r->replied_round = r->reply_round;
    send_append_rep(r, r->leader, true,
                    synced ? r->reply_match : r->synced_index, r->reply_round);
}

void
mg_raft_flush(mg_raft *r)
{
    if (r->stopped) {
        return;
    }
    if (r->role == MG_RAFT_LEADER) {
        /* sent before the local sync, so that followers write in parallel */
        send_new_entries(r);
    }
    if (r->unsynced && !r->syncing) {
        start_sync(r);
    }
    if (!r->stopped && r->reply_pending && r->leader != 0 &&
        r->role == MG_RAFT_FOLLOWER) {
        acknowledge(r);
    }
}

void
mg_raft_synced(mg_raft *r, mg_rc rc)
{
    r->syncing = false;
    if (r->stopped || !mg_raft_check_storage(r, rc)) {
        return;
    }
    if (r->syncing_index > r->synced_index) {
        r->synced_index = r->syncing_index;
    }
    advance_commit(r);
}

void
mg_raft_compact(mg_raft *r, mg_str state)
{
    uint64_t index = r->applied_index;
    uint64_t term = mg_raft_log_term_at(r, index);
    if (index <= r->snap_index || r->stopped) {
        return;
    }
    if (!mg_raft_check_storage(r, r->callbacks->save_snapshot(
                                      r->callbacks, index, term, state))) {
        return;
    }
    mg_raft_log_set_snapshot(r, index, term, state);
    if (r->synced_index < index) {
        r->synced_index = index;
    }
}

uint64_t
mg_raft_start_round(mg_raft *r)
{
    r->round++;
    if (r->role == MG_RAFT_LEADER) {
        mg_raft_send_to_all(r);
    }
    return r->round;
}

uint64_t
mg_raft_confirmed_round(const mg_raft *r)
{
    if (r->role != MG_RAFT_LEADER) {
        return 0;
    }
    return majority_value(r, r->round, peer_acked_round);
}

mg_raft *
mg_raft_new(const mg_raft_options *opts)
{
    MG_INVARIANT(opts->members <= MG_RAFT_MAX_MEMBERS && opts->id >= 1 &&
                 opts->id <= opts->members);
    mg_raft *r = mg_alloc(sizeof(*r));
    r->id = opts->id;
    r->n = opts->members;
    r->callbacks = opts->callbacks;
    r->clock = opts->clock;
    mg_rng_init(&r->rng, opts->seed);
    r->meta = opts->meta;
    r->peers[r->id].learner = opts->learner;
    r->snap_index = opts->snapshot_index;
    r->snap_term = opts->snapshot_term;
    mg_buf_put(&r->snap, opts->snapshot.p, opts->snapshot.n);
    r->commit_index = r->snap_index;
    r->applied_index = r->snap_index;
    for (size_t i = 0; i < opts->entry_count; i++) {
        MG_INVARIANT(opts->entries[i].index == mg_raft_last_index(r) + 1);
        mg_raft_log_push(r, opts->entries[i].term, opts->entries[i].data);
        commit_voters_before(r, mg_raft_last_index(r));
    }
    r->synced_index = mg_raft_last_index(r);
    r->leader_contact_ms = mg_now(r->clock) - MG_RAFT_ELECTION_MIN_MS;
    mg_raft_set_prevote_timer(r);
    if (r->snap_index > 0) {
        r->callbacks->restore(r->callbacks, mg_str_buf(&r->snap));
    }
    if (opts->commit_index > r->commit_index) {
        r->commit_index = opts->commit_index < mg_raft_last_index(r)
                              ? opts->commit_index
                              : mg_raft_last_index(r);
    }
    apply_committed(r);
    return r;
}

void
mg_raft_free(mg_raft *r)
{
    if (r == NULL) {
        return;
    }
    mg_raft_log_clear(r);
    free(r->log);
    mg_buf_free(&r->snap);
    free(r);
}

mg_raft_role
mg_raft_get_role(const mg_raft *r)
{
    return r->role;
}

unsigned
mg_raft_leader(const mg_raft *r)
{
    return r->leader;
}

uint64_t
mg_raft_term(const mg_raft *r)
{
    return r->meta.term;
}

uint64_t
mg_raft_applied_index(const mg_raft *r)
{
    return r->applied_index;
}

uint64_t
mg_raft_commit_index(const mg_raft *r)
{
    return r->commit_index;
}

size_t
mg_raft_log_length(const mg_raft *r)
{
    return r->log_count;
}

size_t
mg_raft_log_bytes(const mg_raft *r)
{
    return r->log_bytes;
}

bool
mg_raft_is_voter(const mg_raft *r)
{
    return r->meta.voter;
}

bool
mg_raft_ready(const mg_raft *r)
{
    return r->role == MG_RAFT_LEADER &&
           r->applied_index >= r->leader_first_index;
}

bool
mg_raft_is_current(const mg_raft *r)
{
    return mg_raft_ready(r) &&
           led_until(r) > mg_now(r->clock) - MG_RAFT_ELECTION_MAX_MS;
}
