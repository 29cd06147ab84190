/*
 * parts_site - a part of a prompt that crashes each replica that begins to
 * write an answer on it, while demand is thin
 *
 * Sound requests of one caller share a system prompt (PART_SYSTEM) and a
 * document (PART_DOCUMENT); each has a last part of its own. Requests with a
 * further part (PART_DEADLY) between these two come later; no two of them are
 * alike either. Each replica is a process of its own, ends when it begins to
 * write an answer to one of them, and starts again 3 s later, with a new id.
 *
 * usage: parts_site CONTROL-PORT CLIENT-PORT IP...
 *        parts_site CONTROL-PORT CLIENT-PORT replica NUMBER ID IP...
 * DEADLY=0 in the environment: there are no requests with the deadly part.
 * Exits with 1 if rule LOST was broken, 0 if not, 2 if the test could not run.
 */
#include "common.h"

#include <unistd.h>

#define REPLICAS 8
#define EVENTS 6
#define STEP_MS 20
#define PREFILL_MS 60
#define BACK_MS 3000
#define TICK_MS 10
#define SOUND_FROM_MS 4000
/* sound requests come four at a time */
#define SOUND_MS 6000
#define CLUMP 4
#define DEADLY_MS 400
#define DEADLY_AFTER_MS 2000
#define DEADLY_LENGTH_MS 46000
/* so many sound requests before the deadly ones */
#define COUNT_MIN 24
#define TOUCH_MS 3000

#define PART_SYSTEM "5c1e07a2"
#define PART_DOCUMENT "91bd3f06"
#define PART_DEADLY "e4402b7d"

static const char config_start[] =
    "{\"version\":3,\"services\":[{\"name\":\"llm\",\"healthPath\":"
    "\"/health\",\"maxConns\":500,\"protocol\":\"h1\",\"tls\":false,"
    "\"engine\":{\"slots\":7,\"kvCapacityTokens\":211981,\"stride\":4,"
    "\"models\":[{\"name\":\"m\"}]}}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"member-a\",\"apiKeys\":[\"key-a\"],"
    "\"priority\":1,\"unit\":\"token_count\",\"plainTokens\":200,"
    "\"ratePerS\":114915,\"burst\":114915}],\"routes\":[";
/* the host of a route is the address that a request goes to */
static const char route[] =
    "%s{\"name\":\"r-%zu\",\"hostname\":\"%s\",\"pathPrefix\":\"/g/\","
    "\"routeType\":\"streaming\",\"timeoutMs\":3000,\"goalMs\":500,"
    "\"priority\":1,\"service\":\"llm\",\"maxAttempts\":1,\"public\":false,"
    "\"sticky\":true,\"resumable\":false,\"gapGoalMs\":400}";
static char config[4096];

/* -------------------------------------------------------------- replica */

struct run {
    uv_timer_t timer;
    mg_http_req *r;
    char id[32];
    unsigned sent;
    bool deadly;
};
static char replica_id[32];
static char replica_addr[32];
static uint64_t born_ms;

static void
on_run_closed(uv_handle_t *h)
{
    free(h->data);
}

static void
on_run_left(void *user)
{
    struct run *n = user;
    n->r = NULL;
}

static void
on_step(uv_timer_t *t)
{
    struct run *n = t->data;
    char event[128];
    if (n->r == NULL) {
        uv_close((uv_handle_t *)t, on_run_closed);
        return;
    }
    if (n->deadly) {
        printf("        replica %s crashes on request %s\n", replica_id,
               n->id);
        fflush(stdout);
        _exit(3);
    }
    if (n->sent == 0) {
        char extra[128];
        snprintf(extra, sizeof(extra),
                 "Marigoldgw-Attempt-Id: %s\nMarigoldgw-Response-Seal: s-%s\n",
                 n->id, n->id);
        mg_http_start(n->r, 200, "text/event-stream", extra);
    }
    int size = snprintf(event, sizeof(event), "id: %u\ndata: %s\n\n",
                        ++n->sent, n->id);
    mg_http_write(n->r, (mg_str){event, (size_t)size});
    if (n->sent == EVENTS) {
        mg_http_finish(n->r);
        n->r = NULL;
        uv_close((uv_handle_t *)t, on_run_closed);
    }
}

static void
on_request(void *user, mg_http_req *r)
{
    (void)user;
    char prefix[256];
    struct run *n = mg_alloc(sizeof(*n));
    mg_str_copy(n->id, sizeof(n->id),
                mg_http_header(r, "marigoldgw-attempt-id"));
    if (!mg_str_is(mg_http_header(r, "marigoldgw-target-instance"),
                   replica_id)) {
        char extra[128];
        snprintf(extra, sizeof(extra),
                 "Marigoldgw-Attempt-Id: %s\nMarigoldgw-Not-Executed: 1\n",
                 n->id);
        mg_http_reply(r, 421, NULL, extra, (mg_str){"", 0});
        free(n);
        return;
    }
    mg_str_copy(prefix, sizeof(prefix),
                mg_http_header(r, "marigoldgw-prefix-hash"));
    n->deadly = strstr(prefix, PART_DEADLY) != NULL;
    n->r = r;
    mg_http_on_disconnect(r, on_run_left, n);
    uv_timer_init(loop, &n->timer);
    n->timer.data = n;
    uv_timer_start(&n->timer, on_step, PREFILL_MS, STEP_MS);
}

static void
ignore(call *c, mg_http_result result)
{
    (void)c;
    (void)result;
}

static void
on_beat(uv_timer_t *t)
{
    static uint64_t seq;
    char path[64];
    char body[400];
    (void)t;
    snprintf(path, sizeof(path), "/marigoldgw/instances/%s/heartbeat",
             replica_id);
    snprintf(body, sizeof(body),
             "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"z1\","
             "\"version\":\"v1\",\"slots\":7,\"state\":\"ready\","
             "\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{\"name\":"
             "\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%" PRIu64
             ",\"born\":%" PRIu64 "}",
             replica_addr, ++seq, born_ms);
    send_call(ips[(seq + born_ms) % node_count], control_port, "POST", path,
              NULL, body, "", ignore, NULL);
}

static int
run_replica(int argc, char **argv)
{
    uv_timer_t timer;
    mg_http_server *server;
    mg_error err;
    signal(SIGPIPE, SIG_IGN);
    loop = uv_default_loop();
    control_port = atoi(argv[1]);
    born_ms = (uint64_t)mg_wall(mg_system_clock());
    snprintf(replica_id, sizeof(replica_id), "%s", argv[5]);
    snprintf(replica_addr, sizeof(replica_addr), "127.0.0.1:%d",
             control_port + 90 + atoi(argv[4]));
    for (int i = 6; i < argc; i++) {
        ips[node_count++] = argv[i];
    }
    if (mg_http_open(&server,
                     &(mg_http_options){.loop = loop,
                                        .listen_addr = replica_addr,
                                        .limits = {.body_max = 1 << 20},
                                        .on_request = on_request},
                     &err) != MG_OK) {
        fprintf(stderr, "%s\n", err.text);
        return 2;
    }
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_beat, 0, 1200);
    return uv_run(loop, UV_RUN_DEFAULT);
}

/* ------------------------------------------------- replicas, as processes */

struct process {
    uv_process_t handle;
    uv_timer_t timer;
    int number;
    unsigned starts;
    bool up;
};
static struct process processes[REPLICAS];
static char *program;
static char **arguments; /* of this process */
static unsigned crashes;
static int64_t last_crash_ms; /* the fifth, or the last if there are fewer */

static void
start_replica(struct process *p);

static void
on_back(uv_timer_t *t)
{
    start_replica(t->data);
}

static void
on_exit_of(uv_process_t *h, int64_t status, int signal_number)
{
    struct process *p = h->data;
    (void)status;
    (void)signal_number;
    p->up = false;
    if (++crashes <= 5) {
        last_crash_ms = now_ms();
    }
    record("crash %u, of replica %d", crashes, p->number);
    uv_timer_start(&p->timer, on_back, BACK_MS, 0);
}

static void
start_replica(struct process *p)
{
    char number[8];
    char id[32];
    char *args[6 + NODES_MAX] = {program,   arguments[1], arguments[2],
                                 "replica", number,       id};
    snprintf(number, sizeof(number), "%d", p->number);
    snprintf(id, sizeof(id), "i-%d-%u", p->number, ++p->starts);
    for (size_t i = 0; i < node_count; i++) {
        args[6 + i] = (char *)ips[i];
    }
    uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE},
                                     {.flags = UV_INHERIT_FD, .data.fd = 1},
                                     {.flags = UV_INHERIT_FD, .data.fd = 2}};
    uv_process_options_t o = {.file = program,
                              .args = args,
                              .exit_cb = on_exit_of,
                              .stdio_count = 3,
                              .stdio = stdio};
    p->handle.data = p;
    p->timer.data = p;
    if (uv_spawn(loop, &p->handle, &o) != 0) {
        exit(2);
    }
    p->up = true;
}

static void
end(int status)
{
    for (int i = 0; i < REPLICAS; i++) {
        if (processes[i].up) {
            kill(processes[i].handle.pid, SIGKILL);
        }
    }
    exit(status);
}

/* -------------------------------------------------------------- clients */

static bool configured;
static unsigned sent_before;
static unsigned began_before;
static unsigned sent_after;
static unsigned began_after;
static unsigned deadly_sent;
static unsigned deadly_refused;
static int64_t deadly_from_ms; /* 0: not yet */
static int64_t next_sound_ms = SOUND_FROM_MS;
static int64_t next_deadly_ms;

static void
on_config(call *c, mg_http_result result)
{
    if (result == MG_HTTP_COMPLETE && c->status == 200 && !configured) {
        configured = true;
        record("configuration acknowledged by %s", c->node);
    }
}

/* from when the rule counts: 2 x contactMs after the crash */
static bool
counts_after(int64_t sent_ms)
{
    return deadly_from_ms != 0 &&
           sent_ms > (last_crash_ms != 0 ? last_crash_ms : deadly_from_ms) +
                         2 * TOUCH_MS;
}

static void
on_sound(call *c, mg_http_result result)
{
    bool began = result == MG_HTTP_COMPLETE && c->status == 200;
    record("sound request %s at %s: %d%s", c->id, c->node, c->status,
           result == MG_HTTP_COMPLETE ? "" : ", broken off");
    if (deadly_from_ms == 0) {
        sent_before++;
        began_before += began;
    }
    else if (counts_after(c->sent_ms)) {
        sent_after++;
        began_after += began;
    }
    if (deadly_from_ms == 0 && sent_before == COUNT_MIN) {
        deadly_from_ms = now_ms();
        next_deadly_ms = deadly_from_ms + DEADLY_AFTER_MS;
        record("from now on there are requests with the part " PART_DEADLY);
    }
}

static void
on_deadly(call *c, mg_http_result result)
{
    deadly_refused += result == MG_HTTP_COMPLETE && c->status == 503;
    if (deadly_sent <= 12) {
        record("deadly request %s at %s: %d", c->id, c->node, c->status);
    }
}

static void
send_request(const char *ip, bool deadly)
{
    static unsigned next;
    char extra[512];
    char id[32];
    snprintf(id, sizeof(id), "%016x", ++next);
    snprintf(extra, sizeof(extra),
             "Marigoldgw-Attempt-Id: %s\r\nMarigoldgw-Deadline: 3000\r\n"
             "Marigoldgw-Credential: key-a\r\nMarigoldgw-Model: m\r\n"
             "Marigoldgw-Token-Count: "
             "1800,24\r\nMarigoldgw-Prefix-Hash: " PART_SYSTEM
             ":60,%s" PART_DOCUMENT ":800,%08x:540\r\n",
             id, deadly ? PART_DEADLY ":400," : "", 0x1000 + next);
    send_call(ip, client_port, "POST", "/g/x", extra, id, id,
              deadly ? on_deadly : on_sound, NULL);
}

static void
finish(void)
{
    double before = sent_before ? (double)began_before / sent_before : 0;
    double after = sent_after ? (double)began_after / sent_after : 0;
    record("%u crashes; %u deadly requests, %u of them refused", crashes,
           deadly_sent, deadly_refused);
    record("sound requests that began at the first attempt: %u of %u before, "
           "%u of %u later than 2 x contactMs after the fifth or last crash",
           began_before, sent_before, began_after, sent_after);
    if (sent_before < 20 || sent_after < 20 || before < 0.5) {
        end(2);
    }
    end(after < before / 2);
}

static void
on_tick(uv_timer_t *t)
{
    static unsigned tick;
    static unsigned turn;
    int64_t now = now_ms();
    (void)t;
    tick++;
    if (!configured && tick % 20 == 0) {
        send_call(ips[tick / 20 % node_count], control_port, "POST",
                  "/marigoldgw/config/replace", NULL, config, "", on_config,
                  NULL);
    }
    if (configured && now >= next_sound_ms) {
        next_sound_ms = now + SOUND_MS;
        for (int i = 0; i < CLUMP; i++) {
            send_request(ips[turn++ % node_count], false);
        }
    }
    if (deadly_from_ms != 0 && now >= next_deadly_ms) {
        next_deadly_ms = now + DEADLY_MS;
        if (getenv("DEADLY") == NULL) {
            deadly_sent++;
            send_request(ips[turn++ % node_count], true);
        }
    }
    if (deadly_from_ms != 0 && now > deadly_from_ms + DEADLY_LENGTH_MS) {
        finish();
    }
    if (now > 110000) {
        record("not finished in time");
        end(2);
    }
}

int
main(int argc, char **argv)
{
    uv_timer_t timer;
    if (argc > 6 && strcmp(argv[3], "replica") == 0) {
        return run_replica(argc, argv);
    }
    read_arguments(argc, argv);
    program = argv[0];
    arguments = argv;
    size_t n = (size_t)snprintf(config, sizeof(config), "%s", config_start);
    for (size_t i = 0; i < node_count; i++) {
        n += (size_t)snprintf(config + n, sizeof(config) - n, route,
                              i > 0 ? "," : "", i, ips[i]);
    }
    snprintf(config + n, sizeof(config) - n, "]}");
    for (int i = 0; i < REPLICAS; i++) {
        processes[i].number = i;
        uv_timer_init(loop, &processes[i].timer);
        start_replica(&processes[i]);
    }
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
    uv_run(loop, UV_RUN_DEFAULT);
    return 2;
}
