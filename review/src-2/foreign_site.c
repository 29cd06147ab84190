/*
 * foreign_site - replicas of which some send bytes after a complete response
 *
 * Clients send orders (non-idempotent) over kept connections. While the
 * disruption lasts, a part of the responses of a part of the replicas is
 * followed by additional bytes, at the point where the next response on that
 * connection is expected. Each client checks that what it gets is the
 * response of a replica to its own request.
 *
 * usage: foreign_site FOLDER; exit code: 0 the rule held, 1 it was broken,
 * 2 the case couldn't run
 */
#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLICAS 5
#define FAULTY 3             /* share 0.6 of the replicas */
#define FAULTY_PER_MILLE 30  /* of their responses: x 0.03 */
#define FAULT_AT_MS 2000
#define FAULT_FOR_MS 5000
#define RUN_MS 10000
#define CLIENTS 24
#define REQUEST_PAUSE_MS 15
#define WORK_MS 5

static replica replicas[REPLICAS];
static int64_t started_ms;
static unsigned sent;
static unsigned served;
static unsigned failed;
static unsigned broken;
static unsigned additions;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
    "{\"version\":7,\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\","
    "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
    "\"routes\":[{\"name\":\"order\",\"hostname\":\"shop.example\","
    "\"pathPrefix\":\"/order/\",\"routeType\":\"non_idempotent\","
    "\"timeoutMs\":2500,\"goalMs\":150,\"priority\":0,\"service\":\"app\","
    "\"maxAttempts\":1,\"public\":true,\"sticky\":false,"
    "\"resumable\":false}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static void
count(unsigned *n)
{
    pthread_mutex_lock(&lock);
    (*n)++;
    pthread_mutex_unlock(&lock);
}

static bool
is_disrupted(void)
{
    int64_t ms = steady_ms() - started_ms;
    return !without_trouble() && started_ms != 0 && ms >= FAULT_AT_MS &&
           ms < FAULT_AT_MS + FAULT_FOR_MS;
}

/* the response that was sent last on this connection */
static __thread char last_body[128];
static __thread char last_id[64];
static __thread bool adds_bytes;

/* Additional bytes after a complete response: its body once more. They bear
   no Marigoldgw-Attempt-Id, belong to no request, and arrive where the next
   response is expected. */
static bool
add_bytes(replica *r, stream *s)
{
    char out[256];
    snprintf(out, sizeof(out),
             "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
             strlen(last_body), last_body);
    record("%s sends additional bytes after its response to %s: \"%s\"", r->id,
           last_id, last_body);
    count(&additions);
    return send_text(s->fd, out);
}

static bool
serve(replica *r, stream *s, message *m)
{
    char id[64];
    char out[512];
    static __thread unsigned seed;
    if (seed == 0) {
        seed = (unsigned)steady_ms() ^ (unsigned)(uintptr_t)&seed;
    }
    get_header(m, "Marigoldgw-Attempt-Id", id, sizeof(id));
    record("%s runs %s", r->id, id);
    if (adds_bytes && !add_bytes(r, s)) {
        return false;
    }
    sleep_ms(WORK_MS);
    snprintf(last_body, sizeof(last_body), "receipt for order %s", id);
    snprintf(last_id, sizeof(last_id), "%s", id);
    snprintf(out, sizeof(out),
             "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Response-Seal: %s.%s\r\nContent-Length: %zu\r\n\r\n"
             "%s",
             id, r->id, id, strlen(last_body), last_body);
    adds_bytes = r->faulty && is_disrupted() &&
                 rand_r(&seed) % 1000 < FAULTY_PER_MILLE;
    return send_text(s->fd, out);
}

/* checks one response against its request */
static void
check(const char *id, const message *m)
{
    char seal[128];
    char wanted[128];
    get_header(m, "Marigoldgw-Response-Seal", seal, sizeof(seal));
    snprintf(wanted, sizeof(wanted), "receipt for order %s", id);
    if (m->status / 100 != 2) {
        record("%s gets %d", id, m->status);
        count(&failed);
        return;
    }
    record("%s gets %d, seal \"%s\", body \"%s\"", id, m->status, seal,
           m->body);
    if (seal[0] != '\0' && m->whole && strcmp(m->body, wanted) == 0) {
        count(&served);
        return;
    }
    record("BROKEN MIXED: %s gets a success that isn't its response: "
           "seal \"%s\", body \"%s\"",
           id, seal, m->body);
    count(&broken);
}

static void *
run_client(void *arg)
{
    int number = (int)(intptr_t)arg;
    const char *ip = node_ips[number % node_count];
    message *m = malloc(sizeof(*m));
    stream s = {.fd = -1};
    for (unsigned i = 0; steady_ms() - started_ms < RUN_MS; i++) {
        char id[64];
        char out[512];
        snprintf(id, sizeof(id), "c%02d-%05u", number, i);
        if (s.fd < 0) {
            s = (stream){.fd = dial(ip, client_port, 4000)};
        }
        snprintf(out, sizeof(out),
                 "POST /order/new HTTP/1.1\r\nHost: shop.example\r\n"
                 "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 2500\r\n"
                 "Content-Length: 4\r\n\r\nitem",
                 id);
        count(&sent);
        record("%s sent to %s", id, ip);
        bool answered = s.fd >= 0 && send_text(s.fd, out) &&
                        read_message(&s, m, true);
        if (answered) {
            check(id, m);
            free_message(m);
        }
        else {
            record("%s gets no response", id);
            count(&failed);
        }
        if (!answered && s.fd >= 0) {
            close_stream(&s);
            s.fd = -1;
        }
        sleep_ms(REQUEST_PAUSE_MS);
    }
    free(m);
    return NULL;
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
        replica *r = &replicas[i];
        *r = (replica){.service = "app", .serve = serve, .faulty = i < FAULTY};
        snprintf(r->id, sizeof(r->id), "i-app-%d", i + 1);
        start_replica(r, "127.0.0.1");
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
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    record("sent %u, served %u, failed %u, additional bytes %u times, "
           "broken %u",
           sent, served, failed, additions, broken);
    printf("sent %u, served %u, failed %u, additional bytes %u times, "
           "foreign or unsealed successes %u\n",
           sent, served, failed, additions, broken);
    kit_close();
    if (broken > 0) {
        return 1;
    }
    return served > 0 ? 0 : 2;
}
