/* Requests, and parts of prompts, that crash the targets that run them. */
#include "flow_world.h"

#include "gateway/suspects.h"
#include "gateway/trial.h"

/* rounds of a request that crashes its targets, each after a restart */
#define ROUNDS 6

static unsigned crashes;
/* what targets write before they crash, may be NULL */
static const char *partial_response;
/* the first crashing request is held until the test crashes its target; the
   others that reach this target don't crash it */
static bool hold_first;
static int held_by; /* target, -1: none */

static void
serve(world_conn *c, mg_str head)
{
    if (strstr(head.p, "crash") == NULL) {
        world_write_ok(c);
        return;
    }
    if (c->target == held_by) {
        world_close(c);
        return;
    }
    if (hold_first && held_by < 0) {
        held_by = c->target;
        return;
    }
    crashes++;
    if (partial_response != NULL) {
        world_write(c, partial_response);
    }
    world_crash(c->target);
}

static void
serve_all(world_conn *c, mg_str head)
{
    (void)head;
    world_write_ok(c);
}

static void
open_crash_world(mg_retry_policy policy, bool stream)
{
    mg_route r = {
        .retry_policy = policy,
        .timeout_ms = 2000,
        .goal_ms = 500,
        .attempts_max = 2,
        .stream = stream,
    };
    crashes = 0;
    partial_response = NULL;
    hold_first = false;
    held_by = -1;
    world_open(world_routing(&r, 0, 0), WORLD_TARGETS, serve);
}

static void
restart_crashed(void)
{
    for (int i = 0; i < WORLD_TARGETS; i++) {
        if (world.targets[i].listener == NULL) {
            world_start_target(i);
        }
    }
}

/* Sends a harmless request at the same time to each target, so that idle
   channels to all are left. */
static void
warm_up(void)
{
    for (int i = 0; i < 4 * WORLD_TARGETS; i++) {
        world_send("/");
    }
    world_run();
}

/* Sends a request that crashes its targets, ROUNDS times, and restarts them
   each time; returns the status that the client got last. */
static int
run_rounds(bool warm)
{
    int status = 0;
    for (int i = 0; i < ROUNDS; i++) {
        if (warm) {
            warm_up();
        }
        status = world_get("/crash");
        world_pass(20); /* for the probes */
        restart_crashed();
    }
    printf("\n  %u crashes, last status %d\n", crashes, status);
    return status;
}

/* the last request that is let through may be sent to two targets */
static void
check_channels(bool reused)
{
    open_crash_world(MG_RETRY_BEFORE_RESPONSE, false);
    CU_ASSERT_EQUAL(run_rounds(reused), 503);
    CU_ASSERT_TRUE(crashes <= MG_STRIKES_MAX + 1);
    CU_ASSERT_EQUAL(world_get("/"), 200);
    world_shut();
}

static void
test_new_channels(void)
{
    check_channels(false);
}

static void
test_reused_channels(void)
{
    check_channels(true);
}

/* the end of an unframed stream inside an event may be a crash */
static void
test_unframed_streams(void)
{
    open_crash_world(MG_RETRY_NEVER, true);
    partial_response = "HTTP/1.1 200 OK\r\n\r\ndata: ";
    CU_ASSERT_EQUAL(run_rounds(true), 503);
    CU_ASSERT_TRUE(crashes <= MG_STRIKES_MAX);
    world_shut();
}

/* Guards against a crash that counts as a sound answer: the end of an answer
   without a length, or of a stream between two events, may be one, too. */
static void
test_unframed_ends(void)
{
    for (int stream = 0; stream < 2; stream++) {
        open_crash_world(MG_RETRY_NEVER, stream);
        partial_response = "HTTP/1.1 200 OK\r\n\r\ndata: a\n\n";
        CU_ASSERT_EQUAL(run_rounds(true), 503);
        CU_ASSERT_TRUE(crashes <= MG_STRIKES_MAX);
        world_shut();
    }
}

/* a request in progress is not retried after its copies have crashed three
   targets */
static void
test_refused_meanwhile(void)
{
    open_crash_world(MG_RETRY_BEFORE_RESPONSE, false);
    hold_first = true;
    world_send("/crash");
    while (held_by < 0) {
        uv_run(&world_loop, UV_RUN_NOWAIT);
    }
    for (int i = 0; i < ROUNDS; i++) {
        world_send("/crash");
        world_pass(20);
        restart_crashed();
    }
    CU_ASSERT_TRUE(crashes >= MG_STRIKES_MAX);
    unsigned before = world.executed;
    int last = held_by;
    held_by = WORLD_TARGETS;
    world_crash(last);
    world_run();
    CU_ASSERT_EQUAL(world.executed, before);
    CU_ASSERT_EQUAL(world.answer.status, 502);
    world_shut();
}

/* the gateway's clock goes on by ms, all at once */
static void
skip_time(int64_t ms)
{
    world.clock.lag_ms -= ms;
}

/* Guards against a request that is refused for an hour since targets crashed
   while they ran it, with another cause: it is tried later, and served. */
static void
test_tried_again(void)
{
    open_crash_world(MG_RETRY_BEFORE_RESPONSE, false);
    CU_ASSERT_EQUAL(run_rounds(false), 503);
    CU_ASSERT_EQUAL(world_get("/crash"), 503);
    world.serve = serve_all;
    skip_time(MG_TRIAL_AFTER_MS);
    CU_ASSERT_EQUAL(world_get("/crash"), 200);
    CU_ASSERT_EQUAL(world_get("/crash"), 200);
    world_shut();
}

/* a request that goes on crashing its targets is tried MG_TRIALS_MAX times */
static void
test_trials_are_limited(void)
{
    open_crash_world(MG_RETRY_BEFORE_RESPONSE, false);
    run_rounds(false);
    unsigned before = crashes;
    for (int i = 0; i < 10; i++) {
        skip_time(MG_TRIAL_AFTER_MS);
        run_rounds(false);
    }
    CU_ASSERT_TRUE(crashes > before);
    CU_ASSERT_TRUE(crashes <= before + MG_TRIALS_MAX);
    world_shut();
}

/* --------------------------------------------------- parts of prompts */

/* parts of the prompts below: the first one, the same in all prompts; then one
   of these two; then a number that no other prompt has */
#define SHARED 1
#define CRASHING 66
#define HARMLESS 77
#define PART_ROUNDS 12
/* time for probes, and between crashes: they must not all be at one moment */
#define ROUND_MS 150
/* crashes after which no more than three requests may reach targets */
#define PART_CRASHES_MAX 5

static void
serve_prompts(world_conn *c, mg_str head)
{
    if (strstr(head.p, ",66,") == NULL) {
        world_write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n");
        return;
    }
    crashes++;
    world_write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    world_crash(c->target);
}

static int
get_prompt(unsigned part)
{
    static unsigned own = 1000;
    char path[64];
    snprintf(path, sizeof(path), "/?%u,%u,%u", SHARED, part, ++own);
    return world_get(path);
}

static void
open_prompt_world(void)
{
    open_crash_world(MG_RETRY_NEVER, true);
    world.serve = serve_prompts;
}

/* requests with one part that crashes targets, no two alike, beside harmless
   requests with the same first part */
static void
test_crashing_part(void)
{
    unsigned served = 0;
    int status = 0;
    open_prompt_world();
    for (int i = 0; i < PART_ROUNDS; i++) {
        served += get_prompt(HARMLESS) == 200;
        status = get_prompt(CRASHING);
        world_pass(ROUND_MS);
        restart_crashed();
        served += get_prompt(HARMLESS) == 200;
    }
    printf(
        "\n  %u crashes, last status %d, %u of %d harmless requests served\n",
        crashes, status, served, 2 * PART_ROUNDS);
    CU_ASSERT_EQUAL(status, 503);
    CU_ASSERT_TRUE(crashes <= PART_CRASHES_MAX);
    CU_ASSERT_EQUAL(served, 2 * PART_ROUNDS);
    world_shut();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"crashes on new channels are counted", test_new_channels},
        {"crashes on reused channels are counted", test_reused_channels},
        {"crashes in unframed streams are counted", test_unframed_streams},
        {"crashes that end an unframed answer are counted",
         test_unframed_ends},
        {"no retry after three crashes", test_refused_meanwhile},
        {"a refused request is tried again", test_tried_again},
        {"a refused request is tried a few times", test_trials_are_limited},
        {"a prompt part that crashes its targets", test_crashing_part},
        CU_TEST_INFO_NULL,
    };
    return run_suite("crash", tests);
}
