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

#define CLIENT_IO_MS 600000
#define RESPONSE_HEADERS_MAX 16

static bool
peer_closed(h2o_socket_t *sock)
{
    char byte;
    ssize_t n =
        recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                      errno != EINTR);
}

/* what all calls of a loop share */
struct client_ctx {
    h2o_http1client_ctx_t ctx;
    h2o_timeout_t io_timeout;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
};

struct mg_http_client_req {
    mg_http_client_req_options opts;
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
    mg_http_client_req *c = h->data;
    mg_buf_free(&c->head);
    mg_buf_free(&c->body);
    free(c->host);
    free(c);
}

static void
release_call(mg_http_client_req *c)
{
    uv_close((uv_handle_t *)&c->timer, on_timer_closed);
}

static void
end_call(mg_http_client_req *c, mg_http_result end, const char *why)
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
    mg_http_client_req *c = t->data;
    if (c->ended) {
        return;
    }
    h2o_http1client_cancel(c->client);
    end_call(c, c->connected ? MG_HTTP_READ_TIMEOUT : MG_HTTP_NOT_SENT,
             "silence");
}

/*
 * h2o also reports the end when the peer closes between two chunks. As the
 * connection was not asked to close, a peer that has sent its last chunk
 * still holds it open.
 */
static int
take_body(mg_http_client_req *c, h2o_http1client_t *client, const char *errstr)
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
        end_call(c, unproven ? MG_HTTP_NO_LAST_CHUNK : MG_HTTP_COMPLETE,
                 "end");
    }
    else {
        end_call(c, MG_HTTP_TRUNCATED, errstr);
    }
    return 0;
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
    mg_http_client_req *c = client->data;
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
take_head(mg_http_client_req *c, const char *errstr, int status,
          h2o_header_t *headers, size_t n)
{
    if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
        end_call(c, MG_HTTP_TRUNCATED, errstr);
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
    c->opts.on_headers(c->opts.user, status, type, not_run);
    if (c->ended) {
        return NULL;
    }
    if (errstr == h2o_http1client_error_is_eos) {
        end_call(c,
                 c->framed && no_body ? MG_HTTP_COMPLETE : MG_HTTP_TRUNCATED,
                 errstr);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version,
        int status, h2o_iovec_t msg, h2o_header_t *headers, size_t n, int rlen)
{
    mg_http_client_req *c = client->data;
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
    mg_http_client_req *c = client->data;
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
    uv_timer_start(&c->timer, on_silence, (uint64_t)c->opts.read_timeout_ms,
                   (uint64_t)c->opts.read_timeout_ms);
    c->bufs[0] = h2o_iovec_init(c->head.p, c->head.n);
    c->bufs[1] = h2o_iovec_init(c->body.p, c->body.n);
    *bufs = c->bufs;
    *count = c->body.n > 0 ? 2 : 1;
    *is_head = 0;
    return on_head;
}

mg_http_client_req *
mg_http_client_req_new(const mg_http_client_req_options *o)
{
    mg_http_client_req *c = mg_alloc(sizeof(*c));
    c->opts = *o;
    mg_buf_put(&c->body, o->body.p, o->body.n);
    mg_buf_printf(&c->head,
                  "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %zu\r\n"
                  "%s\r\n",
                  o->method, o->path, o->addr, o->body.n,
                  o->extra_headers ? o->extra_headers : "");
    const char *colon = strrchr(o->addr, ':');
    MG_INVARIANT(colon != NULL);
    c->host = mg_strndup(o->addr, (size_t)(colon - o->addr));
    uint16_t port = (uint16_t)strtol(colon + 1, NULL, 10);
    uv_timer_init(o->loop, &c->timer);
    c->timer.data = c;
    uv_timer_start(&c->timer, on_silence, (uint64_t)o->connect_timeout_ms, 0);
    h2o_http1client_connect(&c->client, c, &shared_client(o->loop)->ctx,
                            h2o_iovec_init(c->host, strlen(c->host)), port, 0,
                            on_connect);
    return c->ended ? NULL : c;
}

void
mg_http_client_req_cancel(mg_http_client_req *c)
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
