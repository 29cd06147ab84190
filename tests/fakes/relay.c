/*
 * fake-relay - TCP relay that can blackhole connections
 *
 *     fake-relay LISTEN FORWARD [LISTEN FORWARD ...]
 *
 * A blackholed connection stays open, but the relay discards what it
 * receives, as a firewall does that has lost the connection's state.
 *
 * SIGUSR1: blackholes all open connections permanently; new ones work.
 * SIGUSR2: starts an outage or ends it. Connections that are open at its
 *          start or opened during it are blackholed permanently.
 */
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "base/addr.h"
#include "base/list.h"
#include "base/outcome.h"

#define BACKLOG 128

struct route {
    uv_tcp_t listener;
    struct sockaddr_in forward_addr;
};

struct pair;

/* one of the two connections of a pair */
struct side {
    uv_tcp_t tcp;
    struct pair *pair;
    struct side *peer;
};

struct pair {
    struct list_head link;
    struct side accepted;
    struct side forward; /* connected to forward_addr */
    bool blackholed;     /* once true, stays true */
    bool closing;
    int open_handles;
};

struct write_req {
    uv_write_t req;
    char *data;
};

static struct list_head pairs;
static bool outage; /* toggled by SIGUSR2 */

static void
on_closed(uv_handle_t *h)
{
    struct pair *p = ((struct side *)h->data)->pair;
    if (--p->open_handles == 0) {
        list_del(&p->link);
        free(p);
    }
}

static void
close_pair(struct pair *p)
{
    if (!p->closing) {
        p->closing = true;
        uv_close((uv_handle_t *)&p->accepted.tcp, on_closed);
        uv_close((uv_handle_t *)&p->forward.tcp, on_closed);
    }
}

static void
on_alloc(uv_handle_t *h, size_t n, uv_buf_t *buf)
{
    static char scratch[65536];
    (void)h;
    (void)n;
    *buf = uv_buf_init(scratch, sizeof(scratch));
}

static void
on_written(uv_write_t *req, int status)
{
    struct write_req *w = (struct write_req *)req;
    (void)status;
    free(w->data);
    free(w);
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    struct side *from = s->data;
    struct pair *p = from->pair;
    if (p->closing || n == 0) {
        return;
    }
    if (p->blackholed || outage) {
        p->blackholed = true;
        if (n < 0) {
            uv_read_stop(s);
        }
        return;
    }
    if (n < 0) {
        close_pair(p);
        return;
    }
    struct write_req *w = mg_alloc(sizeof(*w));
    w->data = mg_alloc((size_t)n);
    memcpy(w->data, buf->base, (size_t)n);
    uv_buf_t out = uv_buf_init(w->data, (unsigned)n);
    uv_write(&w->req, (uv_stream_t *)&from->peer->tcp, &out, 1, on_written);
}

static void
on_connected(uv_connect_t *req, int status)
{
    struct pair *p = req->data;
    free(req);
    if (p->closing) {
        return;
    }
    if (status < 0) {
        close_pair(p);
        return;
    }
    uv_read_start((uv_stream_t *)&p->accepted.tcp, on_alloc, on_read);
    uv_read_start((uv_stream_t *)&p->forward.tcp, on_alloc, on_read);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    struct route *r = listener->data;
    if (status < 0) {
        return;
    }
    struct pair *p = mg_alloc(sizeof(*p));
    p->accepted.pair = p;
    p->forward.pair = p;
    p->accepted.peer = &p->forward;
    p->forward.peer = &p->accepted;
    p->blackholed = outage;
    p->open_handles = 2;
    uv_tcp_init(listener->loop, &p->accepted.tcp);
    uv_tcp_init(listener->loop, &p->forward.tcp);
    p->accepted.tcp.data = &p->accepted;
    p->forward.tcp.data = &p->forward;
    list_add_tail(&p->link, &pairs);
    if (uv_accept(listener, (uv_stream_t *)&p->accepted.tcp) != 0) {
        close_pair(p);
        return;
    }
    uv_tcp_nodelay(&p->accepted.tcp, 1);
    uv_tcp_nodelay(&p->forward.tcp, 1);
    uv_connect_t *req = mg_alloc(sizeof(*req));
    req->data = p;
    if (uv_tcp_connect(req, &p->forward.tcp,
                       (struct sockaddr *)&r->forward_addr,
                       on_connected) != 0) {
        free(req);
        close_pair(p);
    }
}

static void
on_signal(uv_signal_t *h, int signum)
{
    (void)h;
    if (signum == SIGUSR2) {
        outage = !outage;
    }
    list_for_each(el, &pairs)
    {
        list_entry(el, struct pair, link)->blackholed = true;
    }
}

static int
open_route(uv_loop_t *loop, const char *from, const char *to)
{
    struct route *r = mg_alloc(sizeof(*r));
    struct sockaddr_in sin;
    if (mg_addr_parse(from, &sin) != MG_OK ||
        mg_addr_parse(to, &r->forward_addr) != MG_OK) {
        free(r);
        return -1;
    }
    uv_tcp_init(loop, &r->listener);
    r->listener.data = r;
    if (uv_tcp_bind(&r->listener, (struct sockaddr *)&sin, 0) != 0) {
        return -1;
    }
    return uv_listen((uv_stream_t *)&r->listener, BACKLOG, on_connection);
}

int
main(int argc, char **argv)
{
    uv_loop_t *loop = uv_default_loop();
    uv_signal_t signals[2];
    static const int signums[] = {SIGUSR1, SIGUSR2};
    signal(SIGPIPE, SIG_IGN);
    init_list_head(&pairs);
    if (argc < 3 || argc % 2 == 0) {
        fprintf(stderr, "usage: fake-relay LISTEN FORWARD ...\n");
        return 2;
    }
    for (int i = 1; i + 1 < argc; i += 2) {
        if (open_route(loop, argv[i], argv[i + 1]) != 0) {
            fprintf(stderr, "fake-relay: can't relay %s\n", argv[i]);
            return 1;
        }
    }
    for (size_t i = 0; i < 2; i++) {
        uv_signal_init(loop, &signals[i]);
        uv_signal_start(&signals[i], on_signal, signums[i]);
    }
    uv_run(loop, UV_RUN_DEFAULT);
    return 0;
}
