#include "gateway/sse.h"

#include <string.h>

#include "base/outcome.h"

void
mg_sse_parser_feed(mg_sse_parser *s, mg_str data)
{
    if (s->consumed > 0) {
        mg_buf_skip(&s->pending, s->consumed);
        s->consumed = 0;
    }
    mg_buf_put(&s->pending, data.p, data.n);
}

/* length of the first event with its empty line, 0 when it is incomplete */
static size_t
event_end(const char *p, size_t n)
{
    for (size_t i = 0; i + 1 < n; i++) {
        if (p[i] != '\n') {
            continue;
        }
        if (p[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < n && p[i + 1] == '\r' && p[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

static void
parse_id(mg_str line, mg_sse_event *out)
{
    mg_str value;
    if (!mg_str_is(mg_str_split(line, ':', &value), "id")) {
        return;
    }
    uint64_t id = 0;
    size_t digits = 0;
    for (size_t i = 0; i < value.n; i++) {
        char c = value.p[i];
        if (c >= '0' && c <= '9' && digits < 18) {
            id = id * 10 + (uint64_t)(c - '0');
            digits++;
        }
        else if (c != ' ' && c != '\r') {
            return;
        }
    }
    out->has_id = digits > 0;
    out->id = id;
}

bool
mg_sse_parser_next(mg_sse_parser *s, mg_sse_event *out)
{
    const char *p = s->pending.p + s->consumed;
    size_t n = event_end(p, s->pending.n - s->consumed);
    if (n == 0) {
        return false;
    }
    *out = (mg_sse_event){.bytes = {p, n}};
    mg_str rest = out->bytes;
    while (rest.n > 0) {
        parse_id(mg_str_split(rest, '\n', &rest), out);
    }
    s->consumed += n;
    return true;
}

void
mg_sse_parser_reset(mg_sse_parser *s)
{
    s->pending.n = 0;
    s->consumed = 0;
}

void
mg_sse_parser_free(mg_sse_parser *s)
{
    mg_buf_free(&s->pending);
    s->consumed = 0;
}
