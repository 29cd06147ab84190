#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/addr.h"
#include "base/counter.h"
#include "base/event.h"
#include "wire/http_server_int.h"
#include "wire/scratch.h"
#include "wire/sock.h"

#define BACKLOG 1024
#define SWEEP_INTERVAL_MS 250
/* bytes of pipelined requests buffered beyond limits.header_bytes_max */
#define READ_AHEAD_MAX 65536
/* pipelined requests that are taken up in one iteration of the event loop, of
   all connections together */
#define PIPELINED_PER_TURN 64
/* after the server's FIN: how long to wait for the peer's FIN, ms; longer if
   the peer hasn't got all of the response, which a reset would destroy: any
   byte that it sends after the close draws one */
#define LINGER_TIMEOUT_MS 1000
#define CONTINUE_RESPONSE "HTTP/1.1 100 Continue\r\n\r\n"

typedef struct server_write {
    uv_write_t req;
    mg_buf buf;
    mg_http_conn *conn;
} server_write;

static void
process_input(mg_http_conn *c);
static void
schedule_input(mg_http_conn *c);
static void
on_idle(uv_idle_t *h);

static int64_t
now_ms(const mg_http_conn *c)
{
    return (int64_t)uv_now(c->server->opts.loop);
}

static void
set_state(mg_http_conn *c, mg_http_conn_state state)
{
    c->state = state;
    c->timeout_start_ms = now_ms(c);
}

/* ------------------------------------------------------------- closing */

static void
free_request(mg_http_conn *c)
{
    mg_http_req *r = c->req;
    if (r == NULL) {
        return;
    }
    c->req = NULL;
    c->server->open_requests--;
    c->server->body_bytes -= r->body.n;
    free(r->header_bytes);
    mg_buf_free(&r->body);
    free(r);
}

static void
on_closed(uv_handle_t *h)
{
    mg_http_conn *c = h->data;
    mg_buf_free(&c->in);
    mg_buf_free(&c->out);
    free(c);
}

static void
close_conn(mg_http_conn *c)
{
    if (c->state == MG_HTTP_CONN_CLOSING) {
        return;
    }
    bool was_busy = c->state == MG_HTTP_CONN_BUSY;
    c->state = MG_HTTP_CONN_CLOSING;
    list_del(&c->link);
    list_del(&c->pending_flush);
    list_del(&c->pending_input);
    c->server->conn_count--;
    uv_close((uv_handle_t *)&c->tcp, on_closed);
    if (was_busy && c->req->on_disconnect != NULL) {
        void (*f)(void *user) = c->req->on_disconnect;
        c->req->on_disconnect = NULL;
        f(c->req->user);
    }
    free_request(c);
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
    mg_http_conn *c = req->data;
    if (status == 0) {
        mg_sock_reset_on_close(&c->tcp, false);
        c->output_ended = true;
    }
    if (status != 0 || c->input_ended) {
        close_conn(c);
    }
    free(req);
}

/* shuts down the sending side; the peer may still be sending */
static void
linger(mg_http_conn *c)
{
    set_state(c, MG_HTTP_CONN_LINGER);
    mg_buf_free(&c->in);
    uv_shutdown_t *req = mg_alloc(sizeof(*req));
    req->data = c;
    if (uv_shutdown(req, (uv_stream_t *)&c->tcp, on_shutdown) != 0) {
        free(req);
        close_conn(c);
    }
}

/* ------------------------------------------------------------- writing */

/* Whether the client has read enough of its responses for the next one. */
static bool
may_respond(const mg_http_conn *c)
{
    return c->unsent_bytes + c->out.n <= MG_HTTP_BYTES_SMALL;
}

/* Takes up the requests of a client that has read responses. */
static void
resume_input(mg_http_conn *c)
{
    if (c->waits_for_client && may_respond(c) &&
        c->state != MG_HTTP_CONN_CLOSING) {
        c->waits_for_client = false;
        schedule_input(c);
    }
}

static void
on_written(uv_write_t *req, int status)
{
    server_write *w = (server_write *)req;
    w->conn->unsent_bytes -= w->buf.n;
    if (status < 0) {
        close_conn(w->conn);
    }
    resume_input(w->conn);
    mg_buf_free(&w->buf);
    free(w);
}

static void
write_out(mg_http_conn *c)
{
    uv_buf_t b = uv_buf_init(c->out.p, (unsigned)c->out.n);
    if (c->unsent_bytes == 0) {
        int n = uv_try_write((uv_stream_t *)&c->tcp, &b, 1);
        if (n < 0 && n != UV_EAGAIN) {
            close_conn(c);
            return;
        }
        if (n > 0 && (size_t)n == c->out.n) {
            c->out.n = 0;
            return;
        }
        mg_buf_skip(&c->out, n > 0 ? (size_t)n : 0);
    }
    server_write *w = mg_alloc(sizeof(*w));
    w->buf = c->out;
    w->conn = c;
    c->out = (mg_buf){0};
    c->unsent_bytes += w->buf.n;
    b = uv_buf_init(w->buf.p, (unsigned)w->buf.n);
    if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &b, 1, on_written) != 0) {
        c->unsent_bytes -= w->buf.n;
        mg_buf_free(&w->buf);
        free(w);
        close_conn(c);
    }
}

void
mg_http_conn_abort(mg_http_conn *c)
{
    if (c->out.n > 0) {
        write_out(c);
    }
    close_conn(c);
}

/* whether much of a response that has ended is not taken by its client */
static bool
is_read_slowly(const mg_http_conn *c)
{
    return c->state != MG_HTTP_CONN_BUSY &&
           c->unsent_bytes > MG_HTTP_BYTES_SMALL;
}

/* Closes the connection whose response ended first if clients have left too
   many bytes unread. */
static void
limit_unsent(mg_http_server *s)
{
    size_t unsent = 0;
    mg_http_conn *oldest = NULL;
    list_for_each(el, &s->conns)
    {
        mg_http_conn *c = list_entry(el, mg_http_conn, link);
        if (!is_read_slowly(c)) {
            continue;
        }
        unsent += c->unsent_bytes;
        if (oldest == NULL || c->timeout_start_ms < oldest->timeout_start_ms) {
            oldest = c;
        }
    }
    if (unsent > s->opts.limits.unsent_max) {
        mg_log(MG_EV_CLIENT_UNSENT, "listen=%s unsent=%zu closed=%zu ms=%lld",
               s->opts.listen_addr, unsent, oldest->unsent_bytes,
               (long long)(now_ms(oldest) - oldest->timeout_start_ms));
        close_conn(oldest);
    }
}

static void
flush_conn(mg_http_conn *c)
{
    list_del(&c->pending_flush);
    if (c->out.n > 0) {
        write_out(c);
    }
    if (is_read_slowly(c)) {
        limit_unsent(c->server);
    }
    if (c->state == MG_HTTP_CONN_HEADERS && c->close_after_response) {
        linger(c);
    }
    resume_input(c);
}

void
mg_http_conn_flush(mg_http_conn *c)
{
    if (list_empty(&c->pending_flush) && c->state != MG_HTTP_CONN_CLOSING) {
        list_add_tail(&c->pending_flush, &c->server->pending_flush);
    }
}

static void
on_prepare(uv_prepare_t *h)
{
    mg_http_server *s = h->data;
    /* each flush may close, and so remove, any connection of the list */
    while (!list_empty(&s->pending_flush)) {
        flush_conn(
            list_entry(s->pending_flush.next, mg_http_conn, pending_flush));
    }
}

/* Has the event loop take up the next pipelined request. Whoever completes a
   response may be called by the handler of a request, so that it must not call
   that handler again. */
static void
schedule_input(mg_http_conn *c)
{
    mg_http_server *s = c->server;
    if (list_empty(&c->pending_input)) {
        list_add_tail(&c->pending_input, &s->pending_input);
    }
    if (!uv_is_active((uv_handle_t *)&s->idle)) {
        uv_idle_start(&s->idle, on_idle);
    }
}

void
mg_http_conn_finish(mg_http_conn *c)
{
    free_request(c);
    set_state(c, MG_HTTP_CONN_HEADERS);
    c->header_bytes_seen = 0;
    c->served++;
    mg_http_conn_flush(c);
    if (!c->close_after_response && c->in.n > 0) {
        schedule_input(c);
    }
}

/* rejects input that is invalid or too large, with an error response by the
   server itself */
static void
reject_request(mg_http_conn *c, int status, const char *why)
{
    mg_count(MG_C_BAD_INPUT, 1);
    mg_log(MG_EV_BAD_INPUT, "listen=%s status=%d what=%s",
           c->server->opts.listen_addr, status, why);
    mg_buf_printf(&c->out,
                  "HTTP/1.1 %d %s\r\ncontent-length: 0\r\n"
                  "connection: close\r\n%s\r\n",
                  status, mg_h1_reason(status),
                  status == 503 ? "retry-after: 1\r\n" : "");
    free_request(c);
    c->close_after_response = true;
    set_state(c, MG_HTTP_CONN_HEADERS);
    mg_http_conn_flush(c);
}

/* ------------------------------------------------------------- reading */

static void
dispatch_request(mg_http_conn *c)
{
    set_state(c, MG_HTTP_CONN_BUSY);
    c->server->opts.on_request(c->server->opts.user, c->req);
}

/* Counts bytes that are to be added to a body; returns whether there is room
   for them. */
static bool
hold_body(mg_http_server *s, const mg_http_req *r, size_t bytes)
{
    if (r->body.n + bytes > MG_HTTP_BYTES_SMALL &&
        s->body_bytes + bytes > s->opts.limits.bodies_max) {
        return false;
    }
    s->body_bytes += bytes;
    return true;
}

static void
decode_body(mg_http_conn *c, char *p, size_t n)
{
    mg_str data;
    mg_str rest;
    mg_rc rc = mg_h1_body_decode(&c->body, p, n, &data, &rest);
    if (rc == MG_E_INPUT) {
        reject_request(c, 400, "chunks");
        return;
    }
    if (c->req->body.n + data.n > c->server->opts.limits.body_max) {
        reject_request(c, 413, "body");
        return;
    }
    if (!hold_body(c->server, c->req, data.n)) {
        reject_request(c, 503, "bodies");
        return;
    }
    mg_buf_put(&c->req->body, data.p, data.n);
    if (rc != MG_OK) {
        c->timeout_start_ms = now_ms(c);
        return;
    }
    mg_buf_put(&c->in, rest.p, rest.n);
    dispatch_request(c);
}

static void
start_request(mg_http_conn *c, const mg_h1_headers *headers)
{
    mg_http_req *r = mg_alloc(sizeof(*r));
    c->req = r;
    c->server->open_requests++;
    r->conn = c;
    r->headers = *headers;
    r->header_bytes = mg_alloc(headers->size);
    memcpy(r->header_bytes, c->in.p, headers->size);
    mg_h1_rebase(&r->headers, c->in.p, r->header_bytes);
    mg_buf_skip(&c->in, headers->size);
    c->close_after_response = headers->close;
    if (headers->has_content_length &&
        headers->content_length > c->server->opts.limits.body_max) {
        reject_request(c, 413, "body");
        return;
    }
    mg_h1_body_init_request(&c->body, headers);
    if (c->body.framing == MG_H1_NO_BODY) {
        dispatch_request(c);
        return;
    }
    set_state(c, MG_HTTP_CONN_BODY);
    if (mg_h1_name_is(mg_h1_get(&r->headers, "expect"), "100-continue") &&
        c->in.n == 0) {
        mg_buf_put(&c->out, CONTINUE_RESPONSE, sizeof(CONTINUE_RESPONSE) - 1);
        mg_http_conn_flush(c);
    }
    if (c->in.n > 0) {
        mg_buf body = c->in;
        c->in = (mg_buf){0};
        decode_body(c, body.p, body.n);
        mg_buf_free(&body);
    }
}

static void
process_input(mg_http_conn *c)
{
    mg_h1_headers headers;
    /* some clients send an empty line after a body */
    while (c->in.n >= 2 && memcmp(c->in.p, "\r\n", 2) == 0) {
        mg_buf_skip(&c->in, 2);
    }
    if (c->in.n == 0) {
        return;
    }
    mg_rc rc = mg_h1_parse_request(mg_str_buf(&c->in), c->header_bytes_seen,
                                   &headers);
    size_t size = rc == MG_OK ? headers.size : c->in.n;
    c->header_bytes_seen = c->in.n;
    if (size > c->server->opts.limits.header_bytes_max) {
        reject_request(c, 431, "head");
    }
    else if (rc == MG_E_INPUT) {
        reject_request(c, 400, "head");
    }
    else if (rc == MG_OK) {
        start_request(c, &headers);
    }
}

/* whether c holds as much input as it may while requests wait in it */
static bool
is_input_full(const mg_http_conn *c)
{
    return c->in.n > c->server->opts.limits.header_bytes_max + READ_AHEAD_MAX;
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf);

/* Takes up the next request of a connection, if there is a whole one. */
static void
take_next(mg_http_conn *c)
{
    if (c->state != MG_HTTP_CONN_HEADERS || c->close_after_response) {
        return;
    }
    if (!may_respond(c)) {
        c->waits_for_client = true;
        return;
    }
    process_input(c);
    if (c->reading_stopped && c->state != MG_HTTP_CONN_CLOSING &&
        !is_input_full(c)) {
        c->reading_stopped = false;
        uv_read_start((uv_stream_t *)&c->tcp, mg_scratch_alloc, on_read);
    }
}

static void
on_idle(uv_idle_t *h)
{
    mg_http_server *s = h->data;
    for (int i = 0; i < PIPELINED_PER_TURN && !list_empty(&s->pending_input);
         i++) {
        mg_http_conn *c =
            list_entry(s->pending_input.next, mg_http_conn, pending_input);
        list_del(&c->pending_input);
        take_next(c);
    }
    if (list_empty(&s->pending_input)) {
        uv_idle_stop(h);
    }
}

/* Whether the last response has ended, but the kernel doesn't have all of it;
   writes what it takes. */
static bool
has_output(mg_http_conn *c)
{
    if (c->state == MG_HTTP_CONN_HEADERS && c->out.n > 0) {
        write_out(c);
    }
    return c->state == MG_HTTP_CONN_HEADERS &&
           (c->unsent_bytes > 0 || c->close_after_response);
}

/* The client sends no more; orderly: by a FIN. Responses that have ended are
   still written, as the client may read them. */
static void
on_input_end(mg_http_conn *c, bool orderly)
{
    c->input_ended = true;
    if (orderly && has_output(c)) {
        linger(c);
    }
    else if (!orderly || c->state != MG_HTTP_CONN_LINGER || c->output_ended) {
        close_conn(c);
    }
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    mg_http_conn *c = s->data;
    if (n == 0 || c->state == MG_HTTP_CONN_CLOSING) {
        return;
    }
    if (n < 0) {
        on_input_end(c, n == UV_EOF);
        return;
    }
    switch (c->state) {
    case MG_HTTP_CONN_HEADERS:
        if (c->close_after_response) {
            return;
        }
        if (c->in.n == 0) {
            c->timeout_start_ms = now_ms(c);
        }
        mg_buf_put(&c->in, buf->base, (size_t)n);
        if (list_empty(&c->pending_input) && !c->waits_for_client) {
            process_input(c);
        }
        else if (is_input_full(c)) {
            c->reading_stopped = true;
            uv_read_stop(s);
        }
        break;
    case MG_HTTP_CONN_BODY:
        decode_body(c, buf->base, (size_t)n);
        break;
    case MG_HTTP_CONN_BUSY:
        mg_buf_put(&c->in, buf->base, (size_t)n);
        if (is_input_full(c)) {
            close_conn(c);
        }
        break;
    default:
        break;
    }
}

static void
on_accept(uv_stream_t *listener, int status)
{
    mg_http_server *s = listener->data;
    if (status != 0) {
        return;
    }
    mg_http_conn *c = mg_alloc(sizeof(*c));
    c->server = s;
    c->tcp.data = c;
    init_list_head(&c->pending_flush);
    init_list_head(&c->pending_input);
    list_add_tail(&c->link, &s->conns);
    s->conn_count++;
    uv_tcp_init(s->opts.loop, &c->tcp);
    set_state(c, MG_HTTP_CONN_HEADERS);
    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
        close_conn(c);
        return;
    }
    uv_tcp_nodelay(&c->tcp, 1);
    uv_read_start((uv_stream_t *)&c->tcp, mg_scratch_alloc, on_read);
}

static void
sweep_conn(mg_http_conn *c, int64_t now)
{
    const mg_http_options *o = &c->server->opts;
    int64_t age = now - c->timeout_start_ms;
    switch (c->state) {
    case MG_HTTP_CONN_HEADERS:
        if (c->in.n > 0 && age > o->limits.header_timeout_ms) {
            reject_request(c, 408, "slow_head");
        }
        else if (c->in.n == 0 && age > o->limits.idle_timeout_ms) {
            close_conn(c);
        }
        break;
    case MG_HTTP_CONN_BODY:
        if (age > o->limits.idle_timeout_ms) {
            reject_request(c, 408, "slow_body");
        }
        break;
    case MG_HTTP_CONN_LINGER:
        if (age > LINGER_TIMEOUT_MS && c->unsent_bytes == 0 &&
            (mg_sock_is_acknowledged(&c->tcp) ||
             age > o->limits.idle_timeout_ms)) {
            close_conn(c);
        }
        break;
    default:
        break;
    }
}

static void
on_sweep(uv_timer_t *t)
{
    mg_http_server *s = t->data;
    int64_t now = (int64_t)uv_now(s->opts.loop);
    list_for_each_safe(el, el1, &s->conns)
    {
        sweep_conn(list_entry(el, mg_http_conn, link), now);
    }
}

/* -------------------------------------------------------------- server */

mg_rc
mg_http_open(mg_http_server **out, const mg_http_options *opts, mg_error *err)
{
    struct sockaddr_in sin;
    if (mg_addr_parse(opts->listen_addr, &sin) != MG_OK) {
        return mg_fail(err, MG_E_INPUT, "bad address %s", opts->listen_addr);
    }
    mg_http_server *s = mg_alloc(sizeof(*s));
    s->opts = *opts;
    s->opts.listen_addr = mg_strdup(opts->listen_addr);
    mg_http_set_limits(s, &opts->limits);
    init_list_head(&s->conns);
    init_list_head(&s->pending_flush);
    init_list_head(&s->pending_input);
    uv_tcp_init(opts->loop, &s->listener);
    s->listener.data = s;
    int rc = uv_tcp_bind(&s->listener, (struct sockaddr *)&sin, 0);
    if (rc == 0) {
        rc = uv_listen((uv_stream_t *)&s->listener, BACKLOG, on_accept);
    }
    if (rc != 0) {
        return mg_fail(err, MG_E_IO, "can't listen on %s: %s",
                       opts->listen_addr, uv_strerror(rc));
    }
    uv_timer_init(opts->loop, &s->sweep);
    s->sweep.data = s;
    uv_timer_start(&s->sweep, on_sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
    uv_idle_init(opts->loop, &s->idle);
    s->idle.data = s;
    uv_prepare_init(opts->loop, &s->prepare);
    s->prepare.data = s;
    uv_prepare_start(&s->prepare, on_prepare);
    uv_unref((uv_handle_t *)&s->prepare);
    uv_unref((uv_handle_t *)&s->sweep);
    *out = s;
    return MG_OK;
}

static int64_t
or_default(int64_t value, int64_t fallback)
{
    return value > 0 ? value : fallback;
}

void
mg_http_set_limits(mg_http_server *s, const mg_http_limits *l)
{
    if (l->body_max > 0) {
        s->opts.limits.body_max = l->body_max;
    }
    s->opts.limits.header_bytes_max = (size_t)or_default(
        (int64_t)l->header_bytes_max, MG_HTTP_HEADER_BYTES_MAX);
    s->opts.limits.bodies_max =
        (size_t)or_default((int64_t)l->bodies_max, MG_HTTP_BODIES_BYTES_MAX);
    if (s->opts.limits.bodies_max < s->opts.limits.body_max) {
        s->opts.limits.bodies_max = s->opts.limits.body_max;
    }
    s->opts.limits.unsent_max =
        (size_t)or_default((int64_t)l->unsent_max, MG_HTTP_UNSENT_BYTES_MAX);
    s->opts.limits.header_timeout_ms =
        or_default(l->header_timeout_ms, MG_HTTP_HEADER_TIMEOUT_MS);
    s->opts.limits.idle_timeout_ms =
        or_default(l->idle_timeout_ms, MG_HTTP_IDLE_TIMEOUT_MS);
}

void
mg_http_stop_listening(mg_http_server *s)
{
    if (!uv_is_closing((uv_handle_t *)&s->listener)) {
        uv_close((uv_handle_t *)&s->listener, NULL);
    }
}

void
mg_http_drain(mg_http_server *s)
{
    s->draining = true;
}

size_t
mg_http_open_requests(const mg_http_server *s)
{
    return s->open_requests;
}

size_t
mg_http_unwritten(const mg_http_server *s)
{
    size_t n = 0;
    list_for_each(el, &s->conns)
    {
        const mg_http_conn *c = list_entry(el, mg_http_conn, link);
        n += c->out.n + c->unsent_bytes;
    }
    return n;
}
