/*
 * link - links between the project's processes
 *
 * An mg_net listens on one address and keeps one outgoing connection to
 * each peer it was told to dial. Both ends greet with HELLO (name, shared
 * key, protocol); no other message is taken before it. Messages to a peer
 * go over the outgoing connection, or the newest greeted incoming one.
 *
 * Delivery is at most once and in order within one connection; a message is
 * lost when no connection is up. A connection that brings nothing for
 * MG_LINK_READ_TIMEOUT_MS is closed, and dialled anew when it is an outgoing
 * one, so that a link that went silent is replaced while the peer's lease
 * lasts.
 *
 * All memory is bounded: frames by MG_FRAME_MAX (MG_LINK_HANDSHAKE_FRAME_MAX
 * before HELLO), unsent bytes by MG_LINK_UNSENT_MAX.
 */
#ifndef MG_LINK_H
#define MG_LINK_H

#include <uv.h>

#include "base/clock.h"
#include "wire/msg.h"

#define MG_LINK_PROTOCOL 1
#define MG_LINK_PING_INTERVAL_MS 400
#define MG_LINK_READ_TIMEOUT_MS 1200
/* a lost opening packet is repeated by the system only after a second */
#define MG_LINK_CONNECT_TIMEOUT_MS 250
#define MG_LINK_HANDSHAKE_TIMEOUT_MS 1000
#define MG_LINK_HANDSHAKE_FRAME_MAX 1024
#define MG_LINK_UNSENT_MAX (64u << 20)
#define MG_LINK_REDIAL_DELAY_MS 100
#define MG_LINK_MAX_INCOMING 1024

typedef struct mg_net mg_net;

typedef struct mg_net_options {
    uv_loop_t *loop;
    mg_clock *clock;
    const char *node;        /* own name, copied */
    const char *key;         /* shared by all processes, copied */
    const char *listen_addr; /* IP:PORT */
    uint64_t incarnation;
    /* a message came from a greeted peer; strings live during the call */
    void (*on_message)(void *user, const char *peer, const mg_msg *m);
    /* a link to a peer came up; may be NULL */
    void (*on_up)(void *user, const char *peer);
    /* called before bytes are flushed, once each turn of the loop */
    void (*before_flush)(void *user);
    void *user;
} mg_net_options;

/* MG_E_IO when the address can't be listened on. */
mg_rc
mg_net_open(mg_net **out, const mg_net_options *opts, mg_error *err);
/* Closes all sockets; memory is freed when the loop has run on. */
void
mg_net_close(mg_net *net);
/* Keeps a connection to the peer open; a new address replaces the old. */
void
mg_net_dial(mg_net *net, const char *peer, const char *addr);
void
mg_net_undial(mg_net *net, const char *peer);
/* Whether a greeted connection to the peer is up. */
bool
mg_net_is_up(mg_net *net, const char *peer);
/* MG_E_CLOSED when no connection to the peer is up: the message is lost. */
mg_rc
mg_net_send(mg_net *net, const char *peer, const mg_msg *m);
/* To the other end of every greeted connection. */
void
mg_net_send_all(mg_net *net, const mg_msg *m);

#endif
