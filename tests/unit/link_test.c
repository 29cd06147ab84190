/*
 * Two event loops in threads of one process, as in a node with its control
 * group. Guards against a read buffer shared by the threads, which would mix
 * up their messages.
 */
#include "suite.h"

#include <pthread.h>

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

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"event loops in two threads", test_event_loops_in_two_threads},
        CU_TEST_INFO_NULL,
    };
    return run_suite("link", tests);
}
