/*
 * reorder_site - a rollout that is ordered once more after all processes were
 * killed
 *
 * Version v2 of a service answers 500 while it is broken, and is rolled back.
 * The operator has it mended and orders it again. What stands between, the
 * script decides: it kills all nodes when the file KILL-FILE appears, and
 * starts them again.
 *
 * usage: reorder_site CONTROL-PORT CLIENT-PORT IP... (KILL-FILE in the
 * environment). Exits with 1 if an order was acknowledged and is gone, 0 if it
 * was carried out, 2 if the test could not run.
 */
#include "common.h"

#define OLD 3
#define NEW 3
#define SERVE_FROM_MS 2000
#define FIRST_ORDER_MS 4000
/* an order may be resent for ackMs; a later one is a new one */
#define REORDER_AFTER_MS 8000
#define WATCH_MS 20000
#define TICK_MS 10
#define ORDER_S 12

/* the host of a route is the address that a request goes to */
static const char config_start[] =
    "{\"version\":3,\"services\":[{\"name\":\"app\",\"healthPath\":"
    "\"/health\",\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"routes\":[";
static const char route[] =
    "%s{\"name\":\"r-%zu\",\"hostname\":\"%s\",\"pathPrefix\":\"/r/\","
    "\"routeType\":\"idempotent\",\"timeoutMs\":1200,\"goalMs\":150,"
    "\"priority\":1,\"service\":\"app\",\"maxAttempts\":2,\"public\":true}";
static char config[4096];

struct target {
    char id[16];
    char addr[32];
    const char *version;
    uint64_t seq;
    unsigned ran;
};
static struct target targets[OLD + NEW];
static uint64_t born_ms;
static bool configured;
static bool broken = true; /* v2 */
static enum {
    BEFORE,
    ORDERED,
    BACK,     /* rolled back for the first time */
    STRUCK,   /* the nodes are being killed */
    REORDER,  /* the second order is being sent */
    REORDERED /* acknowledged */
} stage;
static int64_t first_order_ms;
static int64_t acked_ms;
static bool order_open;
static unsigned tick;
static unsigned served;
static unsigned seen_running;
static unsigned seen_back;
static unsigned ran_after;
static char last_state[128];

static void
on_request(void *user, mg_http_req *r)
{
    struct target *t = user;
    char extra[256];
    mg_str id = mg_http_header(r, "marigoldgw-attempt-id");
    if (!mg_str_is(mg_http_header(r, "marigoldgw-target-instance"), t->id)) {
        mg_http_reply(r, 421, NULL, "Marigoldgw-Not-Executed: 1\n",
                      (mg_str){"", 0});
        return;
    }
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %.*s\nMarigoldgw-Response-Seal: s-%s\n",
             MG_STR_FMT(id), t->id);
    t->ran++;
    bool is_new = strcmp(t->version, "v2") == 0;
    ran_after += is_new && stage == REORDERED;
    mg_http_reply(r, is_new && broken ? 500 : 200, "text/plain", extra, id);
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
             "\"version\":\"%s\",\"slots\":6,\"state\":\"ready\","
             "\"coldLeftMs\":0,\"seq\":%" PRIu64 ",\"born\":%" PRIu64 "}",
             t->addr, t->version, ++t->seq, born_ms);
    send_call(ips[t->seq % node_count], control_port, "POST", path, NULL, body,
              t->id, ignore, NULL);
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
    served += result == MG_HTTP_COMPLETE && c->status == 200;
}

static void
send_request(void)
{
    static unsigned next;
    char extra[256];
    char id[32];
    snprintf(id, sizeof(id), "%016x", ++next);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 1200\r\n", id);
    send_call(ips[next % node_count], client_port, "GET", "/r/x", extra, "",
              id, on_answer, NULL);
}

static void
on_order(call *c, mg_http_result result)
{
    order_open = false;
    record("order of v2 at %s: %d", c->node,
           result == MG_HTTP_COMPLETE ? c->status : 0);
    if (result != MG_HTTP_COMPLETE || c->status != 200) {
        return;
    }
    if (stage == BEFORE) {
        stage = ORDERED;
        first_order_ms = now_ms();
    }
    else if (stage == REORDER) {
        stage = REORDERED;
        acked_ms = now_ms();
    }
}

/* tries one node after the other until one acknowledges */
static void
send_order(void)
{
    static size_t next;
    char body[128];
    if (order_open) {
        return;
    }
    order_open = true;
    snprintf(body, sizeof(body),
             "{\"service\":\"app\",\"target\":\"v2\",\"deadlineS\":%d}",
             ORDER_S);
    send_call(ips[next++ % node_count], control_port, "POST",
              "/marigoldgw/rollouts/start", NULL, body, "", on_order, NULL);
}

static void
strike(void)
{
    const char *file = getenv("KILL_FILE");
    FILE *f = file != NULL ? fopen(file, "w") : NULL;
    if (f != NULL) {
        fclose(f);
        record("all nodes are killed");
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
    bool back = strstr(body, "rolled_back") != NULL;
    if (stage == ORDERED && back) {
        stage = BACK;
        broken = false;
        record("v2 is rolled back, %.1f s after the order; it is mended now",
               (double)(now_ms() - first_order_ms) / 1000);
    }
    else if (stage == REORDERED && c->sent_ms > acked_ms) {
        seen_back += back;
        seen_running += !back;
    }
}

static void
finish(void)
{
    record("after the acknowledgement of the second order: state running or "
           "completed %u times, rolled_back %u times; %u requests ran at v2; "
           "%u requests of all were served",
           seen_running, seen_back, ran_after, served);
    if (served < 500 || seen_running + seen_back < 10) {
        exit(2);
    }
    exit(seen_running == 0 && ran_after == 0);
}

static void
on_tick(uv_timer_t *t)
{
    int64_t now = now_ms();
    (void)t;
    tick++;
    for (size_t i = 0; i < OLD + NEW; i++) {
        if ((tick + i * 17) % 120 == 0 || tick < 3) {
            beat(&targets[i]);
        }
    }
    if (!configured && tick % 20 == 0) {
        send_call(ips[tick / 20 % node_count], control_port, "POST",
                  "/marigoldgw/config/replace", NULL, config, "", on_config,
                  NULL);
    }
    if (configured && now > SERVE_FROM_MS) {
        send_request();
        send_request();
    }
    if (now > 90000) {
        record("not finished in time, in stage %d", stage);
        exit(2);
    }
    if (stage == BEFORE && now > FIRST_ORDER_MS && tick % 10 == 0) {
        send_order();
    }
    if (stage == BACK && now - first_order_ms > REORDER_AFTER_MS) {
        stage = STRUCK;
        strike();
    }
    else if (stage == STRUCK && tick % 10 == 0 &&
             now - first_order_ms > REORDER_AFTER_MS + 1000) {
        stage = REORDER;
    }
    if (stage == REORDER && tick % 10 == 0) {
        send_order();
    }
    if (stage != BEFORE && tick % 20 == 0) {
        send_call(ips[tick / 20 % node_count], control_port, "GET",
                  "/marigoldgw/rollouts/app/get", NULL, "", "", on_state,
                  NULL);
    }
    if (stage == REORDERED && now - acked_ms > WATCH_MS) {
        finish();
    }
}

int
main(int argc, char **argv)
{
    uv_timer_t timer;
    mg_error err;
    read_arguments(argc, argv);
    size_t n = (size_t)snprintf(config, sizeof(config), "%s", config_start);
    for (size_t i = 0; i < node_count; i++) {
        n += (size_t)snprintf(config + n, sizeof(config) - n, route,
                              i > 0 ? "," : "", i, ips[i]);
    }
    snprintf(config + n, sizeof(config) - n, "]}");
    born_ms = (uint64_t)mg_wall(mg_system_clock());
    for (int i = 0; i < OLD + NEW; i++) {
        mg_http_server *server;
        struct target *t = &targets[i];
        snprintf(t->id, sizeof(t->id), "i-%d", i);
        snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%d",
                 control_port + 100 + i);
        t->version = i < OLD ? "v1" : "v2";
        if (mg_http_open(&server,
                         &(mg_http_options){.loop = loop,
                                            .listen_addr = t->addr,
                                            .limits = {.body_max = 1 << 20},
                                            .on_request = on_request,
                                            .user = t},
                         &err) != MG_OK) {
            fprintf(stderr, "%s\n", err.text);
            return 2;
        }
    }
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
    uv_run(loop, UV_RUN_DEFAULT);
    return 2;
}
