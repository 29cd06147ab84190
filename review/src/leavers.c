/*
 * leavers - replicas that leave, those that follow them, and requesters
 *
 * leavers REPLICAS GENERATIONS abrupt|draining PER_S FRONT... -- CONTROL...
 *     Registers replicas of the service "reads" and sends requests to the nodes
 *     in turn. Each replica sends its heartbeats to nodes picked at random. At
 *     a random moment of each GENERATION_MS, a replica starts that follows it,
 *     and it leaves, goes on serving for SERVE_MS and exits. "draining": it
 *     reports this state by a heartbeat first; "abrupt": it sends a
 *     deregistration instead. Prints each replica that got a request later than
 *     drainMs after the ack, and a line with the counts. The exit status is 1
 *     if there was one.
 *
 * Addresses of the replicas: BASE_PORT in the environment, 127.0.1.1 and
 * following.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

#define REPLICAS_MAX 1000
#define SLOTS 8
#define HEARTBEAT_MS 1200
#define DRAIN_MS 2000
#define SERVE_MS 4000
#define GENERATION_MS 10000
#define OVERLAP_MS 500 /* a replica starts this long before its forerunner leaves */
#define DEADLINE_MS 2500
/* what was sent before the end of drainMs may arrive a little later */
#define ARRIVAL_SLACK_MS 200

typedef struct replica {
    char id[32];
    char addr[32];
    bool abrupt; /* leaves without reporting "draining" */
    int64_t begin_ms;
    int64_t leave_ms; /* INT64_MAX: never */
    int64_t acked_ms; /* when the node acknowledged that it leaves, 0: not */
    int64_t gone_ms;
    int64_t beat_ms; /* last heartbeat that was acknowledged */
    char beat_node[32];
    char ack_node[32];
    unsigned late; /* requests later than drainMs after the ack */
    int64_t latest_ms;
    bool gone;
    int listener;
} replica;

static replica replicas[REPLICAS_MAX];
static int replica_count;
static bool abrupt;
static char **fronts;
static int front_count;
static char **controls;
static int control_count;
static unsigned per_s;
static int64_t start_ms;
static int64_t end_ms;
static unsigned served;
static unsigned next_request = 1;

struct channel {
    int fd;
    replica *replica;
};

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
        replica *p = c.replica;
        int64_t now = now_ms();
        get_header(&m, "marigoldgw-attempt-id", attempt, sizeof(attempt));
        free(m.body);
        m.body = NULL;
        if (p->gone) {
            break;
        }
        if (p->acked_ms != 0 &&
            now - p->acked_ms > DRAIN_MS + ARRIVAL_SLACK_MS) {
            p->late++;
            p->latest_ms = now;
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
accept_all(void *arg)
{
    replica *p = arg;
    for (;;) {
        struct channel *c = malloc(sizeof(*c));
        c->fd = accept(p->listener, NULL, NULL);
        c->replica = p;
        if (c->fd < 0 || p->gone) {
            close(c->fd);
            free(c);
            return NULL;
        }
        start_thread(serve, c);
    }
}

static const char *
any_control(void)
{
    return controls[(int)(draw() * control_count)];
}

static bool
deregister(const replica *p, const registration *reg, const char *node)
{
    char path[128];
    char body[64];
    message m;
    snprintf(path, sizeof(path), "/marigoldgw/instances/%s/deregister", p->id);
    snprintf(body, sizeof(body), "{\"born\":%llu}",
             (unsigned long long)reg->born_ms);
    int status = call(node, "POST", path, "Content-Type: application/json\r\n",
                      body, 1000, &m);
    free(m.body);
    return status / 100 == 2;
}

static void
leave(replica *p, registration *reg)
{
    bool acked = false;
    while (!acked) {
        const char *node = any_control();
        acked = p->abrupt
                    ? deregister(p, reg, node)
                    : send_heartbeat(reg, node, "draining") / 100 == 2;
        snprintf(p->ack_node, sizeof(p->ack_node), "%s", node);
    }
    p->acked_ms = now_ms();
    record("replica %s leaves, acknowledged by %s %lld ms after its last "
           "heartbeat, at %s",
           p->id, p->ack_node, (long long)(p->acked_ms - p->beat_ms),
           p->beat_node);
    sleep_ms(SERVE_MS);
    if (!p->abrupt) {
        deregister(p, reg, any_control());
    }
    p->gone = true;
    shutdown(p->listener, SHUT_RDWR);
    close(p->listener);
}

static void *
live(void *arg)
{
    replica *p = arg;
    registration reg = {.id = p->id,
                        .addr = p->addr,
                        .service = "reads",
                        .zone = "zone-1",
                        .slots = SLOTS,
                        .born_ms = (uint64_t)time(NULL) * 1000};
    int64_t next_ms = p->begin_ms;
    for (;;) {
        sleep_ms((next_ms < p->leave_ms ? next_ms : p->leave_ms) - now_ms());
        if (now_ms() >= p->leave_ms) {
            leave(p, &reg);
            return NULL;
        }
        const char *node = any_control();
        if (send_heartbeat(&reg, node, "ready") / 100 == 2) {
            p->beat_ms = now_ms();
            snprintf(p->beat_node, sizeof(p->beat_node), "%s", node);
        }
        next_ms += HEARTBEAT_MS;
    }
}

static void *
request(void *arg)
{
    const char *front = arg;
    link_options options = {.read_timeout_ms = DEADLINE_MS};
    reader r = {.fd = -1};
    while (now_ms() < end_ms) {
        char text[512];
        char body[8];
        message m;
        int status = 0;
        unsigned number =
            __atomic_fetch_add(&next_request, 1, __ATOMIC_RELAXED);
        sleep_ms(start_ms + (int64_t)number * 1000 / per_s - now_ms());
        if (r.fd < 0) {
            r.fd = connect_to(front, &options);
            r.count = 0;
        }
        snprintf(text, sizeof(text),
                 "GET /read/ HTTP/1.1\r\nHost: site.example\r\n"
                 "Marigoldgw-Attempt-Id: %016x\r\n"
                 "Marigoldgw-Credential: key-1\r\nMarigoldgw-Deadline: %d\r\n"
                 "\r\n",
                 number, DEADLINE_MS);
        if (r.fd >= 0 && write_all(r.fd, text, strlen(text)) &&
            read_head(&r, &m)) {
            sscanf(m.head, "HTTP/1.%*d %d", &status);
        }
        size_t rest = status == 200 ? 4 : 0;
        while (rest > 0 && status == 200) {
            if (r.count > 0) {
                size_t n = r.count < rest ? r.count : rest;
                r.count -= n;
                memmove(r.bytes, r.bytes + n, r.count);
                rest -= n;
                continue;
            }
            ssize_t n = recv(r.fd, body, rest, 0);
            status = n > 0 ? status : 0;
            rest -= n > 0 ? (size_t)n : 0;
        }
        if (status == 200) {
            __atomic_fetch_add(&served, 1, __ATOMIC_RELAXED);
        }
        else if (r.fd >= 0) {
            close(r.fd);
            r.fd = -1;
        }
    }
    return NULL;
}

static int
report(void)
{
    unsigned left = 0;
    unsigned broken = 0;
    for (int i = 0; i < replica_count; i++) {
        const replica *p = &replicas[i];
        left += p->acked_ms != 0;
        if (p->late > 0) {
            broken++;
            record("replica %s: %u requests later than drainMs after the "
                   "ack of %s, the last %lld ms after it; its last heartbeat "
                   "was %lld ms before the ack, at %s",
                   p->id, p->late, p->ack_node,
                   (long long)(p->latest_ms - p->acked_ms),
                   (long long)(p->acked_ms - p->beat_ms), p->beat_node);
        }
    }
    record("replicas that left %u; with requests later than drainMs "
           "after the ack %u; requests served %u of %u",
           left, broken, served, next_request - 1);
    return broken > 0;
}

int
main(int argc, char **argv)
{
    if (argc < 8 || getenv("BASE_PORT") == NULL) {
        return 2;
    }
    int slots = atoi(argv[1]);
    int generations = atoi(argv[2]);
    abrupt = strcmp(argv[3], "abrupt") == 0;
    per_s = (unsigned)atoi(argv[4]);
    fronts = argv + 5;
    while (5 + front_count < argc && strcmp(fronts[front_count], "--") != 0) {
        front_count++;
    }
    controls = fronts + front_count + 1;
    control_count = argc - 6 - front_count;
    replica_count = slots * (generations + 1);
    if (replica_count > REPLICAS_MAX || control_count < 1) {
        return 2;
    }
    start_ms = now_ms() + 4000;
    end_ms = start_ms + generations * GENERATION_MS + SERVE_MS + 1000;
    for (int i = 0; i < replica_count; i++) {
        replica *p = &replicas[i];
        int generation = i / slots;
        snprintf(p->id, sizeof(p->id), "i-reads-%d", i + 1);
        snprintf(p->addr, sizeof(p->addr), "127.0.%d.%d:%d", 1 + i / 200,
                 1 + i % 200, atoi(getenv("BASE_PORT")));
        p->abrupt = abrupt;
        p->begin_ms = generation > 0
                          ? p[-slots].leave_ms - OVERLAP_MS
                          : start_ms - 3000 + (int64_t)(draw() * HEARTBEAT_MS);
        p->leave_ms = generation == generations
                          ? INT64_MAX
                          : start_ms + 500 + generation * GENERATION_MS +
                                (int64_t)(draw() * GENERATION_MS);
        p->listener = listen_on(p->addr);
        start_thread(accept_all, p);
        start_thread(live, p);
    }
    sleep_ms(start_ms - now_ms());
    for (int i = 0; i < 4 * front_count; i++) {
        start_thread(request, fronts[i % front_count]);
    }
    sleep_ms(end_ms - now_ms() + DEADLINE_MS);
    return report();
}
