#include "gateway/strikes.h"

#include <stdlib.h>

#include "base/list.h"

/* a strike that stands in further reports */
typedef struct strike_report {
    struct list_head link;
    uint64_t key;
    uint64_t crash;
    unsigned copies; /* to be sent */
    int64_t next_ms;
    int64_t gap_ms;
} strike_report;

struct mg_strikes {
    mg_clock *clock;
    mg_quarantine *quarantine;
    struct list_head reports;
    size_t report_count;
};

mg_strikes *
mg_strikes_new(mg_clock *clock)
{
    mg_strikes *s = mg_alloc(sizeof(*s));
    s->clock = clock;
    s->quarantine = mg_quarantine_new();
    init_list_head(&s->reports);
    return s;
}

static void
free_report(mg_strikes *s, strike_report *r)
{
    list_del(&r->link);
    s->report_count--;
    free(r);
}

void
mg_strikes_free(mg_strikes *s)
{
    list_for_each_safe(el, el1, &s->reports)
    {
        free_report(s, list_entry(el, strike_report, link));
    }
    mg_quarantine_free(s->quarantine);
    free(s);
}

static void
queue_report(mg_strikes *s, uint64_t key, uint64_t crash)
{
    if (s->report_count >= MG_STRIKE_REPORTS_MAX) {
        free_report(s, list_entry(s->reports.next, strike_report, link));
    }
    strike_report *r = mg_alloc(sizeof(*r));
    r->key = key;
    r->crash = crash;
    r->copies = MG_STRIKE_COPIES;
    r->next_ms = mg_now(s->clock);
    r->gap_ms = MG_STRIKE_GAP_MS;
    list_add_tail(&r->link, &s->reports);
    s->report_count++;
}

static bool
is_queued(const mg_strikes *s, uint64_t key, uint64_t crash)
{
    list_for_each(el, &s->reports)
    {
        const strike_report *r = list_entry(el, strike_report, link);
        if (r->key == key && r->crash == crash) {
            return true;
        }
    }
    return false;
}

static void
queue_unless_queued(void *user, uint64_t key, uint64_t crash)
{
    mg_strikes *s = user;
    if (!is_queued(s, key, crash)) {
        queue_report(s, key, crash);
    }
}

unsigned
mg_strikes_add(mg_strikes *s, uint64_t key, uint64_t crash)
{
    queue_unless_queued(s, key, crash);
    return mg_strikes_receive(s, key, crash);
}

unsigned
mg_strikes_receive(mg_strikes *s, uint64_t key, uint64_t crash)
{
    int64_t now = mg_now(s->clock);
    bool refused = mg_strikes_refuses(s, key);
    unsigned strikes =
        mg_quarantine_add_strike(s->quarantine, key, crash, now);
    if (!refused && strikes >= MG_STRIKES_MAX) {
        /* an entry that has started meanwhile knows the last one only */
        mg_quarantine_each_crash(s->quarantine, key, queue_unless_queued, s);
    }
    return strikes;
}

bool
mg_strikes_refuses(const mg_strikes *s, uint64_t key)
{
    return mg_quarantine_strikes(s->quarantine, key, mg_now(s->clock)) >=
           MG_STRIKES_MAX;
}

bool
mg_strikes_is_empty(const mg_strikes *s)
{
    return mg_quarantine_is_empty(s->quarantine);
}

void
mg_strikes_entry_started(mg_strikes *s)
{
    mg_quarantine_each(s->quarantine, MG_STRIKES_MAX, mg_now(s->clock),
                       queue_unless_queued, s);
}

void
mg_strikes_report(mg_strikes *s, mg_buf *loads)
{
    int64_t now = mg_now(s->clock);
    list_for_each_safe(el, el1, &s->reports)
    {
        strike_report *r = list_entry(el, strike_report, link);
        if (now < r->next_ms) {
            continue;
        }
        mg_msg m = {.type = MG_MSG_LOAD_STRIKE};
        m.u.load_strike.key = r->key;
        m.u.load_strike.crash = r->crash;
        mg_msg_encode(&m, loads);
        r->next_ms = now + r->gap_ms;
        r->gap_ms *= 2;
        if (--r->copies == 0) {
            free_report(s, r);
        }
    }
}

void
mg_strikes_expire(mg_strikes *s)
{
    mg_quarantine_expire(s->quarantine, mg_now(s->clock));
}
