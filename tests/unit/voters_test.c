/*
 * Random histories of a group whose seats go from host to host: five hosts
 * with disks, three seats; hosts crash, are cut off and come back, lose
 * their disks, while the leader vacates and gives seats. After every step
 * all hosts have applied the same entries; at the end, healed, all holders
 * of seats vote and have the same.
 */
#include "suite.h"

#include "control/raft.h"
#include "group/voters.h"

#define HOSTS 5
#define FIRST_SEATS 3
#define STEPS 700
/* long enough for a dead holder to be replaced */
#define CALM_STEPS 150
#define WIRE_MAX 96
#define LOG_MAX 2048

struct host {
    mg_raft_callbacks calls; /* first */
    int index;
    char name[8];
    mg_raft *raft;
    mg_voters table;
    unsigned seat;
    bool cut;
    bool seats_changed;
    /* disk */
    mg_raft_meta meta;
    mg_raft_entry entries[LOG_MAX];
    size_t count;
    size_t synced;
    mg_voters saved;
    /* state */
    uint64_t applied;
    uint64_t roll;
};

struct packet {
    int from;
    int to;
    mg_buf bytes;
};

static struct {
    mg_manual_clock clock;
    mg_rng rng;
    struct host hosts[HOSTS];
    struct packet wire[WIRE_MAX];
    size_t wire_count;
    uint64_t roll[LOG_MAX];
    uint64_t max_applied;
    uint64_t next_value;
    unsigned seats_given;
    bool overlap; /* a disk may be lost while another holder is away */
    const char *broken;
} sim;

static struct host *
host_of(mg_raft_callbacks *h)
{
    return (struct host *)h;
}

static int
host_named(const char *name)
{
    return name[0] == 'h' ? name[1] - '0' : -1;
}

static void
call_send(mg_raft_callbacks *h, unsigned to, const mg_msg *m)
{
    struct host *self = host_of(h);
    int dest = host_named(self->table.ip[to - 1]);
    if (sim.wire_count == WIRE_MAX || dest < 0) {
        return;
    }
    struct packet *p = &sim.wire[sim.wire_count++];
    *p = (struct packet){self->index, dest, {0}};
    mg_msg_encode(m, &p->bytes);
}

static mg_rc
call_save_meta(mg_raft_callbacks *h, const mg_raft_meta *meta)
{
    host_of(h)->meta = *meta;
    return MG_OK;
}

static mg_rc
call_append(mg_raft_callbacks *h, const mg_raft_entry *e)
{
    struct host *self = host_of(h);
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
call_truncate(mg_raft_callbacks *h, uint64_t index)
{
    drop_from(host_of(h), (size_t)index - 1);
    return MG_OK;
}

static mg_rc
call_sync(mg_raft_callbacks *h)
{
    host_of(h)->synced = host_of(h)->count;
    return MG_OK;
}

static mg_rc
call_save_snapshot(mg_raft_callbacks *h, uint64_t index, uint64_t term,
                   mg_str data)
{
    (void)h;
    (void)index;
    (void)term;
    (void)data;
    return MG_E_IO; /* no histories with snapshots here */
}

/* a committed table: what group.c does with it */
static void
follow_table(struct host *h, const mg_voters *t)
{
    mg_voters old = h->table;
    if (t->rev <= old.rev) {
        return;
    }
    h->table = *t;
    h->saved = *t;
    for (unsigned i = 0; i < t->count; i++) {
        if (i < old.count && strcmp(old.ip[i], t->ip[i]) == 0) {
            continue;
        }
        if (i + 1 == h->seat) {
            h->seats_changed = true;
        }
        else if (h->raft != NULL) {
            mg_raft_set_voter_slot(h->raft, i + 1, t->ip[i][0] != '\0');
        }
    }
}

static void
call_apply(mg_raft_callbacks *h, const mg_raft_entry *e)
{
    struct host *self = host_of(h);
    mg_msg m;
    mg_voters t;
    self->applied++;
    self->roll = self->roll * 1000003 + (mg_hash(e->data) ^ e->term * 31);
    if (e->index != self->applied) {
        sim.broken = "applied out of order";
    }
    if (self->applied > sim.max_applied) {
        sim.max_applied = self->applied;
        sim.roll[self->applied] = self->roll;
    }
    else if (sim.roll[self->applied] != self->roll) {
        sim.broken = "two hosts applied different entries";
    }
    if (mg_msg_decode(e->data, &m) == MG_OK && m.type == MG_MSG_SEATS &&
        mg_voters_parse(&t, e->index, m.u.seats.holders) == MG_OK) {
        follow_table(self, &t);
    }
}

static void
call_restore(mg_raft_callbacks *h, mg_str data)
{
    (void)h;
    (void)data;
}

static void
call_role(mg_raft_callbacks *h, mg_raft_role role, uint64_t term)
{
    (void)h;
    (void)role;
    (void)term;
}

static void
call_failed(mg_raft_callbacks *h, mg_rc rc)
{
    (void)h;
    (void)rc;
    sim.broken = "storage failed";
}

static void
stop(struct host *h, bool crash)
{
    mg_raft_free(h->raft);
    h->raft = NULL;
    h->seat = 0;
    h->seats_changed = false;
    h->applied = 0;
    h->roll = 0;
    if (crash) {
        size_t unsynced = h->count - h->synced;
        size_t keep =
            unsynced ? mg_rng_below(&sim.rng, (uint32_t)unsynced + 1) : 0;
        drop_from(h, h->synced + keep);
        h->table = h->saved;
    }
    h->synced = h->count;
}

/* as group.c opens its log: no seat, no vote */
static void
start(struct host *h)
{
    unsigned seat = mg_voters_slot_of(&h->table, h->name);
    if (seat == 0) {
        h->meta.voter = 0;
        return;
    }
    unsigned members = h->table.count;
    h->seat = seat;
    h->raft = mg_raft_new(&(mg_raft_options){
        .id = seat,
        .members = members,
        .callbacks = &h->calls,
        .clock = &sim.clock.clock,
        .seed = mg_rng_below(&sim.rng, 1000000),
        .meta = h->meta,
        .entries = h->entries,
        .entry_count = h->count,
    });
    for (unsigned i = 0; i < h->table.count; i++) {
        bool taken = h->table.ip[i][0] != '\0';
        if (i + 1 != seat && (!taken || i >= members)) {
            mg_raft_set_voter_slot(h->raft, i + 1, taken);
        }
    }
    h->saved = h->table;
}

static void
reopen_if_needed(struct host *h)
{
    if (h->raft != NULL && h->seats_changed) {
        stop(h, false);
        start(h);
    }
}

static unsigned
seat_of(const struct host *to, int from)
{
    return mg_voters_slot_of(&to->table, sim.hosts[from].name);
}

static void
deliver(struct packet *p)
{
    struct host *to = &sim.hosts[p->to];
    mg_msg m;
    if (to->raft != NULL && !to->cut && !sim.hosts[p->from].cut &&
        mg_msg_decode(mg_str_buf(&p->bytes), &m) == MG_OK) {
        mg_raft_receive(to->raft, seat_of(to, p->from), &m);
        reopen_if_needed(to);
    }
}

static void
deliver_one(bool in_order)
{
    if (sim.wire_count == 0) {
        return;
    }
    size_t i = in_order ? 0 : mg_rng_below(&sim.rng, (uint32_t)sim.wire_count);
    struct packet p = sim.wire[i];
    memmove(sim.wire + i, sim.wire + i + 1,
            (--sim.wire_count - i) * sizeof(p));
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
    for (int i = 0; i < HOSTS; i++) {
        const struct host *h = &sim.hosts[i];
        if (h->raft == NULL && !h->cut && !leader->cut &&
            mg_voters_slot_of(&h->table, h->name) == 0) {
            out[n] = (mg_voter_candidate){"", sim.clock.mono};
            snprintf(out[n++].ip, MG_NAME_SIZE, "%s", h->name);
        }
    }
    return n;
}

/* the leader's look at the seats, one step at a time */
static void
look_after_seats(struct host *h)
{
    mg_voter_candidate c[HOSTS];
    int64_t age[MG_VOTERS_MAX];
    char holders[MG_VOTERS_MAX * MG_NAME_SIZE];
    if (!mg_raft_ready(h->raft) ||
        mg_raft_applied_index(h->raft) < mg_raft_last_index(h->raft)) {
        return;
    }
    for (unsigned i = 0; i < h->table.count; i++) {
        age[i] = mg_raft_contact_age_ms(h->raft, i + 1);
    }
    mg_voters_change plan = mg_voters_plan_change(
        &h->table, FIRST_SEATS, age, mg_raft_all_members_vote(h->raft), c,
        candidates_for(h, c), sim.clock.mono);
    if (plan.kind == MG_VOTERS_KEEP) {
        return;
    }
    mg_voters t = h->table;
    mg_voters_apply(&t, &plan);
    mg_voters_print(&t, holders);
    mg_msg m = {.type = MG_MSG_SEATS};
    m.u.seats.holders = mg_str_of(holders);
    propose(h, &m);
    sim.seats_given += plan.kind == MG_VOTERS_ASSIGN;
}

/* a host without a seat, or that lost it, hears of a newer table */
static void
tell_table(const struct host *from, struct host *to)
{
    if (from->raft == NULL || from->cut || to->cut ||
        from->table.rev <= to->table.rev) {
        return;
    }
    bool holds = mg_voters_slot_of(&from->table, to->name) != 0;
    if (to->raft != NULL && holds) {
        return;
    }
    if (to->raft != NULL) {
        stop(to, false);
    }
    to->table = from->table;
    if (holds) {
        to->meta.voter = 0;
    }
    start(to);
}

/* the table that was committed last */
static const mg_voters *
newest_table(void)
{
    const mg_voters *t = &sim.hosts[0].table;
    for (int i = 1; i < HOSTS; i++) {
        if (sim.hosts[i].table.rev > t->rev) {
            t = &sim.hosts[i].table;
        }
    }
    return t;
}

/*
 * One disk at a time is lost: until every seat is held by a voter again, and,
 * unless losses overlap, not while a holder is cut off or down.
 */
static void
lose_disk(struct host *h)
{
    const mg_voters *t = newest_table();
    for (unsigned i = 0; i < t->count; i++) {
        int k = host_named(t->ip[i]);
        if (k < 0 || !sim.hosts[k].meta.voter) {
            return;
        }
        if (!sim.overlap && &sim.hosts[k] != h &&
            (sim.hosts[k].cut || sim.hosts[k].raft == NULL)) {
            return;
        }
    }
    if (h->raft != NULL) {
        stop(h, true);
    }
    drop_from(h, 0);
    h->meta = (mg_raft_meta){0, 0, mg_rng_below(&sim.rng, 1u << 30) + 1, 0};
}

static void
calm_step(int step);

static void
random_step(void)
{
    struct host *h = &sim.hosts[mg_rng_below(&sim.rng, HOSTS)];
    uint32_t what = mg_rng_below(&sim.rng, 1000);
    if (what < 3) {
        lose_disk(h);
    }
    else if (what < 15) {
        if (h->raft != NULL) {
            stop(h, true);
        }
    }
    else if (what < 25) {
        h->cut = what < 18;
    }
    else if (what < 40) {
        tell_table(&sim.hosts[mg_rng_below(&sim.rng, HOSTS)], h);
    }
    else if (h->raft == NULL) {
        if (what < 300) {
            start(h);
        }
    }
    else if (what < 300) {
        sim.clock.mono += mg_rng_below(&sim.rng, 200);
        mg_raft_tick(h->raft);
        reopen_if_needed(h);
    }
    else if (what < 350) {
        propose_value(h);
    }
    else if (what < 400) {
        look_after_seats(h);
    }
    else if (what < 620) {
        mg_raft_flush(h->raft);
        reopen_if_needed(h);
    }
    else if (what < 996) {
        deliver_one(false);
    }
    else {
        for (int step = 0; step < CALM_STEPS; step++) {
            calm_step(step);
        }
    }
}

static bool
is_healed(void)
{
    const mg_voters *t = NULL;
    for (int i = 0; i < HOSTS; i++) {
        const struct host *h = &sim.hosts[i];
        if (h->raft != NULL && (t == NULL || h->table.rev > t->rev)) {
            t = &h->table;
        }
    }
    for (unsigned i = 0; t != NULL && i < t->count; i++) {
        int k = host_named(t->ip[i]);
        if (k < 0 || sim.hosts[k].raft == NULL ||
            sim.hosts[k].applied != sim.max_applied ||
            !mg_raft_is_voter(sim.hosts[k].raft)) {
            return false;
        }
    }
    return t != NULL;
}

/* one step of a time in which messages arrive in order; cuts stay */
static void
calm_step(int step)
{
    sim.clock.mono += 40;
    for (int i = 0; i < HOSTS; i++) {
        struct host *h = &sim.hosts[i];
        tell_table(&sim.hosts[step % HOSTS], h);
        if (h->raft == NULL) {
            continue;
        }
        mg_raft_tick(h->raft);
        if (step % 5 == 0) {
            look_after_seats(h);
        }
        mg_raft_flush(h->raft);
        reopen_if_needed(h);
    }
    for (int k = 0; k < 500 && sim.wire_count > 0; k++) {
        deliver_one(true);
    }
}

static void
heal(void)
{
    for (int i = 0; i < HOSTS; i++) {
        sim.hosts[i].cut = false;
    }
    for (int step = 0; step < 1500 && sim.broken == NULL; step++) {
        for (int i = 0; i < HOSTS; i++) {
            if (sim.hosts[i].raft == NULL) {
                start(&sim.hosts[i]);
            }
        }
        calm_step(step);
        if (step > 250 && step % 50 == 0 && is_healed()) {
            return;
        }
    }
    if (sim.broken == NULL) {
        sim.broken = "the healed group did not converge";
    }
}

static void
set_up(uint64_t seed)
{
    memset(&sim, 0, sizeof(sim));
    mg_manual_clock_init(&sim.clock);
    mg_rng_init(&sim.rng, seed);
    for (int i = 0; i < HOSTS; i++) {
        struct host *h = &sim.hosts[i];
        h->calls = (mg_raft_callbacks){
            call_send, call_save_meta,     call_append, call_truncate,
            call_sync, call_save_snapshot, call_apply,  call_restore,
            call_role, call_failed};
        h->index = i;
        snprintf(h->name, sizeof(h->name), "h%d", i);
        mg_voters_parse(&h->table, 0, mg_str_of("h0,h1,h2"));
        h->saved = h->table;
        h->meta.uid = 100 + (uint64_t)i;
        h->meta.voter = i < FIRST_SEATS;
        start(h);
    }
}

static void
tear_down(void)
{
    for (int i = 0; i < HOSTS; i++) {
        mg_raft_free(sim.hosts[i].raft);
        drop_from(&sim.hosts[i], 0);
    }
    while (sim.wire_count > 0) {
        mg_buf_free(&sim.wire[--sim.wire_count].bytes);
    }
}

static unsigned given_in_all;

static const char *
play(uint64_t seed, bool overlap)
{
    set_up(seed);
    sim.overlap = overlap;
    for (int i = 0; i < STEPS && sim.broken == NULL; i++) {
        random_step();
    }
    if (sim.broken == NULL) {
        heal();
    }
    given_in_all += sim.seats_given;
    tear_down();
    return sim.broken;
}

static const char *
history(uint64_t seed)
{
    return play(seed, false);
}

static const char *
overlap_history(uint64_t seed)
{
    return play(seed, true);
}

static void
test_overlaps(void)
{
    run_histories(overlap_history, HISTORIES);
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
    CU_ASSERT_TRUE(getenv("SEED") != NULL || given_in_all > HISTORIES / 10);
}

static void
test_plan(void)
{
    mg_voters s;
    int64_t age[MG_VOTERS_MAX] = {0, 0, 9000};
    mg_voter_candidate c[2] = {{"h4", 1000}, {"h0", 1000}};
    CU_ASSERT_EQUAL(mg_voters_parse(&s, 3, mg_str_of("h0,h1,h2")), MG_OK);
    /* nobody to replace the dead holder with */
    CU_ASSERT_EQUAL(mg_voters_plan_change(&s, 3, age, true, c, 0, 1000).kind,
                    MG_VOTERS_KEEP);
    /* a candidate that was not heard of lately is none */
    CU_ASSERT_EQUAL(mg_voters_plan_change(&s, 3, age, true, c, 2, 9000).kind,
                    MG_VOTERS_KEEP);
    mg_voters_change p = mg_voters_plan_change(&s, 3, age, false, c, 2, 1000);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_REMOVE);
    CU_ASSERT_EQUAL(p.slot, 2);
    mg_voters_apply(&s, &p);
    p = mg_voters_plan_change(&s, 3, age, false, c, 2, 1000);
    CU_ASSERT_EQUAL(p.kind, MG_VOTERS_ASSIGN);
    CU_ASSERT_STRING_EQUAL(p.ip, "h4");
    mg_voters_apply(&s, &p);
    age[2] = 0;
    CU_ASSERT_EQUAL(mg_voters_slot_of(&s, "h4"), 3);
    /* another seat only once all vote */
    CU_ASSERT_EQUAL(mg_voters_plan_change(&s, 5, age, false, c, 1, 1000).kind,
                    MG_VOTERS_KEEP);
    snprintf(c[0].ip, MG_NAME_SIZE, "h5");
    CU_ASSERT_EQUAL(mg_voters_plan_change(&s, 5, age, true, c, 1, 1000).kind,
                    MG_VOTERS_ADD_SLOT);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"steps of the seats", test_plan},
        {"histories of seats that move", test_histories},
        {"the same with losses that overlap", test_overlaps},
        CU_TEST_INFO_NULL,
    };
    return run_suite("seats", tests);
}
