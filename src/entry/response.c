/*
 * response - the response of a target, as it arrives at the entry
 *
 * A stream is forwarded and, with an idempotency key, copied for retries; any
 * other response is kept until it is complete. What is kept is counted, with
 * the bytes of a stream that its client has not taken: over the limits of
 * wire/response_memory.h a stream loses its copy, and what is still too large
 * ends the request, with an unknown outcome.
 */
#include "entry/request_int.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/counter.h"

/* of a response to a cancellation, which nobody reads */
#define CANCELLED_BYTES_MAX (64u << 10)

static bool
is_stream(const mg_request *r)
{
    return r->params.stream && r->response.status == 200;
}

/* Whether all that was received is also kept. */
static bool
has_copy(const mg_request *r)
{
    return r->response.body.n == r->response.received;
}

static size_t
bytes_held(const mg_request *r)
{
    size_t bytes = r->response.body.n;
    if (r->http != NULL && r->response_started) {
        bytes += mg_http_unsent(r->http);
    }
    return bytes;
}

/* Counts what is held; whether that is within the limits. */
static bool
count_held(mg_request *r)
{
    return mg_response_memory_hold(&r->e->response_memory, &r->held,
                                   bytes_held(r));
}

void
mg_response_recount(mg_request *r)
{
    if (r->held > 0) {
        count_held(r);
    }
}

/* Gives a stream's copy up; whether the response may then go on. */
static bool
drop_copy(mg_request *r)
{
    if (!is_stream(r) || r->http == NULL) {
        return false;
    }
    mg_buf_free(&r->response.body);
    return count_held(r);
}

static void
reject_response(mg_request *r)
{
    mg_http_client_req_cancel(r->target_req);
    r->target_req = NULL;
    if (r->params.engine && r->nonce == r->id) {
        mg_response_cancel_at_target(r);
    }
    mg_request_truncated(r, "answer_too_large");
}

/* Ends the request if too much is held, or if nobody can get the response. */
static void
hold_response(mg_request *r)
{
    bool fits = count_held(r) || drop_copy(r);
    bool is_wanted = r->http != NULL || has_copy(r);
    if (!fits || !is_wanted) {
        reject_response(r);
    }
}

/* ----------------------------------------------------------- forwarding */

static void
start_streaming(mg_request *r)
{
    char extra[256];
    mg_request_format_headers(r, extra, sizeof(extra));
    r->response_started = true;
    mg_http_start(r->http, r->response.status, r->response.content_type,
                  extra);
}

static void
forward(mg_request *r, mg_str data)
{
    if (r->http == NULL) {
        return;
    }
    if (!r->response_started) {
        start_streaming(r);
    }
    mg_http_write(r->http, data);
}

void
mg_response_on_headers(void *user, int status, mg_str type, bool not_run)
{
    mg_request *r = user;
    mg_response_reader_header(&r->response, status, type, not_run);
}

void
mg_response_on_data(void *user, mg_str data)
{
    mg_request *r = user;
    bool stream = is_stream(r);
    bool keep = !stream || (mg_request_is_keyed(r) && has_copy(r));
    if (!mg_response_reader_data(&r->response, data, keep)) {
        return;
    }
    r->resume_until_ms = mg_now(r->e->clock) + MG_RESUME_TIMEOUT_MS;
    if (r->first_byte_us == 0) {
        r->first_byte_us = uv_hrtime() / 1000;
        mg_observe(MG_H_FIRST_BYTE,
                   (int64_t)(r->first_byte_us - r->started_us));
    }
    if (stream) {
        forward(r, data);
    }
    hold_response(r);
}

/* ---------------------------------------------------------- cancellation */

static void
ignore_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)not_run;
    (void)user;
    (void)status;
    (void)type;
}

static void
ignore_data(void *user, mg_str data)
{
    (void)user;
    (void)data;
}

static void
ignore_end(void *user, mg_http_result end, const char *why)
{
    (void)user;
    (void)end;
    (void)why;
}

void
mg_response_cancel_at_target(mg_request *r)
{
    char path[MG_TEXT_SIZE];
    snprintf(path, sizeof(path), "/v1/streams/%" PRIx64, r->id);
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = r->e->loop,
        .addr = r->target_addr,
        .method = "DELETE",
        .path = path,
        .body_max = CANCELLED_BYTES_MAX,
        .connect_timeout_ms = MG_TARGET_CONNECT_TIMEOUT_MS,
        .read_timeout_ms = MG_ENGINE_IDLE_TIMEOUT_MS,
        .on_headers = ignore_headers,
        .on_data = ignore_data,
        .on_end = ignore_end,
    });
}
