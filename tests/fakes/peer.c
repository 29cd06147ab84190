/*
 * fake-peer - nodes that keep their links to a node but do not read
 *
 *     fake-peer ADDR KEY COUNT
 *
 * Opens COUNT links to the replicated log of a node at ADDR (IP:PORT) and
 * completes the handshake. On each it pings, asks for all records again and
 * again as a node does that gets no reply, and reads nothing.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "base/addr.h"
#include "base/check.h"
#include "wire/link.h"

#define PING_INTERVAL_MS 200
#define PULL_INTERVAL_MS 200
#define PULL_WAIT_MS 400
#define REDIAL_MS 500
#define PEERS_MAX 256

struct peer {
    uv_tcp_t tcp;
    uv_timer_t timer;
    char name[MG_NAME_SIZE];
    uint64_t seq;
    int64_t next_pull_ms;
    bool open;
};

static struct sockaddr_in addr;
static const char *key;

static void
connect_peer(struct peer *p);

static void
on_closed(uv_handle_t *h)
{
    ((struct peer *)h->data)->open = false;
}

static void
close_peer(struct peer *p)
{
    if (!uv_is_closing((uv_handle_t *)&p->tcp)) {
        uv_close((uv_handle_t *)&p->tcp, on_closed);
    }
}

static void
on_written(uv_write_t *req, int status)
{
    struct peer *p = req->data;
    free(req);
    if (status < 0) {
        close_peer(p);
    }
}

static void
send_message(struct peer *p, const mg_msg *m)
{
    mg_buf frame = {0};
    mg_frame_encode(m, &frame);
    uv_write_t *req = mg_alloc(sizeof(*req) + frame.n);
    memcpy(req + 1, frame.p, frame.n);
    req->data = p;
    uv_buf_t b = uv_buf_init((char *)(req + 1), (unsigned)frame.n);
    if (uv_write(req, (uv_stream_t *)&p->tcp, &b, 1, on_written) != 0) {
        free(req);
        close_peer(p);
    }
    mg_buf_free(&frame);
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct peer *p = req->data;
    free(req);
    if (status < 0) {
        close_peer(p);
        return;
    }
    mg_msg m = {.type = MG_MSG_HELLO};
    m.u.hello.node = mg_str_of(p->name);
    m.u.hello.key = mg_str_of(key);
    m.u.hello.protocol = MG_LINK_PROTOCOL;
    send_message(p, &m);
}

static void
connect_peer(struct peer *p)
{
    uv_connect_t *req = mg_alloc(sizeof(*req));
    req->data = p;
    p->open = true;
    p->tcp.data = p;
    uv_tcp_init(p->timer.loop, &p->tcp);
    if (uv_tcp_connect(req, &p->tcp, (struct sockaddr *)&addr, on_connected)) {
        free(req);
        close_peer(p);
    }
}

static void
on_tick(uv_timer_t *t)
{
    struct peer *p = t->data;
    int64_t now = mg_now(mg_system_clock());
    mg_msg m = {.type = MG_MSG_PING};
    if (!p->open) {
        connect_peer(p);
        return;
    }
    if (!uv_is_writable((uv_stream_t *)&p->tcp)) {
        return;
    }
    send_message(p, &m);
    if (now >= p->next_pull_ms) {
        p->next_pull_ms = now + PULL_INTERVAL_MS;
        m.type = MG_MSG_PULL;
        m.u.pull.seq = ++p->seq;
        m.u.pull.rev = 0;
        m.u.pull.wait_ms = PULL_WAIT_MS;
        send_message(p, &m);
    }
}

int
main(int argc, char **argv)
{
    static struct peer peers[PEERS_MAX];
    int count = argc == 4 ? atoi(argv[3]) : 0;
    if (count < 1 || count > PEERS_MAX ||
        mg_addr_parse(argv[1], &addr) != MG_OK) {
        fprintf(stderr, "usage: fake-peer ADDR KEY COUNT\n");
        return 2;
    }
    key = argv[2];
    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < count; i++) {
        struct peer *p = &peers[i];
        snprintf(p->name, sizeof(p->name), "10.99.0.%d", i);
        uv_timer_init(uv_default_loop(), &p->timer);
        p->timer.data = p;
        uv_timer_start(&p->timer, on_tick, REDIAL_MS, PING_INTERVAL_MS);
        connect_peer(p);
    }
    return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
