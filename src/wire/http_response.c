#include "wire/http_server_int.h"

#include <string.h>

#include "wire/sock.h"

mg_str
mg_http_method(const mg_http_req *r)
{
    return r->headers.method;
}

mg_str
mg_http_path(const mg_http_req *r)
{
    mg_str query;
    return mg_str_split(r->headers.target, '?', &query);
}

mg_str
mg_http_query(const mg_http_req *r)
{
    mg_str query;
    mg_str_split(r->headers.target, '?', &query);
    return query;
}

mg_str
mg_http_body(const mg_http_req *r)
{
    return mg_str_buf(&r->body);
}

mg_str
mg_http_header(const mg_http_req *r, const char *name)
{
    return mg_h1_get(&r->headers, name);
}

const mg_h1_headers *
mg_http_headers(const mg_http_req *r)
{
    return &r->headers;
}

void
mg_http_on_disconnect(mg_http_req *r, void (*f)(void *user), void *user)
{
    r->on_disconnect = f;
    r->user = user;
}

static void
put_extra_headers(mg_buf *out, const char *extra)
{
    mg_str rest = mg_str_of(extra);
    while (rest.n > 0) {
        mg_str line = mg_str_split(rest, '\n', &rest);
        mg_buf_put(out, line.p, line.n);
        mg_buf_put(out, "\r\n", 2);
    }
}

static void
put_headers(mg_http_req *r, int status, const char *type, const char *extra)
{
    mg_http_conn *c = r->conn;
    MG_INVARIANT(!r->response_started);
    r->response_started = true;
    c->close_after_response = c->close_after_response || c->server->draining;
    mg_buf_printf(&c->out, "HTTP/1.1 %d %s\r\n", status, mg_h1_reason(status));
    if (type != NULL) {
        mg_buf_printf(&c->out, "content-type: %s\r\n", type);
    }
    put_extra_headers(&c->out, extra);
    if (c->close_after_response) {
        mg_buf_printf(&c->out, "connection: close\r\n");
    }
    mg_http_conn_flush(c);
}

void
mg_http_start_sized(mg_http_req *r, int status, const char *type,
                    const char *extra, uint64_t length)
{
    put_headers(r, status, type, extra);
    mg_buf_printf(&r->conn->out, "content-length: %llu\r\n\r\n",
                  (unsigned long long)length);
}

void
mg_http_start_close_delimited(mg_http_req *r, int status, const char *type,
                              const char *extra)
{
    r->conn->close_after_response = true;
    /* the body must not look complete before it is */
    mg_sock_reset_on_close(&r->conn->tcp, true);
    put_headers(r, status, type, extra);
    mg_buf_put(&r->conn->out, "\r\n", 2);
}

void
mg_http_start(mg_http_req *r, int status, const char *type, const char *extra)
{
    if (r->headers.minor_version == 0) {
        mg_http_start_close_delimited(r, status, type, extra);
        return;
    }
    put_headers(r, status, type, extra);
    r->chunked = true;
    mg_buf_printf(&r->conn->out, "transfer-encoding: chunked\r\n\r\n");
}

void
mg_http_write(mg_http_req *r, mg_str data)
{
    mg_http_conn *c = r->conn;
    if (data.n == 0) {
        return;
    }
    if (r->chunked) {
        mg_buf_printf(&c->out, "%zx\r\n", data.n);
    }
    mg_buf_put(&c->out, data.p, data.n);
    if (r->chunked) {
        mg_buf_put(&c->out, "\r\n", 2);
    }
    mg_http_conn_flush(c);
}

bool
mg_http_is_chunked(const mg_http_req *r)
{
    return r->chunked;
}

void
mg_http_finish(mg_http_req *r)
{
    if (r->chunked) {
        mg_buf_put(&r->conn->out, "0\r\n\r\n", 5);
    }
    mg_http_conn_finish(r->conn);
}

void
mg_http_reply(mg_http_req *r, int status, const char *type, const char *extra,
              mg_str body)
{
    mg_http_start_sized(r, status, type, extra, body.n);
    if (!mg_str_is(r->headers.method, "HEAD")) {
        mg_buf_put(&r->conn->out, body.p, body.n);
    }
    mg_http_conn_finish(r->conn);
}

void
mg_http_reply_head(mg_http_req *r, int status, const char *extra)
{
    put_headers(r, status, NULL, extra);
    mg_buf_put(&r->conn->out, "\r\n", 2);
    mg_http_conn_finish(r->conn);
}

void
mg_http_abort(mg_http_req *r)
{
    r->on_disconnect = NULL;
    mg_http_conn_abort(r->conn);
}

size_t
mg_http_unsent(const mg_http_req *r)
{
    return r->conn->out.n + r->conn->unsent_bytes;
}
