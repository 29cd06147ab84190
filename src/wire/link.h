/*
 * link - message connections between the project's processes
 *
 * An mg_net listens on one address and maintains one outgoing connection to
 * each peer registered by mg_net_dial(). Both ends start with a handshake: a
 * HELLO message with name, shared key and protocol version. Any other message
 * before it is rejected. Messages to a peer are sent over the outgoing
 * connection or, if it is not up, over the newest incoming one.
 *
 * Delivery is at most once, and in order within one connection; a message is
 * lost if no connection is up. A connection on which nothing was received for
 * MG_LINK_READ_TIMEOUT_MS is closed and, if it is outgoing, dialled again.
 * This replaces a dead connection before the peer's lease expires.
 *
 * All memory is bounded: frames by MG_FRAME_MAX (MG_LINK_HANDSHAKE_FRAME_MAX
 * before HELLO), unsent bytes by mg_net_options.unsent_max over all
 * connections together. Beyond that the connection with most unsent bytes is
 * closed, so that a peer that does not read loses its own link; a single
 * message larger than the limit is sent nevertheless. The memory of a closed
 * connection is freed in the next iteration of the event loop. A total of half
 * the limit is logged. Senders of messages that a later one replaces ask
 * mg_net_unsent() first and send none while earlier ones wait.
 */
#ifndef MG_LINK_H
#define MG_LINK_H

#include <uv.h>

#include "base/clock.h"
#include "wire/msg.h"

#define MG_LINK_PROTOCOL 1
#define MG_LINK_PING_INTERVAL_MS 400
#define MG_LINK_READ_TIMEOUT_MS 1200
/* The kernel retransmits a lost SYN only after a second; with a shorter
   timeout, a new connection is tried before that. */
#define MG_LINK_CONNECT_TIMEOUT_MS 250
#define MG_LINK_HANDSHAKE_TIMEOUT_MS 1000
#define MG_LINK_HANDSHAKE_FRAME_MAX 1024
#define MG_LINK_UNSENT_MAX (8u << 20)
#define MG_LINK_REDIAL_DELAY_MS 100
#define MG_LINK_MAX_INCOMING 1024

typedef struct mg_net mg_net;

typedef struct mg_net_options {
    uv_loop_t *loop;
    mg_clock *clock;
    const char *node;        /* name of this process, copied */
    const char *key;         /* shared by all processes, copied */
    const char *listen_addr; /* IP:PORT */
    uint64_t incarnation;
    size_t unsent_max; /* bytes; 0: MG_LINK_UNSENT_MAX */
    /* strings of the message are valid until the callback returns */
    void (*on_message)(void *user, const char *peer, const mg_msg *m);
    /* the handshake with a peer is complete; may be NULL */
    void (*on_up)(void *user, const char *peer);
    /* in each event loop iteration, before bytes are written; may be NULL */
    void (*before_flush)(void *user);
    void *user;
} mg_net_options;

/* MG_E_INPUT: malformed address. MG_E_IO: can't listen on it. */
mg_rc
mg_net_open(mg_net **out, const mg_net_options *opts, mg_error *err);
/* Closes all sockets. The memory is freed only if the event loop keeps
   running. */
void
mg_net_close(mg_net *net);
/* Maintains a connection to the peer; a new address replaces the old. */
void
mg_net_dial(mg_net *net, const char *peer, const char *addr);
void
mg_net_undial(mg_net *net, const char *peer);
/* Whether a connection to the peer has completed the handshake. */
bool
mg_net_is_up(mg_net *net, const char *peer);
/* MG_E_CLOSED: no connection to the peer is up, the message is lost. */
mg_rc
mg_net_send(mg_net *net, const char *peer, const mg_msg *m);
/* Bytes queued for the peer that the kernel has not taken yet. */
size_t
mg_net_unsent(mg_net *net, const char *peer);
/* The same over all peers. */
size_t
mg_net_unsent_total(const mg_net *net);
/* Sends to the peer of every connection that completed the handshake. */
void
mg_net_send_all(mg_net *net, const mg_msg *m);

#endif
