/*
 * Two event loops in threads of one process, as in a node with its control
 * group. Guards against a read buffer shared by the threads, which would mix
 * up their messages.
 *
 * Peers that keep their links alive but do not read: guards against unsent
 * bytes that are bounded for each link but not for the process.
 */
#include "suite.h"

#include <pthread.h>
#include <signal.h>

#include "base/addr.h"
#include "base/check.h"
#include "wire/link.h"

#define MESSAGES 400
#define PAYLOAD_SIZE 60000
#define TIMEOUT_MS 20000

struct pair {
    uv_loop_t loop;
    uv_timer_t timer;
    mg_net *sender;
    mg_net *receiver;
    char fill;
    int port;
    unsigned sent;
    unsigned intact;
    unsigned corrupted;
    int64_t deadline_ms;
};

static void
on_message(void *user, const char *peer, const mg_msg *m)
{
    struct pair *p = user;
    (void)peer;
    if (m->type != MG_MSG_RECORD) {
        return;
    }
    mg_str v = m->u.record.value;
    bool is_intact = v.n == PAYLOAD_SIZE;
    for (size_t i = 0; is_intact && i < v.n; i++) {
        is_intact = v.p[i] == p->fill;
    }
    p->intact += is_intact;
    p->corrupted += !is_intact;
}

static void
on_tick(uv_timer_t *t)
{
    static const unsigned burst = 8;
    struct pair *p = t->data;
    char value[PAYLOAD_SIZE];
    memset(value, p->fill, sizeof(value));
    mg_msg m = {.type = MG_MSG_RECORD};
    m.u.record.value = (mg_str){value, sizeof(value)};
    for (unsigned i = 0; i < burst && p->sent < MESSAGES; i++) {
        p->sent += mg_net_send(p->sender, "to", &m) == MG_OK;
    }
    if (p->intact + p->corrupted >= MESSAGES ||
        mg_now(mg_system_clock()) > p->deadline_ms) {
        uv_close((uv_handle_t *)t, NULL);
        mg_net_close(p->sender);
        mg_net_close(p->receiver);
    }
}

static mg_net *
open_net(struct pair *p, const char *name, int port)
{
    char addr[32];
    mg_error err;
    mg_net *net = NULL;
    snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
    mg_net_open(&net,
                &(mg_net_options){
                    .loop = &p->loop,
                    .clock = mg_system_clock(),
                    .node = name,
                    .key = "k",
                    .listen_addr = addr,
                    .on_message = on_message,
                    .user = p,
                },
                &err);
    return net;
}

static void *
run_pair(void *arg)
{
    struct pair *p = arg;
    char addr[32];
    uv_loop_init(&p->loop);
    p->sender = open_net(p, "from", p->port);
    p->receiver = open_net(p, "to", p->port + 1);
    if (p->sender == NULL || p->receiver == NULL) {
        return NULL;
    }
    snprintf(addr, sizeof(addr), "127.0.0.1:%d", p->port + 1);
    mg_net_dial(p->sender, "to", addr);
    p->deadline_ms = mg_now(mg_system_clock()) + TIMEOUT_MS;
    uv_timer_init(&p->loop, &p->timer);
    p->timer.data = p;
    uv_timer_start(&p->timer, on_tick, 1, 1);
    uv_run(&p->loop, UV_RUN_DEFAULT);
    uv_loop_close(&p->loop);
    return NULL;
}

static void
test_event_loops_in_two_threads(void)
{
    static struct pair pairs[2] = {{.fill = 'a', .port = 24710},
                                   {.fill = 'b', .port = 24720}};
    pthread_t threads[2];
    for (int i = 0; i < 2; i++) {
        pthread_create(&threads[i], NULL, run_pair, &pairs[i]);
    }
    for (int i = 0; i < 2; i++) {
        pthread_join(threads[i], NULL);
        CU_ASSERT_EQUAL(pairs[i].intact, MESSAGES);
        CU_ASSERT_EQUAL(pairs[i].corrupted, 0);
    }
}

/* ------------------------------------------------- peers that do not read */

#define SILENT_PEERS 4
#define SILENT_PORT 24730
#define SENT_TO_EACH (40u << 20)
#define PING_MS 200

struct silent_peer {
    uv_tcp_t listener;
    uv_tcp_t conn;
    uv_timer_t timer;
    char name[MG_NAME_SIZE];
    mg_buf frame;
    bool accepted;
};

struct flood {
    uv_loop_t loop;
    uv_timer_t timer;
    mg_net *net;
    struct silent_peer peers[SILENT_PEERS];
    int peer_count;
    size_t sent[SILENT_PEERS];
    size_t most_unsent;
    int64_t deadline_ms;
};

static void
on_frame_written(uv_write_t *req, int status)
{
    (void)status;
    free(req);
}

static void
write_message(struct silent_peer *p, const mg_msg *m)
{
    uv_write_t *req = mg_alloc(sizeof(*req));
    p->frame.n = 0;
    mg_frame_encode(m, &p->frame);
    uv_buf_t b = uv_buf_init(p->frame.p, (unsigned)p->frame.n);
    uv_write(req, (uv_stream_t *)&p->conn, &b, 1, on_frame_written);
}

static void
on_ping_time(uv_timer_t *t)
{
    mg_msg m = {.type = MG_MSG_PING};
    write_message(t->data, &m);
}

static void
on_silent_accept(uv_stream_t *listener, int status)
{
    struct silent_peer *p = listener->data;
    mg_msg m = {.type = MG_MSG_HELLO};
    if (status < 0 || p->accepted) {
        return;
    }
    p->accepted = true;
    uv_tcp_init(listener->loop, &p->conn);
    uv_accept(listener, (uv_stream_t *)&p->conn);
    m.u.hello.node = mg_str_of(p->name);
    m.u.hello.key = mg_str_of("k");
    m.u.hello.protocol = MG_LINK_PROTOCOL;
    write_message(p, &m);
    uv_timer_start(&p->timer, on_ping_time, PING_MS, PING_MS);
}

static void
open_silent_peer(struct flood *f, int i)
{
    struct silent_peer *p = &f->peers[i];
    char addr[32];
    struct sockaddr_in sin;
    snprintf(p->name, sizeof(p->name), "silent-%d", i);
    snprintf(addr, sizeof(addr), "127.0.0.1:%d", SILENT_PORT + 1 + i);
    mg_addr_parse(addr, &sin);
    uv_tcp_init(&f->loop, &p->listener);
    uv_timer_init(&f->loop, &p->timer);
    p->listener.data = p;
    p->timer.data = p;
    uv_tcp_bind(&p->listener, (struct sockaddr *)&sin, 0);
    uv_listen((uv_stream_t *)&p->listener, 8, on_silent_accept);
    mg_net_dial(f->net, p->name, addr);
}

static void
close_handle(uv_handle_t *h, void *arg)
{
    (void)arg;
    if (!uv_is_closing(h)) {
        uv_close(h, NULL);
    }
}

static void
close_peers(struct flood *f)
{
    for (int i = 0; i < f->peer_count; i++) {
        struct silent_peer *p = &f->peers[i];
        close_handle((uv_handle_t *)&p->listener, NULL);
        close_handle((uv_handle_t *)&p->timer, NULL);
        if (p->accepted) {
            close_handle((uv_handle_t *)&p->conn, NULL);
        }
        mg_buf_free(&p->frame);
    }
}

static void
on_flood_tick(uv_timer_t *t)
{
    struct flood *f = t->data;
    static char value[PAYLOAD_SIZE];
    mg_msg m = {.type = MG_MSG_RECORD};
    m.u.record.value = (mg_str){value, sizeof(value)};
    bool done = true;
    for (int i = 0; i < SILENT_PEERS; i++) {
        for (int k = 0; k < 8 && f->sent[i] < SENT_TO_EACH; k++) {
            mg_rc rc = mg_net_send(f->net, f->peers[i].name, &m);
            if (rc == MG_OK || f->sent[i] > 0) {
                f->sent[i] += PAYLOAD_SIZE; /* or lost with its link */
            }
        }
        done = done && f->sent[i] >= SENT_TO_EACH;
    }
    size_t unsent = mg_net_unsent_total(f->net);
    f->most_unsent = unsent > f->most_unsent ? unsent : f->most_unsent;
    if (done || mg_now(mg_system_clock()) > f->deadline_ms) {
        close_handle((uv_handle_t *)t, NULL);
        mg_net_close(f->net);
        close_peers(f);
    }
}

/* Runs a sender with peers that do not read until on_tick ends it. */
static void
run_flood(struct flood *f, int peers, uv_timer_cb on_tick)
{
    mg_error err;
    signal(SIGPIPE, SIG_IGN); /* a link of a silent peer may be closed */
    uv_loop_init(&f->loop);
    mg_net_open(&f->net,
                &(mg_net_options){
                    .loop = &f->loop,
                    .clock = mg_system_clock(),
                    .node = "from",
                    .key = "k",
                    .listen_addr = "127.0.0.1:24730",
                    .on_message = on_message,
                },
                &err);
    f->peer_count = peers;
    for (int i = 0; i < peers; i++) {
        open_silent_peer(f, i);
    }
    f->deadline_ms = mg_now(mg_system_clock()) + TIMEOUT_MS / 2;
    uv_timer_init(&f->loop, &f->timer);
    f->timer.data = f;
    uv_timer_start(&f->timer, on_tick, 1, 1);
    uv_run(&f->loop, UV_RUN_DEFAULT);
    uv_loop_close(&f->loop);
}

/* CONFIG, DRAIN: a hub's process exceeded its memory limit with bytes for many
   links, each of which kept to its own limit */
static void
test_unsent_bytes_of_the_process(void)
{
    static struct flood f;
    run_flood(&f, SILENT_PEERS, on_flood_tick);
    printf("\n  %d peers that do not read: at most %zu KB unsent\n",
           SILENT_PEERS, f.most_unsent >> 10);
    CU_ASSERT_TRUE(f.most_unsent > 0);
    CU_ASSERT_TRUE(f.most_unsent <= MG_LINK_UNSENT_MAX + PAYLOAD_SIZE);
}

#define LARGE_BYTES (MG_LINK_UNSENT_MAX + (1u << 20))
#define LARGE_TEST_MS 1500

static void
on_large_tick(uv_timer_t *t)
{
    struct flood *f = t->data;
    mg_msg small = {.type = MG_MSG_PING};
    const char *peer = f->peers[0].name;
    if (!mg_net_is_up(f->net, peer) && f->sent[0] == 0) {
        return;
    }
    if (f->sent[0] == 0) {
        char *value = mg_alloc(LARGE_BYTES);
        mg_msg m = {.type = MG_MSG_RECORD};
        m.u.record.value = (mg_str){value, LARGE_BYTES};
        f->sent[0] += mg_net_send(f->net, peer, &m) == MG_OK;
        f->deadline_ms = mg_now(mg_system_clock()) + LARGE_TEST_MS;
        free(value);
    }
    mg_net_send(f->net, peer, &small);
    f->most_unsent = mg_net_unsent(f->net, peer);
    if (mg_now(mg_system_clock()) > f->deadline_ms) {
        close_handle((uv_handle_t *)t, NULL);
        mg_net_close(f->net);
        close_peers(f);
    }
}

/* a document larger than the limit is sent though heartbeats wait behind it */
static void
test_message_larger_than_the_limit(void)
{
    static struct flood f;
    run_flood(&f, 1, on_large_tick);
    CU_ASSERT_EQUAL(f.sent[0], 1);
    CU_ASSERT_TRUE(f.most_unsent > MG_LINK_UNSENT_MAX / 2);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"event loops in two threads", test_event_loops_in_two_threads},
        {"a message larger than the limit",
         test_message_larger_than_the_limit},
        {"unsent bytes of the process", test_unsent_bytes_of_the_process},
        CU_TEST_INFO_NULL,
    };
    return run_suite("link", tests);
}
