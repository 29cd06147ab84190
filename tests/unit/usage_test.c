/* workspace usage that entries report to each other */
#include "suite.h"

#include "gateway/gateway_int.h"

#define WINDOW_S 8
#define WINDOW_MS (WINDOW_S * 1000)
#define LONG_UPTIME_MS 60000
/* units a second, of a burst and of a whole window */
#define QUOTA_RATE 100
#define QUOTA_BURST 200
#define QUOTA_WINDOW (QUOTA_RATE * WINDOW_S + QUOTA_BURST)

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

static const mg_quota_limits limits = {
    .rate = QUOTA_RATE,
    .burst = QUOTA_BURST,
    .ceiling = QUOTA_WINDOW,
    .window_ms = WINDOW_MS,
};

/* Takes units until one is refused; returns their number. */
static unsigned
take_all(mg_gateway *gw)
{
    mg_quota *q = &mg_gw_usage_of(gw, "w")->quota;
    unsigned n = 0;
    mg_quota_set(q, &limits);
    while (n < 10 * QUOTA_WINDOW && mg_quota_take(q, 1, 0.5, clk.mono)) {
        n++;
    }
    return n;
}

/* An entry among others that starts doesn't grant the burst, which others, or
   its earlier process, may just have granted. */
static void
test_start_has_no_burst(void)
{
    static const mg_gateway_entry entries[] = {{"e0", "d"}, {"e1", "d"}};
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    mg_gateway *gw = new_gateway();
    mg_gateway_set_entries(gw, entries, 2, 0);
    CU_ASSERT_EQUAL(take_all(gw), 0);
    clk.mono += 1000;
    CU_ASSERT_EQUAL(take_all(gw), QUOTA_RATE);
    clk.mono += WINDOW_MS;
    CU_ASSERT_EQUAL(take_all(gw), QUOTA_BURST);
}

/* An entry that starts while a window holds all that is allowed doesn't add to
   it; it does when that use has left the window. */
static void
test_start_within_a_window(void)
{
    mg_buf loads = {0};
    unsigned used = 0;
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    mg_gateway *old = new_gateway();
    clk.mono += LONG_UPTIME_MS;
    for (int ms = 0; ms < WINDOW_MS - 500; ms += 500) {
        used += take_all(old);
        clk.mono += 500;
    }
    CU_ASSERT_EQUAL(used, QUOTA_BURST + QUOTA_RATE * 7);
    mg_gateway *started = new_gateway();
    mg_gateway_receive_report(old, "10.0.0.2", 7, (mg_str){"", 0});
    mg_gateway_append_report(old, &loads);
    mg_gateway_receive_report(started, "10.0.0.1", 1, mg_str_buf(&loads));
    CU_ASSERT_TRUE(in_window(started) > used * 0.9);
    CU_ASSERT_TRUE(take_all(started) <= QUOTA_WINDOW - used);
    /* another entry reports the same */
    mg_gateway_receive_report(started, "10.0.0.3", 1, mg_str_buf(&loads));
    CU_ASSERT_EQUAL(take_all(started), 0);
    clk.mono += WINDOW_MS + WINDOW_MS / 8;
    CU_ASSERT_EQUAL(take_all(started), QUOTA_BURST);
    mg_buf_free(&loads);
}

static void
report_refused(mg_gateway *gw, uint64_t used, uint64_t refused)
{
    mg_buf loads = {0};
    mg_msg m = {.type = MG_MSG_LOAD_USAGE};
    m.u.load_usage.workspace = mg_str_of("w");
    m.u.load_usage.used = used;
    mg_msg_encode(&m, &loads);
    m.type = MG_MSG_LOAD_REFUSED;
    m.u.load_refused.workspace = mg_str_of("w");
    m.u.load_refused.cost = refused;
    mg_msg_encode(&m, &loads);
    mg_gateway_receive_report(gw, "10.0.0.1", 1, mg_str_buf(&loads));
    mg_buf_free(&loads);
}

static double
asked(mg_gateway *gw)
{
    const mg_quota *q = &mg_gw_usage_of(gw, "w")->quota;
    double sum = 0;
    for (int i = 0; i < MG_QUOTA_SLICES; i++) {
        sum += q->asked_per_slice[i];
    }
    return sum;
}

/* The demand at other entries is what they used and what they refused since
   their reports before. */
static void
test_refusals_of_others(void)
{
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    mg_gateway *gw = new_gateway();
    clk.mono += LONG_UPTIME_MS;
    report_refused(gw, 100, 7000);
    CU_ASSERT_EQUAL(in_window(gw), 100);
    CU_ASSERT_EQUAL(asked(gw), 100);
    report_refused(gw, 150, 7900);
    CU_ASSERT_EQUAL(in_window(gw), 150);
    CU_ASSERT_EQUAL(asked(gw), 150 + 900);
}

/* An entry that no longer reports keeps its part of the quota for a while. */
static void
test_silent_entries(void)
{
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    mg_gateway *gw = new_gateway();
    mg_gateway_set_report_age(gw, 250);
    CU_ASSERT_EQUAL(mg_gw_heard(gw).part, 1);
    report(gw, "10.0.0.1", 1, 0);
    report(gw, "10.0.0.2", 1, 0);
    CU_ASSERT_EQUAL(mg_gw_heard(gw).part, 1);
    clk.mono += 1000;
    report(gw, "10.0.0.2", 1, 0);
    CU_ASSERT_DOUBLE_EQUAL(mg_gw_heard(gw).part, 2.0 / 3, 1e-9);
    clk.mono += 60000;
    report(gw, "10.0.0.2", 1, 0);
    CU_ASSERT_EQUAL(mg_gw_heard(gw).part, 1);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"before the first request", test_before_the_first_request},
        {"after a start", test_after_a_start},
        {"a start within a window", test_start_within_a_window},
        {"a start has no burst", test_start_has_no_burst},
        {"refusals of others", test_refusals_of_others},
        {"silent entries", test_silent_entries},
        CU_TEST_INFO_NULL,
    };
    return run_suite("usage", tests);
}
