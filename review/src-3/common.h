/*
 * common - what the stand-ins of the third review share: targets that send
 * heartbeats and serve requests, an operator and clients, all on loopback
 *
 * Each stand-in is one process with one event loop. It reads the addresses of
 * the nodes from its arguments and writes what was sent, answered and run to
 * standard output.
 */
#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/outcome.h"
#include "wire/http.h"

#define NODES_MAX 8
#define CONNECT_MS 500
#define READ_MS 4000

static uv_loop_t *loop;
static int64_t began_ms;
static const char *ips[NODES_MAX];
static size_t node_count;
static int control_port;
static int client_port;

static inline int64_t
now_ms(void)
{
    return mg_now(mg_system_clock()) - began_ms;
}

/* one line of the record, with the time since the start */
static inline void
record(const char *fmt, ...)
{
    va_list ap;
    printf("%7.3f ", (double)now_ms() / 1000);
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
    printf("\n");
    fflush(stdout);
}

/* ----------------------------------------------------------- HTTP calls */

typedef struct call call;
/* result: MG_HTTP_COMPLETE if the answer is whole; status 0: none came */
typedef void (*call_cb)(call *c, mg_http_result result);
struct call {
    int status;
    mg_buf body;
    char node[32];
    char id[32];
    int64_t sent_ms;
    call_cb done;
    void *user;
};

static inline void
call_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)type;
    (void)not_run;
    ((call *)user)->status = status;
}

static inline void
call_data(void *user, mg_str data)
{
    mg_buf_put(&((call *)user)->body, data.p, data.n);
}

static inline void
call_end(void *user, mg_http_result result, const char *why)
{
    call *c = user;
    (void)why;
    mg_buf_put(&c->body, "", 1);
    c->done(c, result);
    mg_buf_free(&c->body);
    free(c);
}

static inline void
send_call(const char *ip, int port, const char *method, const char *path,
          const char *extra, const char *body, const char *id, call_cb done,
          void *user)
{
    char addr[64];
    call *c = mg_alloc(sizeof(*c));
    snprintf(addr, sizeof(addr), "%s:%d", ip, port);
    snprintf(c->node, sizeof(c->node), "%s", ip);
    snprintf(c->id, sizeof(c->id), "%s", id);
    c->sent_ms = now_ms();
    c->done = done;
    c->user = user;
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = loop,
        .addr = addr,
        .method = method,
        .path = path,
        .extra_headers = extra,
        .body = mg_str_of(body),
        .connect_timeout_ms = CONNECT_MS,
        .read_timeout_ms = READ_MS,
        .on_headers = call_headers,
        .on_data = call_data,
        .on_end = call_end,
        .user = c,
    });
}

static inline void
read_arguments(int argc, char **argv)
{
    if (argc < 4) {
        fprintf(stderr, "usage: %s CONTROL-PORT CLIENT-PORT IP...\n", argv[0]);
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    loop = uv_default_loop();
    began_ms = mg_now(mg_system_clock());
    control_port = atoi(argv[1]);
    client_port = atoi(argv[2]);
    for (int i = 3; i < argc && node_count < NODES_MAX; i++) {
        ips[node_count++] = argv[i];
    }
}

#endif
