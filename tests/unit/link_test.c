/* links in two threads of one process, as a node and its group use them */
#include "suite.h"

#include <pthread.h>

#include "wire/link.h"

#define MESSAGES 400
#define PAYLOAD 60000
#define RUN_MS 20000

struct pair {
    uv_loop_t loop;
    uv_timer_t timer;
    mg_net *from;
    mg_net *to;
    char fill;
    int port;
    unsigned sent;
    unsigned right;
    unsigned wrong;
    int64_t until;
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
    bool same = v.n == PAYLOAD;
    for (size_t i = 0; same && i < v.n; i++) {
        same = v.p[i] == p->fill;
    }
    p->right += same;
    p->wrong += !same;
}

static void
on_tick(uv_timer_t *t)
{
    static const unsigned burst = 8;
    struct pair *p = t->data;
    char value[PAYLOAD];
    memset(value, p->fill, sizeof(value));
    mg_msg m = {.type = MG_MSG_RECORD};
    m.u.record.value = (mg_str){value, sizeof(value)};
    for (unsigned i = 0; i < burst && p->sent < MESSAGES; i++) {
        p->sent += mg_net_send(p->from, "to", &m) == MG_OK;
    }
    if (p->right + p->wrong >= MESSAGES ||
        mg_now(mg_system_clock()) > p->until) {
        uv_close((uv_handle_t *)t, NULL);
        mg_net_close(p->from);
        mg_net_close(p->to);
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
    p->from = open_net(p, "from", p->port);
    p->to = open_net(p, "to", p->port + 1);
    if (p->from == NULL || p->to == NULL) {
        return NULL;
    }
    snprintf(addr, sizeof(addr), "127.0.0.1:%d", p->port + 1);
    mg_net_dial(p->from, "to", addr);
    p->until = mg_now(mg_system_clock()) + RUN_MS;
    uv_timer_init(&p->loop, &p->timer);
    p->timer.data = p;
    uv_timer_start(&p->timer, on_tick, 1, 1);
    uv_run(&p->loop, UV_RUN_DEFAULT);
    uv_loop_close(&p->loop);
    return NULL;
}

static void
test_two_threads(void)
{
    static struct pair pairs[2] = {{.fill = 'a', .port = 24710},
                                   {.fill = 'b', .port = 24720}};
    pthread_t threads[2];
    for (int i = 0; i < 2; i++) {
        pthread_create(&threads[i], NULL, run_pair, &pairs[i]);
    }
    for (int i = 0; i < 2; i++) {
        pthread_join(threads[i], NULL);
        CU_ASSERT_EQUAL(pairs[i].right, MESSAGES);
        CU_ASSERT_EQUAL(pairs[i].wrong, 0);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"two threads read at once", test_two_threads},
        CU_TEST_INFO_NULL,
    };
    return run_suite("link", tests);
}
