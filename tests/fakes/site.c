/*
 * fake-site - a small stand-in of the users' platform
 *
 * One process plays targets, operator and callers of three nodes on
 * loopback: targets announce themselves and answer, the operator sends the
 * configuration and reads it back, callers send requests of each kind and
 * check that every answer is whole and their own.
 *
 * usage: fake-site SECONDS CONTROL-PORT CALLERS-PORT IP...
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/outcome.h"
#include "wire/http.h"

#define NODES_MAX 8
#define TARGETS 4 /* of the former version */
#define NEW_TARGETS 2
#define TICK_MS 100
#define CALL_EVERY 2 /* ticks */
#define EVENTS 6
#define SILENCE_MS 4000
#define CONNECT_MS 500
/* the service "app" moves to version v2 */
#define MOVE_AT_MS 2500
#define MOVE_WINDOW_S 8

/* the routes stand once for each node: its address is their host name */
static const char *const config_head =
    "{\"version\":7,\"services\":[{\"name\":\"llm\",\"healthPath\":\"/h\","
    "\"maxConns\":50,\"engine\":{\"slots\":4,\"kvCapacityTokens\":10000,"
    "\"stride\":3}},"
    "{\"name\":\"app\",\"healthPath\":\"/h\",\"maxConns\":50}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k1\",\"k2\"],"
    "\"priority\":1,\"unit\":\"token_count\",\"plainTokens\":10,"
    "\"ratePerS\":1000000,\"burst\":1000000}],\"routes\":[";
static const char *const config_routes =
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
    unsigned seq;
    unsigned ran;
    bool leaving;
    int64_t leaving_since;
};

static struct target targets[TARGETS + NEW_TARGETS];
static const char *ips[NODES_MAX];
static size_t node_count;
static int control_port;
static int callers_port;
static uv_loop_t *loop;
static int64_t started;
static int64_t length_ms;
static unsigned ticks;
static unsigned passed;
static unsigned failed;
static unsigned lost; /* calls to a node that is being restarted */
static unsigned open_calls;
static bool configured;
static bool move_ordered;
static bool move_done; /* as the system says */
static int64_t move_done_at;

static int64_t
now_ms(void)
{
    return mg_now(mg_system_clock());
}

static void
check(bool good, const char *what, const char *detail)
{
    passed += good;
    failed += !good;
    if (!good) {
        printf("failed: %s: %s\n", what, detail);
    }
}

/* -------------------------------------------------------------- targets */

static void
answer_stream(mg_http_req *r, const char *extra, mg_str id)
{
    uint64_t after = strtoull(mg_http_header(r, "last-event-id").n
                                  ? mg_http_header(r, "last-event-id").p
                                  : "0",
                              NULL, 10);
    mg_http_start(r, 200, "text/event-stream", extra);
    bool mute = mg_str_is(mg_http_query(r), "mute") && after == 0;
    for (uint64_t i = after + 1; i <= (mute ? 2 : EVENTS); i++) {
        char event[128];
        int n = snprintf(event, sizeof(event), "id: %llu\ndata: %.*s\n\n",
                         (unsigned long long)i, MG_STR_FMT(id));
        mg_http_write(r, (mg_str){event, (size_t)n});
    }
    if (!mute) {
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
    check(!t->leaving || now_ms() - t->leaving_since < 1000,
          "request at a target that leaves", t->id);
    check(mg_http_header(r, "marigoldgw-credential").n == 0 &&
              mg_str_is(mg_http_header(r, "marigoldgw-tenant"), "acme"),
          "workspace in place of the key", t->id);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %.*s\nMarigoldgw-Response-Seal: s\n",
             MG_STR_FMT(id));
    if (!mg_str_is(instance, t->id)) {
        mg_http_reply(r, 421, NULL, extra, (mg_str){"", 0});
        return;
    }
    t->ran++;
    check(!move_done || strcmp(t->service, "app") != 0 ||
              strcmp(t->version, "v2") == 0,
          "request at the former version after the move", t->id);
    if (strcmp(t->service, "llm") == 0) {
        answer_stream(r, extra, id);
    }
    else if (mg_str_is(mg_http_query(r), "unframed")) {
        /* a crash: the head, no length, no body */
        mg_http_start_close_delimited(r, 200, "text/plain", extra);
        mg_http_finish(r);
    }
    else {
        mg_http_reply(r, 200, "text/plain", extra, id);
    }
}

/* ---------------------------------------------------------------- calls */

struct call {
    char what[32];
    char id[32];
    int expect;
    int status;
    mg_buf body;
    bool stream;
    bool unframed;
    bool may_fail;
    const char *text;       /* expected body, or NULL: the id */
    const char *other_text; /* right too, but not what is waited for */
    void (*done)(bool good);
};

static void
on_head(void *user, int status, mg_str type, bool not_run)
{
    (void)type;
    (void)not_run;
    ((struct call *)user)->status = status;
}

static void
on_data(void *user, mg_str data)
{
    struct call *c = user;
    mg_buf_put(&c->body, data.p, data.n);
}

static bool
stream_is_whole(const struct call *c)
{
    mg_buf want = {0};
    for (int i = 1; i <= EVENTS; i++) {
        mg_buf_printf(&want, "id: %d\ndata: %s\n\n", i, c->id);
    }
    bool same = mg_str_eq(mg_str_buf(&want), mg_str_buf(&c->body));
    mg_buf_free(&want);
    return same;
}

static bool
is_right(const struct call *c, mg_http_result end)
{
    if (c->unframed) {
        /* nothing may say that it is whole */
        return end == MG_HTTP_TRUNCATED && c->status == 200;
    }
    if (end != MG_HTTP_COMPLETE || c->status != c->expect) {
        return false;
    }
    if (c->status != 200) {
        return true;
    }
    if (c->stream) {
        return stream_is_whole(c);
    }
    return c->id[0] == '\0' && c->text == NULL
               ? true
               : mg_str_is(mg_str_buf(&c->body), c->text ? c->text : c->id);
}

static void
on_end(void *user, mg_http_result end, const char *why)
{
    struct call *c = user;
    char detail[128];
    bool good = is_right(c, end);
    snprintf(detail, sizeof(detail), "status %d, end %d, %s", c->status, end,
             why ? why : "");
    if (!good && c->other_text != NULL && end == MG_HTTP_COMPLETE &&
        mg_str_is(mg_str_buf(&c->body), c->other_text)) {
        passed++;
    }
    else if (!good && c->may_fail &&
             (end != MG_HTTP_COMPLETE || c->status == 503)) {
        lost++;
    }
    else {
        check(good, c->what, detail);
    }
    if (c->done != NULL) {
        c->done(good);
    }
    mg_buf_free(&c->body);
    free(c);
    open_calls--;
}

static struct call *
new_call(const char *what, int expect)
{
    struct call *c = mg_alloc(sizeof(*c));
    snprintf(c->what, sizeof(c->what), "%s", what);
    c->expect = expect;
    return c;
}

static void
send_call(struct call *c, const char *ip, int port, const char *method,
          const char *path, const char *extra, const char *body)
{
    char addr[64];
    snprintf(addr, sizeof(addr), "%s:%d", ip, port);
    open_calls++;
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = loop,
        .addr = addr,
        .method = method,
        .path = path,
        .extra_headers = extra,
        .body = mg_str_of(body),
        .connect_timeout_ms = CONNECT_MS,
        .read_timeout_ms = SILENCE_MS,
        .on_headers = on_head,
        .on_data = on_data,
        .on_end = on_end,
        .user = c,
    });
}

static void
ask(const char *ip, const char *what, const char *method, const char *path,
    const char *key, int expect)
{
    static unsigned next;
    char extra[512];
    struct call *c = new_call(what, expect);
    snprintf(c->id, sizeof(c->id), "%016x", ++next);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 3000\r\n"
             "Marigoldgw-Credential: %s\r\nMarigoldgw-Token-Count: 300,20\r\n",
             c->id, key);
    c->stream = strncmp(path, "/d/", 3) == 0;
    c->unframed = strstr(path, "?unframed") != NULL && expect == 200;
    c->may_fail = true;
    send_call(c, ip, callers_port, method, path, extra,
              strcmp(method, "POST") == 0 ? "body" : "");
}

static void
announce(struct target *t)
{
    char path[64];
    char body[512];
    struct call *c = new_call("heartbeat", 200);
    c->may_fail = true;
    snprintf(path, sizeof(path), "/marigoldgw/instances/%s/heartbeat", t->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
             "\"version\":\"%s\",\"slots\":4,\"state\":\"%s\","
             "\"coldLeftMs\":0,\"seq\":%u,\"born\":1000}",
             t->service, t->addr, t->version,
             t->leaving ? "draining" : "ready", ++t->seq);
    send_call(c, ips[t->seq % node_count], control_port, "POST", path, NULL,
              body);
}

static void
config_done(bool good)
{
    configured = configured || good;
}

static void
send_config(void)
{
    struct call *c = new_call("configuration", 200);
    c->done = config_done;
    c->may_fail = true;
    send_call(c, ips[ticks % node_count], control_port, "POST",
              "/marigoldgw/config/replace", NULL, config);
}

static void
check_operator(const char *ip)
{
    struct call *c = new_call("unreadable configuration", 400);
    c->may_fail = true;
    send_call(c, ip, control_port, "POST", "/marigoldgw/config/replace", NULL,
              "{\"version\":9,");
    c = new_call("unknown state", 400);
    c->may_fail = true;
    send_call(c, ip, control_port, "POST",
              "/marigoldgw/instances/i-x/heartbeat", NULL,
              "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":"
              "\"z1\",\"version\":\"v\",\"slots\":1,\"state\":\"odd\","
              "\"seq\":1}");
    c = new_call("read back", 200);
    c->text = config;
    c->may_fail = true;
    send_call(c, ip, control_port, "GET", "/marigoldgw/config/get", NULL, "");
}

static void
order_done(bool good)
{
    move_ordered = move_ordered || good;
}

static void
move_read(bool good)
{
    if (good && !move_done) {
        move_done = true;
        move_done_at = now_ms() - started;
    }
}

/* orders the move until that is acknowledged, then asks how it stands */
static void
drive_move(const char *ip)
{
    struct call *c = new_call("order of a move", 200);
    char body[128];
    c->may_fail = true;
    if (!move_ordered) {
        snprintf(body, sizeof(body),
                 "{\"service\":\"app\",\"target\":\"v2\",\"deadlineS\":%d}",
                 MOVE_WINDOW_S);
        c->done = order_done;
        send_call(c, ip, control_port, "POST", "/marigoldgw/rollouts/start",
                  NULL, body);
        return;
    }
    snprintf(c->what, sizeof(c->what), "state of a move");
    c->text = "{\"state\":\"completed\",\"target\":\"v2\"}";
    c->other_text = "{\"state\":\"running\",\"target\":\"v2\"}";
    c->done = move_read;
    send_call(c, ip, control_port, "GET", "/marigoldgw/rollouts/app/get", NULL,
              "");
}

static void
call_all(const char *ip)
{
    ask(ip, "stream", "POST", "/d/x", "k1", 200);
    ask(ip, "idempotent", "GET", "/r/x?q=1", "k2", 200);
    ask(ip, "non-idempotent", "POST", "/b/x", "k1", 200);
    ask(ip, "unknown key", "GET", "/r/x", "k9", 401);
    ask(ip, "unknown route", "GET", "/none/", "k1", 404);
    ask(ip, "silent in the middle", "POST", "/d/x?mute", "k1", 200);
    ask(ip, "unframed answer", "POST", "/b/x?unframed", "k1", 200);
}

static void
finish(uv_timer_t *t)
{
    unsigned ran = 0;
    uv_timer_stop(t);
    for (size_t i = 0; i < TARGETS + NEW_TARGETS; i++) {
        ran += targets[i].ran;
    }
    check(ran > 100, "requests at targets", "fewer than 100");
    check(move_done && move_done_at < MOVE_AT_MS + 1000 + MOVE_WINDOW_S * 1000,
          "move of a service", "not completed in time");
    printf("move completed after %lld ms\n", (long long)move_done_at);
    check(lost * 20 < passed, "calls lost around restarts", "over 5%");
    printf("ran %u, lost around restarts %u\n", ran, lost);
    printf("%u passed, %u failed\n", passed, failed);
    fflush(stdout);
    exit(failed > 0);
}

static void
on_tick(uv_timer_t *timer)
{
    int64_t age = now_ms() - started;
    ticks++;
    size_t announced = TARGETS + (move_ordered ? NEW_TARGETS : 0);
    for (size_t i = 0; i < announced && ticks % 3 == 0; i++) {
        announce(&targets[i]);
    }
    if (!configured) {
        if (ticks % 5 == 0) {
            send_config();
        }
        if (age > 15000) {
            check(false, "configuration", "not accepted in 15 s");
            finish(timer);
        }
        started = ticks > 150 ? started : now_ms();
        return;
    }
    if (age > 2000 && age < length_ms && ticks % CALL_EVERY == 0) {
        call_all(ips[ticks / CALL_EVERY % node_count]);
    }
    if (age > 2000 && ticks % 20 == 0) {
        check_operator(ips[ticks / 20 % node_count]);
    }
    if (age > MOVE_AT_MS && age < length_ms && !move_done && ticks % 5 == 0) {
        drive_move(ips[ticks / 5 % node_count]);
    }
    if (age > length_ms / 2 && !targets[0].leaving) {
        targets[0].leaving = true;
        announce(&targets[0]);
        targets[0].leaving_since = now_ms();
    }
    if (age > length_ms + SILENCE_MS || (age > length_ms && open_calls == 0)) {
        finish(timer);
    }
}

static void
make_config(void)
{
    size_t n = (size_t)snprintf(config, sizeof(config), "%s", config_head);
    for (size_t i = 0; i < node_count; i++) {
        int k = (int)i;
        n += (size_t)snprintf(config + n, sizeof(config) - n, config_routes, k,
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
        fprintf(stderr, "usage: %s SECONDS CONTROL CALLERS IP...\n", argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    loop = uv_default_loop();
    length_ms = atoi(argv[1]) * 1000;
    control_port = atoi(argv[2]);
    callers_port = atoi(argv[3]);
    for (int i = 4; i < argc && node_count < NODES_MAX; i++) {
        ips[node_count++] = argv[i];
    }
    make_config();
    for (int i = 0; i < TARGETS + NEW_TARGETS; i++) {
        mg_http_server *server;
        struct target *t = &targets[i];
        snprintf(t->id, sizeof(t->id), "i-%d", i);
        snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%d",
                 control_port + 100 + i);
        t->service = i % 2 == 0 && i < TARGETS ? "llm" : "app";
        t->version = i < TARGETS ? "v1" : "v2";
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
    started = now_ms();
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
    return uv_run(loop, UV_RUN_DEFAULT);
}
