/*
 * orders - replicas of a service of orders, and requesters that place them
 *
 * orders CONNECTIONS PER_S SECONDS SHED LATE FRONT... -- CONTROL...
 *     Registers two replicas of the service "orders" and sends orders to the
 *     nodes in turn. For the first SHED_MS of each PERIOD_MS, both replicas
 *     turn a part SHED of what arrives away as if they were full. For the first
 *     LATE_MS, the first replica sends a part LATE of its answers a second
 *     time, right before its next answer on that channel. Prints each order,
 *     those that were refused and ran, and a line with the counts. The exit status is
 *     1 if there was one.
 *
 * Addresses of the replicas: BASE_PORT in the environment and the next port.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

#define REPLICAS 2
#define SLOTS 40
#define WORK_MS 5
#define HEARTBEAT_MS 1000
#define PERIOD_MS 10000
#define SHED_MS 4000
#define LATE_MS 5000
#define ORDERS_MAX 100000
#define DEADLINE_MS 2500
#define HEAD_BYTES 512

/* an attempt of a requester */
typedef struct order {
    int status; /* 0: no answer */
    unsigned runs;
    unsigned turned_away;
    unsigned copies; /* late copies of refusals that were sent */
} order;

typedef struct replica {
    char id[32];
    char addr[32];
    bool sends_copies;
} replica;

static order orders[ORDERS_MAX];
static replica replicas[REPLICAS];
static char **fronts;
static int front_count;
static char **controls;
static int control_count;
static int64_t start_ms;
static int64_t end_ms;
static double shed_part;
static double late_part;
static unsigned per_s;
static unsigned next_order;
static unsigned copies;

/* whether one of a part of the cases is drawn in the first ms of a period */
static bool
strikes(double part, int64_t ms)
{
    return (now_ms() - start_ms) % PERIOD_MS < ms && draw() < part;
}

static void
write_answer(int fd, int status, const char *attempt, char *out)
{
    if (status == 503) {
        snprintf(out, HEAD_BYTES,
                 "HTTP/1.1 503 Service Unavailable\r\n"
                 "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Not-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 attempt);
    }
    else {
        snprintf(out, HEAD_BYTES,
                 "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
                 "Marigoldgw-Response-Seal: seal-%s\r\n"
                 "Content-Length: 4\r\n\r\ndone",
                 attempt, attempt);
    }
    write_all(fd, out, strlen(out));
}

/* one connection to a replica */
struct channel {
    int fd;
    const replica *replica;
};

static void *
serve(void *arg)
{
    struct channel c = *(struct channel *)arg;
    reader r = {.fd = c.fd};
    message m;
    char attempt[64];
    char last[HEAD_BYTES];
    char late[HEAD_BYTES] = "";
    unsigned late_order = 0;
    bool late_refusal = false;
    free(arg);
    while (read_request(&r, &m)) {
        unsigned number;
        get_header(&m, "marigoldgw-attempt-id", attempt, sizeof(attempt));
        free(m.body);
        m.body = NULL;
        if (sscanf(attempt, "%x", &number) != 1 || number >= ORDERS_MAX) {
            record("replica %s: a request without an order", c.replica->id);
            break;
        }
        if (late[0] != '\0') {
            write_all(c.fd, late, strlen(late));
            __atomic_fetch_add(&copies, 1, __ATOMIC_RELAXED);
            if (late_refusal && late_order == number) {
                __atomic_fetch_add(&orders[number].copies, 1,
                                   __ATOMIC_RELAXED);
            }
            late[0] = '\0';
        }
        int status = strikes(shed_part, SHED_MS) ? 503 : 200;
        if (status == 200) {
            __atomic_fetch_add(&orders[number].runs, 1, __ATOMIC_RELAXED);
            sleep_ms(WORK_MS);
        }
        else {
            __atomic_fetch_add(&orders[number].turned_away, 1,
                               __ATOMIC_RELAXED);
        }
        write_answer(c.fd, status, attempt, last);
        if (c.replica->sends_copies && strikes(late_part, LATE_MS)) {
            memcpy(late, last, sizeof(late));
            late_order = number;
            late_refusal = status == 503;
        }
    }
    close(c.fd);
    return NULL;
}

static void *
accept_all(void *arg)
{
    const replica *p = arg;
    int listener = listen_on(p->addr);
    for (;;) {
        struct channel *c = malloc(sizeof(*c));
        c->fd = accept(listener, NULL, NULL);
        c->replica = p;
        if (c->fd >= 0) {
            start_thread(serve, c);
        }
    }
    return NULL;
}

static void *
beat(void *arg)
{
    const replica *p = arg;
    registration reg = {.id = p->id,
                        .addr = p->addr,
                        .service = "orders",
                        .zone = "zone-1",
                        .slots = SLOTS,
                        .born_ms = (uint64_t)time(NULL) * 1000};
    for (int i = 0;; i++) {
        send_heartbeat(&reg, controls[i % control_count], "ready");
        sleep_ms(HEARTBEAT_MS);
    }
    return NULL;
}

static void
place_order(reader *r, unsigned number)
{
    char text[512];
    char length[32];
    message m;
    int status = 0;
    snprintf(text, sizeof(text),
             "POST /order/ HTTP/1.1\r\nHost: site.example\r\n"
             "Marigoldgw-Attempt-Id: %016x\r\nMarigoldgw-Credential: key-1\r\n"
             "Marigoldgw-Deadline: %d\r\nContent-Length: 5\r\n\r\norder",
             number, DEADLINE_MS);
    if (write_all(r->fd, text, strlen(text)) && read_head(r, &m)) {
        sscanf(m.head, "HTTP/1.%*d %d", &status);
        get_header(&m, "content-length", length, sizeof(length));
        size_t rest = (size_t)atoll(length);
        while (rest > 0 && status != 0) {
            char bytes[256];
            size_t n = rest < sizeof(bytes) ? rest : sizeof(bytes);
            if (r->count > 0) {
                n = n < r->count ? n : r->count;
                r->count -= n;
                memmove(r->bytes, r->bytes + n, r->count);
            }
            else {
                ssize_t got = recv(r->fd, bytes, n, 0);
                status = got > 0 ? status : 0;
                n = got > 0 ? (size_t)got : 0;
            }
            rest -= n;
        }
    }
    orders[number].status = status;
    if (status == 0) {
        close(r->fd);
        r->fd = -1;
        r->count = 0;
    }
}

/* one requester with a kept channel */
static void *
request(void *arg)
{
    const char *front = arg;
    link_options options = {.read_timeout_ms = DEADLINE_MS};
    reader r = {.fd = -1};
    while (now_ms() < end_ms) {
        unsigned number = __atomic_fetch_add(&next_order, 1, __ATOMIC_RELAXED);
        if (number >= ORDERS_MAX) {
            break;
        }
        int64_t due = start_ms + (int64_t)number * 1000 / per_s;
        sleep_ms(due - now_ms());
        if (r.fd < 0) {
            r.fd = connect_to(front, &options);
        }
        if (r.fd >= 0) {
            place_order(&r, number);
        }
    }
    return NULL;
}

static int
report(void)
{
    unsigned served = 0;
    unsigned refused = 0;
    unsigned other = 0;
    unsigned twice = 0;
    unsigned broken = 0;
    for (unsigned i = 1; i < next_order && i < ORDERS_MAX; i++) {
        const order *o = &orders[i];
        printf("%016x sent, answered %03d, turned away %u, run %u\n", i,
               o->status, o->turned_away, o->runs);
        served += o->status == 200;
        refused += o->status == 503 || o->status == 429;
        other += o->status != 200 && o->status != 503 && o->status != 429;
        twice += o->runs > 1;
        if ((o->status == 503 || o->status == 429 || o->status == 408 ||
             o->status == 421) &&
            o->runs > 0) {
            broken++;
            record("order %016x: answered %d, but it ran (turned away %u "
                   "times, late copies of its own refusal %u)",
                   i, o->status, o->turned_away, o->copies);
        }
    }
    record("orders %u: answered 200 %u, 503 or 429 %u, otherwise %u; run more "
           "than once %u; late copies sent %u; refused but run %u",
           next_order - 1, served, refused, other, twice, copies, broken);
    return broken > 0 || twice > 0;
}

int
main(int argc, char **argv)
{
    if (argc < 9 || getenv("BASE_PORT") == NULL) {
        return 2;
    }
    int connections = atoi(argv[1]);
    per_s = (unsigned)atoi(argv[2]);
    int seconds = atoi(argv[3]);
    shed_part = atof(argv[4]);
    late_part = atof(argv[5]);
    fronts = argv + 6;
    while (6 + front_count < argc && strcmp(fronts[front_count], "--") != 0) {
        front_count++;
    }
    controls = fronts + front_count + 1;
    control_count = argc - 7 - front_count;
    for (int i = 0; i < REPLICAS; i++) {
        replica *p = &replicas[i];
        snprintf(p->id, sizeof(p->id), "i-orders-%d", i + 1);
        snprintf(p->addr, sizeof(p->addr), "127.0.0.1:%d",
                 atoi(getenv("BASE_PORT")) + i);
        p->sends_copies = i == 0;
        start_thread(accept_all, p);
        start_thread(beat, p);
    }
    sleep_ms(3 * HEARTBEAT_MS);
    start_ms = now_ms();
    end_ms = start_ms + seconds * 1000;
    next_order = 1;
    for (int i = 0; i < connections; i++) {
        start_thread(request, fronts[i % front_count]);
    }
    sleep_ms(end_ms - now_ms() + DEADLINE_MS + 500);
    return report();
}
