#include "wire/channel.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "wire/scratch.h"

#define HEAD_MAX 32768
/* an unanswered segment or probe ends the connection after about this, ms */
#define PEER_SILENT_MS 2500

typedef enum channel_state {
    CHANNEL_CONNECTING,
    CHANNEL_OPEN, /* connected, no request written yet */
    CHANNEL_HEAD, /* waits for an answer's head */
    CHANNEL_BODY, /* reads an answer's body */
    CHANNEL_IDLE,
    CHANNEL_CLOSING,
} channel_state;

struct mg_channel {
    struct list_head link;
    uv_tcp_t tcp;
    uv_connect_t connect;
    mg_channel_options opts;
    channel_state state;
    mg_channel_callbacks *user;
    mg_buf in;
    size_t head_seen;
    mg_h1_body body;
    bool to_head;
    bool skipping; /* the answer being read is another request's */
    bool answered;
    bool never_began; /* connect() itself failed: told when it is closed */
    bool keep;        /* the peer keeps the connection after this answer */
    size_t unsent;
    int64_t idle_since;
    int64_t keep_ms;
};

typedef struct channel_write {
    uv_write_t req;
    mg_buf buf;
    mg_channel *channel;
} channel_write;

static void
on_closed(uv_handle_t *h)
{
    mg_channel *c = h->data;
    if (c->never_began) {
        c->opts.on_closed(c->opts.owner, c);
        if (c->user != NULL) {
            c->user->on_end(c->user, MG_CHANNEL_CONNECT_FAILED);
        }
    }
    mg_buf_free(&c->in);
    free(c);
}

static void
shut(mg_channel *c)
{
    if (c->state == CHANNEL_CLOSING) {
        return;
    }
    c->state = CHANNEL_CLOSING;
    uv_close((uv_handle_t *)&c->tcp, on_closed);
    c->opts.on_closed(c->opts.owner, c);
}

static void
end_with(mg_channel *c, mg_channel_result end)
{
    mg_channel_callbacks *u = c->user;
    c->user = NULL;
    shut(c);
    if (u != NULL) {
        u->on_end(u, end);
    }
}

static void
end_whole(mg_channel *c)
{
    mg_channel_callbacks *u = c->user;
    /* bytes behind the answer, or a request not yet read: not reusable */
    bool reusable = c->keep && c->in.n == 0 && c->unsent == 0;
    c->user = NULL;
    if (reusable) {
        c->state = CHANNEL_IDLE;
        c->idle_since = (int64_t)uv_now(c->opts.loop);
        c->opts.on_idle(c->opts.owner, c);
    }
    else {
        shut(c);
    }
    u->on_end(u, MG_CHANNEL_COMPLETE);
}

/* the answer in hand has ended */
static void
finish_answer(mg_channel *c)
{
    if (!c->skipping) {
        end_whole(c);
        return;
    }
    c->skipping = false;
    c->state = CHANNEL_HEAD;
    c->head_seen = 0;
    if (!c->keep) {
        end_with(c, MG_CHANNEL_TRUNCATED);
    }
}

static void
take_body(mg_channel *c)
{
    mg_str data;
    mg_str rest;
    mg_buf in = c->in;
    c->in = (mg_buf){0};
    mg_rc rc = mg_h1_body_decode(&c->body, in.p, in.n, &data, &rest);
    mg_buf_put(&c->in, rest.p, rest.n);
    if (rc == MG_E_INPUT) {
        mg_buf_free(&in);
        end_with(c, MG_CHANNEL_MALFORMED);
        return;
    }
    if (data.n > 0 && !c->skipping) {
        c->user->on_data(c->user, data);
    }
    mg_buf_free(&in);
    /* the user may have closed the channel */
    if (rc == MG_OK && c->state == CHANNEL_BODY) {
        finish_answer(c);
    }
}

static bool
take_head(mg_channel *c)
{
    mg_h1_headers head;
    mg_rc rc = mg_h1_parse_response(mg_str_buf(&c->in), c->head_seen, &head);
    c->head_seen = c->in.n;
    if (rc == MG_E_IN_PROGRESS && c->in.n <= HEAD_MAX) {
        return false;
    }
    if (rc != MG_OK) {
        end_with(c, MG_CHANNEL_MALFORMED);
        return false;
    }
    if (head.status < 200) {
        mg_buf_skip(&c->in, head.size);
        c->head_seen = 0;
        return c->in.n > 0;
    }
    int keep_s = mg_h1_keep_alive_s(&head);
    c->keep = !head.close;
    c->keep_ms = keep_s < 0 ? -1 : (int64_t)keep_s * 1000;
    mg_h1_body_init_response(&c->body, &head, c->to_head);
    c->state = CHANNEL_BODY;
    c->skipping = c->user->on_headers(c->user, &head) == MG_CHANNEL_SKIP;
    if (c->state != CHANNEL_BODY) {
        return false;
    }
    mg_buf_skip(&c->in, head.size);
    c->head_seen = 0;
    return true;
}

static void
take_input(mg_channel *c)
{
    for (;;) {
        if (c->state == CHANNEL_HEAD && c->in.n > 0) {
            if (!take_head(c)) {
                return;
            }
        }
        if (c->state != CHANNEL_BODY) {
            return;
        }
        if (c->in.n == 0 && c->body.framing != MG_H1_NO_BODY) {
            return;
        }
        take_body(c);
        if (c->state != CHANNEL_HEAD) {
            return;
        }
    }
}

/* the peer has closed: that ends a body without other framing */
static void
on_eof(mg_channel *c, bool orderly)
{
    bool ends_body = c->state == CHANNEL_BODY && orderly && !c->skipping &&
                     c->body.framing == MG_H1_CLOSE_DELIMITED;
    if (ends_body) {
        end_with(c, MG_CHANNEL_COMPLETE);
    }
    else {
        end_with(c, MG_CHANNEL_TRUNCATED);
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
        on_eof(c, n == UV_EOF);
        return;
    }
    if (c->user == NULL || c->state == CHANNEL_OPEN) {
        /* nobody waits for these bytes */
        end_with(c, MG_CHANNEL_CONNECT_FAILED);
        return;
    }
    c->answered = true;
    mg_buf_put(&c->in, buf->base, (size_t)n);
    take_input(c);
}

static void
set_peer_timeouts(mg_channel *c)
{
    uv_os_fd_t fd;
    unsigned ms = PEER_SILENT_MS;
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
        end_with(c, MG_CHANNEL_CONNECT_FAILED);
        return;
    }
    c->state = CHANNEL_OPEN;
    uv_tcp_nodelay(&c->tcp, 1);
    set_peer_timeouts(c);
    uv_read_start((uv_stream_t *)&c->tcp, mg_scratch_alloc, on_read);
    c->user->on_connected(c->user);
}

mg_channel *
mg_channel_new(const mg_channel_options *opts, mg_channel_callbacks *u)
{
    mg_channel *c = mg_alloc(sizeof(*c));
    c->opts = *opts;
    c->user = u;
    c->keep_ms = -1;
    init_list_head(&c->link);
    uv_tcp_init(opts->loop, &c->tcp);
    c->tcp.data = c;
    c->connect.data = c;
    c->state = CHANNEL_CONNECTING;
    if (uv_tcp_connect(&c->connect, &c->tcp,
                       (const struct sockaddr *)&opts->addr,
                       on_connected) != 0) {
        c->never_began = true;
        c->state = CHANNEL_CLOSING;
        uv_close((uv_handle_t *)&c->tcp, on_closed);
    }
    return c;
}

void
mg_channel_reuse(mg_channel *c, mg_channel_callbacks *u)
{
    MG_INVARIANT(c->state == CHANNEL_IDLE && c->user == NULL);
    c->user = u;
    c->state = CHANNEL_OPEN;
    c->answered = false;
}

static void
on_written(uv_write_t *req, int status)
{
    channel_write *w = (channel_write *)req;
    mg_channel *c = w->channel;
    c->unsent -= w->buf.n;
    if (status < 0 && c->state != CHANNEL_CLOSING && !c->answered) {
        end_with(c, MG_CHANNEL_TRUNCATED);
    }
    mg_buf_free(&w->buf);
    free(w);
}

void
mg_channel_send(mg_channel *c, mg_str head, mg_str body, bool to_head)
{
    MG_INVARIANT(c->state == CHANNEL_OPEN);
    c->state = CHANNEL_HEAD;
    c->head_seen = 0;
    c->to_head = to_head;
    uv_buf_t b[2] = {
        uv_buf_init((char *)head.p, (unsigned)head.n),
        uv_buf_init((char *)body.p, (unsigned)body.n),
    };
    int n = uv_try_write((uv_stream_t *)&c->tcp, b, body.n > 0 ? 2 : 1);
    size_t sent = n > 0 ? (size_t)n : 0;
    if (n < 0 && n != UV_EAGAIN) {
        end_with(c, MG_CHANNEL_TRUNCATED);
        return;
    }
    if (sent == head.n + body.n) {
        return;
    }
    channel_write *w = mg_alloc(sizeof(*w));
    w->channel = c;
    if (sent < head.n) {
        mg_buf_put(&w->buf, head.p + sent, head.n - sent);
        sent = head.n;
    }
    mg_buf_put(&w->buf, body.p + (sent - head.n), body.n - (sent - head.n));
    c->unsent += w->buf.n;
    uv_buf_t rest = uv_buf_init(w->buf.p, (unsigned)w->buf.n);
    if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &rest, 1, on_written) != 0) {
        mg_buf_free(&w->buf);
        free(w);
        end_with(c, MG_CHANNEL_TRUNCATED);
    }
}

void
mg_channel_close(mg_channel *c)
{
    c->user = NULL;
    shut(c);
}

int64_t
mg_channel_idle_ms(const mg_channel *c)
{
    return (int64_t)uv_now(c->opts.loop) - c->idle_since;
}

int64_t
mg_channel_keep_alive_ms(const mg_channel *c)
{
    return c->keep_ms;
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
