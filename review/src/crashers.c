/*
 * crashers - replicas that a request crashes, and requesters that pipeline
 *
 * crashers FRONT deadly|sound CONTROL...
 *     Registers three replicas of the service "reads" with one slot each, and
 *     one of the service "reports" with many. A request whose path contains
 *     "deadly" crashes the replica that runs it after CRASH_MS: its channels
 *     are reset, and it listens again BACK_MS later. One whose path contains
 *     "long" runs for LONG_MS.
 *
 *     "deadly": this request comes DEADLY_RUNS times. While the last one runs
 *     and the other replicas are busy, it comes once more from each of
 *     PIPELINES requesters, which send their next request on the same channel
 *     without waiting for the answer. "sound": the same with a sound path.
 *     Meanwhile, other requesters wait for reports, on kept channels. The exit
 *     status is 1 if more than REPORTS_LOST_MAX of these channels ended without
 *     an answer.
 *
 * Addresses of the replicas: BASE_PORT in the environment and following.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

#define READ_REPLICAS 3
#define REPLICAS 4 /* the last one is that of the reports */
#define DEADLY_RUNS 3
#define PIPELINES 4
#define REPORTS 8
#define REPORTS_LOST_MAX 3
#define HEARTBEAT_MS 300
#define CRASH_MS 1000
#define BACK_MS 3000
#define LONG_MS 4000
#define DEADLINE_MS 8000

typedef struct replica {
    char id[32];
    char addr[32];
    uint64_t born_ms;
    volatile bool up;
    volatile int listener;
} replica;

static replica replicas[REPLICAS];
static const char *front;
static char **controls;
static int control_count;
static bool is_deadly;
static unsigned reports_answered;
static unsigned reports_lost;

struct channel {
    int fd;
    replica *replica;
};

static uint64_t
wall_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static void
crash(replica *p, int fd)
{
    struct linger l = {1, 0};
    p->up = false;
    record("replica %s crashes", p->id);
    shutdown(p->listener, SHUT_RDWR);
    close(p->listener);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    close(fd);
}

static void *
serve(void *arg)
{
    struct channel c = *(struct channel *)arg;
    reader r = {.fd = c.fd};
    message m;
    char attempt[64];
    char text[512];
    free(arg);
    while (read_request(&r, &m)) {
        bool deadly = strstr(m.head, "/deadly") != NULL;
        get_header(&m, "marigoldgw-attempt-id", attempt, sizeof(attempt));
        free(m.body);
        m.body = NULL;
        record("replica %s runs %s", c.replica->id, attempt);
        if (deadly) {
            sleep_ms(CRASH_MS);
            crash(c.replica, c.fd);
            return NULL;
        }
        if (strstr(m.head, "/long") != NULL) {
            sleep_ms(LONG_MS);
        }
        snprintf(text, sizeof(text),
                 "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
                 "Marigoldgw-Response-Seal: seal-%s\r\n"
                 "Content-Length: 4\r\n\r\ndata",
                 attempt, attempt);
        if (!write_all(c.fd, text, strlen(text))) {
            break;
        }
    }
    close(c.fd);
    return NULL;
}

static void *
live(void *arg)
{
    replica *p = arg;
    for (;;) {
        p->listener = listen_on(p->addr);
        p->born_ms = wall_ms();
        p->up = true;
        while (p->up) {
            struct channel *c = malloc(sizeof(*c));
            c->fd = accept(p->listener, NULL, NULL);
            c->replica = p;
            if (c->fd >= 0 && p->up) {
                start_thread(serve, c);
            }
            else {
                if (c->fd >= 0) {
                    close(c->fd);
                }
                free(c);
            }
        }
        sleep_ms(BACK_MS);
    }
    return NULL;
}

static void *
beat(void *arg)
{
    replica *p = arg;
    bool reads = p < &replicas[READ_REPLICAS];
    registration reg = {.id = p->id,
                        .addr = p->addr,
                        .service = reads ? "reads" : "reports",
                        .zone = "zone-1",
                        .slots = reads ? 1 : 4 * REPORTS};
    for (int i = 0;; i++) {
        if (p->up) {
            reg.seq = reg.born_ms == p->born_ms ? reg.seq : 0;
            reg.born_ms = p->born_ms;
            send_heartbeat(&reg, controls[i % control_count], "ready");
        }
        sleep_ms(HEARTBEAT_MS);
    }
    return NULL;
}

static int
format_request(char *out, size_t size, const char *path, unsigned number)
{
    return snprintf(out, size,
                    "GET %s HTTP/1.1\r\nHost: site.example\r\n"
                    "Marigoldgw-Attempt-Id: %016x\r\n"
                    "Marigoldgw-Credential: key-1\r\n"
                    "Marigoldgw-Deadline: %d\r\n\r\n",
                    path, number, DEADLINE_MS);
}

struct call {
    const char *path;
    unsigned number;
    unsigned requests;
};

/* sends one request, or two at once, and reads what comes */
static void *
send_call(void *arg)
{
    struct call *c = arg;
    char text[1024];
    char bytes[4096];
    link_options options = {.read_timeout_ms = DEADLINE_MS + 1000};
    int fd = connect_to(front, &options);
    int n = format_request(text, sizeof(text), c->path, c->number);
    if (c->requests == 2) {
        n += format_request(text + n, sizeof(text) - (size_t)n, "/read/next",
                            c->number + 1);
    }
    record("requester sends %016x%s", c->number,
           c->requests == 2 ? " and the next one" : "");
    write_all(fd, text, (size_t)n);
    for (unsigned answers = 0; answers < c->requests;) {
        ssize_t got = recv(fd, bytes, sizeof(bytes) - 1, 0);
        if (got <= 0) {
            record("requester of %016x: the channel ends", c->number);
            break;
        }
        bytes[got] = '\0';
        for (char *p = strstr(bytes, "HTTP/1.1 "); p != NULL;
             p = strstr(p + 1, "HTTP/1.1 ")) {
            answers++;
            record("requester of %016x gets %.3s", c->number, p + 9);
        }
    }
    close(fd);
    return NULL;
}

/* sends a short request and then, on the same channel, one for a report */
static void *
wait_for_report(void *arg)
{
    unsigned number = (unsigned)(uintptr_t)arg;
    char text[512];
    message m;
    link_options options = {.read_timeout_ms = DEADLINE_MS + 1000};
    reader r = {.fd = connect_to(front, &options)};
    for (unsigned i = 0; i < 2; i++) {
        int n = format_request(text, sizeof(text),
                               i == 0 ? "/report/short" : "/report/long",
                               number + i);
        if (i == 1) {
            record("requester sends %016x, for a report", number + i);
        }
        bool answered = write_all(r.fd, text, (size_t)n) && read_head(&r, &m);
        if (i == 1) {
            record("report %016x: %s", number + i,
                   answered ? "answered" : "the channel ends, no answer");
            __atomic_fetch_add(answered ? &reports_answered : &reports_lost, 1,
                               __ATOMIC_RELAXED);
        }
        while (answered && r.count < 4) {
            ssize_t got = recv(r.fd, r.bytes + r.count, 4 - r.count, 0);
            answered = got > 0;
            r.count += got > 0 ? (size_t)got : 0;
        }
        r.count = 0;
    }
    close(r.fd);
    return NULL;
}

static void
start_call(const char *path, unsigned number, unsigned requests)
{
    struct call *c = malloc(sizeof(*c));
    *c = (struct call){path, number, requests};
    start_thread(send_call, c);
}

int
main(int argc, char **argv)
{
    if (argc < 4 || getenv("BASE_PORT") == NULL) {
        return 2;
    }
    front = argv[1];
    is_deadly = strcmp(argv[2], "deadly") == 0;
    const char *path = is_deadly ? "/read/deadly" : "/read/sound";
    controls = argv + 3;
    control_count = argc - 3;
    for (int i = 0; i < REPLICAS; i++) {
        replica *p = &replicas[i];
        snprintf(p->id, sizeof(p->id), "i-%d", i + 1);
        snprintf(p->addr, sizeof(p->addr), "127.0.0.1:%d",
                 atoi(getenv("BASE_PORT")) + i);
        start_thread(live, p);
        start_thread(beat, p);
    }
    sleep_ms(4000);
    for (unsigned i = 1; i < DEADLY_RUNS; i++) {
        start_call(path, i, 1);
        sleep_ms(CRASH_MS + BACK_MS + 1000);
    }
    start_call("/read/long", 0x11, 1);
    start_call("/read/long", 0x12, 1);
    for (unsigned i = 0; i < REPORTS; i++) {
        start_thread(wait_for_report, (void *)(uintptr_t)(0x1000 + 2 * i));
    }
    sleep_ms(200);
    start_call(path, DEADLY_RUNS, 1);
    sleep_ms(CRASH_MS / 2);
    for (unsigned i = 0; i < PIPELINES; i++) {
        start_call(path, 0x100 + 2 * i, 2);
    }
    sleep_ms(DEADLINE_MS + 1500);
    record("reports answered %u, channels of reports that ended without an "
           "answer %u",
           reports_answered, reports_lost);
    return reports_lost > REPORTS_LOST_MAX;
}
