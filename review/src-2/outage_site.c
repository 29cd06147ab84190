/*
 * outage_site - the replicas of a service crash at the same moment
 *
 * Clients read one popular item (the same GET, idempotent) and place orders,
 * no two alike. The three replicas of the service, which stand in one zone,
 * crash at the same moment and are back after some seconds. Then the site
 * counts what of either kind is served.
 *
 * usage: outage_site FOLDER; exit code: 0 the rule held, 1 it was broken, 2
 * the case couldn't run
 */
#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLICAS 3
#define READERS 24
#define BUYERS 8
#define REQUEST_PAUSE_MS 100
#define WORK_MS 30
#define CRASH_AT_MS 4000
#define DOWN_MS 4000
#define RECOVER_MS 12000 /* recoverS */
#define RUN_MS 70000

enum kind { READ, ORDER, KINDS };
static const char *const kinds[] = {"stock-read", "order-place"};

static replica replicas[REPLICAS];
static int64_t started_ms;
static volatile int64_t back_ms; /* the replicas are back */
/* requests sent later than recoverS after that */
static unsigned sent[KINDS];
static unsigned served[KINDS];
static unsigned all_sent[KINDS];
static unsigned all_served[KINDS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
    "{\"version\":7,\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\","
    "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
    "\"routes\":[{\"name\":\"order\",\"hostname\":\"shop.example\","
    "\"pathPrefix\":\"/order/\",\"routeType\":\"non_idempotent\","
    "\"timeoutMs\":2500,\"goalMs\":150,\"priority\":0,\"service\":\"app\","
    "\"maxAttempts\":1,\"public\":false},"
    "{\"name\":\"read\",\"hostname\":\"shop.example\","
    "\"pathPrefix\":\"/stock/\",\"routeType\":\"idempotent\","
    "\"timeoutMs\":2500,\"goalMs\":150,\"priority\":0,\"service\":\"app\","
    "\"maxAttempts\":2,\"public\":false}],"
    "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-of-acme\"],"
    "\"priority\":0}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static bool
serve(replica *r, stream *s, message *m)
{
    char id[64];
    char out[512];
    get_header(m, "Marigoldgw-Attempt-Id", id, sizeof(id));
    record("%s runs %s", r->id, id);
    sleep_ms(WORK_MS);
    snprintf(out, sizeof(out),
             "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Response-Seal: %s.%s\r\nContent-Length: 5\r\n\r\n"
             "stock",
             id, r->id, id);
    return !r->down && send_text(s->fd, out);
}

static void
count(enum kind kind, int64_t sent_ms, bool is_served)
{
    bool later = back_ms != 0 && sent_ms - back_ms > RECOVER_MS;
    pthread_mutex_lock(&lock);
    all_sent[kind]++;
    all_served[kind] += is_served;
    sent[kind] += later;
    served[kind] += later && is_served;
    pthread_mutex_unlock(&lock);
}

static void
put_request(char *out, size_t size, enum kind kind, const char *id)
{
    char body[64];
    int n = snprintf(body, sizeof(body), "item for %s", id);
    if (kind == READ) {
        snprintf(out, size,
                 "GET /stock/maple HTTP/1.1\r\nHost: shop.example\r\n"
                 "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 2500\r\n"
                 "Marigoldgw-Credential: key-of-acme\r\n\r\n",
                 id);
        return;
    }
    snprintf(out, size,
             "POST /order/new HTTP/1.1\r\nHost: shop.example\r\n"
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 2500\r\n"
             "Marigoldgw-Credential: key-of-acme\r\nContent-Length: %d\r\n\r\n"
             "%s",
             id, n, body);
}

static void *
run_client(void *arg)
{
    int number = (int)(intptr_t)arg;
    enum kind kind = number < READERS ? READ : ORDER;
    const char *ip = node_ips[number % node_count];
    message *m = calloc(1, sizeof(*m));
    stream s = {.fd = -1};
    sleep_ms(number * 7 % REQUEST_PAUSE_MS);
    for (unsigned i = 0; steady_ms() - started_ms < RUN_MS; i++) {
        char id[64];
        char out[512];
        int64_t sent_ms = steady_ms();
        if (s.fd < 0) {
            s = (stream){.fd = dial(ip, client_port, 4000)};
        }
        snprintf(id, sizeof(id), "%s-%02d-%05u", kinds[kind], number, i);
        put_request(out, sizeof(out), kind, id);
        bool answered = s.fd >= 0 && send_text(s.fd, out) &&
                        read_message(&s, m, true);
        bool is_served = answered && m->whole && m->status == 200;
        record("%s gets %d", id, answered ? m->status : 0);
        count(kind, sent_ms, is_served);
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

static void
crash_all(void)
{
    sleep_ms(CRASH_AT_MS);
    for (int i = 0; i < REPLICAS && !without_trouble(); i++) {
        crash_replica(&replicas[i]);
    }
    sleep_ms(DOWN_MS);
    for (int i = 0; i < REPLICAS && !without_trouble(); i++) {
        restart_replica(&replicas[i]);
    }
    back_ms = steady_ms();
    record("all replicas are there");
}

static double
part(unsigned n, unsigned of)
{
    return of > 0 ? (double)n / of : 0;
}

int
main(int argc, char **argv)
{
    pthread_t clients[READERS + BUYERS];
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
        !wait_ready("GET /stock/probe HTTP/1.1\r\nHost: shop.example\r\n"
                    "Marigoldgw-Attempt-Id: probe\r\n"
                    "Marigoldgw-Credential: key-of-acme\r\n"
                    "Marigoldgw-Deadline: 2500\r\n\r\n",
                    15000)) {
        fprintf(stderr, "the nodes don't serve\n");
        return 2;
    }
    sleep_ms(3000); /* contactMs */
    started_ms = steady_ms();
    for (int i = 0; i < READERS + BUYERS; i++) {
        pthread_create(&clients[i], NULL, run_client, (void *)(intptr_t)i);
    }
    crash_all();
    for (int i = 0; i < READERS + BUYERS; i++) {
        pthread_join(clients[i], NULL);
    }
    double all = part(served[READ] + served[ORDER], sent[READ] + sent[ORDER]);
    double failed = 1 - part(all_served[READ] + all_served[ORDER],
                             all_sent[READ] + all_sent[ORDER]);
    double reads = part(served[READ], sent[READ]);
    char text[512];
    snprintf(text, sizeof(text),
             "later than recoverS after the replicas are back: %s %u of %u "
             "served, %s %u of %u; refused or failed of all: %.0f%%",
             kinds[READ], served[READ], sent[READ], kinds[ORDER],
             served[ORDER], sent[ORDER], 100 * failed);
    record("%s", text);
    puts(text);
    bool broken = reads < all / 4 || failed > 0.6;
    if (broken) {
        record("BROKEN STARVED");
    }
    kit_close();
    return broken ? 1 : 0;
}
