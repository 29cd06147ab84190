/* workspace usage that entries report to each other */
#include "suite.h"

#include "gateway/gateway_int.h"

#define WINDOW_MS 8000
#define LONG_UPTIME_MS 60000

static mg_manual_clock clk;

static mg_gateway *
new_gateway(void)
{
    return mg_gateway_new(&(mg_gateway_options){
        .clock = &clk.clock,
        .registry = mg_registry_new(&clk.clock),
        .domain = "d",
        .limits = {.quota_window_ms = WINDOW_MS},
    });
}

static void
report(mg_gateway *gw, const char *node, uint64_t incarnation, uint64_t used)
{
    mg_buf loads = {0};
    mg_msg m = {.type = MG_MSG_LOAD_USAGE};
    m.u.load_usage.workspace = mg_str_of("w");
    m.u.load_usage.used = used;
    mg_msg_encode(&m, &loads);
    mg_gateway_receive_report(gw, node, incarnation, mg_str_buf(&loads));
    mg_buf_free(&loads);
}

static double
in_window(mg_gateway *gw)
{
    return mg_gw_usage_of(gw, "w")->quota.used_window;
}

/* remote usage is counted before a workspace's first local request */
static void
test_before_the_first_request(void)
{
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    mg_gateway *gw = new_gateway();
    clk.mono += LONG_UPTIME_MS;
    report(gw, "10.0.0.1", 1, 500);
    CU_ASSERT_EQUAL(in_window(gw), 500);
    report(gw, "10.0.0.1", 1, 700);
    CU_ASSERT_EQUAL(in_window(gw), 700);
    report(gw, "10.0.0.2", 1, 50);
    CU_ASSERT_EQUAL(in_window(gw), 750);
    /* the next run of that entry counts from 0 */
    report(gw, "10.0.0.1", 2, 30);
    CU_ASSERT_EQUAL(in_window(gw), 780);
}

/* After an entry's start, the first total that each sender reports is not
   counted as use in the current window. */
static void
test_after_a_start(void)
{
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    mg_gateway *gw = new_gateway();
    report(gw, "10.0.0.1", 1, 1000000);
    CU_ASSERT_EQUAL(in_window(gw), 0);
    report(gw, "10.0.0.1", 1, 1000040);
    CU_ASSERT_EQUAL(in_window(gw), 40);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"before the first request", test_before_the_first_request},
        {"after a start", test_after_a_start},
        CU_TEST_INFO_NULL,
    };
    return run_suite("usage", tests);
}
