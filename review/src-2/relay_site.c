/*
 * relay_site - orders that are passed on through another entry
 *
 * Clients place orders (non-idempotent) over kept connections. Eight of 32
 * replicas crash at a time and are back after some seconds; a part of the
 * orders is run without an answer. Each run and each answer is checked: an
 * order may run once, and one that was refused may not run.
 *
 * usage: relay_site FOLDER; exit code: 0 the rules held, 1 one was broken, 2
 * the case couldn't run
 */
#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLICAS 32
#define CRASHING 8      /* at a time: share 0.25 */
#define DOWN_MS 2000
#define UP_MS 300       /* between two crashes */
#define MUTE_PERCENT 45 /* x 0.45, of all replicas */
#define MUTE_FOR_MS 4000
#define MUTE_EVERY_MS 4600
#define CLIENTS 90
#define REQUEST_PAUSE_MS 20
#define WORK_MS 20
#define DEADLINE_MS 2500
#define RUN_MS 95000
#define ORDERS_MAX 200000

static replica replicas[REPLICAS];
static int64_t started_ms;
static unsigned char runs[ORDERS_MAX];    /* by order */
static unsigned char refused[ORDERS_MAX]; /* by order */
static int next_order;
static unsigned twice;
static unsigned refused_and_run;
static unsigned statuses[600];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
    "{\"version\":7,\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\","
    "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
    "\"routes\":[{\"name\":\"order\",\"hostname\":\"shop.example\","
    "\"pathPrefix\":\"/order/\",\"routeType\":\"non_idempotent\","
    "\"timeoutMs\":1200,\"goalMs\":150,\"priority\":0,\"service\":\"app\","
    "\"maxAttempts\":1,\"public\":true}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static bool
is_mute(void)
{
    static __thread unsigned seed;
    if (seed == 0) {
        seed = (unsigned)steady_ms() ^ (unsigned)(uintptr_t)&seed;
    }
    int64_t ms = steady_ms() - started_ms;
    return !without_trouble() && started_ms != 0 &&
           ms % MUTE_EVERY_MS < MUTE_FOR_MS &&
           rand_r(&seed) % 100 < MUTE_PERCENT;
}

/* counts a run of an order */
static void
count_run(const replica *r, int order)
{
    pthread_mutex_lock(&lock);
    runs[order]++;
    record("%s runs order %d", r->id, order);
    if (runs[order] == 2) {
        twice++;
        record("BROKEN TWICE: order %d", order);
    }
    if (refused[order]) {
        refused_and_run++;
        record("BROKEN REFUSED: order %d runs after it was refused", order);
    }
    pthread_mutex_unlock(&lock);
}

static bool
serve(replica *r, stream *s, message *m)
{
    char id[64];
    char left[32];
    char out[512];
    get_header(m, "Marigoldgw-Attempt-Id", id, sizeof(id));
    get_header(m, "Marigoldgw-Deadline", left, sizeof(left));
    int order = strncmp(id, "order-", 6) == 0 ? atoi(id + 6) : -1;
    if (order >= 0 && order < ORDERS_MAX) {
        count_run(r, order);
        if (is_mute()) {
            sleep_ms(atoi(left));
            return false;
        }
    }
    sleep_ms(WORK_MS);
    snprintf(out, sizeof(out),
             "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Response-Seal: %s.%s\r\nContent-Length: 5\r\n\r\n"
             "order",
             id, r->id, id);
    return !r->down && send_text(s->fd, out);
}

static bool
promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
check(int order, int status)
{
    pthread_mutex_lock(&lock);
    statuses[status >= 0 && status < 600 ? status : 0]++;
    record("order %d gets %d", order, status);
    if (promises_not_run(status)) {
        refused[order] = 1;
        if (runs[order] > 0) {
            refused_and_run++;
            record("BROKEN REFUSED: order %d gets %d and has run", order,
                   status);
        }
    }
    pthread_mutex_unlock(&lock);
}

static int
take_order(void)
{
    pthread_mutex_lock(&lock);
    int order = next_order++;
    pthread_mutex_unlock(&lock);
    return order;
}

static void *
run_client(void *arg)
{
    const char *ip = node_ips[(int)(intptr_t)arg % node_count];
    message *m = calloc(1, sizeof(*m));
    stream s = {.fd = -1};
    int order;
    while (steady_ms() - started_ms < RUN_MS &&
           (order = take_order()) < ORDERS_MAX) {
        char out[512];
        if (s.fd < 0) {
            s = (stream){.fd = dial(ip, client_port, 4000)};
        }
        snprintf(out, sizeof(out),
                 "POST /order/new HTTP/1.1\r\nHost: shop.example\r\n"
                 "Marigoldgw-Attempt-Id: order-%d\r\n"
                 "Marigoldgw-Deadline: %d\r\nContent-Length: 6\r\n\r\n%06d",
                 order, DEADLINE_MS, order);
        bool answered = s.fd >= 0 && send_text(s.fd, out) &&
                        read_message(&s, m, true);
        check(order, answered ? m->status : 0);
        free_message(m);
        if (!answered && s.fd >= 0) {
            close_stream(&s);
            s.fd = -1;
        }
        sleep_ms(REQUEST_PAUSE_MS);
    }
    free(m);
    return NULL;
}

/* crashes two replicas at a time, in turn, until the end */
static void
crash_in_turn(void)
{
    for (int at = 0; steady_ms() - started_ms < RUN_MS - DOWN_MS - UP_MS;
         at += CRASHING) {
        for (int i = 0; i < CRASHING; i++) {
            crash_replica(&replicas[(at + i) % REPLICAS]);
        }
        sleep_ms(DOWN_MS);
        for (int i = 0; i < CRASHING; i++) {
            restart_replica(&replicas[(at + i) % REPLICAS]);
        }
        sleep_ms(UP_MS);
    }
}

int
main(int argc, char **argv)
{
    pthread_t clients[CLIENTS];
    if (argc != 2) {
        return 2;
    }
    kit_open(argv[1]);
    for (int i = 0; i < REPLICAS; i++) {
        replicas[i] = (replica){.service = "app", .serve = serve};
        snprintf(replicas[i].id, sizeof(replicas[i].id), "i-app-%d", i + 1);
        start_replica(&replicas[i], "127.0.0.1");
    }
    if (!put_config(config, 20000) ||
        !wait_ready("POST /order/probe HTTP/1.1\r\nHost: shop.example\r\n"
                    "Marigoldgw-Attempt-Id: probe\r\n"
                    "Marigoldgw-Deadline: 2500\r\nContent-Length: 0\r\n\r\n",
                    15000)) {
        fprintf(stderr, "the nodes don't serve\n");
        return 2;
    }
    sleep_ms(3000); /* contactMs */
    started_ms = steady_ms();
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&clients[i], NULL, run_client, (void *)(intptr_t)i);
    }
    if (!without_trouble()) {
        crash_in_turn();
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    char text[512];
    int n = snprintf(text, sizeof(text),
                     "orders sent %d, run twice %u, refused and run %u;",
                     next_order, twice, refused_and_run);
    for (int i = 0; i < 600; i++) {
        if (statuses[i] > 0) {
            n += snprintf(text + n, sizeof(text) - (size_t)n, " %d: %u", i,
                          statuses[i]);
        }
    }
    record("%s", text);
    puts(text);
    kit_close();
    return twice > 0 || refused_and_run > 0 ? 1 : statuses[200] > 0 ? 0 : 2;
}
