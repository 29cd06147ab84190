/*
 * How the end of a connection ends a response: a channel to a server that
 * breaks off in a given way. Guards against a response that is taken as
 * complete although its connection was reset.
 */
#include "suite.h"

#include <signal.h>
#include <unistd.h>

#include "base/addr.h"
#include "wire/channel.h"

#define PORT 24741
#define TIMEOUT_MS 2000
#define UPLOAD_BYTES (16u << 20) /* more than the sockets' buffers hold */
#define WITHOUT_LENGTH "HTTP/1.1 200 OK\r\n\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define SIZED "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"

typedef enum ending {
    END_FIN,
    END_RESET,            /* together with the last bytes */
    END_RESET_LATER,      /* after the client has read the last bytes */
    END_RESET_IN_ON_DATA, /* between the client's read and its next write */
    END_FIN_THEN_RESET,   /* the server closes, and the upload goes on */
    END_FIN_THEN_READ,    /* the server takes the rest of the upload */
} ending;

static struct {
    mg_channel_callbacks callbacks;
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_tcp_t peer;
    uv_timer_t timer;
    uv_shutdown_t shutdown;
    mg_channel *channel;
    const char *response;
    ending ending;
    size_t upload; /* bytes */
    size_t received;
    bool answered;
    mg_buf body;
    unsigned ended;
    mg_channel_result result;
    char end[MG_CHANNEL_END_SIZE];
    char in[1 << 16];
} world;

static void
close_handle(uv_handle_t *h)
{
    if (h->loop != NULL && !uv_is_closing(h)) {
        uv_close(h, NULL);
    }
}

static void
reset_peer(void)
{
    if (!uv_is_closing((uv_handle_t *)&world.peer)) {
        uv_tcp_close_reset(&world.peer, NULL);
    }
}

/* -------------------------------------------------------------- client */

static void
on_connected(mg_channel_callbacks *cb)
{
    (void)cb;
    mg_buf head = {0};
    mg_buf body = {0};
    mg_buf_printf(&head,
                  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
                  world.upload);
    char *bytes = calloc(1, world.upload + 1);
    mg_buf_put(&body, bytes, world.upload);
    free(bytes);
    mg_channel_send(world.channel, mg_str_buf(&head), mg_str_buf(&body),
                    false);
    mg_buf_free(&head);
    mg_buf_free(&body);
}

static mg_channel_action
on_headers(mg_channel_callbacks *cb, const mg_h1_headers *headers)
{
    (void)cb;
    (void)headers;
    return MG_CHANNEL_ACCEPT;
}

static void
on_data(mg_channel_callbacks *cb, mg_str data)
{
    (void)cb;
    mg_buf_put(&world.body, data.p, data.n);
    if (world.ending == END_RESET_IN_ON_DATA) {
        reset_peer();
    }
}

static void
on_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    (void)cb;
    world.ended++;
    world.result = result;
    mg_channel_describe_end(world.channel, world.end);
    close_handle((uv_handle_t *)&world.listener);
    close_handle((uv_handle_t *)&world.timer);
    close_handle((uv_handle_t *)&world.peer);
}

static void
on_timeout(uv_timer_t *t)
{
    (void)t;
    mg_channel_close(world.channel);
    on_end(NULL, MG_CHANNEL_CONNECT_FAILED);
}

/* -------------------------------------------------------------- server */

static void
on_later(uv_timer_t *t)
{
    (void)t;
    reset_peer();
    uv_timer_start(&world.timer, on_timeout, TIMEOUT_MS, 0);
}

static void
end_connection(uv_stream_t *s)
{
    switch (world.ending) {
    case END_FIN:
    case END_FIN_THEN_READ:
        uv_shutdown(&world.shutdown, s, NULL);
        break;
    case END_FIN_THEN_RESET:
        uv_read_stop(s);
        uv_shutdown(&world.shutdown, s, NULL);
        uv_timer_start(&world.timer, on_later, 20, 0);
        break;
    case END_RESET:
        reset_peer();
        break;
    case END_RESET_LATER:
        uv_timer_start(&world.timer, on_later, 20, 0);
        break;
    case END_RESET_IN_ON_DATA:
        break;
    }
}

static void
on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
    (void)h;
    (void)suggested;
    *b = uv_buf_init(world.in, sizeof(world.in));
}

/* How much of the request the server reads before it answers. For a write that
   fails the client must be able to write when it reads the answer. */
static size_t
bytes_before_answer(void)
{
    return world.ending == END_RESET_IN_ON_DATA ? world.upload / 4 : 1;
}

static void
on_request(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    (void)b;
    if (n <= 0) {
        return;
    }
    world.received += (size_t)n;
    if (world.answered || world.received < bytes_before_answer()) {
        return;
    }
    world.answered = true;
    uv_buf_t out =
        uv_buf_init((char *)world.response, (unsigned)strlen(world.response));
    CU_ASSERT_EQUAL(uv_try_write(s, &out, 1), (int)out.len);
    end_connection(s);
}

static void
on_accept(uv_stream_t *listener, int status)
{
    (void)status;
    uv_tcp_init(listener->loop, &world.peer);
    CU_ASSERT_EQUAL(uv_accept(listener, (uv_stream_t *)&world.peer), 0);
    uv_read_start((uv_stream_t *)&world.peer, on_alloc, on_request);
}

static void
run_request(const char *response, ending e, size_t upload)
{
    struct sockaddr_in addr;
    char text[MG_ADDR_SIZE];
    unsigned pid = (unsigned)getpid();
    mg_buf_free(&world.body);
    memset(&world, 0, sizeof(world));
    world.response = response;
    world.ending = e;
    world.upload = upload;
    signal(SIGPIPE, SIG_IGN);
    snprintf(text, sizeof(text), "127.%u.%u.%u:%d", pid >> 16 & 127,
             pid >> 8 & 255, pid & 255, PORT);
    mg_addr_parse(text, &addr);
    uv_loop_init(&world.loop);
    uv_tcp_init(&world.loop, &world.listener);
    uv_tcp_bind(&world.listener, (struct sockaddr *)&addr, 0);
    CU_ASSERT_EQUAL_FATAL(
        uv_listen((uv_stream_t *)&world.listener, 1, on_accept), 0);
    uv_timer_init(&world.loop, &world.timer);
    uv_timer_start(&world.timer, on_timeout, TIMEOUT_MS, 0);
    world.callbacks =
        (mg_channel_callbacks){on_connected, on_headers, on_data, on_end};
    world.channel = mg_channel_new(
        &(mg_channel_options){
            .loop = &world.loop,
            .addr = addr,
        },
        &world.callbacks);
    uv_run(&world.loop, UV_RUN_DEFAULT);
    uv_loop_close(&world.loop);
    CU_ASSERT_EQUAL(world.ended, 1);
}

typedef struct end_row {
    const char *response;
    ending ending;
    size_t upload;
    mg_channel_result result;
    size_t body; /* bytes that have to arrive, if the response is complete */
} end_row;

static void
check_rows(const end_row *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const end_row *r = &rows[i];
        run_request(r->response, r->ending, r->upload);
        if (world.result != r->result) {
            printf("\n  row %zu: result %d, %s\n", i, world.result, world.end);
        }
        CU_ASSERT_EQUAL(world.result, r->result);
        if (r->result == MG_CHANNEL_COMPLETE) {
            CU_ASSERT_EQUAL(world.body.n, r->body);
        }
    }
}

#define COUNT(rows) (sizeof(rows) / sizeof((rows)[0]))

static void
test_orderly_ends(void)
{
    static const end_row rows[] = {
        {WITHOUT_LENGTH "part", END_FIN, 0, MG_CHANNEL_COMPLETE, 4},
        {WITHOUT_LENGTH, END_FIN, 0, MG_CHANNEL_COMPLETE, 0},
        {SIZED "part", END_FIN, 0, MG_CHANNEL_COMPLETE, 4},
        {CHUNKED "4\r\npart\r\n0\r\n\r\n", END_FIN, 0, MG_CHANNEL_COMPLETE, 4},
        {SIZED "par", END_FIN, 0, MG_CHANNEL_TRUNCATED, 0},
        {CHUNKED "4\r\npart\r\n", END_FIN, 0, MG_CHANNEL_TRUNCATED, 0},
        {CHUNKED "4\r\npart\r\n0\r\n", END_FIN, 0, MG_CHANNEL_TRUNCATED, 0},
        {"HTTP/1.1 200 OK\r\n", END_FIN, 0, MG_CHANNEL_TRUNCATED, 0},
    };
    check_rows(rows, COUNT(rows));
}

static void
test_resets(void)
{
    static const ending endings[] = {END_RESET, END_RESET_LATER,
                                     END_RESET_IN_ON_DATA};
    for (size_t i = 0; i < COUNT(endings); i++) {
        const end_row rows[] = {
            {WITHOUT_LENGTH "part", endings[i], 0, MG_CHANNEL_TRUNCATED, 0},
            {SIZED "par", endings[i], 0, MG_CHANNEL_TRUNCATED, 0},
            {CHUNKED "4\r\npart\r\n", endings[i], 0, MG_CHANNEL_TRUNCATED, 0},
            {SIZED "part", endings[i], 0, MG_CHANNEL_COMPLETE, 4},
        };
        check_rows(rows, COUNT(rows));
    }
}

/* the server answers before it has read the request's body */
static void
test_resets_during_an_upload(void)
{
    static const ending endings[] = {END_RESET, END_RESET_LATER,
                                     END_RESET_IN_ON_DATA, END_FIN_THEN_RESET};
    for (size_t i = 0; i < COUNT(endings); i++) {
        const end_row rows[] = {
            {WITHOUT_LENGTH "part", endings[i], UPLOAD_BYTES,
             MG_CHANNEL_TRUNCATED, 0},
            {SIZED "par", endings[i], UPLOAD_BYTES, MG_CHANNEL_TRUNCATED, 0},
            {CHUNKED "4\r\npart\r\n", endings[i], UPLOAD_BYTES,
             MG_CHANNEL_TRUNCATED, 0},
        };
        check_rows(rows, COUNT(rows));
    }
}

/* Guards against an upload that counts as written because the kernel has taken
   it: the server closes after an early answer, and resets when it gets the
   rest. */
static void
test_resets_during_a_buffered_upload(void)
{
    for (size_t upload = 512 << 10; upload <= 4 << 20; upload *= 2) {
        const end_row row = {WITHOUT_LENGTH "part", END_FIN_THEN_RESET, upload,
                             MG_CHANNEL_TRUNCATED, 0};
        check_rows(&row, 1);
    }
}

/* Guards against a status that isn't one (000) and is taken for an interim
   response: what its body holds isn't an answer. */
static void
test_invalid_status(void)
{
    static const end_row rows[] = {
        {"HTTP/1.1 000 X\r\nContent-Length: 42\r\n\r\n" SIZED "body", END_FIN,
         0, MG_CHANNEL_MALFORMED, 0},
        {"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok", END_FIN, 0,
         MG_CHANNEL_MALFORMED, 0},
    };
    check_rows(rows, COUNT(rows));
}

static void
test_early_answer(void)
{
    static const end_row rows[] = {
        {WITHOUT_LENGTH "part", END_FIN_THEN_READ, UPLOAD_BYTES,
         MG_CHANNEL_COMPLETE, 4},
        {SIZED "part", END_FIN_THEN_READ, UPLOAD_BYTES, MG_CHANNEL_COMPLETE,
         4},
        {SIZED "part", END_FIN_THEN_RESET, UPLOAD_BYTES, MG_CHANNEL_COMPLETE,
         4},
        {CHUNKED "4\r\npart\r\n0\r\n\r\n", END_FIN_THEN_READ, UPLOAD_BYTES,
         MG_CHANNEL_COMPLETE, 4},
    };
    check_rows(rows, COUNT(rows));
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"orderly ends", test_orderly_ends},
        {"resets", test_resets},
        {"resets during an upload", test_resets_during_an_upload},
        {"resets during an upload that the kernel holds",
         test_resets_during_a_buffered_upload},
        {"an answer during an upload", test_early_answer},
        {"a status that isn't one", test_invalid_status},
        CU_TEST_INFO_NULL,
    };
    return run_suite("ends", tests);
}
