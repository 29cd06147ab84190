#include "wire/link.h"

#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/check.h"
#include "base/counter.h"
#include "base/event.h"
#include "base/list.h"
#include "wire/scratch.h"

#define TICK_INTERVAL_MS 100
#define BACKLOG 128
#define UNSENT_LOG_INTERVAL_MS 1000
/* what may wait behind a large message without its connection being closed */
#define SMALL_MESSAGES_BYTES (64u << 10)

typedef struct conn conn;

/* a peer to which an outgoing connection is maintained */
typedef struct dial {
    struct list_head link; /* mg_net.dials */
    char peer[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE];
    conn *conn; /* NULL between attempts */
    int64_t next_attempt_ms;
} dial;

struct conn {
    struct list_head link; /* mg_net.conns */
    uv_tcp_t tcp;
    mg_net *net;
    dial *dial; /* NULL for an incoming connection */
    char peer[MG_NAME_SIZE];
    bool connected;
    bool handshake_done;
    bool closing;
    int64_t opened_ms;
    int64_t received_ms; /* last read */
    int64_t sent_ms;     /* last write */
    size_t unsent;       /* bytes in out and in writes that have not ended */
    size_t largest;      /* bytes of the largest message among them */
    mg_buf in;
    mg_buf out;
};

struct mg_net {
    mg_net_options opts;
    char *node;
    char *key;
    uv_tcp_t listener;
    uv_timer_t timer;
    uv_prepare_t prepare;
    struct list_head conns;
    struct list_head dials;
    int incoming_count;
    size_t unsent;         /* bytes of all connections */
    size_t unsent_counted; /* as added to the gauge of the process */
    int64_t unsent_logged_ms;
    int open_handles;
    bool closing;
};

typedef struct write_req {
    uv_write_t req;
    mg_buf buf;
    conn *conn;
} write_req;

typedef struct connect_req {
    uv_connect_t req;
    conn *conn;
} connect_req;

static void
free_net_if_done(mg_net *net)
{
    if (net->closing && net->open_handles == 0) {
        free(net->node);
        free(net->key);
        free(net);
    }
}

static void
on_conn_closed(uv_handle_t *h)
{
    conn *c = h->data;
    mg_net *net = c->net;
    list_del(&c->link);
    mg_buf_free(&c->in);
    mg_buf_free(&c->out);
    free(c);
    net->open_handles--;
    free_net_if_done(net);
}

static void
close_conn(conn *c, const char *why)
{
    if (c->closing) {
        return;
    }
    c->closing = true;
    c->net->unsent -= c->unsent;
    c->unsent = 0;
    if (c->handshake_done) {
        mg_log(MG_EV_LINK_DOWN, "peer=%s dir=%s why=%s", c->peer,
               c->dial ? "out" : "in", why);
        mg_count(MG_C_LINKS_LOST, 1);
    }
    if (c->dial != NULL) {
        c->dial->conn = NULL;
        c->dial->next_attempt_ms =
            mg_now(c->net->opts.clock) + MG_LINK_REDIAL_DELAY_MS;
        c->dial = NULL;
    }
    else {
        c->net->incoming_count--;
    }
    uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

static conn *
new_conn(mg_net *net)
{
    conn *c = mg_alloc(sizeof(*c));
    c->net = net;
    c->opened_ms = mg_now(net->opts.clock);
    c->received_ms = c->opened_ms;
    uv_tcp_init(net->opts.loop, &c->tcp);
    c->tcp.data = c;
    net->open_handles++;
    list_add_tail(&c->link, &net->conns);
    return c;
}

static mg_counter
counter_of(mg_msg_type type)
{
    switch (type) {
    case MG_MSG_REPORT:
    case MG_MSG_REPORTS:
        return MG_C_LINK_REPORT_BYTES;
    case MG_MSG_NODE:
    case MG_MSG_NODES:
    case MG_MSG_INSTANCE:
    case MG_MSG_INSTANCES:
        return MG_C_LINK_MEMBER_BYTES;
    case MG_MSG_PULL_REP:
    case MG_MSG_PROPOSE:
        return MG_C_LINK_RECORD_BYTES;
    case MG_MSG_APPEND:
    case MG_MSG_SNAPSHOT:
        return MG_C_LINK_LOG_BYTES;
    default:
        return MG_C_LINK_OTHER_BYTES;
    }
}

static size_t
unsent_max(const mg_net *net)
{
    return net->opts.unsent_max ? net->opts.unsent_max : MG_LINK_UNSENT_MAX;
}

/* Closes the connection for which most bytes wait. One message and a few small
   ones are exempt, or a message larger than the limit could never be sent. */
static void
close_largest(mg_net *net)
{
    conn *largest = NULL;
    list_for_each(el, &net->conns)
    {
        conn *c = list_entry(el, conn, link);
        if (!c->closing && c->unsent > c->largest + SMALL_MESSAGES_BYTES &&
            (largest == NULL || c->unsent > largest->unsent)) {
            largest = c;
        }
    }
    if (largest != NULL) {
        close_conn(largest, "unsent_bytes");
    }
}

static void
queue_message(conn *c, const mg_msg *m)
{
    if (c->closing) {
        return;
    }
    size_t before = c->out.n;
    mg_frame_encode(m, &c->out);
    size_t size = c->out.n - before;
    c->largest = c->unsent > 0 && c->largest > size ? c->largest : size;
    c->unsent += size;
    c->net->unsent += size;
    mg_count(counter_of(m->type), size);
    if (c->net->unsent > unsent_max(c->net)) {
        close_largest(c->net);
    }
}

static void
queue_hello(conn *c)
{
    mg_net *net = c->net;
    mg_msg m = {.type = MG_MSG_HELLO};
    m.u.hello.node = mg_str_of(net->node);
    m.u.hello.key = mg_str_of(net->key);
    m.u.hello.protocol = MG_LINK_PROTOCOL;
    m.u.hello.incarnation = net->opts.incarnation;
    queue_message(c, &m);
}

static void
reject_conn(conn *c, const char *why)
{
    mg_log(MG_EV_LINK_REFUSED, "peer=%s why=%s", c->peer[0] ? c->peer : "?",
           why);
    mg_count(MG_C_BAD_INPUT, 1);
    close_conn(c, why);
}

static void
handle_hello(conn *c, const mg_hello_msg *h)
{
    mg_net *net = c->net;
    if (!mg_str_eq_consttime(h->key, mg_str_of(net->key))) {
        reject_conn(c, "key");
        return;
    }
    if (h->protocol != MG_LINK_PROTOCOL) {
        reject_conn(c, "protocol");
        return;
    }
    if (h->node.n == 0 || h->node.n >= MG_NAME_SIZE) {
        reject_conn(c, "name");
        return;
    }
    if (c->dial != NULL && !mg_str_is(h->node, c->dial->peer)) {
        reject_conn(c, "other_node");
        return;
    }
    mg_str_copy(c->peer, sizeof(c->peer), h->node);
    c->handshake_done = true;
    if (c->dial == NULL) {
        queue_hello(c);
    }
    mg_log(MG_EV_LINK_UP, "peer=%s dir=%s", c->peer, c->dial ? "out" : "in");
    mg_count(MG_C_LINKS_OPENED, 1);
    if (net->opts.on_up != NULL) {
        net->opts.on_up(net->opts.user, c->peer);
    }
}

static void
handle_message(conn *c, const mg_msg *m)
{
    mg_net *net = c->net;
    if (!c->handshake_done) {
        if (m->type == MG_MSG_HELLO) {
            handle_hello(c, &m->u.hello);
        }
        else {
            reject_conn(c, "not_greeted");
        }
        return;
    }
    switch (m->type) {
    case MG_MSG_HELLO:
    case MG_MSG_PING: /* no reply: on_read() has updated received_ms */
        break;
    default:
        net->opts.on_message(net->opts.user, c->peer, m);
    }
}

static void
process_frames(conn *c)
{
    size_t consumed = 0;
    while (!c->closing) {
        mg_msg m;
        size_t used = 0;
        mg_str rest = {c->in.p + consumed, c->in.n - consumed};
        size_t max =
            c->handshake_done ? MG_FRAME_MAX : MG_LINK_HANDSHAKE_FRAME_MAX;
        mg_rc rc = mg_frame_decode(rest, max, &used, &m);
        if (rc == MG_E_IN_PROGRESS) {
            break;
        }
        if (rc != MG_OK && rc != MG_E_NOT_FOUND) {
            reject_conn(c, rc == MG_E_TOO_LARGE ? "frame_size" : "frame");
            return;
        }
        if (rc == MG_OK) {
            handle_message(c, &m);
        }
        consumed += used;
    }
    mg_buf_skip(&c->in, consumed);
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    conn *c = s->data;
    if (c->closing) {
        return;
    }
    if (n < 0) {
        close_conn(c, n == UV_EOF ? "eof" : uv_err_name((int)n));
        return;
    }
    c->received_ms = mg_now(c->net->opts.clock);
    mg_count(MG_C_LINK_BYTES_IN, (uint64_t)n);
    mg_buf_put(&c->in, buf->base, (size_t)n);
    process_frames(c);
}

static void
start_conn(conn *c)
{
    c->connected = true;
    uv_tcp_nodelay(&c->tcp, 1);
    uv_read_start((uv_stream_t *)&c->tcp, mg_scratch_alloc, on_read);
}

static void
on_incoming(uv_stream_t *listener, int status)
{
    mg_net *net = listener->data;
    if (status < 0) {
        return;
    }
    conn *c = new_conn(net);
    net->incoming_count++;
    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
        close_conn(c, "accept");
    }
    else if (net->incoming_count > MG_LINK_MAX_INCOMING) {
        reject_conn(c, "too_many");
    }
    else {
        start_conn(c);
    }
}

static void
on_connected(uv_connect_t *req, int status)
{
    conn *c = ((connect_req *)req)->conn;
    if (!c->closing) {
        if (status < 0) {
            close_conn(c, uv_err_name(status));
        }
        else {
            start_conn(c);
            queue_hello(c);
        }
    }
    free(req);
}

static void
start_dial(mg_net *net, dial *d)
{
    struct sockaddr_in sin;
    if (mg_addr_parse(d->addr, &sin) != MG_OK) {
        return;
    }
    conn *c = new_conn(net);
    c->dial = d;
    d->conn = c;
    mg_str_copy(c->peer, sizeof(c->peer), mg_str_of(d->peer));
    connect_req *req = mg_alloc(sizeof(*req));
    req->conn = c;
    int rc = uv_tcp_connect(&req->req, &c->tcp, (struct sockaddr *)&sin,
                            on_connected);
    if (rc != 0) {
        free(req);
        close_conn(c, uv_err_name(rc));
    }
}

static void
on_written(uv_write_t *req, int status)
{
    write_req *w = (write_req *)req;
    if (!w->conn->closing) {
        w->conn->unsent -= w->buf.n;
        w->conn->net->unsent -= w->buf.n;
    }
    if (status < 0) {
        close_conn(w->conn, uv_err_name(status));
    }
    mg_buf_free(&w->buf);
    free(w);
}

static void
flush_conn(conn *c)
{
    if (!c->connected || c->closing || c->out.n == 0) {
        return;
    }
    write_req *w = mg_alloc(sizeof(*w));
    w->buf = c->out;
    w->conn = c;
    c->out = (mg_buf){0};
    c->sent_ms = mg_now(c->net->opts.clock);
    mg_count(MG_C_LINK_BYTES_OUT, w->buf.n);
    uv_buf_t b = uv_buf_init(w->buf.p, (unsigned)w->buf.n);
    int rc = uv_write(&w->req, (uv_stream_t *)&c->tcp, &b, 1, on_written);
    if (rc != 0) {
        mg_buf_free(&w->buf);
        free(w);
        close_conn(c, uv_err_name(rc));
    }
}

static void
on_prepare(uv_prepare_t *h)
{
    mg_net *net = h->data;
    if (net->opts.before_flush != NULL) {
        net->opts.before_flush(net->opts.user);
    }
    list_for_each_safe(el, el1, &net->conns)
    {
        flush_conn(list_entry(el, conn, link));
    }
}

static void
check_conn_timeouts(conn *c, int64_t now)
{
    if (c->closing) {
        return;
    }
    if (!c->connected && now - c->opened_ms > MG_LINK_CONNECT_TIMEOUT_MS) {
        close_conn(c, "connect_timeout");
    }
    else if (!c->handshake_done &&
             now - c->opened_ms > MG_LINK_HANDSHAKE_TIMEOUT_MS) {
        close_conn(c, "greeting_timeout");
    }
    else if (now - c->received_ms > MG_LINK_READ_TIMEOUT_MS) {
        close_conn(c, "silence");
    }
    else if (c->handshake_done &&
             now - c->sent_ms >= MG_LINK_PING_INTERVAL_MS) {
        mg_msg m = {.type = MG_MSG_PING};
        m.u.ping.seq = 0;
        queue_message(c, &m);
    }
}

/* Logs the total and the peer for which most bytes wait. */
static void
log_unsent(mg_net *net, const conn *largest, int64_t now)
{
    if (net->unsent < unsent_max(net) / 2 || largest == NULL ||
        now - net->unsent_logged_ms < UNSENT_LOG_INTERVAL_MS) {
        return;
    }
    net->unsent_logged_ms = now;
    mg_log(MG_EV_LINK_UNSENT,
           "bytes=%zu limit=%zu largest_peer=%s largest_bytes=%zu",
           net->unsent, unsent_max(net), largest->peer, largest->unsent);
}

static void
measure_unsent(mg_net *net, int64_t now)
{
    const conn *largest = NULL;
    list_for_each(el, &net->conns)
    {
        const conn *c = list_entry(el, conn, link);
        if (largest == NULL || c->unsent > largest->unsent) {
            largest = c;
        }
    }
    mg_gauge_add(MG_G_LINK_UNSENT,
                 (int64_t)net->unsent - (int64_t)net->unsent_counted);
    net->unsent_counted = net->unsent;
    log_unsent(net, largest, now);
}

static void
on_tick(uv_timer_t *t)
{
    mg_net *net = t->data;
    int64_t now = mg_now(net->opts.clock);
    measure_unsent(net, now);
    list_for_each_safe(el, el1, &net->conns)
    {
        check_conn_timeouts(list_entry(el, conn, link), now);
    }
    list_for_each(el2, &net->dials)
    {
        dial *d = list_entry(el2, dial, link);
        if (d->conn == NULL && now >= d->next_attempt_ms) {
            start_dial(net, d);
        }
    }
}

static void
on_handle_closed(uv_handle_t *h)
{
    mg_net *net = h->data;
    net->open_handles--;
    free_net_if_done(net);
}

static void
init_handles(mg_net *net)
{
    uv_tcp_init(net->opts.loop, &net->listener);
    uv_timer_init(net->opts.loop, &net->timer);
    uv_prepare_init(net->opts.loop, &net->prepare);
    net->listener.data = net;
    net->timer.data = net;
    net->prepare.data = net;
    net->open_handles = 3;
}

mg_rc
mg_net_open(mg_net **out, const mg_net_options *opts, mg_error *err)
{
    struct sockaddr_in sin;
    if (mg_addr_parse(opts->listen_addr, &sin) != MG_OK) {
        return mg_fail(err, MG_E_INPUT, "bad address %s", opts->listen_addr);
    }
    mg_net *net = mg_alloc(sizeof(*net));
    net->opts = *opts;
    net->node = mg_strdup(opts->node);
    net->key = mg_strdup(opts->key);
    init_list_head(&net->conns);
    init_list_head(&net->dials);
    init_handles(net);
    int rc = uv_tcp_bind(&net->listener, (struct sockaddr *)&sin, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&net->listener, BACKLOG, on_incoming);
    }
    if (rc != 0) {
        mg_net_close(net);
        return mg_fail(err, MG_E_IO, "can't listen on %s: %s",
                       opts->listen_addr, uv_strerror(rc));
    }
    uv_timer_start(&net->timer, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
    uv_prepare_start(&net->prepare, on_prepare);
    *out = net;
    return MG_OK;
}

void
mg_net_close(mg_net *net)
{
    list_for_each_safe(el, el1, &net->conns)
    {
        close_conn(list_entry(el, conn, link), "stop");
    }
    list_for_each_safe(el2, el3, &net->dials)
    {
        dial *d = list_entry(el2, dial, link);
        list_del(&d->link);
        free(d);
    }
    net->closing = true;
    uv_close((uv_handle_t *)&net->listener, on_handle_closed);
    uv_close((uv_handle_t *)&net->timer, on_handle_closed);
    uv_close((uv_handle_t *)&net->prepare, on_handle_closed);
}

static dial *
find_dial(mg_net *net, const char *peer)
{
    list_for_each(el, &net->dials)
    {
        dial *d = list_entry(el, dial, link);
        if (strcmp(d->peer, peer) == 0) {
            return d;
        }
    }
    return NULL;
}

void
mg_net_dial(mg_net *net, const char *peer, const char *addr)
{
    dial *d = find_dial(net, peer);
    if (d != NULL && strcmp(d->addr, addr) == 0) {
        return;
    }
    if (d == NULL) {
        d = mg_alloc(sizeof(*d));
        mg_str_copy(d->peer, sizeof(d->peer), mg_str_of(peer));
        list_add_tail(&d->link, &net->dials);
    }
    mg_str_copy(d->addr, sizeof(d->addr), mg_str_of(addr));
    if (d->conn != NULL) {
        close_conn(d->conn, "new_address");
    }
    start_dial(net, d);
}

void
mg_net_undial(mg_net *net, const char *peer)
{
    dial *d = find_dial(net, peer);
    if (d == NULL) {
        return;
    }
    if (d->conn != NULL) {
        close_conn(d->conn, "undial");
    }
    list_del(&d->link);
    free(d);
}

static conn *
find_conn(mg_net *net, const char *peer)
{
    conn *best = NULL;
    list_for_each(el, &net->conns)
    {
        conn *c = list_entry(el, conn, link);
        if (!c->handshake_done || c->closing || strcmp(c->peer, peer) != 0) {
            continue;
        }
        if (c->dial != NULL) {
            return c;
        }
        /* the newest incoming connection is the last one in the list */
        best = c;
    }
    return best;
}

bool
mg_net_is_up(mg_net *net, const char *peer)
{
    return find_conn(net, peer) != NULL;
}

mg_rc
mg_net_send(mg_net *net, const char *peer, const mg_msg *m)
{
    conn *c = find_conn(net, peer);
    if (c == NULL) {
        return MG_E_CLOSED;
    }
    queue_message(c, m);
    return MG_OK;
}

size_t
mg_net_unsent(mg_net *net, const char *peer)
{
    const conn *c = find_conn(net, peer);
    return c != NULL ? c->unsent : 0;
}

size_t
mg_net_unsent_total(const mg_net *net)
{
    return net->unsent;
}

void
mg_net_send_all(mg_net *net, const mg_msg *m)
{
    list_for_each(el, &net->conns)
    {
        conn *c = list_entry(el, conn, link);
        if (c->handshake_done && !c->closing) {
            queue_message(c, m);
        }
    }
}
