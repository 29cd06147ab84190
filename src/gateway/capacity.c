#include "gateway/capacity.h"

#include <string.h>

#include "base/bytes.h"

/* time until all entries have noticed that an entry is there or gone, ms */
#define HANDOVER_MS 1000
/* longest time that a report takes to another entry, ms */
#define REPORT_DELAY_MS 700
/* a response is told to other entries for this time, ms */
#define NEWS_MS 3000
/* interval at which an entry passes on what it only knows from others, ms */
#define RELAY_INTERVAL_MS 1000
/* a statement is dropped when no entry has heard it for this time, or for this
   many times the interval between requests that the limit allows */
#define SILENT_MS 10000
#define SILENT_INTERVALS 4.0
/* part of a second's requests of a share that may be sent at once, if more
   than one: requests are dispatched every 50 ms only */
#define AT_ONCE_PART 0.25
/* the response to a request that is sent after a wanted pause is waited for so
   long before the next one, ms */
#define TEST_MS 1000
/* entries that a pause is reported to wait so much longer, and up to
   REPORTED_SPREAD_MS more, ms */
#define REPORTED_DELAY_MS 300
#define REPORTED_SPREAD_MS 700
/* pause after a rejection by a brittle target, ms */
#define REJECTED_PAUSE_MS 1000

/* ----------------------------------------------------------- statements */

static int64_t
max_time(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* starts a new allowance; nothing may be sent before from_ms */
static void
restart_allowance(mg_capacity *c, int64_t from_ms)
{
    c->allowance = 0;
    c->allowance_ms = from_ms;
}

/* Adds a response that arrived at heard_ms, to a request sent at sent_ms. */
static void
mention(mg_capacity_mentions *m, bool present, int64_t sent_ms,
        int64_t heard_ms)
{
    if (present) {
        m->heard_ms = max_time(m->heard_ms, heard_ms);
    }
    else {
        m->lacking_ms = max_time(m->lacking_ms, sent_ms);
    }
}

static bool
holds(const mg_capacity_mentions *m)
{
    return m->heard_ms != 0 && m->lacking_ms <= m->heard_ms;
}

static bool
apply(mg_capacity *c, const mg_capacity_statement *s, int64_t sent_ms,
      int64_t heard_ms, int64_t now)
{
    mg_capacity_statement before = c->stated;
    if (s->limited && heard_ms >= c->limit.heard_ms) {
        c->stated.rate_max = s->rate_max;
    }
    if (s->brittle && heard_ms >= c->brittle.heard_ms) {
        c->stated.rejections_max = s->rejections_max;
    }
    mention(&c->limit, s->limited, sent_ms, heard_ms);
    mention(&c->brittle, s->brittle, sent_ms, heard_ms);
    c->stated.limited = holds(&c->limit);
    c->stated.brittle = holds(&c->brittle);
    if (c->stated.limited && !before.limited) {
        c->shares = 0;
        restart_allowance(c, now);
    }
    return before.limited != c->stated.limited ||
           before.rate_max != c->stated.rate_max ||
           before.brittle != c->stated.brittle ||
           before.rejections_max != c->stated.rejections_max;
}

bool
mg_capacity_heard(mg_capacity *c, const mg_capacity_statement *s,
                  int64_t sent_ms, int64_t now)
{
    c->heard = *s;
    c->received_ms = now;
    c->sent_ms = sent_ms;
    if (s->pause_ms > 0) {
        c->heard_until_ms = max_time(c->heard_until_ms, now + s->pause_ms);
        c->unwanted_until_ms =
            max_time(c->unwanted_until_ms, c->heard_until_ms);
        c->test_sent_ms = 0;
    }
    else if (sent_ms >= c->unwanted_until_ms) {
        c->unwanted_until_ms = 0;
    }
    return apply(c, s, sent_ms, now, now);
}

/* Whether others may know of a statement, so that its end is news to them. */
static bool
is_remembered(const mg_capacity_mentions *m, int64_t now)
{
    return m->heard_ms != 0 && now - m->heard_ms < SILENT_MS;
}

bool
mg_capacity_next_report(mg_capacity *c, int64_t now, mg_capacity_report *out)
{
    bool in_need = c->stated.limited || c->stated.brittle;
    int64_t heard_ms = max_time(c->limit.heard_ms, c->brittle.heard_ms);
    if (c->received_ms != 0 && now - c->received_ms < NEWS_MS) {
        *out = (mg_capacity_report){c->heard, now - c->received_ms,
                                    now - c->sent_ms};
        return in_need || is_remembered(&c->limit, now) ||
               is_remembered(&c->brittle, now);
    }
    /* an entry that has obtained the share since may not know */
    if (!in_need || now - heard_ms < NEWS_MS ||
        now - c->relayed_ms < RELAY_INTERVAL_MS) {
        return false;
    }
    c->relayed_ms = now;
    /* older than it is, so that what entries relay to each other ages */
    *out =
        (mg_capacity_report){c->stated, now - heard_ms + REPORT_DELAY_MS, now};
    return true;
}

bool
mg_capacity_reported(mg_capacity *c, const mg_capacity_report *r, int64_t now)
{
    /* the ages don't count the time that the report has taken */
    return apply(c, &r->said, now - r->sent_age_ms - REPORT_DELAY_MS,
                 now - r->age_ms, now);
}

bool
mg_capacity_expire(mg_capacity *c, int64_t now)
{
    bool changed = false;
    double interval_ms =
        c->stated.rate_max > 0 ? 1000.0 / c->stated.rate_max : 0;
    double silent_ms = SILENT_INTERVALS * interval_ms;
    silent_ms = silent_ms > SILENT_MS ? silent_ms : SILENT_MS;
    if (c->stated.limited && (double)(now - c->limit.heard_ms) > silent_ms) {
        c->stated.limited = false;
        c->limit.heard_ms = 0;
        changed = true;
    }
    if (c->stated.brittle && !is_remembered(&c->brittle, now)) {
        c->stated.brittle = false;
        c->brittle.heard_ms = 0;
        changed = true;
    }
    return changed;
}

/* --------------------------------------------------------------- shares */

uint32_t
mg_capacity_shares(double rate_max, size_t entries)
{
    if (rate_max < 2) {
        return 1;
    }
    return rate_max < (double)entries ? (uint32_t)rate_max : (uint32_t)entries;
}

static uint64_t
rank_of(uint64_t target, uint64_t entry)
{
    return mg_hash_pair((mg_str){(const char *)&target, sizeof(target)},
                        (mg_str){(const char *)&entry, sizeof(entry)});
}

bool
mg_capacity_owns(uint64_t target, const uint64_t *keys, size_t n, size_t self,
                 uint32_t shares)
{
    uint32_t before = 0;
    if (self >= n) {
        return false;
    }
    uint64_t own = rank_of(target, keys[self]);
    for (size_t i = 0; i < n; i++) {
        before += i != self && rank_of(target, keys[i]) > own;
    }
    return before < shares;
}

void
mg_capacity_divide(mg_capacity *c, bool owner, uint32_t shares, int64_t now)
{
    bool divided = c->shares != 0;
    bool gains = owner && (!c->owner || shares < c->shares);
    if (divided && gains) {
        restart_allowance(c, now + HANDOVER_MS);
    }
    c->owner = owner;
    c->shares = shares;
}

/* ------------------------------------------------------------- requests */

static void
update_allowance(mg_capacity *c, int64_t now)
{
    double rate = c->stated.rate_max / (double)c->shares;
    double max = rate * AT_ONCE_PART > 1 ? rate * AT_ONCE_PART : 1;
    if (now > c->allowance_ms) {
        c->allowance += rate * (double)(now - c->allowance_ms) / 1000.0;
        c->allowance = c->allowance < max ? c->allowance : max;
        c->allowance_ms = now;
    }
}

bool
mg_capacity_admits(mg_capacity *c, int64_t now)
{
    if (c->stated.brittle && now < c->paused_until_ms) {
        return false;
    }
    if (c->unwanted_until_ms != 0 &&
        (now < c->unwanted_until_ms ||
         (c->test_sent_ms != 0 && now - c->test_sent_ms < TEST_MS))) {
        return false;
    }
    if (!c->stated.limited) {
        return true;
    }
    if (!c->owner || c->shares == 0) {
        return false;
    }
    update_allowance(c, now);
    return c->allowance >= 1;
}

void
mg_capacity_take(mg_capacity *c, int64_t now)
{
    c->test_sent_ms = now;
    if (c->stated.limited && c->owner && c->shares != 0) {
        update_allowance(c, now);
        c->allowance -= 1;
    }
}

int64_t
mg_capacity_pause_left(const mg_capacity *c, int64_t now)
{
    return c->heard_until_ms > now ? c->heard_until_ms - now : 0;
}

void
mg_capacity_pause_reported(mg_capacity *c, int64_t left_ms, double spread,
                           int64_t now)
{
    int64_t until = now + left_ms + REPORTED_DELAY_MS +
                    (int64_t)(spread * REPORTED_SPREAD_MS);
    /* reports of the same pause don't move its end back and forth */
    if (until > c->unwanted_until_ms + REPORTED_SPREAD_MS) {
        c->unwanted_until_ms = until;
        c->test_sent_ms = 0;
    }
}

void
mg_capacity_rejected(mg_capacity *c, int64_t now)
{
    c->paused_until_ms = now + REJECTED_PAUSE_MS;
}
