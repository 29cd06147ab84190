/*
 * Rollouts of a good version and of five kinds of bad ones over many seeds:
 * the outcome, the canary budget across restarts of the holder, and that a
 * rollout that has ended does not change.
 */
#include "suite.h"

#include <math.h>

#include "policy/rollout.h"

#define RUNS 200
#define REQUESTS 20000
#define ROUTES 2

enum kind {
    GOOD,
    FAILS_FROM_START,
    FAILS_LATER,
    SLOW,
    SLOW_UNDER_LOAD,
    BAD_ON_ONE_ROUTE,
    KINDS
};

static struct {
    mg_manual_clock clock;
    mg_rng rng;
    mg_rollout *r;
    mg_rollout_state_id state; /* as stored in the control log */
    uint32_t share;
    uint64_t reserved;
    uint64_t new_granted;
    uint64_t new_on_bad_route;
    uint64_t granted;
    uint64_t grants_after_rollback;
} s;

static void
new_holder(void)
{
    mg_rollout_free(s.r);
    s.r = mg_rollout_new(&(mg_rollout_options){
        .clock = &s.clock.clock,
        .name = "m",
        .from = "v1",
        .to = "v2",
        .deadline_wall_ms = INT64_MAX,
        .canary_percent = 2,
        .state = s.state,
        .share_permille = s.share,
        .reserved = s.reserved,
    });
}

static void
start(uint64_t seed)
{
    memset(&s, 0, sizeof(s));
    mg_manual_clock_init(&s.clock);
    s.clock.mono = 1000;
    s.clock.wall = 1000;
    mg_rng_init(&s.rng, seed);
    new_holder();
}

/* The control log accepts every change. */
static const char *
commit_changes(void)
{
    mg_rollout_change c;
    while (mg_rollout_next_change(s.r, true, &c)) {
        if (s.state == MG_ROLLOUT_DONE || s.state == MG_ROLLOUT_ROLLED_BACK) {
            return "a rollout that had ended changed";
        }
        s.state = c.state;
        s.share = c.share_permille;
        s.reserved = c.reserved;
        mg_rollout_committed(s.r, s.state, s.share, s.reserved);
    }
    return NULL;
}

static mg_version_sample
make_sample(enum kind kind, bool is_new, int route)
{
    static const char *const names[ROUTES] = {"/a", "/b"};
    /* noise like that of different request lengths and a busy engine */
    double noise = exp(0.25 * (mg_rng_unit(&s.rng) - 0.5));
    mg_version_sample m = {.route = names[route],
                           .is_new = is_new,
                           .first_per_token = 0.2 * noise,
                           .gap_ms = 10 * noise};
    m.failed = mg_rng_unit(&s.rng) < 0.005;
    if (!is_new) {
        return m;
    }
    switch (kind) {
    case FAILS_FROM_START:
        m.failed = mg_rng_unit(&s.rng) < 0.9;
        break;
    case FAILS_LATER:
        m.failed = s.new_granted > 12 && mg_rng_unit(&s.rng) < 0.9;
        break;
    case SLOW:
        m.gap_ms *= 2.5;
        break;
    case SLOW_UNDER_LOAD:
        m.gap_ms *= s.share >= 250 ? 3 : 1;
        break;
    case BAD_ON_ONE_ROUTE:
        m.failed = route == 1 && mg_rng_unit(&s.rng) < 0.9;
        break;
    default:
        break;
    }
    return m;
}

static const char *
one_request(enum kind kind)
{
    int route = (int)mg_rng_below(&s.rng, ROUTES);
    bool is_new = mg_rollout_may_use_new(s.r);
    bool ended = s.state == MG_ROLLOUT_ROLLED_BACK;
    if (is_new && ended) {
        s.grants_after_rollback++;
    }
    if (!is_new && !mg_rollout_may_use_old(s.r)) {
        return "neither version may be used";
    }
    mg_rollout_count_grant(s.r, is_new);
    s.granted++;
    s.new_granted += is_new;
    s.new_on_bad_route += is_new && route == 1;
    if (s.state == MG_ROLLOUT_CANARY) {
        double budget =
            fmax(MG_ROLLOUT_CANARY_MIN_BUDGET, 0.02 * (double)s.granted);
        if ((double)s.new_granted > budget) {
            return "the canary budget was exceeded";
        }
    }
    mg_version_sample m = make_sample(kind, is_new, route);
    mg_rollout_add_sample(s.r, &m);
    s.clock.mono += 10;
    s.clock.wall += 10;
    return commit_changes();
}

static const char *
run(enum kind kind, uint64_t seed, bool restarts)
{
    start(seed);
    const char *error = commit_changes();
    for (int i = 0; i < REQUESTS && error == NULL; i++) {
        if (restarts && mg_rng_below(&s.rng, 200) == 0) {
            new_holder();
        }
        error = one_request(kind);
        if (s.state == MG_ROLLOUT_DONE && kind == GOOD) {
            break;
        }
    }
    mg_rollout_free(s.r);
    s.r = NULL;
    if (error == NULL && s.grants_after_rollback > 0) {
        error = "the new version was used after the rollback";
    }
    return error;
}

static const char *
good_history(uint64_t seed)
{
    const char *error = run(GOOD, seed, false);
    if (error == NULL && s.state != MG_ROLLOUT_DONE) {
        error = s.state == MG_ROLLOUT_ROLLED_BACK
                    ? "a good version was rolled back"
                    : "the rollout of a good version was not done in time";
    }
    return error;
}

static void
test_good_is_done(void)
{
    run_histories(good_history, RUNS);
}

/* A bad version must be rolled back before it has received more than 20
   requests or 2% of all, whichever is more. */
static const char *
bad_history(enum kind kind, uint64_t seed)
{
    const char *error = run(kind, seed, false);
    if (error != NULL) {
        return error;
    }
    if (s.state != MG_ROLLOUT_ROLLED_BACK) {
        return "a bad version was not rolled back";
    }
    uint64_t received =
        kind == BAD_ON_ONE_ROUTE ? s.new_on_bad_route : s.new_granted;
    double bound = fmax(20, 0.02 * (double)s.granted);
    return (double)received > bound
               ? "a bad version received too many requests"
               : NULL;
}

static const char *
fails_from_start(uint64_t seed)
{
    return bad_history(FAILS_FROM_START, seed);
}

static const char *
fails_later(uint64_t seed)
{
    return bad_history(FAILS_LATER, seed);
}

static const char *
slow(uint64_t seed)
{
    return bad_history(SLOW, seed);
}

static const char *
one_route(uint64_t seed)
{
    return bad_history(BAD_ON_ONE_ROUTE, seed);
}

static const char *
slow_under_load(uint64_t seed)
{
    const char *error = run(SLOW_UNDER_LOAD, seed, false);
    if (error == NULL && s.state != MG_ROLLOUT_ROLLED_BACK) {
        error = "a bad version was not rolled back";
    }
    return error;
}

static void
test_fails_from_start(void)
{
    run_histories(fails_from_start, RUNS);
}

static void
test_fails_later(void)
{
    run_histories(fails_later, RUNS);
}

static void
test_slow(void)
{
    run_histories(slow, RUNS);
}

static void
test_slow_under_load(void)
{
    run_histories(slow_under_load, RUNS);
}

static void
test_one_route(void)
{
    run_histories(one_route, RUNS);
}

static const char *
restart_history(uint64_t seed)
{
    return run((enum kind)(seed % KINDS), seed, true);
}

static void
test_budget_over_restarts(void)
{
    run_histories(restart_history, 2000);
}

static void
test_rejection_is_immediate(void)
{
    start(3);
    commit_changes();
    for (int i = 0; i < 40; i++) {
        mg_version_sample old = make_sample(GOOD, false, 0);
        mg_rollout_add_sample(s.r, &old);
    }
    for (int i = 0; i < 8; i++) {
        mg_version_sample bad = {
            .route = "/a", .is_new = true, .failed = true};
        mg_rollout_add_sample(s.r, &bad);
    }
    /* the rejection has not been written to the log yet */
    CU_ASSERT_FALSE(mg_rollout_may_use_new(s.r));
    CU_ASSERT_TRUE(mg_rollout_may_use_old(s.r));
    mg_rollout_free(s.r);
    s.r = NULL;
}

/* With too little traffic for a decision, the rollout ends at its deadline and
   the old version stays in use. */
static void
test_deadline_passes(void)
{
    start(1);
    mg_rollout_free(s.r);
    s.r = mg_rollout_new(&(mg_rollout_options){
        .clock = &s.clock.clock,
        .name = "m",
        .from = "v1",
        .to = "v2",
        .deadline_wall_ms = 60000,
        .canary_percent = 2,
    });
    CU_ASSERT_PTR_NULL(commit_changes());
    CU_ASSERT_EQUAL(s.state, MG_ROLLOUT_CANARY);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_PTR_NULL(one_request(GOOD));
    }
    s.clock.wall = 60000;
    CU_ASSERT_PTR_NULL(commit_changes());
    CU_ASSERT_EQUAL(s.state, MG_ROLLOUT_ROLLED_BACK);
    CU_ASSERT_FALSE(mg_rollout_may_use_new(s.r));
    CU_ASSERT_TRUE(mg_rollout_may_use_old(s.r));
    mg_rollout_free(s.r);
    s.r = NULL;
}

/* A version whose rollout is done remains in use, also when requests fail or
   are slow afterwards: there is no other one to use. */
static void
test_failures_after_the_end(void)
{
    const char *error = NULL;
    start(1);
    for (int i = 0; i < REQUESTS && s.state != MG_ROLLOUT_DONE; i++) {
        error = error == NULL ? commit_changes() : error;
        error = error == NULL ? one_request(GOOD) : error;
    }
    CU_ASSERT_EQUAL(s.state, MG_ROLLOUT_DONE);
    for (int i = 0; i < 1000 && error == NULL; i++) {
        error = one_request(i % 2 ? FAILS_FROM_START : SLOW);
        CU_ASSERT_TRUE(mg_rollout_may_use_new(s.r));
    }
    CU_ASSERT_PTR_NULL(error);
    mg_rollout_free(s.r);
    s.r = NULL;
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a good version is rolled out", test_good_is_done},
        {"bad: fails from the start", test_fails_from_start},
        {"bad: fails later", test_fails_later},
        {"bad: slow", test_slow},
        {"bad: slow under load only", test_slow_under_load},
        {"bad: on one route only", test_one_route},
        {"canary budget across restarts", test_budget_over_restarts},
        {"the deadline passes", test_deadline_passes},
        {"a rejection stops the new version at once",
         test_rejection_is_immediate},
        {"failures after the end", test_failures_after_the_end},
        CU_TEST_INFO_NULL,
    };
    return run_suite("rollout", tests);
}
