/*
 * rollout_site - a bad version that is rolled back, and the order of the next
 *
 * Replicas of v1 serve; three of v2 are started beside them and a part of
 * their responses are failures. The operator orders v2 and waits until it is
 * rolled back. The replicas of v2 drain some seconds later. Meanwhile the
 * operator orders v3, whose replicas are good; with TROUBLE=0 it doesn't.
 *
 * usage: rollout_site FOLDER; exit code: 0 the rule held, 1 it was broken, 2
 * the case couldn't run
 */
#include "kit.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PER_VERSION 3
#define VERSIONS 3
#define CLIENTS 50
#define REQUEST_PAUSE_MS 40
#define WORK_MS 10
#define BAD_PERCENT 30 /* of the responses of v2 */
#define ORDER_AT_MS 3000
#define DEADLINE_S 12
#define DRAIN_AFTER_MS 5000 /* after rolled_back: "some seconds later" */
#define RUN_MS (ORDER_AT_MS + DEADLINE_S * 1000 + 1000)
#define POLL_MS 100
/* bounds of the sheet */
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50
#define ROLLBACK_MS 5000
#define BAD_ANSWERS 50

static replica replicas[VERSIONS * PER_VERSION];
static int64_t started_ms;
static volatile int64_t ordered_ms;     /* v2 */
static volatile int64_t rolled_back_ms; /* v2 */
static volatile int64_t bad_enough_ms;  /* the 50th bad answer of v2 */
static volatile bool running = true;
static unsigned reached;       /* requests, between the order and its deadline */
static unsigned reached_bad;   /* of these, at v2 */
static unsigned bad_answers;   /* of v2 */
static unsigned after_back;    /* requests at v2 after it was rolled back */
static unsigned after_bad;     /* later than rollbackMs after the 50th */
static unsigned failed;        /* orders that got a failure */
static unsigned sent;
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
count_arrival(const replica *r, bool bad)
{
    int64_t now = steady_ms();
    bool is_v2 = strcmp(r->version, "v2") == 0;
    pthread_mutex_lock(&lock);
    if (ordered_ms != 0 && now - ordered_ms <= DEADLINE_S * 1000) {
        reached++;
        reached_bad += is_v2;
    }
    if (is_v2 && rolled_back_ms != 0) {
        after_back++;
    }
    if (is_v2 && bad_enough_ms != 0 && now - bad_enough_ms > ROLLBACK_MS) {
        after_bad++;
    }
    if (bad && ++bad_answers == BAD_ANSWERS) {
        bad_enough_ms = now;
        record("v2 gives its 50th bad answer");
    }
    pthread_mutex_unlock(&lock);
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
    bool bad = strcmp(r->version, "v2") == 0 &&
               rand_r(&seed) % 100 < BAD_PERCENT;
    count_arrival(r, bad);
    sleep_ms(WORK_MS);
    record("%s (%s) runs %s: %d", r->id, r->version, id, bad ? 500 : 200);
    snprintf(out, sizeof(out),
             "HTTP/1.1 %s\r\nMarigoldgw-Attempt-Id: %s\r\n"
             "Marigoldgw-Response-Seal: %s.%s\r\nContent-Length: 5\r\n\r\n%s",
             bad ? "500 Internal Server Error" : "200 OK", id, r->id, id,
             bad ? "sorry" : "order");
    return send_text(s->fd, out);
}

static void *
run_client(void *arg)
{
    int number = (int)(intptr_t)arg;
    message *m = malloc(sizeof(*m));
    stream s = {.fd = -1};
    for (unsigned i = 0; running; i++) {
        char out[512];
        if (s.fd < 0) {
            s = (stream){
                .fd = dial(node_ips[number % node_count], client_port, 4000)};
        }
        snprintf(out, sizeof(out),
                 "POST /order/new HTTP/1.1\r\nHost: shop.example\r\n"
                 "Marigoldgw-Attempt-Id: c%02d-%05u\r\n"
                 "Marigoldgw-Deadline: 2500\r\nContent-Length: 4\r\n\r\nitem",
                 number, i);
        bool answered = s.fd >= 0 && send_text(s.fd, out) &&
                        read_message(&s, m, true);
        pthread_mutex_lock(&lock);
        sent++;
        failed += !answered || m->status != 200;
        pthread_mutex_unlock(&lock);
        if (answered) {
            free_message(m);
        }
        else if (s.fd >= 0) {
            close_stream(&s);
            s.fd = -1;
        }
        sleep_ms(REQUEST_PAUSE_MS);
    }
    free(m);
    return NULL;
}

static void
start_version(int version)
{
    static const char *const names[] = {"v1", "v2", "v3"};
    for (int i = 0; i < PER_VERSION; i++) {
        replica *r = &replicas[version * PER_VERSION + i];
        *r = (replica){
            .service = "app", .version = names[version], .serve = serve};
        snprintf(r->id, sizeof(r->id), "i-%s-%d", names[version], i + 1);
        start_replica(r, "127.0.0.1");
    }
}

static bool
order(const char *version)
{
    char body[128];
    char reply[256];
    snprintf(body, sizeof(body),
             "{\"service\":\"app\",\"target\":\"%s\",\"deadlineS\":%d}",
             version, DEADLINE_S);
    for (int i = 0; i < 10; i++) {
        int status = call_node(node_ips[i % node_count], "POST",
                               "/marigoldgw/rollouts/start", body, reply,
                               sizeof(reply));
        record("operator orders %s: %d %s", version, status, reply);
        if (status == 200) {
            return true;
        }
        sleep_ms(200);
    }
    return false;
}

/* waits until v2 is rolled back; false: it isn't by its deadline */
static bool
wait_rolled_back(void)
{
    char reply[256] = "";
    while (steady_ms() - ordered_ms < DEADLINE_S * 1000) {
        if (call_node(node_ips[1], "GET", "/marigoldgw/rollouts/app/get", "",
                      reply, sizeof(reply)) == 200 &&
            strstr(reply, "rolled_back") != NULL) {
            record("operator reads %s", reply);
            return true;
        }
        sleep_ms(POLL_MS);
    }
    return false;
}

int
main(int argc, char **argv)
{
    pthread_t clients[CLIENTS];
    if (argc != 2) {
        return 2;
    }
    kit_open(argv[1]);
    start_version(0);
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
    sleep_ms(ORDER_AT_MS);
    start_version(1);
    if (!order("v2")) {
        return 2;
    }
    ordered_ms = steady_ms();
    if (!wait_rolled_back()) {
        fprintf(stderr, "v2 is not rolled back\n");
        return 2;
    }
    rolled_back_ms = steady_ms();
    if (!without_trouble()) {
        start_version(2);
        if (!order("v3")) {
            return 2;
        }
    }
    sleep_ms(rolled_back_ms + DRAIN_AFTER_MS - steady_ms());
    record("the replicas of v2 drain");
    for (int i = 0; i < PER_VERSION; i++) {
        replicas[PER_VERSION + i].draining = true;
    }
    sleep_ms(started_ms + RUN_MS - steady_ms());
    running = false;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    double bound = EXPOSURE_SHARE * reached + EXPOSURE_SLACK;
    bool broken = reached_bad > bound || after_bad > 0;
    char text[512];
    snprintf(text, sizeof(text),
             "rolled back after %lld ms; of %u requests from the order of v2 "
             "to its deadline, %u reached v2 (bound %.0f), %u of them after "
             "it was rolled back; bad answers %u, later than rollbackMs after "
             "the 50th %u; orders sent %u, failed %u",
             (long long)(rolled_back_ms - ordered_ms), reached, reached_bad,
             bound, after_back, bad_answers, after_bad, sent, failed);
    record("%s", text);
    if (broken) {
        record("BROKEN EXPOSURE");
    }
    puts(text);
    kit_close();
    return broken ? 1 : 0;
}
