/*
 * suspects - crash suspects: requests that may have crashed their targets
 *
 * When a connection breaks while a request runs, the target may have crashed,
 * and the request may be the cause. A probe connection checks this: if it
 * is refused, no process listens any more. Then the request's fingerprint
 * (path, workspace and body, without the id, so that a retry has the same one)
 * gets a strike, here and, with the next reports, at all entries (strikes.h).
 * A request with strikes from MG_STRIKES_MAX crashes is refused.
 */
#ifndef MG_SUSPECTS_H
#define MG_SUSPECTS_H

#include "gateway/gateway_int.h"

/* Hash of a request's path, workspace or key, and body; never 0. */
uint64_t
mg_suspect_fingerprint(mg_flow *f);
/* Whether the request must not be sent to a target: not for the first time,
   nor for a retry. */
bool
mg_suspect_refuses(mg_flow *f);
/* Probes t after the connection of request id broke; adds a strike if t is
   down. */
void
mg_suspect_connection_lost(mg_gateway *gw, mg_gw_target *t, mg_str id,
                           uint64_t fingerprint);
/* Applies a strike that another entry reports. */
void
mg_suspect_receive_strike(mg_gateway *gw, const mg_load_strike_msg *m);

#endif
