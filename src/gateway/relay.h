/*
 * relay - passes a request on through another entry
 *
 * An entry that is cut off from a service sends its requests to an entry that
 * reaches it, on that entry's port for relayed requests. There they are
 * handled like those of clients (key, quota, tier, retries), but never relayed
 * again. A request is written to one entry only, and only if no target may
 * have run it, with the time that is left; whatever comes back goes to the
 * client as it is. What this entry has counted against the workspace's quota
 * is taken back, since the other one counts it.
 */
#ifndef MG_RELAY_H
#define MG_RELAY_H

#include "gateway/gateway_int.h"

/* Whether f, which waits, should go through another entry now. */
bool
mg_relay_wanted(const mg_flow *f);
/* Sends f, which has left the queue, to another entry. */
void
mg_relay_start(mg_flow *f);
/* Probes a target of each pool that is cut off; call it every 50 ms. */
void
mg_relay_probe(mg_gateway *gw);

#endif
