/*
 * suspects - requests that were running at targets when these ended
 *
 * A connection that breaks while a request runs may be the target's end, and
 * the request its cause. Whether the target has ended is found out by
 * another connection: refused, no process listens there any more. Then the
 * request's fingerprint (path, workspace, body: not its id, so that it is
 * known again) gets a mark, here and, by the next report, at all entries.
 * With marks of MG_SUSPECT_STRIKES_MAX ends it is refused.
 */
#ifndef MG_SUSPECTS_H
#define MG_SUSPECTS_H

#include "gateway/gateway_int.h"

/* a single request must not end more targets than this */
#define MG_SUSPECT_STRIKES_MAX 3

/* Of a request's path, workspace or key, and body; never 0. */
uint64_t
mg_suspect_fingerprint(const mg_flow *f);
bool
mg_suspect_is_refused(mg_gateway *gw, uint64_t fingerprint);
/* A request's connection broke while it ran at that target. */
void
mg_suspect_connection_lost(mg_gateway *gw, mg_gw_target *t,
                           uint64_t fingerprint);
/* Another entry found that out. */
void
mg_suspect_receive_strike(mg_gateway *gw, const mg_load_crash_msg *m);
/* Appends what was found since the last call: LOAD_CRASH messages. */
void
mg_suspect_report(mg_gateway *gw, mg_buf *loads);

#endif
