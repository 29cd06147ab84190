/* Responses of faulty targets, from the target to the client. */
#include "flow_world.h"

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const char *faulty; /* response to a request for /faulty */
static unsigned faulty_sent;
static uint32_t attempts_max = 2;
static bool close_after; /* the faulty response ends with its connection */

/* The first request for /faulty gets the faulty response; it is served when
   it is sent again, and so are all other requests. */
static void
serve(world_conn *c, mg_str head)
{
    if (strstr(head.p, "faulty") == NULL || faulty_sent > 0) {
        world_write_ok(c);
        return;
    }
    faulty_sent++;
    world_write(c, faulty);
    if (close_after) {
        world_close(c);
    }
}

static void
open_answers_world(mg_retry_policy policy, bool stream, const char *response)
{
    mg_route r = {
        .retry_policy = policy,
        .timeout_ms = 2000,
        .goal_ms = 500,
        .gap_goal_ms = 300,
        .attempts_max = attempts_max,
        .stream = stream,
    };
    faulty = response;
    faulty_sent = 0;
    close_after = false;
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

/* a target stops in the middle of its header section and closes */
static void
test_partial_headers(void)
{
    static const char *const rows[] = {
        "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "HTTP/1.1 2"};
    for (size_t i = 0; i < 2 * sizeof(rows) / sizeof(rows[0]); i++) {
        open_answers_world(MG_RETRY_NEVER, i % 2, rows[i / 2]);
        close_after = true;
        CU_ASSERT_EQUAL(world_get("/faulty"), 502);
        CU_ASSERT_EQUAL(world_get("/"), i % 2 ? 502 : 200);
        world_shut();
    }
}

/* Guards against a response that is framed as complete although its target may
   have crashed in it: one whose target sent no length has none either. */
static void
test_response_without_length(void)
{
    open_answers_world(MG_RETRY_NEVER, false,
                       "HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\nwhole");
    close_after = true;
    CU_ASSERT_EQUAL(world_get("/faulty"), 200);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_TRUNCATED);
    CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&world.answer.body), "whole"));
    world_shut();
}

/* -------------------------------------------- streams that are resumed */

#define EVENT_1 "id: 1\ndata: a\n\n"
#define EVENT_2 "id: 2\ndata: b\n\n"

static const char error_chunked[] =
    "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nerror\r\n0\r\n\r\n";

/* the first target breaks off after an event, the next one sends this */
static const char *second_answer;

static void
serve_broken_stream(world_conn *c, mg_str head)
{
    (void)head;
    if (faulty_sent++ == 0) {
        world_write(c, CHUNKED "f\r\n" EVENT_1 "\r\n");
        world_close(c);
        return;
    }
    world_write(c, second_answer);
}

static void
test_error_after_a_broken_stream(void)
{
    static const char *const rows[] = {
        "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nerror",
        error_chunked,
        "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 204 No Content\r\n\r\n",
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        open_answers_world(MG_RETRY_RESUME, true, NULL);
        world.serve = serve_broken_stream;
        second_answer = rows[i];
        CU_ASSERT_EQUAL(world_get("/"), 200);
        CU_ASSERT_EQUAL(world.executed, 2);
        CU_ASSERT_NOT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
        CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&world.answer.body), EVENT_1));
        world_shut();
    }
    open_answers_world(MG_RETRY_RESUME, true, NULL);
    world.serve = serve_broken_stream;
    second_answer = CHUNKED "f\r\n" EVENT_2 "\r\n0\r\n\r\n";
    CU_ASSERT_EQUAL(world_get("/"), 200);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
    CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&world.answer.body), EVENT_1 EVENT_2));
    world_shut();
}

/* --------------------------- streams that end with their connection */

#define WITHOUT_LENGTH "HTTP/1.1 200 OK\r\n\r\n"

/* Guards against a stream that is framed as complete although its target has
   died between two events: the client is told no more than the target told. */
static void
test_stream_without_chunks(void)
{
    open_answers_world(MG_RETRY_NEVER, true, WITHOUT_LENGTH EVENT_1);
    close_after = true;
    CU_ASSERT_EQUAL(world_get("/faulty"), 200);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_TRUNCATED);
    CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&world.answer.body), EVENT_1));
    world_shut();
}

/* a target that sends a response and ends its connection, by turns */
static const char *const *answers;

static void
serve_in_turn(world_conn *c, mg_str head)
{
    (void)head;
    world_write(c, answers[faulty_sent++]);
    world_close(c);
}

/* Guards against the last chunk after a run whose end can't be known: it is
   sent only once another run has confirmed that nothing is left. */
static void
test_resumed_without_chunks(void)
{
    static const char *const in_turn[] = {
        CHUNKED "f\r\n" EVENT_1 "\r\n",
        WITHOUT_LENGTH EVENT_2,
        CHUNKED "0\r\n\r\n",
    };
    for (uint32_t attempts = 2; attempts <= 3; attempts++) {
        attempts_max = attempts;
        open_answers_world(MG_RETRY_RESUME, true, NULL);
        world.serve = serve_in_turn;
        answers = in_turn;
        CU_ASSERT_EQUAL(world_get("/"), 200);
        CU_ASSERT_EQUAL(world.executed, attempts);
        CU_ASSERT_EQUAL(world.answer.result == MG_HTTP_COMPLETE,
                        attempts == 3);
        CU_ASSERT_TRUE(
            mg_str_is(mg_str_buf(&world.answer.body), EVENT_1 EVENT_2));
        world_shut();
    }
    attempts_max = 2;
}

/* a response that the client gets without chunks may be resumed in chunks */
static void
test_resumed_with_chunks(void)
{
    static const char *const in_turn[] = {
        WITHOUT_LENGTH EVENT_1 "id: 2\nda",
        CHUNKED "f\r\n" EVENT_2 "\r\n0\r\n\r\n",
    };
    open_answers_world(MG_RETRY_RESUME, true, NULL);
    world.serve = serve_in_turn;
    answers = in_turn;
    CU_ASSERT_EQUAL(world_get("/"), 200);
    CU_ASSERT_EQUAL(world.executed, 2);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_TRUNCATED);
    CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&world.answer.body), EVENT_1 EVENT_2));
    world_shut();
}

/* Guards against two runs that are joined at an unknown place: events without
   ids can't be resumed. */
static void
test_resumed_without_ids(void)
{
    static const char *const in_turn[] = {
        CHUNKED "9\r\ndata: a\n\n\r\n",
        CHUNKED "12\r\ndata: a\n\ndata: b\n\n\r\n0\r\n\r\n",
    };
    open_answers_world(MG_RETRY_RESUME, true, NULL);
    world.serve = serve_in_turn;
    answers = in_turn;
    CU_ASSERT_EQUAL(world_get("/"), 200);
    printf("\n  executed %u, result %d, body %.*s", world.executed,
           world.answer.result, (int)world.answer.body.n, world.answer.body.p);
    CU_ASSERT_EQUAL(world.executed, 1);
    CU_ASSERT_NOT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
    CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&world.answer.body), "data: a\n\n"));
    world_shut();
}

/* --------------------------------------- responses that are reset */

static void
serve_reset(world_conn *c, mg_str head)
{
    (void)head;
    world_write(c, WITHOUT_LENGTH EVENT_1);
    list_del(&c->link);
    uv_tcp_close_reset(&c->tcp, world_free_handle);
}

/* the bytes and the reset arrive together */
static void
test_reset_response(void)
{
    for (int stream = 0; stream < 2; stream++) {
        open_answers_world(MG_RETRY_NEVER, stream, NULL);
        world.serve = serve_reset;
        CU_ASSERT_EQUAL(world_get("/"), stream ? 200 : 502);
        CU_ASSERT_EQUAL(world.answer.result,
                        stream ? MG_HTTP_TRUNCATED : MG_HTTP_COMPLETE);
        world_shut();
    }
}

/* ------------------------------------------------- repeated refusals */

#define REFUSAL                                                        \
    "HTTP/1.1 503 Full\r\nx-id: r\r\nx-not-run: 1\r\nContent-Length: " \
    "0\r\n\r\n"
#define REFUSAL_WITHOUT_ID \
    "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"

static void
open_single_target(void (*serve_refusal)(world_conn *c, mg_str head))
{
    mg_route r = {.retry_policy = MG_RETRY_NEVER,
                  .timeout_ms = 2000,
                  .goal_ms = 500,
                  .attempts_max = 2};
    world_open(world_routing(&r, 0, 0), 1, serve_refusal);
}

static world_conn *refusing; /* connection of the first request */

/* refuses a request and writes the refusal again when the next one arrives,
   which runs */
static void
serve_repeated_refusal(world_conn *c, mg_str head)
{
    (void)head;
    if (world.executed == 1) {
        refusing = c;
        world_write(c, REFUSAL);
        return;
    }
    world_write(refusing, REFUSAL);
    if (c != refusing) {
        world_write_ok(c);
    }
}

/* the second send of a request is not taken for refused by the first one's
   refusal */
static void
test_repeated_refusal(void)
{
    open_single_target(serve_repeated_refusal);
    CU_ASSERT_EQUAL(world_get("/"), 200);
    CU_ASSERT_EQUAL(world.executed, 2);
    world_shut();
}

static void
serve_refusal_without_id(world_conn *c, mg_str head)
{
    if (strstr(head.p, "faulty") == NULL) {
        world_write_ok(c);
        return;
    }
    world_write(c, REFUSAL_WITHOUT_ID);
}

/* on a channel that has carried another request, a refusal without an id may
   be that one's */
static void
test_refusal_without_id(void)
{
    open_single_target(serve_refusal_without_id);
    CU_ASSERT_EQUAL(world_get("/"), 200);
    CU_ASSERT_EQUAL(world_get("/faulty"), 502);
    CU_ASSERT_EQUAL(world.executed, 2);
    world_shut();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"malformed chunks", test_malformed_chunks},
        {"a header section that breaks off", test_partial_headers},
        {"a response without a length", test_response_without_length},
        {"an error after a broken stream", test_error_after_a_broken_stream},
        {"a stream without chunks", test_stream_without_chunks},
        {"a stream resumed without chunks", test_resumed_without_chunks},
        {"a stream resumed with chunks", test_resumed_with_chunks},
        {"a stream without ids that breaks off", test_resumed_without_ids},
        {"a response that is reset", test_reset_response},
        {"a refusal that is written twice", test_repeated_refusal},
        {"a refusal without an id on a reused channel",
         test_refusal_without_id},
        CU_TEST_INFO_NULL,
    };
    return run_suite("answers", tests);
}
