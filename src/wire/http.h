/*
 * http - HTTP/1.1 server and client on libuv
 *
 * Server (http_server.c, http_response.c): a request handler responds at once
 * or later, either by mg_http_reply() or by mg_http_start(), mg_http_write()
 * and mg_http_finish(). mg_http_abort() ends a response that can't be
 * completed: it closes the connection without the last chunk, so that the
 * client detects the truncation. The disconnect callback is called at most
 * once, when the connection is lost before the end of the response; a client
 * that ends its sending side then counts as gone, but gets whole what has
 * ended before. A request must not be used after this callback, nor after its
 * response was finished or aborted.
 *
 * Client (http_client.c): each request has a channel of its own
 * (wire/channel.h), which is never reused. A failure to connect therefore
 * proves that the peer has not received the request. A response is complete
 * when its length, its last chunk or its status says so, however the
 * connection ends afterwards. The channel closes a connection whose peer takes
 * or acknowledges nothing for some seconds, and bounds the header section.
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
#define MG_HTTP_BODIES_BYTES_MAX (16u << 20)
#define MG_HTTP_UNSENT_BYTES_MAX (16u << 20)
/* a connection with less than this is never affected by the limits for all */
#define MG_HTTP_BYTES_SMALL (64u << 10)

/* limits for clients; 0 selects the default */
typedef struct mg_http_limits {
    size_t header_bytes_max;
    size_t body_max; /* bytes; has no default, 0 keeps the former value */
    /* bytes of the bodies of all requests, at least body_max; a request whose
       body would exceed this is refused with 503 */
    size_t bodies_max;
    /* bytes of all ended responses that their clients have not taken; above
       this, the connection whose response ended first is closed */
    size_t unsent_max;
    int64_t header_timeout_ms; /* for receiving a header section */
    int64_t idle_timeout_ms;   /* between requests or reads of a body */
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
/* Stops listening; open connections remain open. */
void
mg_http_stop_listening(mg_http_server *s);
/* The new limits apply to everything received from now on. */
void
mg_http_set_limits(mg_http_server *s, const mg_http_limits *limits);
/* Responses started from now on carry "Connection: close". */
void
mg_http_drain(mg_http_server *s);
size_t
mg_http_open_requests(const mg_http_server *s);
/* Bytes of responses, ended ones included, that the sockets have not accepted
   yet: they are lost when the process ends. */
size_t
mg_http_unwritten(const mg_http_server *s);

mg_str
mg_http_method(const mg_http_req *r);
mg_str
mg_http_path(const mg_http_req *r);
/* the part after '?', empty if there is none */
mg_str
mg_http_query(const mg_http_req *r);
const mg_h1_headers *
mg_http_headers(const mg_http_req *r);
mg_str
mg_http_body(const mg_http_req *r);
/* Value of the first header with this name, empty if there is none. */
mg_str
mg_http_header(const mg_http_req *r, const char *name);
/* Sets the callback for a connection lost before the response's end. */
void
mg_http_on_disconnect(mg_http_req *r, void (*f)(void *user), void *user);

/* Sends a whole response; extra: lines "name: value\n", may be NULL. */
void
mg_http_reply(mg_http_req *r, int status, const char *type, const char *extra,
              mg_str body);
/* Sends a whole response that has no body: to a HEAD request, or with status
   204 or 304; extra: with its Content-Length, if it has one. */
void
mg_http_reply_head(mg_http_req *r, int status, const char *extra);
/* Starts a response in chunks (HTTP/1.0: delimited by connection close). */
void
mg_http_start(mg_http_req *r, int status, const char *type, const char *extra);
/* Starts a response with a body of length bytes; type may be NULL. */
void
mg_http_start_sized(mg_http_req *r, int status, const char *type,
                    const char *extra, uint64_t length);
/* Starts a response whose body is delimited by connection close. If the
   response is aborted or the process ends before, the connection is reset. */
void
mg_http_start_close_delimited(mg_http_req *r, int status, const char *type,
                              const char *extra);
void
mg_http_write(mg_http_req *r, mg_str data);
/* Whether the response, which has started, is sent in chunks, so that its
   client sees whether it is complete. */
bool
mg_http_is_chunked(const mg_http_req *r);
void
mg_http_finish(mg_http_req *r);
void
mg_http_abort(mg_http_req *r);
/* Number of output bytes of the connection that its socket has not accepted
   yet. */
size_t
mg_http_unsent(const mg_http_req *r);

typedef struct mg_http_client_req mg_http_client_req;

typedef enum mg_http_result {
    MG_HTTP_COMPLETE,     /* the response was received to its end */
    MG_HTTP_NOT_SENT,     /* the peer has received nothing */
    MG_HTTP_TRUNCATED,    /* ended early, malformed, too long, or delimited
                             only by the end of the connection */
    MG_HTTP_READ_TIMEOUT, /* silence of read_timeout_ms */
} mg_http_result;

typedef struct mg_http_client_req_options {
    uv_loop_t *loop;
    const char *addr; /* IP:PORT, or NAME:PORT, which is looked up */
    const char *method;
    const char *path;
    const char *extra_headers; /* lines "name: value\r\n", may be NULL */
    mg_str body;               /* copied */
    size_t body_max; /* a longer response is truncated; 0: no limit */
    int64_t connect_timeout_ms;
    /* the longest time without a header section or a part of the body */
    int64_t read_timeout_ms;
    /* called before the request is written; if it returns false, the request
       ends with MG_HTTP_NOT_SENT */
    bool (*on_connected)(void *user);
    /* not_run: the response has the header x-not-run */
    void (*on_headers)(void *user, int status, mg_str type, bool not_run);
    void (*on_data)(void *user, mg_str data);
    /* the final callback, called once; the request is freed when the callback
       returns */
    void (*on_end)(void *user, mg_http_result result, const char *why);
    void *user;
} mg_http_client_req_options;

/* NULL if the request failed at once; on_end was called in this case. */
mg_http_client_req *
mg_http_client_req_new(const mg_http_client_req_options *opts);
/* Cancels the request; on_end is not called. */
void
mg_http_client_req_cancel(mg_http_client_req *r);

#endif
