/*
 * fake-flood - a target that sends bytes until the caller closes
 *
 *     fake-flood ADDR [PATH]
 *
 * What it sends depends on PATH, or else on the first part of the request's
 * path:
 *   /head/    header lines without end
 *   /line/    one header line without end
 *   /interim/ interim responses (100) without end
 *   /body/    a chunked body without end
 *   /close/   a body that only the end of the connection would end
 *   /length/  a body with a length that it never reaches
 *   /line/    a chunk extension without end
 *   /trailer/ trailers without end
 *   /other/   responses to other requests without end
 *   /after/   a whole response, and others that nobody asked for without end
 *   /event/   a stream with one event without end
 *   /events/  a stream of events without end
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "base/addr.h"
#include "base/outcome.h"

#define BACKLOG 256
#define READ_BYTES 4096
#define BLOCK_BYTES 65536

struct flood {
    const char *path;
    const char *start; /* sent once */
    const char *block; /* repeated */
};

static const char *fixed_path; /* NULL: the request's path decides */

static const struct flood floods[] = {
    {"/head/", "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef\r\n"},
    {"/line/", "HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef"},
    {"/interim/", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"/body/", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10\r\n0123456789abcdef\r\n"},
    {"/close/", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
    {"/length/", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
     "0123456789abcdef"},
    {"/line/", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;",
     "0123456789abcdef"},
    {"/trailer/", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-Filler: 0123456789abcdef\r\n"},
    {"/other/", "",
     "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: other\r\n"
     "Content-Length: 2\r\n\r\nok"},
    {"/after/", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
    {"/event/",
     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "10\r\ndata: 012345678\n\r\n"},
    {"/events/",
     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "10\r\ndata: 01234567\n\n\r\n"},
};

struct conn {
    uv_tcp_t tcp;
    uv_write_t write;
    const struct flood *flood; /* NULL: no request yet */
    char in[READ_BYTES];
    char out[BLOCK_BYTES];
    size_t out_size;
};

static void
on_closed(uv_handle_t *h)
{
    free(h->data);
}

static void
close_conn(struct conn *c)
{
    if (!uv_is_closing((uv_handle_t *)&c->tcp)) {
        uv_close((uv_handle_t *)&c->tcp, on_closed);
    }
}

static void
on_written(uv_write_t *req, int status)
{
    struct conn *c = req->data;
    uv_buf_t b = uv_buf_init(c->out, (unsigned)c->out_size);
    if (status < 0 ||
        uv_write(req, (uv_stream_t *)&c->tcp, &b, 1, on_written) != 0) {
        close_conn(c);
    }
}

/* Fills the block with whole repetitions, and starts to send. */
static void
start_flood(struct conn *c, const struct flood *f)
{
    size_t n = strlen(f->block);
    c->flood = f;
    for (c->out_size = 0; c->out_size + n <= BLOCK_BYTES; c->out_size += n) {
        memcpy(c->out + c->out_size, f->block, n);
    }
    c->write.data = c;
    uv_buf_t b = uv_buf_init((char *)f->start, (unsigned)strlen(f->start));
    if (uv_write(&c->write, (uv_stream_t *)&c->tcp, &b, 1, on_written) != 0) {
        close_conn(c);
    }
}

static void
on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
    struct conn *c = h->data;
    (void)suggested;
    *b = uv_buf_init(c->in, sizeof(c->in) - 1);
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
    struct conn *c = s->data;
    (void)b;
    if (n < 0) {
        close_conn(c);
        return;
    }
    c->in[n] = '\0';
    const char *in = fixed_path != NULL ? fixed_path : c->in;
    for (size_t i = 0; i < sizeof(floods) / sizeof(floods[0]); i++) {
        if (c->flood == NULL && strstr(in, floods[i].path) != NULL) {
            start_flood(c, &floods[i]);
        }
    }
}

static void
on_accept(uv_stream_t *listener, int status)
{
    if (status < 0) {
        return;
    }
    struct conn *c = mg_alloc(sizeof(*c));
    c->tcp.data = c;
    uv_tcp_init(listener->loop, &c->tcp);
    if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
        close_conn(c);
        return;
    }
    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

int
main(int argc, char **argv)
{
    static uv_tcp_t listener;
    struct sockaddr_in addr;
    if (argc < 2 || argc > 3 || mg_addr_parse(argv[1], &addr) != MG_OK) {
        fprintf(stderr, "usage: fake-flood ADDR [PATH]\n");
        return 2;
    }
    fixed_path = argv[2];
    signal(SIGPIPE, SIG_IGN);
    uv_tcp_init(uv_default_loop(), &listener);
    uv_tcp_bind(&listener, (struct sockaddr *)&addr, 0);
    if (uv_listen((uv_stream_t *)&listener, BACKLOG, on_accept) != 0) {
        fprintf(stderr, "fake-flood: can't listen on %s\n", argv[1]);
        return 1;
    }
    return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
