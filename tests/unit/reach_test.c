/*
 * Guards against entries that serve nobody while they are cut off from targets
 * that other entries reach.
 */
#include "flow_world.h"

#include "base/counter.h"
#include "gateway/reach.h"

#define SERVICE "app"
/* the entry that clients use is that of the world; the other one is at this
   name, which is its address */
static char second_node[16];
static char other_node[16]; /* "127.a.b.c" */

static struct {
    mg_registry *registry;
    mg_gateway *gateway;
    mg_http_server *relay;
    mg_http_server *second; /* makes it look like two entries */
    uv_prepare_t prepare;
    uint64_t reports;
    bool claims; /* reports to both entries that it reaches the service */
    bool stream;
} other;

static const char *raw;      /* bytes that answer a request for /raw */
static const char *repeated; /* sent after them without end; NULL: nothing */

static void
serve(world_conn *c, mg_str head)
{
    if (strstr(head.p, "raw") != NULL) {
        world_write(c, raw);
        if (repeated != NULL) {
            world_flood(c, repeated);
        }
        return;
    }
    if (strstr(head.p, "cut") != NULL) {
        world_write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "9\r\ndata: a\n\n\r\n");
        world_close(c);
        return;
    }
    if (strstr(head.p, "unframed") != NULL) {
        world_write(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n");
        if (strstr(head.p, "reset") != NULL) {
            list_del(&c->link);
            uv_tcp_close_reset(&c->tcp, world_free_handle);
        }
        else {
            world_close(c);
        }
        return;
    }
    if (strstr(head.p, "hold") != NULL) {
        return;
    }
    if (strstr(head.p, "break") != NULL) {
        world_close(c);
        return;
    }
    world_write(c,
                other.stream
                    ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"
                    : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

static void
on_other_request(void *user, mg_http_req *r)
{
    (void)user;
    mg_gateway_handle_relayed(other.gateway, r);
}

static void
on_other_prepare(uv_prepare_t *h)
{
    mg_buf loads = {0};
    (void)h;
    mg_gateway_tick(other.gateway);
    mg_gateway_dispatch_scheduled(other.gateway);
    mg_gateway_append_report(other.gateway, &loads);
    if (other.claims) {
        mg_msg m = {.type = MG_MSG_LOAD_REACH};
        m.u.load_reach.service = mg_str_of(SERVICE);
        mg_msg_encode(&m, &loads);
        mg_gateway_receive_report(other.gateway, other_node, 1,
                                  mg_str_buf(&loads));
    }
    mg_gateway_receive_report(world.gateway, other_node, 1,
                              mg_str_buf(&loads));
    if (other.second != NULL) {
        mg_gateway_receive_report(world.gateway, second_node, 1,
                                  mg_str_buf(&loads));
    }
    mg_buf_free(&loads);
}

/* Announces a target to one of the entries; reachable: at the address of the
   world's target, else at one that refuses connections. */
static void
announce(mg_gateway *gw, mg_registry *registry, int target, bool reachable)
{
    mg_announcement a = {.slots = 10, .seq = 1, .started_ms = 1};
    snprintf(a.id, sizeof(a.id), "t-%d", target);
    strcpy(a.service, SERVICE);
    strcpy(a.domain, "d");
    strcpy(a.version, "v1");
    strcpy(a.addr, world.addrs[target]);
    if (!reachable) {
        /* a port at which nobody listens */
        snprintf(a.addr, sizeof(a.addr), "%s:%d", other_node,
                 WORLD_PORT + 20 + target);
    }
    mg_registry_announce(registry, &a);
    mg_gateway_instance_changed(gw, mg_registry_find(registry, a.id));
}

static mg_http_server *
listen_for_relayed(const char *ip)
{
    mg_http_server *s = NULL;
    mg_error err;
    char addr[MG_ADDR_SIZE];
    snprintf(addr, sizeof(addr), "%s:%d", ip, WORLD_RELAY_PORT);
    CU_ASSERT_EQUAL_FATAL(mg_http_open(&s,
                                       &(mg_http_options){
                                           .loop = &world_loop,
                                           .listen_addr = addr,
                                           .limits = {.body_max = 1000},
                                           .on_request = on_other_request,
                                       },
                                       &err),
                          MG_OK);
    return s;
}

static void
open_entries(mg_retry_policy policy, bool first_reaches, bool other_reaches)
{
    static const mg_gateway_entry self[] = {{"e0", "d"}};
    mg_route r = {
        .retry_policy = policy,
        .timeout_ms = 2000,
        .goal_ms = 100,
        .attempts_max = 2,
        .stream = other.stream,
    };
    mg_str rest;
    world_open(world_routing(&r, 0, 0), 0, serve);
    mg_str ip = mg_str_split(mg_str_of(world.addrs[0]), ':', &rest);
    mg_str_copy(other_node, sizeof(other_node), ip);
    other.registry = mg_registry_new(mg_system_clock());
    other.gateway = mg_gateway_new(&(mg_gateway_options){
        .loop = &world_loop,
        .clock = mg_system_clock(),
        .registry = other.registry,
        .dialect = &world.dialect,
        .domain = "d",
        .seed = 2,
        .relay_port = WORLD_RELAY_PORT,
        .limits = {.retry_ratio = 2,
                   .retry_slack = 1000,
                   .retry_window_ms = 8000,
                   .quota_window_ms = 8000},
    });
    mg_gateway_set_routing(other.gateway, world_routing(&r, 0, 0));
    mg_gateway_set_entries(other.gateway, self, 1, 0);
    other.relay = listen_for_relayed(other_node);
    other.second = NULL;
    for (int i = 0; i < WORLD_TARGETS; i++) {
        world_listen(i);
        announce(world.gateway, world.registry, i, first_reaches);
        announce(other.gateway, other.registry, i, other_reaches);
    }
    other.claims = false;
    uv_prepare_init(&world_loop, &other.prepare);
    uv_prepare_start(&other.prepare, on_other_prepare);
}

static void
close_entries(void)
{
    uv_prepare_stop(&other.prepare);
    mg_http_stop_listening(other.relay);
    if (other.second != NULL) {
        mg_http_stop_listening(other.second);
    }
    world_shut();
}

/* lets the other entry reach the service */
static void
use_other(void)
{
    char addr[sizeof(world.addrs[0])];
    memcpy(addr, world.addrs[WORLD_TARGETS], sizeof(addr));
    snprintf(world.addrs[WORLD_TARGETS], sizeof(addr), "%s:%d", other_node,
             WORLD_RELAY_PORT);
    world_get("/");
    memcpy(world.addrs[WORLD_TARGETS], addr, sizeof(addr));
}

/* first requests, from which the entry may learn that it is cut off */
#define LEARNING 10
#define REQUESTS 40

/* Sends requests for about two seconds; returns how many of the last REQUESTS
   were served. */
static unsigned
serve_requests(const char *path)
{
    unsigned served = 0;
    for (int i = 0; i < LEARNING + REQUESTS; i++) {
        served += world_get(path) == 200 && i >= LEARNING;
        use_other();
        world_pass(30);
    }
    return served;
}

static void
check_relay(mg_retry_policy policy, bool stream)
{
    other.stream = stream;
    open_entries(policy, false, true);
    use_other();
    unsigned served = serve_requests("/");
    printf("\n  %u of %d requests served\n", served, REQUESTS);
    CU_ASSERT_EQUAL(served, REQUESTS);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
    CU_ASSERT_EQUAL(world.answer.body.n, stream ? 18u : 2u);
    close_entries();
}

static void
test_requests_go_through_another_entry(void)
{
    check_relay(MG_RETRY_BEFORE_RESPONSE, false);
}

static void
test_streams_go_through_another_entry(void)
{
    check_relay(MG_RETRY_RESUME, true);
}

/* Puts serve() in the place of the other entry, which still claims to reach
   the service. */
static void
replace_other_entry(void)
{
    mg_http_stop_listening(other.relay);
    other.claims = true;
    world_crash(0);
    world_pass(20);
    snprintf(world.addrs[0], sizeof(world.addrs[0]), "%s:%d", other_node,
             WORLD_RELAY_PORT);
    world_listen(0);
}

static const char *const no_statuses[] = {
    "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad",
    "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 999 X\r\nContent-Length: 3\r\n\r\nbad",
};

/* bytes that are no answer, of a target behind another entry, and of that
   entry */
static void
test_malformed_answers(void)
{
    other.stream = false;
    for (int of_entry = 0; of_entry < 2; of_entry++) {
        open_entries(MG_RETRY_NEVER, false, true);
        use_other();
        serve_requests("/");
        if (of_entry) {
            replace_other_entry();
        }
        for (size_t i = 0; i < sizeof(no_statuses) / sizeof(no_statuses[0]);
             i++) {
            unsigned before = world.executed;
            raw = no_statuses[i];
            CU_ASSERT_EQUAL(world_get("/raw"), 502);
            CU_ASSERT_EQUAL(world.executed, before + 1);
            CU_ASSERT_EQUAL(world.answer.body.n, 0);
            use_other();
        }
        close_entries();
    }
}

/* held for a response, with what arrives in one read */
#define HELD_MAX (MG_RESPONSE_BYTES_MAX + 2 * WORLD_BLOCK_BYTES)
#define UNREAD_S 10

/* Another entry sends without end, to a client that doesn't read. */
static void
test_unread_floods_of_entries(void)
{
    static const char *const rows[][2] = {
        {"HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "10\r\n0123456789abcdef\r\n"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
         "0123456789abcdef"},
    };
    other.stream = false;
    open_entries(MG_RETRY_NEVER, false, true);
    use_other();
    serve_requests("/");
    replace_other_entry();
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        unsigned executed = world.executed;
        size_t unread = 0;
        raw = rows[i][0];
        repeated = rows[i][1];
        int fd = world_connect("GET", "/raw");
        uint64_t end = uv_hrtime() + (uint64_t)UNREAD_S * 1000000000;
        do {
            uv_run(&world_loop, UV_RUN_NOWAIT);
            size_t n = mg_http_unwritten(world.front) +
                       world.gateway->response_memory.held;
            unread = n > unread ? n : unread;
        } while ((world.executed == executed ||
                  mg_http_open_requests(world.front) > 0) &&
                 unread <= 8 * HELD_MAX && uv_hrtime() < end);
        if (unread > 2 * HELD_MAX) {
            printf("\n  row %zu: %zu KB unread", i, unread >> 10);
        }
        CU_ASSERT_TRUE(world.executed > executed);
        /* what waits to be written is counted as held, too */
        CU_ASSERT_TRUE(unread <= 2 * HELD_MAX);
        close(fd);
        world_pass(50);
        CU_ASSERT_EQUAL(mg_http_open_requests(world.front), 0);
    }
    repeated = NULL;
    close_entries();
}

/* a request that must not be repeated reaches targets once, whatever fails */
static void
test_at_most_once(void)
{
    other.stream = false;
    open_entries(MG_RETRY_NEVER, false, true);
    use_other();
    serve_requests("/");
    unsigned before = world.executed;
    for (int i = 0; i < REQUESTS; i++) {
        int status = world_get("/break");
        CU_ASSERT_TRUE(status == 502 || status == 503);
        use_other();
    }
    /* use_other() sends one, too */
    CU_ASSERT_TRUE(world.executed - before <= 2 * REQUESTS);
    close_entries();
}

/* likewise a stream that breaks off at the other entry, while a third one
   reaches the service */
static void
test_streams_at_most_once(void)
{
    other.stream = true;
    open_entries(MG_RETRY_NEVER, false, true);
    snprintf(second_node, sizeof(second_node), "127.255.%s",
             strchr(strchr(other_node, '.') + 1, '.') + 1);
    other.second = listen_for_relayed(second_node);
    use_other();
    serve_requests("/");
    for (int i = 0; i < REQUESTS / 4; i++) {
        unsigned before = world.executed;
        world_get("/cut");
        CU_ASSERT_EQUAL(world.executed, before + 1);
        CU_ASSERT_NOT_EQUAL(world.answer.result, MG_HTTP_COMPLETE);
        use_other();
    }
    close_entries();
}

/* No entry reaches the service, although one claims to: the client is told so,
   and what was passed on is not passed on again, to that entry either. */
static void
test_no_loops(void)
{
    other.stream = false;
    open_entries(MG_RETRY_BEFORE_RESPONSE, false, false);
    other.claims = true;
    uint64_t before = mg_counter_value(MG_C_REQUESTS);
    CU_ASSERT_EQUAL(serve_requests("/"), 0);
    CU_ASSERT_EQUAL(world.answer.status, 503);
    CU_ASSERT_EQUAL(world.executed, 0);
    /* at the first entry, at the other one, and those of use_other() */
    uint64_t passed = mg_counter_value(MG_C_REQUESTS) - before;
    CU_ASSERT_TRUE(passed <= 3 * (LEARNING + REQUESTS));
    close_entries();
}

/* Guards against a response that looks complete to the client, or to the entry
   that passed its request on, although its target has reset it. */
static void
test_unframed_streams_through_another_entry(void)
{
    other.stream = true;
    open_entries(MG_RETRY_NEVER, false, true);
    use_other();
    serve_requests("/");
    uint64_t complete = mg_counter_value(MG_C_COMPLETED);
    CU_ASSERT_EQUAL(world_get("/unframed"), 200);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_TRUNCATED);
    /* at both entries */
    CU_ASSERT_EQUAL(mg_counter_value(MG_C_COMPLETED), complete + 2);
    uint64_t truncated = mg_counter_value(MG_C_TRUNCATED);
    CU_ASSERT_EQUAL(world_get("/unframed-reset"), 200);
    CU_ASSERT_EQUAL(world.answer.result, MG_HTTP_TRUNCATED);
    CU_ASSERT_EQUAL(mg_counter_value(MG_C_COMPLETED), complete + 2);
    CU_ASSERT_EQUAL(mg_counter_value(MG_C_TRUNCATED), truncated + 2);
    close_entries();
}

/* an entry that reaches its targets doesn't pass on */
static void
test_entries_that_reach_their_targets(void)
{
    other.stream = false;
    open_entries(MG_RETRY_BEFORE_RESPONSE, true, true);
    use_other();
    CU_ASSERT_EQUAL(serve_requests("/"), REQUESTS);
    CU_ASSERT_FALSE(mg_gateway_is_cut(world.gateway));
    close_entries();
}

/* an entry that drains takes nothing from others, and tells nobody to send */
static void
test_draining_entries_take_nothing(void)
{
    other.stream = false;
    open_entries(MG_RETRY_BEFORE_RESPONSE, false, true);
    use_other();
    mg_gateway_drain(other.gateway);
    unsigned before = world.executed;
    use_other();
    CU_ASSERT_EQUAL(world.answer.status, 503);
    world_pass(20);
    CU_ASSERT_EQUAL(world_get("/"), 503);
    CU_ASSERT_EQUAL(world.executed, before);
    close_entries();
}

/* An entry that refuses what was passed on states that it has not run there;
   here it may have run before. */
static void
test_refusals_after_a_run(void)
{
    unsigned unknown = 0;
    other.stream = false;
    open_entries(MG_RETRY_BEFORE_RESPONSE, true, true);
    use_other();
    for (int i = 0; i < WORLD_TARGETS; i++) {
        char id[8];
        snprintf(id, sizeof(id), "t-%d", i);
        mg_registry_find(other.registry, id)->info.state = MG_INSTANCE_ENDED;
        if (i > 0) {
            mg_instance *dead = mg_registry_find(world.registry, id);
            snprintf(dead->info.addr, sizeof(dead->info.addr), "%s:%d",
                     other_node, WORLD_PORT + 20 + i);
        }
    }
    for (int i = 0; i < REQUESTS / 4; i++) {
        unsigned before = world.executed;
        int status = world_get("/break");
        CU_ASSERT_TRUE(status == 503 || world.executed > before);
        CU_ASSERT_TRUE(status == 502 || world.executed == before);
        unknown += status == 502;
    }
    CU_ASSERT_TRUE(unknown > 0);
    close_entries();
}

/* Targets fail what they run, wherever it is sent from: the attempts of all
   entries together are those of the route. */
static void
test_attempts_of_all_entries(void)
{
    other.stream = false;
    open_entries(MG_RETRY_BEFORE_RESPONSE, true, true);
    use_other();
    for (int i = 1; i < WORLD_TARGETS; i++) {
        char id[8];
        snprintf(id, sizeof(id), "t-%d", i);
        mg_instance *dead = mg_registry_find(world.registry, id);
        snprintf(dead->info.addr, sizeof(dead->info.addr), "%s:%d", other_node,
                 WORLD_PORT + 20 + i);
    }
    for (int i = 0; i < REQUESTS / 4; i++) {
        unsigned before = world.executed;
        CU_ASSERT_NOT_EQUAL(world_get("/break"), 200);
        CU_ASSERT_TRUE(world.executed - before <= 2);
    }
    close_entries();
}

/* Whether a request is suspected after it was under way while the entry lost
   all its targets, which refuse connections since; the other entry has one of
   its own, and reaches it if others_reach. */
static bool
is_suspected_after_loss(bool others_reach)
{
    other.stream = false;
    open_entries(MG_RETRY_NEVER, true, true);
    world_crash(2);
    mg_registry_find(other.registry, "t-0")->info.state = MG_INSTANCE_ENDED;
    mg_registry_find(other.registry, "t-1")->info.state = MG_INSTANCE_ENDED;
    mg_registry_find(world.registry, "t-2")->info.state = MG_INSTANCE_ENDED;
    if (others_reach) {
        world_listen(2);
    }
    world_get("/");
    world_send("/hold");
    world_pass(20);
    world_crash(0);
    world_crash(1);
    for (int i = 0; i < 30; i++) {
        use_other();
        world_pass(40);
    }
    world_run();
    bool suspected = !mg_strikes_is_empty(world.gateway->strikes);
    close_entries();
    return suspected;
}

/* connections break since the entry is cut off, not by what it has sent */
static void
test_cut_off_entries_suspect_nobody(void)
{
    CU_ASSERT_FALSE(is_suspected_after_loss(true));
}

static void
test_crashes_of_all_targets_count(void)
{
    CU_ASSERT_TRUE(is_suspected_after_loss(false));
}

/* ------------------------------------------------------------ decisions */

#define STEPS 400

struct step {
    int kind; /* 0: nothing, 1: success, 2: failure, 3: report */
    int64_t at_ms;
    int64_t age_ms;
};

/* time of the last step of a kind before s[count], less its age; 0: none */
static int64_t
last_of(const struct step *s, int count, int kind)
{
    int64_t last = 0;
    for (int i = 0; i < count; i++) {
        if (s[i].kind == kind && s[i].at_ms - s[i].age_ms > last) {
            last = s[i].at_ms - s[i].age_ms;
        }
    }
    return last;
}

/* Cut off: nothing but failures since the last success, enough of them, and
   another entry has had a success clearly later, which is recent. */
static bool
is_cut(const struct step *s, int count, int64_t now)
{
    int64_t ok = last_of(s, count, 1);
    int64_t others = last_of(s, count, 3);
    unsigned failures = 0;
    for (int i = 0; i < count; i++) {
        failures = s[i].kind == 1 ? 0 : failures + (s[i].kind == 2);
    }
    return failures >= 3 && now > ok + 400 && others > ok + 301 &&
           now < others + 2000;
}

static const char *
reach_history(uint64_t seed)
{
    struct step s[STEPS];
    mg_reach r = {0};
    mg_rng rng;
    int64_t now = 1000;
    mg_rng_init(&rng, seed);
    uint32_t spread = 2 + mg_rng_below(&rng, 300);
    bool cut = false;
    for (int i = 0; i < STEPS; i++) {
        now += mg_rng_below(&rng, spread);
        cut = mg_rng_below(&rng, 40) == 0 ? !cut : cut;
        uint32_t draw = mg_rng_below(&rng, 4);
        s[i] = (struct step){.at_ms = now};
        if (draw == 1) {
            s[i].kind = cut ? 2 : 1;
        }
        else if (draw >= 2) {
            s[i].kind = (int)draw;
            s[i].age_ms = draw == 3 ? mg_rng_below(&rng, 500) : 0;
        }
        if (s[i].kind == 1) {
            mg_reach_ok(&r, now);
        }
        else if (s[i].kind == 2) {
            mg_reach_failed(&r);
        }
        else if (s[i].kind == 3) {
            mg_reach_reported(&r, s[i].age_ms, now);
        }
        if (mg_reach_is_cut(&r, now) != is_cut(s, i + 1, now)) {
            return "cut off or not: differs";
        }
    }
    return NULL;
}

static void
test_decisions(void)
{
    run_histories(reach_history, 1000);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"requests go through another entry",
         test_requests_go_through_another_entry},
        {"streams go through another entry",
         test_streams_go_through_another_entry},
        {"malformed answers through another entry", test_malformed_answers},
        {"responses of entries without end, not read",
         test_unread_floods_of_entries},
        {"requests that are passed on run once", test_at_most_once},
        {"streams that are passed on run once", test_streams_at_most_once},
        {"no loops between entries", test_no_loops},
        {"streams without chunks through another entry",
         test_unframed_streams_through_another_entry},
        {"entries that reach their targets",
         test_entries_that_reach_their_targets},
        {"refusals of a request that may have run", test_refusals_after_a_run},
        {"attempts of all entries", test_attempts_of_all_entries},
        {"draining entries take nothing", test_draining_entries_take_nothing},
        {"entries that are cut off suspect nobody",
         test_cut_off_entries_suspect_nobody},
        {"crashes of all targets count", test_crashes_of_all_targets_count},
        {"when an entry is cut off", test_decisions},
        CU_TEST_INFO_NULL,
    };
    return run_suite("reach", tests);
}
