/*
 * sse - splits a stream of server-sent events into complete events
 *
 * Bytes are fed in as they arrive; complete events come out, with their id
 * when it is a number. Bytes after the last empty line are an incomplete
 * event and are never returned.
 */
#ifndef MG_SSE_H
#define MG_SSE_H

#include "base/bytes.h"

/* largest event of a valid stream, bytes; enforced by the parser's users */
#define MG_SSE_EVENT_BYTES_MAX (1u << 20)

typedef struct mg_sse_parser {
    mg_buf pending;
    size_t consumed; /* bytes of pending already returned as events */
} mg_sse_parser;

typedef struct mg_sse_event {
    mg_str bytes; /* including the empty line at its end */
    bool has_id;  /* the event has a decimal id */
    uint64_t id;
} mg_sse_event;

/* Appends received bytes; a zeroed mg_sse_parser is ready for use. */
void
mg_sse_parser_feed(mg_sse_parser *s, mg_str data);
/*
 * Stores the next complete event in *out; false when there is none yet. Its
 * bytes stay valid until the next call on the parser.
 */
bool
mg_sse_parser_next(mg_sse_parser *s, mg_sse_event *out);
/* Discards buffered bytes, to parse a new stream. */
void
mg_sse_parser_reset(mg_sse_parser *s);
void
mg_sse_parser_free(mg_sse_parser *s);

#endif
