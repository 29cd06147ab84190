/*
 * http_server_int - what the parts of the HTTP server share
 *
 * http_server.c: connections, from accept to close; http_response.c: what a
 * request handler reads of its request, and how it responds.
 */
#ifndef MG_HTTP_SERVER_INT_H
#define MG_HTTP_SERVER_INT_H

#include "base/list.h"
#include "wire/h1.h"
#include "wire/http.h"

typedef enum mg_http_conn_state {
    MG_HTTP_CONN_HEADERS, /* waits for or receives a header section */
    MG_HTTP_CONN_BODY,    /* receives the body */
    MG_HTTP_CONN_BUSY,    /* the handler has not completed the response */
    MG_HTTP_CONN_LINGER, /* sending side is shut down, the peer has to close */
    MG_HTTP_CONN_CLOSING, /* uv_close() was called */
} mg_http_conn_state;

typedef struct mg_http_conn mg_http_conn;

struct mg_http_req {
    mg_http_conn *conn;
    mg_h1_headers headers;
    char *header_bytes;
    mg_buf body;
    bool response_started;
    bool chunked;
    void (*on_disconnect)(void *user);
    void *user;
};

struct mg_http_conn {
    struct list_head link; /* in mg_http_server.conns */
    /* in mg_http_server.pending_flush while there is output to write */
    struct list_head pending_flush;
    /* in mg_http_server.pending_input while "in" may hold a pipelined request
     */
    struct list_head pending_input;
    uv_tcp_t tcp;
    mg_http_server *server;
    mg_http_conn_state state;
    /* sweep_conn() measures the timeout of the current state from this time */
    int64_t timeout_start_ms;
    mg_buf in;
    size_t header_bytes_seen;
    mg_buf out;
    size_t unsent_bytes; /* passed to uv_write(), not yet written */
    mg_h1_body body;
    mg_http_req *req;
    uint64_t served;
    bool close_after_response;
    bool waits_for_client; /* to read responses, before its next request */
    bool input_ended;      /* the client sends no more */
    bool output_ended;     /* the kernel has all responses, and the FIN */
    bool reading_stopped;  /* until the input has been worked off */
};

struct mg_http_server {
    mg_http_options opts;
    uv_tcp_t listener;
    uv_timer_t sweep;
    uv_prepare_t prepare;
    uv_idle_t idle; /* active while pending_input is not empty */
    struct list_head conns;
    struct list_head pending_flush;
    struct list_head pending_input;
    size_t open_requests;
    size_t body_bytes; /* of all requests */
    size_t conn_count;
    bool draining;
};

/* The response is complete: proceeds to the next request. */
void
mg_http_conn_finish(mg_http_conn *c);
/* Closes the connection in the middle of a response; what the socket takes at
   once of its output is still sent. */
void
mg_http_conn_abort(mg_http_conn *c);
/* Has the output written at the end of this event loop iteration. */
void
mg_http_conn_flush(mg_http_conn *c);
#endif
