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

#define CLIENT_IO_TIMEOUT_MS 600000
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

/* h2o client state, shared by all requests of the event loop */
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
    mg_buf header_section;
    mg_buf body;
    h2o_iovec_t bufs[2];
    bool connected;
    bool delimited; /* by Content-Length or chunks */
    bool chunked;
    bool ended;
    bool in_callback; /* h2o closes the client after the callback returns */
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
        h2o_timeout_init(loop, &shared.io_timeout, CLIENT_IO_TIMEOUT_MS);
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
    mg_http_client_req *r = h->data;
    mg_buf_free(&r->header_section);
    mg_buf_free(&r->body);
    free(r->host);
    free(r);
}

static void
release_request(mg_http_client_req *r)
{
    uv_close((uv_handle_t *)&r->timer, on_timer_closed);
}

static void
finish_request(mg_http_client_req *r, mg_http_result result, const char *why)
{
    if (r->ended) {
        return;
    }
    r->ended = true;
    r->opts.on_end(r->opts.user, result, why);
    release_request(r);
}

static void
on_timeout(uv_timer_t *t)
{
    mg_http_client_req *r = t->data;
    if (r->ended) {
        return;
    }
    h2o_http1client_cancel(r->client);
    finish_request(r, r->connected ? MG_HTTP_READ_TIMEOUT : MG_HTTP_NOT_SENT,
                   "silence");
}

/*
 * h2o reports the end of the body also when the peer closes the connection
 * between two chunks. The request did not ask for "Connection: close", so a
 * peer that has sent the last chunk keeps the connection open: if it is
 * closed, the last chunk is missing.
 */
static int
handle_body(mg_http_client_req *r, h2o_http1client_t *client,
            const char *errstr)
{
    uv_timer_again(&r->timer);
    h2o_buffer_t *in = client->sock->input;
    if (in->size > 0) {
        r->opts.on_data(r->opts.user, (mg_str){in->bytes, in->size});
        if (r->ended) {
            return -1;
        }
        h2o_buffer_consume(&client->sock->input, in->size);
    }
    if (errstr == NULL) {
        return 0;
    }
    if (errstr == h2o_http1client_error_is_eos && r->delimited) {
        bool last_chunk_missing = r->chunked && peer_closed(client->sock);
        finish_request(
            r, last_chunk_missing ? MG_HTTP_NO_LAST_CHUNK : MG_HTTP_COMPLETE,
            "end");
    }
    else {
        finish_request(r, MG_HTTP_TRUNCATED, errstr);
    }
    return 0;
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
    mg_http_client_req *r = client->data;
    if (r->ended) {
        return -1;
    }
    r->in_callback = true;
    int rc = handle_body(r, client, errstr);
    r->in_callback = false;
    return rc;
}

static bool
is_header(const h2o_header_t *h, const char *name)
{
    return h2o_lcstris(h->name->base, h->name->len, name, strlen(name));
}

static h2o_http1client_body_cb
handle_headers(mg_http_client_req *r, const char *errstr, int status,
               h2o_header_t *headers, size_t n)
{
    if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
        finish_request(r, MG_HTTP_TRUNCATED, errstr);
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
            r->delimited = true;
            no_body =
                headers[i].value.len == 1 && headers[i].value.base[0] == '0';
        }
        else if (is_header(&headers[i], "transfer-encoding")) {
            r->delimited = true;
            r->chunked = true;
        }
        else if (is_header(&headers[i], "x-not-run")) {
            not_run = true;
        }
    }
    uv_timer_again(&r->timer);
    r->opts.on_headers(r->opts.user, status, type, not_run);
    if (r->ended) {
        return NULL;
    }
    if (errstr == h2o_http1client_error_is_eos) {
        finish_request(
            r, r->delimited && no_body ? MG_HTTP_COMPLETE : MG_HTTP_TRUNCATED,
            errstr);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_body_cb
on_headers(h2o_http1client_t *client, const char *errstr, int minor_version,
           int status, h2o_iovec_t msg, h2o_header_t *headers, size_t n,
           int rlen)
{
    mg_http_client_req *r = client->data;
    (void)minor_version;
    (void)msg;
    (void)rlen;
    if (r->ended) {
        return NULL;
    }
    r->in_callback = true;
    h2o_http1client_body_cb next =
        handle_headers(r, errstr, status, headers, n);
    r->in_callback = false;
    return next;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **bufs,
           size_t *count, int *is_head)
{
    mg_http_client_req *r = client->data;
    if (r->ended) {
        return NULL;
    }
    if (errstr != NULL) {
        finish_request(r, MG_HTTP_NOT_SENT, errstr);
        return NULL;
    }
    r->in_callback = true;
    bool proceed =
        r->opts.on_connected == NULL || r->opts.on_connected(r->opts.user);
    r->in_callback = false;
    if (r->ended) {
        return NULL;
    }
    if (!proceed) {
        finish_request(r, MG_HTTP_NOT_SENT, "withdrawn");
        return NULL;
    }
    r->connected = true;
    uv_timer_start(&r->timer, on_timeout, (uint64_t)r->opts.read_timeout_ms,
                   (uint64_t)r->opts.read_timeout_ms);
    r->bufs[0] = h2o_iovec_init(r->header_section.p, r->header_section.n);
    r->bufs[1] = h2o_iovec_init(r->body.p, r->body.n);
    *bufs = r->bufs;
    *count = r->body.n > 0 ? 2 : 1;
    *is_head = 0;
    return on_headers;
}

mg_http_client_req *
mg_http_client_req_new(const mg_http_client_req_options *o)
{
    mg_http_client_req *r = mg_alloc(sizeof(*r));
    r->opts = *o;
    mg_buf_put(&r->body, o->body.p, o->body.n);
    mg_buf_printf(&r->header_section,
                  "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %zu\r\n"
                  "%s\r\n",
                  o->method, o->path, o->addr, o->body.n,
                  o->extra_headers ? o->extra_headers : "");
    const char *colon = strrchr(o->addr, ':');
    MG_INVARIANT(colon != NULL);
    r->host = mg_strndup(o->addr, (size_t)(colon - o->addr));
    uint16_t port = (uint16_t)strtol(colon + 1, NULL, 10);
    uv_timer_init(o->loop, &r->timer);
    r->timer.data = r;
    uv_timer_start(&r->timer, on_timeout, (uint64_t)o->connect_timeout_ms, 0);
    h2o_http1client_connect(&r->client, r, &shared_client(o->loop)->ctx,
                            h2o_iovec_init(r->host, strlen(r->host)), port, 0,
                            on_connect);
    return r->ended ? NULL : r;
}

void
mg_http_client_req_cancel(mg_http_client_req *r)
{
    if (r->ended) {
        return;
    }
    r->ended = true;
    if (!r->in_callback) {
        h2o_http1client_cancel(r->client);
    }
    release_request(r);
}
