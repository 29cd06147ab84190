#include "wire/http.h"

#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/check.h"
#include "base/counter.h"
#include "base/event.h"
#include "wire/channel.h"

struct mg_http_client_req {
    mg_channel_callbacks callbacks; /* first: callbacks cast it */
    mg_http_client_req_options opts;
    mg_channel *channel;     /* NULL before it connects and after its end */
    char addr[MG_ADDR_SIZE]; /* for the log */
    uv_timer_t timer;
    uv_getaddrinfo_t resolve;
    bool resolving;
    bool is_head;
    mg_buf header_section;
    mg_buf body;
    bool sent;
    size_t received;  /* bytes of the body */
    bool until_close; /* only the end of the connection ends the body */
    bool ended;
    bool timer_closed;
};

static void
free_unused(mg_http_client_req *r)
{
    if (r->timer_closed && !r->resolving) {
        mg_buf_free(&r->header_section);
        mg_buf_free(&r->body);
        free(r);
    }
}

static void
on_timer_closed(uv_handle_t *h)
{
    mg_http_client_req *r = h->data;
    r->timer_closed = true;
    free_unused(r);
}

static void
release_request(mg_http_client_req *r)
{
    r->ended = true;
    if (r->channel != NULL) {
        mg_channel_close(r->channel);
        r->channel = NULL;
    }
    if (r->resolving) {
        uv_cancel((uv_req_t *)&r->resolve);
    }
    uv_close((uv_handle_t *)&r->timer, on_timer_closed);
}

static void
finish_request(mg_http_client_req *r, mg_http_result result, const char *why)
{
    release_request(r);
    r->opts.on_end(r->opts.user, result, why);
}

static void
on_timeout(uv_timer_t *t)
{
    mg_http_client_req *r = t->data;
    finish_request(r, r->sent ? MG_HTTP_READ_TIMEOUT : MG_HTTP_NOT_SENT,
                   "silence");
}

/* ------------------------------------------------------------ callbacks */

static void
on_connected(mg_channel_callbacks *cb)
{
    mg_http_client_req *r = (mg_http_client_req *)cb;
    bool proceed =
        r->opts.on_connected == NULL || r->opts.on_connected(r->opts.user);
    if (r->ended) {
        return;
    }
    if (!proceed) {
        finish_request(r, MG_HTTP_NOT_SENT, "withdrawn");
        return;
    }
    r->sent = true;
    uv_timer_start(&r->timer, on_timeout, (uint64_t)r->opts.read_timeout_ms,
                   (uint64_t)r->opts.read_timeout_ms);
    /* the channel keeps a copy of what the socket doesn't take at once */
    mg_buf headers = r->header_section;
    mg_buf body = r->body;
    r->header_section = (mg_buf){0};
    r->body = (mg_buf){0};
    mg_channel_send(r->channel, mg_str_buf(&headers), mg_str_buf(&body),
                    r->is_head);
    mg_buf_free(&headers);
    mg_buf_free(&body);
}

static bool
has_header(const mg_h1_headers *h, const char *name)
{
    for (size_t i = 0; i < h->header_count; i++) {
        if (mg_h1_name_is(h->headers[i].name, name)) {
            return true;
        }
    }
    return false;
}

static mg_channel_action
on_headers(mg_channel_callbacks *cb, const mg_h1_headers *headers)
{
    mg_http_client_req *r = (mg_http_client_req *)cb;
    mg_h1_body body;
    mg_h1_body_init_response(&body, headers, r->is_head);
    r->until_close = body.framing == MG_H1_CLOSE_DELIMITED;
    uv_timer_again(&r->timer);
    r->opts.on_headers(r->opts.user, headers->status,
                       mg_h1_get(headers, "content-type"),
                       has_header(headers, "x-not-run"));
    return MG_CHANNEL_ACCEPT;
}

static void
on_data(mg_channel_callbacks *cb, mg_str data)
{
    mg_http_client_req *r = (mg_http_client_req *)cb;
    r->received += data.n;
    if (r->opts.body_max > 0 && r->received > r->opts.body_max) {
        mg_log(MG_EV_BAD_INPUT, "addr=%s what=body_too_long bytes=%zu",
               r->addr, r->received);
        mg_count(MG_C_BAD_INPUT, 1);
        finish_request(r, MG_HTTP_TRUNCATED, "body too long");
        return;
    }
    uv_timer_again(&r->timer);
    r->opts.on_data(r->opts.user, data);
}

static void
on_end(mg_channel_callbacks *cb, mg_channel_result result)
{
    mg_http_client_req *r = (mg_http_client_req *)cb;
    r->channel = NULL;
    switch (result) {
    case MG_CHANNEL_COMPLETE:
        /* a peer that is stopped closes its connections in the same way as
           one that has sent everything */
        finish_request(
            r, r->until_close ? MG_HTTP_TRUNCATED : MG_HTTP_COMPLETE, "end");
        break;
    case MG_CHANNEL_CONNECT_FAILED:
        finish_request(r, MG_HTTP_NOT_SENT, "connect");
        break;
    case MG_CHANNEL_TRUNCATED:
        finish_request(r, MG_HTTP_TRUNCATED, "connection lost");
        break;
    case MG_CHANNEL_MALFORMED:
        finish_request(r, MG_HTTP_TRUNCATED, "malformed");
        break;
    }
}

/* -------------------------------------------------------------- request */

static void
connect_channel(mg_http_client_req *r, const struct sockaddr_in *addr)
{
    r->channel = mg_channel_new(
        &(mg_channel_options){
            .loop = r->opts.loop,
            .addr = *addr,
            /* a peer that reads nothing is silent, not lost */
            .peer_timeout_ms = r->opts.read_timeout_ms,
        },
        &r->callbacks);
}

static void
on_resolved(uv_getaddrinfo_t *req, int status, struct addrinfo *res)
{
    mg_http_client_req *r = req->data;
    r->resolving = false;
    if (r->ended) {
        free_unused(r);
    }
    else if (status != 0) {
        finish_request(r, MG_HTTP_NOT_SENT, "address not found");
    }
    else {
        connect_channel(r, (const struct sockaddr_in *)res->ai_addr);
    }
    uv_freeaddrinfo(res);
}

/* Looks a host name up; false if the address is none. */
static bool
resolve_name(mg_http_client_req *r, const char *addr)
{
    char host[MG_TEXT_SIZE];
    struct addrinfo hints = {.ai_family = AF_INET, .ai_socktype = SOCK_STREAM};
    const char *colon = strrchr(addr, ':');
    if (colon == NULL || colon == addr) {
        return false;
    }
    mg_str_copy(host, sizeof(host), (mg_str){addr, (size_t)(colon - addr)});
    r->resolve.data = r;
    r->resolving = uv_getaddrinfo(r->opts.loop, &r->resolve, on_resolved, host,
                                  colon + 1, &hints) == 0;
    return r->resolving;
}

static void
put_header_section(mg_http_client_req *r)
{
    const mg_http_client_req_options *o = &r->opts;
    mg_buf_printf(&r->header_section,
                  "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %zu\r\n"
                  "%s\r\n",
                  o->method, o->path, o->addr, o->body.n,
                  o->extra_headers ? o->extra_headers : "");
}

mg_http_client_req *
mg_http_client_req_new(const mg_http_client_req_options *o)
{
    mg_http_client_req *r = mg_alloc(sizeof(*r));
    struct sockaddr_in addr;
    r->callbacks =
        (mg_channel_callbacks){on_connected, on_headers, on_data, on_end};
    r->opts = *o;
    r->is_head = strcmp(o->method, "HEAD") == 0;
    mg_str_copy(r->addr, sizeof(r->addr), mg_str_of(o->addr));
    put_header_section(r);
    mg_buf_put(&r->body, o->body.p, o->body.n);
    uv_timer_init(o->loop, &r->timer);
    r->timer.data = r;
    uv_timer_start(&r->timer, on_timeout, (uint64_t)o->connect_timeout_ms, 0);
    if (mg_addr_parse(o->addr, &addr) == MG_OK) {
        connect_channel(r, &addr);
    }
    else if (!resolve_name(r, o->addr)) {
        finish_request(r, MG_HTTP_NOT_SENT, "address not valid");
        return NULL;
    }
    return r;
}

void
mg_http_client_req_cancel(mg_http_client_req *r)
{
    if (!r->ended) {
        release_request(r);
    }
}
