#include "entry/answer.h"

#include <string.h>

#include <jansson.h>

#define SSE_TYPE "text/event-stream"
#define SSE_END "data: [DONE]\n\n"

void
mg_answer_connect(mg_answer *a, bool resume)
{
    a->resuming = resume;
    a->resume_refused = false;
}

void
mg_answer_head(mg_answer *a, int status, mg_str type, bool not_run)
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
keep_tail(mg_answer *a, mg_str data)
{
    if (data.n >= MG_ANSWER_TAIL) {
        memcpy(a->tail, data.p + data.n - MG_ANSWER_TAIL, MG_ANSWER_TAIL);
        return;
    }
    memmove(a->tail, a->tail + data.n, MG_ANSWER_TAIL - data.n);
    memcpy(a->tail + MG_ANSWER_TAIL - data.n, data.p, data.n);
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
mg_answer_data(mg_answer *a, mg_str data, bool keep)
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
is_whole(const mg_answer *a, mg_http_result end)
{
    size_t n = strlen(SSE_END);
    if (end != MG_HTTP_COMPLETE && end != MG_HTTP_NO_LAST_CHUNK) {
        return false;
    }
    if (strncmp(a->type, SSE_TYPE, strlen(SSE_TYPE)) == 0) {
        return memcmp(a->tail + MG_ANSWER_TAIL - n, SSE_END, n) == 0;
    }
    /* a part of a JSON object does not parse */
    return end == MG_HTTP_COMPLETE ||
           (a->body.n == a->received && parses_as_json(&a->body));
}

mg_answer_end
mg_answer_ended(const mg_answer *a, mg_http_result end)
{
    if (a->resume_refused) {
        return MG_ANSWER_CUT;
    }
    if (is_whole(a, end)) {
        return a->not_run ? MG_ANSWER_NOT_RUN : MG_ANSWER_WHOLE;
    }
    /* a stream that its target ended without the closing event */
    return end == MG_HTTP_COMPLETE ? MG_ANSWER_CUT : MG_ANSWER_MORE;
}

void
mg_answer_reset(mg_answer *a)
{
    mg_buf body = a->body;
    memset(a, 0, sizeof(*a));
    a->body = body;
    a->body.n = 0;
}

void
mg_answer_free(mg_answer *a)
{
    mg_buf_free(&a->body);
}
