#include "entry/response_reader.h"

#include <string.h>

#define SSE_TYPE "text/event-stream"
#define SSE_END "data: [DONE]\n\n"

void
mg_response_reader_connect(mg_response_reader *r, bool resume)
{
    r->resuming = resume;
    r->resume_refused = false;
}

void
mg_response_reader_header(mg_response_reader *r, int status, mg_str type,
                          bool not_run)
{
    if (r->resuming && status != 200) {
        r->resume_refused = true;
        return;
    }
    if (r->status == 0) {
        r->status = status;
        r->not_run = not_run && status == 409;
        mg_str_copy(r->content_type, sizeof(r->content_type), type);
    }
}

static void
keep_tail(mg_response_reader *r, mg_str data)
{
    if (data.n >= MG_RESPONSE_TAIL_SIZE) {
        memcpy(r->tail, data.p + data.n - MG_RESPONSE_TAIL_SIZE,
               MG_RESPONSE_TAIL_SIZE);
        return;
    }
    memmove(r->tail, r->tail + data.n, MG_RESPONSE_TAIL_SIZE - data.n);
    memcpy(r->tail + MG_RESPONSE_TAIL_SIZE - data.n, data.p, data.n);
}

static uint32_t
count_events(mg_str data)
{
    uint32_t n = 0;
    for (size_t i = 1; i < data.n; i++) {
        n += data.p[i] == '\n' && data.p[i - 1] == '\n';
    }
    return n;
}

bool
mg_response_reader_data(mg_response_reader *r, mg_str data, bool keep)
{
    if (r->resume_refused) {
        return false;
    }
    r->received += data.n;
    r->events += count_events(data);
    keep_tail(r, data);
    if (keep) {
        mg_buf_put(&r->body, data.p, data.n);
    }
    return true;
}

static bool
is_complete(const mg_response_reader *r, mg_http_result end)
{
    size_t n = strlen(SSE_END);
    if (end != MG_HTTP_COMPLETE) {
        return false;
    }
    if (strncmp(r->content_type, SSE_TYPE, strlen(SSE_TYPE)) == 0) {
        return memcmp(r->tail + MG_RESPONSE_TAIL_SIZE - n, SSE_END, n) == 0;
    }
    return true;
}

mg_response_result
mg_response_reader_classify(const mg_response_reader *r, mg_http_result end)
{
    if (r->resume_refused) {
        return MG_RESPONSE_TRUNCATED;
    }
    if (is_complete(r, end)) {
        return r->not_run ? MG_RESPONSE_NOT_RUN : MG_RESPONSE_COMPLETE;
    }
    /* a stream whose framing ended without the closing event is truncated */
    return end == MG_HTTP_COMPLETE ? MG_RESPONSE_TRUNCATED
                                   : MG_RESPONSE_RESUMABLE;
}

void
mg_response_reader_reset(mg_response_reader *r)
{
    mg_buf body = r->body;
    memset(r, 0, sizeof(*r));
    r->body = body;
    r->body.n = 0;
}

void
mg_response_reader_free(mg_response_reader *r)
{
    mg_buf_free(&r->body);
}
