/*
 * Whole connections to an HTTP server: random series of requests in random
 * pieces, answered at once, later, in parts or never, some of them mutated.
 * Guards against a reply that re-enters the server, and against state of one
 * request that is left for the next one. Runs on a small stack.
 */
#include "suite.h"

#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/list.h"
#include "wire/http.h"

#define PORT 24745
#define CONNECTIONS 1500
#define REQUESTS_MAX 40
#define BODY_MAX 300
#define STACK_BYTES (512u << 10)
#define HANG_S 60
/* a connection is over when this time has passed without a byte or a request
 */
#define QUIET_MS 3
/* likewise, if responses are missing that must come */
#define MISSING_MS 3000

/* a request that the handler answers later */
struct deferred {
    struct list_head link;
    mg_http_req *req;
    bool started; /* a response in parts */
};

static struct {
    uv_loop_t loop;
    mg_http_server *server;
    mg_rng rng;
    struct list_head deferred;
    unsigned handled; /* requests of the present connection */
    bool may_abort;   /* the handler aborts some responses */
} world;

static void
on_disconnect(void *user)
{
    struct deferred *d = user;
    list_del(&d->link);
    free(d);
}

static void
defer(mg_http_req *r)
{
    struct deferred *d = mg_alloc(sizeof(*d));
    d->req = r;
    list_add_tail(&d->link, &world.deferred);
    mg_http_on_disconnect(r, on_disconnect, d);
}

/* The body of each response is the path of its request. */
static void
on_request(void *user, mg_http_req *r)
{
    (void)user;
    world.handled++;
    switch (mg_rng_below(&world.rng, 4)) {
    case 0:
        defer(r);
        break;
    case 1:
        mg_http_start(r, 200, NULL, NULL);
        mg_http_write(r, mg_http_path(r));
        mg_http_finish(r);
        break;
    default:
        mg_http_reply(r, 200, NULL, NULL, mg_http_path(r));
        break;
    }
}

/* Goes on with the responses that were deferred. */
static void
answer_some(void)
{
    list_for_each_safe(el, el1, &world.deferred)
    {
        struct deferred *d = list_entry(el, struct deferred, link);
        mg_http_req *r = d->req;
        uint32_t choice = mg_rng_below(&world.rng, 40);
        if (choice == 0 && world.may_abort) {
            list_del(&d->link);
            free(d);
            mg_http_abort(r);
        }
        else if (choice < 10 && !d->started) {
            d->started = true;
            mg_http_start(r, 200, NULL, NULL);
            mg_http_write(r, mg_http_path(r));
        }
        else if (choice < 20) {
            bool started = d->started;
            list_del(&d->link);
            free(d);
            if (started) {
                mg_http_finish(r);
            }
            else {
                mg_http_reply(r, 200, NULL, NULL, mg_http_path(r));
            }
        }
    }
}

static void
put_request(mg_buf *out, unsigned number)
{
    uint32_t n = mg_rng_below(&world.rng, BODY_MAX);
    switch (mg_rng_below(&world.rng, 4)) {
    case 0: /* with a length */
        mg_buf_printf(out,
                      "POST /n%u; HTTP/1.1\r\nHost: h\r\n"
                      "Content-Length: %u\r\n\r\n",
                      number, n);
        for (; n > 0; n--) {
            mg_buf_put(out, "b", 1);
        }
        break;
    case 1: /* in chunks */
        mg_buf_printf(out,
                      "PUT /n%u; HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n",
                      number);
        for (n /= 60; n > 0; n--) {
            mg_buf_printf(out, "3\r\nabc\r\n");
        }
        mg_buf_printf(out, "0\r\n\r\n");
        break;
    default:
        mg_buf_printf(out, "GET /n%u; HTTP/1.1\r\n\r\n", number);
        break;
    }
}

/* Changes, removes or repeats some bytes. */
static void
mutate(mg_buf *b)
{
    for (uint32_t k = 1 + mg_rng_below(&world.rng, 4); k > 0; k--) {
        if (b->p == NULL || b->n == 0) {
            return;
        }
        size_t at = mg_rng_below(&world.rng, (uint32_t)b->n);
        size_t n = 1 + mg_rng_below(&world.rng, 40);
        n = n < b->n - at ? n : b->n - at;
        switch (mg_rng_below(&world.rng, 3)) {
        case 0:
            b->p[at] = (char)mg_rng_below(&world.rng, 256);
            break;
        case 1:
            memmove(b->p + at, b->p + at + n, b->n - at - n);
            b->n -= b->n > n ? n : 0;
            break;
        default: {
            char copy[40];
            memcpy(copy, b->p + at, n);
            mg_buf_put(b, copy, n);
            break;
        }
        }
    }
}

static int
connect_client(void)
{
    struct sockaddr_in sin;
    char addr[MG_ADDR_SIZE];
    unsigned pid = (unsigned)getpid();
    snprintf(addr, sizeof(addr), "127.%u.%u.%u:%d", pid >> 16 & 127,
             pid >> 8 & 255, pid & 255, PORT);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL_FATAL(mg_addr_parse(addr, &sin), MG_OK);
    if (world.server == NULL) {
        mg_error err;
        CU_ASSERT_EQUAL_FATAL(
            mg_http_open(&world.server,
                         &(mg_http_options){
                             .loop = &world.loop,
                             .listen_addr = addr,
                             .limits = {.body_max = 1u << 16},
                             .on_request = on_request,
                         },
                         &err),
            MG_OK);
    }
    CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)),
                          0);
    return fd;
}

static bool
is_in_order(const mg_buf *received, unsigned count);

/* Sends all in random pieces and collects what comes back until nothing
   happens. leaves: the client closes in between; count: of responses that must
   come, 0: unknown. */
static void
exchange(const mg_buf *sent, mg_buf *received, bool leaves, unsigned count)
{
    char chunk[2000];
    int fd = connect_client();
    size_t at = 0;
    uint64_t busy_ns = uv_hrtime();
    uint64_t quiet_ns =
        (uint64_t)(count > 0 ? MISSING_MS : QUIET_MS) * 1000000;
    while (uv_hrtime() - busy_ns < quiet_ns &&
           (count == 0 || !is_in_order(received, count))) {
        size_t n = 1 + mg_rng_below(&world.rng, 700);
        unsigned handled = world.handled;
        n = n < sent->n - at ? n : sent->n - at;
        ssize_t out = n > 0 ? send(fd, sent->p + at, n, MSG_DONTWAIT) : 0;
        at += out > 0 ? (size_t)out : 0;
        uv_run(&world.loop, UV_RUN_NOWAIT);
        answer_some();
        ssize_t in = recv(fd, chunk, sizeof(chunk), MSG_DONTWAIT);
        if (in > 0) {
            mg_buf_put(received, chunk, (size_t)in);
        }
        bool closed = in == 0 || (in < 0 && errno != EAGAIN) ||
                      (out < 0 && errno != EAGAIN);
        if (closed || (leaves && mg_rng_below(&world.rng, 30) == 0)) {
            break;
        }
        bool busy = out > 0 || in > 0 || handled != world.handled ||
                    !list_empty(&world.deferred);
        busy_ns = busy ? uv_hrtime() : busy_ns;
    }
    close(fd);
    for (int i = 0; i < 20; i++) {
        uv_run(&world.loop, UV_RUN_NOWAIT);
    }
}

/* Whether the paths of all requests come back once and in order. */
static bool
is_in_order(const mg_buf *received, unsigned count)
{
    char path[16];
    size_t at = 0;
    for (unsigned i = 0; i < count && received->n > 0; i++) {
        int n = snprintf(path, sizeof(path), "/n%u;", i);
        const char *found =
            memmem(received->p + at, received->n - at, path, (size_t)n);
        if (found == NULL) {
            return false;
        }
        at = (size_t)(found - received->p) + (size_t)n;
    }
    return received->n > 0 &&
           memmem(received->p + at, received->n - at, "/n", 2) == NULL;
}

static const char *
connection_history(uint64_t seed)
{
    mg_buf sent = {0};
    mg_buf received = {0};
    const char *error = NULL;
    mg_rng_init(&world.rng, seed);
    bool mutated = seed % 2 == 0;
    bool leaves = seed % 7 == 0;
    world.may_abort = seed % 5 == 0;
    world.handled = 0;
    unsigned count = 1 + mg_rng_below(&world.rng, REQUESTS_MAX);
    for (unsigned i = 0; i < count; i++) {
        put_request(&sent, i);
    }
    if (mutated) {
        mutate(&sent);
    }
    bool is_whole = !mutated && !leaves && !world.may_abort;
    exchange(&sent, &received, leaves, is_whole ? count : 0);
    if (is_whole && !is_in_order(&received, count)) {
        error = "a response is missing, doubled or out of order";
    }
    if (mg_http_open_requests(world.server) != 0 ||
        !list_empty(&world.deferred)) {
        error = "a request is left";
    }
    mg_buf_free(&sent);
    mg_buf_free(&received);
    return error;
}

static void *
run_connections(void *arg)
{
    (void)arg;
    alarm(HANG_S);
    run_histories(connection_history, CONNECTIONS);
    alarm(0);
    return NULL;
}

static void
test_connections(void)
{
    pthread_t t;
    pthread_attr_t attr;
    uv_loop_init(&world.loop);
    init_list_head(&world.deferred);
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, STACK_BYTES);
    CU_ASSERT_EQUAL_FATAL(pthread_create(&t, &attr, run_connections, NULL), 0);
    pthread_join(t, NULL);
    pthread_attr_destroy(&attr);
    mg_http_stop_listening(world.server);
    for (int i = 0; i < 20; i++) {
        uv_run(&world.loop, UV_RUN_NOWAIT);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"whole connections", test_connections},
        CU_TEST_INFO_NULL,
    };
    signal(SIGPIPE, SIG_IGN);
    return run_suite("http_conn", tests);
}
