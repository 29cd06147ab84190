#include "policy/rollout.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* bounds of a log-likelihood ratio of "bad" against "good" */
#define REJECT_LLR 9.2 /* reject the version; e^9.2: about 10,000 to 1 */
#define DOUBT_LLR 3.0  /* above it no step times out; e^3.0: about 20 to 1 */
#define MIN_LLR -4.6   /* lower limit of the ratio; e^-4.6: about 1 to 100 */
/* expected failure rate of a bad version; limits of the expected rate of a
   good version, which is the rate of the old one */
#define BAD_FAILURE_RATE 0.30
#define GOOD_FAILURE_RATE_MIN 0.01
#define GOOD_FAILURE_RATE_MAX 0.15
/* default: a request is slow if a time measured for it exceeds this multiple
   of the old version's mean */
#define SLOW_FACTOR 1.6
/* expected fraction of slow requests of a good and of a bad version */
#define SLOW_RATE_GOOD 0.15
#define SLOW_RATE_BAD 0.60
/* the least weight of a sample in the old version's means */
#define BASELINE_WEIGHT_MIN 0.05
/* samples of the old version before latency is tested */
#define BASELINE_MIN_SAMPLES 15
/* minimum number of samples of the new version, and minimum time at a share,
   before the share grows */
#define STEP_MIN_SAMPLES 10
#define STEP_MIN_MS 1000
/* with window_ms: minimum time at a share, and the initial fraction of the
   window during which the share does not exceed the first one */
#define WINDOW_STEP_MS 400
#define WINDOW_FIRST_SHARE_PART 0.45
/* in CANARY: maximum number of grants to the new version without a sample */
#define CANARY_UNSAMPLED_MAX 6
/* grants reserved in the log at a time */
#define CANARY_RESERVE_BATCH 6

/* with window_ms: the share of each step (0: the state CANARY); the step ends
   even with too few samples once this part of the window has elapsed */
static const struct window_step {
    uint32_t permille;
    double leave_at;
} window_steps[] = {
    {0, 0.3},    {20, 0.46},  {50, 0.52},   {100, 0.58},
    {250, 0.64}, {500, 0.70}, {1000, 0.86},
};
#define WINDOW_STEPS (sizeof(window_steps) / sizeof(window_steps[0]))
/* without window_ms: the share of each step in RAMP */
static const uint32_t ramp_permille[] = {50, 100, 250, 500, 1000};
#define ALL_PERMILLE 1000
#define RAMP_STEPS (sizeof(ramp_permille) / sizeof(ramp_permille[0]))

/* sequential probability ratio test between two rates of an event */
struct sprt {
    double llr;
};

/* means of the old version on a route */
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
    int64_t deadline_wall_ms;
    double canary_percent;
    int64_t window_ms;
    double slow_factor;
    mg_rollout_state_id state;
    uint32_t share;
    bool rejected; /* by a local test; in force before the log records it */
    char reject_reason[160];
    uint64_t reserved;    /* grants in CANARY that the log allows */
    uint64_t granted_new; /* grants reserved before a restore count as made */
    uint64_t granted_all;
    /* grants to the new version, all grants, and samples of the new version
       since the state or share last changed */
    uint64_t step_new;
    uint64_t step_all;
    uint64_t step_samples;
    uint64_t unsampled_new; /* grants without a sample yet */
    int64_t step_start_ms;
    /* the first element counts the samples of all routes */
    struct route routes[MG_ROLLOUT_ROUTES_MAX];
    size_t route_count;
};

const char *
mg_rollout_state_name(mg_rollout_state_id s)
{
    static const char *const names[] = {
        [MG_ROLLOUT_PENDING] = "pending",
        [MG_ROLLOUT_CANARY] = "canary",
        [MG_ROLLOUT_RAMP] = "ramp",
        [MG_ROLLOUT_DONE] = "done",
        [MG_ROLLOUT_ROLLED_BACK] = "taken_back",
    };
    return names[s];
}

bool
mg_rollout_is_restarted(mg_rollout_state_id before, mg_rollout_state_id now)
{
    bool was_final =
        before == MG_ROLLOUT_DONE || before == MG_ROLLOUT_ROLLED_BACK;
    return now == MG_ROLLOUT_PENDING || (was_final && now != before);
}

mg_rollout *
mg_rollout_new(const mg_rollout_options *opts)
{
    mg_rollout *r = mg_alloc(sizeof(*r));
    r->clock = opts->clock;
    mg_str_copy(r->name, sizeof(r->name), mg_str_of(opts->name));
    mg_str_copy(r->from, sizeof(r->from), mg_str_of(opts->from));
    mg_str_copy(r->to, sizeof(r->to), mg_str_of(opts->to));
    r->start_wall_ms = opts->start_wall_ms;
    r->deadline_wall_ms = opts->deadline_wall_ms;
    r->canary_percent = opts->canary_percent;
    r->window_ms = opts->window_ms;
    r->slow_factor = opts->slow_factor > 0 ? opts->slow_factor : SLOW_FACTOR;
    r->state = opts->state;
    r->share = opts->share_permille;
    r->reserved = opts->reserved;
    r->granted_new = opts->reserved;
    r->step_start_ms = mg_now(opts->clock);
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
    if (r->state == MG_ROLLOUT_DONE) {
        return true; /* whatever the tests say: no other version is used */
    }
    if (r->rejected) {
        return false;
    }
    switch (r->state) {
    case MG_ROLLOUT_CANARY:
        return r->granted_new < r->reserved &&
               r->unsampled_new < CANARY_UNSAMPLED_MAX;
    case MG_ROLLOUT_RAMP:
        return r->share == ALL_PERMILLE ||
               r->step_new * 1000 <= (r->step_all + 1) * r->share;
    case MG_ROLLOUT_DONE:
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
        r->unsampled_new++;
    }
}

void
mg_rollout_withdraw_grant(mg_rollout *r, bool is_new)
{
    /* granted_new stays: the target may have received the request */
    if (is_new && r->unsampled_new > 0) {
        r->unsampled_new--;
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
update_mean(double *mean, double value, uint64_t samples)
{
    double w = 1.0 / (double)(samples + 1);
    w = w > BASELINE_WEIGHT_MIN ? w : BASELINE_WEIGHT_MIN;
    *mean += (value - *mean) * w;
}

static void
sample_old(struct route *route, const mg_version_sample *s)
{
    struct baseline *b = &route->old;
    update_mean(&b->failure_rate, s->failed, b->samples);
    if (!s->failed) {
        update_mean(&b->first_per_token, s->first_per_token, b->samples);
        update_mean(&b->gap_ms, s->gap_ms, b->samples);
    }
    b->samples++;
}

static void
sprt_add(struct sprt *t, bool event, double good_rate, double bad_rate)
{
    t->llr += event ? log(bad_rate / good_rate)
                    : log((1 - bad_rate) / (1 - good_rate));
    /* many good samples must not hide a later regression of the version */
    if (t->llr < MIN_LLR) {
        t->llr = MIN_LLR;
    }
}

static void
reject(mg_rollout *r, const struct route *route, const char *what, double llr)
{
    if (r->rejected) {
        return;
    }
    r->rejected = true;
    snprintf(r->reject_reason, sizeof(r->reject_reason),
             "%s route=%s log_odds=%.1f answers=%llu", what, route->name, llr,
             (unsigned long long)route->new_samples);
}

static void
sample_new(mg_rollout *r, struct route *route, const mg_version_sample *s)
{
    const struct baseline *b = &route->old;
    double good_rate = b->failure_rate;
    good_rate =
        good_rate < GOOD_FAILURE_RATE_MIN ? GOOD_FAILURE_RATE_MIN : good_rate;
    good_rate =
        good_rate > GOOD_FAILURE_RATE_MAX ? GOOD_FAILURE_RATE_MAX : good_rate;
    route->new_samples++;
    sprt_add(&route->failures, s->failed, good_rate, BAD_FAILURE_RATE);
    if (route->failures.llr > REJECT_LLR) {
        reject(r, route, "failures", route->failures.llr);
    }
    if (s->failed || b->samples < BASELINE_MIN_SAMPLES) {
        return;
    }
    bool slow = s->first_per_token > b->first_per_token * r->slow_factor;
    sprt_add(&route->slow_first, slow, SLOW_RATE_GOOD, SLOW_RATE_BAD);
    if (route->slow_first.llr > REJECT_LLR) {
        reject(r, route, "slow_first_token", route->slow_first.llr);
    }
    if (s->gap_ms <= 0 || b->gap_ms <= 0) {
        return;
    }
    slow = s->gap_ms > b->gap_ms * r->slow_factor;
    sprt_add(&route->slow_gap, slow, SLOW_RATE_GOOD, SLOW_RATE_BAD);
    if (route->slow_gap.llr > REJECT_LLR) {
        reject(r, route, "slow_tokens", route->slow_gap.llr);
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
        r->step_samples++;
        if (r->unsampled_new > 0) {
            r->unsampled_new--;
        }
    }
}

/* whether each test over the samples of all routes favors a good version */
static bool
tests_favor_new(const mg_rollout *r)
{
    const struct route *all = &r->routes[0];
    return all->failures.llr < 0 && all->slow_first.llr <= 0 &&
           all->slow_gap.llr <= 0;
}

static int64_t
min_step_ms(const mg_rollout *r)
{
    return r->window_ms > 0 ? WINDOW_STEP_MS : STEP_MIN_MS;
}

static double
elapsed_part(const mg_rollout *r)
{
    int64_t remaining_ms = r->deadline_wall_ms - mg_wall(r->clock);
    return 1 - (double)remaining_ms / (double)r->window_ms;
}

static uint32_t
current_share(const mg_rollout *r)
{
    return r->state == MG_ROLLOUT_RAMP ? r->share : 0;
}

static bool
no_sign_of_regression(const mg_rollout *r)
{
    const struct route *all = &r->routes[0];
    return !r->rejected && all->failures.llr <= DOUBT_LLR &&
           all->slow_first.llr <= DOUBT_LLR && all->slow_gap.llr <= DOUBT_LLR;
}

/* whether the step ends although it has too few samples: with window_ms, a
   lack of samples must not block it forever */
static bool
step_timed_out(const mg_rollout *r)
{
    if (r->window_ms == 0 || !no_sign_of_regression(r)) {
        return false;
    }
    for (size_t i = 0; i < WINDOW_STEPS; i++) {
        if (window_steps[i].permille >= current_share(r)) {
            return elapsed_part(r) >= window_steps[i].leave_at;
        }
    }
    return false;
}

static bool
held_at_first_share(const mg_rollout *r)
{
    return r->window_ms > 0 && current_share(r) > 0 &&
           elapsed_part(r) < WINDOW_FIRST_SHARE_PART;
}

static bool
step_completed(const mg_rollout *r)
{
    int64_t age = mg_now(r->clock) - r->step_start_ms;
    if (age < min_step_ms(r) || held_at_first_share(r)) {
        return false;
    }
    return (r->step_samples >= STEP_MIN_SAMPLES && tests_favor_new(r)) ||
           step_timed_out(r);
}

static bool
fill_change(const mg_rollout *r, mg_rollout_change *c,
            mg_rollout_state_id state, uint32_t share, const char *reason)
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
    uint32_t share = current_share(r);
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

/* reserves more canary grants before the reserved ones are used up */
static bool
reserve_more(const mg_rollout *r, mg_rollout_change *c)
{
    uint64_t budget = canary_budget(r);
    if (r->state != MG_ROLLOUT_CANARY || r->reserved >= budget ||
        r->granted_new + CANARY_RESERVE_BATCH / 2 < r->reserved) {
        return false;
    }
    fill_change(r, c, MG_ROLLOUT_CANARY, 0, "reserve");
    c->reserved += CANARY_RESERVE_BATCH;
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
    if (r->rejected) {
        return fill_change(r, c, MG_ROLLOUT_ROLLED_BACK, 0, r->reject_reason);
    }
    if (wall >= r->deadline_wall_ms && r->window_ms > 0 &&
        r->share == ALL_PERMILLE && no_sign_of_regression(r)) {
        return fill_change(r, c, MG_ROLLOUT_DONE, ALL_PERMILLE,
                           "its time is over");
    }
    if (wall >= r->deadline_wall_ms) {
        return fill_change(r, c, MG_ROLLOUT_ROLLED_BACK, 0,
                           "not proved by its time");
    }
    if (r->state == MG_ROLLOUT_PENDING) {
        if (wall < r->start_wall_ms || !has_targets) {
            return false;
        }
        fill_change(r, c, MG_ROLLOUT_CANARY, 0, "start");
        c->reserved = CANARY_RESERVE_BATCH;
        return true;
    }
    if (!step_completed(r)) {
        return reserve_more(r, c);
    }
    if (r->state == MG_ROLLOUT_CANARY) {
        return fill_change(r, c, MG_ROLLOUT_RAMP, next_share(r),
                           "canary proved");
    }
    if (r->share == ALL_PERMILLE) {
        return fill_change(r, c, MG_ROLLOUT_DONE, ALL_PERMILLE,
                           "all traffic proved");
    }
    return fill_change(r, c, MG_ROLLOUT_RAMP, next_share(r), "step proved");
}

void
mg_rollout_committed(mg_rollout *r, mg_rollout_state_id state,
                     uint32_t share_permille, uint64_t reserved)
{
    if (reserved > r->reserved) {
        r->reserved = reserved;
    }
    if (r->state == MG_ROLLOUT_DONE || r->state == MG_ROLLOUT_ROLLED_BACK) {
        return;
    }
    if (r->state == state && r->share == share_permille) {
        return;
    }
    r->state = state;
    r->share = share_permille;
    r->step_new = 0;
    r->step_all = 0;
    r->step_samples = 0;
    r->step_start_ms = mg_now(r->clock);
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
