/*
 * Strikes of several entries that restart and whose reports get lost, but not
 * all copies of a strike, against the crashes that have really happened.
 */
#include "suite.h"

#include "gateway/strikes.h"

#define ENTRIES 4
#define KEYS 5
#define CRASHES_MAX 64
#define STEPS 60
#define STEP_MS 50
#define LOST_SHARE 0.3
/* after this time without a loss, all entries know what each one has seen */
#define KNOWN_MS (MG_STRIKE_GAP_MS << MG_STRIKE_COPIES)

static struct {
    mg_manual_clock clk;
    mg_rng rng;
    mg_strikes *entries[ENTRIES];
    /* crashes of each key that have happened */
    uint64_t crashes[KEYS][CRASHES_MAX];
    size_t counts[KEYS];
    uint64_t next_crash;
    /* copies of a crash lost from one entry to another */
    unsigned lost[ENTRIES][ENTRIES][KEYS * CRASHES_MAX];
} world;

static void
receive(int from, int to, const mg_load_strike_msg *m, bool report_lost)
{
    unsigned *lost = &world.lost[from][to][m->crash];
    if (report_lost && *lost < MG_STRIKE_COPIES - 1) {
        ++*lost;
        return;
    }
    *lost = 0;
    mg_strikes_receive(world.entries[to], m->key, m->crash);
}

static void
deliver(int from, mg_str loads, double lost)
{
    for (int to = 0; to < ENTRIES; to++) {
        mg_msg m;
        mg_str rest = loads;
        bool report_lost = mg_rng_unit(&world.rng) < lost;
        while (to != from && mg_msg_next(&rest, &m) == MG_OK) {
            receive(from, to, &m.u.load_strike, report_lost);
        }
    }
}

static void
step(double lost)
{
    world.clk.mono += STEP_MS;
    for (int i = 0; i < ENTRIES; i++) {
        mg_buf loads = {0};
        mg_strikes_report(world.entries[i], &loads);
        deliver(i, mg_str_buf(&loads), lost);
        mg_buf_free(&loads);
    }
}

/* a target crashes under a key; one entry or two see it */
static void
crash(void)
{
    size_t key = mg_rng_below(&world.rng, KEYS);
    int first = (int)mg_rng_below(&world.rng, ENTRIES);
    uint64_t c = ++world.next_crash;
    if (world.counts[key] == CRASHES_MAX) {
        return;
    }
    world.crashes[key][world.counts[key]++] = c;
    mg_strikes_add(world.entries[first], key + 1, c);
    if (mg_rng_below(&world.rng, 2) == 0) {
        mg_strikes_add(world.entries[(first + 1) % ENTRIES], key + 1, c);
    }
}

static void
restart(void)
{
    int i = (int)mg_rng_below(&world.rng, ENTRIES);
    mg_strikes_free(world.entries[i]);
    world.entries[i] = mg_strikes_new(&world.clk.clock);
    for (int k = 0; k < ENTRIES; k++) {
        if (k != i) {
            mg_strikes_entry_started(world.entries[k]);
            mg_strikes_entry_started(world.entries[i]);
        }
    }
}

/* whether an entry refuses a key that has crashed fewer targets */
static bool
refuses_harmless(void)
{
    for (int i = 0; i < ENTRIES; i++) {
        for (size_t k = 0; k < KEYS; k++) {
            if (world.counts[k] < MG_STRIKES_MAX &&
                mg_strikes_refuses(world.entries[i], k + 1)) {
                return true;
            }
        }
    }
    return false;
}

static const char *
check_end(bool restarted)
{
    for (size_t k = 0; k < KEYS; k++) {
        unsigned refusing = 0;
        for (int i = 0; i < ENTRIES; i++) {
            refusing += mg_strikes_refuses(world.entries[i], k + 1);
        }
        /* strikes that only an entry that restarted knew may be gone */
        bool lethal = world.counts[k] >= MG_STRIKES_MAX;
        if (refusing != 0 && refusing != ENTRIES) {
            return "entries differ on what is refused";
        }
        if (!restarted && lethal && refusing != ENTRIES) {
            return "three crashes, not refused by all";
        }
    }
    return NULL;
}

static const char *
run(uint64_t seed)
{
    bool restarted = false;
    const char *violation = NULL;
    memset(&world, 0, sizeof(world));
    mg_manual_clock_init(&world.clk);
    mg_rng_init(&world.rng, seed);
    for (int i = 0; i < ENTRIES; i++) {
        world.entries[i] = mg_strikes_new(&world.clk.clock);
    }
    for (int i = 0; i < STEPS && violation == NULL; i++) {
        uint32_t what = mg_rng_below(&world.rng, 40);
        if (what < 5) {
            crash();
        }
        else if (what == 5 && seed % 2 == 0) {
            restart();
            restarted = true;
        }
        step(LOST_SHARE);
        if (refuses_harmless()) {
            violation = "refused after fewer than three crashes";
        }
    }
    for (int i = 0; i < KNOWN_MS / STEP_MS; i++) {
        step(0);
    }
    violation = violation != NULL ? violation : check_end(restarted);
    for (int i = 0; i < ENTRIES; i++) {
        mg_strikes_free(world.entries[i]);
    }
    return violation;
}

static void
test_histories(void)
{
    run_histories(run, HISTORIES);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"lost reports and entries that restart", test_histories},
        CU_TEST_INFO_NULL,
    };
    return run_suite("strikes", tests);
}
