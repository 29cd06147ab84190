/*
 * Guards against uses of a quota that are not counted: a request that fails at
 * one target and is sent to the other runs twice.
 */
#include "flow_world.h"

#define REQUESTS 30
#define QUOTA 12 /* requests; the rate adds none within the test */
#define RUN_MAX_MS 5000

static bool targets_fail;

static void
serve(world_conn *c, mg_str head)
{
    (void)head;
    world_write(c, targets_fail
                       ? "HTTP/1.1 500 Error\r\nContent-Length: 1\r\n\r\nx"
                       : "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
}

/* Number of requests that targets execute; fail: they respond with 500. */
static unsigned
count_executed(bool fail)
{
    mg_route r = {
        .retry_policy = MG_RETRY_BEFORE_RESPONSE,
        .timeout_ms = 2000,
        .goal_ms = 500,
        .attempts_max = 2,
    };
    targets_fail = fail;
    /* a request is admitted while some of the quota is left */
    world_open(world_routing(&r, 1e-6, QUOTA - 0.5), 2, serve);
    uint64_t end = uv_hrtime() + (uint64_t)RUN_MAX_MS * 1000000;
    for (unsigned i = 0; i < REQUESTS; i++) {
        world_get("/");
        CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
    }
    CU_ASSERT_TRUE(uv_hrtime() < end);
    printf("\n  %u requests, quota %d: targets executed %u\n", REQUESTS, QUOTA,
           world.executed);
    world_shut();
    return world.executed;
}

static void
test_quota_of_good_targets(void)
{
    CU_ASSERT_EQUAL(count_executed(false), QUOTA);
}

static void
test_quota_of_failing_targets(void)
{
    unsigned executed = count_executed(true);
    CU_ASSERT_TRUE(executed > 0);
    /* the last one that is admitted may be sent once more */
    CU_ASSERT_TRUE(executed <= QUOTA + 1);
}

static world_conn *held;

static void
serve_held(world_conn *c, mg_str head)
{
    if (strstr(head.p, "hold") != NULL) {
        held = c;
        return;
    }
    world_write_ok(c);
}

/* Guards against requests that are taken late in a planned stop: they would be
   cut at its end. What was taken before is finished. */
static void
test_draining(void)
{
    mg_route r = {
        .retry_policy = MG_RETRY_NEVER,
        .timeout_ms = 2000,
        .goal_ms = 500,
        .attempts_max = 1,
    };
    held = NULL;
    world_open(world_routing(&r, 0, 0), 1, serve_held);
    world_send("/hold");
    while (held == NULL) {
        uv_run(&world_loop, UV_RUN_NOWAIT);
    }
    mg_gateway_drain(world.gateway);
    unsigned before = world.executed;
    world_send("/");
    while (world.ended == 0) {
        uv_run(&world_loop, UV_RUN_NOWAIT);
    }
    CU_ASSERT_EQUAL(world.answer.status, 503);
    CU_ASSERT_EQUAL(world.executed, before);
    CU_ASSERT_EQUAL(mg_gateway_open_requests(world.gateway), 1);
    world_write_ok(held);
    world_run();
    CU_ASSERT_EQUAL(world.answer.status, 200);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
    CU_ASSERT_EQUAL(mg_gateway_open_requests(world.gateway), 0);
    world_shut();
}

/*
 * Guards against an answer that is taken for that of a later attempt: a
 * request is refused by two targets, one after the other, goes to the first
 * one again and is run there, while the first one writes its refusal a second
 * time. Had the client been told that it wasn't run, it would send it again.
 */
#define REFUSAL                               \
    "HTTP/1.1 503 Unavailable\r\nX-Id: r\r\n" \
    "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define LATE_ROUNDS 20

static world_conn *refused_on[WORLD_TARGETS];
static unsigned refusals;
static unsigned runs;

static void
serve_late_refusals(world_conn *c, mg_str head)
{
    if (strstr(head.p, "warm") != NULL) {
        world_write(c, "HTTP/1.1 200 OK\r\nX-Id: r\r\n"
                       "Content-Length: 2\r\n\r\nok");
        return;
    }
    if (refusals < 2) {
        refusals++;
        refused_on[c->target] = c;
        world_write(c, REFUSAL);
        return;
    }
    if (refused_on[c->target] == c) {
        world_write(c, REFUSAL);
    }
    runs++;
    world_write(c, "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 3\r\n\r\n"
                   "ran");
}

static void
test_late_refusal(void)
{
    mg_route r = {
        .retry_policy = MG_RETRY_NEVER,
        .timeout_ms = 2000,
        .goal_ms = 500,
        .attempts_max = 1,
    };
    for (int round = 0; round < LATE_ROUNDS; round++) {
        memset(refused_on, 0, sizeof(refused_on));
        refusals = 0;
        runs = 0;
        world_open(world_routing(&r, 0, 0), 2, serve_late_refusals);
        /* each target has idle channels */
        for (int i = 0; i < 4; i++) {
            world_send("/warm");
        }
        world_run();
        int status = world_get("/order");
        CU_ASSERT_EQUAL(runs, 1);
        CU_ASSERT_EQUAL(status, 200);
        world_shut();
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a quota, targets that respond", test_quota_of_good_targets},
        {"a quota, targets that fail", test_quota_of_failing_targets},
        {"a draining entry takes no requests", test_draining},
        {"a refusal written twice", test_late_refusal},
        CU_TEST_INFO_NULL,
    };
    return run_suite("flow", tests);
}
