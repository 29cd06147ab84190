/*
 * suspects - crash suspects: requests that may have crashed their targets
 *
 * When a connection breaks while a request runs, or ends a response that has
 * neither a length nor chunks, the target may have crashed, and the request
 * may be the cause. A probe connection checks this: if it is refused, no
 * process listens any more. Then the request gets a strike, here and, with the
 * next reports, at all entries (strikes.h). Its key there is its fingerprint:
 * a hash of path, workspace and body, without the id, so that a retry has the
 * same one. Each part of its prompt gets a strike, too,
 * unless the target had written more than one event; but not the last part,
 * which no other request shares. A request is refused if it or one of these
 * parts has crashed too many targets, or a group of them that it has in full.
 */
#ifndef MG_SUSPECTS_H
#define MG_SUSPECTS_H

#include "gateway/gateway_int.h"

/* a request that may have crashed its target */
typedef struct mg_suspect {
    mg_str id;
    uint64_t run; /* the request's fingerprint */
    size_t key_count;
    uint64_t keys[MG_PARTS_MAX];      /* that get a strike */
    unsigned positions[MG_PARTS_MAX]; /* of parts, in the prompt */
    /* unless the target has crashed, it has served the request */
    bool may_be_whole;
} mg_suspect;

/* Hash of a request's path, workspace or key, and body: its key for strikes;
   never 0. */
uint64_t
mg_suspect_fingerprint(mg_flow *f);
/* Whether the request is refused because it, or a part of its prompt, has
   crashed too many targets; to be checked before each dispatch. */
bool
mg_suspect_refuses(mg_flow *f);
/* Whether the request, which is refused, may run here and now as a trial. */
bool
mg_suspect_may_try(mg_flow *f);
/* It is sent to a target now, as a trial. */
void
mg_suspect_tried(mg_flow *f);
/* Sets the keys that get a strike if the request's target has crashed. */
void
mg_suspect_of(mg_flow *f, mg_suspect *out);
/* Probes t after the connection of a request ended; adds strikes if t is
   down. */
void
mg_suspect_connection_lost(mg_gateway *gw, mg_gw_target *t,
                           const mg_suspect *suspect);
/* The request's target writes its response, so no part has crashed it. */
void
mg_suspect_parts_served(mg_flow *f);
/* The request's target has served it. */
void
mg_suspect_served(mg_flow *f);
/* Applies what another entry reports. */
void
mg_suspect_receive_strike(mg_gateway *gw, const mg_load_strike_msg *m);
void
mg_suspect_receive_details(mg_gateway *gw, const mg_load_suspect_msg *m);
void
mg_suspect_receive_served(mg_gateway *gw, const mg_load_served_msg *m);

#endif
