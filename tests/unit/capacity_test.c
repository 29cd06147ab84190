/*
 * Guards against targets that get more requests than they state: the limit
 * holds for all entries together, and the rest goes elsewhere or is refused.
 */
#include "flow_world.h"

#define ENTRIES 6
#define RATE_MAX 1.2 /* requests a second, less than one for each entry */
/* the stated limit and half of it more, in a window of four seconds, and 5 */
#define WINDOW_REQUESTS ((unsigned)(1.5 * RATE_MAX * 4 + 5))
#define PRESS_MS 400

static int limited_targets;

static void
serve(world_conn *c, mg_str head)
{
    (void)head;
    world_write(c, c->target < limited_targets
                       ? "HTTP/1.1 200 OK\r\nX-Limit: 1.2\r\n"
                         "Content-Length: 2\r\n\r\nok"
                       : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

static unsigned
executed_by_limited(void)
{
    unsigned n = 0;
    for (int i = 0; i < limited_targets; i++) {
        n += world.executed_by[i];
    }
    return n;
}

/* Opens the gateway of one of the entries, which learns each target's limit.
 */
static void
open_entry(size_t self, int limited, int targets)
{
    static const mg_gateway_entry entries[ENTRIES] = {
        {"e0", "d"}, {"e1", "d"}, {"e2", "d"},
        {"e3", "d"}, {"e4", "d"}, {"e5", "d"},
    };
    mg_route r = {
        .retry_policy = MG_RETRY_BEFORE_RESPONSE,
        .timeout_ms = 1000,
        .goal_ms = 100,
        .attempts_max = 2,
    };
    limited_targets = limited;
    world_open(world_routing(&r, 0, 0), targets, serve);
    mg_gateway_set_entries(world.gateway, entries, ENTRIES, self);
    while (world.executed_by[0] == 0 || world.executed_by[limited - 1] == 0) {
        world_send("/");
        world_send("/");
        world_run();
    }
}

/* Sends requests one after the other for PRESS_MS; returns how many were
   served. */
static unsigned
press(unsigned *sent)
{
    unsigned served = 0;
    uint64_t end = uv_hrtime() + (uint64_t)PRESS_MS * 1000000;
    for (*sent = 0; uv_hrtime() < end; ++*sent) {
        int status = world_get("/");
        CU_ASSERT_TRUE(status == 200 || status == 503);
        served += status == 200;
    }
    return served;
}

/* All targets are limited. Each entry presses for a part of the same window;
   what they send in it must not be more than the target takes of all. */
static void
test_entries_share_a_limit(void)
{
    unsigned total = 0;
    for (size_t self = 0; self < ENTRIES; self++) {
        unsigned sent;
        open_entry(self, 1, 1);
        unsigned before = executed_by_limited();
        press(&sent);
        total += executed_by_limited() - before;
        world_shut();
    }
    printf("\n  a limit of %.1f a second: %u requests in %d ms, %u allowed\n",
           RATE_MAX, total, PRESS_MS, WINDOW_REQUESTS);
    CU_ASSERT_TRUE(total <= WINDOW_REQUESTS);
}

/* What a limited target doesn't take goes to the others. */
static void
test_the_rest_goes_elsewhere(void)
{
    unsigned sent;
    open_entry(0, 2, 3);
    unsigned before = executed_by_limited();
    unsigned served = press(&sent);
    CU_ASSERT_EQUAL(served, sent);
    CU_ASSERT_TRUE(executed_by_limited() - before <= 2 * WINDOW_REQUESTS);
    CU_ASSERT_TRUE(world.executed_by[2] > 0);
    world_shut();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"entries share the limit of a target", test_entries_share_a_limit},
        {"the rest goes elsewhere", test_the_rest_goes_elsewhere},
        CU_TEST_INFO_NULL,
    };
    return run_suite("capacity", tests);
}
