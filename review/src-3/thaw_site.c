/*
 * thaw_site - a rollout that is ordered at a node which has just thawed
 *
 * Version v2 of a service has replaced v1. A node freezes (FROZEN_PID); v3 is
 * ordered elsewhere and replaces v2. Then the operator orders v2 again, at the
 * node, which thaws while it waits for the answer. When the order has been
 * acknowledged, the final fault comes: the script kills all nodes when the
 * file KILL_FILE appears, and starts them again.
 *
 * usage: thaw_site CONTROL-PORT CLIENT-PORT IP... (the last one freezes)
 * Without FROZEN_PID and KILL_FILE nothing freezes or is killed. Exits with 1
 * if the acknowledged order is gone, 0 if not, 2 if the test could not run.
 */
#include "common.h"

#define TICK_MS 10
#define GROUPS 4 /* of replicas: v1, v2, v3, and v2 once more */
#define EACH 3
#define FREEZE_MS 6000
/* the records that were on their way when the node froze have arrived */
#define ORDER_V3_AFTER_MS 700
#define ORDER_V2_AFTER_MS 5300
#define WATCH_MS 15000
/* callers move on to another node after a second without a response */
#define ORDER_WAIT_MS 1000

static const char *const versions[GROUPS] = {"v1", "v2", "v3", "v2"};
static const char config_start[] =
    "{\"version\":3,\"services\":[{\"name\":\"app\",\"healthPath\":"
    "\"/health\",\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"routes\":[";
/* the host of a route is the address that a request goes to */
static const char route[] =
    "%s{\"name\":\"r-%zu\",\"hostname\":\"%s\",\"pathPrefix\":\"/r/\","
    "\"routeType\":\"idempotent\",\"timeoutMs\":1200,\"goalMs\":150,"
    "\"priority\":1,\"service\":\"app\",\"maxAttempts\":2,\"public\":true}";
static char config[4096];

struct target {
    char id[16];
    char addr[32];
    const char *version;
    mg_http_server *server;
    uint64_t born_ms;
    uint64_t seq;
    unsigned ran;
    bool started;
    bool stopped;
};
static struct target targets[GROUPS * EACH];
static bool configured;
static enum {
    FIRST,    /* v2 is to replace v1 */
    SECOND,   /* it has; v3 is to replace v2 */
    BACK,     /* it has; v2 is ordered again */
    REORDERED /* acknowledged */
} stage;
static const char *ordered; /* the version whose order is acknowledged */
static bool order_open;
static int64_t frozen_ms;
static bool frozen;
static int64_t acked_ms;
static unsigned tick;
static unsigned served;
static unsigned seen_v2;
static unsigned seen_other;
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
    mg_http_reply(r, 200, "text/plain", extra, id);
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
             t->addr, t->version, ++t->seq, t->born_ms);
    send_call(ips[t->seq % node_count], control_port, "POST", path, NULL, body,
              t->id, ignore, NULL);
}

static void
start_group(int group)
{
    mg_error err;
    record("the replicas of %s start%s", versions[group],
           group == 3 ? " again" : "");
    for (int i = group * EACH; i < (group + 1) * EACH; i++) {
        struct target *t = &targets[i];
        snprintf(t->id, sizeof(t->id), "i-%d", i);
        snprintf(t->addr, sizeof(t->addr), "127.0.0.1:%d",
                 control_port + 100 + i);
        t->version = versions[group];
        t->born_ms = (uint64_t)mg_wall(mg_system_clock());
        t->started = true;
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
}

/* at "completed" the old replicas stop */
static void
stop_group(int group)
{
    record("the replicas of %s stop", versions[group]);
    for (int i = group * EACH; i < (group + 1) * EACH; i++) {
        targets[i].stopped = true;
        mg_http_stop_listening(targets[i].server);
    }
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
    /* clients leave a node that doesn't answer */
    const char *ip =
        ips[next % (frozen_ms != 0 ? node_count - 1 : node_count)];
    snprintf(id, sizeof(id), "%016x", ++next);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 1200\r\n", id);
    send_call(ip, client_port, "GET", "/r/x", extra, "", id, on_answer, NULL);
}

static void
set_frozen(bool on)
{
    const char *pid = getenv("FROZEN_PID");
    frozen = on;
    if (pid != NULL) {
        kill((pid_t)atoi(pid), on ? SIGSTOP : SIGCONT);
        record("%s %s", ips[node_count - 1], on ? "freezes" : "thaws");
    }
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
on_order(call *c, mg_http_result result)
{
    order_open = false;
    record("order of %s at %s, sent %.3f: %d", (const char *)c->user, c->node,
           (double)c->sent_ms / 1000,
           result == MG_HTTP_COMPLETE ? c->status : 0);
    if (result != MG_HTTP_COMPLETE || c->status != 200) {
        return;
    }
    ordered = c->user;
    if (stage == BACK) {
        stage = REORDERED;
        acked_ms = now_ms();
        strike();
    }
}

static void
send_order(const char *version, int seconds, size_t node)
{
    char body[128];
    if (order_open) {
        return;
    }
    order_open = true;
    snprintf(body, sizeof(body),
             "{\"service\":\"app\",\"target\":\"%s\",\"deadlineS\":%d}",
             version, seconds);
    send_call(ips[node], control_port, "POST", "/marigoldgw/rollouts/start",
              NULL, body, "", on_order, (void *)version);
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
    bool done = strstr(body, "completed") != NULL;
    if (strstr(body, "rolled_back") != NULL) {
        record("a sound version is rolled back: the test could not run");
        exit(2);
    }
    if (stage == FIRST && done && strstr(body, "\"v2\"") != NULL) {
        stage = SECOND;
        stop_group(0);
        start_group(2);
        frozen_ms = now_ms();
        set_frozen(true);
    }
    else if (stage == SECOND && done && strstr(body, "\"v3\"") != NULL) {
        stage = BACK;
        stop_group(1);
        start_group(3);
    }
    else if (stage == REORDERED && c->sent_ms > acked_ms) {
        bool is_v2 = strstr(body, "\"v2\"") != NULL;
        seen_v2 += is_v2;
        seen_other += !is_v2;
    }
}

static void
finish(void)
{
    record("after the acknowledgement of the order of v2: the rollout is that "
           "of v2 in %u answers, another one in %u; %u requests ran at the "
           "new replicas of v2; %u requests of all were served",
           seen_v2, seen_other,
           targets[9].ran + targets[10].ran + targets[11].ran, served);
    if (served < 500 || seen_v2 + seen_other < 10) {
        exit(2);
    }
    exit(seen_v2 == 0);
}

static void
on_tick(uv_timer_t *t)
{
    int64_t now = now_ms();
    int64_t since = frozen_ms != 0 ? now - frozen_ms : 0;
    (void)t;
    tick++;
    for (size_t i = 0; i < GROUPS * EACH; i++) {
        struct target *s = &targets[i];
        if (s->started && !s->stopped && (tick + i * 17) % 120 == 0) {
            beat(s);
        }
    }
    if (!configured && tick % 20 == 0) {
        send_call(ips[tick / 20 % node_count], control_port, "POST",
                  "/marigoldgw/config/replace", NULL, config, "", on_config,
                  NULL);
    }
    if (configured && now > 2000) {
        send_request();
        send_request();
    }
    if (now > 80000) {
        record("not finished in time, in stage %d", stage);
        exit(2);
    }
    if (now > 3000 && !targets[EACH].started) {
        start_group(1);
    }
    if (stage == FIRST && now > 4000 && ordered == NULL && tick % 10 == 0) {
        send_order("v2", 6, tick / 10 % node_count);
    }
    if (stage == SECOND && since > ORDER_V3_AFTER_MS &&
        strcmp(ordered, "v2") == 0 && tick % 10 == 0) {
        send_order("v3", 4, tick / 10 % (node_count - 1));
    }
    if (frozen && since > FREEZE_MS) {
        set_frozen(false);
    }
    if (stage == BACK && since > ORDER_V2_AFTER_MS && !order_open) {
        if (since > ORDER_V2_AFTER_MS + 2 * ORDER_WAIT_MS) {
            record("no acknowledgement: the test could not run");
            exit(2);
        }
        send_order("v2", 6, node_count - 1);
    }
    if (ordered != NULL && tick % 20 == 0) {
        size_t n = frozen ? node_count - 1 : node_count;
        send_call(ips[tick / 20 % n], control_port, "GET",
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
    read_arguments(argc, argv);
    size_t n = (size_t)snprintf(config, sizeof(config), "%s", config_start);
    for (size_t i = 0; i < node_count; i++) {
        n += (size_t)snprintf(config + n, sizeof(config) - n, route,
                              i > 0 ? "," : "", i, ips[i]);
    }
    snprintf(config + n, sizeof(config) - n, "]}");
    start_group(0);
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
    uv_run(loop, UV_RUN_DEFAULT);
    return 2;
}
