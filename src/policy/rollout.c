#include "policy/rollout.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* odds at which a verdict is given */
#define BAD_LOG_ODDS 9.2   /* e^9.2 is about 10,000 to 1 */
#define DOUBT_LOG_ODDS 3.0 /* 20 to 1 */
#define GOOD_LOG_ODDS -4.6 /* 1 to 100 */
#define BAD_FAILURE_RATE 0.30
#define FAILURE_FLOOR 0.01
#define FAILURE_CEILING 0.15
#define SLOW_FACTOR 1.6
#define SLOW_RATE_GOOD 0.15
#define SLOW_RATE_BAD 0.60
#define BASELINE_WEIGHT 0.05
#define BASELINE_MIN_SAMPLES 15
/* answers at the present share before it grows */
#define STEP_MIN_SAMPLES 10
#define STEP_MIN_MS 1000
/* of a bounded time: the least time at a share, and the part in which the
   share stays at the first one */
#define WINDOW_STEP_MS 400
#define WINDOW_SMALL_PART 0.45
/* grants to the new version that are not yet judged, in CANARY */
#define CANARY_OPEN_MAX 6
/* grants asked from the log at a time */
#define CANARY_RESERVE 6

/* a bounded time: the shares, and the part of the time that has passed when
   each is left also with few answers */
static const struct window_step {
    uint32_t permille;
    double leave_part;
} window_steps[] = {
    {0, 0.3},    {20, 0.46},  {50, 0.52},   {100, 0.58},
    {250, 0.64}, {500, 0.70}, {1000, 0.86},
};
#define WINDOW_STEPS (sizeof(window_steps) / sizeof(window_steps[0]))
static const uint32_t ramp_permille[] = {50, 100, 250, 500, 1000};
#define ALL_PERMILLE 1000
#define RAMP_STEPS (sizeof(ramp_permille) / sizeof(ramp_permille[0]))

/* a sequential test between two rates of an event */
struct sprt {
    double odds;
};

/* what the old version does on a route */
struct baseline {
    uint64_t samples;
    double failure_rate;
    double first_per_token;
    double gap_ms;
};

struct route {
    char name[MG_NAME_SIZE];
    struct baseline old;
    struct sprt failures;
    struct sprt slow_first;
    struct sprt slow_gap;
    uint64_t new_samples;
};

struct mg_rollout {
    mg_clock *clock;
    char name[MG_NAME_SIZE];
    char from[MG_NAME_SIZE];
    char to[MG_NAME_SIZE];
    int64_t start_wall_ms;
    int64_t by_wall_ms;
    double canary_percent;
    int64_t window_ms;
    double slow_factor;
    mg_rollout_state_id state;
    uint32_t share;
    bool condemned; /* local verdict, stands before the log has it */
    char verdict[160];
    uint64_t reserved;    /* grants in CANARY that the log allows */
    uint64_t granted_new; /* with what earlier holders may have granted */
    uint64_t granted_all;
    uint64_t step_new; /* since the share last changed */
    uint64_t step_all;
    uint64_t step_answers;
    uint64_t open_new; /* granted and not yet sampled */
    int64_t step_at;
    struct route routes[MG_ROLLOUT_ROUTES_MAX]; /* the first is for all */
    size_t route_count;
};

const char *
mg_rollout_state_name(mg_rollout_state_id s)
{
    static const char *const names[] = {"pending", "canary", "ramp", "done",
                                        "taken_back"};
    return names[s];
}

mg_rollout *
mg_rollout_new(const mg_rollout_options *o)
{
    mg_rollout *r = mg_alloc(sizeof(*r));
    r->clock = o->clock;
    mg_str_copy(r->name, sizeof(r->name), mg_str_of(o->name));
    mg_str_copy(r->from, sizeof(r->from), mg_str_of(o->from));
    mg_str_copy(r->to, sizeof(r->to), mg_str_of(o->to));
    r->start_wall_ms = o->start_wall_ms;
    r->by_wall_ms = o->deadline_wall_ms;
    r->canary_percent = o->canary_percent;
    r->window_ms = o->window_ms;
    r->slow_factor = o->slow_factor > 0 ? o->slow_factor : SLOW_FACTOR;
    r->state = o->state;
    r->share = o->share_permille;
    r->reserved = o->reserved;
    r->granted_new = o->reserved;
    r->step_at = mg_now(o->clock);
    strcpy(r->routes[0].name, "*");
    r->route_count = 1;
    return r;
}

void
mg_rollout_free(mg_rollout *r)
{
    free(r);
}

static uint64_t
canary_budget(const mg_rollout *r)
{
    double share = (double)r->granted_all * r->canary_percent / 100.0;
    uint64_t budget = (uint64_t)share;
    return budget > MG_ROLLOUT_CANARY_MIN_BUDGET
               ? budget
               : MG_ROLLOUT_CANARY_MIN_BUDGET;
}

bool
mg_rollout_may_use_new(const mg_rollout *r)
{
    if (r->condemned) {
        return false;
    }
    switch (r->state) {
    case MG_ROLLOUT_CANARY:
        return r->granted_new < r->reserved && r->open_new < CANARY_OPEN_MAX;
    case MG_ROLLOUT_RAMP:
        return r->share == ALL_PERMILLE ||
               r->step_new * 1000 <= (r->step_all + 1) * r->share;
    case MG_ROLLOUT_DONE:
        return true;
    case MG_ROLLOUT_PENDING:
    case MG_ROLLOUT_ROLLED_BACK:
        break;
    }
    return false;
}

bool
mg_rollout_may_use_old(const mg_rollout *r)
{
    return r->state != MG_ROLLOUT_DONE;
}

void
mg_rollout_count_grant(mg_rollout *r, bool is_new)
{
    r->granted_all++;
    r->step_all++;
    if (is_new) {
        r->granted_new++;
        r->step_new++;
        r->open_new++;
    }
}

void
mg_rollout_withdraw_grant(mg_rollout *r, bool is_new)
{
    /* the budget is not given back: the request may have been seen */
    if (is_new && r->open_new > 0) {
        r->open_new--;
    }
}

static struct route *
find_route(mg_rollout *r, const char *name)
{
    for (size_t i = 1; i < r->route_count; i++) {
        if (strcmp(r->routes[i].name, name) == 0) {
            return &r->routes[i];
        }
    }
    if (r->route_count == MG_ROLLOUT_ROUTES_MAX) {
        return NULL;
    }
    struct route *route = &r->routes[r->route_count++];
    mg_str_copy(route->name, sizeof(route->name), mg_str_of(name));
    return route;
}

static void
blend(double *mean, double value, uint64_t samples)
{
    double w = 1.0 / (double)(samples + 1);
    w = w > BASELINE_WEIGHT ? w : BASELINE_WEIGHT;
    *mean += (value - *mean) * w;
}

static void
sample_old(struct route *route, const mg_version_sample *s)
{
    struct baseline *b = &route->old;
    blend(&b->failure_rate, s->failed, b->samples);
    if (!s->failed) {
        blend(&b->first_per_token, s->first_per_token, b->samples);
        blend(&b->gap_ms, s->gap_ms, b->samples);
    }
    b->samples++;
}

static void
sprt_add(struct sprt *t, bool event, double good, double bad)
{
    t->odds += event ? log(bad / good) : log((1 - bad) / (1 - good));
    /* evidence of the past must not hide a version that turns bad */
    if (t->odds < GOOD_LOG_ODDS) {
        t->odds = GOOD_LOG_ODDS;
    }
}

static void
condemn(mg_rollout *r, const struct route *route, const char *what,
        double odds)
{
    if (r->condemned) {
        return;
    }
    r->condemned = true;
    snprintf(r->verdict, sizeof(r->verdict),
             "%s route=%s log_odds=%.1f answers=%llu", what, route->name, odds,
             (unsigned long long)route->new_samples);
}

static void
sample_new(mg_rollout *r, struct route *route, const mg_version_sample *s)
{
    const struct baseline *b = &route->old;
    double good = b->failure_rate;
    good = good < FAILURE_FLOOR ? FAILURE_FLOOR : good;
    good = good > FAILURE_CEILING ? FAILURE_CEILING : good;
    route->new_samples++;
    sprt_add(&route->failures, s->failed, good, BAD_FAILURE_RATE);
    if (route->failures.odds > BAD_LOG_ODDS) {
        condemn(r, route, "failures", route->failures.odds);
    }
    if (s->failed || b->samples < BASELINE_MIN_SAMPLES) {
        return;
    }
    bool slow = s->first_per_token > b->first_per_token * r->slow_factor;
    sprt_add(&route->slow_first, slow, SLOW_RATE_GOOD, SLOW_RATE_BAD);
    if (route->slow_first.odds > BAD_LOG_ODDS) {
        condemn(r, route, "slow_first_token", route->slow_first.odds);
    }
    if (s->gap_ms <= 0 || b->gap_ms <= 0) {
        return;
    }
    slow = s->gap_ms > b->gap_ms * r->slow_factor;
    sprt_add(&route->slow_gap, slow, SLOW_RATE_GOOD, SLOW_RATE_BAD);
    if (route->slow_gap.odds > BAD_LOG_ODDS) {
        condemn(r, route, "slow_tokens", route->slow_gap.odds);
    }
}

void
mg_rollout_add_sample(mg_rollout *r, const mg_version_sample *s)
{
    struct route *routes[2] = {&r->routes[0], find_route(r, s->route)};
    for (size_t i = 0; i < 2; i++) {
        if (routes[i] == NULL) {
            continue;
        }
        if (s->is_new) {
            sample_new(r, routes[i], s);
        }
        else {
            sample_old(routes[i], s);
        }
    }
    if (s->is_new) {
        r->step_answers++;
        if (r->open_new > 0) {
            r->open_new--;
        }
    }
}

/* every test of the version as a whole leans to good */
static bool
proved(const mg_rollout *r)
{
    const struct route *all = &r->routes[0];
    return all->failures.odds < 0 && all->slow_first.odds <= 0 &&
           all->slow_gap.odds <= 0;
}

static int64_t
step_ms(const mg_rollout *r)
{
    return r->window_ms > 0 ? WINDOW_STEP_MS : STEP_MIN_MS;
}

static double
passed_part(const mg_rollout *r)
{
    int64_t left = r->by_wall_ms - mg_wall(r->clock);
    return 1 - (double)left / (double)r->window_ms;
}

static uint32_t
present_share(const mg_rollout *r)
{
    return r->state == MG_ROLLOUT_RAMP ? r->share : 0;
}

static bool
nothing_speaks_against(const mg_rollout *r)
{
    const struct route *all = &r->routes[0];
    return !r->condemned && all->failures.odds <= DOUBT_LOG_ODDS &&
           all->slow_first.odds <= DOUBT_LOG_ODDS &&
           all->slow_gap.odds <= DOUBT_LOG_ODDS;
}

/* bounded in time: few answers must not hold it up */
static bool
step_timed_out(const mg_rollout *r)
{
    if (r->window_ms == 0 || !nothing_speaks_against(r)) {
        return false;
    }
    for (size_t i = 0; i < WINDOW_STEPS; i++) {
        if (window_steps[i].permille >= present_share(r)) {
            return passed_part(r) >= window_steps[i].leave_part;
        }
    }
    return false;
}

static bool
stays_small(const mg_rollout *r)
{
    return r->window_ms > 0 && present_share(r) > 0 &&
           passed_part(r) < WINDOW_SMALL_PART;
}

static bool
step_done(const mg_rollout *r)
{
    int64_t age = mg_now(r->clock) - r->step_at;
    if (age < step_ms(r) || stays_small(r)) {
        return false;
    }
    return (r->step_answers >= STEP_MIN_SAMPLES && proved(r)) ||
           step_timed_out(r);
}

static bool
change(const mg_rollout *r, mg_rollout_change *c, mg_rollout_state_id state,
       uint32_t share, const char *reason)
{
    c->state = state;
    c->share_permille = share;
    c->reserved = r->reserved;
    snprintf(c->reason, sizeof(c->reason), "%s", reason);
    return true;
}

static uint32_t
next_share(const mg_rollout *r)
{
    uint32_t share = present_share(r);
    for (size_t i = 0; r->window_ms > 0 && i < WINDOW_STEPS; i++) {
        if (window_steps[i].permille > share) {
            return window_steps[i].permille;
        }
    }
    for (size_t i = 0; r->window_ms == 0 && i < RAMP_STEPS; i++) {
        if (ramp_permille[i] > share) {
            return ramp_permille[i];
        }
    }
    return ALL_PERMILLE;
}

/* asks for more canary grants before the reserved ones are used up */
static bool
reserve_more(const mg_rollout *r, mg_rollout_change *c)
{
    uint64_t budget = canary_budget(r);
    if (r->state != MG_ROLLOUT_CANARY || r->reserved >= budget ||
        r->granted_new + CANARY_RESERVE / 2 < r->reserved) {
        return false;
    }
    change(r, c, MG_ROLLOUT_CANARY, 0, "reserve");
    c->reserved += CANARY_RESERVE;
    c->reserved = c->reserved < budget ? c->reserved : budget;
    return true;
}

bool
mg_rollout_next_change(mg_rollout *r, bool has_targets, mg_rollout_change *c)
{
    int64_t wall = mg_wall(r->clock);
    if (r->state == MG_ROLLOUT_DONE || r->state == MG_ROLLOUT_ROLLED_BACK) {
        return false;
    }
    if (r->condemned) {
        return change(r, c, MG_ROLLOUT_ROLLED_BACK, 0, r->verdict);
    }
    if (wall >= r->by_wall_ms && r->window_ms > 0 &&
        r->share == ALL_PERMILLE && nothing_speaks_against(r)) {
        return change(r, c, MG_ROLLOUT_DONE, ALL_PERMILLE, "its time is over");
    }
    if (wall >= r->by_wall_ms) {
        return change(r, c, MG_ROLLOUT_ROLLED_BACK, 0,
                      "not proved by its time");
    }
    if (r->state == MG_ROLLOUT_PENDING) {
        if (wall < r->start_wall_ms || !has_targets) {
            return false;
        }
        change(r, c, MG_ROLLOUT_CANARY, 0, "start");
        c->reserved = CANARY_RESERVE;
        return true;
    }
    if (!step_done(r)) {
        return reserve_more(r, c);
    }
    if (r->state == MG_ROLLOUT_CANARY) {
        return change(r, c, MG_ROLLOUT_RAMP, next_share(r), "canary proved");
    }
    if (r->share == ALL_PERMILLE) {
        return change(r, c, MG_ROLLOUT_DONE, ALL_PERMILLE,
                      "all traffic proved");
    }
    return change(r, c, MG_ROLLOUT_RAMP, next_share(r), "step proved");
}

void
mg_rollout_committed(mg_rollout *r, mg_rollout_state_id state, uint32_t share,
                     uint64_t reserved)
{
    if (reserved > r->reserved) {
        r->reserved = reserved;
    }
    if (r->state == MG_ROLLOUT_DONE || r->state == MG_ROLLOUT_ROLLED_BACK) {
        return;
    }
    if (r->state == state && r->share == share) {
        return;
    }
    r->state = state;
    r->share = share;
    r->step_new = 0;
    r->step_all = 0;
    r->step_answers = 0;
    r->step_at = mg_now(r->clock);
}

mg_rollout_state_id
mg_rollout_state(const mg_rollout *r)
{
    return r->state;
}

uint32_t
mg_rollout_share(const mg_rollout *r)
{
    return r->share;
}

bool
mg_rollout_is_new(const mg_rollout *r, const char *version)
{
    return strcmp(r->to, version) == 0;
}

int64_t
mg_rollout_min_duration_ms(void)
{
    return (int64_t)(RAMP_STEPS + 1) * STEP_MIN_MS;
}
