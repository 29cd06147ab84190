/*
 * channel - a persistent HTTP/1.1 connection to a target
 *
 * A channel carries one request at a time. The result of a request shows
 * whether it may be retried even if it is not idempotent: it distinguishes a
 * request of which nothing was written, a complete response and a truncated
 * one. The user can skip a response that belongs to another request; bytes
 * that arrive while no response is expected close the channel. Interim
 * responses are skipped; 101 is malformed, as no request asks for an upgrade.
 * What is skipped for one request is limited, and so is a header section; the
 * user limits the body.
 *
 * A channel owns its socket. After on_end it is either idle or closing; its
 * former user must not use it unless it takes it over by mg_channel_reuse().
 */
#ifndef MG_CHANNEL_H
#define MG_CHANNEL_H

#include <uv.h>

#include "base/list.h"
#include "wire/h1.h"

/* the kernel closes a connection after about this time without an ACK */
#define MG_CHANNEL_PEER_TIMEOUT_MS 2500
/* of a text that mg_channel_describe_end() writes */
#define MG_CHANNEL_END_SIZE 112

typedef struct mg_channel mg_channel;

typedef enum mg_channel_result {
    /* The response was received to its end. If it has neither a length nor
       chunks, that is the peer's FIN, which a peer that dies sends, too; a
       reset never counts as the end. */
    MG_CHANNEL_COMPLETE,
    MG_CHANNEL_CONNECT_FAILED, /* nothing was written */
    MG_CHANNEL_TRUNCATED,      /* connection lost once writing had begun */
    MG_CHANNEL_MALFORMED,      /* not a valid HTTP response */
} mg_channel_result;

/* what on_headers decides about the response */
typedef enum mg_channel_action {
    MG_CHANNEL_ACCEPT,
    MG_CHANNEL_SKIP,   /* discard the response and wait for the next one */
    MG_CHANNEL_REJECT, /* close the channel, the result is MALFORMED */
} mg_channel_action;

/* callbacks for one request, called in this order */
typedef struct mg_channel_callbacks mg_channel_callbacks;
struct mg_channel_callbacks {
    /* the connection is up; mg_channel_send() may be called from now on */
    void (*on_connected)(mg_channel_callbacks *cb);
    mg_channel_action (*on_headers)(mg_channel_callbacks *cb,
                                    const mg_h1_headers *headers);
    void (*on_data)(mg_channel_callbacks *cb, mg_str data);
    /* the final callback; may follow any of those above or be the only one */
    void (*on_end)(mg_channel_callbacks *cb, mg_channel_result result);
};

typedef struct mg_channel_options {
    uv_loop_t *loop;
    struct sockaddr_in addr;
    /* The connection is lost when the peer acknowledges nothing, or takes
       nothing of a request, for this time, ms; 0: MG_CHANNEL_PEER_TIMEOUT_MS
     */
    int64_t peer_timeout_ms;
    /* The channel is closing: called once, also for mg_channel_close(). May be
       NULL. */
    void (*on_closed)(void *owner, mg_channel *c);
    /* A response is complete and the channel can be reused. NULL: it is
       closed. */
    void (*on_idle)(void *owner, mg_channel *c);
    void *owner;
} mg_channel_options;

/* Starts to connect; cb receives the callbacks of the first request. */
mg_channel *
mg_channel_new(const mg_channel_options *opts, mg_channel_callbacks *cb);
/* Reuses an idle channel for another request; skips on_connected. */
void
mg_channel_reuse(mg_channel *c, mg_channel_callbacks *cb);
/* Writes a request; is_head: its method is HEAD. */
void
mg_channel_send(mg_channel *c, mg_str headers, mg_str body, bool is_head);
/* Closes the channel; on_end is not called. */
void
mg_channel_close(mg_channel *c);
/* Writes how the last response was framed and how the connection has ended, as
   fields of a log line: "framing=close read=EOF write=none socket=none
   unsent=0". Also valid in on_end. */
void
mg_channel_describe_end(const mg_channel *c, char out[MG_CHANNEL_END_SIZE]);
/* Milliseconds since an idle channel completed its last response. */
int64_t
mg_channel_idle_ms(const mg_channel *c);
/* The peer's Keep-Alive timeout in ms, -1 if it sent none. */
int64_t
mg_channel_keep_alive_ms(const mg_channel *c);
/* List node for the owner's list of idle channels. */
struct list_head *
mg_channel_list_node(mg_channel *c);
mg_channel *
mg_channel_from_list_node(struct list_head *el);

#endif
