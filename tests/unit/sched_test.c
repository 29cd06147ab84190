/*
 * The pool scheduler over random histories: tickets, cancels and ended
 * requests, and targets that announce themselves, drain, crash and restart.
 * The invariants are checked against the test's model at every message sent.
 */
#include "suite.h"

#include "policy/quarantine.h"
#include "policy/sched.h"

#define TICKETS 40
#define TARGETS 4
#define STEPS 300
#define EPOCH 7

struct model_ticket {
    bool waiting;
    bool running;
    unsigned tier;
    int target;
    uint64_t attempt;
    uint64_t target_epoch;
};

struct model_target {
    uint64_t epoch;
    uint32_t slots;
    bool draining;
    bool known;
    int64_t last_seen_ms;
};

static struct {
    mg_sched_callbacks callbacks;
    mg_manual_clock clock;
    mg_rng rng;
    mg_sched *sched;
    struct model_ticket tickets[TICKETS];
    struct model_target targets[TARGETS];
    bool synced;
    int64_t started_ms;
    int strikes;
    uint64_t last_grant_target;
    const char *error;
} s;

static void
fail_with(const char *why)
{
    if (s.error == NULL) {
        s.error = why;
    }
}

static bool
other_tier_waits(unsigned tier, bool higher)
{
    for (int i = 0; i < TICKETS; i++) {
        if (s.tickets[i].waiting &&
            (higher ? s.tickets[i].tier < tier : s.tickets[i].tier > tier)) {
            return true;
        }
    }
    return false;
}

static uint32_t
running_on(int target)
{
    uint32_t n = 0;
    for (int i = 0; i < TICKETS; i++) {
        n += s.tickets[i].running && s.tickets[i].target == target &&
             s.tickets[i].target_epoch == s.targets[target].epoch;
    }
    return n;
}

static void
check_grant(const mg_grant_msg *g)
{
    struct model_ticket *k = &s.tickets[g->id];
    int target = g->target.p[1] - '0';
    struct model_target *t = &s.targets[target];
    if (!k->waiting || g->attempt != k->attempt) {
        fail_with("granted a ticket that does not wait");
    }
    if (other_tier_waits(k->tier, true)) {
        fail_with("granted while a higher tier waits");
    }
    if (t->draining || s.clock.mono - t->last_seen_ms >= MG_TARGET_LEASE_MS) {
        fail_with("granted on a draining target or one without a lease");
    }
    if (g->target_epoch != t->epoch || running_on(target) >= t->slots) {
        fail_with("granted on a wrong epoch or beyond the slots");
    }
    if (!s.synced && s.clock.mono - s.started_ms < MG_SCHED_REBUILD_MS) {
        fail_with("granted before the slots were rebuilt");
    }
    k->waiting = false;
    k->running = true;
    k->target = target;
    k->target_epoch = g->target_epoch;
    s.last_grant_target = (uint64_t)target;
}

static void
check_shed(const mg_shed_msg *m)
{
    struct model_ticket *k = &s.tickets[m->id];
    if (!k->waiting) {
        fail_with("shed a ticket that does not wait");
    }
    if (m->rc == MG_E_OVERLOAD && other_tier_waits(k->tier, false)) {
        fail_with("shed while a lower tier waits");
    }
    k->waiting = false;
}

static void
on_send(mg_sched_callbacks *cb, const char *entry, const mg_msg *m)
{
    (void)cb;
    (void)entry;
    if (m->type == MG_MSG_GRANT) {
        check_grant(&m->u.grant);
    }
    else if (m->type == MG_MSG_SHED) {
        check_shed(&m->u.shed);
    }
}

static void
on_put_record(mg_sched_callbacks *cb, mg_sched *sched, unsigned kind,
              const char *key, const mg_msg *value)
{
    (void)cb;
    (void)sched;
    (void)key;
    (void)value;
    s.strikes += kind == MG_RECORD_QUARANTINE;
}

static const char *const entries[] = {"e1"};

static void
start(uint64_t seed, size_t awaited)
{
    memset(&s, 0, sizeof(s));
    mg_manual_clock_init(&s.clock);
    s.clock.mono = 1000000;
    s.clock.wall = 1000000;
    s.started_ms = s.clock.mono;
    s.synced = awaited == 0;
    mg_rng_init(&s.rng, seed);
    s.callbacks = (mg_sched_callbacks){on_send, on_put_record};
    s.sched = mg_sched_new(&(mg_sched_options){
        .callbacks = &s.callbacks,
        .clock = &s.clock.clock,
        .pool = "p",
        .epoch = EPOCH,
        .entries = entries,
        .entry_count = awaited,
    });
    mg_pool pool = {.name = "p", .queue_max = 12};
    mg_sched_configure(s.sched, &pool);
}

static void
announce(int i, bool draining)
{
    static const char *const names[TARGETS] = {"t0", "t1", "t2", "t3"};
    struct model_target *t = &s.targets[i];
    mg_announce_msg m = {.pool = mg_str_of("p"),
                         .target = mg_str_of(names[i]),
                         .addr = mg_str_of("127.0.0.1:1"),
                         .version = mg_str_of("v1"),
                         .domain = mg_str_of("d"),
                         .epoch = t->epoch,
                         .slots = t->slots,
                         .leaving = draining};
    if (mg_sched_announce(s.sched, &m) == MG_OK) {
        t->last_seen_ms = s.clock.mono;
        t->known = true;
        t->draining = t->draining || draining;
    }
}

static void
ticket(int i, unsigned tier, uint64_t fingerprint)
{
    struct model_ticket *k = &s.tickets[i];
    static const char *const names[] = {"w0", "w1", "w2"};
    k->waiting = true;
    k->tier = tier;
    k->attempt++;
    mg_ticket_msg m = {.id = (uint64_t)i,
                       .attempt = k->attempt,
                       .epoch = EPOCH,
                       .pool = mg_str_of("p"),
                       .tier = tier,
                       .workspace = mg_str_of(names[i % 3]),
                       .weight = 1,
                       .prefill = 10 + mg_rng_below(&s.rng, 1000),
                       .decode = 1 + mg_rng_below(&s.rng, 100),
                       .remaining_ms = 200 + mg_rng_below(&s.rng, 5000),
                       .fingerprint = fingerprint,
                       .route = mg_str_of("r")};
    mg_sched_ticket(s.sched, "e1", &m);
}

static void
done(int i, mg_done_result result)
{
    struct model_ticket *k = &s.tickets[i];
    mg_done_msg m = {.id = (uint64_t)i,
                     .attempt = k->attempt,
                     .epoch = EPOCH,
                     .result = result,
                     .first_ms = 1 + mg_rng_below(&s.rng, 50),
                     .total_ms = 60 + mg_rng_below(&s.rng, 500),
                     .tokens = 20};
    mg_sched_done(s.sched, "e1", &m);
    k->running = false;
}

static void
restart_target(int i)
{
    struct model_target *t = &s.targets[i];
    t->epoch++;
    t->draining = false;
    t->slots = 1 + mg_rng_below(&s.rng, 4);
    for (int k = 0; k < TICKETS; k++) {
        if (s.tickets[k].target == i) {
            s.tickets[k].running = false;
        }
    }
    announce(i, false);
}

static void
random_step(void)
{
    int i = (int)mg_rng_below(&s.rng, TICKETS);
    int t = (int)mg_rng_below(&s.rng, TARGETS);
    uint32_t what = mg_rng_below(&s.rng, 1000);
    s.clock.mono += mg_rng_below(&s.rng, 60);
    s.clock.wall = s.clock.mono;
    if (what < 20) {
        restart_target(t);
    }
    else if (what < 300) {
        if (s.targets[t].epoch > 0) {
            announce(t, mg_rng_below(&s.rng, 40) == 0);
        }
    }
    else if (what < 310) {
        s.synced = true;
        mg_sched_synced(s.sched, "e1");
    }
    else if (!s.tickets[i].waiting && !s.tickets[i].running) {
        ticket(i, mg_rng_below(&s.rng, 3), 0);
    }
    else if (s.tickets[i].running && what < 700) {
        done(i,
             mg_rng_below(&s.rng, 10) ? MG_DONE_OK : MG_DONE_NOT_DISPATCHED);
    }
    else if (s.tickets[i].waiting && what < 350) {
        s.tickets[i].waiting = false;
        mg_sched_cancel(s.sched, "e1", (uint64_t)i);
    }
    mg_sched_run(s.sched);
}

static const char *
history(uint64_t seed)
{
    start(seed, 1);
    for (int i = 0; i < STEPS && s.error == NULL; i++) {
        random_step();
    }
    mg_sched_free(s.sched);
    return s.error;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

static void
add_targets(int n, uint32_t slots)
{
    for (int i = 0; i < n; i++) {
        s.targets[i].epoch = 1;
        s.targets[i].slots = slots;
        announce(i, false);
    }
    mg_sched_run(s.sched);
}

/* High-tier tickets that arrive at a queue full of low tiers are kept. */
static void
test_high_tier_last(void)
{
    start(1, 0);
    add_targets(1, 1);
    for (int i = 0; i < 14; i++) {
        ticket(i, 2, 0);
    }
    mg_sched_run(s.sched);
    for (int i = 14; i < 24; i++) {
        ticket(i, 0, 0);
    }
    mg_sched_run(s.sched);
    int high = 0;
    for (int i = 14; i < 24; i++) {
        high += s.tickets[i].waiting || s.tickets[i].running;
    }
    CU_ASSERT_EQUAL(high, 10);
    CU_ASSERT_PTR_NULL(s.error);
    mg_sched_free(s.sched);
}

/* A target that announces that it is draining gets no further grants. */
static void
test_draining_target(void)
{
    start(1, 0);
    add_targets(1, 4);
    announce(0, true);
    ticket(0, 0, 0);
    mg_sched_run(s.sched);
    CU_ASSERT_TRUE(s.tickets[0].waiting);
    /* restarted under the same name and address with another epoch */
    restart_target(0);
    mg_sched_run(s.sched);
    CU_ASSERT_TRUE(s.tickets[0].running);
    CU_ASSERT_PTR_NULL(s.error);
    mg_sched_free(s.sched);
}

/* Before its first grant, a scheduler counts the slots that an earlier
   scheduler of the pool granted. */
static void
test_rebuild(void)
{
    start(1, 1);
    mg_held_msg held = {.id = 39,
                        .attempt = 1,
                        .epoch = EPOCH,
                        .target = mg_str_of("t0"),
                        .target_epoch = 1,
                        .prefill = 1,
                        .decode = 1,
                        .workspace = mg_str_of("w"),
                        .route = mg_str_of("r")};
    s.targets[0].epoch = 1;
    s.targets[0].slots = 1;
    announce(0, false);
    ticket(0, 0, 0);
    mg_sched_run(s.sched);
    CU_ASSERT_TRUE(s.tickets[0].waiting);
    mg_sched_held(s.sched, "e1", &held);
    s.synced = true;
    mg_sched_synced(s.sched, "e1");
    mg_sched_run(s.sched);
    CU_ASSERT_TRUE(s.tickets[0].waiting);
    mg_sched_remove_entry(s.sched, "e1");
    CU_ASSERT_EQUAL(mg_sched_running(s.sched), 0);
    mg_sched_free(s.sched);
}

/*
 * A request that crashes each target it runs on is retried under new ids
 * beside harmless ones: only two targets crash, and all harmless requests run.
 */
static void
test_crashing_request(void)
{
    enum { CRASHING = 777, HARMLESS = 5000 };
    int crashes = 0;
    int refused = 0;
    start(1, 0);
    add_targets(TARGETS, 4);
    for (int round = 0; round < 10; round++) {
        for (int i = 0; i < 8; i++) {
            ticket(i, 0, i == 3 ? CRASHING : HARMLESS + (uint64_t)i);
        }
        mg_sched_run(s.sched);
        if (s.tickets[3].running) {
            crashes++;
            restart_target(s.tickets[3].target);
        }
        else if (!s.tickets[3].waiting) {
            refused++;
        }
        for (int i = 0; i < 8; i++) {
            if (s.tickets[i].running) {
                done(i, MG_DONE_OK);
            }
            CU_ASSERT_FALSE(s.tickets[i].waiting);
        }
        mg_sched_run(s.sched);
    }
    CU_ASSERT_EQUAL(crashes, MG_QUARANTINE_STRIKES);
    CU_ASSERT_EQUAL(refused, 10 - MG_QUARANTINE_STRIKES);
    CU_ASSERT_TRUE(s.strikes >= MG_QUARANTINE_STRIKES);
    mg_sched_free(s.sched);
}

/* Suspects run apart, or a harmless one could get its second strike from the
   harmful one. */
static void
test_suspects_never_share_a_target(void)
{
    start(1, 0);
    add_targets(2, 4);
    mg_rec_quarantine_msg a = {
        .fingerprint = 1, .marks = 1, .until_wall_ms = UINT32_MAX};
    mg_rec_quarantine_msg b = {
        .fingerprint = 2, .marks = 1, .until_wall_ms = UINT32_MAX};
    mg_rec_quarantine_msg c = {
        .fingerprint = 3, .marks = 1, .until_wall_ms = UINT32_MAX};
    mg_sched_load_quarantine(s.sched, &a);
    mg_sched_load_quarantine(s.sched, &b);
    mg_sched_load_quarantine(s.sched, &c);
    for (int i = 0; i < 3; i++) {
        ticket(i, 0, (uint64_t)i + 1);
    }
    mg_sched_run(s.sched);
    CU_ASSERT_EQUAL(running_on(0), 1);
    CU_ASSERT_EQUAL(running_on(1), 1);
    CU_ASSERT_EQUAL(mg_sched_waiting(s.sched), 1);
    done(s.tickets[0].running ? 0 : 1, MG_DONE_OK);
    mg_sched_run(s.sched);
    CU_ASSERT_EQUAL(mg_sched_waiting(s.sched), 0);
    mg_sched_free(s.sched);
}

/* If the lease of a target lapses and the target returns with the same epoch,
   its slots remain in use. */
static void
test_silent_target_keeps_its_slots(void)
{
    start(1, 0);
    add_targets(1, 1);
    ticket(0, 0, 9);
    mg_sched_run(s.sched);
    CU_ASSERT_TRUE(s.tickets[0].running);
    s.clock.mono += MG_TARGET_LEASE_MS + 1;
    mg_sched_run(s.sched);
    announce(0, false);
    ticket(1, 0, 0);
    mg_sched_run(s.sched);
    CU_ASSERT_TRUE(s.tickets[1].waiting);
    CU_ASSERT_EQUAL(s.strikes, 0);
    done(0, MG_DONE_OK);
    mg_sched_run(s.sched);
    CU_ASSERT_TRUE(s.tickets[1].running);
    mg_sched_free(s.sched);
}

/* responses that were held up for two seconds don't make a target look too
   slow for long prompts */
static void
test_one_stall(void)
{
    mg_target t = {.slots_max = 8};
    init_list_head(&t.slots);
    for (int i = 0; i < 20; i++) {
        mg_target_add_sample(&t, 100, 10, 110, 11);
    }
    double usual = mg_target_estimate(&t, 2000, 100, 0, 0).total_ms;
    mg_target_add_sample(&t, 30, 2000, 4100, 11);
    mg_target_add_sample(&t, 30, 2000, 4100, 11);
    CU_ASSERT_TRUE(mg_target_estimate(&t, 2000, 100, 0, 0).total_ms <=
                   2 * usual);
    for (int i = 0; i < 60; i++) {
        mg_target_add_sample(&t, 100, 100, 1100, 11); /* it has become slow */
    }
    CU_ASSERT_TRUE(mg_target_estimate(&t, 2000, 100, 0, 0).total_ms >=
                   8 * usual);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random histories", test_histories},
        {"the high tier arrives last", test_high_tier_last},
        {"a target drains and restarts", test_draining_target},
        {"slots are rebuilt before the first grant", test_rebuild},
        {"a crashing request is quarantined", test_crashing_request},
        {"a silent target keeps its slots",
         test_silent_target_keeps_its_slots},
        {"two suspects never share a target",
         test_suspects_never_share_a_target},
        {"one stall of a target", test_one_stall},
        CU_TEST_INFO_NULL,
    };
    return run_suite("sched", tests);
}
