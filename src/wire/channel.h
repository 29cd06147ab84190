/*
 * channel - a kept HTTP/1.1 connection to a target
 *
 * One request at a time. A channel tells apart what a caller of a request
 * that may not be repeated must know: whether anything was written, whether
 * an answer came whole to its framed end, and whether the connection may be
 * used again. Answers that belong to another request, and bytes that nobody
 * waits for, never reach a user.
 *
 * A channel owns its socket. After on_end it is idle or closing; a user that
 * was told on_end must not touch it again unless it is still open.
 */
#ifndef MG_CHANNEL_H
#define MG_CHANNEL_H

#include <uv.h>

#include "base/list.h"
#include "wire/h1.h"

typedef struct mg_channel mg_channel;

typedef enum mg_channel_result {
    MG_CHANNEL_COMPLETE,       /* the answer came to its framed end */
    MG_CHANNEL_CONNECT_FAILED, /* no connection: nothing was written */
    MG_CHANNEL_TRUNCATED, /* ended after the write, before the answer's end */
    MG_CHANNEL_MALFORMED, /* bytes that are no answer */
} mg_channel_result;

/* what to do with an answer whose head came */
typedef enum mg_channel_action {
    MG_CHANNEL_ACCEPT,
    MG_CHANNEL_SKIP, /* another request's: read over, then wait on */
} mg_channel_action;

/* calls of the user of a request, in this order */
typedef struct mg_channel_callbacks mg_channel_callbacks;
struct mg_channel_callbacks {
    /* connected; the request may be written with mg_channel_send() */
    void (*on_connected)(mg_channel_callbacks *u);
    mg_channel_action (*on_headers)(mg_channel_callbacks *u,
                                    const mg_h1_headers *head);
    void (*on_data)(mg_channel_callbacks *u, mg_str data);
    /* last; may follow any of the others at once */
    void (*on_end)(mg_channel_callbacks *u, mg_channel_result end);
};

typedef struct mg_channel_options {
    uv_loop_t *loop;
    struct sockaddr_in addr;
    /* the channel is no more; called once, also after mg_channel_close() */
    void (*on_closed)(void *owner, mg_channel *c);
    /* an answer has ended and the channel can take another request */
    void (*on_idle)(void *owner, mg_channel *c);
    void *owner;
} mg_channel_options;

/* Starts to connect for its first user. */
mg_channel *
mg_channel_new(const mg_channel_options *opts, mg_channel_callbacks *u);
/* Gives an idle channel to a user; on_open is not called. */
void
mg_channel_reuse(mg_channel *c, mg_channel_callbacks *u);
/* Writes a request; to_head: its method is HEAD. */
void
mg_channel_send(mg_channel *c, mg_str head, mg_str body, bool to_head);
/* Takes the user away without on_end and closes. */
void
mg_channel_close(mg_channel *c);
/* Milliseconds since the last answer, of an idle channel. */
int64_t
mg_channel_idle_ms(const mg_channel *c);
/* How long the peer keeps it when idle, ms; -1 when it does not say. */
int64_t
mg_channel_keep_alive_ms(const mg_channel *c);
/* Link for the owner's list of idle channels. */
struct list_head *
mg_channel_list_node(mg_channel *c);
mg_channel *
mg_channel_from_list_node(struct list_head *el);

#endif
