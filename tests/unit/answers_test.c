/* Responses of faulty targets, from the target to the client. */
#include "flow_world.h"

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const char *faulty; /* response to a request for /faulty */
static unsigned faulty_sent;

/* the first request for /faulty gets the faulty response */
static void
serve(world_conn *c, mg_str head)
{
    if (strstr(head.p, "faulty") == NULL || faulty_sent > 0) {
        world_write_ok(c);
        return;
    }
    faulty_sent++;
    world_write(c, faulty);
}

static void
open_answers_world(mg_retry_policy policy, bool stream, const char *response)
{
    mg_route r = {
        .retry_policy = policy,
        .timeout_ms = 2000,
        .goal_ms = 500,
        .gap_goal_ms = 300,
        .attempts_max = 2,
        .stream = stream,
    };
    faulty = response;
    faulty_sent = 0;
    world_open(world_routing(&r, 0, 0), WORLD_TARGETS, serve);
}

static void
test_malformed_chunks(void)
{
    static const char *const rows[] = {CHUNKED "x", CHUNKED "2\r\nokX",
                                       "HTTP/1.1 100 Continue\r\n\r\n" CHUNKED
                                       "x"};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        open_answers_world(MG_RETRY_NEVER, false, rows[i]);
        CU_ASSERT_EQUAL(world_get("/faulty"), 502);
        CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
        CU_ASSERT_EQUAL(world_get("/"), 200);
        world_shut();
        open_answers_world(MG_RETRY_BEFORE_RESPONSE, false, rows[i]);
        CU_ASSERT_EQUAL(world_get("/faulty"), 200);
        CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&world.answer.body), "ok"));
        CU_ASSERT_EQUAL(world.executed, 2);
        world_shut();
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"malformed chunks", test_malformed_chunks},
        CU_TEST_INFO_NULL,
    };
    return run_suite("answers", tests);
}
