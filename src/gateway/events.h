/*
 * events - a stream of server-sent events, cut into whole events
 *
 * Bytes go in as they arrive; whole events come out, each with its id when
 * it is a number. What is left behind the last empty line is no event yet
 * and is never passed on.
 */
#ifndef MG_EVENTS_H
#define MG_EVENTS_H

#include "base/bytes.h"

/* bytes of one event; more is no stream of events */
#define MG_EVENT_BYTES_MAX (1u << 20)

typedef struct mg_events {
    mg_buf pending;
    size_t seen; /* bytes of pending that hold no event's end */
} mg_events;

typedef struct mg_stream_event {
    mg_str bytes; /* with its empty line */
    bool has_id;
    uint64_t id;
} mg_stream_event;

void
mg_events_put(mg_events *e, mg_str data);
/* Takes the next whole event; its bytes live until the next call. */
bool
mg_events_next(mg_events *e, mg_stream_event *out);
/* Drops what is left of a broken stream. */
void
mg_events_reset(mg_events *e);
void
mg_events_free(mg_events *e);

#endif
