/*
 * Guards against targets that get more requests than they state: the limit
 * holds for all entries together, and the rest goes elsewhere or is refused.
 */
#include "flow_world.h"

#define ENTRIES 6
#define RATE_MAX 1.2 /* requests a second, less than one for each entry */
/* the stated limit and half of it more, in a window of four seconds, and 5 */
#define WINDOW_REQUESTS ((unsigned)(1.5 * RATE_MAX * 4 + 5))
#define PRESS_MS 400

static int limited_targets;

static void
serve(world_conn *c, mg_str head)
{
    (void)head;
    world_write(c, c->target < limited_targets
                       ? "HTTP/1.1 200 OK\r\nX-Limit: 1.2\r\n"
                         "Content-Length: 2\r\n\r\nok"
                       : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

static unsigned
executed_by_limited(void)
{
    unsigned n = 0;
    for (int i = 0; i < limited_targets; i++) {
        n += world.executed_by[i];
    }
    return n;
}

/* Opens the gateway of one of the entries, which learns each target's limit.
 */
static void
open_entry(size_t self, int limited, int targets)
{
    static const mg_gateway_entry entries[ENTRIES] = {
        {"e0", "d"}, {"e1", "d"}, {"e2", "d"},
        {"e3", "d"}, {"e4", "d"}, {"e5", "d"},
    };
    mg_route r = {
        .retry_policy = MG_RETRY_BEFORE_RESPONSE,
        .timeout_ms = 1000,
        .goal_ms = 100,
        .attempts_max = 2,
    };
    limited_targets = limited;
    world_open(world_routing(&r, 0, 0), targets, serve);
    mg_gateway_set_entries(world.gateway, entries, ENTRIES, self);
    while (world.executed_by[0] == 0 || world.executed_by[limited - 1] == 0) {
        world_send("/");
        world_send("/");
        world_run();
    }
}

/* Sends requests one after the other for PRESS_MS; returns how many were
   served. */
static unsigned
press(unsigned *sent)
{
    unsigned served = 0;
    uint64_t end = uv_hrtime() + (uint64_t)PRESS_MS * 1000000;
    for (*sent = 0; uv_hrtime() < end; ++*sent) {
        int status = world_get("/");
        CU_ASSERT_TRUE(status == 200 || status == 503);
        served += status == 200;
    }
    return served;
}

/* All targets are limited. Each entry presses for a part of the same window;
   what they send in it must not be more than the target takes of all. */
static void
test_entries_share_a_limit(void)
{
    unsigned total = 0;
    for (size_t self = 0; self < ENTRIES; self++) {
        unsigned sent;
        open_entry(self, 1, 1);
        unsigned before = executed_by_limited();
        press(&sent);
        total += executed_by_limited() - before;
        world_shut();
    }
    printf("\n  a limit of %.1f a second: %u requests in %d ms, %u allowed\n",
           RATE_MAX, total, PRESS_MS, WINDOW_REQUESTS);
    CU_ASSERT_TRUE(total <= WINDOW_REQUESTS);
}

/* What a limited target doesn't take goes to the others. */
static void
test_the_rest_goes_elsewhere(void)
{
    unsigned sent;
    open_entry(0, 2, 3);
    unsigned before = executed_by_limited();
    unsigned served = press(&sent);
    CU_ASSERT_EQUAL(served, sent);
    CU_ASSERT_TRUE(executed_by_limited() - before <= 2 * WINDOW_REQUESTS);
    CU_ASSERT_TRUE(world.executed_by[2] > 0);
    world_shut();
}

/* ------------------------------------------------- pauses, targets that leave
 */

#define PAUSE_MS 300
#define PAUSE_TEXT "300"

static bool wants_pause;

static void
serve_pause(world_conn *c, mg_str head)
{
    (void)head;
    world_write(c, c->target == 0 && wants_pause
                       ? "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Id: r\r\n"
                         "X-Pause-Ms: " PAUSE_TEXT
                         "\r\nContent-Length: 0\r\n\r\n"
                       : "HTTP/1.1 200 OK\r\nX-Id: r\r\n"
                         "Content-Length: 2\r\n\r\nok");
}

/* Guards against requests to a target that has turned one away and wants none
   for a time: the others get them. When the time has passed, one request shows
   whether it goes on. */
static void
test_pause(void)
{
    mg_route r = {
        .retry_policy = MG_RETRY_BEFORE_RESPONSE,
        .timeout_ms = 1000,
        .goal_ms = 100,
        .attempts_max = 2,
    };
    wants_pause = true;
    world_open(world_routing(&r, 0, 0), 2, serve_pause);
    while (world.executed_by[0] == 0) {
        CU_ASSERT_EQUAL(world_get("/"), 200);
    }
    uint64_t end = uv_hrtime() + (uint64_t)(PAUSE_MS - 50) * 1000000;
    while (uv_hrtime() < end) {
        CU_ASSERT_EQUAL(world_get("/"), 200);
    }
    CU_ASSERT_EQUAL(world.executed_by[0], 1);
    world_pass(60);
    for (int i = 0; i < 40; i++) {
        world_send("/");
    }
    world_run();
    CU_ASSERT_EQUAL(world.executed_by[0], 2);
    wants_pause = false;
    world_pass(PAUSE_MS + 20);
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_EQUAL(world_get("/"), 200);
    }
    CU_ASSERT_TRUE(world.executed_by[0] > 10);
    world_shut();
}

/* An entry tells the others of a pause. They send nothing until after its end,
   so that a target that goes on turning requests away gets one, not one from
   each. */
static void
test_pause_is_reported(void)
{
    enum { OTHERS = 20 };
    mg_capacity heard = {0};
    mg_capacity_statement pause = {.pause_ms = 2000};
    mg_rng r;
    mg_rng_init(&r, 1);
    mg_capacity_heard(&heard, &pause, 900, 1000);
    CU_ASSERT_EQUAL(mg_capacity_pause_left(&heard, 1400), 1600);
    CU_ASSERT_EQUAL(mg_capacity_pause_left(&heard, 3000), 0);
    int64_t first = INT64_MAX;
    int64_t last = 0;
    for (int i = 0; i < OTHERS; i++) {
        mg_capacity c = {0};
        for (int64_t now = 1100; now < 3000; now += 500) {
            mg_capacity_pause_reported(&c, mg_capacity_pause_left(&heard, now),
                                       mg_rng_unit(&r), now);
        }
        /* what it has only been told, it doesn't tell others */
        CU_ASSERT_EQUAL(mg_capacity_pause_left(&c, 1200), 0);
        int64_t now = 1100;
        while (!mg_capacity_admits(&c, now)) {
            now++;
        }
        first = now < first ? now : first;
        last = now > last ? now : last;
    }
    CU_ASSERT_TRUE(mg_capacity_admits(&heard, 3000));
    CU_ASSERT_TRUE(first >= 3200);
    CU_ASSERT_TRUE(last > first + 200);
    CU_ASSERT_TRUE(last <= 4200);
}

static mg_gw_target *
target_of_new_gateway(mg_manual_clock *clock, mg_gateway **gw)
{
    mg_registry *registry = mg_registry_new(&clock->clock);
    mg_announcement a = {.slots = 4, .started_ms = 7, .seq = 1};
    strcpy(a.id, "i");
    strcpy(a.service, "s");
    strcpy(a.addr, "10.0.0.1:80");
    mg_registry_announce(registry, &a);
    *gw = mg_gateway_new(&(mg_gateway_options){
        .clock = &clock->clock, .registry = registry, .domain = "d"});
    return mg_gw_target_of(*gw, mg_registry_find(registry, "i"));
}

static void
test_pause_in_reports(void)
{
    mg_manual_clock clock;
    mg_gateway *one;
    mg_gateway *other;
    mg_buf loads = {0};
    mg_capacity_statement pause = {.pause_ms = 2000};
    mg_manual_clock_init(&clock);
    clock.mono = 5000;
    mg_gw_target *t = target_of_new_gateway(&clock, &one);
    mg_gw_target *u = target_of_new_gateway(&clock, &other);
    mg_gw_target_states(t, &pause, 4900);
    mg_gateway_append_report(one, &loads);
    mg_gateway_receive_report(other, "10.0.0.9", 1, mg_str_buf(&loads));
    CU_ASSERT_FALSE(mg_capacity_admits(&u->capacity, 7000));
    CU_ASSERT_TRUE(mg_capacity_admits(&u->capacity, 8100));
    /* the next run of the target has asked for nothing */
    u->instance->info.started_ms = 8;
    mg_gw_target_expire_capacity(u);
    CU_ASSERT_TRUE(mg_capacity_admits(&u->capacity, 5001));
    mg_buf_free(&loads);
}

static bool says_leaving;

static void
serve_leaving(world_conn *c, mg_str head)
{
    (void)head;
    world_write(c, c->target == 0 && says_leaving
                       ? "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Leaving: 1\r\n"
                         "Content-Length: 2\r\n\r\nok"
                       : "HTTP/1.1 200 OK\r\nX-Id: r\r\n"
                         "Content-Length: 2\r\n\r\nok");
}

/* Guards against requests to a target that has said in a response that it
   leaves, although it announces itself as ready. */
static void
test_leaving(void)
{
    mg_route r = {
        .retry_policy = MG_RETRY_NEVER,
        .timeout_ms = 1000,
        .goal_ms = 100,
        .attempts_max = 1,
    };
    says_leaving = true;
    world_open(world_routing(&r, 0, 0), 2, serve_leaving);
    while (world.executed_by[0] == 0) {
        CU_ASSERT_EQUAL(world_get("/"), 200);
    }
    mg_instance *i = mg_registry_find(world.registry, "t-0-1");
    mg_announcement a = i->info;
    a.seq = 100;
    a.state = MG_INSTANCE_READY;
    mg_registry_announce(world.registry, &a);
    for (int k = 0; k < 100; k++) {
        CU_ASSERT_EQUAL(world_get("/"), 200);
    }
    CU_ASSERT_EQUAL(world.executed_by[0], 1);
    /* its next run takes requests */
    says_leaving = false;
    world_crash(0);
    world_start_target(0);
    for (int k = 0; k < 100; k++) {
        CU_ASSERT_EQUAL(world_get("/"), 200);
    }
    CU_ASSERT_TRUE(world.executed_by[0] > 10);
    world_shut();
}

/* Requests and responses in a random order of times: none is admitted in a
   pause that a response has asked for, and after one, no second one before the
   response to the first or a second later. */
static const char *
pause_history(uint64_t seed)
{
    mg_capacity c = {0};
    mg_rng r;
    int64_t pause_end = 0;
    bool tests = false;
    int64_t test_sent = -1;
    mg_rng_init(&r, seed);
    for (int64_t now = 1000; now < 20000; now += 1 + mg_rng_below(&r, 200)) {
        bool admits = mg_capacity_admits(&c, now);
        bool allowed = now >= pause_end &&
                       (!tests || test_sent < 0 || now - test_sent >= 1000);
        if (admits != allowed) {
            return admits ? "admitted in a pause" : "refused outside of one";
        }
        if (admits && mg_rng_below(&r, 2)) {
            mg_capacity_take(&c, now);
            test_sent = tests ? now : test_sent;
        }
        if (mg_rng_below(&r, 4) == 0) {
            mg_capacity_statement s = {0};
            int64_t sent = now - mg_rng_below(&r, 1500);
            s.pause_ms = mg_rng_below(&r, 3) == 0 ? mg_rng_below(&r, 3000) : 0;
            mg_capacity_heard(&c, &s, sent, now);
            if (s.pause_ms > 0) {
                int64_t until = now + s.pause_ms;
                pause_end = until > pause_end ? until : pause_end;
                tests = true;
                test_sent = -1;
            }
            else if (sent >= pause_end) {
                tests = false;
                pause_end = 0;
            }
        }
    }
    return NULL;
}

static void
test_pauses(void)
{
    run_histories(pause_history, HISTORIES);
}

/* ------------------------------------------------------------ statements */

#define RESPONSES 40

/* a response, and whether it states a limit */
struct response {
    int64_t sent_ms;
    int64_t received_ms;
    bool limited;
};

/* A statement holds from its last mention on unless a later response lacks it
   whose request was sent after that mention. */
static bool
holds(const struct response *r, int count)
{
    int last = count - 1;
    while (last >= 0 && !r[last].limited) {
        last--;
    }
    for (int i = last + 1; i < count; i++) {
        if (last >= 0 && r[i].sent_ms > r[last].received_ms) {
            return false;
        }
    }
    return last >= 0;
}

static const char *
statement_history(uint64_t seed)
{
    struct response r[RESPONSES];
    mg_capacity c = {0};
    mg_rng rng;
    int64_t now = 1;
    bool limited = false;
    mg_rng_init(&rng, seed);
    for (int i = 0; i < RESPONSES; i++) {
        now += mg_rng_below(&rng, 200);
        limited = mg_rng_below(&rng, 5) == 0 ? !limited : limited;
        int64_t sent_ms = now - mg_rng_below(&rng, 400);
        r[i] = (struct response){sent_ms, now,
                                 limited ^ (mg_rng_below(&rng, 9) == 0)};
        mg_capacity_statement s = {.limited = r[i].limited, .rate_max = 3};
        bool before = c.stated.limited;
        if (mg_capacity_heard(&c, &s, sent_ms, now) !=
            (before != c.stated.limited)) {
            return "wrong result";
        }
        if (c.stated.limited != holds(r, i + 1)) {
            return "the statement in force differs";
        }
    }
    return NULL;
}

static void
test_statements(void)
{
    run_histories(statement_history, HISTORIES);
}

static void
test_silent_statements_expire(void)
{
    mg_capacity c = {0};
    mg_capacity_statement s = {.limited = true, .rate_max = 0.2};
    mg_capacity_heard(&c, &s, 1, 1);
    CU_ASSERT_FALSE(mg_capacity_expire(&c, 15000));
    CU_ASSERT_TRUE(mg_capacity_expire(&c, 25000));
    CU_ASSERT_TRUE(mg_capacity_admits(&c, 25000));
}

/* ---------------------------------------------------------------- shares */

#define ENTRIES_MAX 24

static uint64_t
random_key(mg_rng *rng)
{
    uint64_t high = mg_rng_below(rng, UINT32_MAX);
    return high << 32 | mg_rng_below(rng, UINT32_MAX);
}

/* Every entry that knows the same entries agrees who owns the shares; when one
   leaves, all others keep what they own. */
static const char *
share_history(uint64_t seed)
{
    uint64_t keys[ENTRIES_MAX];
    mg_rng rng;
    mg_rng_init(&rng, seed);
    size_t n = 1 + mg_rng_below(&rng, ENTRIES_MAX);
    uint64_t target = random_key(&rng);
    double rate = 30 * mg_rng_unit(&rng);
    uint32_t shares = mg_capacity_shares(rate, n);
    bool owns[ENTRIES_MAX];
    size_t owners = 0;
    for (size_t i = 0; i < n; i++) {
        keys[i] = random_key(&rng);
    }
    for (size_t i = 0; i < n; i++) {
        owns[i] = mg_capacity_owns(target, keys, n, i, shares);
        owners += owns[i];
    }
    if (owners != shares || shares < 1 || shares > n ||
        (shares > 1 && rate / shares < 1)) {
        return "wrong number of owners";
    }
    if (mg_capacity_owns(target, keys, n, n, shares)) {
        return "an entry that is none of them owns a share";
    }
    size_t gone = mg_rng_below(&rng, (uint32_t)n);
    keys[gone] = keys[n - 1];
    uint32_t left = mg_capacity_shares(rate, n - 1);
    for (size_t i = 0; i + 1 < n; i++) {
        size_t was = i == gone ? n - 1 : i;
        if (owns[was] && left == shares &&
            !mg_capacity_owns(target, keys, n - 1, i, left)) {
            return "an entry has lost its share to another";
        }
    }
    return NULL;
}

static void
test_shares(void)
{
    run_histories(share_history, HISTORIES);
}

/* sends all that c admits from from_ms to to_ms, exclusive */
static unsigned
send_all(mg_capacity *c, int64_t from_ms, int64_t to_ms)
{
    unsigned n = 0;
    for (int64_t now = from_ms; now < to_ms; now++) {
        for (; mg_capacity_admits(c, now); n++) {
            mg_capacity_take(c, now);
        }
    }
    return n;
}

static void
test_allowances(void)
{
    mg_capacity c = {0};
    mg_capacity_statement s = {.limited = true, .rate_max = 3};
    mg_capacity_heard(&c, &s, 1, 1);
    CU_ASSERT_FALSE(mg_capacity_admits(&c, 1000));
    mg_capacity_divide(&c, true, 2, 1000);
    CU_ASSERT_EQUAL(send_all(&c, 1000, 9000), 12);
    /* a pause isn't made up for */
    CU_ASSERT_EQUAL(send_all(&c, 60000, 60001), 1);
    /* the share of another entry: not before that one has noticed */
    mg_capacity_divide(&c, false, 2, 61000);
    CU_ASSERT_EQUAL(send_all(&c, 61000, 70000), 0);
    mg_capacity_divide(&c, true, 2, 70000);
    CU_ASSERT_EQUAL(send_all(&c, 70000, 71000), 0);
    CU_ASSERT_EQUAL(send_all(&c, 71000, 75010), 6);
    /* larger shares, since there are fewer entries */
    mg_capacity_divide(&c, true, 1, 75010);
    CU_ASSERT_EQUAL(send_all(&c, 75010, 76010), 0);
    CU_ASSERT_EQUAL(send_all(&c, 76010, 80020), 12);
}

static void
test_brittle_targets(void)
{
    mg_capacity c = {0};
    mg_capacity_statement s = {.brittle = true, .rejections_max = 2};
    mg_capacity_rejected(&c, 1);
    CU_ASSERT_TRUE(mg_capacity_admits(&c, 1));
    mg_capacity_heard(&c, &s, 1, 1);
    CU_ASSERT_FALSE(mg_capacity_admits(&c, 1000));
    CU_ASSERT_TRUE(mg_capacity_admits(&c, 1001));
}

/* ----------------------------------------------------- entries and target */

/* A target that states a limit, entries that are always pressed, leave and
   come back; who is there, and what the target states, is known late. */
#define STEP_MS 10
#define STEPS 2400
#define STATED_AT 100     /* step */
#define SEEN_STEPS_MAX 60 /* until another entry is known to come or leave */
#define REPORT_STEPS 40
#define REPORT_DELAY_STEPS 30
#define CONTACT_STEPS 300
#define WINDOW_STEPS 400

struct sim_entry {
    bool there;
    int changed; /* step at which it came or left last */
    mg_capacity c;
    int told;              /* step at which it heard the limit, 0: not yet */
    int seen[ENTRIES_MAX]; /* steps until it notices each entry's change */
    bool view[ENTRIES_MAX];
    mg_capacity_report reported;
    int reported_step;
    int response_step; /* of the last request; 0: none under way */
    int sent_step;
};

static struct sim_entry sim[ENTRIES_MAX];

static void
divide(size_t self, size_t n, double rate, uint64_t target,
       const uint64_t *names, int64_t now)
{
    uint64_t keys[ENTRIES_MAX];
    size_t count = 0;
    size_t at = n;
    for (size_t i = 0; i < n; i++) {
        if (i == self) {
            at = count;
        }
        if (sim[self].view[i]) {
            keys[count++] = names[i];
        }
    }
    uint32_t shares = mg_capacity_shares(rate, count);
    mg_capacity_divide(&sim[self].c,
                       mg_capacity_owns(target, keys, count, at, shares),
                       shares, now);
}

/* lets e notice who has come or left */
static void
look_around(size_t e, size_t n, int step, double rate, uint64_t target,
            const uint64_t *names)
{
    bool changed = sim[e].c.shares == 0;
    for (size_t i = 0; i < n; i++) {
        bool there = i == e || sim[i].there;
        if (sim[e].view[i] != there &&
            step - sim[i].changed >= sim[e].seen[i]) {
            sim[e].view[i] = there;
            changed = true;
        }
    }
    if (changed) {
        divide(e, n, rate, target, names, (int64_t)step * STEP_MS);
    }
}

static void
exchange_reports(size_t n, int step, int64_t now)
{
    for (size_t from = 0; from < n; from++) {
        struct sim_entry *s = &sim[from];
        if (step % REPORT_STEPS == (int)from % REPORT_STEPS && s->there &&
            mg_capacity_next_report(&s->c, now, &s->reported)) {
            s->reported_step = step;
        }
        for (size_t to = 0;
             s->reported_step != 0 &&
             step == s->reported_step + REPORT_DELAY_STEPS && to < n;
             to++) {
            if (to != from && sim[to].there) {
                mg_capacity_reported(&sim[to].c, &s->reported, now);
            }
        }
    }
}

static void
come_or_leave(struct sim_entry *s, int step, mg_rng *rng)
{
    s->there = !s->there;
    s->changed = step;
    for (size_t i = 0; i < ENTRIES_MAX; i++) {
        sim[i].seen[s - sim] = (int)mg_rng_below(rng, SEEN_STEPS_MAX);
    }
    if (s->there) {
        /* it starts anew */
        s->c = (mg_capacity){0};
        s->told = 0;
        s->response_step = 0;
    }
}

/* Requests that the target gets from entries in touch that have been told. */
static const char *
check_windows(const unsigned *counted, double rate, int end)
{
    for (int from = STATED_AT + CONTACT_STEPS; from + WINDOW_STEPS < end;
         from++) {
        unsigned sum = 0;
        for (int i = 0; i < WINDOW_STEPS; i++) {
            sum += counted[from + i];
        }
        if (sum > 1.5 * rate * WINDOW_STEPS * STEP_MS / 1000 + 5) {
            return "the target gets more than it states";
        }
    }
    return NULL;
}

static const char *
limit_history(uint64_t seed)
{
    static unsigned counted[STEPS];
    uint64_t names[ENTRIES_MAX];
    mg_rng rng;
    mg_rng_init(&rng, seed);
    memset(sim, 0, sizeof(sim));
    memset(counted, 0, sizeof(counted));
    size_t n = 2 + mg_rng_below(&rng, ENTRIES_MAX - 1);
    double rate = 0.5 + (mg_rng_below(&rng, 2) ? 2 : 20) * mg_rng_unit(&rng);
    uint64_t target = random_key(&rng);
    int end = STEPS * 3 / 4;
    int calm = (int)mg_rng_below(&rng, 3); /* 0: nobody leaves */
    unsigned sum = 0;
    for (size_t i = 0; i < n; i++) {
        names[i] = random_key(&rng);
        sim[i].there = true;
        for (size_t k = 0; k < n; k++) {
            sim[i].view[k] = true;
        }
    }
    for (int step = 1; step < STEPS; step++) {
        int64_t now = (int64_t)step * STEP_MS;
        if (calm > 0 && step % 300 == 0) {
            for (uint32_t k = mg_rng_below(&rng, 3); k > 0; k--) {
                come_or_leave(&sim[mg_rng_below(&rng, (uint32_t)n)], step,
                              &rng);
            }
        }
        exchange_reports(n, step, now);
        for (size_t i = 0; i < n; i++) {
            struct sim_entry *s = &sim[i];
            if (!s->there) {
                continue;
            }
            look_around(i, n, step, rate, target, names);
            if (s->response_step == step) {
                mg_capacity_statement st = {.limited = step >= STATED_AT &&
                                                       step < end,
                                            .rate_max = rate};
                s->response_step = 0;
                s->told = st.limited && s->told == 0 ? step : s->told;
                mg_capacity_heard(&s->c, &st, (int64_t)s->sent_step * STEP_MS,
                                  now);
            }
            mg_capacity_expire(&s->c, now);
            if (!mg_capacity_admits(&s->c, now)) {
                continue;
            }
            mg_capacity_take(&s->c, now);
            sum += step >= STATED_AT + CONTACT_STEPS && step < end;
            if (s->told != 0 && step - s->told > 50 && step < end &&
                step - s->changed > CONTACT_STEPS) {
                counted[step]++;
            }
            if (s->response_step == 0) {
                s->sent_step = step;
                s->response_step = step + 5 + (int)mg_rng_below(&rng, 30);
            }
        }
    }
    double stated =
        rate * (end - STATED_AT - CONTACT_STEPS) * STEP_MS / 1000.0;
    if (calm == 0 && sum < 0.7 * stated - 2) {
        return "much of the limit isn't used";
    }
    for (size_t i = 0; i < n; i++) {
        if (sim[i].there && sim[i].c.stated.limited) {
            return "the limit's end isn't known";
        }
    }
    return check_windows(counted, rate, end);
}

static void
test_limits_of_entries_that_come_and_leave(void)
{
    run_histories(limit_history, 1000);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a target that wants a pause", test_pause},
        {"other entries learn of a pause", test_pause_is_reported},
        {"a pause in the reports", test_pause_in_reports},
        {"a target that says it leaves", test_leaving},
        {"histories of pauses", test_pauses},
        {"when a statement holds", test_statements},
        {"silent statements expire", test_silent_statements_expire},
        {"who owns a share", test_shares},
        {"allowances", test_allowances},
        {"brittle targets", test_brittle_targets},
        {"a limit while entries come and leave",
         test_limits_of_entries_that_come_and_leave},
        {"entries share the limit of a target", test_entries_share_a_limit},
        {"the rest goes elsewhere", test_the_rest_goes_elsewhere},
        CU_TEST_INFO_NULL,
    };
    return run_suite("capacity", tests);
}
