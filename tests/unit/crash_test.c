/* A request that crashes the targets that run it. */
#include "flow_world.h"

#include "gateway/suspects.h"

/* rounds of a request that crashes its targets, each after a restart */
#define ROUNDS 6

static unsigned crashes;

static void
serve(world_conn *c, mg_str head)
{
    if (strstr(head.p, "crash") == NULL) {
        world_write_ok(c);
        return;
    }
    crashes++;
    world_crash(c->target);
}

static void
open_crash_world(void)
{
    mg_route r = {
        .retry_policy = MG_RETRY_BEFORE_RESPONSE,
        .timeout_ms = 2000,
        .goal_ms = 500,
        .attempts_max = 2,
    };
    crashes = 0;
    world_open(world_routing(&r, 0, 0), WORLD_TARGETS, serve);
}

static void
boot_crashed(void)
{
    for (int i = 0; i < WORLD_TARGETS; i++) {
        if (world.targets[i].listener == NULL) {
            world_boot(i);
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

/* Sends the crashing request once a round; returns the last status. */
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
        boot_crashed();
    }
    printf("\n  %u crashes, last status %d\n", crashes, status);
    return status;
}

/* the last request that is let through may be sent to two targets */
static void
test_new_channels(void)
{
    open_crash_world();
    CU_ASSERT_EQUAL(run_rounds(false), 503);
    CU_ASSERT_TRUE(crashes <= MG_SUSPECT_STRIKES_MAX + 1);
    CU_ASSERT_EQUAL(world_get("/"), 200);
    world_shut();
}

static void
test_reused_channels(void)
{
    open_crash_world();
    CU_ASSERT_EQUAL(run_rounds(true), 503);
    CU_ASSERT_TRUE(crashes <= MG_SUSPECT_STRIKES_MAX + 1);
    CU_ASSERT_EQUAL(world_get("/"), 200);
    world_shut();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"crashes on new channels are counted", test_new_channels},
        {"crashes on reused channels are counted", test_reused_channels},
        CU_TEST_INFO_NULL,
    };
    return run_suite("crash", tests);
}
