/*
 * Announcements that come late, doubled, out of order and from runs that are
 * over, against a naive registry that keeps all it was ever told.
 */
#include "suite.h"

#include "topology/registry.h"

#define IDS 4
#define ADDRS 3
#define SAID_MAX 128

static mg_announcement
announcement(const char *id, const char *addr, uint64_t born, uint64_t seq,
             mg_instance_state state)
{
    mg_announcement a = {.slots = 4, .state = state, .started_ms = born};
    a.seq = seq;
    snprintf(a.id, sizeof(a.id), "%s", id);
    snprintf(a.addr, sizeof(a.addr), "%s", addr);
    snprintf(a.service, sizeof(a.service), "s");
    return a;
}

static void
test_leaving_stays(void)
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
    /* born again under the same id */
    a.started_ms = 6;
    a.seq = 1;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &a), MG_ANNOUNCE_NEW_RUN);
    CU_ASSERT_EQUAL(mg_registry_find(r, "i")->info.state, MG_INSTANCE_READY);
    mg_registry_free(r);
}

static void
test_address_used_again(void)
{
    mg_manual_clock clock;
    mg_manual_clock_init(&clock);
    mg_registry *r = mg_registry_new(&clock.clock);
    mg_announcement old =
        announcement("old", "10.0.0.1:80", 5, 1, MG_INSTANCE_READY);
    mg_announcement new_one =
        announcement("new", "10.0.0.1:80", 9, 1, MG_INSTANCE_READY);
    mg_registry_announce(r, &old);
    mg_registry_announce(r, &new_one);
    CU_ASSERT_EQUAL(mg_registry_find(r, "old")->info.state, MG_INSTANCE_ENDED);
    /* delayed beyond a cut: its sender is over */
    old.seq = 7;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &old), MG_ANNOUNCE_STALE);
    CU_ASSERT_EQUAL(mg_registry_find(r, "new")->info.state, MG_INSTANCE_READY);
    mg_registry_free(r);
}

/* what the latest word of the latest run of an id says, by going through
   everything that was said so far */
static mg_instance_state
naive_state(const mg_announcement *said, size_t n, const char *id)
{
    const mg_announcement *last = NULL;
    mg_instance_state state = MG_INSTANCE_ENDED;
    for (size_t i = 0; i < n; i++) {
        if (strcmp(said[i].id, id) != 0) {
            continue;
        }
        if (last == NULL || said[i].started_ms > last->started_ms) {
            last = &said[i];
            state = said[i].state;
        }
        else if (said[i].started_ms == last->started_ms &&
                 said[i].state > state && said[i].seq > last->seq) {
            state = said[i].state;
        }
        if (said[i].started_ms == last->started_ms &&
            said[i].seq > last->seq && said[i].state >= last->state) {
            last = &said[i];
        }
    }
    return state;
}

static const char *
history(uint64_t seed)
{
    static mg_announcement said[SAID_MAX];
    mg_manual_clock clock;
    mg_rng r;
    char id[16];
    char addr[32];
    mg_manual_clock_init(&clock);
    mg_rng_init(&r, seed);
    mg_registry *reg = mg_registry_new(&clock.clock);
    const char *broken = NULL;
    for (size_t n = 0; n < SAID_MAX && broken == NULL; n++) {
        uint32_t k = mg_rng_below(&r, IDS);
        uint64_t born = 1 + mg_rng_below(&r, 3);
        snprintf(id, sizeof(id), "i%u", k);
        /* every id has its own address here */
        snprintf(addr, sizeof(addr), "10.0.0.%u:80", k + 1);
        said[n] = announcement(id, addr, born, 1 + mg_rng_below(&r, 20),
                               mg_rng_below(&r, 4) == 0 ? MG_INSTANCE_DRAINING
                                                        : MG_INSTANCE_READY);
        mg_registry_announce(reg, &said[n]);
        const mg_instance *i = mg_registry_find(reg, id);
        if (i == NULL || i->info.state != naive_state(said, n + 1, id)) {
            broken = "another state than the latest word says";
        }
    }
    mg_registry_free(reg);
    return broken;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

/* at one address never two that are thought to live */
static const char *
address_history(uint64_t seed)
{
    mg_manual_clock clock;
    mg_rng r;
    mg_manual_clock_init(&clock);
    mg_rng_init(&r, seed);
    mg_registry *reg = mg_registry_new(&clock.clock);
    const char *broken = NULL;
    for (int n = 0; n < 60 && broken == NULL; n++) {
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
            broken = live > 1 ? "two instances at one address" : broken;
        }
    }
    mg_registry_free(reg);
    return broken;
}

static void
test_addresses(void)
{
    run_histories(address_history, HISTORIES);
}

/* remembered after a restart: used at first, then by its own word only */
static void
test_remembered(void)
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
    /* told once more, that is no sign of life */
    clock.mono += MG_RESTORED_TTL_MS / 2;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &saved), MG_ANNOUNCE_STALE);
    clock.mono += MG_RESTORED_TTL_MS / 2;
    CU_ASSERT_FALSE(mg_instance_is_usable(i, clock.mono));
    /* its own word, also one that was sent before the save */
    mg_announcement own = saved;
    own.restored = false;
    own.seq = 39;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &own), MG_ANNOUNCE_HEARTBEAT);
    CU_ASSERT_TRUE(mg_instance_is_usable(i, clock.mono + 1000));
    /* nothing that was saved goes before what it says itself */
    own.state = MG_INSTANCE_DRAINING;
    own.seq = 41;
    CU_ASSERT_EQUAL(mg_registry_announce(r, &own), MG_ANNOUNCE_STATE_CHANGED);
    CU_ASSERT_EQUAL(mg_registry_announce(r, &saved), MG_ANNOUNCE_STALE);
    CU_ASSERT_FALSE(mg_instance_is_usable(i, clock.mono));
    mg_registry_free(r);
}

static unsigned forgotten;

static void
count_forgotten(mg_instance *i)
{
    (void)i;
    forgotten++;
}

static void
test_remembered_is_forgotten(void)
{
    mg_manual_clock clock;
    mg_manual_clock_init(&clock);
    clock.mono = 100000;
    mg_registry *r = mg_registry_new(&clock.clock);
    mg_announcement saved =
        announcement("i-1", "10.0.0.1:80", 5, 1, MG_INSTANCE_READY);
    saved.restored = true;
    mg_registry_announce(r, &saved);
    mg_registry_sweep(r, count_forgotten);
    CU_ASSERT_EQUAL(forgotten, 0);
    clock.mono += MG_RESTORED_TTL_MS;
    mg_registry_sweep(r, count_forgotten);
    CU_ASSERT_EQUAL(forgotten, 1);
    CU_ASSERT_PTR_NULL(mg_registry_find(r, "i-1"));
    mg_registry_free(r);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"one that leaves does not come back", test_leaving_stays},
        {"an address used again", test_address_used_again},
        {"histories of announcements", test_histories},
        {"histories of addresses", test_addresses},
        {"remembered after a restart", test_remembered},
        {"remembered and never heard of", test_remembered_is_forgotten},
        CU_TEST_INFO_NULL,
    };
    return run_suite("registry", tests);
}
