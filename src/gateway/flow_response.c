/* flow_response - how a request's response is passed on to its client */
#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "gateway/gateway_int.h"

bool
mg_flow_is_head(const mg_flow *f)
{
    return mg_str_is(mg_http_method(f->request.http), "HEAD");
}

/* whether the response has no body, whatever its fields say */
static bool
has_no_body(const mg_flow *f)
{
    return mg_flow_is_head(f) || f->status == 204 || f->status == 304;
}

bool
mg_flow_is_close_delimited(const mg_flow *f, const mg_h1_headers *headers)
{
    mg_h1_body body;
    mg_h1_body_init_response(&body, headers, mg_flow_is_head(f));
    return body.framing == MG_H1_CLOSE_DELIMITED;
}

void
mg_flow_save_headers(mg_flow *f, const mg_h1_headers *headers)
{
    f->headers.n = 0;
    for (size_t i = 0; i < headers->header_count; i++) {
        const mg_h1_header *h = &headers->headers[i];
        /* the response to HEAD has the length that GET would have */
        bool is_length =
            mg_flow_is_head(f) && mg_h1_name_is(h->name, "content-length");
        if (mg_h1_is_hop_by_hop(headers, h->name) && !is_length) {
            continue;
        }
        mg_buf_put(&f->headers, h->name.p, h->name.n);
        mg_buf_put(&f->headers, ": ", 2);
        mg_buf_put(&f->headers, h->value.p, h->value.n);
        mg_buf_put(&f->headers, "\n", 1);
    }
    mg_buf_put(&f->headers, "", 1);
}

void
mg_flow_start_response(mg_flow *f)
{
    if (f->close_delimited) {
        mg_http_start_close_delimited(f->request.http, f->status, NULL,
                                      f->headers.p);
    }
    else {
        mg_http_start(f->request.http, f->status, NULL, f->headers.p);
    }
}

void
mg_flow_hold_response(mg_flow *f)
{
    size_t event = f->sse_parser.pending.n - f->sse_parser.consumed;
    size_t bytes = f->body.n + event;
    if (event > MG_SSE_EVENT_BYTES_MAX) {
        mg_flow_reject_response(f, "event_too_large");
        return;
    }
    if (f->response_started) {
        bytes += mg_http_unsent(f->request.http);
    }
    if (!mg_response_memory_hold(&f->gw->response_memory, &f->held, bytes)) {
        mg_flow_reject_response(f, "answer_too_large");
    }
}

void
mg_flow_send_buffered(mg_flow *f)
{
    mg_str body = mg_str_buf(&f->body);
    if (has_no_body(f)) {
        mg_http_reply_head(f->request.http, f->status, f->headers.p);
        return;
    }
    if (!f->close_delimited) {
        mg_http_reply(f->request.http, f->status, NULL, f->headers.p, body);
        return;
    }
    mg_flow_start_response(f);
    mg_http_write(f->request.http, body);
    mg_http_finish(f->request.http);
}

void
mg_flow_log_response(mg_flow *f, const char *from)
{
    mg_log(MG_EV_REQ_ANSWERED,
           "id=%.*s status=%d target=%s sends=%u sent_ms=%" PRId64
           " first_ms=%" PRId64 " ms=%" PRId64 " last=%" PRIu64 " %s",
           MG_STR_FMT(f->request.id), f->status, from, f->sends,
           f->sent_ms - f->arrived_ms, f->first_byte_ms - f->arrived_ms,
           mg_now(f->gw->opts.clock) - f->arrived_ms, f->ids.last,
           f->channel_end);
    mg_count(MG_C_COMPLETED, 1);
    mg_observe(MG_H_FIRST_BYTE, (f->first_byte_ms - f->arrived_ms) * 1000);
}
