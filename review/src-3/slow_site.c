/*
 * slow_site - a rollout of a version whose answers come eight times later
 *
 * Version v1 of a service answers orders after 250 ms, v2 after 2 s, later
 * than the route's timeout. v2 is ordered; the stand-in counts which version
 * the requests reach between the order and its deadline.
 *
 * usage: slow_site CONTROL-PORT CLIENT-PORT IP...
 * SLOW=0 in the environment: v2 is as fast as v1. Exits with 1 if rule
 * EXPOSURE was broken, 0 if not, 2 if the test could not run.
 */
#include "common.h"

#define OLD 3
#define NEW 3
#define SLOTS 30
#define WORK_MS 250
#define SLOW_FACTOR 8
#define TICK_MS 10
#define REQUEST_MS 17
#define ORDER_AT_MS 6000
#define ORDER_S 20
#define WATCH_AFTER_MS 10000
#define SHARE 0.1 /* exposureShare */
#define SLACK 50  /* exposureSlack */

static const char config_start[] =
    "{\"version\":3,\"services\":[{\"name\":\"app\",\"healthPath\":"
    "\"/health\",\"maxConns\":400,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"routes\":[";
/* the host of a route is the address that a request goes to */
static const char route[] =
    "%s{\"name\":\"r-%zu\",\"hostname\":\"%s\",\"pathPrefix\":\"/o/\","
    "\"routeType\":\"non_idempotent\",\"timeoutMs\":1200,\"goalMs\":500,"
    "\"priority\":1,\"service\":\"app\",\"maxAttempts\":1,\"public\":true}";
static char config[4096];

struct target {
    char id[16];
    char addr[32];
    const char *version;
    mg_http_server *server;
    uint64_t seq;
    unsigned reached; /* between the order and its deadline */
    bool stopped;
};
static struct target targets[OLD + NEW];
static uint64_t born_ms;
static bool configured;
static bool slow;
static int64_t ordered_ms;
static int64_t completed_ms;
static bool rolled_back;
static bool order_open;
static unsigned tick;
static unsigned statuses[2]
                        [600]; /* before the order, and after its deadline */
static char last_state[128];

struct run {
    uv_timer_t timer;
    mg_http_req *r;
    char id[32];
};

static void
on_run_closed(uv_handle_t *h)
{
    free(h->data);
}

/* the client has left: the replica drops the request */
static void
on_run_left(void *user)
{
    struct run *n = user;
    n->r = NULL;
}

static void
on_work_done(uv_timer_t *t)
{
    struct run *n = t->data;
    if (n->r != NULL) {
        char extra[128];
        snprintf(extra, sizeof(extra),
                 "Marigoldgw-Attempt-Id: %s\nMarigoldgw-Response-Seal: s-%s\n",
                 n->id, n->id);
        mg_http_reply(n->r, 200, "text/plain", extra, mg_str_of(n->id));
    }
    uv_close((uv_handle_t *)t, on_run_closed);
}

static void
on_request(void *user, mg_http_req *r)
{
    struct target *t = user;
    bool is_new = strcmp(t->version, "v2") == 0;
    if (!mg_str_is(mg_http_header(r, "marigoldgw-target-instance"), t->id)) {
        mg_http_reply(r, 421, NULL, "Marigoldgw-Not-Executed: 1\n",
                      (mg_str){"", 0});
        return;
    }
    if (ordered_ms != 0 && now_ms() < ordered_ms + ORDER_S * 1000) {
        t->reached++;
    }
    struct run *n = mg_alloc(sizeof(*n));
    mg_str_copy(n->id, sizeof(n->id),
                mg_http_header(r, "marigoldgw-attempt-id"));
    n->r = r;
    mg_http_on_disconnect(r, on_run_left, n);
    uv_timer_init(loop, &n->timer);
    n->timer.data = n;
    uv_timer_start(&n->timer, on_work_done,
                   is_new && slow ? WORK_MS * SLOW_FACTOR : WORK_MS, 0);
}

static void
ignore(call *c, mg_http_result result)
{
    (void)c;
    (void)result;
}

static void
beat(struct target *t)
{
    char path[64];
    char body[400];
    snprintf(path, sizeof(path), "/marigoldgw/instances/%s/heartbeat", t->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"z1\","
             "\"version\":\"%s\",\"slots\":%d,\"state\":\"ready\","
             "\"coldLeftMs\":0,\"seq\":%" PRIu64 ",\"born\":%" PRIu64 "}",
             t->addr, t->version, SLOTS, ++t->seq, born_ms);
    send_call(ips[t->seq % node_count], control_port, "POST", path, NULL, body,
              t->id, ignore, NULL);
}

static void
start_target(int i)
{
    mg_error err;
    struct target *t = &targets[i];
    snprintf(t->id, sizeof(t->id), "i-%d", i);
    snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%d", control_port + 100 + i);
    t->version = i < OLD ? "v1" : "v2";
    if (mg_http_open(&t->server,
                     &(mg_http_options){.loop = loop,
                                        .listen_addr = t->addr,
                                        .limits = {.body_max = 1 << 20},
                                        .on_request = on_request,
                                        .user = t},
                     &err) != MG_OK) {
        fprintf(stderr, "%s\n", err.text);
        exit(2);
    }
    beat(t);
}

static void
on_config(call *c, mg_http_result result)
{
    if (result == MG_HTTP_COMPLETE && c->status == 200 && !configured) {
        configured = true;
        record("configuration acknowledged by %s", c->node);
    }
}

static void
on_answer(call *c, mg_http_result result)
{
    int status = result == MG_HTTP_COMPLETE && c->status < 600 ? c->status : 0;
    if (ordered_ms == 0) {
        statuses[0][status]++;
    }
    else if (c->sent_ms > ordered_ms + ORDER_S * 1000) {
        statuses[1][status]++;
    }
}

static void
send_request(void)
{
    static unsigned next;
    char extra[256];
    char id[32];
    snprintf(id, sizeof(id), "%016x", ++next);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 2500\r\n", id);
    send_call(ips[next % node_count], client_port, "POST", "/o/x", extra, id,
              id, on_answer, NULL);
}

static void
on_order(call *c, mg_http_result result)
{
    order_open = false;
    record("order of v2 at %s: %d", c->node,
           result == MG_HTTP_COMPLETE ? c->status : 0);
    if (result == MG_HTTP_COMPLETE && c->status == 200) {
        ordered_ms = now_ms();
    }
}

static void
send_order(void)
{
    char body[128];
    if (order_open) {
        return;
    }
    order_open = true;
    snprintf(body, sizeof(body),
             "{\"service\":\"app\",\"target\":\"v2\",\"deadlineS\":%d}",
             ORDER_S);
    send_call(ips[tick % node_count], control_port, "POST",
              "/marigoldgw/rollouts/start", NULL, body, "", on_order, NULL);
}

/* at "completed" the old replicas stop */
static void
stop_old(void)
{
    record("v1 stops");
    for (int i = 0; i < OLD; i++) {
        targets[i].stopped = true;
        mg_http_stop_listening(targets[i].server);
    }
}

static void
on_state(call *c, mg_http_result result)
{
    if (result != MG_HTTP_COMPLETE || c->status != 200) {
        return;
    }
    const char *body = c->body.p;
    if (strcmp(body, last_state) != 0) {
        snprintf(last_state, sizeof(last_state), "%s", body);
        record("state at %s: %s", c->node, body);
    }
    rolled_back = rolled_back || strstr(body, "rolled_back") != NULL;
    if (strstr(body, "completed") != NULL && completed_ms == 0) {
        completed_ms = now_ms();
        stop_old();
    }
}

static unsigned
total_of(int when)
{
    unsigned n = 0;
    for (int i = 0; i < 600; i++) {
        n += statuses[when][i];
    }
    return n;
}

static void
finish(void)
{
    unsigned old = 0;
    unsigned new = 0;
    for (int i = 0; i < OLD + NEW; i++) {
        *(i < OLD ? &old : &new) += targets[i].reached;
    }
    double allowed = SHARE * (old + new) + SLACK;
    record("between the order and its deadline %u requests reached v1, %u v2; "
           "%.0f are allowed for a bad version",
           old, new, allowed);
    record("answers before the order: %u of %u served; to requests sent after "
           "its deadline: %u of %u served, %u times 504",
           statuses[0][200], total_of(0), statuses[1][200], total_of(1),
           statuses[1][504]);
    if (statuses[0][200] < 100 || old + new < 400) {
        exit(2);
    }
    if (!slow) {
        exit(completed_ms == 0 || rolled_back ? 2 : 0);
    }
    exit(new > allowed);
}

static void
on_tick(uv_timer_t *t)
{
    static int64_t next_request_ms;
    int64_t now = now_ms();
    (void)t;
    tick++;
    for (size_t i = 0; i < OLD + NEW; i++) {
        if (targets[i].server != NULL && !targets[i].stopped &&
            (tick + i * 17) % 120 == 0) {
            beat(&targets[i]);
        }
    }
    if (!configured && tick % 20 == 0) {
        send_call(ips[tick / 20 % node_count], control_port, "POST",
                  "/marigoldgw/config/replace", NULL, config, "", on_config,
                  NULL);
    }
    if (targets[OLD].server == NULL && now > ORDER_AT_MS - 1000) {
        for (int i = OLD; i < OLD + NEW; i++) {
            start_target(i);
        }
    }
    if (now > 2000 && next_request_ms == 0) {
        next_request_ms = now;
    }
    while (next_request_ms != 0 && now >= next_request_ms) {
        next_request_ms += REQUEST_MS;
        send_request();
    }
    if (now > ORDER_AT_MS && ordered_ms == 0 && tick % 10 == 0) {
        send_order();
    }
    if (ordered_ms != 0 && tick % 20 == 0) {
        send_call(ips[tick / 20 % node_count], control_port, "GET",
                  "/marigoldgw/rollouts/app/get", NULL, "", "", on_state,
                  NULL);
    }
    if (ordered_ms != 0 &&
        now > ordered_ms + ORDER_S * 1000 + WATCH_AFTER_MS) {
        finish();
    }
    if (now > 80000) {
        record("not finished in time");
        exit(2);
    }
}

int
main(int argc, char **argv)
{
    uv_timer_t timer;
    read_arguments(argc, argv);
    slow = getenv("SLOW") == NULL;
    born_ms = (uint64_t)mg_wall(mg_system_clock());
    size_t n = (size_t)snprintf(config, sizeof(config), "%s", config_start);
    for (size_t i = 0; i < node_count; i++) {
        n += (size_t)snprintf(config + n, sizeof(config) - n, route,
                              i > 0 ? "," : "", i, ips[i]);
    }
    snprintf(config + n, sizeof(config) - n, "]}");
    for (int i = 0; i < OLD; i++) {
        start_target(i);
    }
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
    uv_run(loop, UV_RUN_DEFAULT);
    return 2;
}
