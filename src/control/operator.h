/*
 * operator - what operators ask of the control group over HTTP
 *
 *     POST /v1/document           apply a document (TOML), owner's key
 *     GET  /v1/status             leader, members, pools, revisions
 *     GET  /v1/moves              moves with state and reason
 *     GET  /v1/credits            answered requests by member
 *     POST /v1/members/NODE/drain graceful shutdown of an entry
 *     POST /v1/members/NODE/remove an entry that is gone for good
 *     GET  /metrics               counters of this process
 *
 * Any member takes a request and passes it to the leader. Answers are JSON.
 */
#ifndef MG_OPERATOR_H
#define MG_OPERATOR_H

#include "control/control.h"

typedef struct mg_operator mg_operator;

typedef void (*mg_operator_reply_cb)(void *user, int status, mg_str body);

mg_operator *
mg_operator_new(mg_control *c);
void
mg_operator_free(mg_operator *o);
/* Answers on this member; only the leader may be asked. */
void
mg_operator_handle(mg_operator *o, mg_str method, mg_str path, mg_str key,
                   mg_str body, mg_operator_reply_cb reply, void *user);
/* Answers requests that the leader left unanswered for too long. */
void
mg_operator_tick(mg_operator *o);
/* An HTTP request of this member's port. */
void
mg_operator_on_request(void *operator_, mg_http_req *req);
/* The leader's answer to a request that was passed on. */
void
mg_operator_on_forward_reply(mg_operator *o, const mg_operator_rep_msg *m);

#endif
