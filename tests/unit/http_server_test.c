/*
 * Limits of an HTTP server over all connections: bodies that arrive slowly,
 * and responses that clients don't read. Guards against a process that
 * outgrows its memory because each connection alone stays within its limits.
 */
#include "suite.h"

#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "wire/http.h"

#define PORT 24741
#define CLIENTS 12
#define BODY_BYTES (600u << 10)
#define BODIES_MAX (2u << 20)
#define RESPONSE_BYTES (8u << 20)
#define UNSENT_MAX (24u << 20)
#define RECEIVE_BUFFER_BYTES 4096
#define HANG_S 10

static struct {
    uv_loop_t loop;
    mg_http_server *server;
    int clients[CLIENTS];
    mg_buf response;
    size_t served;
} world;

/* an address of this process: the test may run several times at once */
static const char *
test_addr(void)
{
    static char addr[MG_ADDR_SIZE];
    unsigned pid = (unsigned)getpid();
    snprintf(addr, sizeof(addr), "127.%u.%u.%u:%d", pid >> 16 & 127,
             pid >> 8 & 255, pid & 255, PORT);
    return addr;
}

static void
on_request(void *user, mg_http_req *r)
{
    (void)user;
    world.served++;
    mg_http_reply(r, 200, "text/plain", NULL, mg_str_buf(&world.response));
}

static void
run_loop_ms(int ms)
{
    uint64_t end = uv_hrtime() + (uint64_t)ms * 1000000;
    while (uv_hrtime() < end) {
        uv_run(&world.loop, UV_RUN_NOWAIT);
        usleep(500);
    }
}

static void
open_world(void)
{
    mg_error err;
    memset(&world, 0, sizeof(world));
    uv_loop_init(&world.loop);
    CU_ASSERT_EQUAL_FATAL(
        mg_http_open(&world.server,
                     &(mg_http_options){
                         .loop = &world.loop,
                         .listen_addr = test_addr(),
                         .limits = {.body_max = 1u << 20,
                                    .bodies_max = BODIES_MAX,
                                    .unsent_max = UNSENT_MAX},
                         .on_request = on_request,
                     },
                     &err),
        MG_OK);
    for (int i = 0; i < CLIENTS; i++) {
        world.clients[i] = -1;
    }
}

static void
close_client(int i)
{
    if (world.clients[i] >= 0) {
        close(world.clients[i]);
        world.clients[i] = -1;
    }
}

static void
close_world(void)
{
    for (int i = 0; i < CLIENTS; i++) {
        close_client(i);
    }
    mg_http_stop_listening(world.server);
    run_loop_ms(50);
    CU_ASSERT_EQUAL(mg_http_open_requests(world.server), 0);
    mg_buf_free(&world.response);
}

static void
connect_client(int i)
{
    struct sockaddr_in sin;
    int size = RECEIVE_BUFFER_BYTES;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL_FATAL(mg_addr_parse(test_addr(), &sin), MG_OK);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)),
                          0);
    world.clients[i] = fd;
}

/* Sends bytes, with the server running whenever it must take some. */
static void
send_all(int i, const char *p, size_t n)
{
    while (n > 0) {
        ssize_t sent = send(world.clients[i], p, n, MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN) {
            return; /* refused by the server */
        }
        p += sent > 0 ? sent : 0;
        n -= sent > 0 ? (size_t)sent : 0;
        uv_run(&world.loop, UV_RUN_NOWAIT);
    }
}

static void
send_body(int i, size_t length, size_t sent)
{
    char head[128];
    char *body = mg_alloc(sent);
    int n = snprintf(head, sizeof(head),
                     "POST / HTTP/1.1\r\nHost: h\r\n"
                     "Content-Length: %zu\r\n\r\n",
                     length);
    connect_client(i);
    send_all(i, head, (size_t)n);
    send_all(i, body, sent);
    run_loop_ms(20);
    free(body);
}

/* Receives until nothing arrives; returns the number of bytes. first gets the
   start of them. */
static size_t
receive(int i, char *first, size_t size)
{
    char chunk[65536];
    size_t total = 0;
    memset(first, 0, size);
    for (int idle = 0; idle < 20;) {
        ssize_t n = recv(world.clients[i], chunk, sizeof(chunk), MSG_DONTWAIT);
        if (n > 0 && total == 0) {
            memcpy(first, chunk, (size_t)n < size ? (size_t)n : size - 1);
        }
        total += n > 0 ? (size_t)n : 0;
        idle = n > 0 ? 0 : idle + 1;
        run_loop_ms(n > 0 ? 0 : 2);
        uv_run(&world.loop, UV_RUN_NOWAIT);
    }
    return total;
}

static bool
is_refused(int i)
{
    char first[256];
    receive(i, first, sizeof(first));
    return strncmp(first, "HTTP/1.1 503", 12) == 0 &&
           strstr(first, "retry-after") != NULL;
}

/* bodies of which a part has arrived: as many as fit are waited for, small
   ones are always taken, and room is reused */
static void
test_bodies(void)
{
    char first[256];
    open_world();
    for (int i = 0; i < 6; i++) {
        send_body(i, 1u << 20, BODY_BYTES);
    }
    CU_ASSERT_EQUAL(mg_http_open_requests(world.server), 3);
    for (int i = 0; i < 6; i++) {
        CU_ASSERT_EQUAL(is_refused(i), i >= 3);
    }
    send_body(6, 1000, 1000);
    receive(6, first, sizeof(first));
    CU_ASSERT_EQUAL(strncmp(first, "HTTP/1.1 200", 12), 0);
    CU_ASSERT_EQUAL(world.served, 1);
    close_client(0);
    run_loop_ms(20);
    send_body(7, BODY_BYTES, BODY_BYTES);
    receive(7, first, sizeof(first));
    CU_ASSERT_EQUAL(strncmp(first, "HTTP/1.1 200", 12), 0);
    CU_ASSERT_EQUAL(world.served, 2);
    close_world();
}

/* one body may be as large as body_max, whatever the limit for all */
static void
test_one_large_body(void)
{
    char first[256];
    open_world();
    mg_http_set_limits(world.server,
                       &(mg_http_limits){.body_max = 2 * BODIES_MAX,
                                         .bodies_max = BODIES_MAX,
                                         .unsent_max = UNSENT_MAX});
    send_body(0, 2 * BODIES_MAX, 2 * BODIES_MAX);
    receive(0, first, sizeof(first));
    CU_ASSERT_EQUAL(strncmp(first, "HTTP/1.1 200", 12), 0);
    close_world();
}

static void
test_slow_readers(void)
{
    static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    char first[256];
    size_t complete = 0;
    open_world();
    char *bytes = mg_alloc(RESPONSE_BYTES);
    mg_buf_put(&world.response, bytes, RESPONSE_BYTES);
    free(bytes);
    for (int i = 0; i < CLIENTS; i++) {
        connect_client(i);
        send_all(i, get, sizeof(get) - 1);
        run_loop_ms(20);
    }
    CU_ASSERT_EQUAL(world.served, CLIENTS);
    CU_ASSERT_EQUAL(mg_http_open_requests(world.server), 0);
    CU_ASSERT_TRUE(mg_http_unwritten(world.server) > UNSENT_MAX / 2);
    for (int i = CLIENTS - 1; i >= 0; i--) {
        complete += receive(i, first, sizeof(first)) > RESPONSE_BYTES;
    }
    CU_ASSERT_EQUAL(mg_http_unwritten(world.server), 0);
    printf("\n  %zu of %d responses complete\n", complete, CLIENTS);
    /* the kernel holds a part of each */
    CU_ASSERT_TRUE(complete >= UNSENT_MAX / RESPONSE_BYTES);
    CU_ASSERT_TRUE(complete < CLIENTS);
    close_world();
}

/* a connection that is closed because of another one has output of its own to
   write in the same iteration of the loop */
static void
test_closed_with_output(void)
{
    static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    enum { FULL = 3 };
    /* the first two exceed the limit, which closes client 0 */
    static const int order[2 * FULL] = {5, 4, 0, 1, 2, 3};
    open_world();
    char *bytes = mg_alloc(RESPONSE_BYTES);
    mg_buf_put(&world.response, bytes, RESPONSE_BYTES);
    free(bytes);
    for (int i = 0; i < 2 * FULL; i++) {
        connect_client(i);
        run_loop_ms(10);
    }
    for (int i = 0; i < FULL; i++) {
        send_all(i, get, sizeof(get) - 1);
        run_loop_ms(20);
    }
    alarm(HANG_S);
    for (size_t k = 0; k < 2 * FULL; k++) {
        CU_ASSERT_EQUAL(
            send(world.clients[order[k]], get, sizeof(get) - 1, MSG_DONTWAIT),
            sizeof(get) - 1);
    }
    run_loop_ms(100);
    alarm(0);
    CU_ASSERT_EQUAL(world.served, 3 * FULL);
    close_world();
}

static bool aborts;

static void
on_request_without_length(void *user, mg_http_req *r)
{
    (void)user;
    mg_http_start_close_delimited(r, 200, NULL, NULL);
    mg_http_write(r, mg_str_of("part"));
    if (aborts) {
        mg_http_abort(r);
    }
    else {
        mg_http_finish(r);
    }
}

/* Guards against a response without a length that looks complete wherever it
   ends: only its end closes the connection in an orderly way. */
static void
test_without_length(void)
{
    static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    char bytes[256];
    for (int i = 0; i < 2; i++) {
        aborts = i == 1;
        open_world();
        mg_http_stop_listening(world.server);
        run_loop_ms(20);
        mg_error err;
        CU_ASSERT_EQUAL_FATAL(
            mg_http_open(
                &world.server,
                &(mg_http_options){.loop = &world.loop,
                                   .listen_addr = test_addr(),
                                   .on_request = on_request_without_length},
                &err),
            MG_OK);
        connect_client(0);
        send_all(0, get, sizeof(get) - 1);
        run_loop_ms(50);
        ssize_t n;
        while ((n = recv(world.clients[0], bytes, sizeof(bytes),
                         MSG_DONTWAIT)) > 0) {
        }
        CU_ASSERT_EQUAL(n, aborts ? -1 : 0);
        CU_ASSERT_TRUE(!aborts || errno == ECONNRESET);
        close_world();
    }
}

/* Whole responses of this size, which the kernel takes at once, to a client
   that reads them late. */
#define HELD_BYTES (200u << 10)
#define LARGE_BYTES (16u << 20)

static bool without_length;
static size_t held_bytes = HELD_BYTES;
static bool keep_alive;

static void
on_request_held(void *user, mg_http_req *r)
{
    if (!without_length) {
        on_request(user, r);
        return;
    }
    mg_http_start_close_delimited(r, 200, NULL, NULL);
    mg_http_write(r, mg_str_buf(&world.response));
    mg_http_finish(r);
}

/* Returns whether the client gets the whole response, in order, if it reads it
   after it has sent late (may be NULL: it ends its sending side at once). */
static bool
gets_held_response(const char *late)
{
    const char *get = keep_alive ? "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
                                 : "GET / HTTP/1.1\r\nHost: h\r\n"
                                   "Connection: close\r\n\r\n";
    char bytes[4096];
    size_t received = 0;
    ssize_t n;
    mg_error err;
    open_world();
    mg_http_stop_listening(world.server);
    run_loop_ms(20);
    CU_ASSERT_EQUAL_FATAL(
        mg_http_open(&world.server,
                     &(mg_http_options){.loop = &world.loop,
                                        .listen_addr = test_addr(),
                                        .on_request = on_request_held},
                     &err),
        MG_OK);
    char *body = mg_alloc(held_bytes);
    mg_buf_put(&world.response, body, held_bytes);
    free(body);
    connect_client(0);
    send_all(0, get, strlen(get));
    if (late == NULL) {
        shutdown(world.clients[0], SHUT_WR);
        run_loop_ms(100);
    }
    else {
        run_loop_ms(1500);
        send_all(0, late, strlen(late));
        run_loop_ms(50);
    }
    while ((n = recv(world.clients[0], bytes, sizeof(bytes), MSG_DONTWAIT)) >
               0 ||
           (n < 0 && errno == EAGAIN)) {
        received += n > 0 ? (size_t)n : 0;
        run_loop_ms(1);
    }
    printf("\n  %s, %s: %zu bytes, then %s",
           without_length ? "close" : "sized",
           late == NULL ? "half-closed" : "late bytes", received,
           n == 0 ? "FIN" : strerror(errno));
    close_world();
    return n == 0 && received > held_bytes;
}

/* Guards against a whole response that is destroyed by the reset with which
   the kernel answers bytes that arrive after the server has closed. */
static void
test_late_bytes(void)
{
    for (int i = 0; i < 2; i++) {
        without_length = i == 1;
        CU_ASSERT_TRUE(gets_held_response("\r\n"));
    }
}

/* Guards against a whole response without a length that is reset since its
   client has ended its sending side after the request. */
static void
test_half_closed(void)
{
    for (int i = 0; i < 2; i++) {
        without_length = i == 1;
        CU_ASSERT_TRUE(gets_held_response(NULL));
    }
    /* more than the kernel takes */
    without_length = false;
    keep_alive = true;
    held_bytes = LARGE_BYTES;
    CU_ASSERT_TRUE(gets_held_response(NULL));
    keep_alive = false;
    held_bytes = HELD_BYTES;
}

#define TINY "GET / HTTP/1.1\r\n\r\n"
#define TINY_BYTES (sizeof(TINY) - 1)
#define TINY_COUNT 20000
#define SMALL_STACK_BYTES (256u << 10)
/* iterations of the event loop in which another client is served */
#define TURNS_MAX 20

static char *
tiny_requests(void)
{
    char *all = mg_alloc(TINY_COUNT * TINY_BYTES);
    for (size_t i = 0; i < TINY_COUNT; i++) {
        memcpy(all + i * TINY_BYTES, TINY, TINY_BYTES);
    }
    return all;
}

/* Sends as much as the server takes; returns the number of bytes. */
static size_t
send_some(int i, const char *p, size_t n)
{
    ssize_t sent = send(world.clients[i], p, n, MSG_DONTWAIT);
    return sent > 0 ? (size_t)sent : 0;
}

/* Guards against requests that are taken up one call deeper each: many tiny
   ones in one write overflowed the stack. The client reads the responses. */
static void *
run_pipelined(void *arg)
{
    (void)arg;
    char chunk[4096];
    char *all = tiny_requests();
    size_t n = TINY_COUNT * TINY_BYTES;
    open_world();
    connect_client(0);
    alarm(HANG_S);
    for (size_t sent = 0; sent < n || world.served < TINY_COUNT;) {
        sent += send_some(0, all + sent, n - sent);
        uv_run(&world.loop, UV_RUN_NOWAIT);
        recv(world.clients[0], chunk, sizeof(chunk), MSG_DONTWAIT);
    }
    alarm(0);
    CU_ASSERT_EQUAL(world.served, TINY_COUNT);
    free(all);
    close_world();
    return NULL;
}

static void
test_pipelined(void)
{
    pthread_t t;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, SMALL_STACK_BYTES);
    CU_ASSERT_EQUAL_FATAL(pthread_create(&t, &attr, run_pipelined, NULL), 0);
    pthread_join(t, NULL);
    pthread_attr_destroy(&attr);
}

static void
test_pipelined_in_pieces(void)
{
    char chunk[65536];
    enum { REQUESTS = 2000 };
    open_world();
    connect_client(0);
    alarm(HANG_S);
    for (size_t sent = 0;
         sent < REQUESTS * TINY_BYTES || world.served < REQUESTS;) {
        bool all = sent == REQUESTS * TINY_BYTES;
        sent += all ? 0 : send_some(0, &TINY[sent % TINY_BYTES], 1);
        uv_run(&world.loop, UV_RUN_NOWAIT);
        recv(world.clients[0], chunk, sizeof(chunk), MSG_DONTWAIT);
    }
    alarm(0);
    CU_ASSERT_EQUAL(world.served, REQUESTS);
    close_world();
}

/* A client that sends many requests and reads nothing is no longer served once
   some responses wait for it, its requests wait in its socket, and others are
   served meanwhile. */
static void
test_pipelined_unread(void)
{
    char first[256];
    char *all = tiny_requests();
    size_t n = TINY_COUNT * TINY_BYTES;
    size_t sent = 0;
    open_world();
    char *bytes = mg_alloc(1000);
    mg_buf_put(&world.response, bytes, 1000);
    free(bytes);
    connect_client(0);
    connect_client(1);
    run_loop_ms(20);
    sent = send_some(0, all, n);
    uv_run(&world.loop, UV_RUN_NOWAIT);
    /* in the middle of the first client's requests */
    send_some(1, TINY, TINY_BYTES);
    for (int i = 0; i < TURNS_MAX; i++) {
        uv_run(&world.loop, UV_RUN_NOWAIT);
    }
    CU_ASSERT_TRUE(world.served < TINY_COUNT);
    CU_ASSERT_TRUE(recv(world.clients[1], first, sizeof(first), MSG_DONTWAIT) >
                   0);
    for (int i = 0; i < 200; i++) {
        sent += send_some(0, all + sent, n - sent);
        run_loop_ms(1);
    }
    size_t served = world.served;
    CU_ASSERT_TRUE(served < TINY_COUNT / 2);
    CU_ASSERT_EQUAL(mg_http_open_requests(world.server), 0);
    receive(0, first, sizeof(first));
    CU_ASSERT_TRUE(world.served > served);
    free(all);
    close_world();
}

/* a head that a proxy must not pass on gets 400, whoever sends it */
static void
test_malformed_heads(void)
{
    static const char *const heads[] = {
        "GET / HTTP/1.1\r\nX y: z",
        "GET / HTTP/1.1\r\nX\x01y: z",
        "GET / HTTP/1.1\r\nX : z",
        "GET / HTTP/1.1\r\n: z",
        "GET / HTTP/1.1\r\nX: y\r\n z",
        "GET / HTTP/1.1\r\nX: y\rz",
        "GET / HTTP/1.1\r\nX: y\x7f",
        "POST / HTTP/1.1\r\nContent-Length: +1",
        "POST / HTTP/1.1\r\nContent-Length: 1, 1",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked",
        " / HTTP/1.1",
        "GET  HTTP/1.1",
        "G(T / HTTP/1.1",
    };
    char first[256];
    for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
        open_world();
        connect_client(0);
        send_all(0, heads[i], strlen(heads[i]));
        send_all(0, "\r\nHost: h\r\n\r\n", 13);
        receive(0, first, sizeof(first));
        if (strncmp(first, "HTTP/1.1 400", 12) != 0) {
            printf("\n  head %zu: %.12s", i, first);
        }
        CU_ASSERT_EQUAL(strncmp(first, "HTTP/1.1 400", 12), 0);
        CU_ASSERT_EQUAL(world.served, 0);
        close_world();
    }
}

#define CHUNKED_BYTES (32u << 10)

/* lines that belong to no body are limited like a head */
static void
test_long_lines_of_chunks(void)
{
    static const char head[] = "POST / HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
    static const char *const starts[] = {"2;", "2", "0\r\nT: "};
    static char filler[CHUNKED_BYTES];
    char first[256];
    memset(filler, ' ', sizeof(filler));
    for (size_t i = 0; i < sizeof(starts) / sizeof(starts[0]); i++) {
        open_world();
        connect_client(0);
        send_all(0, head, sizeof(head) - 1);
        send_all(0, starts[i], strlen(starts[i]));
        send_all(0, filler, sizeof(filler));
        receive(0, first, sizeof(first));
        CU_ASSERT_EQUAL(strncmp(first, "HTTP/1.1 400", 12), 0);
        CU_ASSERT_EQUAL(world.served, 0);
        close_world();
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"bodies that arrive slowly", test_bodies},
        {"one large body", test_one_large_body},
        {"responses that are not read", test_slow_readers},
        {"malformed heads", test_malformed_heads},
        {"long lines of chunks", test_long_lines_of_chunks},
        {"a closed connection with output", test_closed_with_output},
        {"responses without a length", test_without_length},
        {"bytes after the response", test_late_bytes},
        {"a client that has ended its sending side", test_half_closed},
        {"many requests in one write", test_pipelined},
        {"many requests in pieces", test_pipelined_in_pieces},
        {"many requests, responses not read", test_pipelined_unread},
        CU_TEST_INFO_NULL,
    };
    signal(SIGPIPE, SIG_IGN);
    return run_suite("http_server", tests);
}
