/*
 * event_ids - the ids of a stream's events, and what they show where a run is
 * followed by another one
 *
 * A stream that breaks off is resumed after the last event that the client
 * has: another target sends the events after it, and perhaps some before.
 * Within a run the ids increase, by any step, and HTTP's framing shows that
 * nothing is missing. Between two runs only the ids can show it: if all ids so
 * far are the same step apart, the first new one of the next run must not be
 * more than that step away. If they are not, or there was only one, it may be
 * any higher one: sound targets number by tokens, for instance, and an event
 * may hold more of these than the one before.
 *
 * A zeroed mg_event_ids is a stream from its beginning. No I/O.
 */
#ifndef MG_EVENT_IDS_H
#define MG_EVENT_IDS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct mg_event_ids {
    bool has_last;
    uint64_t last;  /* id of the last event that the client has */
    uint64_t step;  /* between neighbouring ids, 0: not seen yet */
    bool irregular; /* several steps were seen */
    bool joins;     /* the current run has still to be joined to the last id */
} mg_event_ids;

typedef enum mg_event_kind {
    MG_EVENT_NEXT,      /* goes to the client */
    MG_EVENT_REPEATED,  /* the client has it */
    MG_EVENT_AFTER_GAP, /* the events between it and the last one are missing
                         */
} mg_event_kind;

/* The client has the events up to this id from an earlier response. */
void
mg_event_ids_resume_after(mg_event_ids *e, uint64_t id);
/* Another run begins. */
void
mg_event_ids_start_run(mg_event_ids *e);
/* Takes the next id of the current run; nothing is noted of one that comes
   after a gap. */
mg_event_kind
mg_event_ids_take(mg_event_ids *e, uint64_t id);

#endif
