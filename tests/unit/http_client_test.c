/*
 * The HTTP client against a server on real sockets that ends its response in
 * every way: with each framing, at each place, by FIN, by RST or not at all.
 * Guards against a truncated response that is taken for a complete one, and
 * against a complete one that is lost because of how its connection ended.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/check.h"
#include "wire/http.h"

#define READ_TIMEOUT_MS 250
#define CONNECT_TIMEOUT_MS 250
#define RUN_MAX_MS 5000
/* a pause of a target, as for the collection of garbage */
#define PAUSE_MS 4000
#define PAUSE_TIMEOUT_MS 10000
/* turns of the event loop in which the client takes what has arrived */
#define TURNS 50
/* of a head, more than the client keeps */
#define FLOOD_BYTES (200u << 10)
/* more than the sockets of both sides hold */
#define UPLOAD_BYTES (16u << 20)

#define HEAD "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
#define LENGTH HEAD "content-length: 4\r\n\r\n"
#define CHUNKED HEAD "transfer-encoding: chunked\r\n\r\n"
#define UNTIL_CLOSE HEAD "\r\n"

typedef enum ending {
    STAYS_OPEN,
    FIN,
    RST,
    ENDINGS,
} ending;

static const char *const ending_names[] = {"open", "FIN", "RST"};

/* what the server does with a connection */
struct script {
    const char *response; /* sent once the request has been read */
    ending end;
    bool in_one_turn;   /* the end comes together with the response */
    bool leaves_upload; /* responds to the head, doesn't read the body */
    size_t at_once;     /* if drip_ms is set: bytes that are sent together */
    int drip_ms;        /* 0, or the time before each further byte */
    int pause_ms;       /* reads nothing of the request for this time */
};

static struct {
    uv_loop_t loop;
    int listener;
    int peer; /* -1: none */
    char addr[MG_ADDR_SIZE];
    struct script script;
    int64_t read_timeout_ms;
    size_t body_max;
    size_t request_bytes;
    size_t sent; /* bytes of the response */
    uint64_t next_byte_at;
    uint64_t accepted_at;
    mg_http_client_req *req;
    const char *cancel_in; /* callback that cancels the request */
    bool refuses;          /* on_connected returns false */
    int status;
    bool not_run;
    char type[MG_NAME_SIZE];
    mg_buf body;
    unsigned ended;
    mg_http_result result;
    char why[64];
} world;

/* -------------------------------------------------------------- server */

static void
open_server(int backlog)
{
    struct sockaddr_in sin = {.sin_family = AF_INET};
    socklen_t size = sizeof(sin);
    sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    world.listener =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    CU_ASSERT_EQUAL_FATAL(
        bind(world.listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(world.listener, backlog), 0);
    getsockname(world.listener, (struct sockaddr *)&sin, &size);
    mg_addr_format(&sin, world.addr);
    world.peer = -1;
}

static void
end_connection(ending end)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    if (end == STAYS_OPEN) {
        return;
    }
    if (end == RST) {
        setsockopt(world.peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    close(world.peer);
    world.peer = -1;
}

static void
run_turns(void)
{
    for (int i = 0; i < TURNS; i++) {
        uv_run(&world.loop, UV_RUN_NOWAIT);
        usleep(100);
    }
}

/* Whether the server has read what its script reads of the request. */
static bool
read_request(void)
{
    static char in[65536];
    size_t wanted = world.script.leaves_upload ? 1 : world.request_bytes;
    size_t room = world.script.leaves_upload ? 1 : sizeof(in);
    if (wanted == 0) {
        return true;
    }
    ssize_t n = recv(world.peer, in, room, MSG_DONTWAIT);
    if (n > 0) {
        world.request_bytes -= (size_t)n;
        return world.script.leaves_upload || world.request_bytes == 0;
    }
    return false;
}

static void
send_response(void)
{
    const char *rest = world.script.response + world.sent;
    size_t n = strlen(rest);
    if (world.script.drip_ms > 0 && n > 0) {
        if (uv_hrtime() < world.next_byte_at) {
            return;
        }
        world.next_byte_at =
            uv_hrtime() + (uint64_t)world.script.drip_ms * 1000000;
        n = world.sent == 0 ? world.script.at_once : 1;
    }
    if (n > 0) {
        ssize_t sent = send(world.peer, rest, n, MSG_NOSIGNAL);
        world.sent += sent > 0 ? (size_t)sent : n;
        return;
    }
    if (!world.script.in_one_turn) {
        run_turns();
    }
    end_connection(world.script.end);
    world.script.end = STAYS_OPEN;
}

static bool
is_paused(void)
{
    uint64_t pause = (uint64_t)world.script.pause_ms * 1000000;
    return uv_hrtime() < world.accepted_at + pause;
}

static void
step_server(void)
{
    static bool requested;
    if (world.peer < 0 && world.sent == 0) {
        world.peer = accept(world.listener, NULL, NULL);
        world.accepted_at = uv_hrtime();
        requested = false;
    }
    if (world.peer < 0 || is_paused()) {
        return;
    }
    requested = requested || read_request();
    if (requested) {
        send_response();
        if (world.script.in_one_turn) {
            send_response();
        }
    }
}

/* -------------------------------------------------------------- client */

static void
maybe_cancel(const char *callback)
{
    if (world.cancel_in != NULL && strcmp(world.cancel_in, callback) == 0) {
        mg_http_client_req_cancel(world.req);
        world.cancel_in = "done";
    }
}

static bool
on_connected(void *user)
{
    (void)user;
    maybe_cancel("connected");
    return !world.refuses;
}

static void
on_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)user;
    world.status = status;
    world.not_run = not_run;
    mg_str_copy(world.type, sizeof(world.type), type);
    maybe_cancel("headers");
}

static void
on_data(void *user, mg_str data)
{
    (void)user;
    mg_buf_put(&world.body, data.p, data.n);
    maybe_cancel("data");
}

static void
on_end(void *user, mg_http_result result, const char *why)
{
    (void)user;
    world.ended++;
    world.result = result;
    snprintf(world.why, sizeof(world.why), "%s", why);
}

/* Sends a request with a body of this size, to addr or to the server. */
static void
start_request(const char *addr, size_t size)
{
    char *upload = mg_alloc(size + 1);
    memset(upload, 'u', size);
    world.req = mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = &world.loop,
        .addr = addr,
        .method = "POST",
        .path = "/x",
        .extra_headers = "x-test: 1\r\n",
        .body = {upload, size},
        .body_max = world.body_max,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .read_timeout_ms = world.read_timeout_ms,
        .on_connected = on_connected,
        .on_headers = on_headers,
        .on_data = on_data,
        .on_end = on_end,
    });
    free(upload);
}

/* Runs until the request has ended, or for the time given. */
static void
run_ms(int ms)
{
    uint64_t until = uv_hrtime() + (uint64_t)ms * 1000000;
    while (world.ended == 0 && uv_hrtime() < until) {
        step_server();
        uv_run(&world.loop, UV_RUN_NOWAIT);
        usleep(100);
    }
    run_turns();
}

static size_t
request_size(const char *addr, size_t body)
{
    char head[256];
    return body + (size_t)snprintf(head, sizeof(head),
                                   "POST /x HTTP/1.1\r\nhost: %s\r\n"
                                   "content-length: %zu\r\n"
                                   "x-test: 1\r\n\r\n",
                                   addr, body);
}

/* the client keeps its event loop for the life of the process */
static void
open_world(const struct script *script)
{
    static uv_loop_t *loop;
    uv_loop_t kept = world.loop;
    mg_buf_free(&world.body);
    memset(&world, 0, sizeof(world));
    world.loop = kept;
    if (loop == NULL) {
        loop = &world.loop;
        uv_loop_init(loop);
    }
    uv_update_time(&world.loop);
    world.script = *script;
    world.read_timeout_ms = READ_TIMEOUT_MS;
    open_server(8);
}

static void
close_world(void)
{
    if (world.peer >= 0) {
        close(world.peer);
    }
    close(world.listener);
    run_turns();
}

static void
exchange(const struct script *script, size_t upload)
{
    open_world(script);
    world.request_bytes = request_size(world.addr, upload);
    start_request(world.addr, upload);
    run_ms(RUN_MAX_MS);
    close_world();
}

/* --------------------------------------------------------------- cases */

struct row {
    const char *name;
    const char *response;
    const char *body;
    bool ends; /* it is complete, however the connection ends */
};

static const struct row rows[] = {
    {"length, whole", LENGTH "body", "body", true},
    {"length, inside the body", LENGTH "bo", "bo", false},
    {"length, before the body", LENGTH, "", false},
    {"length 0", HEAD "content-length: 0\r\n\r\n", "", true},
    {"status without a body", "HTTP/1.1 204 No Content\r\n\r\n", "", true},
    {"chunks, whole", CHUNKED "4\r\nbody\r\n0\r\n\r\n", "body", true},
    {"chunks, whole, with a trailer", CHUNKED "4\r\nbody\r\n0\r\nx: y\r\n\r\n",
     "body", true},
    {"chunks, whole, JSON", CHUNKED "2\r\n{}\r\n0\r\n\r\n", "{}", true},
    {"chunks, whole, and empty", CHUNKED "0\r\n\r\n", "", true},
    {"chunks, inside one", CHUNKED "4\r\nbo", "bo", false},
    {"chunks, before the last one", CHUNKED "4\r\nbody\r\n", "body", false},
    {"chunks, before the last one, JSON", CHUNKED "2\r\n{}\r\n", "{}", false},
    {"chunks, before the first one", CHUNKED, "", false},
    {"chunks, inside the last one", CHUNKED "4\r\nbody\r\n0\r\n", "body",
     false},
    {"chunks, malformed", CHUNKED "4\r\nbodyX", "body", false},
    {"end of connection", UNTIL_CLOSE "body", "body", false},
    {"end of connection, no body", UNTIL_CLOSE, "", false},
    {"inside the head", HEAD, "", false},
    {"inside the status line", "HTTP/1.1 200", "", false},
    {"nothing", "", "", false},
    {"two lengths", HEAD "content-length: 4\r\ncontent-length: 2\r\n\r\nbody",
     "", false},
    {"length and chunks",
     HEAD "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
          "0\r\n\r\n",
     "", false},
};

/* whether the outcome is what the row says; prints what differs */
static bool
check_row(const struct row *r, ending end, bool in_one_turn)
{
    mg_str body = mg_str_buf(&world.body);
    /* without an end, an incomplete response ends with the silence; malformed
       ones end at once */
    bool good = world.ended == 1;
    if (r->ends) {
        good = good && world.result == MG_HTTP_COMPLETE;
    }
    else {
        good = good &&
               (world.result == MG_HTTP_TRUNCATED ||
                (world.result == MG_HTTP_READ_TIMEOUT && end == STAYS_OPEN));
    }
    bool is_prefix = body.n <= strlen(r->body) &&
                     (body.n == 0 || memcmp(body.p, r->body, body.n) == 0);
    good = good && is_prefix && (!r->ends || body.n == strlen(r->body));
    if (!good) {
        printf("\n  %s, %s%s: ended %u, result %d (%s), body '%.*s'", r->name,
               ending_names[end], in_one_turn ? " in one turn" : "",
               world.ended, world.result, world.why, MG_STR_FMT(body));
    }
    return good;
}

static void
test_ends(void)
{
    int bad = 0;
    int all = 0;
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        for (int k = 0; k < 2 * ENDINGS; k++) {
            ending end = (ending)(k / 2);
            bool in_one_turn = k % 2 == 1;
            exchange(&(struct script){.response = rows[i].response,
                                      .end = end,
                                      .in_one_turn = in_one_turn},
                     0);
            bad += !check_row(&rows[i], end, in_one_turn);
            all++;
        }
    }
    printf("\n  %d of %d ends wrong\n", bad, all);
    CU_ASSERT_EQUAL(bad, 0);
}

/* the response comes while most of the request waits in the client */
static void
test_response_before_upload(void)
{
    int bad = 0;
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        for (int k = 0; k < 2 * ENDINGS; k++) {
            ending end = (ending)(k / 2);
            bool in_one_turn = k % 2 == 1;
            exchange(&(struct script){.response = rows[i].response,
                                      .end = end,
                                      .in_one_turn = in_one_turn,
                                      .leaves_upload = true},
                     UPLOAD_BYTES);
            bad += !check_row(&rows[i], end, in_one_turn);
        }
    }
    printf("\n  %d ends wrong\n", bad);
    CU_ASSERT_EQUAL(bad, 0);
}

static void
test_large_upload(void)
{
    exchange(&(struct script){.response = LENGTH "body", .end = FIN},
             UPLOAD_BYTES);
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_COMPLETE);
    CU_ASSERT_EQUAL(world.request_bytes, 0);
}

static void
test_headers(void)
{
    exchange(&(struct script){.response =
                                  "HTTP/1.1 100 Continue\r\n\r\n"
                                  "HTTP/1.1 409 Conflict\r\nX-Not-Run:\r\n"
                                  "Content-Type: a/b\r\n"
                                  "Content-Length: 0\r\n\r\n"},
             0);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_COMPLETE);
    CU_ASSERT_EQUAL(world.status, 409);
    CU_ASSERT_TRUE(world.not_run);
    CU_ASSERT_STRING_EQUAL(world.type, "a/b");
    exchange(&(struct script){.response = LENGTH "body"}, 0);
    CU_ASSERT_EQUAL(world.status, 200);
    CU_ASSERT_FALSE(world.not_run);
    CU_ASSERT_STRING_EQUAL(world.type, "text/plain");
}

/* each received part of the body postpones the timeout */
static void
test_silence(void)
{
    uint64_t start = uv_hrtime();
    exchange(&(struct script){.response = ""}, 0);
    uint64_t ms = (uv_hrtime() - start) / 1000000;
    CU_ASSERT_EQUAL(world.result, MG_HTTP_READ_TIMEOUT);
    CU_ASSERT_TRUE(ms >= READ_TIMEOUT_MS && ms < 4 * READ_TIMEOUT_MS);
    exchange(&(struct script){.response = LENGTH "bo"}, 0);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_READ_TIMEOUT);
    start = uv_hrtime();
    exchange(&(struct script){.response = UNTIL_CLOSE "0123456789",
                              .at_once = strlen(UNTIL_CLOSE),
                              .drip_ms = READ_TIMEOUT_MS / 2},
             0);
    ms = (uv_hrtime() - start) / 1000000;
    CU_ASSERT_EQUAL(world.result, MG_HTTP_READ_TIMEOUT);
    CU_ASSERT_EQUAL(world.body.n, 10);
    CU_ASSERT_TRUE(ms > 4 * READ_TIMEOUT_MS);
}

/* read_timeout_ms alone says how long a target may take no bytes */
static void
test_paused_target(void)
{
    open_world(
        &(struct script){.response = LENGTH "body", .pause_ms = PAUSE_MS});
    world.read_timeout_ms = PAUSE_TIMEOUT_MS;
    world.request_bytes = request_size(world.addr, UPLOAD_BYTES);
    start_request(world.addr, UPLOAD_BYTES);
    run_ms(PAUSE_TIMEOUT_MS);
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_COMPLETE);
    CU_ASSERT_EQUAL(world.request_bytes, 0);
    close_world();
}

static int
connect_filler(void)
{
    struct sockaddr_in sin;
    mg_addr_parse(world.addr, &sin);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    CU_ASSERT_TRUE(connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 ||
                   errno == EINPROGRESS);
    return fd;
}

/* the request was not sent: no connection, or withdrawn when it was there */
static void
test_not_sent(void)
{
    int fillers[4];
    open_world(&(struct script){.response = ""});
    close(world.listener);
    start_request(world.addr, 0);
    run_ms(RUN_MAX_MS);
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_NOT_SENT);

    open_world(&(struct script){.response = ""});
    close(world.listener);
    open_server(0); /* doesn't accept: its queue is full */
    for (int i = 0; i < 4; i++) {
        fillers[i] = connect_filler();
    }
    world.sent = 1;
    uint64_t start = uv_hrtime();
    start_request(world.addr, 0);
    run_ms(RUN_MAX_MS);
    uint64_t ms = (uv_hrtime() - start) / 1000000;
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_NOT_SENT);
    CU_ASSERT_STRING_EQUAL(world.why, "silence");
    CU_ASSERT_TRUE(ms >= CONNECT_TIMEOUT_MS && ms < 4 * CONNECT_TIMEOUT_MS);
    for (int i = 0; i < 4; i++) {
        close(fillers[i]);
    }
    close_world();

    open_world(&(struct script){.response = ""});
    world.request_bytes = 1;
    world.refuses = true;
    start_request(world.addr, 0);
    run_ms(RUN_MAX_MS);
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_NOT_SENT);
    CU_ASSERT_STRING_EQUAL(world.why, "withdrawn");
    CU_ASSERT_EQUAL(world.request_bytes, 1);
    close_world();
}

static void
test_addresses(void)
{
    char by_name[MG_ADDR_SIZE];
    open_world(&(struct script){.response = LENGTH "body"});
    snprintf(by_name, sizeof(by_name), "localhost%s",
             strrchr(world.addr, ':'));
    world.request_bytes = request_size(by_name, 0);
    start_request(by_name, 0);
    run_ms(RUN_MAX_MS);
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_COMPLETE);
    close_world();

    open_world(&(struct script){.response = LENGTH "body"});
    start_request(by_name, 0);
    mg_http_client_req_cancel(world.req);
    run_ms(100);
    CU_ASSERT_EQUAL(world.ended, 0);
    start_request("localhost", 0);
    CU_ASSERT_PTR_NULL(world.req);
    CU_ASSERT_EQUAL(world.ended, 1);
    CU_ASSERT_EQUAL(world.result, MG_HTTP_NOT_SENT);
    close_world();
}

/* a cancelled request has no further callback */
static void
test_cancel(void)
{
    static const char *const callbacks[] = {"connected", "headers", "data"};
    for (size_t i = 0; i < 3; i++) {
        open_world(&(struct script){.response = LENGTH "body", .end = FIN});
        world.request_bytes = request_size(world.addr, 0);
        world.cancel_in = callbacks[i];
        start_request(world.addr, 0);
        run_ms(100);
        CU_ASSERT_STRING_EQUAL(world.cancel_in, "done");
        CU_ASSERT_EQUAL(world.ended, 0);
        CU_ASSERT_EQUAL(world.body.n, i < 2 ? 0 : 4);
        close_world();
    }
    for (int turns = 0; turns < 5; turns++) {
        open_world(&(struct script){.response = LENGTH "body", .end = FIN});
        world.request_bytes = request_size(world.addr, UPLOAD_BYTES);
        start_request(world.addr, UPLOAD_BYTES);
        for (int i = 0; i < turns; i++) {
            step_server();
            uv_run(&world.loop, UV_RUN_NOWAIT);
        }
        mg_http_client_req_cancel(world.req);
        run_ms(20);
        CU_ASSERT_EQUAL(world.ended, 0);
        close_world();
    }
}

/* the head has a bound, and so have interim responses */
static void
test_head_without_end(void)
{
    static const struct {
        const char *start;
        const char *block; /* repeated */
    } floods[] = {
        {"HTTP/1.1 200 OK\r\n", "x-filler: 0123456789abcdef\r\n"},
        {"HTTP/1.1 200 OK\r\nx-filler: ", "0123456789abcdef"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    };
    for (size_t i = 0; i < sizeof(floods) / sizeof(floods[0]); i++) {
        mg_buf head = {0};
        mg_buf_printf(&head, "%s", floods[i].start);
        while (head.n < FLOOD_BYTES) {
            mg_buf_printf(&head, "%s", floods[i].block);
        }
        mg_buf_put(&head, "", 1);
        exchange(&(struct script){.response = head.p}, 0);
        CU_ASSERT_EQUAL(world.ended, 1);
        CU_ASSERT_EQUAL(world.result, MG_HTTP_TRUNCATED);
        mg_buf_free(&head);
    }
}

static void
test_body_max(void)
{
    for (size_t max = 3; max <= 4; max++) {
        open_world(
            &(struct script){.response = CHUNKED "4\r\nbody\r\n0\r\n\r\n"});
        world.body_max = max;
        world.request_bytes = request_size(world.addr, 0);
        start_request(world.addr, 0);
        run_ms(RUN_MAX_MS);
        close_world();
        CU_ASSERT_EQUAL(world.ended, 1);
        CU_ASSERT_EQUAL(world.result,
                        max < 4 ? MG_HTTP_TRUNCATED : MG_HTTP_COMPLETE);
        CU_ASSERT_EQUAL(world.body.n, max < 4 ? 0 : 4);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"ends of responses", test_ends},
        {"response before the upload has been read",
         test_response_before_upload},
        {"large upload", test_large_upload},
        {"headers", test_headers},
        {"silence", test_silence},
        {"paused target", test_paused_target},
        {"not sent", test_not_sent},
        {"addresses", test_addresses},
        {"cancel", test_cancel},
        {"head without end", test_head_without_end},
        {"longest body", test_body_max},
        CU_TEST_INFO_NULL,
    };
    signal(SIGPIPE, SIG_IGN);
    return run_suite("http_client", tests);
}
