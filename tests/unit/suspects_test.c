/* requests that crash the targets that run them */
#include "suite.h"

#include "gateway/suspects.h"

#define SUSPECT 78
/* an address without a listener, and one with a listener */
#define DEAD_ADDR "127.0.0.1:1"
#define LIVE_ADDR "127.0.0.1:24791"

static const mg_suspect suspect = {
    .id = {"r", 1}, .key_count = 1, .keys = {SUSPECT}};
static mg_manual_clock clk;
static mg_registry *registry;
static uv_loop_t loop;

static mg_gateway *
new_gateway(void)
{
    mg_manual_clock_init(&clk);
    clk.mono = 1000;
    registry = mg_registry_new(&clk.clock);
    return mg_gateway_new(&(mg_gateway_options){
        .loop = &loop,
        .clock = &clk.clock,
        .registry = registry,
        .domain = "d",
    });
}

static mg_gw_target *
add_target(mg_gateway *gw, const char *id, const char *addr)
{
    mg_announcement a = {.slots = 4, .seq = 1, .started_ms = 5};
    mg_str_copy(a.id, sizeof(a.id), mg_str_of(id));
    mg_str_copy(a.service, sizeof(a.service), mg_str_of("s"));
    mg_str_copy(a.addr, sizeof(a.addr), mg_str_of(addr));
    mg_registry_announce(registry, &a);
    return mg_gw_target_of(gw, mg_registry_find(registry, id));
}

static void
receive_strike(mg_gateway *gw, uint64_t fingerprint, const char *target,
               uint64_t started_ms)
{
    mg_load_strike_msg m = {.key = fingerprint,
                            .crash = mg_quarantine_crash(target, started_ms)};
    mg_suspect_receive_strike(gw, &m);
}

static void
test_three_crashes(void)
{
    mg_gateway *gw = new_gateway();
    receive_strike(gw, SUSPECT, "i-1", 5);
    receive_strike(gw, SUSPECT, "i-1", 5); /* the same crash, reported twice */
    receive_strike(gw, SUSPECT, "i-2", 5);
    CU_ASSERT_FALSE(mg_strikes_refuses(gw->strikes, SUSPECT));
    receive_strike(gw, SUSPECT, "i-2", 9); /* the target's next run */
    CU_ASSERT_TRUE(mg_strikes_refuses(gw->strikes, SUSPECT));
    CU_ASSERT_FALSE(mg_strikes_refuses(gw->strikes, SUSPECT + 1));
    clk.mono += MG_QUARANTINE_DURATION_MS + 1;
    CU_ASSERT_FALSE(mg_strikes_refuses(gw->strikes, SUSPECT));
}

/* two entries report the same two crashes in turn */
static void
test_same_crashes_in_turn(void)
{
    mg_gateway *gw = new_gateway();
    for (int i = 0; i < MG_STRIKES_MAX; i++) {
        receive_strike(gw, SUSPECT, "i-1", 5);
        receive_strike(gw, SUSPECT, "i-2", 5);
    }
    CU_ASSERT_FALSE(mg_strikes_refuses(gw->strikes, SUSPECT));
    receive_strike(gw, SUSPECT, "i-3", 5);
    CU_ASSERT_TRUE(mg_strikes_refuses(gw->strikes, SUSPECT));
}

/* crashes reported by another entry count, each once */
static void
test_reported(void)
{
    mg_gateway *reporter = new_gateway();
    mg_gateway *receiver = new_gateway();
    mg_buf loads = {0};
    for (int i = 0; i < MG_STRIKES_MAX; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%d", i);
        mg_suspect_connection_lost(
            reporter, add_target(reporter, id, DEAD_ADDR), &suspect);
    }
    uv_run(&loop, UV_RUN_DEFAULT);
    CU_ASSERT_TRUE(mg_strikes_refuses(reporter->strikes, SUSPECT));
    mg_gateway_append_report(reporter, &loads);
    mg_gateway_receive_report(receiver, "10.0.0.1", 1, mg_str_buf(&loads));
    CU_ASSERT_TRUE(mg_strikes_refuses(receiver->strikes, SUSPECT));
    for (int i = 1; i < MG_STRIKE_COPIES; i++) {
        loads.n = 0;
        clk.mono += (int64_t)MG_STRIKE_GAP_MS << i;
        mg_gateway_append_report(reporter, &loads);
        CU_ASSERT_TRUE(loads.n > 0);
    }
    loads.n = 0;
    clk.mono += MG_QUARANTINE_DURATION_MS / 2;
    mg_gateway_append_report(reporter, &loads);
    CU_ASSERT_EQUAL(loads.n, 0);
    mg_buf_free(&loads);
}

/* An entry that starts late learns which requests are refused: another entry,
   which has learnt of the crashes from reports itself, reports them again. */
static void
test_entry_that_starts(void)
{
    mg_gateway *gw = new_gateway();
    mg_gateway *late = new_gateway();
    mg_buf loads = {0};
    receive_strike(gw, SUSPECT, "i-1", 5);
    receive_strike(gw, SUSPECT, "i-2", 5);
    receive_strike(gw, SUSPECT, "i-3", 5);
    mg_gateway_receive_report(gw, "10.0.0.2", 7, (mg_str){"", 0});
    mg_gateway_append_report(gw, &loads);
    mg_gateway_receive_report(late, "10.0.0.1", 1, mg_str_buf(&loads));
    CU_ASSERT_TRUE(mg_strikes_refuses(late->strikes, SUSPECT));
    mg_buf_free(&loads);
}

/* Guards against a verdict that keeps itself up: a crash after it gives
   strikes to all parts, each with its position in the prompt, not only to the
   part that is blamed already, which may be the wrong one. */
static void
test_strikes_after_verdict(void)
{
    mg_gateway *gw = new_gateway();
    mg_flow f = {.gw = gw, .fingerprint = SUSPECT};
    mg_suspect before;
    mg_suspect after;
    f.request.parts[0].id = 1;
    f.request.parts[1].id = 2;
    f.request.parts[2].id = 3;
    f.request.part_count = 3;
    mg_suspect_of(&f, &before);
    CU_ASSERT_EQUAL_FATAL(before.key_count, 3);
    for (uint64_t i = 1; i <= MG_STRIKES_MAX; i++) {
        mg_strikes_add(gw->strikes, before.keys[2], 1, i, SUSPECT + 2 * i);
        clk.mono += MG_STRIKES_SPAN_MS;
    }
    mg_suspect_of(&f, &after);
    CU_ASSERT_TRUE(mg_suspect_refuses(&f));
    CU_ASSERT_EQUAL_FATAL(after.key_count, 3);
    for (size_t i = 0; i < after.key_count; i++) {
        CU_ASSERT_EQUAL(after.keys[i], before.keys[i]);
        CU_ASSERT_EQUAL(after.positions[i], i > 0 ? i - 1 : 0);
    }
}

static void
on_connection(uv_stream_t *server, int status)
{
    (void)server;
    (void)status;
}

/* a broken connection adds no strike while the target still listens */
static void
test_listening(void)
{
    mg_gateway *gw = new_gateway();
    struct sockaddr_in addr;
    uv_tcp_t server;
    mg_addr_parse(LIVE_ADDR, &addr);
    uv_tcp_init(&loop, &server);
    CU_ASSERT_EQUAL_FATAL(
        uv_tcp_bind(&server, (const struct sockaddr *)&addr, 0), 0);
    CU_ASSERT_EQUAL_FATAL(uv_listen((uv_stream_t *)&server, 8, on_connection),
                          0);
    for (int i = 0; i < MG_STRIKES_MAX; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%d", i);
        mg_suspect_connection_lost(gw, add_target(gw, id, LIVE_ADDR),
                                   &suspect);
    }
    for (int i = 0; i < 20; i++) {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    CU_ASSERT_FALSE(mg_strikes_refuses(gw->strikes, SUSPECT));
    uv_close((uv_handle_t *)&server, NULL);
    uv_run(&loop, UV_RUN_DEFAULT);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"three crashes of targets", test_three_crashes},
        {"the same crashes, reported in turn", test_same_crashes_in_turn},
        {"crashes seen by other entries", test_reported},
        {"an entry that starts", test_entry_that_starts},
        {"strikes after a verdict", test_strikes_after_verdict},
        {"a target that still listens", test_listening},
        CU_TEST_INFO_NULL,
    };
    uv_loop_init(&loop);
    return run_suite("suspects", tests);
}
