/*
 * Announcements that are late, duplicated, out of order or from runs that
 * have ended. Random sequences are compared with a naive model that keeps
 * every announcement.
 */
#include "suite.h"

#include "topology/registry.h"

#define IDS 4
#define ADDRS 3
#define ANNOUNCEMENTS_MAX 128

static mg_announcement
announcement(const char *id, const char *addr, uint64_t started, uint64_t seq,
             mg_instance_state state)
{
    mg_announcement a = {.slots = 4, .state = state, .started_ms = started};
    a.seq = seq;
    snprintf(a.id, sizeof(a.id), "%s", id);
    snprintf(a.addr, sizeof(a.addr), "%s", addr);
    snprintf(a.service, sizeof(a.service), "s");
    return a;
}

static void
test_draining_is_final(void)
{
    mg_manual_clock clock;
    mg_manual_clock_init(&clock);
    mg_registry *r = mg_registry_new(&clock.clock);
    mg_announcement a =
        announcement("i", "10.0.0.1:80", 5, 1, MG_INSTANCE_READY);
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_NEW_RUN);
    a.seq = 3;
    a.state = MG_INSTANCE_DRAINING;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_STATE_CHANGED);
    a.seq = 2;
    a.state = MG_INSTANCE_READY;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_STALE);
    a.seq = 9;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(mg_registry_find(r, "i")->info.state,
                    MG_INSTANCE_DRAINING);
    /* a new run with the same id */
    a.started_ms = 6;
    a.seq = 1;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_NEW_RUN);
    CU_ASSERT_EQUAL(mg_registry_find(r, "i")->info.state, MG_INSTANCE_READY);
    mg_registry_free(r);
}

static void
test_address_reuse(void)
{
    mg_manual_clock clock;
    mg_manual_clock_init(&clock);
    mg_registry *r = mg_registry_new(&clock.clock);
    mg_announcement old =
        announcement("old", "10.0.0.1:80", 5, 1, MG_INSTANCE_READY);
    mg_announcement newer =
        announcement("new", "10.0.0.1:80", 9, 1, MG_INSTANCE_READY);
    mg_registry_announce(r, &old);
    mg_registry_announce(r, &newer);
    CU_ASSERT_EQUAL(mg_registry_find(r, "old")->info.state, MG_INSTANCE_ENDED);
    /* this announcement was delayed by a network partition; its sender's run
       has ended */
    old.seq = 7;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &old), MG_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(mg_registry_find(r, "new")->info.state, MG_INSTANCE_READY);
    mg_registry_free(r);
}

/* ------------------------------------------------------- several hosts */

#define HOSTS 9
#define TARGET_RUNS 500
#define DELAY_MAX_MS 60
#define LAST_MS 400
/* of a target's heartbeats, each to a host drawn at random */
#define HEARTBEAT_MS 40

/* announcements on their way to the other hosts */
static struct {
    mg_announcement a;
    int to;
    int64_t due_ms;
} on_way[2048];
static size_t on_way_count;

static void
announce_at(mg_registry **hosts, int at, const mg_announcement *a, int64_t now,
            mg_rng *r)
{
    if (mg_registry_announce(hosts[at], a) == MG_ANNOUNCE_STALE) {
        return;
    }
    for (int k = 0; k < HOSTS; k++) {
        if (k != at) {
            on_way[on_way_count].a = *a;
            on_way[on_way_count].to = k;
            on_way[on_way_count++].due_ms =
                now + 1 + mg_rng_below(r, DELAY_MAX_MS);
        }
    }
}

static void
deliver_due(mg_registry **hosts, int64_t now)
{
    for (size_t i = 0; i < on_way_count; i++) {
        if (on_way[i].due_ms == now) {
            mg_registry_announce(hosts[on_way[i].to], &on_way[i].a);
        }
    }
}

/* A target sends heartbeats to hosts drawn at random and deregisters at one of
   them; returns the number of hosts that miss it. */
static int
hosts_that_miss(uint64_t seed)
{
    mg_manual_clock clock;
    mg_registry *hosts[HOSTS];
    mg_rng r;
    int missed = 0;
    bool left = false;
    mg_manual_clock_init(&clock);
    mg_rng_init(&r, seed);
    on_way_count = 0;
    for (int k = 0; k < HOSTS; k++) {
        hosts[k] = mg_registry_new(&clock.clock);
    }
    int64_t leaves_ms = 100 + mg_rng_below(&r, 100);
    mg_announcement a =
        announcement("i", "10.0.0.1:80", 5, 0, MG_INSTANCE_READY);
    for (int64_t now = 0; now < LAST_MS; now++) {
        int at = (int)mg_rng_below(&r, HOSTS);
        deliver_due(hosts, now);
        if (now % HEARTBEAT_MS == 0 && !left) {
            a.seq++;
            announce_at(hosts, at, &a, now, &r);
        }
        mg_announcement d;
        if (now >= leaves_ms && !left &&
            mg_registry_deregistration(hosts[at], "i", 5, &d) == MG_OK) {
            left = true;
            announce_at(hosts, at, &d, now, &r);
        }
    }
    for (int k = 0; k < HOSTS; k++) {
        missed += mg_registry_find(hosts[k], "i")->info.state !=
                  MG_INSTANCE_DRAINING;
        mg_registry_free(hosts[k]);
    }
    return missed;
}

/* Guards against a deregistration that other hosts take for an old
   announcement, as it has the number of a heartbeat that another host got. */
static void
test_deregistration_at_all_hosts(void)
{
    int runs = 0;
    for (uint64_t seed = 1; seed <= TARGET_RUNS; seed++) {
        runs += hosts_that_miss(seed) > 0;
    }
    CU_ASSERT_EQUAL(runs, 0);
    printf("\n  deregistrations that a host missed: %d of %d\n", runs,
           TARGET_RUNS);
}

static void
test_deregistration(void)
{
    mg_manual_clock clock;
    mg_announcement d;
    mg_manual_clock_init(&clock);
    mg_registry *r = mg_registry_new(&clock.clock);
    mg_announcement a =
        announcement("i", "10.0.0.1:80", 5, 1, MG_INSTANCE_READY);
    CU_ASSERT_EQUAL(mg_registry_deregistration(r, "i", 5, &d), MG_E_NOT_FOUND);
    mg_registry_announce(r, &a);
    CU_ASSERT_EQUAL(mg_registry_deregistration(r, "i", 6, &d), MG_E_NOT_FOUND);
    CU_ASSERT_EQUAL(mg_registry_deregistration(r, "i", 4, &d),
                    MG_E_VERSION_STALE);
    CU_ASSERT_EQUAL(mg_registry_deregistration(r, "i", 0, &d), MG_OK);
    CU_ASSERT_EQUAL(mg_announcement_check(&d), MG_OK);
    CU_ASSERT_EQUAL(mg_registry_announce(r, &d), MG_ANNOUNCE_STATE_CHANGED);
    /* a heartbeat that was sent before and arrives late */
    a.seq = 7;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_STALE);
    CU_ASSERT_FALSE(mg_instance_is_usable(mg_registry_find(r, "i"), 0));
    a.started_ms = 8;
    a.seq = 1;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_NEW_RUN);
    mg_registry_free(r);
}

/* State of the latest run of an id, from all announcements so far. Within a
   run, an announcement with a lower number, or with an earlier state (ready
   after draining), is ignored. */
static mg_instance_state
naive_state(const mg_announcement *sent, size_t n, const char *id)
{
    const mg_announcement *last = NULL;
    mg_instance_state state = MG_INSTANCE_ENDED;
    for (size_t i = 0; i < n; i++) {
        if (strcmp(sent[i].id, id) != 0) {
            continue;
        }
        if (last == NULL || sent[i].started_ms > last->started_ms) {
            last = &sent[i];
            state = sent[i].state;
        }
        else if (sent[i].started_ms == last->started_ms &&
                 sent[i].state > state && sent[i].seq > last->seq) {
            state = sent[i].state;
        }
        if (sent[i].started_ms == last->started_ms &&
            sent[i].seq > last->seq && sent[i].state >= last->state) {
            last = &sent[i];
        }
    }
    return state;
}

static const char *
history(uint64_t seed)
{
    static mg_announcement sent[ANNOUNCEMENTS_MAX];
    mg_manual_clock clock;
    mg_rng r;
    char id[16];
    char addr[32];
    mg_manual_clock_init(&clock);
    mg_rng_init(&r, seed);
    mg_registry *reg = mg_registry_new(&clock.clock);
    const char *violation = NULL;
    for (size_t n = 0; n < ANNOUNCEMENTS_MAX && violation == NULL; n++) {
        uint32_t k = mg_rng_below(&r, IDS);
        uint64_t started = 1 + mg_rng_below(&r, 3);
        snprintf(id, sizeof(id), "i%u", k);
        /* every id has its own address here */
        snprintf(addr, sizeof(addr), "10.0.0.%u:80", k + 1);
        sent[n] = announcement(id, addr, started, 1 + mg_rng_below(&r, 20),
                               mg_rng_below(&r, 4) == 0 ? MG_INSTANCE_DRAINING
                                                        : MG_INSTANCE_READY);
        mg_registry_announce(reg, &sent[n]);
        const mg_instance *i = mg_registry_find(reg, id);
        if (i == NULL || i->info.state != naive_state(sent, n + 1, id)) {
            violation = "state differs from the model's";
        }
    }
    mg_registry_free(reg);
    return violation;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

/* never two ready instances at one address */
static const char *
address_history(uint64_t seed)
{
    mg_manual_clock clock;
    mg_rng r;
    mg_manual_clock_init(&clock);
    mg_rng_init(&r, seed);
    mg_registry *reg = mg_registry_new(&clock.clock);
    const char *violation = NULL;
    for (int n = 0; n < 60 && violation == NULL; n++) {
        char id[16];
        char addr[32];
        uint32_t run = mg_rng_below(&r, 12);
        snprintf(id, sizeof(id), "i%u", run);
        snprintf(addr, sizeof(addr), "10.0.0.%u:80", run % ADDRS + 1);
        mg_announcement a = announcement(
            id, addr, 10 + run, 1 + mg_rng_below(&r, 9), MG_INSTANCE_READY);
        mg_registry_announce(reg, &a);
        for (uint32_t at = 0; at < ADDRS; at++) {
            int live = 0;
            for (uint32_t k = at; k < 12; k += ADDRS) {
                snprintf(id, sizeof(id), "i%u", k);
                const mg_instance *i = mg_registry_find(reg, id);
                live += i != NULL && i->info.state == MG_INSTANCE_READY;
            }
            violation = live > 1 ? "two instances at one address" : violation;
        }
    }
    mg_registry_free(reg);
    return violation;
}

static void
test_addresses(void)
{
    run_histories(address_history, HISTORIES);
}

/* a restored instance is used for a limited time, until it announces itself */
static void
test_restored(void)
{
    mg_manual_clock clock;
    mg_manual_clock_init(&clock);
    clock.mono = 100000;
    mg_registry *r = mg_registry_new(&clock.clock);
    mg_announcement saved =
        announcement("i-1", "10.0.0.1:80", 5, 40, MG_INSTANCE_READY);
    saved.restored = true;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &saved), MG_ANNOUNCE_NEW_RUN);
    mg_instance *i = mg_registry_find(r, "i-1");
    CU_ASSERT_TRUE(mg_instance_is_usable(i, clock.mono));
    /* restoring it once more does not count as an announcement */
    clock.mono += MG_RESTORED_TTL_MS / 2;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &saved), MG_ANNOUNCE_STALE);
    clock.mono += MG_RESTORED_TTL_MS / 2;
    CU_ASSERT_FALSE(mg_instance_is_usable(i, clock.mono));
    /* an announcement that the instance sent before the state was saved */
    mg_announcement received = saved;
    received.restored = false;
    received.seq = 39;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &received), MG_ANNOUNCE_HEARTBEAT);
    CU_ASSERT_TRUE(mg_instance_is_usable(i, clock.mono + 1000));
    /* once an announcement was received, the saved state is ignored */
    received.state = MG_INSTANCE_DRAINING;
    received.seq = 41;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &received),
                    MG_ANNOUNCE_STATE_CHANGED);
    CU_ASSERT_EQUAL(mg_registry_announce(r, &saved), MG_ANNOUNCE_STALE);
    CU_ASSERT_FALSE(mg_instance_is_usable(i, clock.mono));
    mg_registry_free(r);
}

static unsigned removed;

static void
count_removed(mg_instance *i)
{
    (void)i;
    removed++;
}

static void
test_restored_is_removed(void)
{
    mg_manual_clock clock;
    mg_manual_clock_init(&clock);
    clock.mono = 100000;
    mg_registry *r = mg_registry_new(&clock.clock);
    mg_announcement saved =
        announcement("i-1", "10.0.0.1:80", 5, 1, MG_INSTANCE_READY);
    saved.restored = true;
    mg_registry_announce(r, &saved);
    mg_registry_sweep(r, count_removed);
    CU_ASSERT_EQUAL(removed, 0);
    clock.mono += MG_RESTORED_TTL_MS;
    mg_registry_sweep(r, count_removed);
    CU_ASSERT_EQUAL(removed, 1);
    CU_ASSERT_PTR_NULL(mg_registry_find(r, "i-1"));
    mg_registry_free(r);
}

/* entries of another writer: what no target of this system would state */
static void
test_odd_announcements(void)
{
    mg_announcement a =
        announcement("i", "10.0.0.1:80", 5, 1, MG_INSTANCE_READY);
    CU_ASSERT_EQUAL(mg_announcement_check(&a), MG_OK);
    static const char *const addrs[] = {
        "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:99999999999999999999", "",
        "10.0.0.1",       "[::1]:80"};
    for (size_t i = 0; i < sizeof(addrs) / sizeof(addrs[0]); i++) {
        mg_announcement odd = a;
        snprintf(odd.addr, sizeof(odd.addr), "%s", addrs[i]);
        CU_ASSERT_EQUAL(mg_announcement_check(&odd), MG_E_INPUT);
    }
    mg_announcement odd = a;
    odd.slots = UINT32_MAX;
    CU_ASSERT_EQUAL(mg_announcement_check(&odd), MG_E_INPUT);
    odd = a;
    odd.started_ms = INT64_MAX;
    CU_ASSERT_EQUAL(mg_announcement_check(&odd), MG_E_INPUT);
    odd = a;
    odd.seq = INT64_MAX;
    CU_ASSERT_EQUAL(mg_announcement_check(&odd), MG_E_INPUT);
    odd = a;
    odd.state = (mg_instance_state)7;
    CU_ASSERT_EQUAL(mg_announcement_check(&odd), MG_E_INPUT);
    /* the same from another host */
    mg_instance_msg m;
    mg_announcement_to_msg(&a, &m);
    CU_ASSERT_EQUAL(mg_announcement_from_msg(&m, &odd), MG_OK);
    m.slots = UINT64_C(1) << 32;
    CU_ASSERT_EQUAL(mg_announcement_from_msg(&m, &odd), MG_E_INPUT);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"deregistration", test_deregistration},
        {"a deregistration reaches all hosts",
         test_deregistration_at_all_hosts},
        {"a draining run never becomes ready again", test_draining_is_final},
        {"reuse of an address", test_address_reuse},
        {"random announcements", test_histories},
        {"random addresses", test_addresses},
        {"restored after a restart", test_restored},
        {"restored, but never announced", test_restored_is_removed},
        {"odd announcements", test_odd_announcements},
        CU_TEST_INFO_NULL,
    };
    return run_suite("registry", tests);
}
