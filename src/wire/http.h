/*
 * http - HTTP/1.1 server and client on libuv
 *
 * Server (http_server.c, heads by the parser of libh2o): a request's handler
 * answers at once or later, with mg_http_reply(), or with mg_http_start(),
 * mg_http_write() and mg_http_finish(). An answer that was started and can't
 * be finished is ended by mg_http_abort(): the connection closes without the
 * closing chunk, so that no caller takes a part for the whole. on_gone comes
 * at most once, when the connection is lost before the answer's end; after it,
 * and after the last byte, the request must not be used.
 *
 * Client: one connection for each call, never reused, so that a failure to
 * connect proves that the peer has not seen the request.
 */
#ifndef MG_HTTP_H
#define MG_HTTP_H

#include <stdbool.h>

#include <uv.h>

#include "base/bytes.h"
#include "base/outcome.h"
#include "wire/h1.h"

#define MG_HTTP_HEADER_BYTES_MAX 65536
#define MG_HTTP_HEADER_TIMEOUT_MS 10000
#define MG_HTTP_IDLE_TIMEOUT_MS 60000

/* of what a caller may send; 0 keeps the default */
typedef struct mg_http_limits {
    size_t header_bytes_max; /* bytes */
    size_t body_max;
    int64_t header_timeout_ms; /* from the first byte of a head to its end */
    int64_t idle_timeout_ms;   /* between requests, or bytes of a body */
} mg_http_limits;

typedef struct mg_http_server mg_http_server;
typedef struct mg_http_req mg_http_req;

typedef struct mg_http_options {
    uv_loop_t *loop;
    const char *listen_addr;
    mg_http_limits limits;
    void (*on_request)(void *user, mg_http_req *req);
    void *user;
} mg_http_options;

mg_rc
mg_http_open(mg_http_server **out, const mg_http_options *opts, mg_error *err);
/* Stops listening; open connections go on. */
void
mg_http_stop_listening(mg_http_server *s);
/* New limits for heads and bodies that are read from now on. */
void
mg_http_set_limits(mg_http_server *s, const mg_http_limits *limits);
/* Answers from now on ask the callers to close their connections. */
void
mg_http_drain(mg_http_server *s);
size_t
mg_http_open_requests(const mg_http_server *s);

mg_str
mg_http_method(const mg_http_req *r);
mg_str
mg_http_path(const mg_http_req *r);
/* behind the '?', empty when there is none */
mg_str
mg_http_query(const mg_http_req *r);
const mg_h1_headers *
mg_http_headers(const mg_http_req *r);
mg_str
mg_http_body(const mg_http_req *r);
/* name in lower case; an empty string when the header is missing */
mg_str
mg_http_header(const mg_http_req *r, const char *name);
void
mg_http_on_disconnect(mg_http_req *r, void (*f)(void *user), void *user);

/* extra: lines "name: value\n", may be NULL */
void
mg_http_reply(mg_http_req *r, int status, const char *type, const char *extra,
              mg_str body);
void
mg_http_start(mg_http_req *r, int status, const char *type, const char *extra);
/* An answer whose body has that many bytes; type may be NULL. */
void
mg_http_start_sized(mg_http_req *r, int status, const char *type,
                    const char *extra, uint64_t length);
/* An answer whose body ends with the connection. */
void
mg_http_start_close_delimited(mg_http_req *r, int status, const char *type,
                              const char *extra);
void
mg_http_write(mg_http_req *r, mg_str data);
void
mg_http_finish(mg_http_req *r);
void
mg_http_abort(mg_http_req *r);
/* bytes written and not yet taken by the connection */
size_t
mg_http_unsent(const mg_http_req *r);

typedef struct mg_http_client_req mg_http_client_req;

typedef enum mg_http_result {
    MG_HTTP_COMPLETE,      /* the answer came to its framed end */
    MG_HTTP_NOT_SENT,      /* no connection: the peer has seen nothing */
    MG_HTTP_TRUNCATED,     /* ended early, or without framing */
    MG_HTTP_NO_LAST_CHUNK, /* the peer closed between two chunks: whole only if
                       its contents prove it */
    MG_HTTP_READ_TIMEOUT,  /* no byte for the allowed time */
} mg_http_result;

typedef struct mg_http_client_req_options {
    uv_loop_t *loop;
    const char *addr;
    const char *method;
    const char *path;
    const char
        *extra_headers; /* header lines "name: value\r\n", may be NULL */
    mg_str body;        /* copied */
    int64_t connect_timeout_ms;
    int64_t read_timeout_ms;
    /* about to write: false withdraws the call, nothing is sent */
    bool (*on_connected)(void *user);
    /* not_run: the peer says so itself, with the header x-not-run */
    void (*on_headers)(void *user, int status, mg_str type, bool not_run);
    void (*on_data)(void *user, mg_str data);
    /* once, last; the call is freed after it */
    void (*on_end)(void *user, mg_http_result end, const char *why);
    void *user;
} mg_http_client_req_options;

/* NULL when the call ended at once; on_end was called then. */
mg_http_client_req *
mg_http_client_req_new(const mg_http_client_req_options *opts);
/* Ends the call without on_end. */
void
mg_http_client_req_cancel(mg_http_client_req *c);

#endif
