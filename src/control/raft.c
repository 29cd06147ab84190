#include "control/raft.h"

#include <stdlib.h>
#include <string.h>

struct log_slot {
    uint64_t term;
    char *data;
    size_t size;
};

struct peer {
    uint64_t next;  /* index to send next */
    uint64_t match; /* highest index known to be on its disk */
    uint64_t round; /* last round it answered */
    uint64_t uid;   /* identity that match belongs to */
    bool voter;
    bool vacant; /* nobody holds the seat */
    bool granted;
    int64_t heard_at;
    int64_t sent_at;
    int64_t readmit_after; /* when to propose READMIT (again) */
};

struct mg_raft {
    unsigned id;
    unsigned n;
    mg_raft_callbacks *host;
    mg_clock *clock;
    mg_rng rng;
    mg_raft_meta meta;
    mg_raft_role role;
    unsigned leader;
    int64_t election_at;  /* when to stand for election */
    int64_t leader_heard; /* last contact with the leader */
    int64_t heartbeat_at; /* leader: next heartbeat */
    uint64_t round;
    uint64_t commit;
    uint64_t applied;
    uint64_t synced;     /* own entries known to be on disk */
    uint64_t lead_index; /* first entry of the leader's own term */
    bool dirty;          /* entries appended or cut since the last sync */
    bool reply_due;      /* follower owes an acknowledgement */
    uint64_t reply_round;
    uint64_t reply_match; /* what the leader's last append proved */
    bool stopped;
    /* log: slot i holds index snap_index + 1 + i */
    struct log_slot *log;
    size_t log_count;
    size_t log_cap;
    uint64_t snap_index;
    uint64_t snap_term;
    mg_buf snap;
    struct peer peers[MG_RAFT_MAX_MEMBERS + 1];
};

static void
become_leader(mg_raft *r);
static void
start_election(mg_raft *r, bool pre);

static unsigned
majority(const mg_raft *r)
{
    return r->n / 2 + 1;
}

static uint64_t
last_index(const mg_raft *r)
{
    return r->snap_index + r->log_count;
}

static uint64_t
term_at(const mg_raft *r, uint64_t index)
{
    if (index == r->snap_index) {
        return r->snap_term;
    }
    if (index < r->snap_index || index > last_index(r)) {
        return 0;
    }
    return r->log[index - r->snap_index - 1].term;
}

static bool
check_storage(mg_raft *r, mg_rc rc)
{
    if (rc != MG_OK && !r->stopped) {
        r->stopped = true;
        r->host->failed(r->host, rc);
    }
    return rc == MG_OK;
}

static bool
save_meta(mg_raft *r)
{
    return check_storage(r, r->host->save_meta(r->host, &r->meta));
}

static void
set_election_timer(mg_raft *r, uint32_t min_ms, uint32_t max_ms)
{
    r->election_at =
        mg_now(r->clock) + min_ms + mg_rng_below(&r->rng, max_ms - min_ms);
}

static void
reset_election_timer(mg_raft *r)
{
    set_election_timer(r, MG_RAFT_ELECTION_MIN_MS, MG_RAFT_ELECTION_MAX_MS);
}

/* pre-votes disturb nobody: they may be asked for sooner */
static void
set_retry_timer(mg_raft *r)
{
    set_election_timer(r, MG_RAFT_PREVOTE_MIN_MS, MG_RAFT_PREVOTE_MAX_MS);
}

static void
set_role(mg_raft *r, mg_raft_role role)
{
    if (r->role != role) {
        r->role = role;
        r->host->role_changed(r->host, role, r->meta.term);
    }
}

/* follows a term that is at least the own one */
static void
become_follower(mg_raft *r, uint64_t term, unsigned leader)
{
    if (term > r->meta.term) {
        r->meta.term = term;
        r->meta.vote = 0;
        if (!save_meta(r)) {
            return;
        }
        /* what an older leader proved says nothing to the new one */
        r->reply_due = false;
        r->reply_match = 0;
    }
    r->leader = leader;
    set_role(r, MG_RAFT_FOLLOWER);
}

static void
store_slot(mg_raft *r, uint64_t term, mg_str data)
{
    if (r->log_count == r->log_cap) {
        r->log_cap = r->log_cap ? r->log_cap * 2 : 256;
        r->log = mg_realloc(r->log, r->log_cap * sizeof(*r->log));
    }
    struct log_slot *s = &r->log[r->log_count++];
    s->term = term;
    s->size = data.n;
    s->data = mg_alloc(data.n);
    if (data.n > 0) {
        memcpy(s->data, data.p, data.n);
    }
}

static mg_raft_entry
entry_at(const mg_raft *r, uint64_t index)
{
    const struct log_slot *s = &r->log[index - r->snap_index - 1];
    return (mg_raft_entry){s->term, index, {s->data, s->size}};
}

static bool
append_entry(mg_raft *r, uint64_t term, mg_str data)
{
    store_slot(r, term, data);
    mg_raft_entry e = entry_at(r, last_index(r));
    r->dirty = true;
    return check_storage(r, r->host->append(r->host, &e));
}

static bool
cut_log(mg_raft *r, uint64_t index)
{
    MG_INVARIANT(index > r->commit);
    while (last_index(r) >= index) {
        free(r->log[--r->log_count].data);
    }
    if (r->synced >= index) {
        r->synced = index - 1;
    }
    r->dirty = true;
    return check_storage(r, r->host->truncate(r->host, index));
}

static void
drop_log(mg_raft *r)
{
    while (r->log_count > 0) {
        free(r->log[--r->log_count].data);
    }
}

/* a readmitted member votes and counts from here on */
static void
apply_readmit(mg_raft *r, const mg_msg *m)
{
    if (m->u.cmd_readmit.node == r->id &&
        m->u.cmd_readmit.uid == r->meta.uid && !r->meta.voter) {
        r->meta.voter = 1;
        save_meta(r);
    }
}

static void
apply_committed(mg_raft *r)
{
    while (r->applied < r->commit && !r->stopped) {
        mg_raft_entry e = entry_at(r, r->applied + 1);
        mg_msg m;
        if (mg_msg_decode(e.data, &m) == MG_OK &&
            m.type == MG_MSG_CMD_READMIT) {
            apply_readmit(r, &m);
        }
        r->applied++;
        r->host->apply(r->host, &e);
    }
}

/* the highest value that a majority has reached; own is this member's */
static uint64_t
majority_value(const mg_raft *r, uint64_t own,
               uint64_t (*value)(const struct peer *p))
{
    uint64_t sorted[MG_RAFT_MAX_MEMBERS] = {0};
    unsigned k = 0;
    for (unsigned i = 1; i <= r->n; i++) {
        uint64_t v = i == r->id          ? (r->meta.voter ? own : 0)
                     : r->peers[i].voter ? value(&r->peers[i])
                                         : 0;
        unsigned at = k++;
        while (at > 0 && sorted[at - 1] < v) {
            sorted[at] = sorted[at - 1];
            at--;
        }
        sorted[at] = v;
    }
    return sorted[majority(r) - 1];
}

static uint64_t
peer_match(const struct peer *p)
{
    return p->match;
}

static uint64_t
peer_round(const struct peer *p)
{
    return p->round;
}

static void
advance_commit(mg_raft *r)
{
    if (r->role != MG_RAFT_LEADER) {
        return;
    }
    uint64_t index = majority_value(r, r->synced, peer_match);
    /* only entries of the own term are committed by counting */
    if (index > r->commit && term_at(r, index) == r->meta.term) {
        r->commit = index;
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
    r->peers[to].next = r->snap_index + 1;
    r->peers[to].sent_at = mg_now(r->clock);
    r->host->send(r->host, to, &m);
}

static void
send_append(mg_raft *r, unsigned to)
{
    struct peer *p = &r->peers[to];
    if (p->vacant) {
        return;
    }
    if (p->next <= r->snap_index) {
        send_snapshot(r, to);
        return;
    }
    mg_msg m = {.type = MG_MSG_APPEND};
    m.u.append.term = r->meta.term;
    m.u.append.prev_index = p->next - 1;
    m.u.append.prev_term = term_at(r, p->next - 1);
    m.u.append.commit = r->commit;
    m.u.append.round = r->round;
    mg_buf entries = {0};
    while (p->next <= last_index(r) && entries.n < MG_RAFT_BATCH_BYTES) {
        mg_raft_entry e = entry_at(r, p->next++);
        mg_msg em = {.type = MG_MSG_LOG_ENTRY};
        em.u.log_entry.term = e.term;
        em.u.log_entry.index = e.index;
        em.u.log_entry.data = e.data;
        mg_msg_encode(&em, &entries);
    }
    m.u.append.entries = mg_str_buf(&entries);
    p->sent_at = mg_now(r->clock);
    r->host->send(r->host, to, &m);
    mg_buf_free(&entries);
}

static void
send_to_all(mg_raft *r)
{
    for (unsigned i = 1; i <= r->n; i++) {
        if (i != r->id) {
            send_append(r, i);
        }
    }
    r->heartbeat_at = mg_now(r->clock) + MG_RAFT_HEARTBEAT_MS;
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
    r->host->send(r->host, to, &m);
}

/* ----------------------------------------------------------- election */

static bool
log_is_current(const mg_raft *r, uint64_t index, uint64_t term)
{
    uint64_t own = term_at(r, last_index(r));
    return term > own || (term == own && index >= last_index(r));
}

static unsigned
count_granted(const mg_raft *r)
{
    unsigned n = 0;
    for (unsigned i = 1; i <= r->n; i++) {
        n += r->peers[i].granted;
    }
    return n;
}

static void
win_if_elected(mg_raft *r)
{
    if (count_granted(r) < majority(r)) {
        return;
    }
    if (r->role == MG_RAFT_PRE_CANDIDATE) {
        start_election(r, false);
    }
    else if (r->role == MG_RAFT_CANDIDATE) {
        become_leader(r);
    }
}

static void
start_election(mg_raft *r, bool pre)
{
    if (!pre) {
        r->meta.term++;
        r->meta.vote = r->id;
        if (!save_meta(r)) {
            return;
        }
    }
    r->leader = 0;
    if (pre) {
        set_retry_timer(r);
    }
    else {
        reset_election_timer(r);
    }
    set_role(r, pre ? MG_RAFT_PRE_CANDIDATE : MG_RAFT_CANDIDATE);
    for (unsigned i = 1; i <= r->n; i++) {
        r->peers[i].granted = i == r->id;
    }
    mg_msg m = {.type = MG_MSG_VOTE_REQ};
    m.u.vote_req.term = r->meta.term + pre;
    m.u.vote_req.last_index = last_index(r);
    m.u.vote_req.last_term = term_at(r, last_index(r));
    m.u.vote_req.pre = pre;
    for (unsigned i = 1; i <= r->n; i++) {
        if (i != r->id) {
            r->host->send(r->host, i, &m);
        }
    }
    win_if_elected(r);
}

static void
become_leader(mg_raft *r)
{
    int64_t now = mg_now(r->clock);
    r->leader = r->id;
    for (unsigned i = 1; i <= r->n; i++) {
        struct peer *p = &r->peers[i];
        *p = (struct peer){.vacant = p->vacant};
        p->next = last_index(r) + 1;
        p->heard_at = now;
    }
    r->lead_index = last_index(r) + 1;
    set_role(r, MG_RAFT_LEADER);
    /* an entry of the own term, so that older ones can be committed */
    mg_msg m = {.type = MG_MSG_CMD_NOOP};
    m.u.cmd_noop.term = r->meta.term;
    mg_buf data = {0};
    mg_msg_encode(&m, &data);
    append_entry(r, r->meta.term, mg_str_buf(&data));
    mg_buf_free(&data);
    send_to_all(r);
}

static bool
may_grant(const mg_raft *r, unsigned from, const mg_vote_req_msg *q)
{
    if (!r->meta.voter || !log_is_current(r, q->last_index, q->last_term)) {
        return false;
    }
    if (q->pre) {
        /* a member that hears a leader does not help to replace it */
        bool hears =
            r->role == MG_RAFT_LEADER ||
            mg_now(r->clock) - r->leader_heard < MG_RAFT_ELECTION_MIN_MS;
        return q->term > r->meta.term && !hears;
    }
    return q->term == r->meta.term &&
           (r->meta.vote == 0 || r->meta.vote == from);
}

static void
on_vote_req(mg_raft *r, unsigned from, const mg_vote_req_msg *q)
{
    if (!q->pre && q->term > r->meta.term) {
        become_follower(r, q->term, 0);
    }
    bool grant = may_grant(r, from, q);
    if (grant && !q->pre) {
        r->meta.vote = from;
        if (!save_meta(r)) {
            return;
        }
        reset_election_timer(r);
    }
    mg_msg m = {.type = MG_MSG_VOTE_REP};
    m.u.vote_rep.term = q->pre && grant ? q->term : r->meta.term;
    m.u.vote_rep.granted = grant;
    m.u.vote_rep.pre = q->pre;
    r->host->send(r->host, from, &m);
}

static void
on_vote_rep(mg_raft *r, unsigned from, const mg_vote_rep_msg *p)
{
    bool pre = r->role == MG_RAFT_PRE_CANDIDATE;
    if (!p->granted && p->term > r->meta.term) {
        become_follower(r, p->term, 0);
        return;
    }
    if (!p->granted || p->pre != pre ||
        p->term != r->meta.term + (pre ? 1 : 0)) {
        return;
    }
    if (pre || r->role == MG_RAFT_CANDIDATE) {
        r->peers[from].granted = true;
        win_if_elected(r);
    }
}

/* ---------------------------------------------------------- following */

/* keeps what agrees, cuts what differs, appends the rest */
static bool
take_entries(mg_raft *r, mg_str rest, uint64_t *match)
{
    mg_msg m;
    mg_rc rc;
    while ((rc = mg_msg_next(&rest, &m)) == MG_OK) {
        const mg_log_entry_msg *e = &m.u.log_entry;
        if (m.type != MG_MSG_LOG_ENTRY || e->index != *match + 1) {
            return false;
        }
        *match = e->index;
        if (e->index <= r->commit) {
            continue;
        }
        if (e->index <= last_index(r)) {
            if (term_at(r, e->index) == e->term) {
                continue;
            }
            if (!cut_log(r, e->index)) {
                return false;
            }
        }
        if (!append_entry(r, e->term, e->data)) {
            return false;
        }
    }
    return rc == MG_E_CLOSED;
}

static void
hear_leader(mg_raft *r, unsigned from, uint64_t term)
{
    become_follower(r, term, from);
    r->leader_heard = mg_now(r->clock);
    reset_election_timer(r);
}

static void
on_append(mg_raft *r, unsigned from, const mg_append_msg *a)
{
    if (a->term < r->meta.term) {
        send_append_rep(r, from, false, 0, 0);
        return;
    }
    hear_leader(r, from, a->term);
    if (r->stopped) {
        return;
    }
    uint64_t match = a->prev_index;
    bool agrees = a->prev_index <= r->commit ||
                  (a->prev_index <= last_index(r) &&
                   term_at(r, a->prev_index) == a->prev_term);
    if (!agrees) {
        uint64_t hint = a->prev_index - 1;
        if (hint > last_index(r)) {
            hint = last_index(r);
        }
        if (hint < r->commit) {
            hint = r->commit;
        }
        send_append_rep(r, from, false, hint, a->round);
        return;
    }
    if (!take_entries(r, a->entries, &match)) {
        return;
    }
    uint64_t commit = a->commit < match ? a->commit : match;
    if (commit > r->commit) {
        r->commit = commit;
    }
    if (match > r->reply_match) {
        r->reply_match = match;
    }
    r->reply_due = true;
    r->reply_round = a->round;
    apply_committed(r);
}

/* keeps the snapshot and the log behind it, up to index dropped */
static void
set_snapshot(mg_raft *r, uint64_t index, uint64_t term, mg_str data)
{
    size_t drop = (size_t)(index - r->snap_index);
    drop = drop < r->log_count ? drop : r->log_count;
    for (size_t i = 0; i < drop; i++) {
        free(r->log[i].data);
    }
    memmove(r->log, r->log + drop, (r->log_count - drop) * sizeof(*r->log));
    r->log_count -= drop;
    r->snap_index = index;
    r->snap_term = term;
    r->snap.n = 0;
    mg_buf_put(&r->snap, data.p, data.n);
}

static bool
install_snapshot(mg_raft *r, const mg_snapshot_msg *s)
{
    /* entries behind it that agree may have been acknowledged */
    bool agrees = s->last_index <= last_index(r) &&
                  term_at(r, s->last_index) == s->last_term;
    if (!agrees && last_index(r) > r->commit && !cut_log(r, r->commit + 1)) {
        return false;
    }
    if (!check_storage(r, r->host->save_snapshot(r->host, s->last_index,
                                                 s->last_term, s->data))) {
        return false;
    }
    set_snapshot(r, s->last_index, s->last_term, s->data);
    r->commit = s->last_index;
    r->applied = s->last_index;
    r->synced = agrees ? r->synced : s->last_index;
    if (r->synced < s->last_index) {
        r->synced = s->last_index;
    }
    r->host->restore(r->host, s->data);
    return true;
}

static void
on_snapshot(mg_raft *r, unsigned from, const mg_snapshot_msg *s)
{
    if (s->term < r->meta.term) {
        send_append_rep(r, from, false, 0, 0);
        return;
    }
    hear_leader(r, from, s->term);
    if (s->last_index > r->commit && !r->stopped && !install_snapshot(r, s)) {
        return;
    }
    if (s->last_index > r->reply_match) {
        r->reply_match = s->last_index;
    }
    r->reply_due = true;
    r->reply_round = s->round;
}

/* ------------------------------------------------------------ leading */

static void
propose_readmit(mg_raft *r, unsigned node, uint64_t uid)
{
    mg_msg m = {.type = MG_MSG_CMD_READMIT};
    m.u.cmd_readmit.node = node;
    m.u.cmd_readmit.uid = uid;
    mg_buf data = {0};
    mg_msg_encode(&m, &data);
    append_entry(r, r->meta.term, mg_str_buf(&data));
    mg_buf_free(&data);
    r->peers[node].readmit_after = mg_now(r->clock) + MG_RAFT_READMIT_RETRY_MS;
}

static void
on_append_rep(mg_raft *r, unsigned from, const mg_append_rep_msg *p)
{
    if (p->term > r->meta.term) {
        become_follower(r, p->term, 0);
        return;
    }
    if (r->role != MG_RAFT_LEADER || p->term < r->meta.term) {
        return;
    }
    struct peer *peer = &r->peers[from];
    peer->heard_at = mg_now(r->clock);
    if (peer->uid != p->uid) {
        /* another disk: nothing that the old one held counts */
        peer->uid = p->uid;
        peer->match = 0;
        peer->round = 0;
        peer->readmit_after = 0;
    }
    peer->voter = p->voter;
    if (p->round > peer->round && p->round <= r->round) {
        peer->round = p->round;
    }
    if (!p->ok) {
        uint64_t next = p->match + 1;
        peer->next = next > peer->match ? next : peer->match + 1;
        if (peer->next > last_index(r) + 1) {
            peer->next = last_index(r) + 1;
        }
        send_append(r, from);
        return;
    }
    if (p->match > peer->match && p->match <= last_index(r)) {
        peer->match = p->match;
    }
    if (peer->next <= peer->match) {
        peer->next = peer->match + 1;
    }
    if (!peer->voter && peer->match >= r->commit &&
        mg_now(r->clock) >= peer->readmit_after && mg_raft_ready(r)) {
        propose_readmit(r, from, peer->uid);
    }
    advance_commit(r);
}

static bool
has_quorum_contact(const mg_raft *r, int64_t now)
{
    unsigned n = 1;
    for (unsigned i = 1; i <= r->n; i++) {
        n += i != r->id && !r->peers[i].vacant &&
             now - r->peers[i].heard_at < MG_RAFT_ELECTION_MAX_MS;
    }
    return n >= majority(r);
}

static void
resend_unanswered(mg_raft *r, int64_t now)
{
    for (unsigned i = 1; i <= r->n; i++) {
        struct peer *p = &r->peers[i];
        if (i != r->id && p->match < last_index(r) &&
            now - p->heard_at > 3 * MG_RAFT_HEARTBEAT_MS) {
            p->next = p->match + 1;
        }
    }
}

static void
tick_leader(mg_raft *r, int64_t now)
{
    if (!has_quorum_contact(r, now)) {
        become_follower(r, r->meta.term, 0);
        reset_election_timer(r);
        return;
    }
    if (now >= r->heartbeat_at) {
        resend_unanswered(r, now);
        r->round++;
        send_to_all(r);
    }
}

void
mg_raft_set_voter_slot(mg_raft *r, unsigned seat, bool taken)
{
    MG_INVARIANT(seat >= 1 && seat <= MG_RAFT_MAX_MEMBERS && seat != r->id);
    if (seat > r->n) {
        r->n = seat;
    }
    r->peers[seat] = (struct peer){
        .next = last_index(r) + 1,
        .vacant = !taken,
        .heard_at = mg_now(r->clock),
    };
}

int64_t
mg_raft_contact_age_ms(const mg_raft *r, unsigned seat)
{
    return seat == r->id ? 0 : mg_now(r->clock) - r->peers[seat].heard_at;
}

bool
mg_raft_all_members_vote(const mg_raft *r)
{
    for (unsigned i = 1; i <= r->n; i++) {
        if (i != r->id && !r->peers[i].vacant && !r->peers[i].voter) {
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
    else if (now >= r->election_at) {
        set_retry_timer(r);
        if (r->meta.voter) {
            start_election(r, true);
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
    switch (m->type) {
    case MG_MSG_VOTE_REQ:
        on_vote_req(r, from, &m->u.vote_req);
        break;
    case MG_MSG_VOTE_REP:
        on_vote_rep(r, from, &m->u.vote_rep);
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
    if (!append_entry(r, r->meta.term, data)) {
        return MG_E_IO;
    }
    *index = last_index(r);
    *term = r->meta.term;
    return MG_OK;
}

static void
send_new_entries(mg_raft *r)
{
    for (unsigned i = 1; i <= r->n; i++) {
        if (i != r->id && r->peers[i].next <= last_index(r)) {
            send_append(r, i);
        }
    }
}

void
mg_raft_flush(mg_raft *r)
{
    if (r->stopped) {
        return;
    }
    if (r->role == MG_RAFT_LEADER) {
        /* followers write while this member does */
        send_new_entries(r);
    }
    if (r->dirty) {
        if (!check_storage(r, r->host->sync(r->host))) {
            return;
        }
        r->dirty = false;
        r->synced = last_index(r);
        advance_commit(r);
    }
    if (r->reply_due && r->leader != 0 && r->role == MG_RAFT_FOLLOWER) {
        r->reply_due = false;
        send_append_rep(r, r->leader, true, r->reply_match, r->reply_round);
    }
}

void
mg_raft_compact(mg_raft *r, mg_str state)
{
    uint64_t index = r->applied;
    uint64_t term = term_at(r, index);
    if (index <= r->snap_index || r->stopped) {
        return;
    }
    if (!check_storage(r,
                       r->host->save_snapshot(r->host, index, term, state))) {
        return;
    }
    set_snapshot(r, index, term, state);
}

uint64_t
mg_raft_start_round(mg_raft *r)
{
    r->round++;
    if (r->role == MG_RAFT_LEADER) {
        send_to_all(r);
    }
    return r->round;
}

uint64_t
mg_raft_confirmed_round(const mg_raft *r)
{
    if (r->role != MG_RAFT_LEADER) {
        return 0;
    }
    return majority_value(r, r->round, peer_round);
}

mg_raft *
mg_raft_new(const mg_raft_options *opts)
{
    MG_INVARIANT(opts->members <= MG_RAFT_MAX_MEMBERS && opts->id >= 1 &&
                 opts->id <= opts->members);
    mg_raft *r = mg_alloc(sizeof(*r));
    r->id = opts->id;
    r->n = opts->members;
    r->host = opts->callbacks;
    r->clock = opts->clock;
    mg_rng_init(&r->rng, opts->seed);
    r->meta = opts->meta;
    r->snap_index = opts->snapshot_index;
    r->snap_term = opts->snapshot_term;
    mg_buf_put(&r->snap, opts->snapshot.p, opts->snapshot.n);
    r->commit = r->snap_index;
    r->applied = r->snap_index;
    for (size_t i = 0; i < opts->entry_count; i++) {
        MG_INVARIANT(opts->entries[i].index == last_index(r) + 1);
        store_slot(r, opts->entries[i].term, opts->entries[i].data);
    }
    r->synced = last_index(r);
    r->leader_heard = mg_now(r->clock) - MG_RAFT_ELECTION_MIN_MS;
    set_retry_timer(r);
    if (r->snap_index > 0) {
        r->host->restore(r->host, mg_str_buf(&r->snap));
    }
    if (opts->commit_index > r->commit) {
        r->commit = opts->commit_index < last_index(r) ? opts->commit_index
                                                       : last_index(r);
        apply_committed(r);
    }
    return r;
}

void
mg_raft_free(mg_raft *r)
{
    if (r == NULL) {
        return;
    }
    drop_log(r);
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
    return r->applied;
}

uint64_t
mg_raft_commit_index(const mg_raft *r)
{
    return r->commit;
}

uint64_t
mg_raft_last_index(const mg_raft *r)
{
    return last_index(r);
}

size_t
mg_raft_log_length(const mg_raft *r)
{
    return r->log_count;
}

bool
mg_raft_is_voter(const mg_raft *r)
{
    return r->meta.voter;
}

bool
mg_raft_ready(const mg_raft *r)
{
    return r->role == MG_RAFT_LEADER && r->applied >= r->lead_index;
}
