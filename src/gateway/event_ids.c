#include "gateway/event_ids.h"

void
mg_event_ids_resume_after(mg_event_ids *e, uint64_t id)
{
    e->has_last = true;
    e->last = id;
    e->joins = true;
}

void
mg_event_ids_start_run(mg_event_ids *e)
{
    e->joins = e->has_last;
}

static void
note_step(mg_event_ids *e, uint64_t step)
{
    if (e->step == 0) {
        e->step = step;
    }
    else if (e->step != step) {
        e->irregular = true;
    }
}

mg_event_kind
mg_event_ids_take(mg_event_ids *e, uint64_t id)
{
    if (e->has_last && id <= e->last) {
        /* the run has the last event, too: what follows comes right after */
        e->joins = e->joins && id != e->last;
        return MG_EVENT_REPEATED;
    }
    uint64_t step = id - e->last;
    if (e->joins && e->step != 0 && !e->irregular && step > e->step) {
        return MG_EVENT_AFTER_GAP;
    }
    if (e->has_last && !e->joins) {
        note_step(e, step);
    }
    e->has_last = true;
    e->last = id;
    e->joins = false;
    return MG_EVENT_NEXT;
}
