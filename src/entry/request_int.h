/*
 * request_int - what request.c and keyed.c use of each other
 */
#ifndef MG_REQUEST_INT_H
#define MG_REQUEST_INT_H

#include "entry/entry_int.h"

/* request.c */
bool
mg_request_is_keyed(const mg_request *r);
mg_request *
mg_request_find(const mg_entry *e, uint64_t id);
void
mg_request_set_state(mg_request *r, mg_request_state state);
void
mg_request_enqueue(mg_request *r);
/* Connects to the granted target; resume reads on from r->received. */
void
mg_request_connect(mg_request *r);
void
mg_request_start_call(mg_request *r, bool resume);
/* Tells the scheduler how the grant ended. */
void
mg_request_report_done(mg_request *r, mg_done_result result);
/* The outcome is known: records it in the ledger, then answers. */
void
mg_request_conclude(mg_request *r, mg_rc rc, mg_ran ran);
/* Records that an attempt whose caller is gone was not dispatched. */
void
mg_request_release_claim(mg_request *r);
void
mg_request_send_response(mg_request *r);
/* Answers the caller by r->rc and r->ran, once. */
void
mg_request_send_outcome(mg_request *r);
/* The same, then ends the request. */
void
mg_request_finish(mg_request *r);
void
mg_request_end(mg_request *r);

/* keyed.c */
void
mg_keyed_lookup(mg_request *r);
/* The ledger did not answer in time, or the caller left. */
void
mg_keyed_cancel_lookup(mg_request *r);
void
mg_keyed_claim(mg_request *r);
void
mg_keyed_release_slot(mg_request *r);
void
mg_keyed_abandon(mg_request *r);
/* Has "did not run" made final, then refuses with r->rc. */
void
mg_keyed_refuse(mg_request *r);
/* This attempt does not dispatch: tells the request's own fate. */
void
mg_keyed_finish_unrecorded(mg_request *r, mg_rc rc, mg_ran ran);
void
mg_keyed_tick_join(mg_request *r, int64_t now);
/* Looks for the answer at the next target. */
void
mg_keyed_read_next_target(mg_request *r);

#endif
