/*
 * A channel to a server that writes given bytes for each request. Guards
 * against a response that is not read because it came together with an interim
 * one, against malformed responses, and against bytes without end.
 */
#include "suite.h"

#include <signal.h>

#include "base/addr.h"
#include "wire/channel.h"

#define ADDR "127.0.0.1:24740"
#define TIMEOUT_MS 2000
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"
#define FINAL "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static struct {
    mg_channel_callbacks callbacks;
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_tcp_t peer;
    uv_timer_t timer;
    uv_write_t write;
    mg_channel *channel;
    mg_buf response;
    mg_buf block; /* repeated after the response; empty: not */
    size_t flooded;
    mg_buf body;
    bool accepted;
    unsigned ended;
    mg_channel_result result;
    bool idle;
    bool keeps_idle; /* the channel stays open after the response */
    bool timed_out;
    bool closed; /* by the channel itself */
    char in[4096];
} world;

static void
on_connected(mg_channel_callbacks *cb)
{
    (void)cb;
    mg_str headers = mg_str_of("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    mg_channel_send(world.channel, headers, (mg_str){"", 0}, false);
}

static mg_channel_action
on_headers(mg_channel_callbacks *cb, const mg_h1_headers *headers)
{
    (void)cb;
    CU_ASSERT_EQUAL(headers->status, 200);
    return MG_CHANNEL_ACCEPT;
}

static void
on_data(mg_channel_callbacks *cb, mg_str data)
{
    (void)cb;
    mg_buf_put(&world.body, data.p, data.n);
}

static void
close_handle(uv_handle_t *h, void *arg)
{
    (void)arg;
    if (!uv_is_closing(h)) {
        uv_close(h, NULL);
    }
}

static void
end(void)
{
    close_handle((uv_handle_t *)&world.listener, NULL);
    close_handle((uv_handle_t *)&world.timer, NULL);
    if (world.accepted) {
        close_handle((uv_handle_t *)&world.peer, NULL);
    }
}

static void
on_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    (void)cb;
    world.ended++;
    world.result = result;
    if (!world.keeps_idle) {
        end();
    }
}

static void
on_timeout(uv_timer_t *t)
{
    (void)t;
    world.timed_out = true;
    mg_channel_close(world.channel);
    end();
}

static void
on_closed(void *owner, mg_channel *c)
{
    (void)owner;
    (void)c;
    world.closed = !world.timed_out;
    end();
}

static void
on_idle(void *owner, mg_channel *c)
{
    (void)owner;
    world.idle = true;
    if (!world.keeps_idle) {
        mg_channel_close(c);
    }
}

static void
on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
    (void)h;
    (void)suggested;
    *b = uv_buf_init(world.in, sizeof(world.in));
}

static void
on_written(uv_write_t *req, int status)
{
    if (status == 0 && world.block.n > 0) {
        uv_buf_t out = uv_buf_init(world.block.p, (unsigned)world.block.n);
        world.flooded += world.block.n;
        uv_write(&world.write, req->handle, &out, 1, on_written);
    }
}

static void
on_request(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    (void)b;
    if (n > 0) {
        uv_buf_t out =
            uv_buf_init(world.response.p, (unsigned)world.response.n);
        uv_write(&world.write, s, &out, 1, on_written);
    }
}

static void
on_accept(uv_stream_t *listener, int status)
{
    (void)status;
    uv_tcp_init(listener->loop, &world.peer);
    world.accepted = uv_accept(listener, (uv_stream_t *)&world.peer) == 0;
    uv_read_start((uv_stream_t *)&world.peer, on_alloc, on_request);
}

/* sends one request to a server that answers it with the response set before
 */
static void
run_request(void)
{
    struct sockaddr_in addr;
    signal(SIGPIPE, SIG_IGN);
    mg_addr_parse(ADDR, &addr);
    uv_loop_init(&world.loop);
    uv_tcp_init(&world.loop, &world.listener);
    uv_tcp_bind(&world.listener, (struct sockaddr *)&addr, 0);
    uv_listen((uv_stream_t *)&world.listener, 1, on_accept);
    uv_timer_init(&world.loop, &world.timer);
    uv_timer_start(&world.timer, on_timeout, TIMEOUT_MS, 0);
    world.callbacks =
        (mg_channel_callbacks){on_connected, on_headers, on_data, on_end};
    world.channel = mg_channel_new(
        &(mg_channel_options){
            .loop = &world.loop,
            .addr = addr,
            .on_closed = on_closed,
            .on_idle = on_idle,
        },
        &world.callbacks);
    uv_run(&world.loop, UV_RUN_DEFAULT);
    uv_loop_close(&world.loop);
}

static void
reset(void)
{
    mg_buf_free(&world.response);
    mg_buf_free(&world.block);
    mg_buf_free(&world.body);
    memset(&world, 0, sizeof(world));
}

static void
test_final_response_after_interim(void)
{
    reset();
    mg_buf_printf(&world.response, "%s%s%s", INTERIM, INTERIM, FINAL);
    run_request();
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_CHANNEL_COMPLETE);
    CU_ASSERT_EQUAL(world.body.n, 2);
}

static void
test_interim_responses_without_end(void)
{
    reset();
    for (int i = 0; i < 1000; i++) {
        mg_buf_printf(&world.response, "%s", INTERIM);
    }
    run_request();
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_CHANNEL_MALFORMED);
    reset();
}

static void
test_malformed_chunks(void)
{
    static const struct {
        const char *response;
        size_t body; /* bytes before the malformed one */
    } rows[] = {
        {CHUNKED "x", 0},
        {CHUNKED "\r\n", 0},
        {CHUNKED "2\r\nokX", 2},
        {CHUNKED "2\r\nok\r\nx", 2},
        {CHUNKED "fffffffffffffffff\r\n", 0},
        {INTERIM CHUNKED "x", 0},
        {INTERIM CHUNKED "2\r\nokX", 2},
        {CHUNKED "0x2\r\nok\r\n0\r\n\r\n", 0},
        {CHUNKED "2x\r\nok\r\n0\r\n\r\n", 0},
        {CHUNKED "2\nok\n0\n\n", 0},
        {CHUNKED "2;a\rb\r\nok\r\n0\r\n\r\n", 0},
        {CHUNKED "2\r\nok\r\n0\r\nT T: v\r\n\r\n", 2},
        {CHUNKED "2\r\nok\r\n0\r\nT: v\x01\r\n\r\n", 2},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        reset();
        mg_buf_printf(&world.response, "%s", rows[i].response);
        run_request();
        CU_ASSERT_EQUAL(world.ended, 1);
        CU_ASSERT_EQUAL(world.result, MG_CHANNEL_MALFORMED);
        CU_ASSERT_TRUE(world.body.n <= rows[i].body);
        CU_ASSERT_FALSE(world.idle);
    }
    reset();
}

/* what has no valid status is no response, not even an interim one */
static void
test_status(void)
{
    static const char *const rows[] = {"000", "001", "099",
                                       "101", "600", "999"};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        reset();
        mg_buf_printf(&world.response,
                      "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n%s", rows[i],
                      FINAL);
        run_request();
        CU_ASSERT_EQUAL(world.ended, 1);
        CU_ASSERT_EQUAL(world.result, MG_CHANNEL_MALFORMED);
        CU_ASSERT_EQUAL(world.body.n, 0);
        CU_ASSERT_FALSE(world.idle);
    }
    reset();
}

/* bytes that a server sends before it sees that the channel is closed, at
   most */
#define FLOOD_MAX (8u << 20)

/* The server sends start and then the block without end. */
static void
run_flood(const char *start, const char *block)
{
    reset();
    world.keeps_idle = true;
    mg_buf_printf(&world.response, "%s", start);
    for (int i = 0; i < 1000; i++) {
        mg_buf_printf(&world.block, "%s", block);
    }
    run_request();
}

static void
test_floods_that_are_no_response(void)
{
    static const struct {
        const char *start;
        const char *block;
    } rows[] = {
        {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef"},
        {"HTTP/1.1 200 ", "OK"},
        {"", INTERIM},
        {CHUNKED, "0000000000000000"},
        {CHUNKED "2", "        "},
        {CHUNKED "2;", "x=0123456789abcdef"},
        {CHUNKED "0\r\n", "X-Filler: 0123456789abcdef\r\n"},
        {CHUNKED "0\r\nX-Filler: ", "0123456789abcdef"},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        run_flood(rows[i].start, rows[i].block);
        if (world.ended == 0) {
            printf("\n  flood %zu: not ended, %zu KB sent", i,
                   world.flooded >> 10);
        }
        CU_ASSERT_EQUAL(world.ended, 1);
        CU_ASSERT_EQUAL(world.result, MG_CHANNEL_MALFORMED);
        CU_ASSERT_TRUE(world.closed);
        CU_ASSERT_TRUE(world.flooded <= FLOOD_MAX);
        CU_ASSERT_EQUAL(world.body.n, 0);
    }
    reset();
}

/* what follows a response ends the connection */
static void
test_floods_after_a_response(void)
{
    static const char *const rows[] = {
        FINAL, CHUNKED "2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        run_flood(rows[i], FINAL);
        CU_ASSERT_EQUAL(world.ended, 1);
        CU_ASSERT_EQUAL(world.result, MG_CHANNEL_COMPLETE);
        CU_ASSERT_TRUE(world.closed);
        CU_ASSERT_TRUE(world.flooded <= FLOOD_MAX);
        CU_ASSERT_EQUAL(world.body.n, i < 2 ? 2 : 0);
    }
    reset();
}

/* A header section is limited whether it arrives in one piece or not. */
static void
test_large_header_section(void)
{
    static const struct {
        unsigned fields;
        bool interim;
        mg_channel_result result;
    } rows[] = {
        {30, false, MG_CHANNEL_COMPLETE},  {30, true, MG_CHANNEL_COMPLETE},
        {40, false, MG_CHANNEL_MALFORMED}, {40, true, MG_CHANNEL_MALFORMED},
        {60, false, MG_CHANNEL_MALFORMED},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        reset();
        mg_buf_printf(&world.response, "HTTP/1.1 %s\r\n",
                      rows[i].interim ? "103 Early Hints" : "200 OK");
        for (unsigned k = 0; k < rows[i].fields; k++) {
            mg_buf_printf(&world.response, "X-Filler: %01000u\r\n", k);
        }
        mg_buf_printf(&world.response, "%s",
                      rows[i].interim ? "\r\n" FINAL
                                      : "Content-Length: 2\r\n\r\nok");
        run_request();
        CU_ASSERT_EQUAL(world.ended, 1);
        CU_ASSERT_EQUAL(world.result, rows[i].result);
    }
    reset();
}

/* the response is complete; nobody waits for what follows */
static void
test_bytes_after_the_last_chunk(void)
{
    reset();
    mg_buf_printf(&world.response, "%s", CHUNKED "2\r\nok\r\n0\r\n\r\nx");
    run_request();
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_CHANNEL_COMPLETE);
    CU_ASSERT_EQUAL(world.body.n, 2);
    CU_ASSERT_FALSE(world.idle);
    reset();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a final response together with an interim one",
         test_final_response_after_interim},
        {"interim responses without end", test_interim_responses_without_end},
        {"malformed chunks", test_malformed_chunks},
        {"responses without a valid status", test_status},
        {"bytes after the last chunk", test_bytes_after_the_last_chunk},
        {"large header sections", test_large_header_section},
        {"floods that are no response", test_floods_that_are_no_response},
        {"floods after a response", test_floods_after_a_response},
        CU_TEST_INFO_NULL,
    };
    return run_suite("channel", tests);
}
