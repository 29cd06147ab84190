/*
 * operator - the operators' HTTP interface to the control group
 *
 *     POST /v1/document            apply a document (TOML)
 *     GET  /v1/status              leader, entries, pools, revisions
 *     GET  /v1/moves               rollouts with state and reason
 *     GET  /v1/credits             completed requests per member
 *     POST /v1/members/NODE/drain  graceful shutdown of an entry
 *     POST /v1/members/NODE/remove removal of an entry that won't return
 *     GET  /metrics                counters of this process
 *
 * All but status and metrics need an owner's key. Any member accepts a
 * request and forwards it to the leader. Responses are JSON, metrics text.
 */
#ifndef MG_OPERATOR_H
#define MG_OPERATOR_H

#include "control/control.h"

typedef struct mg_operator mg_operator;

/* body is valid during the call only */
typedef void (*mg_operator_reply_cb)(void *user, int status, mg_str body);

mg_operator *
mg_operator_new(mg_control *c);
void
mg_operator_free(mg_operator *o);
/*
 * Handles a request on this member, which must be the leader, else the
 * response is MG_E_NO_LEADER. reply is called once, now or later.
 */
void
mg_operator_handle(mg_operator *o, mg_str method, mg_str path, mg_str key,
                   mg_str body, mg_operator_reply_cb reply, void *user);
/* Fails forwarded requests whose response from the leader is overdue. */
void
mg_operator_tick(mg_operator *o);
/* Handler of requests to this member's HTTP port; user is an mg_operator. */
void
mg_operator_on_request(void *user, mg_http_req *req);
/* Handles the leader's response to a forwarded request. */
void
mg_operator_on_forward_reply(mg_operator *o, const mg_operator_rep_msg *m);

#endif
