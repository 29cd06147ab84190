/*
 * events - a stream of server-sent events, cut into whole events
 *
 * Bytes go in as they arrive; whole events come out, each with its id when
 * it is a number. What is left behind the last empty line is no event yet
 * and is never passed on.
 */
#ifndef MG_SSE_H
#define MG_SSE_H

#include "base/bytes.h"

/* bytes of one event; more is no stream of events */
#define MG_SSE_EVENT_BYTES_MAX (1u << 20)

typedef struct mg_sse_parser {
    mg_buf pending;
    size_t consumed; /* bytes of pending that hold no event's end */
} mg_sse_parser;

typedef struct mg_sse_event {
    mg_str bytes; /* with its empty line */
    bool has_id;
    uint64_t id;
} mg_sse_event;

void
mg_sse_parser_feed(mg_sse_parser *e, mg_str data);
/* Takes the next whole event; its bytes live until the next call. */
bool
mg_sse_parser_next(mg_sse_parser *e, mg_sse_event *out);
/* Drops what is left of a broken stream. */
void
mg_sse_parser_reset(mg_sse_parser *e);
void
mg_sse_parser_free(mg_sse_parser *e);

#endif
