#include "wire/http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>

#include "base/addr.h"
#include "base/check.h"
#include "base/counter.h"
#include "base/list.h"

#define BACKLOG 512
#define PEEK_MS 200
#define CLIENT_IO_MS 600000
#define REQUEST_TIMEOUT_MS 10000
#define RESPONSE_HEADERS_MAX 16

struct mg_http_server {
    mg_http_options opts;
    h2o_globalconf_t config;
    h2o_context_t ctx;
    h2o_accept_ctx_t accept_ctx;
    uv_tcp_t listener;
    uv_timer_t peek_timer;
    struct list_head requests;
    size_t open_requests;
    bool draining;
};

struct server_handler {
    h2o_handler_t super;
    mg_http_server *server;
};

/* lives in the request's memory pool */
struct mg_http_req {
    h2o_generator_t gen; /* first: h2o gives it back */
    struct list_head link;
    mg_http_server *server;
    h2o_req_t *req;
    bool started;
    bool writable; /* h2o takes the next bytes */
    bool finished;
    bool aborted;
    bool ended; /* the last h2o_send was made */
    mg_buf pending;
    mg_buf sending;
    void (*on_gone)(void *user);
    void *user;
};

/* --------------------------------------------------------------- server */

static void
report_gone(mg_http_req *r)
{
    void (*f)(void *user) = r->on_gone;
    r->on_gone = NULL;
    if (f != NULL && !r->ended) {
        f(r->user);
    }
}

/* the request's pool is cleared: whatever happened, it is over */
static void
dispose_request(void *p)
{
    mg_http_req *r = p;
    report_gone(r);
    list_del(&r->link);
    r->server->open_requests--;
    mg_buf_free(&r->pending);
    mg_buf_free(&r->sending);
}

static void
send_more(mg_http_req *r)
{
    if (!r->writable || r->ended) {
        return;
    }
    h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
    if (r->aborted) {
        state = H2O_SEND_STATE_ERROR;
    }
    else if (r->finished) {
        state = H2O_SEND_STATE_FINAL;
    }
    else if (r->pending.n == 0) {
        return;
    }
    mg_buf sent = r->sending;
    r->sending = r->pending;
    r->pending = sent;
    r->pending.n = 0;
    r->writable = false;
    r->ended = state != H2O_SEND_STATE_IN_PROGRESS;
    h2o_iovec_t v = h2o_iovec_init(r->sending.p, r->sending.n);
    h2o_send(r->req, &v, r->sending.n > 0, state);
}

static void
on_proceed(h2o_generator_t *gen, h2o_req_t *req)
{
    mg_http_req *r = (mg_http_req *)gen;
    (void)req;
    r->writable = true;
    send_more(r);
}

static void
on_stop(h2o_generator_t *gen, h2o_req_t *req)
{
    (void)req;
    report_gone((mg_http_req *)gen);
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
    mg_http_server *s = ((struct server_handler *)self)->server;
    mg_http_req *r =
        h2o_mem_alloc_shared(&req->pool, sizeof(*r), dispose_request);
    memset(r, 0, sizeof(*r));
    r->gen.proceed = on_proceed;
    r->gen.stop = on_stop;
    r->server = s;
    r->req = req;
    list_add_tail(&r->link, &s->requests);
    s->open_requests++;
    s->opts.on_request(s->opts.user, r);
    return 0;
}

static void
on_accept(uv_stream_t *listener, int status)
{
    mg_http_server *s = listener->data;
    if (status != 0) {
        return;
    }
    uv_tcp_t *conn = h2o_mem_alloc(sizeof(*conn));
    uv_tcp_init(listener->loop, conn);
    if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
        uv_close((uv_handle_t *)conn, (uv_close_cb)free);
        return;
    }
    uv_tcp_nodelay(conn, 1);
    h2o_socket_t *sock =
        h2o_uv_socket_create((uv_stream_t *)conn, (uv_close_cb)free);
    h2o_accept(&s->accept_ctx, sock);
}

static bool
peer_closed(h2o_socket_t *sock)
{
    char byte;
    ssize_t n =
        recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                      errno != EINTR);
}

/* h2o reads nothing while a request waits: look whether its caller left */
static bool
caller_left(mg_http_req *r)
{
    return peer_closed(r->req->conn->callbacks->get_socket(r->req->conn));
}

static void
on_peek(uv_timer_t *t)
{
    mg_http_server *s = t->data;
    list_for_each_safe(el, el1, &s->requests)
    {
        mg_http_req *r = list_entry(el, mg_http_req, link);
        if (!r->started && r->on_gone != NULL && caller_left(r)) {
            report_gone(r);
        }
    }
}

mg_rc
mg_http_open(mg_http_server **out, const mg_http_options *opts, mg_error *err)
{
    struct sockaddr_in sin;
    if (mg_addr_parse(opts->listen_addr, &sin) != MG_OK) {
        return mg_fail(err, MG_E_INPUT, "bad address %s", opts->listen_addr);
    }
    mg_http_server *s = mg_alloc(sizeof(*s));
    s->opts = *opts;
    init_list_head(&s->requests);
    h2o_config_init(&s->config);
    s->config.max_request_entity_size = opts->body_max;
    s->config.http1.req_timeout = REQUEST_TIMEOUT_MS;
    h2o_hostconf_t *host = h2o_config_register_host(
        &s->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    struct server_handler *h =
        (struct server_handler *)h2o_create_handler(path, sizeof(*h));
    h->super.on_req = on_request;
    h->server = s;
    h2o_context_init(&s->ctx, opts->loop, &s->config);
    s->accept_ctx.ctx = &s->ctx;
    s->accept_ctx.hosts = s->config.hosts;
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
    uv_timer_init(opts->loop, &s->peek_timer);
    s->peek_timer.data = s;
    uv_timer_start(&s->peek_timer, on_peek, PEEK_MS, PEEK_MS);
    *out = s;
    return MG_OK;
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

mg_str
mg_http_method(const mg_http_req *r)
{
    return (mg_str){r->req->method.base, r->req->method.len};
}

mg_str
mg_http_path(const mg_http_req *r)
{
    size_t n = r->req->path.len;
    if (r->req->query_at != SIZE_MAX) {
        n = r->req->query_at;
    }
    return (mg_str){r->req->path.base, n};
}

mg_str
mg_http_query(const mg_http_req *r)
{
    if (r->req->query_at == SIZE_MAX) {
        return (mg_str){"", 0};
    }
    size_t at = r->req->query_at + 1;
    return (mg_str){r->req->path.base + at, r->req->path.len - at};
}

mg_str
mg_http_body(const mg_http_req *r)
{
    return (mg_str){r->req->entity.base, r->req->entity.len};
}

mg_str
mg_http_header(const mg_http_req *r, const char *name)
{
    const h2o_headers_t *headers = &r->req->headers;
    size_t n = strlen(name);
    for (size_t i = 0; i < headers->size; i++) {
        const h2o_header_t *h = &headers->entries[i];
        if (h2o_lcstris(h->name->base, h->name->len, name, n)) {
            return (mg_str){h->value.base, h->value.len};
        }
    }
    return (mg_str){"", 0};
}

void
mg_http_on_gone(mg_http_req *r, void (*f)(void *user), void *user)
{
    r->on_gone = f;
    r->user = user;
}

static void
add_header(h2o_req_t *req, mg_str name, mg_str value)
{
    char *n = h2o_strdup(&req->pool, name.p, name.n).base;
    h2o_iovec_t v = h2o_strdup(&req->pool, value.p, value.n);
    h2o_add_header_by_str(&req->pool, &req->res.headers, n, name.n, 1, NULL,
                          v.base, v.len);
}

static void
set_head(mg_http_req *r, int status, const char *type, const char *extra)
{
    h2o_req_t *req = r->req;
    req->res.status = status;
    req->res.reason = status < 300 ? "OK" : "Refused";
    add_header(req, mg_str_of("content-type"), mg_str_of(type));
    mg_str rest = mg_str_of(extra);
    while (rest.n > 0) {
        mg_str line = mg_str_cut(rest, '\n', &rest);
        mg_str value;
        mg_str name = mg_str_cut(line, ':', &value);
        while (value.n > 0 && *value.p == ' ') {
            value.p++;
            value.n--;
        }
        add_header(req, name, value);
    }
    if (r->server->draining) {
        req->http1_is_persistent = 0;
    }
}

void
mg_http_reply(mg_http_req *r, int status, const char *type, const char *extra,
              mg_str body)
{
    set_head(r, status, type, extra);
    r->req->res.content_length = body.n;
    r->started = true;
    r->finished = true;
    mg_buf_put(&r->pending, body.p, body.n);
    r->writable = true;
    h2o_start_response(r->req, &r->gen);
    send_more(r);
}

void
mg_http_start(mg_http_req *r, int status, const char *type, const char *extra)
{
    set_head(r, status, type, extra);
    r->started = true;
    r->writable = true;
    h2o_start_response(r->req, &r->gen);
}

void
mg_http_write(mg_http_req *r, mg_str data)
{
    mg_buf_put(&r->pending, data.p, data.n);
    send_more(r);
}

void
mg_http_finish(mg_http_req *r)
{
    r->finished = true;
    send_more(r);
}

void
mg_http_abort(mg_http_req *r)
{
    r->on_gone = NULL;
    r->aborted = true;
    send_more(r);
}

size_t
mg_http_unsent(const mg_http_req *r)
{
    return r->pending.n;
}

/* --------------------------------------------------------------- client */

/* what all calls of a loop share */
struct client_ctx {
    h2o_http1client_ctx_t ctx;
    h2o_timeout_t io_timeout;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
};

struct mg_http_call {
    mg_http_call_options opts;
    h2o_http1client_t *client;
    uv_timer_t timer;
    char *host;
    mg_buf head;
    mg_buf body;
    h2o_iovec_t bufs[2];
    bool connected;
    bool framed;
    bool chunked;
    bool ended;
    bool in_callback; /* h2o closes the client itself when it returns */
};

static struct client_ctx *
shared_client(uv_loop_t *loop)
{
    static struct client_ctx shared;
    static uv_loop_t *owner;
    if (owner == NULL) {
        owner = loop;
        shared.queue = h2o_multithread_create_queue(loop);
        h2o_multithread_register_receiver(shared.queue, &shared.receiver,
                                          h2o_hostinfo_getaddr_receiver);
        h2o_timeout_init(loop, &shared.io_timeout, CLIENT_IO_MS);
        shared.ctx.loop = loop;
        shared.ctx.getaddr_receiver = &shared.receiver;
        shared.ctx.io_timeout = &shared.io_timeout;
    }
    MG_INVARIANT(owner == loop);
    return &shared;
}

static void
on_timer_closed(uv_handle_t *h)
{
    mg_http_call *c = h->data;
    mg_buf_free(&c->head);
    mg_buf_free(&c->body);
    free(c->host);
    free(c);
}

static void
release_call(mg_http_call *c)
{
    uv_close((uv_handle_t *)&c->timer, on_timer_closed);
}

static void
end_call(mg_http_call *c, mg_http_end end, const char *why)
{
    if (c->ended) {
        return;
    }
    c->ended = true;
    c->opts.on_end(c->opts.user, end, why);
    release_call(c);
}

static void
on_silence(uv_timer_t *t)
{
    mg_http_call *c = t->data;
    if (c->ended) {
        return;
    }
    h2o_http1client_cancel(c->client);
    end_call(c, c->connected ? MG_HTTP_SILENT : MG_HTTP_NOT_SENT, "silence");
}

/*
 * h2o also reports the end when the peer closes between two chunks. As the
 * connection was not asked to close, a peer that has sent its last chunk
 * still holds it open.
 */
static int
take_body(mg_http_call *c, h2o_http1client_t *client, const char *errstr)
{
    uv_timer_again(&c->timer);
    h2o_buffer_t *in = client->sock->input;
    if (in->size > 0) {
        c->opts.on_data(c->opts.user, (mg_str){in->bytes, in->size});
        if (c->ended) {
            return -1;
        }
        h2o_buffer_consume(&client->sock->input, in->size);
    }
    if (errstr == NULL) {
        return 0;
    }
    if (errstr == h2o_http1client_error_is_eos && c->framed) {
        bool unproven = c->chunked && peer_closed(client->sock);
        end_call(c, unproven ? MG_HTTP_CLOSED : MG_HTTP_WHOLE, "end");
    }
    else {
        end_call(c, MG_HTTP_CUT, errstr);
    }
    return 0;
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
    mg_http_call *c = client->data;
    if (c->ended) {
        return -1;
    }
    c->in_callback = true;
    int rc = take_body(c, client, errstr);
    c->in_callback = false;
    return rc;
}

static bool
is_header(const h2o_header_t *h, const char *name)
{
    return h2o_lcstris(h->name->base, h->name->len, name, strlen(name));
}

static h2o_http1client_body_cb
take_head(mg_http_call *c, const char *errstr, int status,
          h2o_header_t *headers, size_t n)
{
    if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
        end_call(c, MG_HTTP_CUT, errstr);
        return NULL;
    }
    mg_str type = {"", 0};
    bool no_body = false;
    bool not_run = false;
    for (size_t i = 0; i < n; i++) {
        if (is_header(&headers[i], "content-type")) {
            type = (mg_str){headers[i].value.base, headers[i].value.len};
        }
        else if (is_header(&headers[i], "content-length")) {
            c->framed = true;
            no_body =
                headers[i].value.len == 1 && headers[i].value.base[0] == '0';
        }
        else if (is_header(&headers[i], "transfer-encoding")) {
            c->framed = true;
            c->chunked = true;
        }
        else if (is_header(&headers[i], "x-not-run")) {
            not_run = true;
        }
    }
    uv_timer_again(&c->timer);
    c->opts.on_head(c->opts.user, status, type, not_run);
    if (c->ended) {
        return NULL;
    }
    if (errstr == h2o_http1client_error_is_eos) {
        end_call(c, c->framed && no_body ? MG_HTTP_WHOLE : MG_HTTP_CUT,
                 errstr);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version,
        int status, h2o_iovec_t msg, h2o_header_t *headers, size_t n, int rlen)
{
    mg_http_call *c = client->data;
    (void)minor_version;
    (void)msg;
    (void)rlen;
    if (c->ended) {
        return NULL;
    }
    c->in_callback = true;
    h2o_http1client_body_cb next = take_head(c, errstr, status, headers, n);
    c->in_callback = false;
    return next;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **bufs,
           size_t *count, int *is_head)
{
    mg_http_call *c = client->data;
    if (c->ended) {
        return NULL;
    }
    if (errstr != NULL) {
        end_call(c, MG_HTTP_NOT_SENT, errstr);
        return NULL;
    }
    c->in_callback = true;
    bool go_on =
        c->opts.on_connected == NULL || c->opts.on_connected(c->opts.user);
    c->in_callback = false;
    if (c->ended) {
        return NULL;
    }
    if (!go_on) {
        end_call(c, MG_HTTP_NOT_SENT, "withdrawn");
        return NULL;
    }
    c->connected = true;
    uv_timer_start(&c->timer, on_silence, (uint64_t)c->opts.silence_ms,
                   (uint64_t)c->opts.silence_ms);
    c->bufs[0] = h2o_iovec_init(c->head.p, c->head.n);
    c->bufs[1] = h2o_iovec_init(c->body.p, c->body.n);
    *bufs = c->bufs;
    *count = c->body.n > 0 ? 2 : 1;
    *is_head = 0;
    return on_head;
}

mg_http_call *
mg_http_call_new(const mg_http_call_options *o)
{
    mg_http_call *c = mg_alloc(sizeof(*c));
    c->opts = *o;
    mg_buf_put(&c->body, o->body.p, o->body.n);
    mg_buf_printf(&c->head,
                  "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %zu\r\n"
                  "%s\r\n",
                  o->method, o->path, o->addr, o->body.n,
                  o->extra ? o->extra : "");
    const char *colon = strrchr(o->addr, ':');
    MG_INVARIANT(colon != NULL);
    c->host = mg_strndup(o->addr, (size_t)(colon - o->addr));
    uint16_t port = (uint16_t)strtol(colon + 1, NULL, 10);
    uv_timer_init(o->loop, &c->timer);
    c->timer.data = c;
    uv_timer_start(&c->timer, on_silence, (uint64_t)o->connect_ms, 0);
    h2o_http1client_connect(&c->client, c, &shared_client(o->loop)->ctx,
                            h2o_iovec_init(c->host, strlen(c->host)), port, 0,
                            on_connect);
    return c->ended ? NULL : c;
}

void
mg_http_call_cancel(mg_http_call *c)
{
    if (c->ended) {
        return;
    }
    c->ended = true;
    if (!c->in_callback) {
        h2o_http1client_cancel(c->client);
    }
    release_call(c);
}
