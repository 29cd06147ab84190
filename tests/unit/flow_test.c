/*
 * A gateway between a client and two targets, all in one event loop. Guards
 * against uses of a quota that are not counted: a request that fails at one
 * target and is sent to the other runs twice.
 */
#include "suite.h"

#include <signal.h>
#include <unistd.h>

#include "base/addr.h"
#include "gateway/gateway.h"

/* of the first target; the other one and the gateway follow */
#define PORT 24760
#define TARGETS 2
#define REQUESTS 30
#define QUOTA 12 /* requests; the rate adds none within the test */
#define RUN_MAX_MS 5000

static struct {
    uv_loop_t loop;
    uv_prepare_t prepare;
    mg_dialect dialect;
    mg_registry *registry;
    mg_gateway *gateway;
    mg_http_server *front;
    mg_http_server *targets[TARGETS];
    int target_status; /* of all responses of targets */
    unsigned executed; /* by targets */
    unsigned ended;    /* requests */
    char addrs[TARGETS + 1][MG_ADDR_SIZE];
} world;

static mg_rc
read_request(mg_dialect *d, mg_http_req *r, mg_client_request *out,
             mg_error *err)
{
    (void)d;
    (void)err;
    out->http = r;
    out->id = mg_str_of("r");
    out->host = mg_str_of("h");
    out->key = mg_str_of("key");
    out->timeout_ms = -1;
    return MG_OK;
}

static void
put_request(mg_dialect *d, const mg_client_request *req, const mg_dispatch *to,
            mg_buf *out)
{
    (void)d;
    (void)req;
    (void)to;
    mg_buf_printf(out, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void
read_response(mg_dialect *d, const mg_h1_headers *headers,
              mg_response_head *out)
{
    (void)d;
    out->status = headers->status;
}

static void
on_client_request(void *user, mg_http_req *r)
{
    (void)user;
    mg_gateway_handle(world.gateway, r);
}

static void
on_target_request(void *user, mg_http_req *r)
{
    (void)user;
    world.executed++;
    mg_http_reply(r, world.target_status, "text/plain", NULL, mg_str_of("x"));
}

static void
on_prepare(uv_prepare_t *h)
{
    (void)h;
    mg_gateway_tick(world.gateway);
    mg_gateway_dispatch_scheduled(world.gateway);
}

static mg_http_server *
open_server(int i, void (*on_request)(void *user, mg_http_req *req))
{
    mg_error err;
    mg_http_server *s = NULL;
    unsigned pid = (unsigned)getpid();
    /* an address of this process: the test may run several times at once */
    snprintf(world.addrs[i], sizeof(world.addrs[i]), "127.%u.%u.%u:%d",
             pid >> 16 & 127, pid >> 8 & 255, pid & 255, PORT + i);
    CU_ASSERT_EQUAL_FATAL(mg_http_open(&s,
                                       &(mg_http_options){
                                           .loop = &world.loop,
                                           .listen_addr = world.addrs[i],
                                           .limits = {.body_max = 1000},
                                           .on_request = on_request,
                                       },
                                       &err),
                          MG_OK);
    return s;
}

static mg_routing *
make_routing(void)
{
    mg_routing *t = mg_routing_new();
    mg_service *s = mg_alloc(sizeof(*s));
    mg_route *r = mg_alloc(sizeof(*r));
    mg_client_workspace *w = mg_alloc(sizeof(*w));
    strcpy(s->name, "app");
    s->conns_max = 100;
    strcpy(w->name, "w");
    w->rate = 1e-6;
    w->burst = QUOTA - 0.5; /* admitted while some is left */
    r->retry_policy = MG_RETRY_BEFORE_RESPONSE;
    r->timeout_ms = 2000;
    r->goal_ms = 500;
    r->attempts_max = 2;
    r->splits[0] = (mg_split){s, 1};
    r->split_count = 1;
    r->weight_sum = 1;
    t->version = 1;
    t->has_workspaces = true;
    CU_ASSERT_EQUAL(mg_routing_add_service(t, s), MG_OK);
    CU_ASSERT_EQUAL(mg_routing_add_workspace(t, w), MG_OK);
    CU_ASSERT_EQUAL(mg_routing_add_key(t, w, mg_str_of("key")), MG_OK);
    CU_ASSERT_EQUAL(mg_routing_add_route(t, r, mg_str_of("h"), mg_str_of("/")),
                    MG_OK);
    return t;
}

static void
open_world(void)
{
    static const char *const domains[] = {"d"};
    memset(&world, 0, sizeof(world));
    uv_loop_init(&world.loop);
    world.dialect = (mg_dialect){read_request, put_request, read_response};
    world.registry = mg_registry_new(mg_system_clock());
    world.gateway = mg_gateway_new(&(mg_gateway_options){
        .loop = &world.loop,
        .clock = mg_system_clock(),
        .registry = world.registry,
        .dialect = &world.dialect,
        .domain = "d",
        .seed = 1,
        .limits = {.retry_ratio = 2,
                   .retry_slack = 1000,
                   .retry_window_ms = 8000,
                   .quota_window_ms = 8000},
    });
    mg_gateway_set_routing(world.gateway, make_routing());
    mg_gateway_set_entries(world.gateway, domains, 1, 0);
    world.front = open_server(TARGETS, on_client_request);
    for (int i = 0; i < TARGETS; i++) {
        world.targets[i] = open_server(i, on_target_request);
        mg_announcement a = {.slots = 10, .started_ms = 1, .seq = 1};
        snprintf(a.id, sizeof(a.id), "t-%d", i);
        strcpy(a.service, "app");
        strcpy(a.domain, "d");
        strcpy(a.version, "v1");
        strcpy(a.addr, world.addrs[i]);
        mg_registry_announce(world.registry, &a);
        mg_gateway_instance_changed(world.gateway,
                                    mg_registry_find(world.registry, a.id));
    }
    uv_prepare_init(&world.loop, &world.prepare);
    uv_prepare_start(&world.prepare, on_prepare);
}

static void
on_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)user;
    (void)status;
    (void)type;
    (void)not_run;
}

static void
on_data(void *user, mg_str data)
{
    (void)user;
    (void)data;
}

static void
on_end(void *user, mg_http_result result, const char *why)
{
    (void)user;
    (void)why;
    CU_ASSERT_EQUAL(result, MG_HTTP_COMPLETE);
    world.ended++;
}

/* Sends requests one after the other. */
static void
send_requests(unsigned count)
{
    uint64_t end = uv_hrtime() + (uint64_t)RUN_MAX_MS * 1000000;
    for (unsigned i = 1; i <= count; i++) {
        mg_http_client_req_new(&(mg_http_client_req_options){
            .loop = &world.loop,
            .addr = world.addrs[TARGETS],
            .method = "GET",
            .path = "/",
            .connect_timeout_ms = 1000,
            .read_timeout_ms = 3000,
            .on_headers = on_headers,
            .on_data = on_data,
            .on_end = on_end,
        });
        while (world.ended < i && uv_hrtime() < end) {
            uv_run(&world.loop, UV_RUN_NOWAIT);
        }
    }
    CU_ASSERT_EQUAL(world.ended, count);
}

/* The gateway stays: it lives as long as its process. */
static void
close_world(void)
{
    mg_http_stop_listening(world.front);
    for (int i = 0; i < TARGETS; i++) {
        mg_http_stop_listening(world.targets[i]);
    }
    uv_prepare_stop(&world.prepare);
    uv_run(&world.loop, UV_RUN_NOWAIT);
}

/* Number of requests that targets execute if all their responses have this
   status. */
static unsigned
count_executed(int target_status)
{
    open_world();
    world.target_status = target_status;
    send_requests(REQUESTS);
    printf("\n  %u requests, quota %d: targets executed %u\n", REQUESTS, QUOTA,
           world.executed);
    close_world();
    return world.executed;
}

static void
test_quota_of_good_targets(void)
{
    CU_ASSERT_EQUAL(count_executed(200), QUOTA);
}

static void
test_quota_of_failing_targets(void)
{
    unsigned executed = count_executed(500);
    CU_ASSERT_TRUE(executed > 0);
    /* the last one that is admitted may be sent once more */
    CU_ASSERT_TRUE(executed <= QUOTA + 1);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a quota, targets that respond", test_quota_of_good_targets},
        {"a quota, targets that fail", test_quota_of_failing_targets},
        CU_TEST_INFO_NULL,
    };
    signal(SIGPIPE, SIG_IGN);
    return run_suite("flow", tests);
}
