/*
 * Turns of entries to let a refused request through: entries that heard of the
 * last crash and of trials at different times, over random histories.
 */
#include "suite.h"

#include "gateway/strikes.h"
#include "gateway/trial.h"

#define ENTRIES_MAX 12
#define STEP_MS 10
/* how late an entry hears of a crash or a trial at the most, ms */
#define LATE_MS 150
#define STEPS 3000

static mg_trial_state states[ENTRIES_MAX];
static size_t entries;

static void
draw(mg_rng *r)
{
    mg_trial_state t = {
        .key = mg_rng_below(r, 1 << 30),
        .crash_count = MG_STRIKES_MAX + mg_rng_below(r, 4),
        .served = mg_rng_below(r, 2),
        .others_served = mg_rng_below(r, 3) == 0,
    };
    entries = 1 + mg_rng_below(r, ENTRIES_MAX);
    for (size_t i = 0; i < entries; i++) {
        states[i] = t;
        states[i].crashed_ms = mg_rng_below(r, LATE_MS);
    }
}

/* All entries always have a fitting request. Trials fail, by the crash of a
   target or without one. */
static const char *
history(uint64_t seed)
{
    mg_rng r;
    unsigned trials = 0;
    mg_rng_init(&r, seed);
    draw(&r);
    bool is_only = !states[0].served && states[0].others_served;
    bool is_likely =
        is_only ||
        (!states[0].served && states[0].crash_count >= MG_STRIKES_SERVED_MAX);
    int64_t after_ms = is_only ? MG_TRIAL_ONLY_AFTER_MS : MG_TRIAL_AFTER_MS;
    for (int64_t now = 0; now < after_ms + STEPS * STEP_MS; now += STEP_MS) {
        for (size_t i = 0; i < entries; i++) {
            if (!mg_trial_is_due(&states[i], now, i, entries)) {
                continue;
            }
            if (now < after_ms) {
                return "a trial before targets can be back";
            }
            trials++;
            bool crashed = mg_rng_below(&r, 2);
            for (size_t k = 0; k < entries; k++) {
                int64_t heard = now + mg_rng_below(&r, LATE_MS);
                states[k].trials++;
                states[k].tried_ms = k == i ? now : heard;
                states[k].crash_count += crashed;
                if (crashed) {
                    states[k].crashed_ms = heard;
                }
            }
        }
    }
    if (trials > (is_likely ? MG_TRIALS_LIKELY_MAX : MG_TRIALS_MAX)) {
        return "too many trials";
    }
    return trials == 0 ? "no trial" : NULL;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

/* In a first round no two entries may start a trial at one time, though they
   heard of the crash at different times; later no three. Each one gets its
   turn in each round. */
static const char *
turns(uint64_t seed)
{
    mg_rng r;
    bool had_turn[ENTRIES_MAX] = {false};
    mg_rng_init(&r, seed);
    draw(&r);
    int64_t first_round_end =
        MG_TRIAL_AFTER_MS + (int64_t)entries * MG_TRIAL_TURN_MS;
    int64_t round_ms = (int64_t)entries * MG_TRIAL_TURN_MS + LATE_MS;
    for (unsigned round = 0; round < 3; round++) {
        int64_t start = MG_TRIAL_AFTER_MS + round * round_ms;
        memset(had_turn, 0, sizeof(had_turn));
        for (int64_t now = start; now < start + round_ms; now += STEP_MS) {
            unsigned due = 0;
            for (size_t i = 0; i < entries; i++) {
                states[i].crash_count = MG_STRIKES_MAX;
                states[i].others_served = false;
                bool is_due = mg_trial_is_due(&states[i], now, i, entries);
                had_turn[i] |= is_due;
                due += is_due;
            }
            if (due > (now < first_round_end ? 1 : 2)) {
                return "too many entries have the turn";
            }
        }
        for (size_t i = 0; i < entries; i++) {
            if (!had_turn[i]) {
                return "an entry gets no turn";
            }
        }
    }
    return NULL;
}

static void
test_turns(void)
{
    run_histories(turns, 1000);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"trials of a refused key", test_histories},
        {"turns of entries", test_turns},
        CU_TEST_INFO_NULL,
    };
    return run_suite("trial", tests);
}
