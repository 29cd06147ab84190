#include "wire/channel.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/addr.h"
#include "base/counter.h"
#include "base/event.h"
#include "wire/scratch.h"
#include "wire/sock.h"

#define HEADER_BYTES_MAX 32768
/* interim responses (1xx) to one request before the final one */
#define INTERIM_RESPONSES_MAX 16
/* what is discarded for the sake of one request: responses that belong to
   other requests, and bytes of their bodies; as large as a held response */
#define SKIPPED_RESPONSES_MAX 16
#define SKIPPED_BYTES_MAX (8u << 20)
#define STATUS_SWITCHING_PROTOCOLS 101
/* how often a socket is asked whether the peer has acknowledged the request */
#define ACK_INTERVAL_MS 5

typedef enum channel_state {
    CHANNEL_CONNECTING,
    CHANNEL_OPEN,    /* connected, no request written yet */
    CHANNEL_HEADERS, /* waits for the header section of a response */
    CHANNEL_BODY,    /* receives the body of a response */
    CHANNEL_ENDED,   /* the peer has ended a close-delimited body, but not yet
                        acknowledged the whole request */
    CHANNEL_IDLE,
    CHANNEL_CLOSING,
} channel_state;

struct mg_channel {
    struct list_head link;
    uv_tcp_t tcp;
    uv_connect_t connect;
    mg_channel_options opts;
    channel_state state;
    mg_channel_callbacks *callbacks;
    mg_buf in;
    size_t header_bytes_seen;
    unsigned interim_count; /* interim responses to the current request */
    unsigned skipped_count; /* responses skipped for the current request */
    size_t skipped_bytes;   /* of their bodies */
    mg_h1_body body;
    bool is_head;
    bool skipping; /* the response being received is discarded */
    bool response_started;
    bool connect_failed; /* uv_tcp_connect() failed; on_closed() reports it */
    bool keep_alive;     /* the connection stays open after this response */
    size_t unsent_bytes;
    uv_timer_t *ack_timer; /* in CHANNEL_ENDED */
    /* libuv error codes, 0: none so far */
    int read_error; /* UV_EOF: an orderly end, as far as libuv can tell */
    int write_error;
    int socket_error; /* what the socket itself reports at its end */
    int64_t idle_since_ms;
    int64_t keep_alive_ms;
};

typedef struct channel_write {
    uv_write_t req;
    mg_buf buf;
    mg_channel *channel;
} channel_write;

static void
tell_owner_closed(mg_channel *c)
{
    if (c->opts.on_closed != NULL) {
        c->opts.on_closed(c->opts.owner, c);
    }
}

static void
on_closed(uv_handle_t *h)
{
    mg_channel *c = h->data;
    if (c->connect_failed) {
        tell_owner_closed(c);
        if (c->callbacks != NULL) {
            c->callbacks->on_end(c->callbacks, MG_CHANNEL_CONNECT_FAILED);
        }
    }
    mg_buf_free(&c->in);
    free(c);
}

static void
free_timer(uv_handle_t *h)
{
    free(h);
}

static void
close_channel(mg_channel *c)
{
    if (c->state == CHANNEL_CLOSING) {
        return;
    }
    c->state = CHANNEL_CLOSING;
    if (c->ack_timer != NULL) {
        uv_close((uv_handle_t *)c->ack_timer, free_timer);
        c->ack_timer = NULL;
    }
    uv_close((uv_handle_t *)&c->tcp, on_closed);
    tell_owner_closed(c);
}

static void
close_with_result(mg_channel *c, mg_channel_result result)
{
    mg_channel_callbacks *cb = c->callbacks;
    c->callbacks = NULL;
    close_channel(c);
    if (cb != NULL) {
        cb->on_end(cb, result);
    }
}

/* Ends the request; what: the malformed part of the response, size: bytes of
   it that have arrived. */
static void
close_malformed(mg_channel *c, const char *what, size_t size)
{
    char addr[MG_ADDR_SIZE];
    mg_addr_format(&c->opts.addr, addr);
    mg_log(MG_EV_BAD_INPUT, "addr=%s what=%s bytes=%zu", addr, what, size);
    mg_count(MG_C_BAD_INPUT, 1);
    close_with_result(c, MG_CHANNEL_MALFORMED);
}

static void
finish_request(mg_channel *c)
{
    mg_channel_callbacks *cb = c->callbacks;
    /* not reusable if bytes follow the response or part of the request is
       unsent */
    bool reusable = c->opts.on_idle != NULL && c->keep_alive && c->in.n == 0 &&
                    c->unsent_bytes == 0 && c->write_error == 0;
    c->callbacks = NULL;
    if (reusable) {
        c->state = CHANNEL_IDLE;
        c->idle_since_ms = (int64_t)uv_now(c->opts.loop);
        c->opts.on_idle(c->opts.owner, c);
    }
    else {
        close_channel(c);
    }
    cb->on_end(cb, MG_CHANNEL_COMPLETE);
}

/* the response has been received to its end */
static void
finish_response(mg_channel *c)
{
    if (!c->skipping) {
        finish_request(c);
        return;
    }
    c->skipping = false;
    c->state = CHANNEL_HEADERS;
    c->header_bytes_seen = 0;
    if (!c->keep_alive) {
        close_with_result(c, MG_CHANNEL_TRUNCATED);
    }
}

/* Closes the channel if too much has been skipped. */
static void
count_skipped(mg_channel *c, size_t bytes)
{
    c->skipped_bytes += bytes;
    if (c->skipped_bytes > SKIPPED_BYTES_MAX ||
        c->skipped_count > SKIPPED_RESPONSES_MAX) {
        close_malformed(c, "other_responses", c->skipped_bytes);
    }
}

static void
decode_body(mg_channel *c)
{
    mg_str data;
    mg_str rest;
    mg_buf in = c->in;
    c->in = (mg_buf){0};
    mg_rc rc = mg_h1_body_decode(&c->body, in.p, in.n, &data, &rest);
    if (rc == MG_E_INPUT) {
        close_malformed(c, "chunks", in.n);
        mg_buf_free(&in);
        return;
    }
    mg_buf_put(&c->in, rest.p, rest.n);
    if (c->skipping) {
        count_skipped(c, data.n);
    }
    else if (data.n > 0) {
        c->callbacks->on_data(c->callbacks, data);
    }
    mg_buf_free(&in);
    /* the channel may have been closed */
    if (rc == MG_OK && c->state == CHANNEL_BODY) {
        finish_response(c);
    }
}

/* Skips an interim response; false if the channel is closed for their number
   or more bytes are needed. */
static bool
skip_interim(mg_channel *c, size_t size)
{
    if (++c->interim_count > INTERIM_RESPONSES_MAX) {
        close_malformed(c, "interim_responses", c->in.n);
        return false;
    }
    mg_buf_skip(&c->in, size);
    c->header_bytes_seen = 0;
    return c->in.n > 0;
}

/* Whether process_input() can go on: a header section is complete. */
static bool
parse_headers(mg_channel *c)
{
    mg_h1_headers headers;
    mg_rc rc = mg_h1_parse_response(mg_str_buf(&c->in), c->header_bytes_seen,
                                    &headers);
    c->header_bytes_seen = c->in.n;
    if (rc == MG_E_IN_PROGRESS && c->in.n <= HEADER_BYTES_MAX) {
        return false;
    }
    if (rc != MG_OK || headers.size > HEADER_BYTES_MAX) {
        close_malformed(c, "head", c->in.n);
        return false;
    }
    if (headers.status == STATUS_SWITCHING_PROTOCOLS) {
        /* no request asks for it, and what follows is not HTTP */
        close_malformed(c, "upgrade", headers.size);
        return false;
    }
    if (headers.status < 200) {
        return skip_interim(c, headers.size);
    }
    int keep_s = mg_h1_keep_alive_s(&headers);
    c->keep_alive = !headers.close;
    c->keep_alive_ms = keep_s < 0 ? -1 : (int64_t)keep_s * 1000;
    mg_h1_body_init_response(&c->body, &headers, c->is_head);
    c->state = CHANNEL_BODY;
    mg_channel_action action =
        c->callbacks->on_headers(c->callbacks, &headers);
    c->skipping = action == MG_CHANNEL_SKIP;
    if (c->state != CHANNEL_BODY) {
        return false;
    }
    if (action == MG_CHANNEL_REJECT) {
        close_malformed(c, "rejected", headers.size);
        return false;
    }
    c->skipped_count += c->skipping;
    mg_buf_skip(&c->in, headers.size);
    c->header_bytes_seen = 0;
    return true;
}

static void
process_input(mg_channel *c)
{
    for (;;) {
        while (c->state == CHANNEL_HEADERS && c->in.n > 0) {
            if (!parse_headers(c)) {
                return;
            }
        }
        if (c->state != CHANNEL_BODY) {
            return;
        }
        if (c->in.n == 0 && c->body.framing != MG_H1_NO_BODY) {
            return;
        }
        decode_body(c);
        if (c->state != CHANNEL_HEADERS) {
            return;
        }
    }
}

/* Whether the connection has ended by the peer's FIN, not by an error. The end
   of file alone doesn't tell: libuv reports it for a reset, too, that comes
   together with data, and so does the socket once a failed write has taken its
   error. */
static bool
has_orderly_end(const mg_channel *c)
{
    return c->read_error == UV_EOF && c->write_error == 0 &&
           c->socket_error == 0;
}

/* Completes a close-delimited response that the peer has ended, once the
   request is acknowledged: a peer that has closed resets when it gets more. */
static void
check_ended(mg_channel *c)
{
    if (c->socket_error == 0) {
        c->socket_error = mg_sock_take_error(&c->tcp);
    }
    if (!has_orderly_end(c)) {
        close_with_result(c, MG_CHANNEL_TRUNCATED);
    }
    else if (c->unsent_bytes == 0 && mg_sock_is_acknowledged(&c->tcp)) {
        close_with_result(c, MG_CHANNEL_COMPLETE);
    }
}

static void
on_ack_timer(uv_timer_t *t)
{
    check_ended(t->data);
}

static void
start_ack_timer(mg_channel *c)
{
    c->ack_timer = mg_alloc(sizeof(*c->ack_timer));
    uv_timer_init(c->opts.loop, c->ack_timer);
    c->ack_timer->data = c;
    uv_timer_start(c->ack_timer, on_ack_timer, ACK_INTERVAL_MS,
                   ACK_INTERVAL_MS);
}

/* the connection has ended, which may be the regular end of a body */
static void
on_eof(mg_channel *c)
{
    bool ends_body = c->state == CHANNEL_BODY && !c->skipping &&
                     c->body.framing == MG_H1_CLOSE_DELIMITED;
    if (!ends_body) {
        close_with_result(c, MG_CHANNEL_TRUNCATED);
        return;
    }
    c->state = CHANNEL_ENDED;
    check_ended(c);
    if (c->state == CHANNEL_ENDED) {
        start_ack_timer(c);
    }
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    mg_channel *c = s->data;
    if (n == 0 || c->state == CHANNEL_CLOSING) {
        return;
    }
    if (n < 0) {
        c->read_error = (int)n;
        c->socket_error = mg_sock_take_error(&c->tcp);
        on_eof(c);
        return;
    }
    if (c->callbacks == NULL || c->state == CHANNEL_OPEN) {
        /* unexpected bytes: no request is in flight */
        close_with_result(c, MG_CHANNEL_CONNECT_FAILED);
        return;
    }
    c->response_started = true;
    mg_buf_put(&c->in, buf->base, (size_t)n);
    process_input(c);
}

static void
set_peer_timeouts(mg_channel *c)
{
    uv_os_fd_t fd;
    unsigned ms = c->opts.peer_timeout_ms > 0
                      ? (unsigned)c->opts.peer_timeout_ms
                      : MG_CHANNEL_PEER_TIMEOUT_MS;
    if (uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0) {
        return;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    int on = 1;
    int one_s = 1;
    int probes = 2;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &one_s, sizeof(one_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &one_s, sizeof(one_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void
on_connected(uv_connect_t *req, int status)
{
    mg_channel *c = req->data;
    if (c->state == CHANNEL_CLOSING) {
        return;
    }
    if (status < 0) {
        close_with_result(c, MG_CHANNEL_CONNECT_FAILED);
        return;
    }
    c->state = CHANNEL_OPEN;
    uv_tcp_nodelay(&c->tcp, 1);
    set_peer_timeouts(c);
    uv_read_start((uv_stream_t *)&c->tcp, mg_scratch_alloc, on_read);
    c->callbacks->on_connected(c->callbacks);
}

mg_channel *
mg_channel_new(const mg_channel_options *opts, mg_channel_callbacks *cb)
{
    mg_channel *c = mg_alloc(sizeof(*c));
    c->opts = *opts;
    c->callbacks = cb;
    c->keep_alive_ms = -1;
    init_list_head(&c->link);
    uv_tcp_init(opts->loop, &c->tcp);
    c->tcp.data = c;
    c->connect.data = c;
    c->state = CHANNEL_CONNECTING;
    if (uv_tcp_connect(&c->connect, &c->tcp,
                       (const struct sockaddr *)&opts->addr,
                       on_connected) != 0) {
        c->connect_failed = true;
        c->state = CHANNEL_CLOSING;
        uv_close((uv_handle_t *)&c->tcp, on_closed);
    }
    return c;
}

void
mg_channel_reuse(mg_channel *c, mg_channel_callbacks *cb)
{
    MG_INVARIANT(c->state == CHANNEL_IDLE && c->callbacks == NULL);
    c->callbacks = cb;
    c->state = CHANNEL_OPEN;
    c->response_started = false;
}

static void
on_written(uv_write_t *req, int status)
{
    channel_write *w = (channel_write *)req;
    mg_channel *c = w->channel;
    c->unsent_bytes -= w->buf.n;
    c->write_error = status < 0 ? status : c->write_error;
    if (c->state == CHANNEL_ENDED) {
        check_ended(c);
    }
    else if (status < 0 && c->state != CHANNEL_CLOSING &&
             !c->response_started) {
        close_with_result(c, MG_CHANNEL_TRUNCATED);
    }
    mg_buf_free(&w->buf);
    free(w);
}

void
mg_channel_send(mg_channel *c, mg_str headers, mg_str body, bool is_head)
{
    MG_INVARIANT(c->state == CHANNEL_OPEN);
    c->state = CHANNEL_HEADERS;
    c->header_bytes_seen = 0;
    c->interim_count = 0;
    c->skipped_count = 0;
    c->skipped_bytes = 0;
    c->is_head = is_head;
    uv_buf_t b[2] = {
        uv_buf_init((char *)headers.p, (unsigned)headers.n),
        uv_buf_init((char *)body.p, (unsigned)body.n),
    };
    int n = uv_try_write((uv_stream_t *)&c->tcp, b, body.n > 0 ? 2 : 1);
    size_t sent = n > 0 ? (size_t)n : 0;
    if (n < 0 && n != UV_EAGAIN) {
        c->write_error = n;
        close_with_result(c, MG_CHANNEL_TRUNCATED);
        return;
    }
    if (sent == headers.n + body.n) {
        return;
    }
    channel_write *w = mg_alloc(sizeof(*w));
    w->channel = c;
    if (sent < headers.n) {
        mg_buf_put(&w->buf, headers.p + sent, headers.n - sent);
        sent = headers.n;
    }
    mg_buf_put(&w->buf, body.p + (sent - headers.n),
               body.n - (sent - headers.n));
    c->unsent_bytes += w->buf.n;
    uv_buf_t rest = uv_buf_init(w->buf.p, (unsigned)w->buf.n);
    if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &rest, 1, on_written) != 0) {
        mg_buf_free(&w->buf);
        free(w);
        close_with_result(c, MG_CHANNEL_TRUNCATED);
    }
}

void
mg_channel_close(mg_channel *c)
{
    c->callbacks = NULL;
    close_channel(c);
}

static const char *
error_name(int error)
{
    return error == 0 ? "none" : uv_err_name(error);
}

void
mg_channel_describe_end(const mg_channel *c, char out[MG_CHANNEL_END_SIZE])
{
    static const char *const framings[] = {
        [MG_H1_NO_BODY] = "none",
        [MG_H1_LENGTH] = "length",
        [MG_H1_CHUNKED] = "chunks",
        [MG_H1_CLOSE_DELIMITED] = "close",
    };
    snprintf(out, MG_CHANNEL_END_SIZE,
             "framing=%s read=%s write=%s socket=%s unsent=%zu",
             framings[c->body.framing], error_name(c->read_error),
             error_name(c->write_error), error_name(c->socket_error),
             c->unsent_bytes);
}

int64_t
mg_channel_idle_ms(const mg_channel *c)
{
    return (int64_t)uv_now(c->opts.loop) - c->idle_since_ms;
}

int64_t
mg_channel_keep_alive_ms(const mg_channel *c)
{
    return c->keep_alive_ms;
}

struct list_head *
mg_channel_list_node(mg_channel *c)
{
    return &c->link;
}

mg_channel *
mg_channel_from_list_node(struct list_head *el)
{
    return list_entry(el, mg_channel, link);
}
