/*
 * Moves of a service between versions, with entries that hear of the record
 * and of each other late: good versions and five kinds of bad ones over
 * seeds. The log is the queue below; the bounds are those that the users
 * state: a tenth of the requests and 50 more, none 5 s after 50 bad answers.
 */
#include "suite.h"

#include <math.h>

#include "gateway/versions.h"
#include "node/rollout_manager.h"

#define SEEDS 300
#define ENTRIES 9
#define ROUTES 3
#define STEP_MS 10
#define NEWS_MS 50
#define EVENTS_MAX 65536
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50
#define ROLLBACK_MS 5000
#define BAD_ANSWERS 50

enum kind {
    GOOD,
    FAILS,
    FAILS_LATER,
    FAILS_ON_ONE_ROUTE,
    FAILS_UNDER_LOAD,
    SLOW,
    KINDS
};

/* an answer on its way */
struct answer {
    int64_t at;
    int entry;
    int route;
    bool is_new;
    bool failed;
    double pace;
};

/* a record or samples on their way */
struct letter {
    int64_t at;
    int to; /* entry, or ENTRIES for the judge */
    mg_buf bytes;
};

static struct {
    mg_manual_clock clock;
    mg_rng rng;
    mg_registry *registry;
    mg_rollout_manager *mover;
    mg_versions *entries[ENTRIES];
    enum kind kind;
    struct answer answers[EVENTS_MAX];
    size_t answer_count;
    struct letter letters[EVENTS_MAX];
    size_t letter_count;
    uint64_t rev; /* of the record */
    int64_t ordered_at;
    int64_t window_ms;
    double running_old;
    uint64_t sent;
    uint64_t sent_new;
    uint64_t bad;
    int64_t bad_at; /* of the last one that counts */
    bool sent_too_late;
    int64_t completed_at;
    mg_rollout_state_id state;
} w;

static int64_t
now(void)
{
    return w.clock.mono;
}

static void
put_letter(int to, int64_t delay, const mg_msg *m)
{
    struct letter *l = &w.letters[w.letter_count++];
    *l = (struct letter){.at = now() + delay, .to = to};
    mg_msg_encode(m, &l->bytes);
}

/* the log: accepts what names the last revision, tells all a little later */
void
mg_group_client_propose(mg_group_client *c, const mg_msg *command, int64_t ms,
                        mg_group_done done, void *user)
{
    mg_msg rec;
    const mg_cmd_put_msg *put = &command->u.cmd_put;
    (void)c;
    (void)ms;
    if (put->expect_rev != w.rev || mg_msg_decode(put->value, &rec) != MG_OK) {
        done(user, MG_E_CHANGED, w.rev, "");
        return;
    }
    w.rev++;
    /* now and then the log is slow: a member restarts */
    int64_t wait =
        mg_rng_below(&w.rng, 8) == 0 ? 200 + mg_rng_below(&w.rng, 600) : 5;
    for (int to = 0; to <= ENTRIES; to++) {
        put_letter(to, wait + mg_rng_below(&w.rng, 80), &rec);
    }
    done(user, MG_OK, w.rev, "");
}

static double
running_on_others(void *user, const char *service, const char *version)
{
    (void)user;
    (void)service;
    (void)version;
    return w.running_old;
}

static bool
turns_out_bad(int route, uint32_t load)
{
    double chance = 0;
    switch (w.kind) {
    case FAILS:
        chance = 0.5;
        break;
    case FAILS_LATER:
        chance = now() - w.ordered_at > w.window_ms / 3 ? 0.5 : 0;
        break;
    case FAILS_ON_ONE_ROUTE:
        chance = route == 0 ? 0.6 : 0;
        break;
    case FAILS_UNDER_LOAD:
        chance = load >= 40 ? 0.5 : 0;
        break;
    default:
        break;
    }
    return mg_rng_unit(&w.rng) < chance;
}

/* requests in flight on the new version */
static uint32_t
load_of_new(void)
{
    uint32_t n = 0;
    for (size_t i = 0; i < w.answer_count; i++) {
        n += w.answers[i].is_new;
    }
    return n;
}

static void
send_request(int entry)
{
    static const double speeds[] = {0.6, 1.7, 1.7};
    mg_versions *v = w.entries[entry];
    bool is_new = mg_versions_use(v, "s", "v2") == MG_VERSION_PREFERRED;
    bool late = w.bad >= BAD_ANSWERS && now() - w.bad_at > ROLLBACK_MS;
    struct answer *a = &w.answers[w.answer_count++];
    mg_versions_count_sent(v, "s", is_new ? "v2" : "v1");
    bool counts = now() - w.ordered_at <= w.window_ms;
    w.sent += counts;
    w.sent_new += counts && is_new;
    w.sent_too_late = w.sent_too_late || (is_new && late);
    w.running_old += !is_new;
    a->entry = entry;
    a->route = (int)mg_rng_below(&w.rng, ROUTES);
    a->is_new = is_new;
    /* unlike targets, and the noise of what else runs there */
    a->pace = exp(0.5 * (mg_rng_unit(&w.rng) - 0.5)) /
              speeds[mg_rng_below(&w.rng, 3)];
    a->failed = is_new && turns_out_bad(a->route, load_of_new());
    if (is_new && w.kind == SLOW && mg_rng_unit(&w.rng) < 0.7) {
        a->pace *= 4;
    }
    a->at = now() + (int64_t)(100 * a->pace) +
            (mg_rng_below(&w.rng, 4) == 0 ? mg_rng_below(&w.rng, 1500) : 0);
}

static void
take_answer(const struct answer *a)
{
    static const char *const routes[ROUTES] = {"a", "b", "c"};
    mg_version_sample s = {.route = routes[a->route],
                           .failed = a->failed,
                           .first_per_token = a->pace};
    bool bad = a->is_new && (a->failed || (w.kind == SLOW && a->pace > 2));
    w.running_old -= !a->is_new;
    if (bad && ++w.bad <= BAD_ANSWERS) {
        w.bad_at = now();
    }
    mg_versions_add_sample(w.entries[a->entry], "s", a->is_new ? "v2" : "v1",
                           &s);
}

static void
take_answers(void)
{
    size_t kept = 0;
    for (size_t i = 0; i < w.answer_count; i++) {
        if (w.answers[i].at <= now()) {
            take_answer(&w.answers[i]);
        }
        else {
            w.answers[kept++] = w.answers[i];
        }
    }
    w.answer_count = kept;
}

static uint64_t record_rev;

static void
take_letter(const struct letter *l)
{
    mg_msg m;
    if (mg_msg_decode(mg_str_buf(&l->bytes), &m) != MG_OK) {
        return;
    }
    if (l->to < ENTRIES) {
        mg_versions_set_rollout(w.entries[l->to], &m.u.rec_rollout);
    }
    else if (m.type == MG_MSG_ROLLOUT_SAMPLES) {
        mg_rollout_manager_add_samples(w.mover, &m.u.rollout_samples);
    }
    else {
        mg_rollout_manager_apply_record(w.mover, &m.u.rec_rollout,
                                        ++record_rev);
        w.state = (mg_rollout_state_id)m.u.rec_rollout.state;
        if (w.state == MG_ROLLOUT_DONE && w.completed_at == 0) {
            w.completed_at = now();
        }
    }
}

static void
take_letters(void)
{
    size_t kept = 0;
    for (size_t i = 0; i < w.letter_count; i++) {
        if (w.letters[i].at <= now()) {
            take_letter(&w.letters[i]);
            mg_buf_free(&w.letters[i].bytes);
        }
        else {
            w.letters[kept++] = w.letters[i];
        }
    }
    w.letter_count = kept;
}

static void
tell_judge(void *user, const mg_msg *m)
{
    (void)user;
    put_letter(ENTRIES, 1 + mg_rng_below(&w.rng, 20), m);
}

static void
step(double per_s)
{
    w.clock.mono += STEP_MS;
    take_letters();
    take_answers();
    double due = per_s * STEP_MS / 1000;
    while (mg_rng_unit(&w.rng) < due && due > 0) {
        send_request((int)mg_rng_below(&w.rng, ENTRIES));
        due -= 1;
    }
    if (now() % NEWS_MS == 0) {
        for (int i = 0; i < ENTRIES; i++) {
            mg_versions_flush_samples(w.entries[i], tell_judge, NULL);
        }
        mg_rollout_manager_tick(w.mover, true);
    }
}

static void
order_done(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    (void)rev;
    (void)why;
    *(mg_rc *)user = rc;
}

static void
announce(const char *id, const char *version, int port)
{
    mg_announcement a = {.slots = 6, .state = MG_INSTANCE_READY, .seq = 1};
    mg_str_copy(a.id, sizeof(a.id), mg_str_of(id));
    mg_str_copy(a.service, sizeof(a.service), mg_str_of("s"));
    mg_str_copy(a.version, sizeof(a.version), mg_str_of(version));
    mg_str_copy(a.domain, sizeof(a.domain), mg_str_of("d"));
    snprintf(a.addr, sizeof(a.addr), "10.0.0.1:%d", port);
    mg_registry_announce(w.registry, &a);
}

static void
open_world(enum kind kind, uint64_t seed)
{
    memset(&w, 0, sizeof(w));
    record_rev = 0;
    mg_manual_clock_init(&w.clock);
    w.clock.mono = 100000;
    mg_rng_init(&w.rng, seed);
    w.kind = kind;
    w.registry = mg_registry_new(&w.clock.clock);
    w.mover = mg_rollout_manager_new(&(mg_rollout_manager_options){
        .clock = &w.clock.clock,
        .registry = w.registry,
        .ack_ms = 4000,
        .running_on_others = running_on_others,
    });
    for (int i = 0; i < ENTRIES; i++) {
        w.entries[i] = mg_versions_new(&w.clock.clock);
        mg_versions_set_entries(w.entries[i], (size_t)i, ENTRIES);
        mg_versions_use(w.entries[i], "s", "v1");
    }
    announce("i-1", "v1", 1);
    w.window_ms = 8000 + mg_rng_below(&w.rng, 12000);
}

static void
close_world(void)
{
    for (size_t i = 0; i < w.letter_count; i++) {
        mg_buf_free(&w.letters[i].bytes);
    }
    for (int i = 0; i < ENTRIES; i++) {
        mg_versions_free(w.entries[i]);
    }
    mg_registry_free(w.registry);
    mg_rollout_manager_free(w.mover);
}

/* from the order to the end of its time and a little longer */
static void
run_move(double per_s)
{
    mg_rc rc = MG_E_IO;
    w.ordered_at = now();
    mg_rollout_manager_start(w.mover, "s", "v2", w.window_ms, order_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    int64_t targets_at = now() + mg_rng_below(&w.rng, 600);
    bool announced = false;
    while (now() < w.ordered_at + w.window_ms + 2000) {
        if (!announced && now() >= targets_at) {
            announce("i-2", "v2", 2);
            announced = true;
        }
        step(per_s);
    }
}

static const char *
judge(void)
{
    double most = EXPOSURE_SHARE * (double)w.sent + EXPOSURE_SLACK;
    if (w.kind == GOOD) {
        return w.completed_at == 0 ? "a good version was not completed"
               : w.completed_at > w.ordered_at + w.window_ms
                   ? "a good version was completed late"
                   : NULL;
    }
    if (w.kind == FAILS_UNDER_LOAD && w.bad == 0) {
        return NULL; /* it never had the load that shows it */
    }
    if (w.state != MG_ROLLOUT_ROLLED_BACK) {
        return "a bad version was not taken back";
    }
    if ((double)w.sent_new > most) {
        return "a bad version got too many requests";
    }
    return w.sent_too_late ? "a bad version got requests for too long" : NULL;
}

static const char *
history(enum kind kind, uint64_t seed)
{
    open_world(kind, seed);
    for (int i = 0; i < 200; i++) {
        step(100);
    }
    run_move(kind == GOOD ? 2 + mg_rng_below(&w.rng, 240)
                          : 40 + mg_rng_below(&w.rng, 200));
    const char *broken = judge();
    close_world();
    return broken;
}

#define KIND_TEST(name, kind)              \
    static const char *name(uint64_t seed) \
    {                                      \
        return history(kind, seed);        \
    }                                      \
    static void test_##name(void)          \
    {                                      \
        run_histories(name, SEEDS);        \
    }

KIND_TEST(good, GOOD)
KIND_TEST(fails, FAILS)
KIND_TEST(fails_later, FAILS_LATER)
KIND_TEST(fails_on_one_route, FAILS_ON_ONE_ROUTE)
KIND_TEST(fails_under_load, FAILS_UNDER_LOAD)
KIND_TEST(slow, SLOW)

/* no traffic to judge it by: it is moved by its time */
static void
test_no_traffic(void)
{
    open_world(GOOD, 1);
    run_move(0);
    CU_ASSERT_TRUE(w.completed_at != 0);
    CU_ASSERT_TRUE(w.completed_at <= w.ordered_at + w.window_ms);
    close_world();
}

/* the same order again, another one while it runs, one more after its end */
static void
test_orders(void)
{
    mg_rc rc = MG_E_IO;
    open_world(FAILS, 3);
    mg_rollout_manager_start(w.mover, "s", "v2", 5000, order_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    for (int i = 0; i < 20; i++) {
        step(50);
    }
    mg_rollout_manager_start(w.mover, "s", "v2", 5000, order_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    mg_rollout_manager_start(w.mover, "s", "v3", 5000, order_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_E_CONFLICT);
    for (int i = 0; i < 1200; i++) {
        step(50);
    }
    CU_ASSERT_EQUAL(w.state,
                    MG_ROLLOUT_ROLLED_BACK); /* it never had targets */
    mg_rollout_manager_start(w.mover, "s", "v3", 5000, order_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    close_world();
}

/* a version that nobody ordered yet waits a moment, then serves */
static void
test_unknown_version(void)
{
    open_world(GOOD, 1);
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0], "s", "v9"),
                    MG_VERSION_EXCLUDED);
    w.clock.mono += MG_VERSION_HOLD_MS;
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0], "s", "v9"),
                    MG_VERSION_ALLOWED);
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0], "s", "v1"),
                    MG_VERSION_ALLOWED);
    close_world();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a good version is completed in time", test_good},
        {"bad: fails", test_fails},
        {"bad: fails later", test_fails_later},
        {"bad: fails on one route", test_fails_on_one_route},
        {"bad: fails under load", test_fails_under_load},
        {"bad: slow", test_slow},
        {"no traffic", test_no_traffic},
        {"orders that repeat and race", test_orders},
        {"a version that is not known", test_unknown_version},
        CU_TEST_INFO_NULL,
    };
    return run_suite("mover", tests);
}
