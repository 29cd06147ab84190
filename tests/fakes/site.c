/*
 * fake-site - small stand-in for the users' platform
 *
 * One process acts as targets, operator and clients of gateway nodes on
 * loopback: targets send heartbeats and serve requests, the operator uploads
 * the configuration and reads it back, clients send requests of each kind
 * and check that each response is complete and belongs to its request.
 *
 * usage: fake-site SECONDS CONTROL-PORT CLIENT-PORT IP...
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/outcome.h"
#include "wire/http.h"

#define NODES_MAX 8
#define OLD_TARGETS 4 /* run version v1 */
#define NEW_TARGETS 2 /* run version v2, for the rollout */
#define TICK_MS 100
#define REQUEST_INTERVAL_TICKS 2
#define STREAM_EVENTS 6 /* per response */
#define READ_TIMEOUT_MS 4000
#define CONNECT_TIMEOUT_MS 500
/* rollout of version v2 of the service "app" */
#define ROLLOUT_START_MS 2500
#define ROLLOUT_DEADLINE_S 8

static const char *const config_start =
    "{\"version\":7,\"services\":[{\"name\":\"llm\",\"healthPath\":\"/h\","
    "\"maxConns\":50,\"engine\":{\"slots\":4,\"kvCapacityTokens\":10000,"
    "\"stride\":3}},"
    "{\"name\":\"app\",\"healthPath\":\"/h\",\"maxConns\":50}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k1\",\"k2\"],"
    "\"priority\":1,\"unit\":\"token_count\",\"plainTokens\":10,"
    "\"ratePerS\":1000000,\"burst\":1000000}],\"routes\":[";
/* routes of one node; their hostname is its IP address */
static const char *const routes_format =
    "{\"name\":\"draft-%d\",\"hostname\":\"%s\",\"pathPrefix\":\"/d/\","
    "\"routeType\":\"streaming\",\"timeoutMs\":4000,\"goalMs\":500,"
    "\"priority\":0,\"service\":\"llm\",\"maxAttempts\":2,"
    "\"resumable\":true,\"gapGoalMs\":400},"
    "{\"name\":\"read-%d\",\"hostname\":\"%s\",\"pathPrefix\":\"/r/\","
    "\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"goalMs\":200,"
    "\"priority\":1,\"service\":\"app\",\"maxAttempts\":2},"
    "{\"name\":\"buy-%d\",\"hostname\":\"%s\",\"pathPrefix\":\"/b/\","
    "\"routeType\":\"non_idempotent\",\"timeoutMs\":2000,\"goalMs\":200,"
    "\"priority\":1,\"trafficSplit\":[{\"service\":\"app\",\"weight\":1}],"
    "\"maxAttempts\":1}%s";
static char config[16384];

struct target {
    char id[16];
    char addr[32];
    const char *service;
    const char *version;
    unsigned seq; /* of heartbeats */
    unsigned executed;
    bool draining;
    int64_t draining_since_ms;
};

static struct target targets[OLD_TARGETS + NEW_TARGETS];
static const char *ips[NODES_MAX];
static size_t node_count;
static int control_port;
static int client_port;
static uv_loop_t *loop;
static int64_t start_ms;
static int64_t duration_ms;
static unsigned ticks;
static unsigned passed;
static unsigned failed;
static unsigned tolerated; /* failures that a restart of a node may explain */
static unsigned open_requests;
static bool configured;
static bool rollout_started;
static bool rollout_completed;       /* as reported by a node */
static int64_t rollout_completed_ms; /* since start_ms */

static int64_t
now_ms(void)
{
    return mg_now(mg_system_clock());
}

static void
check(bool ok, const char *check_name, const char *detail)
{
    passed += ok;
    failed += !ok;
    if (!ok) {
        printf("failed: %s: %s\n", check_name, detail);
    }
}

/* -------------------------------------------------------------- targets */

static void
send_stream(mg_http_req *r, const char *extra, mg_str id)
{
    uint64_t last_id = strtoull(mg_http_header(r, "last-event-id").n
                                    ? mg_http_header(r, "last-event-id").p
                                    : "0",
                                NULL, 10);
    mg_http_start(r, 200, "text/event-stream", extra);
    bool stall = mg_str_is(mg_http_query(r), "mute") && last_id == 0;
    for (uint64_t i = last_id + 1; i <= (stall ? 2 : STREAM_EVENTS); i++) {
        char event[128];
        int n = snprintf(event, sizeof(event), "id: %llu\ndata: %.*s\n\n",
                         (unsigned long long)i, MG_STR_FMT(id));
        mg_http_write(r, (mg_str){event, (size_t)n});
    }
    if (!stall) {
        mg_http_finish(r);
    }
}

static void
on_request(void *user, mg_http_req *r)
{
    struct target *t = user;
    char extra[256];
    mg_str id = mg_http_header(r, "marigoldgw-attempt-id");
    mg_str instance = mg_http_header(r, "marigoldgw-target-instance");
    check(!t->draining || now_ms() - t->draining_since_ms < 1000,
          "request to a draining target", t->id);
    check(mg_http_header(r, "marigoldgw-credential").n == 0 &&
              mg_str_is(mg_http_header(r, "marigoldgw-tenant"), "acme"),
          "API key replaced by workspace", t->id);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %.*s\nMarigoldgw-Response-Seal: s\n",
             MG_STR_FMT(id));
    if (!mg_str_is(instance, t->id)) {
        mg_http_reply(r, 421, NULL, extra, (mg_str){"", 0});
        return;
    }
    t->executed++;
    check(!rollout_completed || strcmp(t->service, "app") != 0 ||
              strcmp(t->version, "v2") == 0,
          "request to the old version after the rollout", t->id);
    if (strcmp(t->service, "llm") == 0) {
        send_stream(r, extra, id);
    }
    else if (mg_str_is(mg_http_query(r), "unframed")) {
        /* simulates a crash after the headers, which state no length */
        mg_http_start_close_delimited(r, 200, "text/plain", extra);
        mg_http_finish(r);
    }
    else {
        mg_http_reply(r, 200, "text/plain", extra, id);
    }
}

/* ------------------------------------------------------------- requests */

struct client_req {
    char check_name[32];
    char id[32];
    int expected_status;
    int status;
    mg_buf body;
    bool stream;
    bool close_delimited;
    bool may_fail;             /* 503 or no complete response is tolerated */
    const char *expected_body; /* NULL: id; if id is empty, any body */
    const char *pending_body;  /* also accepted, but on_done gets false */
    void (*on_done)(bool good);
};

static void
on_response_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)type;
    (void)not_run;
    ((struct client_req *)user)->status = status;
}

static void
on_response_data(void *user, mg_str data)
{
    struct client_req *c = user;
    mg_buf_put(&c->body, data.p, data.n);
}

static bool
stream_is_complete(const struct client_req *c)
{
    mg_buf expected = {0};
    for (int i = 1; i <= STREAM_EVENTS; i++) {
        mg_buf_printf(&expected, "id: %d\ndata: %s\n\n", i, c->id);
    }
    bool same = mg_str_eq(mg_str_buf(&expected), mg_str_buf(&c->body));
    mg_buf_free(&expected);
    return same;
}

static bool
response_is_valid(const struct client_req *c, mg_http_result result)
{
    if (c->close_delimited) {
        /* the client must not report this response as complete */
        return result == MG_HTTP_TRUNCATED && c->status == 200;
    }
    if (result != MG_HTTP_COMPLETE || c->status != c->expected_status) {
        return false;
    }
    if (c->status != 200) {
        return true;
    }
    if (c->stream) {
        return stream_is_complete(c);
    }
    return c->id[0] == '\0' && c->expected_body == NULL
               ? true
               : mg_str_is(mg_str_buf(&c->body),
                           c->expected_body ? c->expected_body : c->id);
}

static void
on_response_end(void *user, mg_http_result result, const char *why)
{
    struct client_req *c = user;
    char detail[128];
    bool good = response_is_valid(c, result);
    snprintf(detail, sizeof(detail), "status %d, result %d, %s", c->status,
             result, why ? why : "");
    if (!good && c->pending_body != NULL && result == MG_HTTP_COMPLETE &&
        mg_str_is(mg_str_buf(&c->body), c->pending_body)) {
        passed++;
    }
    else if (!good && c->may_fail &&
             (result != MG_HTTP_COMPLETE || c->status == 503)) {
        tolerated++;
    }
    else {
        check(good, c->check_name, detail);
    }
    if (c->on_done != NULL) {
        c->on_done(good);
    }
    mg_buf_free(&c->body);
    free(c);
    open_requests--;
}

static struct client_req *
new_client_req(const char *check_name, int expected_status)
{
    struct client_req *c = mg_alloc(sizeof(*c));
    snprintf(c->check_name, sizeof(c->check_name), "%s", check_name);
    c->expected_status = expected_status;
    return c;
}

static void
send_client_req(struct client_req *c, const char *ip, int port,
                const char *method, const char *path, const char *extra,
                const char *body)
{
    char addr[64];
    snprintf(addr, sizeof(addr), "%s:%d", ip, port);
    open_requests++;
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = loop,
        .addr = addr,
        .method = method,
        .path = path,
        .extra_headers = extra,
        .body = mg_str_of(body),
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .read_timeout_ms = READ_TIMEOUT_MS,
        .on_headers = on_response_headers,
        .on_data = on_response_data,
        .on_end = on_response_end,
        .user = c,
    });
}

static void
send_request(const char *ip, const char *check_name, const char *method,
             const char *path, const char *key, int expected_status)
{
    static unsigned next;
    char extra[512];
    struct client_req *c = new_client_req(check_name, expected_status);
    snprintf(c->id, sizeof(c->id), "%016x", ++next);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 3000\r\n"
             "Marigoldgw-Credential: %s\r\nMarigoldgw-Token-Count: 300,20\r\n",
             c->id, key);
    c->stream = strncmp(path, "/d/", 3) == 0;
    c->close_delimited =
        strstr(path, "?unframed") != NULL && expected_status == 200;
    c->may_fail = true;
    send_client_req(c, ip, client_port, method, path, extra,
                    strcmp(method, "POST") == 0 ? "body" : "");
}

static void
send_heartbeat(struct target *t)
{
    char path[64];
    char body[512];
    struct client_req *c = new_client_req("heartbeat", 200);
    c->may_fail = true;
    snprintf(path, sizeof(path), "/marigoldgw/instances/%s/heartbeat", t->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
             "\"version\":\"%s\",\"slots\":4,\"state\":\"%s\","
             "\"coldLeftMs\":0,\"seq\":%u,\"born\":1000}",
             t->service, t->addr, t->version,
             t->draining ? "draining" : "ready", ++t->seq);
    send_client_req(c, ips[t->seq % node_count], control_port, "POST", path,
                    NULL, body);
}

static void
on_config_replaced(bool good)
{
    configured = configured || good;
}

static void
send_config(void)
{
    struct client_req *c = new_client_req("configuration", 200);
    c->on_done = on_config_replaced;
    c->may_fail = true;
    send_client_req(c, ips[ticks % node_count], control_port, "POST",
                    "/marigoldgw/config/replace", NULL, config);
}

/* Heartbeats of another writer: nested deeply, with a number that is too
   large, with a port out of range. */
static void
send_odd_heartbeats(const char *ip)
{
    static const char *const odd[] = {
        "\"slots\":4294967295,\"seq\":1,\"address\":\"127.0.0.1:1\"",
        "\"slots\":1e300,\"seq\":1,\"address\":\"127.0.0.1:1\"",
        "\"slots\":1,\"seq\":99999999999999999999,"
        "\"address\":\"127.0.0.1:1\"",
        "\"slots\":1,\"seq\":1,\"address\":\"127.0.0.1:70000\"",
    };
    static char nested[100000];
    char body[256];
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        struct client_req *c = new_client_req("odd heartbeat", 400);
        c->may_fail = true;
        snprintf(body, sizeof(body),
                 "{\"service\":\"app\",\"zone\":\"z1\",\"version\":\"v\","
                 "\"state\":\"ready\",%s}",
                 odd[i]);
        send_client_req(c, ip, control_port, "POST",
                        "/marigoldgw/instances/i-odd/heartbeat", NULL, body);
    }
    memset(nested, '[', sizeof(nested) - 1);
    struct client_req *c = new_client_req("nested heartbeat", 400);
    c->may_fail = true;
    send_client_req(c, ip, control_port, "POST",
                    "/marigoldgw/instances/i-odd/heartbeat", NULL, nested);
}

static void
check_operator_api(const char *ip)
{
    send_odd_heartbeats(ip);
    struct client_req *c = new_client_req("malformed configuration", 400);
    c->may_fail = true;
    send_client_req(c, ip, control_port, "POST", "/marigoldgw/config/replace",
                    NULL, "{\"version\":9,");
    c = new_client_req("unknown instance state", 400);
    c->may_fail = true;
    send_client_req(
        c, ip, control_port, "POST", "/marigoldgw/instances/i-x/heartbeat",
        NULL,
        "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":"
        "\"z1\",\"version\":\"v\",\"slots\":1,\"state\":\"odd\","
        "\"seq\":1}");
    c = new_client_req("configuration read back", 200);
    c->expected_body = config;
    c->may_fail = true;
    send_client_req(c, ip, control_port, "GET", "/marigoldgw/config/get", NULL,
                    "");
}

static void
on_rollout_command(bool good)
{
    rollout_started = rollout_started || good;
}

static void
on_rollout_state(bool good)
{
    if (good && !rollout_completed) {
        rollout_completed = true;
        rollout_completed_ms = now_ms() - start_ms;
    }
}

/* Sends the rollout command until it is acknowledged, then polls the state. */
static void
drive_rollout(const char *ip)
{
    struct client_req *c = new_client_req("rollout command", 200);
    char body[128];
    c->may_fail = true;
    if (!rollout_started) {
        snprintf(body, sizeof(body),
                 "{\"service\":\"app\",\"target\":\"v2\",\"deadlineS\":%d}",
                 ROLLOUT_DEADLINE_S);
        c->on_done = on_rollout_command;
        send_client_req(c, ip, control_port, "POST",
                        "/marigoldgw/rollouts/start", NULL, body);
        return;
    }
    snprintf(c->check_name, sizeof(c->check_name), "state of the rollout");
    c->expected_body = "{\"state\":\"completed\",\"target\":\"v2\"}";
    c->pending_body = "{\"state\":\"running\",\"target\":\"v2\"}";
    c->on_done = on_rollout_state;
    send_client_req(c, ip, control_port, "GET", "/marigoldgw/rollouts/app/get",
                    NULL, "");
}

static void
send_requests(const char *ip)
{
    send_request(ip, "stream", "POST", "/d/x", "k1", 200);
    send_request(ip, "idempotent", "GET", "/r/x?q=1", "k2", 200);
    send_request(ip, "non-idempotent", "POST", "/b/x", "k1", 200);
    send_request(ip, "unknown API key", "GET", "/r/x", "k9", 401);
    send_request(ip, "unknown route", "GET", "/none/", "k1", 404);
    send_request(ip, "target stalls mid-stream", "POST", "/d/x?mute", "k1",
                 200);
    send_request(ip, "close-delimited response", "POST", "/b/x?unframed", "k1",
                 200);
}

static void
finish(uv_timer_t *t)
{
    unsigned executed = 0;
    uv_timer_stop(t);
    for (size_t i = 0; i < OLD_TARGETS + NEW_TARGETS; i++) {
        executed += targets[i].executed;
    }
    check(executed > 100, "requests executed by targets", "at most 100");
    check(rollout_completed &&
              rollout_completed_ms <
                  ROLLOUT_START_MS + 1000 + ROLLOUT_DEADLINE_S * 1000,
          "rollout of a service", "not completed in time");
    printf("rollout completed after %lld ms\n",
           (long long)rollout_completed_ms);
    check(tolerated * 20 < passed, "requests failed around restarts",
          "at least 5% of passed");
    printf("executed %u, failed around restarts %u\n", executed, tolerated);
    printf("%u passed, %u failed\n", passed, failed);
    fflush(stdout);
    exit(failed > 0);
}

static void
on_tick(uv_timer_t *timer)
{
    int64_t elapsed_ms = now_ms() - start_ms;
    ticks++;
    size_t announced_targets =
        OLD_TARGETS + (rollout_started ? NEW_TARGETS : 0);
    for (size_t i = 0; i < announced_targets && ticks % 3 == 0; i++) {
        send_heartbeat(&targets[i]);
    }
    if (!configured) {
        if (ticks % 5 == 0) {
            send_config();
        }
        if (elapsed_ms > 15000) {
            check(false, "configuration", "not accepted in 30 s");
            finish(timer);
        }
        /* the time limit starts at tick 150: until then start_ms is reset */
        start_ms = ticks > 150 ? start_ms : now_ms();
        return;
    }
    if (elapsed_ms > 2000 && elapsed_ms < duration_ms &&
        ticks % REQUEST_INTERVAL_TICKS == 0) {
        send_requests(ips[ticks / REQUEST_INTERVAL_TICKS % node_count]);
    }
    if (elapsed_ms > 2000 && ticks % 20 == 0) {
        check_operator_api(ips[ticks / 20 % node_count]);
    }
    if (elapsed_ms > ROLLOUT_START_MS && elapsed_ms < duration_ms &&
        !rollout_completed && ticks % 5 == 0) {
        drive_rollout(ips[ticks / 5 % node_count]);
    }
    if (elapsed_ms > duration_ms / 2 && !targets[0].draining) {
        targets[0].draining = true;
        send_heartbeat(&targets[0]);
        targets[0].draining_since_ms = now_ms();
    }
    if (elapsed_ms > duration_ms + READ_TIMEOUT_MS ||
        (elapsed_ms > duration_ms && open_requests == 0)) {
        finish(timer);
    }
}

static void
build_config(void)
{
    size_t n = (size_t)snprintf(config, sizeof(config), "%s", config_start);
    for (size_t i = 0; i < node_count; i++) {
        int k = (int)i;
        n += (size_t)snprintf(config + n, sizeof(config) - n, routes_format, k,
                              ips[i], k, ips[i], k, ips[i],
                              i + 1 < node_count ? "," : "]}");
    }
}

int
main(int argc, char **argv)
{
    uv_timer_t timer;
    mg_error err;
    if (argc < 5) {
        fprintf(stderr, "usage: %s SECONDS CONTROL-PORT CLIENT-PORT IP...\n",
                argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    loop = uv_default_loop();
    duration_ms = atoi(argv[1]) * 1000;
    control_port = atoi(argv[2]);
    client_port = atoi(argv[3]);
    for (int i = 4; i < argc && node_count < NODES_MAX; i++) {
        ips[node_count++] = argv[i];
    }
    build_config();
    for (int i = 0; i < OLD_TARGETS + NEW_TARGETS; i++) {
        mg_http_server *server;
        struct target *t = &targets[i];
        snprintf(t->id, sizeof(t->id), "i-%d", i);
        snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%d",
                 control_port + 100 + i);
        t->service = i % 2 == 0 && i < OLD_TARGETS ? "llm" : "app";
        t->version = i < OLD_TARGETS ? "v1" : "v2";
        mg_rc rc = mg_http_open(&server,
                                &(mg_http_options){
                                    .loop = loop,
                                    .listen_addr = t->addr,
                                    .limits = {.body_max = 1 << 20},
                                    .on_request = on_request,
                                    .user = t,
                                },
                                &err);
        if (rc != MG_OK) {
            fprintf(stderr, "%s\n", err.text);
            return 1;
        }
    }
    start_ms = now_ms();
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
    return uv_run(loop, UV_RUN_DEFAULT);
}
