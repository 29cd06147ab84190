/*
 * Random histories of a group with five hosts that have disks and three voter
 * slots. Hosts crash, restart, lose their disks, and are isolated from the
 * network for a time, while the leader removes and assigns voters. Guards
 * against two majorities of different voters: no two hosts may ever apply
 * different entries. After all faults end, all voters must vote and have
 * applied every entry.
 */
#include "suite.h"

#include "control/raft.h"
#include "group/voters.h"

#define HOSTS 5
#define HOSTS_MAX 6
#define VOTERS 3
#define STEPS 700
/* long enough to replace a dead voter */
#define ORDERED_STEPS 150
/* long enough to move all voters to other hosts */
#define MOVE_STEPS 300
#define PACKETS_MAX 96
#define MEMORY_HISTORIES 1000
#define LOG_MAX 2048

struct host {
    mg_raft_callbacks callbacks; /* first member: they cast it to host */
    int index;
    char name[8];
    mg_raft *raft;
    mg_voters voters;
    unsigned slot;
    bool isolated;
    bool in_memory; /* has no disk: a crash loses its log */
    bool slot_changed;
    /* disk */
    mg_raft_meta meta;
    mg_raft_entry entries[LOG_MAX];
    size_t count;
    size_t synced;
    mg_voters saved_voters;
    /* state */
    uint64_t applied;
    uint64_t digest;
};

struct packet {
    int from;
    int to;
    mg_buf bytes;
};

static struct {
    mg_manual_clock clock;
    mg_rng rng;
    int host_count;
    struct host hosts[HOSTS_MAX];
    struct packet packets[PACKETS_MAX];
    size_t packet_count;
    uint64_t digest[LOG_MAX];
    uint64_t max_applied;
    uint64_t next_value;
    unsigned assigned_count;
    /* a disk may be lost while another voter is down or isolated */
    bool overlapping_faults;
    /* a host that lost its disk has other seeds than the first voters */
    bool exchanged_seeds;
    const char *violation;
} sim;

static struct host *
host_of(mg_raft_callbacks *cb)
{
    return (struct host *)cb;
}

static int
host_index(const char *name)
{
    return name[0] == 'h' ? name[1] - '0' : -1;
}

static void
send_message(mg_raft_callbacks *cb, unsigned to, const mg_msg *m)
{
    struct host *self = host_of(cb);
    int dest = host_index(self->voters.ip[to - 1]);
    if (sim.packet_count == PACKETS_MAX || dest < 0) {
        return;
    }
    struct packet *p = &sim.packets[sim.packet_count++];
    *p = (struct packet){self->index, dest, {0}};
    mg_msg_encode(m, &p->bytes);
}

static mg_rc
save_meta(mg_raft_callbacks *cb, const mg_raft_meta *meta)
{
    host_of(cb)->meta = *meta;
    return MG_OK;
}

static mg_rc
append_entry(mg_raft_callbacks *cb, const mg_raft_entry *e)
{
    struct host *self = host_of(cb);
    MG_INVARIANT(self->count < LOG_MAX && e->index == self->count + 1);
    mg_raft_entry copy = *e;
    char *data = mg_alloc(e->data.n);
    memcpy(data, e->data.p, e->data.n);
    copy.data.p = data;
    self->entries[self->count++] = copy;
    return MG_OK;
}

static void
drop_from(struct host *h, size_t at)
{
    while (h->count > at) {
        free((char *)h->entries[--h->count].data.p);
    }
    h->synced = h->synced < h->count ? h->synced : h->count;
}

static mg_rc
truncate_entries(mg_raft_callbacks *cb, uint64_t index)
{
    drop_from(host_of(cb), (size_t)index - 1);
    return MG_OK;
}

static mg_rc
sync_entries(mg_raft_callbacks *cb)
{
    host_of(cb)->synced = host_of(cb)->count;
    return MG_OK;
}

static mg_rc
save_snapshot(mg_raft_callbacks *cb, uint64_t index, uint64_t term,
              mg_str data)
{
    (void)cb;
    (void)index;
    (void)term;
    (void)data;
    return MG_E_IO; /* these histories take no snapshots */
}

/* Applies committed voters, as group.c does. */
static void
adopt_voters(struct host *h, const mg_voters *v)
{
    mg_voters old = h->voters;
    if (v->rev <= old.rev) {
        return;
    }
    h->voters = *v;
    h->saved_voters = *v;
    for (unsigned i = 0; i < v->count; i++) {
        if (i < old.count && strcmp(old.ip[i], v->ip[i]) == 0) {
            continue;
        }
        if (i + 1 == h->slot) {
            h->slot_changed = true;
        }
        else if (h->raft != NULL) {
            mg_raft_set_voter_slot(h->raft, i + 1, v->ip[i][0] != '\0');
        }
    }
}

static void
apply_entry(mg_raft_callbacks *cb, const mg_raft_entry *e)
{
    struct host *self = host_of(cb);
    mg_msg m;
    mg_voters v;
    self->applied++;
    self->digest = self->digest * 1000003 + (mg_hash(e->data) ^ e->term * 31);
    if (e->index != self->applied) {
        sim.violation = "applied out of order";
    }
    if (self->applied > sim.max_applied) {
        sim.max_applied = self->applied;
        sim.digest[self->applied] = self->digest;
    }
    else if (sim.digest[self->applied] != self->digest) {
        sim.violation = "two hosts applied different entries";
    }
    if (mg_msg_decode(e->data, &m) == MG_OK && m.type == MG_MSG_SEATS &&
        mg_voters_parse(&v, e->index, m.u.seats.holders) == MG_OK) {
        adopt_voters(self, &v);
    }
}

static void
restore_snapshot(mg_raft_callbacks *cb, mg_str data)
{
    (void)cb;
    (void)data;
}

static void
on_role_changed(mg_raft_callbacks *cb, mg_raft_role role, uint64_t term)
{
    (void)cb;
    (void)role;
    (void)term;
}

static void
on_storage_failed(mg_raft_callbacks *cb, mg_rc rc)
{
    (void)cb;
    (void)rc;
    sim.violation = "storage failed";
}

static void
stop_host(struct host *h, bool crash)
{
    mg_raft_free(h->raft);
    h->raft = NULL;
    h->slot = 0;
    h->slot_changed = false;
    h->applied = 0;
    h->digest = 0;
    if (crash) {
        size_t unsynced = h->count - h->synced;
        size_t keep =
            unsynced ? mg_rng_below(&sim.rng, (uint32_t)unsynced + 1) : 0;
        drop_from(h, h->synced + keep);
        h->voters = h->saved_voters;
    }
    h->synced = h->count;
}

/* Opens the log as group.c does: a host without a slot does not vote. */
static void
start_host(struct host *h)
{
    unsigned slot = mg_voters_slot_of(&h->voters, h->name);
    if (!mg_voters_keep_vote(&h->saved_voters, &h->voters, h->name)) {
        h->meta.voter = 0;
    }
    if (slot == 0 || !mg_voters_are_agreed(&h->voters, h->meta.voter)) {
        h->meta.voter = 0;
        return;
    }
    unsigned members = h->voters.count;
    h->slot = slot;
    h->raft = mg_raft_new(&(mg_raft_options){
        .id = slot,
        .members = members,
        .callbacks = &h->callbacks,
        .clock = &sim.clock.clock,
        .seed = mg_rng_below(&sim.rng, 1000000),
        .meta = h->meta,
        .entries = h->entries,
        .entry_count = h->count,
    });
    for (unsigned i = 0; i < h->voters.count; i++) {
        bool assigned = h->voters.ip[i][0] != '\0';
        if (i + 1 != slot && (!assigned || i >= members)) {
            mg_raft_set_voter_slot(h->raft, i + 1, assigned);
        }
    }
    h->saved_voters = h->voters;
}

static void
reopen_if_needed(struct host *h)
{
    if (h->raft != NULL && h->slot_changed) {
        stop_host(h, false);
        start_host(h);
    }
}

static unsigned
slot_of(const struct host *to, int from)
{
    return mg_voters_slot_of(&to->voters, sim.hosts[from].name);
}

static void
deliver(struct packet *p)
{
    struct host *to = &sim.hosts[p->to];
    mg_msg m;
    if (to->raft != NULL && !to->isolated && !sim.hosts[p->from].isolated &&
        mg_msg_decode(mg_str_buf(&p->bytes), &m) == MG_OK) {
        mg_raft_receive(to->raft, slot_of(to, p->from), &m);
        reopen_if_needed(to);
    }
}

static void
deliver_one(bool in_order)
{
    if (sim.packet_count == 0) {
        return;
    }
    size_t i =
        in_order ? 0 : mg_rng_below(&sim.rng, (uint32_t)sim.packet_count);
    struct packet p = sim.packets[i];
    memmove(sim.packets + i, sim.packets + i + 1,
            (--sim.packet_count - i) * sizeof(p));
    if (in_order || mg_rng_below(&sim.rng, 100) < 90) {
        deliver(&p);
    }
    mg_buf_free(&p.bytes);
}

static void
propose(struct host *h, const mg_msg *m)
{
    mg_buf data = {0};
    uint64_t index;
    uint64_t term;
    mg_msg_encode(m, &data);
    mg_raft_propose(h->raft, mg_str_buf(&data), &index, &term);
    mg_buf_free(&data);
}

static void
propose_value(struct host *h)
{
    mg_msg m = {.type = MG_MSG_CREDIT};
    m.u.credit.member = mg_str_of("v");
    m.u.credit.count = ++sim.next_value;
    propose(h, &m);
}

static size_t
candidates_for(const struct host *leader, mg_voter_candidate *out)
{
    size_t n = 0;
    for (int i = 0; i < sim.host_count; i++) {
        const struct host *h = &sim.hosts[i];
        if (h->raft == NULL && !h->isolated && !leader->isolated) {
            out[n] = (mg_voter_candidate){"", sim.clock.mono, !h->in_memory};
            snprintf(out[n++].ip, MG_NAME_SIZE, "%s", h->name);
        }
    }
    return n;
}

/* On the leader: proposes the next change, after the last is applied. */
static void
check_voters(struct host *h)
{
    mg_voter_candidate c[HOSTS_MAX];
    char ips[MG_VOTERS_MAX * MG_NAME_SIZE];
    if (!mg_raft_ready(h->raft) ||
        mg_raft_applied_index(h->raft) < mg_raft_last_index(h->raft)) {
        return;
    }
    mg_voters_view view = {
        .wanted = VOTERS,
        .own_slot = h->slot,
        .all_vote = mg_raft_all_members_vote(h->raft),
        .candidates = c,
        .candidate_count = candidates_for(h, c),
        .now_ms = sim.clock.mono,
    };
    for (unsigned i = 0; i < h->voters.count; i++) {
        int k = host_index(h->voters.ip[i]);
        view.age_ms[i] = mg_raft_contact_age_ms(h->raft, i + 1);
        view.in_memory[i] = k >= 0 && sim.hosts[k].in_memory;
    }
    for (int i = 0; i < sim.host_count; i++) {
        view.disks_exist = view.disks_exist || !sim.hosts[i].in_memory;
    }
    mg_voters_change change = mg_voters_plan_change(&h->voters, &view);
    if (change.kind == MG_VOTERS_KEEP) {
        return;
    }
    mg_voters v = h->voters;
    mg_voters_apply(&v, &change);
    mg_voters_print(&v, ips);
    mg_msg m = {.type = MG_MSG_SEATS};
    m.u.seats.holders = mg_str_of(ips);
    propose(h, &m);
    sim.assigned_count += change.kind == MG_VOTERS_ASSIGN;
}

/* Sends newer voters to a host, which deals with them as group.c does. */
static void
send_voters(const struct host *from, struct host *to)
{
    if (from->raft == NULL || from->isolated || to->isolated) {
        return;
    }
    switch (
        mg_voters_compare(&to->voters, to->slot, &from->voters, to->name)) {
    case MG_VOTERS_OLD:
        break;
    case MG_VOTERS_ADOPT:
        if (to->raft != NULL) {
            adopt_voters(to, &from->voters);
        }
        to->voters = from->voters;
        break;
    case MG_VOTERS_REOPEN:
        if (to->raft != NULL) {
            stop_host(to, false);
        }
        to->voters = from->voters;
        start_host(to);
        break;
    }
}

/* Returns the voters that were committed last. */
static const mg_voters *
newest_voters(void)
{
    const mg_voters *v = &sim.hosts[0].voters;
    for (int i = 1; i < sim.host_count; i++) {
        if (sim.hosts[i].voters.rev > v->rev) {
            v = &sim.hosts[i].voters;
        }
    }
    return v;
}

/* Loses all that a host has stored. If seeds are exchanged, those in its
   settings are any hosts by now, itself among them perhaps. */
static void
erase(struct host *h)
{
    char ips[MG_VOTERS_MAX * MG_NAME_SIZE] = "";
    drop_from(h, 0);
    h->meta = (mg_raft_meta){0, 0, mg_rng_below(&sim.rng, 1u << 30) + 1, 0};
    if (!sim.exchanged_seeds) {
        return;
    }
    int first = (int)mg_rng_below(&sim.rng, (uint32_t)sim.host_count);
    for (int i = 0; i < VOTERS; i++) {
        strcat(ips, i > 0 ? "," : "");
        strcat(ips, sim.hosts[(first + i) % sim.host_count].name);
    }
    mg_voters_parse(&h->voters, 0, mg_str_of(ips));
    h->saved_voters = h->voters;
}

/*
 * Erases the disk of h. Does nothing while a voter slot has no voter after an
 * earlier loss. Unless faults may overlap, it also does nothing while another
 * voter is isolated or down.
 */
static void
lose_disk(struct host *h)
{
    const mg_voters *v = newest_voters();
    for (unsigned i = 0; i < v->count; i++) {
        int k = host_index(v->ip[i]);
        if (k < 0 || !sim.hosts[k].meta.voter) {
            return;
        }
        if (!sim.overlapping_faults && &sim.hosts[k] != h &&
            (sim.hosts[k].isolated || sim.hosts[k].raft == NULL)) {
            return;
        }
    }
    if (h->raft != NULL) {
        stop_host(h, true);
    }
    erase(h);
}

static void
ordered_step(int step);

static void
random_step(void)
{
    struct host *h =
        &sim.hosts[mg_rng_below(&sim.rng, (uint32_t)sim.host_count)];
    uint32_t choice = mg_rng_below(&sim.rng, 1000);
    if (choice < 3) {
        lose_disk(h);
    }
    else if (choice < 15) {
        if (h->raft != NULL) {
            stop_host(h, true);
        }
    }
    else if (choice < 25) {
        h->isolated = choice < 18;
    }
    else if (choice < 40) {
        send_voters(
            &sim.hosts[mg_rng_below(&sim.rng, (uint32_t)sim.host_count)], h);
    }
    else if (h->raft == NULL) {
        if (choice < 300) {
            start_host(h);
        }
    }
    else if (choice < 300) {
        sim.clock.mono += mg_rng_below(&sim.rng, 200);
        mg_raft_tick(h->raft);
        reopen_if_needed(h);
    }
    else if (choice < 350) {
        propose_value(h);
    }
    else if (choice < 400) {
        check_voters(h);
    }
    else if (choice < 620) {
        mg_raft_flush(h->raft);
        reopen_if_needed(h);
    }
    else if (choice < 996) {
        deliver_one(false);
    }
    else {
        for (int step = 0; step < ORDERED_STEPS; step++) {
            ordered_step(step);
        }
    }
}

static bool
is_healed(void)
{
    const mg_voters *v = NULL;
    for (int i = 0; i < sim.host_count; i++) {
        const struct host *h = &sim.hosts[i];
        if (h->raft != NULL && (v == NULL || h->voters.rev > v->rev)) {
            v = &h->voters;
        }
    }
    for (unsigned i = 0; v != NULL && i < v->count; i++) {
        int k = host_index(v->ip[i]);
        if (k < 0 || sim.hosts[k].raft == NULL ||
            sim.hosts[k].applied != sim.max_applied ||
            !mg_raft_is_voter(sim.hosts[k].raft)) {
            return false;
        }
    }
    return v != NULL;
}

/* A step with ordered, lossless delivery; isolated hosts stay isolated. */
static void
ordered_step(int step)
{
    sim.clock.mono += 40;
    for (int i = 0; i < sim.host_count; i++) {
        struct host *h = &sim.hosts[i];
        send_voters(&sim.hosts[step % sim.host_count], h);
        if (h->raft == NULL) {
            continue;
        }
        mg_raft_tick(h->raft);
        if (step % 5 == 0) {
            check_voters(h);
        }
        mg_raft_flush(h->raft);
        reopen_if_needed(h);
    }
    for (int k = 0; k < 500 && sim.packet_count > 0; k++) {
        deliver_one(true);
    }
}

static void
heal(void)
{
    for (int i = 0; i < sim.host_count; i++) {
        sim.hosts[i].isolated = false;
    }
    for (int step = 0; step < 1500 && sim.violation == NULL; step++) {
        for (int i = 0; i < sim.host_count; i++) {
            if (sim.hosts[i].raft == NULL) {
                start_host(&sim.hosts[i]);
            }
        }
        ordered_step(step);
        if (step > 250 && step % 50 == 0 && is_healed()) {
            return;
        }
    }
    if (sim.violation == NULL) {
        sim.violation = "the healed group did not converge";
    }
}

static void
set_up(uint64_t seed, int host_count)
{
    memset(&sim, 0, sizeof(sim));
    sim.host_count = host_count;
    mg_manual_clock_init(&sim.clock);
    mg_rng_init(&sim.rng, seed);
    for (int i = 0; i < sim.host_count; i++) {
        struct host *h = &sim.hosts[i];
        h->callbacks = (mg_raft_callbacks){
            send_message,    save_meta,        append_entry, truncate_entries,
            sync_entries,    save_snapshot,    apply_entry,  restore_snapshot,
            on_role_changed, on_storage_failed};
        h->index = i;
        snprintf(h->name, sizeof(h->name), "h%d", i);
        mg_voters_parse(&h->voters, 0, mg_str_of("h0,h1,h2"));
        h->saved_voters = h->voters;
        h->meta.uid = 100 + (uint64_t)i;
        h->meta.voter = i < VOTERS;
        start_host(h);
    }
}

static void
tear_down(void)
{
    for (int i = 0; i < sim.host_count; i++) {
        mg_raft_free(sim.hosts[i].raft);
        drop_from(&sim.hosts[i], 0);
    }
    while (sim.packet_count > 0) {
        mg_buf_free(&sim.packets[--sim.packet_count].bytes);
    }
}

static unsigned total_assigned;

static const char *
run_history(uint64_t seed, bool overlapping_faults, bool exchanged_seeds)
{
    set_up(seed, HOSTS);
    sim.overlapping_faults = overlapping_faults;
    sim.exchanged_seeds = exchanged_seeds;
    for (int i = 0; i < STEPS && sim.violation == NULL; i++) {
        random_step();
    }
    if (sim.violation == NULL) {
        heal();
    }
    total_assigned += sim.assigned_count;
    tear_down();
    return sim.violation;
}

static const char *
history(uint64_t seed)
{
    return run_history(seed, false, false);
}

static const char *
overlapping_history(uint64_t seed)
{
    return run_history(seed, true, false);
}

static const char *
exchanged_seeds_history(uint64_t seed)
{
    return run_history(seed, false, true);
}

static const char *
exchanged_overlapping_history(uint64_t seed)
{
    return run_history(seed, true, true);
}

static void
test_overlapping_faults(void)
{
    run_histories(overlapping_history, HISTORIES);
}

/* Guards against a host that lost its disk, takes its seeds for the voters and
   so never gets the log. */
static void
test_exchanged_seeds(void)
{
    run_histories(exchanged_seeds_history, HISTORIES);
}

static void
test_exchanged_overlapping(void)
{
    run_histories(exchanged_overlapping_history, HISTORIES);
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
    CU_ASSERT_TRUE(getenv("SEED") != NULL || total_assigned > HISTORIES / 10);
}

/* Crashes a host without a disk: it starts again as one that lost its disk. */
static void
lose_memory(struct host *h)
{
    if (h->raft != NULL) {
        stop_host(h, true);
    }
    erase(h);
}

/*
 * The seeds, and so the first voters, have no disk; three other hosts have
 * one. Once the voters have moved there, all hosts without a disk crash at the
 * same moment, again and again. Guards against a group that has lost its log
 * although no disk was lost.
 */
static const char *
memory_seeds_history(uint64_t seed)
{
    set_up(seed, HOSTS_MAX);
    for (int i = 0; i < VOTERS; i++) {
        sim.hosts[i].in_memory = true;
    }
    for (int step = 0; step < MOVE_STEPS; step++) {
        ordered_step(step);
    }
    for (int i = 0; i < STEPS && sim.violation == NULL; i++) {
        struct host *h = &sim.hosts[mg_rng_below(&sim.rng, HOSTS_MAX)];
        if (mg_rng_below(&sim.rng, 100) == 0) {
            for (int k = 0; k < VOTERS; k++) {
                lose_memory(&sim.hosts[k]);
            }
        }
        if (h->raft == NULL) {
            start_host(h);
        }
        else if (mg_rng_below(&sim.rng, 100) == 0 && !h->in_memory) {
            stop_host(h, true);
        }
        else if (mg_raft_get_role(h->raft) == MG_RAFT_LEADER) {
            propose_value(h);
        }
        ordered_step(i);
    }
    if (sim.violation == NULL) {
        heal();
    }
    const mg_voters *v = newest_voters();
    for (unsigned i = 0; i < v->count && sim.violation == NULL; i++) {
        int k = host_index(v->ip[i]);
        if (k >= 0 && sim.hosts[k].in_memory) {
            sim.violation = "a host without a disk has kept its slot";
        }
    }
    tear_down();
    return sim.violation;
}

static void
test_memory_seeds(void)
{
    run_histories(memory_seeds_history, MEMORY_HISTORIES);
}

static mg_voters_view
view_of(unsigned wanted, bool all_vote, mg_voter_candidate *c, size_t n,
        int64_t now)
{
    return (mg_voters_view){
        .wanted = wanted,
        .own_slot = 1,
        .all_vote = all_vote,
        .candidates = c,
        .candidate_count = n,
        .now_ms = now,
    };
}

static void
test_plan(void)
{
    mg_voters v;
    mg_voter_candidate c[2] = {{"h4", 1000, false}, {"h0", 1000, false}};
    CU_ASSERT_EQUAL(mg_voters_parse(&v, 3, mg_str_of("h0,h1,h2")), MG_OK);
    /* there is no candidate to replace the dead voter */
    mg_voters_view view = view_of(3, true, c, 0, 1000);
    view.age_ms[2] = 9000;
    CU_ASSERT_EQUAL(mg_voters_plan_change(&v, &view).kind, MG_VOTERS_KEEP);
    /* a candidate that was not seen recently is ignored */
    view.candidate_count = 2;
    view.now_ms = 9000;
    CU_ASSERT_EQUAL(mg_voters_plan_change(&v, &view).kind, MG_VOTERS_KEEP);
    view.now_ms = 1000;
    view.all_vote = false;
    mg_voters_change p = mg_voters_plan_change(&v, &view);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_REMOVE);
    CU_ASSERT_EQUAL(p.slot, 2);
    mg_voters_apply(&v, &p);
    p = mg_voters_plan_change(&v, &view);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_ASSIGN);
    CU_ASSERT_STRING_EQUAL(p.ip, "h4");
    mg_voters_apply(&v, &p);
    CU_ASSERT_EQUAL(mg_voters_slot_of(&v, "h4"), 3);
    /* a slot is added only when all voters vote */
    view = view_of(5, false, c, 1, 1000);
    snprintf(c[0].ip, MG_NAME_SIZE, "h5");
    CU_ASSERT_EQUAL(mg_voters_plan_change(&v, &view).kind, MG_VOTERS_KEEP);
    view.all_vote = true;
    CU_ASSERT_EQUAL(mg_voters_plan_change(&v, &view).kind, MG_VOTERS_ADD_SLOT);
}

/* A voter without a disk gives way to a host with one, the leader last; if
   there is no such host any more, its slot becomes vacant. */
static void
test_plan_disks(void)
{
    mg_voters v;
    mg_voter_candidate c[2] = {{"h3", 1000, false}, {"h4", 1000, true}};
    CU_ASSERT_EQUAL(mg_voters_parse(&v, 3, mg_str_of("h0,h1,h2")), MG_OK);
    mg_voters_view view = view_of(5, true, c, 2, 1000);
    view.disks_exist = true;
    view.in_memory[0] = view.in_memory[1] = true;
    CU_ASSERT_TRUE(mg_voters_lack_disks(&v, &view));
    mg_voters_change p = mg_voters_plan_change(&v, &view);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_REMOVE);
    CU_ASSERT_EQUAL(p.slot, 1);
    /* not while a voter is silent or still catching up */
    view.age_ms[2] = 900;
    CU_ASSERT_EQUAL(mg_voters_plan_change(&v, &view).kind, MG_VOTERS_KEEP);
    view.age_ms[2] = 0;
    view.all_vote = false;
    CU_ASSERT_EQUAL(mg_voters_plan_change(&v, &view).kind, MG_VOTERS_KEEP);
    view.all_vote = true;
    mg_voters_apply(&v, &p);
    /* the host without a disk gets no slot */
    view.in_memory[1] = false;
    p = mg_voters_plan_change(&v, &view);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_ASSIGN);
    CU_ASSERT_STRING_EQUAL(p.ip, "h4");
    mg_voters_apply(&v, &p);
    /* no further host with a disk: the leader's slot becomes vacant */
    view.candidate_count = 1;
    p = mg_voters_plan_change(&v, &view);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_REMOVE);
    CU_ASSERT_EQUAL(p.slot, 0);
    mg_voters_apply(&v, &p);
    CU_ASSERT_EQUAL(mg_voters_plan_change(&v, &view).kind, MG_VOTERS_KEEP);
    CU_ASSERT_FALSE(mg_voters_lack_disks(&v, &view));
}

/* Guards against a leader that replaces no voter any more after so many hosts
   have applied as it can remember. */
static void
test_many_candidates(void)
{
    enum { MAX = 32 };
    mg_voters v;
    mg_voter_candidate c[MAX];
    char ip[8];
    size_t n = 0;
    CU_ASSERT_EQUAL(mg_voters_parse(&v, 3, mg_str_of("h0,h1,h2")), MG_OK);
    for (int i = 0; i < 2 * MAX; i++) {
        snprintf(ip, sizeof(ip), "r%02d", i);
        mg_voters_note_candidate(c, &n, MAX, ip, 10000 * (int64_t)i);
        mg_voters_note_candidate(c, &n, MAX, ip, 10000 * (int64_t)i + 1);
    }
    CU_ASSERT_EQUAL(n, MAX);
    mg_voters_view view = view_of(3, true, c, n, 10000 * (2 * MAX - 1) + 300);
    view.age_ms[1] = 9000;
    mg_voters_change p = mg_voters_plan_change(&v, &view);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_REMOVE);
    mg_voters_apply(&v, &p);
    p = mg_voters_plan_change(&v, &view);
    CU_ASSERT_STRING_EQUAL(p.ip, ip);
}

static mg_voters_news
news(uint64_t own_rev, unsigned slot, uint64_t rev, const char *ips)
{
    mg_voters own = {.rev = own_rev};
    mg_voters sent;
    CU_ASSERT_EQUAL(mg_voters_parse(&sent, rev, mg_str_of(ips)), MG_OK);
    return mg_voters_compare(&own, slot, &sent, "h1");
}

/* Guards against a voter that knows none of the present voters, ignores what
   other hosts tell it about them, and so drops the messages of the leader. */
static void
test_news(void)
{
    CU_ASSERT_EQUAL(news(3, 2, 3, "h0,h1,h2"), MG_VOTERS_OLD);
    CU_ASSERT_EQUAL(news(3, 2, 7, "h4,h1,h5"), MG_VOTERS_ADOPT);
    CU_ASSERT_EQUAL(news(3, 0, 7, "h4,h2,h5"), MG_VOTERS_ADOPT);
    CU_ASSERT_EQUAL(news(3, 2, 7, "h1,h4,h5"), MG_VOTERS_REOPEN);
    CU_ASSERT_EQUAL(news(3, 2, 7, "h0,,h5"), MG_VOTERS_REOPEN);
    CU_ASSERT_EQUAL(news(0, 0, 7, "h0,h1,h5"), MG_VOTERS_REOPEN);
    mg_voters stored;
    mg_voters now;
    mg_voters_parse(&stored, 3, mg_str_of("h0,h1,h2"));
    mg_voters_parse(&now, 7, mg_str_of("h4,h1,h5"));
    /* told before it has read its directory, a voter keeps its vote */
    CU_ASSERT_TRUE(mg_voters_keep_vote(&stored, &now, "h1"));
    CU_ASSERT_FALSE(mg_voters_keep_vote(&stored, &now, "h0"));
    CU_ASSERT_FALSE(mg_voters_keep_vote(&stored, &now, "h5"));
    mg_voters seeds = {.rev = 0};
    CU_ASSERT_FALSE(mg_voters_are_agreed(&seeds, false));
    CU_ASSERT_TRUE(mg_voters_are_agreed(&seeds, true));
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"planned voter changes", test_plan},
        {"voters without a disk give way", test_plan_disks},
        {"all hosts without a disk crash at once", test_memory_seeds},
        {"voters sent by another host", test_news},
        {"more candidates than are remembered", test_many_candidates},
        {"random histories with voter replacement", test_histories},
        {"random histories with overlapping faults", test_overlapping_faults},
        {"exchanged seeds", test_exchanged_seeds},
        {"exchanged seeds and overlapping faults", test_exchanged_overlapping},
        CU_TEST_INFO_NULL,
    };
    return run_suite("voters", tests);
}
