/*
 * Simulates rollouts of a good version and of five kinds of bad versions over
 * seeds. Records and samples arrive late; a queue replaces the log. A good
 * version must complete in time. A bad one must be rolled back, may get at
 * most 50 requests plus a tenth of all, and none later than 5 s after 50 bad
 * responses; these bounds are requirements of the users.
 */
#include "suite.h"

#include <math.h>

#include "gateway/versions.h"
#include "node/rollout_manager.h"

#define SEEDS 300
#define ENTRIES 9
#define ROUTES 3
#define STEP_MS 10
#define REPORT_MS 50
#define EVENTS_MAX 65536
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50
#define ROLLBACK_MS 5000
#define BAD_RESPONSES 50

enum kind {
    GOOD,
    FAILS,
    FAILS_LATER,
    FAILS_ON_ONE_ROUTE,
    FAILS_UNDER_LOAD,
    SLOW,
    KINDS
};

/* a response that arrives at a later time */
struct response {
    int64_t at;
    int entry;
    int route;
    bool is_new;
    bool failed;
    double slowdown;
};

/* a record or samples in transit */
struct packet {
    int64_t at;
    int to; /* entry, or ENTRIES for the rollout manager */
    mg_buf bytes;
};

static struct {
    mg_manual_clock clock;
    mg_rng rng;
    mg_registry *registry;
    mg_rollout_manager *manager;
    mg_versions *entries[ENTRIES];
    enum kind kind;
    struct response responses[EVENTS_MAX];
    size_t response_count;
    struct packet packets[EVENTS_MAX];
    size_t packet_count;
    uint64_t rev;          /* of the record */
    bool cut_off;          /* the manager's host, from the log's voters */
    mg_rc service_rc;      /* of find_service() */
    uint64_t rejected_rev; /* likewise, of the versions rolled back */
    int64_t started_at;
    int64_t window_ms;
    double running_old;
    uint64_t sent;
    uint64_t sent_new;
    uint64_t bad;
    int64_t bad_at; /* time of the last of the first BAD_RESPONSES bad ones */
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
send_packet(int to, int64_t delay, const mg_msg *m)
{
    struct packet *p = &w.packets[w.packet_count++];
    *p = (struct packet){.at = now() + delay, .to = to};
    mg_msg_encode(m, &p->bytes);
}

/* The log: accepts a write that expects the last revision; the record reaches
   the entries and the manager later. */
void
mg_group_client_propose(mg_group_client *c, const mg_msg *command, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    mg_msg rec;
    const mg_cmd_put_msg *put = &command->u.cmd_put;
    (void)c;
    (void)ms;
    if (put->kind == MG_RECORD_REJECTED) {
        CU_ASSERT_EQUAL(mg_msg_decode(put->value, &rec), MG_OK);
        w.rejected_rev++;
        for (int to = 0; to <= ENTRIES; to++) {
            send_packet(to, 0, &rec);
        }
        done(user, MG_OK, w.rejected_rev, "");
        return;
    }
    if (put->expect_rev != w.rev || mg_msg_decode(put->value, &rec) != MG_OK) {
        done(user, MG_E_DOCUMENT_CHANGED, w.rev, "");
        return;
    }
    w.rev++;
    /* sometimes the log is slow, as during a restart of a voter */
    int64_t wait =
        mg_rng_below(&w.rng, 8) == 0 ? 200 + mg_rng_below(&w.rng, 600) : 5;
    for (int to = 0; to <= ENTRIES; to++) {
        send_packet(to, wait + mg_rng_below(&w.rng, 80), &rec);
    }
    done(user, MG_OK, w.rev, "");
}

static mg_rc
find_service(void *user, const char *service)
{
    (void)user;
    (void)service;
    return w.service_rc;
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
is_bad_response(int route, uint32_t load)
{
    double chance = 0;
    switch (w.kind) {
    case FAILS:
        chance = 0.5;
        break;
    case FAILS_LATER:
        chance = now() - w.started_at > w.window_ms / 3 ? 0.5 : 0;
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

/* number of requests in flight on the new version */
static uint32_t
new_version_load(void)
{
    uint32_t n = 0;
    for (size_t i = 0; i < w.response_count; i++) {
        n += w.responses[i].is_new;
    }
    return n;
}

static void
send_request(int entry)
{
    static const double speeds[] = {0.6, 1.7, 1.7};
    mg_versions *v = w.entries[entry];
    bool is_new = mg_versions_use(v, "s", "v2") == MG_VERSION_PREFERRED;
    bool too_late = w.bad >= BAD_RESPONSES && now() - w.bad_at > ROLLBACK_MS;
    struct response *r = &w.responses[w.response_count++];
    mg_versions_count_sent(v, "s", is_new ? "v2" : "v1");
    bool in_window = now() - w.started_at <= w.window_ms;
    w.sent += in_window;
    w.sent_new += in_window && is_new;
    w.sent_too_late = w.sent_too_late || (is_new && too_late);
    w.running_old += !is_new;
    r->entry = entry;
    r->route = (int)mg_rng_below(&w.rng, ROUTES);
    r->is_new = is_new;
    /* targets differ in speed, and other load there adds noise */
    r->slowdown = exp(0.5 * (mg_rng_unit(&w.rng) - 0.5)) /
                  speeds[mg_rng_below(&w.rng, 3)];
    r->failed = is_new && is_bad_response(r->route, new_version_load());
    if (is_new && w.kind == SLOW && mg_rng_unit(&w.rng) < 0.7) {
        r->slowdown *= 4;
    }
    r->at = now() + (int64_t)(100 * r->slowdown) +
            (mg_rng_below(&w.rng, 4) == 0 ? mg_rng_below(&w.rng, 1500) : 0);
}

static void
receive_response(const struct response *r)
{
    static const char *const routes[ROUTES] = {"a", "b", "c"};
    mg_version_sample s = {.route = routes[r->route],
                           .failed = r->failed,
                           .first_per_token = r->slowdown};
    bool bad = r->is_new && (r->failed || (w.kind == SLOW && r->slowdown > 2));
    w.running_old -= !r->is_new;
    if (bad && ++w.bad <= BAD_RESPONSES) {
        w.bad_at = now();
    }
    mg_versions_add_sample(w.entries[r->entry], "s", r->is_new ? "v2" : "v1",
                           &s);
}

static void
receive_responses(void)
{
    size_t kept = 0;
    for (size_t i = 0; i < w.response_count; i++) {
        if (w.responses[i].at <= now()) {
            receive_response(&w.responses[i]);
        }
        else {
            w.responses[kept++] = w.responses[i];
        }
    }
    w.response_count = kept;
}

static uint64_t record_rev;

static void
deliver_packet(const struct packet *p)
{
    mg_msg m;
    if (mg_msg_decode(mg_str_buf(&p->bytes), &m) != MG_OK) {
        return;
    }
    if (m.type == MG_MSG_REC_REJECTED && p->to < ENTRIES) {
        mg_versions_set_rejected(w.entries[p->to], &m.u.rec_rejected);
    }
    else if (m.type == MG_MSG_REC_REJECTED) {
        mg_rollout_manager_apply_rejected(w.manager, &m.u.rec_rejected,
                                          w.rejected_rev);
    }
    else if (p->to < ENTRIES) {
        mg_versions_set_rollout(w.entries[p->to], &m.u.rec_rollout);
    }
    else if (m.type == MG_MSG_ROLLOUT_SAMPLES) {
        mg_rollout_manager_add_samples(w.manager, &m.u.rollout_samples);
    }
    else {
        mg_rollout_manager_apply_record(w.manager, &m.u.rec_rollout,
                                        ++record_rev, now());
        w.state = (mg_rollout_state_id)m.u.rec_rollout.state;
        if (w.state == MG_ROLLOUT_DONE && w.completed_at == 0) {
            w.completed_at = now();
        }
    }
}

static void
deliver_packets(void)
{
    size_t kept = 0;
    for (size_t i = 0; i < w.packet_count; i++) {
        if (w.packets[i].at <= now()) {
            deliver_packet(&w.packets[i]);
            mg_buf_free(&w.packets[i].bytes);
        }
        else {
            w.packets[kept++] = w.packets[i];
        }
    }
    w.packet_count = kept;
}

/* Delivers the records that the manager lacks; they are those in transit. */
void
mg_group_client_confirm(mg_group_client *c, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    (void)c;
    (void)ms;
    if (w.cut_off) {
        done(user, MG_E_NO_QUORUM, 0, "no reply");
        return;
    }
    for (size_t i = 0; i < w.packet_count; i++) {
        if (w.packets[i].to == ENTRIES) {
            w.packets[i].at = now();
        }
    }
    deliver_packets();
    done(user, MG_OK, w.rev, "");
}

static void
send_to_manager(void *user, const mg_msg *m)
{
    (void)user;
    send_packet(ENTRIES, 1 + mg_rng_below(&w.rng, 20), m);
}

static void
step(double per_s)
{
    w.clock.mono += STEP_MS;
    deliver_packets();
    receive_responses();
    double expected = per_s * STEP_MS / 1000;
    while (mg_rng_unit(&w.rng) < expected && expected > 0) {
        send_request((int)mg_rng_below(&w.rng, ENTRIES));
        expected -= 1;
    }
    if (now() % REPORT_MS == 0) {
        for (int i = 0; i < ENTRIES; i++) {
            mg_versions_flush_samples(w.entries[i], send_to_manager, NULL);
        }
        mg_rollout_manager_tick(w.manager, true);
    }
}

static void
start_done(void *user, mg_rc rc, uint64_t rev, const char *why)
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
open_simulation(enum kind kind, uint64_t seed)
{
    memset(&w, 0, sizeof(w));
    record_rev = 0;
    mg_manual_clock_init(&w.clock);
    w.clock.mono = 100000;
    mg_rng_init(&w.rng, seed);
    w.kind = kind;
    w.registry = mg_registry_new(&w.clock.clock);
    w.manager = mg_rollout_manager_new(&(mg_rollout_manager_options){
        .clock = &w.clock.clock,
        .registry = w.registry,
        .ack_ms = 4000,
        .find_service = find_service,
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
close_simulation(void)
{
    for (size_t i = 0; i < w.packet_count; i++) {
        mg_buf_free(&w.packets[i].bytes);
    }
    for (int i = 0; i < ENTRIES; i++) {
        mg_versions_free(w.entries[i]);
    }
    mg_registry_free(w.registry);
    mg_rollout_manager_free(w.manager);
}

/* Runs a rollout from its start to 2 s after the end of its window. */
static void
run_rollout(double per_s)
{
    mg_rc rc = MG_E_IO;
    w.started_at = now();
    mg_rollout_manager_start(w.manager, "s", "v2", w.window_ms, start_done,
                             &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    int64_t targets_at = now() + mg_rng_below(&w.rng, 600);
    bool announced = false;
    while (now() < w.started_at + w.window_ms + 2000) {
        if (!announced && now() >= targets_at) {
            announce("i-2", "v2", 2);
            announced = true;
        }
        step(per_s);
    }
}

static const char *
find_violation(void)
{
    double max_new = EXPOSURE_SHARE * (double)w.sent + EXPOSURE_SLACK;
    if (w.kind == GOOD) {
        return w.completed_at == 0 ? "a good version was not completed"
               : w.completed_at > w.started_at + w.window_ms
                   ? "a good version was completed late"
                   : NULL;
    }
    if (w.kind == FAILS_UNDER_LOAD && w.bad == 0) {
        return NULL; /* the load never reached the failing level */
    }
    if (w.state != MG_ROLLOUT_ROLLED_BACK) {
        return "a bad version was not rolled back";
    }
    if ((double)w.sent_new > max_new) {
        return "a bad version got too many requests";
    }
    return w.sent_too_late ? "a bad version got requests for too long" : NULL;
}

static const char *
check_seed(enum kind kind, uint64_t seed)
{
    open_simulation(kind, seed);
    for (int i = 0; i < 200; i++) {
        step(100);
    }
    run_rollout(kind == GOOD ? 2 + mg_rng_below(&w.rng, 240)
                             : 40 + mg_rng_below(&w.rng, 200));
    const char *violation = find_violation();
    close_simulation();
    return violation;
}

#define KIND_TEST(name, kind)              \
    static const char *name(uint64_t seed) \
    {                                      \
        return check_seed(kind, seed);     \
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

/* a rollout without traffic completes by the end of its window */
static void
test_no_traffic(void)
{
    open_simulation(GOOD, 1);
    run_rollout(0);
    CU_ASSERT_TRUE(w.completed_at != 0);
    CU_ASSERT_TRUE(w.completed_at <= w.started_at + w.window_ms);
    close_simulation();
}

/* a repeated start, a conflicting one, and one after the rollout's end */
static void
test_start_commands(void)
{
    mg_rc rc = MG_E_IO;
    open_simulation(FAILS, 3);
    mg_rollout_manager_start(w.manager, "s", "v2", 5000, start_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    for (int i = 0; i < 20; i++) {
        step(50);
    }
    mg_rollout_manager_start(w.manager, "s", "v2", 5000, start_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    mg_rollout_manager_start(w.manager, "s", "v3", 5000, start_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_E_VERSION_CONFLICT);
    for (int i = 0; i < 1200; i++) {
        step(50);
    }
    CU_ASSERT_EQUAL(w.state, MG_ROLLOUT_ROLLED_BACK); /* no targets of v2 */
    mg_rollout_manager_start(w.manager, "s", "v3", 5000, start_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    close_simulation();
}

static void
apply_state_after(mg_rollout_state_id state, int64_t left_ms, int64_t after_ms)
{
    mg_rec_rollout_msg rec = {
        .service = mg_str_of("s"),
        .version = mg_str_of("v2"),
        .state = state,
        .window_ms = 20000,
        .left_ms = (uint64_t)left_ms,
    };
    mg_rollout_manager_apply_record(w.manager, &rec, ++w.rev, after_ms);
}

static void
apply_state(mg_rollout_state_id state, int64_t left_ms)
{
    apply_state_after(state, left_ms, now());
}

/* Guards against a rollout that is ordered again soon after its rollback, and
   is acknowledged without being started: only the time since its order tells
   whether the order is a repeated one. */
static void
test_ordered_again(void)
{
    mg_rc rc = MG_E_IO;
    open_simulation(FAILS, 1);
    apply_state(MG_ROLLOUT_PENDING, 20000);
    w.clock.mono += 1000;
    apply_state(MG_ROLLOUT_ROLLED_BACK, 19000);
    mg_rollout_manager_tick(w.manager, true);
    deliver_packets();
    uint64_t rev = w.rev;
    w.clock.mono += 2900;
    mg_rollout_manager_start(w.manager, "s", "v2", 20000, start_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    CU_ASSERT_EQUAL(w.rev, rev);
    /* 4 s after the order, 3 s after the rollback */
    w.clock.mono += 100;
    mg_rollout_manager_start(w.manager, "s", "v2", 20000, start_done, &rc);
    CU_ASSERT_EQUAL(rc, MG_OK);
    CU_ASSERT_EQUAL(w.rev, rev + 1);
    close_simulation();
}

/* A record that another host has written; the manager gets it late, unless it
   asks the log for the newest one. */
static void
commit_elsewhere(const char *version, mg_rollout_state_id state)
{
    mg_msg rec = {.type = MG_MSG_REC_ROLLOUT};
    rec.u.rec_rollout.service = mg_str_of("s");
    rec.u.rec_rollout.version = mg_str_of(version);
    rec.u.rec_rollout.state = state;
    rec.u.rec_rollout.window_ms = 20000;
    rec.u.rec_rollout.left_ms = 10000;
    record_rev = w.rev++;
    send_packet(ENTRIES, 60000, &rec);
}

/* Orders a version at a host whose last record says that v2 is done. Returns
   the outcome; *written: whether a record was written. */
static mg_rc
order_after(const char *version, bool *written)
{
    mg_rc rc = MG_E_IO;
    uint64_t rev = w.rev;
    mg_rollout_manager_start(w.manager, "s", version, 20000, start_done, &rc);
    *written = w.rev > rev;
    return rc;
}

/* Guards against a host that acknowledges, or refuses, an order by the record
   that it knew before it froze or was cut off: the order of v2 was lost. */
static void
test_order_with_old_record(void)
{
    bool written;
    open_simulation(GOOD, 1);
    apply_state(MG_ROLLOUT_DONE, 10000);
    CU_ASSERT_EQUAL(order_after("v2", &written), MG_OK);
    CU_ASSERT_FALSE(written); /* nothing has changed since */
    commit_elsewhere("v3", MG_ROLLOUT_DONE);
    CU_ASSERT_EQUAL(order_after("v2", &written), MG_OK);
    CU_ASSERT_TRUE(written);
    close_simulation();

    open_simulation(GOOD, 1);
    apply_state(MG_ROLLOUT_RAMP, 10000);
    commit_elsewhere("v2", MG_ROLLOUT_DONE);
    CU_ASSERT_EQUAL(order_after("v3", &written), MG_OK);
    CU_ASSERT_TRUE(written);
    close_simulation();
}

/* Guards against an acknowledgement, or a final refusal, by a host that can't
   ask the log: each order there is left without a clear answer. */
static void
test_order_when_cut_off(void)
{
    static const mg_rollout_state_id states[] = {
        MG_ROLLOUT_DONE, MG_ROLLOUT_RAMP, MG_ROLLOUT_ROLLED_BACK};
    for (size_t i = 0; i < sizeof(states) / sizeof(states[0]); i++) {
        bool written;
        open_simulation(GOOD, 1);
        apply_state(states[i], 19000);
        w.cut_off = true;
        w.service_rc = MG_E_NOT_FOUND;
        CU_ASSERT_EQUAL(order_after("v2", &written), MG_E_NO_QUORUM);
        CU_ASSERT_FALSE(written);
        CU_ASSERT_EQUAL(order_after("v3", &written), MG_E_NO_QUORUM);
        CU_ASSERT_FALSE(written);
        w.cut_off = false;
        CU_ASSERT_EQUAL(order_after("v3", &written), MG_E_NOT_FOUND);
        close_simulation();
    }
}

/* Guards against a host that has started since a version was rolled back and
   takes a new order of it for the one of then, which it acknowledges. */
static void
test_order_after_restart(void)
{
    bool written;
    open_simulation(GOOD, 1);
    /* the rollout took 1 s; when that was isn't known */
    apply_state_after(MG_ROLLOUT_ROLLED_BACK, 19000, INT64_MIN);
    mg_rollout_manager_tick(w.manager, true);
    deliver_packets();
    CU_ASSERT_EQUAL(order_after("v2", &written), MG_E_NO_LEADER);
    CU_ASSERT_FALSE(written);
    w.clock.mono += 2900;
    CU_ASSERT_EQUAL(order_after("v2", &written), MG_E_NO_LEADER);
    CU_ASSERT_FALSE(written);
    w.clock.mono += 100;
    CU_ASSERT_EQUAL(order_after("v2", &written), MG_OK);
    CU_ASSERT_TRUE(written);
    close_simulation();
}

#define ORDER_ACK_MS 4000

/*
 * A version is ordered, rolled back and ordered once more, at a host that got
 * the records late, had all earlier ones at some time before the order, or has
 * started since. The second order is the first one again if it comes within
 * ORDER_ACK_MS, else a new one.
 */
static const char *
repeated_or_new(uint64_t seed)
{
    const char *violation = NULL;
    bool written;
    open_simulation(GOOD, seed);
    int64_t ordered_at = now();
    int64_t took = 200 + mg_rng_below(&w.rng, 3000);
    bool knows_start = mg_rng_below(&w.rng, 3) != 0;
    int64_t after =
        knows_start ? ordered_at - mg_rng_below(&w.rng, 2000) : INT64_MIN;
    w.clock.mono += took + mg_rng_below(&w.rng, 5000);
    apply_state_after(MG_ROLLOUT_ROLLED_BACK, 20000 - took, after);
    mg_rollout_manager_tick(w.manager, true);
    deliver_packets();
    w.clock.mono += mg_rng_below(&w.rng, 6000);
    int64_t age = now() - ordered_at;
    mg_rc rc = order_after("v2", &written);
    if (age < ORDER_ACK_MS && written) {
        violation = "a repeated order starts the rollout again";
    }
    if (age >= ORDER_ACK_MS && rc == MG_OK && !written) {
        violation = "a new order is acknowledged and lost";
    }
    if (knows_start && now() - after < ORDER_ACK_MS && rc != MG_OK) {
        violation = "a repeated order isn't acknowledged";
    }
    close_simulation();
    return violation;
}

static void
test_repeated_or_new(void)
{
    run_histories(repeated_or_new, HISTORIES);
}

static void
set_state(mg_versions *v, mg_rollout_state_id state)
{
    mg_rec_rollout_msg rec = {
        .service = mg_str_of("s"),
        .version = mg_str_of("v2"),
        .state = state,
        .window_ms = 20000,
    };
    mg_versions_set_rollout(v, &rec);
}

/* Guards against an entry that keeps to the end of a version's last rollout,
   as it has missed the first record of the next one. */
static void
test_missed_order(void)
{
    open_simulation(GOOD, 1);
    mg_versions *v = w.entries[0];
    set_state(v, MG_ROLLOUT_DONE);
    CU_ASSERT_EQUAL(mg_versions_use(v, "s", "v2"), MG_VERSION_PREFERRED);
    set_state(v, MG_ROLLOUT_ROLLED_BACK);
    CU_ASSERT_EQUAL(mg_versions_use(v, "s", "v2"), MG_VERSION_EXCLUDED);
    set_state(v, MG_ROLLOUT_DONE);
    CU_ASSERT_EQUAL(mg_versions_use(v, "s", "v2"), MG_VERSION_PREFERRED);
    close_simulation();
}

/* a version without a rollout gets no requests for MG_VERSION_HOLD_MS, then it
   may get them */
static void
test_unknown_version(void)
{
    open_simulation(GOOD, 1);
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0], "s", "v9"),
                    MG_VERSION_EXCLUDED);
    w.clock.mono += MG_VERSION_HOLD_MS;
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0], "s", "v9"),
                    MG_VERSION_ALLOWED);
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0], "s", "v1"),
                    MG_VERSION_ALLOWED);
    close_simulation();
}

/* Adds samples of a quick service: the old version takes 0 ms (44 times) and
   1 ms (28 times), the new one 0 ms (23 times) and new_ms (26 times). Returns
   how the new version may be used then. */
static mg_version_use
use_after_quick_samples(double new_ms)
{
    static const double nominal_ms = 20;
    mg_manual_clock clk;
    mg_rec_rollout_msg rec = {
        .service = mg_str_of("s"),
        .version = mg_str_of("v2"),
        .state = MG_ROLLOUT_RAMP,
        .share_permille = 500,
        .window_ms = 10000,
    };
    mg_manual_clock_init(&clk);
    mg_versions *v = mg_versions_new(&clk.clock);
    mg_versions_set_rollout(v, &rec);
    for (int i = 0; i < 72 + 49; i++) {
        bool is_new = i >= 72;
        bool quick = is_new ? i % 49 < 23 : i % 18 < 11;
        double ms = quick ? 0 : is_new ? new_ms : 1;
        mg_version_sample sample = {
            .route = "r",
            .first_per_token = ms / nominal_ms,
            .first_error = 1 / nominal_ms,
        };
        mg_versions_add_sample(v, "s", is_new ? "v2" : "v1", &sample);
    }
    mg_version_use use = mg_versions_use(v, "s", "v2");
    mg_versions_free(v);
    return use;
}

/* a good version of a service that answers within a millisecond was rolled
   back as slow, since times are whole milliseconds */
static void
test_times_in_whole_ms(void)
{
    CU_ASSERT_EQUAL(use_after_quick_samples(1), MG_VERSION_PREFERRED);
    CU_ASSERT_EQUAL(use_after_quick_samples(3), MG_VERSION_EXCLUDED);
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
        {"start commands: repeated, conflicting", test_start_commands},
        {"a rollout that is ordered again", test_ordered_again},
        {"an order at a host that has started since",
         test_order_after_restart},
        {"an order that is repeated, or a new one", test_repeated_or_new},
        {"an order at a host with an old record", test_order_with_old_record},
        {"an order at a host that is cut off", test_order_when_cut_off},
        {"an order that an entry has missed", test_missed_order},
        {"a version without a rollout", test_unknown_version},
        {"times in whole milliseconds", test_times_in_whole_ms},
        CU_TEST_INFO_NULL,
    };
    return run_suite("rollout_manager", tests);
}
