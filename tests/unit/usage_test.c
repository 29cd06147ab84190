/* workspace usage that entries report to each other */
#include "suite.h"

#include "gateway/gateway_int.h"

#define WINDOW_MS 8000
#define LONG_UPTIME_MS 60000
/* units a second, of a burst and of a whole window */
#define QUOTA_RATE 100
#define QUOTA_BURST 200
#define QUOTA_WINDOW (QUOTA_RATE * WINDOW_MS / 1000 + QUOTA_BURST)

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

/* Takes units until the quota is reached; returns their number. */
static unsigned
take_all(mg_gateway *gw)
{
    mg_quota *q = &mg_gw_usage_of(gw, "w")->quota;
    unsigned n = 0;
    mg_quota_set(q, QUOTA_RATE, QUOTA_BURST, 0, WINDOW_MS);
    while (n < 10 * QUOTA_WINDOW && mg_quota_take(q, 1, clk.mono)) {
        n++;
    }
    return n;
}

/* An entry that starts while a workspace is at its quota doesn't grant the
   quota of the last window again; it does so when that window has passed. */
static void
test_start_within_a_window(void)
{
    mg_buf loads = {0};
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    mg_gateway *old = new_gateway();
    clk.mono += LONG_UPTIME_MS;
    CU_ASSERT_EQUAL(take_all(old), QUOTA_WINDOW);
    mg_gateway *started = new_gateway();
    mg_gateway_receive_report(old, "10.0.0.2", 7, (mg_str){"", 0});
    mg_gateway_append_report(old, &loads);
    mg_gateway_receive_report(started, "10.0.0.1", 1, mg_str_buf(&loads));
    CU_ASSERT_EQUAL(take_all(started), 0);
    /* another entry reports the same */
    mg_gateway_receive_report(started, "10.0.0.3", 1, mg_str_buf(&loads));
    clk.mono += WINDOW_MS / 2;
    CU_ASSERT_EQUAL(take_all(started), 0);
    clk.mono += WINDOW_MS / 2 + WINDOW_MS / 8;
    CU_ASSERT_EQUAL(take_all(started), QUOTA_WINDOW);
    mg_buf_free(&loads);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"before the first request", test_before_the_first_request},
        {"after a start", test_after_a_start},
        {"a start within a window", test_start_within_a_window},
        CU_TEST_INFO_NULL,
    };
    return run_suite("usage", tests);
}
