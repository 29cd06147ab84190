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

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a quota, targets that respond", test_quota_of_good_targets},
        {"a quota, targets that fail", test_quota_of_failing_targets},
        CU_TEST_INFO_NULL,
    };
    return run_suite("flow", tests);
}
