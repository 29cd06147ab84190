/*
 * Versions of a service that were rolled back, over a series of rollouts, at
 * hubs and entries that get the records late, start again and know only the
 * newest record of each kind by then. Guards against a version that serves
 * again once the next one is ordered.
 */
#include "suite.h"

#include "gateway/rejected.h"
#include "gateway/versions.h"
#include "node/rollout_manager.h"

#define ENTRIES 3
#define VERSIONS 5
#define LOG_MAX 400
#define STEPS 120
#define STEP_MS 500
#define ACK_MS 1000

/* a replicated log that accepts a write at once */
struct logged {
    uint64_t kind;
    mg_msg msg;
    mg_buf value;
};

/* who follows the log: a hub or an entry */
struct follower {
    size_t next;            /* entry of the log that it gets next */
    int64_t complete_until; /* it had all entries then; INT64_MIN: unknown */
    mg_rollout_manager *manager;
    mg_versions *versions;
};

static struct {
    mg_manual_clock clock;
    mg_rng rng;
    mg_registry *registry;
    struct logged log[LOG_MAX];
    size_t count;
    struct follower hub;
    struct follower entries[ENTRIES];
    mg_rc rc; /* of the last order */
    /* as the records say: the newest rollout, and the naive twin's verdict of
       each version: whether its last rollout that ended was rolled back */
    int version;
    mg_rollout_state_id state;
    bool rejected[VERSIONS];
} w;

static void
name_of(int version, char out[8])
{
    snprintf(out, 8, "v%d", version);
}

/* the revision of the newest record of a kind is its position, from 1 */
static uint64_t
rev_of(uint64_t kind)
{
    for (size_t i = w.count; i > 0; i--) {
        if (w.log[i - 1].kind == kind) {
            return i;
        }
    }
    return 0;
}

/* what the naive twin notes of a rollout's record */
static void
note_rollout(const mg_rec_rollout_msg *rec)
{
    w.version = rec->version.p[1] - '0';
    w.state = (mg_rollout_state_id)rec->state;
    if (w.state == MG_ROLLOUT_DONE || w.state == MG_ROLLOUT_ROLLED_BACK) {
        w.rejected[w.version] = w.state == MG_ROLLOUT_ROLLED_BACK;
    }
}

static mg_rc
append(uint64_t kind, mg_str value, uint64_t expect_rev)
{
    if (w.count == LOG_MAX || expect_rev != rev_of(kind)) {
        return MG_E_DOCUMENT_CHANGED;
    }
    struct logged *l = &w.log[w.count++];
    l->kind = kind;
    mg_buf_put(&l->value, value.p, value.n);
    CU_ASSERT_EQUAL_FATAL(mg_msg_decode(mg_str_buf(&l->value), &l->msg),
                          MG_OK);
    if (kind == MG_RECORD_ROLLOUT) {
        note_rollout(&l->msg.u.rec_rollout);
    }
    return MG_OK;
}

void
mg_group_client_propose(mg_group_client *c, const mg_msg *command, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    const mg_cmd_put_msg *put = &command->u.cmd_put;
    (void)c;
    (void)ms;
    /* the log may be without a leader */
    mg_rc rc = mg_rng_below(&w.rng, 4) == 0
                   ? MG_E_NO_LEADER
                   : append(put->kind, put->value, put->expect_rev);
    done(user, rc, w.count, "");
}

static double
running_on_others(void *user, const char *service, const char *version)
{
    (void)user;
    (void)service;
    (void)version;
    return 0;
}

static void
receive(struct follower *f, size_t at)
{
    const struct logged *l = &w.log[at];
    if (f->manager != NULL && l->kind == MG_RECORD_REJECTED) {
        mg_rollout_manager_apply_rejected(f->manager, &l->msg.u.rec_rejected,
                                          at + 1);
    }
    else if (f->manager != NULL) {
        mg_rollout_manager_apply_record(f->manager, &l->msg.u.rec_rollout,
                                        at + 1, f->complete_until);
    }
    else if (l->kind == MG_RECORD_REJECTED) {
        mg_versions_set_rejected(f->versions, &l->msg.u.rec_rejected);
    }
    else {
        mg_versions_set_rollout(f->versions, &l->msg.u.rec_rollout);
    }
}

/* Gives a follower the next records, or all; of each kind only the newest. */
static void
pull(struct follower *f, size_t until)
{
    for (size_t at = f->next; at < until; at++) {
        bool newest = true;
        for (size_t i = at + 1; i < until; i++) {
            newest = newest && w.log[i].kind != w.log[at].kind;
        }
        if (newest) {
            receive(f, at);
        }
    }
    f->next = until > f->next ? until : f->next;
    if (until == w.count) {
        f->complete_until = mg_now(&w.clock.clock);
    }
}

/* the hub has got the newest records by the time it is told so */
void
mg_group_client_confirm(mg_group_client *c, int64_t ms,
                        mg_group_client_cb done, void *user)
{
    (void)c;
    (void)ms;
    pull(&w.hub, w.count);
    done(user, MG_OK, w.count, "");
}

static mg_rc
find_service(void *user, const char *service)
{
    (void)user;
    (void)service;
    return MG_OK;
}

static void
stop(struct follower *f)
{
    if (f->manager != NULL) {
        mg_rollout_manager_free(f->manager);
    }
    if (f->versions != NULL) {
        mg_versions_free(f->versions);
    }
    *f = (struct follower){.complete_until = INT64_MIN};
}

static void
start(struct follower *f, bool hub)
{
    stop(f);
    if (hub) {
        f->manager = mg_rollout_manager_new(&(mg_rollout_manager_options){
            .clock = &w.clock.clock,
            .registry = w.registry,
            .ack_ms = ACK_MS,
            .find_service = find_service,
            .running_on_others = running_on_others,
        });
        return;
    }
    f->versions = mg_versions_new(&w.clock.clock);
}

static void
set_up(uint64_t seed)
{
    memset(&w, 0, sizeof(w));
    mg_manual_clock_init(&w.clock);
    w.clock.mono = 100000;
    mg_rng_init(&w.rng, seed);
    w.registry = mg_registry_new(&w.clock.clock);
    start(&w.hub, true);
    for (int i = 0; i < ENTRIES; i++) {
        start(&w.entries[i], false);
    }
}

static void
tear_down(void)
{
    stop(&w.hub);
    for (int i = 0; i < ENTRIES; i++) {
        stop(&w.entries[i]);
    }
    for (size_t i = 0; i < w.count; i++) {
        mg_buf_free(&w.log[i].value);
    }
    mg_registry_free(w.registry);
}

static void
on_ordered(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    (void)user;
    (void)rev;
    (void)why;
    w.rc = rc;
}

static bool
has_ended(void)
{
    return w.state == MG_ROLLOUT_DONE || w.state == MG_ROLLOUT_ROLLED_BACK;
}

/* The operator orders a version at the hub, until the order is accepted. */
static bool
order(int version)
{
    char name[8];
    name_of(version, name);
    for (int i = 0; i < 50; i++) {
        pull(&w.hub, w.count);
        mg_rollout_manager_start(w.hub.manager, "s", name, 20000, on_ordered,
                                 NULL);
        if (w.rc == MG_OK) {
            break;
        }
        mg_rollout_manager_tick(w.hub.manager, true);
        w.clock.mono += STEP_MS;
    }
    pull(&w.hub, w.count);
    return w.rc == MG_OK;
}

/* The rollout ends; its record is written by a hub, perhaps another one. */
static void
end_rollout(mg_rollout_state_id state)
{
    char name[8];
    name_of(w.version, name);
    mg_buf value = {0};
    mg_msg m = {.type = MG_MSG_REC_ROLLOUT};
    m.u.rec_rollout.service = mg_str_of("s");
    m.u.rec_rollout.version = mg_str_of(name);
    m.u.rec_rollout.state = state;
    m.u.rec_rollout.share_permille = state == MG_ROLLOUT_DONE ? 1000 : 0;
    m.u.rec_rollout.window_ms = 20000;
    m.u.rec_rollout.left_ms = 10000;
    mg_msg_encode(&m, &value);
    CU_ASSERT_EQUAL(append(MG_RECORD_ROLLOUT, mg_str_buf(&value),
                           rev_of(MG_RECORD_ROLLOUT)),
                    MG_OK);
    mg_buf_free(&value);
}

/* Whether an entry that knows all records uses each version as it should: one
   that is not in the present rollout gets none if it was rolled back last. */
static const char *
check_entry(struct follower *f)
{
    char name[8];
    for (int v = 0; v < VERSIONS; v++) {
        name_of(v, name);
        bool used =
            mg_versions_use(f->versions, "s", name) != MG_VERSION_EXCLUDED;
        bool tested = v == w.version && !has_ended();
        if (w.rejected[v] && used && !tested) {
            return "a version that was rolled back is used";
        }
        if (!w.rejected[v] && !used && !tested) {
            return "a sound version isn't used";
        }
    }
    return NULL;
}

/* lets entries see all versions for long enough */
static void
wait_for_hold(void)
{
    char name[8];
    for (int round = 0; round < 2; round++) {
        for (int i = 0; i < ENTRIES; i++) {
            for (int v = 0; v < VERSIONS; v++) {
                name_of(v, name);
                mg_versions_use(w.entries[i].versions, "s", name);
            }
        }
        w.clock.mono += MG_VERSION_HOLD_MS;
    }
}

static const char *
check_all(void)
{
    const char *violation = NULL;
    /* the hub records what it has to */
    for (int i = 0; i < 50; i++) {
        pull(&w.hub, w.count);
        mg_rollout_manager_tick(w.hub.manager, true);
    }
    for (int i = 0; i < ENTRIES; i++) {
        pull(&w.entries[i], w.count);
    }
    wait_for_hold();
    for (int i = 0; i < ENTRIES && violation == NULL; i++) {
        violation = check_entry(&w.entries[i]);
    }
    return violation;
}

static const char *
rollouts_history(uint64_t seed)
{
    const char *violation = NULL;
    set_up(seed);
    w.state = MG_ROLLOUT_DONE;
    for (int i = 0; i < STEPS && violation == NULL && w.count < LOG_MAX / 2;
         i++) {
        w.clock.mono += STEP_MS;
        uint32_t draw = mg_rng_below(&w.rng, 100);
        struct follower *f = &w.entries[mg_rng_below(&w.rng, ENTRIES)];
        if (draw < 25 && has_ended()) {
            order((int)mg_rng_below(&w.rng, VERSIONS));
        }
        else if (draw < 50 && !has_ended()) {
            end_rollout(mg_rng_below(&w.rng, 2) == 0 ? MG_ROLLOUT_DONE
                                                     : MG_ROLLOUT_ROLLED_BACK);
        }
        else if (draw < 60) {
            start(f, false);
        }
        else if (draw < 65) {
            start(&w.hub, true);
        }
        else if (draw < 80) {
            pull(f, f->next + mg_rng_below(&w.rng, 4) < w.count ? f->next + 1
                                                                : w.count);
        }
        else if (draw < 90) {
            pull(&w.hub, w.hub.next + mg_rng_below(&w.rng, 3) < w.count
                             ? w.hub.next + 1
                             : w.count);
            mg_rollout_manager_tick(w.hub.manager, mg_rng_below(&w.rng, 2));
        }
        else {
            violation = check_all();
        }
    }
    if (violation == NULL) {
        violation = check_all();
    }
    tear_down();
    return violation;
}

static void
test_histories(void)
{
    run_histories(rollouts_history, HISTORIES / 10);
}

/* What a hub and an entry that have just started know when the next version
   is ordered right after a rollback. */
static void
test_next_order(void)
{
    set_up(1);
    CU_ASSERT_TRUE(order(2));
    end_rollout(MG_ROLLOUT_ROLLED_BACK);
    start(&w.hub, true);
    CU_ASSERT_TRUE(order(3));
    start(&w.entries[0], false);
    CU_ASSERT_PTR_NULL(check_all());
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0].versions, "s", "v2"),
                    MG_VERSION_EXCLUDED);
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0].versions, "s", "v1"),
                    MG_VERSION_ALLOWED);
    end_rollout(MG_ROLLOUT_DONE);
    CU_ASSERT_PTR_NULL(check_all());
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[1].versions, "s", "v1"),
                    MG_VERSION_FALLBACK);
    tear_down();
}

/* A version that is ordered again is judged by its new rollout. */
static void
test_ordered_again(void)
{
    set_up(1);
    CU_ASSERT_TRUE(order(2));
    end_rollout(MG_ROLLOUT_ROLLED_BACK);
    CU_ASSERT_TRUE(order(3));
    end_rollout(MG_ROLLOUT_ROLLED_BACK);
    w.clock.mono += 2 * ACK_MS;
    CU_ASSERT_TRUE(order(2));
    end_rollout(MG_ROLLOUT_DONE);
    CU_ASSERT_PTR_NULL(check_all());
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0].versions, "s", "v2"),
                    MG_VERSION_PREFERRED);
    CU_ASSERT_TRUE(order(4));
    CU_ASSERT_PTR_NULL(check_all());
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0].versions, "s", "v2"),
                    MG_VERSION_ALLOWED);
    CU_ASSERT_EQUAL(mg_versions_use(w.entries[0].versions, "s", "v3"),
                    MG_VERSION_EXCLUDED);
    tear_down();
}

/* The oldest of too many versions is forgotten; what can't be read is left
   out. */
static void
test_bounds(void)
{
    char name[8];
    mg_rejected r = {0};
    mg_rejected copy = {0};
    mg_buf versions = {0};
    for (int i = 0; i <= MG_REJECTED_MAX; i++) {
        name_of(i, name);
        CU_ASSERT_TRUE(mg_rejected_follow(&r, name, MG_ROLLOUT_ROLLED_BACK));
        CU_ASSERT_FALSE(mg_rejected_follow(&r, name, MG_ROLLOUT_ROLLED_BACK));
    }
    CU_ASSERT_FALSE(mg_rejected_has(&r, "v0"));
    CU_ASSERT_TRUE(mg_rejected_has(&r, "v1"));
    mg_rejected_encode(&r, &versions);
    mg_rejected_decode(&copy, mg_str_buf(&versions));
    CU_ASSERT_EQUAL(copy.count, r.count);
    CU_ASSERT_EQUAL(memcmp(copy.versions, r.versions, sizeof(r.versions)), 0);
    mg_rejected_decode(&copy, (mg_str){versions.p, versions.n - 1});
    CU_ASSERT_EQUAL(copy.count, r.count - 1);
    mg_buf_free(&versions);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"the next version is ordered", test_next_order},
        {"a version is ordered again", test_ordered_again},
        {"many versions", test_bounds},
        {"series of rollouts", test_histories},
        CU_TEST_INFO_NULL,
    };
    return run_suite("rejected", tests);
}
