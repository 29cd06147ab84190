#include "gateway/strikes.h"

#include <stdlib.h>

#include "base/list.h"
#include "gateway/blame.h"
#include "gateway/gateway.h"
#include "gateway/served.h"
#include "gateway/trial.h"

/* a strike, or a key that was served, which stands in further reports */
typedef struct strike_report {
    struct list_head link;
    uint64_t key;
    uint64_t crash; /* 0: the key was served */
    uint64_t run;
    int64_t at_ms;
    unsigned position;
    unsigned copies; /* to be sent */
    int64_t next_ms;
    int64_t gap_ms;
} strike_report;

/* a part that is blamed, or may be the cause as well; see blame.h */
typedef struct blamed_part {
    uint64_t key;
    size_t group;
    size_t tied;
} blamed_part;

typedef struct parts {
    const mg_strikes *strikes;
    size_t count;
    mg_blame_part part[MG_STRIKES_PARTS_MAX];
} parts;

struct mg_strikes {
    mg_clock *clock;
    mg_quarantine *quarantine;
    mg_served *served;
    blamed_part blamed[MG_STRIKES_PARTS_MAX];
    size_t blamed_count;
    mg_blame_group groups[MG_STRIKES_PARTS_MAX];
    size_t group_count;
    /* of each group: all other parts with strikes for its crashes were served
       before */
    bool others_served[MG_STRIKES_PARTS_MAX];
    bool changed; /* the blamed parts must be determined again */
    size_t self;  /* this entry, of entry_count */
    size_t entry_count;
    struct list_head reports;
    size_t report_count;
};

mg_strikes *
mg_strikes_new(mg_clock *clock)
{
    mg_strikes *s = mg_alloc(sizeof(*s));
    s->clock = clock;
    s->quarantine = mg_quarantine_new();
    s->served = mg_served_new();
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
    mg_served_free(s->served);
    free(s);
}

static strike_report *
find_report(const mg_strikes *s, const mg_quarantine_crash_row *c)
{
    list_for_each(el, &s->reports)
    {
        strike_report *r = list_entry(el, strike_report, link);
        if (r->key == c->fingerprint && r->crash == c->crash) {
            return r;
        }
    }
    return NULL;
}

static strike_report *
new_report(mg_strikes *s, const mg_quarantine_crash_row *c)
{
    if (s->report_count >= MG_STRIKE_REPORTS_MAX) {
        free_report(s, list_entry(s->reports.next, strike_report, link));
    }
    strike_report *r = mg_alloc(sizeof(*r));
    r->key = c->fingerprint;
    r->crash = c->crash;
    list_add_tail(&r->link, &s->reports);
    s->report_count++;
    return r;
}

/* has all copies of a report sent, from now on */
static void
queue_report(void *user, const mg_quarantine_crash_row *c)
{
    mg_strikes *s = user;
    strike_report *r = find_report(s, c);
    r = r != NULL ? r : new_report(s, c);
    r->at_ms = c->at_ms;
    r->position = c->rank;
    r->run = mg_quarantine_merge_runs(r->run, c->run);
    r->copies = MG_STRIKE_COPIES;
    r->next_ms = mg_now(s->clock);
    r->gap_ms = MG_STRIKE_GAP_MS;
}

static bool
has_strikes(const mg_strikes *s, uint64_t key)
{
    return mg_quarantine_strikes(s->quarantine, key, mg_now(s->clock)) > 0;
}

/* Takes the key's strikes back. Their reports are dropped: an entry that has
   just started could get them without the one that the key was served. */
static void
clear_strikes(mg_strikes *s, uint64_t key, int64_t at_ms)
{
    mg_quarantine_clear(s->quarantine, key, at_ms, mg_now(s->clock));
    s->changed = true;
    list_for_each_safe(el, el1, &s->reports)
    {
        strike_report *r = list_entry(el, strike_report, link);
        if (r->key == key && r->crash != 0 && r->at_ms <= at_ms) {
            free_report(s, r);
        }
    }
}

bool
mg_strikes_was_served(const mg_strikes *s, uint64_t key)
{
    return mg_served_at(s->served, key) != INT64_MIN;
}

static unsigned
add_strike(mg_strikes *s, const mg_quarantine_crash_row *c)
{
    int64_t now = mg_now(s->clock);
    int64_t served_ms = mg_served_at(s->served, c->fingerprint);
    unsigned before =
        mg_quarantine_strikes(s->quarantine, c->fingerprint, now);
    mg_quarantine_add_strike(s->quarantine, c, now);
    s->changed = true;
    if (served_ms > c->at_ms) {
        clear_strikes(s, c->fingerprint, served_ms);
    }
    unsigned strikes =
        mg_quarantine_strikes(s->quarantine, c->fingerprint, now);
    if (before < MG_STRIKES_MAX && strikes >= MG_STRIKES_MAX) {
        /* all of them: an entry that has started since the first crash has
           got reports of the later ones only; and whether the key was served
           before, which this entry may be the only one to know */
        mg_quarantine_each_crash(s->quarantine, c->fingerprint, queue_report,
                                 s);
    }
    return strikes;
}

unsigned
mg_strikes_add(mg_strikes *s, uint64_t key, unsigned position, uint64_t crash,
               uint64_t run)
{
    mg_quarantine_crash_row c = {key, crash, mg_now(s->clock), position, run};
    queue_report(s, &c);
    return add_strike(s, &c);
}

/* the time at which something happened that is age_ms old */
static int64_t
time_of(const mg_strikes *s, uint64_t age_ms)
{
    uint64_t max = MG_QUARANTINE_DURATION_MS;
    return mg_now(s->clock) - (int64_t)(age_ms < max ? age_ms : max);
}

unsigned
mg_strikes_receive(mg_strikes *s, const mg_load_strike_msg *m)
{
    mg_quarantine_crash_row c = {.fingerprint = m->key,
                                 .crash = m->crash,
                                 .at_ms = time_of(s, m->age_ms),
                                 .rank = (unsigned)m->position};
    return add_strike(s, &c);
}

/* has it reported that the key was served then */
static void
report_served(mg_strikes *s, uint64_t key, int64_t at_ms)
{
    mg_quarantine_crash_row c = {.fingerprint = key, .at_ms = at_ms};
    queue_report(s, &c);
}

void
mg_strikes_served(mg_strikes *s, uint64_t key)
{
    int64_t now = mg_now(s->clock);
    mg_served_note(s->served, key, now);
    if (has_strikes(s, key)) {
        clear_strikes(s, key, now);
        report_served(s, key, now);
    }
}

static void
note_served(mg_strikes *s, uint64_t key, int64_t at_ms)
{
    mg_served_note(s->served, key, at_ms);
    clear_strikes(s, key, at_ms);
}

void
mg_strikes_receive_served(mg_strikes *s, const mg_load_served_msg *m)
{
    note_served(s, m->key, time_of(s, m->age_ms));
}

void
mg_strikes_receive_details(mg_strikes *s, const mg_load_suspect_msg *m)
{
    mg_quarantine_add_run(s->quarantine, m->key, m->crash, m->run);
    mg_quarantine_note_trials(s->quarantine, m->key,
                              m->trials < MG_TRIALS_MAX ? (unsigned)m->trials
                                                        : MG_TRIALS_MAX,
                              mg_now(s->clock));
    s->changed = true;
    if (m->served_age_ms > 0) {
        note_served(s, m->key, time_of(s, m->served_age_ms - 1));
    }
}

static void
collect_crash(void *user, const mg_quarantine_crash_row *c)
{
    parts *all = user;
    mg_blame_part *p = all->count > 0 ? &all->part[all->count - 1] : NULL;
    if (!(c->fingerprint & MG_STRIKES_PART)) {
        return;
    }
    if (p == NULL || p->key != c->fingerprint) {
        if (all->count == MG_STRIKES_PARTS_MAX) {
            return;
        }
        p = &all->part[all->count++];
        *p = (mg_blame_part){
            .key = c->fingerprint,
            .position = c->rank,
            .served = mg_strikes_was_served(all->strikes, c->fingerprint)};
    }
    p->crashes[p->crash_count].id = c->crash;
    p->crashes[p->crash_count++].run = c->run;
}

static bool
crashed_apart(const mg_strikes *s, uint64_t key)
{
    return mg_quarantine_span_ms(s->quarantine, key) >= MG_STRIKES_SPAN_MS;
}

static void
determine_blamed(mg_strikes *s)
{
    static parts all;
    all.strikes = s;
    all.count = 0;
    s->blamed_count = 0;
    s->changed = false;
    mg_quarantine_each(s->quarantine, MG_STRIKES_MAX, mg_now(s->clock),
                       collect_crash, &all);
    s->group_count = mg_blame(all.part, all.count, s->groups);
    for (size_t i = 0; i < all.count; i++) {
        const mg_blame_part *p = &all.part[i];
        if (p->tied != 0) {
            s->blamed[s->blamed_count++] =
                (blamed_part){p->key, p->group, p->tied};
        }
    }
}

/* Targets that crash at one moment have another cause than a part that all of
   them ran. */
static void
acquit_at_one_moment(mg_strikes *s)
{
    bool apart[MG_STRIKES_PARTS_MAX] = {false};
    size_t kept = 0;
    for (size_t i = 0; i < s->blamed_count; i++) {
        const blamed_part *p = &s->blamed[i];
        if (p->group != 0) {
            apart[p->group - 1] |= crashed_apart(s, p->key);
        }
    }
    for (size_t i = 0; i < s->blamed_count; i++) {
        if (apart[s->blamed[i].tied - 1]) {
            s->blamed[kept++] = s->blamed[i];
        }
    }
    s->blamed_count = kept;
}

static blamed_part
search_blamed(const mg_strikes *s, uint64_t key)
{
    for (size_t i = 0; i < s->blamed_count; i++) {
        if (s->blamed[i].key == key) {
            return s->blamed[i];
        }
    }
    return (blamed_part){.key = key};
}

static bool
has_crash(const mg_blame_group *g, uint64_t crash)
{
    bool found = false;
    for (size_t i = 0; i < g->crash_count; i++) {
        found |= g->crashes[i] == crash;
    }
    return found;
}

static void
note_if_unserved(void *user, const mg_quarantine_crash_row *c)
{
    mg_strikes *s = user;
    if (!(c->fingerprint & MG_STRIKES_PART) ||
        mg_strikes_was_served(s, c->fingerprint)) {
        return;
    }
    size_t own = search_blamed(s, c->fingerprint).group;
    for (size_t i = 0; i < s->group_count; i++) {
        if (own != i + 1 && has_crash(&s->groups[i], c->crash)) {
            s->others_served[i] = false;
        }
    }
}

static void
determine_others_served(mg_strikes *s)
{
    for (size_t i = 0; i < s->group_count; i++) {
        s->others_served[i] = true;
    }
    if (s->group_count == 0) {
        return;
    }
    mg_quarantine_each(s->quarantine, 1, mg_now(s->clock), note_if_unserved,
                       s);
}

static blamed_part
find_blamed(mg_strikes *s, uint64_t key)
{
    if (s->changed) {
        determine_blamed(s);
        acquit_at_one_moment(s);
        determine_others_served(s);
    }
    return search_blamed(s, key);
}

static size_t
group_of(mg_strikes *s, uint64_t key)
{
    return find_blamed(s, key).group;
}

static bool
refuses_request(const mg_strikes *s, uint64_t key)
{
    bool served = mg_strikes_was_served(s, key);
    return mg_quarantine_strikes(s->quarantine, key, mg_now(s->clock)) >=
               mg_blame_strikes_needed(served) &&
           (!served || crashed_apart(s, key));
}

/* whether keys[i] is none of those before it: a prompt may have a part twice
 */
static bool
is_first(const uint64_t *keys, size_t i)
{
    size_t k = 0;
    while (keys[k] != keys[i]) {
        k++;
    }
    return k == i;
}

/* whether the keys have all parts of a group */
static bool
have_group(mg_strikes *s, const uint64_t *keys, size_t n, size_t group)
{
    size_t found = 0;
    for (size_t i = 0; i < n; i++) {
        found += is_first(keys, i) && group_of(s, keys[i]) == group;
    }
    return found == s->groups[group - 1].size;
}

static bool
is_cause(mg_strikes *s, const uint64_t *keys, size_t n, size_t i)
{
    if (!(keys[i] & MG_STRIKES_PART)) {
        return refuses_request(s, keys[i]);
    }
    size_t group = group_of(s, keys[i]);
    return group != 0 && have_group(s, keys, n, group);
}

size_t
mg_strikes_find_cause(mg_strikes *s, const uint64_t *keys, size_t n,
                      size_t *cause)
{
    size_t count = 0;
    for (size_t i = 0; i < n; i++) {
        if (is_cause(s, keys, n, i)) {
            cause[count++] = i;
        }
    }
    return count;
}

bool
mg_strikes_refuses(mg_strikes *s, uint64_t key)
{
    size_t cause;
    return mg_strikes_find_cause(s, &key, 1, &cause) > 0;
}

size_t
mg_strikes_blames(mg_strikes *s, uint64_t key)
{
    if (!(key & MG_STRIKES_PART)) {
        return refuses_request(s, key);
    }
    size_t group = group_of(s, key);
    return group != 0 ? s->groups[group - 1].size : 0;
}

/* --------------------------------------------------------------- trials */

void
mg_strikes_set_entries(mg_strikes *s, size_t self, size_t n)
{
    s->self = self;
    s->entry_count = n;
}

/* what is known of a refused key, and of the group of a part */
static mg_trial_state
trial_state(mg_strikes *s, uint64_t key)
{
    mg_trial_state t = {
        .key = key,
        .crash_count =
            mg_quarantine_strikes(s->quarantine, key, mg_now(s->clock)),
        .crashed_ms = mg_quarantine_last_ms(s->quarantine, key),
        .served = mg_strikes_was_served(s, key),
    };
    t.trials = mg_quarantine_trials(s->quarantine, key, &t.tried_ms);
    if (key & MG_STRIKES_PART) {
        size_t group = group_of(s, key);
        t.key = s->groups[group - 1].key;
        t.others_served = s->others_served[group - 1];
    }
    return t;
}

/* Whether a request with these keys shows no more than what is known, that one
   of the parts that are tied with the group crashes targets: it has all. */
static bool
tells_nothing(mg_strikes *s, const uint64_t *keys, size_t n, size_t group)
{
    const mg_blame_group *g = &s->groups[group - 1];
    size_t found = 0;
    for (size_t i = 0; i < n; i++) {
        found += is_first(keys, i) && find_blamed(s, keys[i]).tied == group;
    }
    return g->tied > g->size && found == g->tied;
}

bool
mg_strikes_may_try(mg_strikes *s, const uint64_t *keys, size_t n)
{
    size_t cause[MG_PARTS_MAX];
    size_t count = mg_strikes_find_cause(s, keys, n, cause);
    uint64_t turn_key = 0;
    for (size_t i = count; i > 0; i--) {
        uint64_t key = keys[cause[i - 1]];
        size_t group = group_of(s, key);
        if (group != 0 && tells_nothing(s, keys, n, group)) {
            return false;
        }
        mg_trial_state t = trial_state(s, key);
        /* the turns are those of a part, if one is at fault: further requests
           may have it, too */
        turn_key = turn_key != 0 ? turn_key : t.key;
        t.key = turn_key;
        if (!mg_trial_is_due(&t, mg_now(s->clock), s->self, s->entry_count)) {
            return false;
        }
    }
    return true;
}

static void
keep_last(void *user, const mg_quarantine_crash_row *c)
{
    mg_quarantine_crash_row *last = user;
    if (last->crash == 0 || c->at_ms >= last->at_ms) {
        *last = *c;
    }
}

void
mg_strikes_tried(mg_strikes *s, const uint64_t *keys, size_t n)
{
    size_t cause[MG_PARTS_MAX];
    size_t count = mg_strikes_find_cause(s, keys, n, cause);
    for (size_t i = 0; i < count; i++) {
        int64_t at_ms;
        mg_quarantine_crash_row last = {0};
        uint64_t key = keys[cause[i]];
        unsigned trials = mg_quarantine_trials(s->quarantine, key, &at_ms);
        mg_quarantine_note_trials(s->quarantine, key, trials + 1,
                                  mg_now(s->clock));
        mg_quarantine_each_crash(s->quarantine, key, keep_last, &last);
        queue_report(s, &last);
    }
}

/* -------------------------------------------------------------- reports */

bool
mg_strikes_is_empty(const mg_strikes *s)
{
    return mg_quarantine_is_empty(s->quarantine);
}

void
mg_strikes_entry_started(mg_strikes *s)
{
    mg_quarantine_each(s->quarantine, MG_STRIKES_MAX, mg_now(s->clock),
                       queue_report, s);
}

static void
put_served(const strike_report *r, int64_t now, mg_buf *loads)
{
    mg_msg m = {.type = MG_MSG_LOAD_SERVED};
    m.u.load_served.key = r->key;
    m.u.load_served.age_ms = (uint64_t)(now - r->at_ms);
    mg_msg_encode(&m, loads);
}

static void
put_strike(const mg_strikes *s, const strike_report *r, int64_t now,
           mg_buf *loads)
{
    mg_msg m = {.type = MG_MSG_LOAD_STRIKE};
    m.u.load_strike.key = r->key;
    m.u.load_strike.position = r->position;
    m.u.load_strike.crash = r->crash;
    m.u.load_strike.age_ms = (uint64_t)(now - r->at_ms);
    mg_msg_encode(&m, loads);
    m = (mg_msg){.type = MG_MSG_LOAD_SUSPECT};
    m.u.load_suspect.key = r->key;
    m.u.load_suspect.crash = r->crash;
    m.u.load_suspect.run = r->run;
    if (mg_strikes_was_served(s, r->key)) {
        int64_t age_ms = now - mg_served_at(s->served, r->key);
        m.u.load_suspect.served_age_ms = (uint64_t)age_ms + 1;
    }
    int64_t tried_ms;
    m.u.load_suspect.trials =
        mg_quarantine_trials(s->quarantine, r->key, &tried_ms);
    mg_msg_encode(&m, loads);
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
        if (r->crash == 0) {
            put_served(r, now, loads);
        }
        else {
            put_strike(s, r, now, loads);
        }
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
    s->changed = true;
}
