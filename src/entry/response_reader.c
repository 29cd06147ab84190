#include "entry/response_reader.h"

#include <string.h>

#include <jansson.h>

#define SSE_TYPE "text/event-stream"
#define SSE_END "data: [DONE]\n\n"

void
mg_response_reader_connect(mg_response_head *a, bool resume)
{
    a->resuming = resume;
    a->resume_refused = false;
}

void
mg_response_reader_header(mg_response_head *a, int status, mg_str type,
                          bool not_run)
{
    if (a->resuming && status != 200) {
        a->resume_refused = true;
        return;
    }
    if (a->status == 0) {
        a->status = status;
        a->not_run = not_run && status == 409;
        mg_str_copy(a->type, sizeof(a->type), type);
    }
}

static void
keep_tail(mg_response_head *a, mg_str data)
{
    if (data.n >= MG_RESPONSE_TAIL_SIZE) {
        memcpy(a->tail, data.p + data.n - MG_RESPONSE_TAIL_SIZE,
               MG_RESPONSE_TAIL_SIZE);
        return;
    }
    memmove(a->tail, a->tail + data.n, MG_RESPONSE_TAIL_SIZE - data.n);
    memcpy(a->tail + MG_RESPONSE_TAIL_SIZE - data.n, data.p, data.n);
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
mg_response_reader_data(mg_response_head *a, mg_str data, bool keep)
{
    if (a->resume_refused) {
        return false;
    }
    a->received += data.n;
    a->events += count_events(data);
    keep_tail(a, data);
    if (keep) {
        mg_buf_put(&a->body, data.p, data.n);
    }
    return true;
}

static bool
parses_as_json(const mg_buf *b)
{
    json_t *j = json_loadb(b->p ? b->p : "", b->n, JSON_DECODE_ANY, NULL);
    bool parses = j != NULL;
    json_decref(j);
    return parses;
}

static bool
is_whole(const mg_response_head *a, mg_http_result end)
{
    size_t n = strlen(SSE_END);
    if (end != MG_HTTP_COMPLETE && end != MG_HTTP_NO_LAST_CHUNK) {
        return false;
    }
    if (strncmp(a->type, SSE_TYPE, strlen(SSE_TYPE)) == 0) {
        return memcmp(a->tail + MG_RESPONSE_TAIL_SIZE - n, SSE_END, n) == 0;
    }
    /* a part of a JSON object does not parse */
    return end == MG_HTTP_COMPLETE ||
           (a->body.n == a->received && parses_as_json(&a->body));
}

mg_response_result
mg_response_reader_classify(const mg_response_head *a, mg_http_result end)
{
    if (a->resume_refused) {
        return MG_RESPONSE_TRUNCATED;
    }
    if (is_whole(a, end)) {
        return a->not_run ? MG_RESPONSE_NOT_RUN : MG_RESPONSE_COMPLETE;
    }
    /* a stream that its target ended without the closing event */
    return end == MG_HTTP_COMPLETE ? MG_RESPONSE_TRUNCATED
                                   : MG_RESPONSE_RESUMABLE;
}

void
mg_response_reader_reset(mg_response_head *a)
{
    mg_buf body = a->body;
    memset(a, 0, sizeof(*a));
    a->body = body;
    a->body.n = 0;
}

void
mg_response_reader_free(mg_response_head *a)
{
    mg_buf_free(&a->body);
}
