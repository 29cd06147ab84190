/*
 * ids_site - sound replicas whose stream events have increasing ids
 *
 * Each client sends, over one kept connection, a plain read and then a stream,
 * again and again. The ids of a stream's events increase: by one with
 * TROUBLE=0, else by the four tokens that an event holds. Each client checks
 * that its streams come whole.
 *
 * usage: ids_site FOLDER; exit code: 0 the rule held, 1 it was broken, 2 the
 * case couldn't run
 */
#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLICAS 4
#define CLIENTS 6
#define ROUNDS 10 /* of each client */
#define EVENTS 13
#define EVENT_TOKENS 4
#define EVENT_PAUSE_MS 10
/* the rule: "more than three times" */
#define CLOSED_MAX 3

static replica replicas[REPLICAS];
static unsigned sent;
static unsigned whole;
static unsigned closed; /* without a complete response, on kept connections */
static unsigned failed; /* other failures */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const char config[] =
    "{\"version\":7,\"services\":[{\"name\":\"llm\",\"healthPath\":\"/h\","
    "\"maxConns\":500,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
    "\"slots\":7,\"kvCapacityTokens\":211981,\"stride\":4,"
    "\"models\":[{\"name\":\"m\"}]}},"
    "{\"name\":\"app\",\"healthPath\":\"/h\",\"maxConns\":110,"
    "\"protocol\":\"h1\",\"tls\":false}],"
    "\"routes\":[{\"name\":\"digest\",\"hostname\":\"shop.example\","
    "\"pathPrefix\":\"/digest/\",\"routeType\":\"streaming\","
    "\"timeoutMs\":15000,\"goalMs\":400,\"priority\":0,\"service\":\"llm\","
    "\"maxAttempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,"
    "\"gapGoalMs\":400},"
    "{\"name\":\"read\",\"hostname\":\"shop.example\","
    "\"pathPrefix\":\"/read/\",\"routeType\":\"idempotent\","
    "\"timeoutMs\":2500,\"goalMs\":150,\"priority\":0,\"service\":\"app\","
    "\"maxAttempts\":2,\"public\":true,\"sticky\":false,"
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

/* id of the n-th event, from 1 */
static int
event_id(int n)
{
    return without_trouble() ? n : n * EVENT_TOKENS;
}

static int
event_text(char *out, size_t size, const char *attempt, int n)
{
    return snprintf(out, size, "id: %d\ndata: %s piece %d%s\n\n", event_id(n),
                    attempt, n, n == EVENTS ? " last" : "");
}

static bool
serve_read(replica *r, stream *s, message *m)
{
    char id[64];
    char out[512];
    get_header(m, "Marigoldgw-Attempt-Id", id, sizeof(id));
    snprintf(out, sizeof(out),
             "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Response-Seal: %s.%s\r\nContent-Length: 5\r\n\r\n"
             "stock",
             id, r->id, id);
    return send_text(s->fd, out);
}

static bool
serve_stream(replica *r, stream *s, message *m)
{
    char id[64];
    char last[32];
    char out[512];
    char event[256];
    int from = 1;
    get_header(m, "Marigoldgw-Attempt-Id", id, sizeof(id));
    get_header(m, "Last-Event-Id", last, sizeof(last));
    while (last[0] != '\0' && from <= EVENTS && event_id(from) <= atoi(last)) {
        from++;
    }
    record("%s runs %s, from event %d (Last-Event-Id \"%s\")", r->id, id,
           from, last);
    snprintf(out, sizeof(out),
             "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Response-Seal: %s.%s\r\n"
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             id, r->id, id);
    bool connected = send_text(s->fd, out);
    for (int n = from; n <= EVENTS && connected; n++) {
        int size = event_text(event, sizeof(event), id, n);
        snprintf(out, sizeof(out), "%x\r\n%s\r\n", size, event);
        connected = send_text(s->fd, out);
        sleep_ms(EVENT_PAUSE_MS);
    }
    connected = connected && send_text(s->fd, "0\r\n\r\n");
    record("%s has %s %s", r->id,
           connected ? "sent all events of" : "lost the connection of", id);
    return connected;
}

static bool
is_whole_stream(const char *attempt, const message *m)
{
    char event[256];
    const char *at = m->body;
    for (int n = 1; n <= EVENTS; n++) {
        int size = event_text(event, sizeof(event), attempt, n);
        if (strncmp(at, event, (size_t)size) != 0) {
            return false;
        }
        at += size;
    }
    return m->whole && m->status == 200 && *at == '\0';
}

/* one request; false: the connection can't be used any more */
static bool
send_one(stream *s, const char *path, const char *id, message *m)
{
    char out[512];
    snprintf(out, sizeof(out),
             "POST %s HTTP/1.1\r\nHost: shop.example\r\n"
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 6000\r\n"
             "Marigoldgw-Model: m\r\nMarigoldgw-Token-Count: 120,52\r\n"
             "Content-Length: 4\r\n\r\nitem",
             path, id);
    return send_text(s->fd, out) && read_message(s, m, true);
}

static void
run_round(int number, int round, stream *s, message *m)
{
    char id[64];
    const char *ip = node_ips[number % node_count];
    if (s->fd < 0) {
        *s = (stream){.fd = dial(ip, client_port, 7000)};
    }
    snprintf(id, sizeof(id), "c%d-read-%d", number, round);
    bool kept = s->fd >= 0 && send_one(s, "/read/stock", id, m) && m->whole &&
                m->status == 200;
    free_message(m);
    if (!kept) {
        record("%s is not answered", id);
        count(&failed);
    }
    else {
        snprintf(id, sizeof(id), "c%d-digest-%d", number, round);
        count(&sent);
        record("%s sent to %s on the same connection", id, ip);
        bool answered = send_one(s, "/digest/today", id, m);
        if (answered && is_whole_stream(id, m)) {
            record("%s is whole", id);
            count(&whole);
        }
        else if (answered && m->whole) {
            record("%s gets %d: \"%s\"", id, m->status, m->body);
            count(&failed);
            kept = false;
        }
        else {
            record("BROKEN LOST: the connection of %s is closed after \"%s\"",
                   id, m->body);
            count(&closed);
            kept = false;
        }
        free_message(m);
    }
    if (!kept && s->fd >= 0) {
        close_stream(s);
        s->fd = -1;
    }
}

static void *
run_client(void *arg)
{
    message *m = calloc(1, sizeof(*m));
    stream s = {.fd = -1};
    for (int i = 0; i < ROUNDS; i++) {
        run_round((int)(intptr_t)arg, i, &s, m);
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
        bool model = i < REPLICAS / 2;
        replica *r = &replicas[i];
        *r = (replica){.service = model ? "llm" : "app",
                       .serve = model ? serve_stream : serve_read};
        snprintf(r->id, sizeof(r->id), "i-%s-%d", r->service, i + 1);
        start_replica(r, "127.0.0.1");
    }
    if (!put_config(config, 20000) ||
        !wait_ready("POST /read/probe HTTP/1.1\r\nHost: shop.example\r\n"
                    "Marigoldgw-Attempt-Id: probe\r\n"
                    "Marigoldgw-Deadline: 2500\r\nContent-Length: 0\r\n\r\n",
                    15000)) {
        fprintf(stderr, "the nodes don't serve\n");
        return 2;
    }
    sleep_ms(3000); /* contactMs */
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&clients[i], NULL, run_client, (void *)(intptr_t)i);
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    record("streams: sent %u, whole %u, closed without a complete response %u,"
           " other failures %u",
           sent, whole, closed, failed);
    printf("streams: sent %u, whole %u, closed without a complete response %u,"
           " other failures %u\n",
           sent, whole, closed, failed);
    kit_close();
    if (closed > CLOSED_MAX) {
        return 1;
    }
    return whole > 0 ? 0 : 2;
}
