/*
 * request_int - declarations shared by request.c, response.c and keyed.c
 */
#ifndef MG_REQUEST_INT_H
#define MG_REQUEST_INT_H

#include "entry/entry_int.h"

#define MG_TARGET_CONNECT_TIMEOUT_MS 500
#define MG_ENGINE_IDLE_TIMEOUT_MS 1500
/* without data for so long, a response is no longer resumed */
#define MG_RESUME_TIMEOUT_MS 6000

/* request.c */
bool
mg_request_is_keyed(const mg_request *r);
mg_request *
mg_request_find(const mg_entry *e, uint64_t id);
void
mg_request_set_state(mg_request *r, mg_request_state state);
void
mg_request_enqueue(mg_request *r);
/* Connects to the granted target, to dispatch the request. */
void
mg_request_connect(mg_request *r);
/* Connects to the target; resume continues at r->response.received. */
void
mg_request_start_target_req(mg_request *r, bool resume);
/* Reports to the scheduler how the grant ended (DONE). */
void
mg_request_report_done(mg_request *r, mg_done_result result);
/*
 * Sets the outcome and responds to the client; a claimed attempt, or a keyed
 * one that did not run, is recorded in the ledger first.
 */
void
mg_request_conclude(mg_request *r, mg_rc rc, mg_ran ran);
/*
 * Records that the attempt was not dispatched. The request may end before the
 * record is written.
 */
void
mg_request_release_claim(mg_request *r);
/* Headers of the response to the client, lines "name: value\n". */
void
mg_request_format_headers(const mg_request *r, char *out, size_t size);
/* Ends a dispatched request whose response can't be completed; its outcome is
   unknown. */
void
mg_request_truncated(mg_request *r, const char *why);
/* Sends the response, or finishes the stream that was started. */
void
mg_request_send_response(mg_request *r);
/* Sends the response if r->ran is MG_RAN_YES, else a refusal; at most once. */
void
mg_request_send_outcome(mg_request *r);
/* mg_request_send_outcome(), then mg_request_end(). */
void
mg_request_finish(mg_request *r);
/* Frees the request, or retains it for retries when it has a key. */
void
mg_request_end(mg_request *r);

/* response.c */
/* Callbacks for the target's response; on_data may end the request. */
void
mg_response_on_headers(void *user, int status, mg_str type, bool not_run);
void
mg_response_on_data(void *user, mg_str data);
/* Counts what is held again, as the client takes bytes at any time. */
void
mg_response_recount(mg_request *r);
/* Asks the engine to stop generating; best effort. */
void
mg_response_cancel_at_target(mg_request *r);

/* keyed.c */
/* Looks the key up in the ledger; then queues, or joins another attempt. */
void
mg_keyed_lookup(mg_request *r);
/* Ends a lookup at the deadline, or when the client disconnected. */
void
mg_keyed_cancel_lookup(mg_request *r);
/* Claims the key for this attempt, which has been granted a slot. */
void
mg_keyed_claim(mg_request *r);
/* Returns the granted slot to the scheduler unused, at most once. */
void
mg_keyed_release_slot(mg_request *r);
/* Refuses a request whose claim is still in flight at the deadline. */
void
mg_keyed_abandon(mg_request *r);
/* Records in the ledger that the key did not run, then refuses (r->rc). */
void
mg_keyed_refuse(mg_request *r);
/* Ends the request with this outcome and records nothing in the ledger. */
void
mg_keyed_finish_unrecorded(mg_request *r, mg_rc rc, mg_ran ran);
/* Requests the other attempt's response, at intervals. */
void
mg_keyed_tick_join(mg_request *r, int64_t now);
/* Tries to read the response from the next target of r->addrs. */
void
mg_keyed_read_next_target(mg_request *r);

#endif
