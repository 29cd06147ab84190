/*
 * Targets that send bytes without end, through a gateway to a client. Guards
 * against a process that keeps them, and against a connection that is read as
 * long as its target sends.
 */
#include "flow_world.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define OTHER OK "x-id: other\r\n"
#define LENGTH "Content-Length: 999999999999\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
/* a test ends the flood by the deadline only if nothing else does */
#define DEADLINE_MS 2500
/* what a gateway holds at most, with what arrives in one read */
#define HELD_MAX (MG_RESPONSES_BYTES_MAX + WORLD_BLOCK_BYTES)
#define UNREAD_S 10

static const char *start;
static const char *repeated;
static size_t held_max;

static void
serve(world_conn *c, mg_str head)
{
    if (strstr(head.p, "flood") == NULL) {
        world_write_ok(c);
        return;
    }
    world_write(c, start);
    world_flood(c, repeated);
}

static void
open_world(bool stream, const char *first, const char *then)
{
    mg_route r = {
        .retry_policy = MG_RETRY_NEVER,
        .timeout_ms = DEADLINE_MS,
        .goal_ms = 500,
        .gap_goal_ms = 300,
        .attempts_max = 2,
        .stream = stream,
    };
    start = first;
    repeated = then;
    held_max = 0;
    world_open(world_routing(&r, 0, 0), 1, serve);
}

static void
turn(void)
{
    size_t held = world.gateway->response_memory.held;
    uv_run(&world_loop, UV_RUN_NOWAIT);
    held_max = held > held_max ? held : held_max;
}

/* Sends a request for a flood; returns the status that the client got. */
static int
get_flood(void)
{
    uint64_t end = uv_hrtime() + (uint64_t)WORLD_RUN_MAX_MS * 1000000;
    world_send("/flood");
    while (world.ended < world.started && uv_hrtime() < end) {
        turn();
    }
    CU_ASSERT_EQUAL(world.ended, world.started);
    CU_ASSERT_TRUE(held_max <= HELD_MAX);
    CU_ASSERT_EQUAL(world.gateway->response_memory.held, 0);
    return world.answer.status;
}

/* whether the gateway has closed its connections to the target */
static bool
is_closed(void)
{
    world_pass(50);
    return list_empty(&world.targets[0].conns);
}

static void
test_floods(void)
{
    static const struct {
        const char *start;
        const char *repeated;
        bool stream;
        int status; /* 504: at the deadline */
    } rows[] = {
        /* heads */
        {OK, "X-Filler: 0123456789abcdef\r\n", false, 502},
        {OK "X-Filler: ", "0123456789abcdef", false, 502},
        {"", "HTTP/1.1 100 Continue\r\n\r\n", false, 502},
        {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", true, 502},
        {"", "no answer at all", false, 502},
        /* what belongs to no body */
        {OK CHUNKED "2;", "x", false, 502},
        {OK CHUNKED "2", " ", true, 502},
        {OK CHUNKED, "0", false, 502},
        {OK CHUNKED "0\r\n", "X-Filler: 0123456789abcdef\r\n", false, 502},
        {OK CHUNKED "0\r\nX-Filler:", "0123456789abcdef", true, 502},
        /* bodies */
        {OK LENGTH, "0123456789abcdef", false, 502},
        {OK CHUNKED, "10\r\n0123456789abcdef\r\n", false, 502},
        {OK CHUNKED "ffffffffffffffff\r\n", "0123456789abcdef", false, 502},
        {OK "\r\n", "0123456789abcdef", false, 502},
        {"HTTP/1.1 500 Error\r\n" LENGTH, "0123456789abcdef", true, 502},
        /* an event */
        {OK LENGTH, "data: 0123456789abcdef\n", true, 502},
        {OK CHUNKED, "10\r\n0123456789abcdef\r\n", true, 502},
        /* answers that belong to other requests */
        {"", OTHER "Content-Length: 2\r\n\r\nok", false, 502},
        {"", OTHER "Content-Length: 0\r\n\r\n", true, 502},
        {OTHER LENGTH, "0123456789abcdef", false, 502},
        {OTHER CHUNKED, "10\r\n0123456789abcdef\r\n", false, 502},
        {OTHER "\r\n", "0123456789abcdef", true, 502},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        open_world(rows[i].stream, rows[i].start, rows[i].repeated);
        int status = get_flood();
        if (status != rows[i].status) {
            printf("\n  row %zu: %d, %zu KB held", i, status, held_max >> 10);
        }
        CU_ASSERT_EQUAL(status, rows[i].status);
        CU_ASSERT_EQUAL(world.answer.body.n, 0);
        CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
        CU_ASSERT_TRUE(is_closed());
        world_shut();
    }
}

/* a whole answer is delivered; what follows ends the connection */
static void
test_floods_after_an_answer(void)
{
    static const char *const answers[] = {
        OK "Content-Length: 2\r\n\r\nok", OK CHUNKED "2\r\nok\r\n0\r\n\r\n",
        OK "Content-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n" LENGTH,
        "HTTP/1.1 304 Not Modified\r\n" LENGTH};
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        open_world(false, answers[i], OK "Content-Length: 2\r\n\r\nok");
        int status = get_flood();
        CU_ASSERT_EQUAL(status, i == 3 ? 204 : i == 4 ? 304 : 200);
        CU_ASSERT_EQUAL(world.answer.body.n, i < 2 ? 2 : 0);
        CU_ASSERT_TRUE(is_closed());
        CU_ASSERT_EQUAL(world_get("/"), 200);
        world_shut();
    }
}

/* events without end, to a client that doesn't read them */
static void
test_events_that_are_not_read(void)
{
    open_world(true, OK CHUNKED, "10\r\ndata: 01234567\n\n\r\n");
    int fd = world_connect("GET", "/flood");
    uint64_t end = uv_hrtime() + (uint64_t)UNREAD_S * 1000000000;
    size_t unsent_max = 0;
    do {
        size_t unsent = mg_http_unwritten(world.front);
        turn();
        unsent_max = unsent > unsent_max ? unsent : unsent_max;
    } while ((world.executed == 0 || mg_http_open_requests(world.front) > 0) &&
             uv_hrtime() < end);
    CU_ASSERT_EQUAL(mg_http_open_requests(world.front), 0);
    CU_ASSERT_TRUE(unsent_max > 0 && unsent_max <= HELD_MAX);
    CU_ASSERT_TRUE(is_closed());
    close(fd);
    world_shut();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"bytes without end", test_floods},
        {"bytes without end after an answer", test_floods_after_an_answer},
        {"events that are not read", test_events_that_are_not_read},
        CU_TEST_INFO_NULL,
    };
    return run_suite("floods", tests);
}
