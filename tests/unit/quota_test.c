/* quotas of several entries that report late, against a ledger of all */
#include "suite.h"

#include "gateway/quota.h"

#define ENTRIES 4

#define WINDOW_MS 3200

static void
test_a_window_holds_rate_and_burst(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 1000, 700, 100, WINDOW_MS);
    CU_ASSERT_TRUE(mg_quota_take(&q, 3999, 10));
    CU_ASSERT_TRUE(mg_quota_take(&q, 400, 1010));
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, 1010));
    CU_ASSERT_EQUAL(mg_quota_wait_ms(&q, 1010), WINDOW_MS - 1010);
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, WINDOW_MS - 1));
    CU_ASSERT_TRUE(mg_quota_take(&q, 1, WINDOW_MS));
}

static void
test_lower_figures_bind_at_once(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 1000, 1000, 0, WINDOW_MS);
    CU_ASSERT_TRUE(mg_quota_take(&q, 100, 0));
    mg_quota_set(&q, 10, 10, 0, WINDOW_MS);
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, 500));
    CU_ASSERT_TRUE(mg_quota_take(&q, 1, WINDOW_MS));
}

static void
test_others_use_counts(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 100, 100, 0, WINDOW_MS);
    mg_quota_add_remote(&q, 420, 0);
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, 1900));
    mg_quota_refund(&q, 20, 1900);
    CU_ASSERT_TRUE(mg_quota_take(&q, 1, 1900));
}

static void
test_a_long_pause_empties_the_window(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 100, 100, 0, WINDOW_MS);
    CU_ASSERT_TRUE(mg_quota_take(&q, 420, 0));
    CU_ASSERT_TRUE(mg_quota_take(&q, 1, 100 * WINDOW_MS));
    CU_ASSERT_EQUAL(q.used_window, 1);
}

#define END_MS 12000

/* admitted over all entries in any window: rate, burst, and what came in
   while reports were under way */
static const char *
history(uint64_t seed)
{
    static double admitted[END_MS];
    mg_quota q[ENTRIES] = {0};
    uint64_t told[ENTRIES] = {0};
    mg_rng r;
    mg_rng_init(&r, seed);
    memset(admitted, 0, sizeof(admitted));
    double rate = 500 + mg_rng_below(&r, 2000);
    double burst = 200 + mg_rng_below(&r, 2000);
    double cost = 1 + mg_rng_below(&r, 100);
    int64_t delay = 20 + mg_rng_below(&r, 200);
    double per_ms = rate / 1000 * (0.5 + 8 * mg_rng_unit(&r));
    double asked = 0;
    double total = 0;
    for (int i = 0; i < ENTRIES; i++) {
        mg_quota_set(&q[i], rate, burst, 0, WINDOW_MS);
    }
    for (int64_t now = 0; now < END_MS; now++) {
        asked += per_ms;
        while (asked >= cost) {
            asked -= cost;
            uint32_t i = mg_rng_below(&r, ENTRIES);
            admitted[now] += mg_quota_take(&q[i], cost, now) ? cost : 0;
        }
        total += admitted[now];
        for (int i = 0; now % delay == 0 && i < ENTRIES; i++) {
            for (int k = 0; k < ENTRIES; k++) {
                if (k != i) {
                    mg_quota_add_remote(
                        &q[k], (double)(q[i].used_total - told[i]), now);
                }
            }
            told[i] = q[i].used_total;
        }
    }
    int64_t window = WINDOW_MS - q[0].slice_ms;
    double late = per_ms * (double)delay + ENTRIES * cost;
    double limit = rate * WINDOW_MS / 1000 + burst + late;
    double sum = 0;
    for (int64_t now = 0; now < END_MS; now++) {
        sum += admitted[now] - (now >= window ? admitted[now - window] : 0);
        if (sum > limit) {
            return "admitted more than the quota and the delay of reports";
        }
    }
    double wanted = per_ms * END_MS;
    double owed = rate * END_MS / 1000;
    owed = wanted < owed ? wanted : owed;
    return total < 0.9 * owed - ENTRIES * cost
               ? "admitted far less than the quota"
               : NULL;
}

static void
test_histories(void)
{
    run_histories(history, 300);
}

/*
 * Twenty entries that report every 0.6 s, under two to six times the quota:
 * in no window more than a tenth beyond it, and no less than four fifths.
 */
#define MANY 20
#define MANY_DELAY_MS 600
#define MANY_OVERAGE 0.1
#define MANY_WINDOW_MS 8000
#define MANY_END_MS 24000

static const char *
many_history(uint64_t seed)
{
    static double admitted[MANY_END_MS];
    static mg_quota q[MANY];
    static uint64_t told[MANY];
    mg_rng r;
    mg_rng_init(&r, seed);
    memset(admitted, 0, sizeof(admitted));
    memset(q, 0, sizeof(q));
    memset(told, 0, sizeof(told));
    double rate = 50000 + mg_rng_below(&r, 200000);
    double burst = rate;
    double cost = 1000 + mg_rng_below(&r, 2000);
    double per_ms = rate / 1000 * (2 + 4 * mg_rng_unit(&r));
    double asked = 0;
    double sum = 0;
    double last = 0;
    double limit = rate * MANY_WINDOW_MS / 1000 + burst;
    for (int i = 0; i < MANY; i++) {
        mg_quota_set(&q[i], rate, burst, 0, MANY_WINDOW_MS);
        mg_quota_set_lag(&q[i], MANY_DELAY_MS);
    }
    for (int64_t now = 0; now < MANY_END_MS; now++) {
        for (asked += per_ms; asked >= cost; asked -= cost) {
            uint32_t i = mg_rng_below(&r, MANY);
            admitted[now] += mg_quota_take(&q[i], cost, now) ? cost : 0;
        }
        for (int i = 0; i < MANY; i++) {
            if ((now + i * 30) % MANY_DELAY_MS != 0) {
                continue;
            }
            for (int k = 0; k < MANY; k++) {
                if (k != i) {
                    mg_quota_add_remote(
                        &q[k], (double)(q[i].used_total - told[i]), now);
                }
            }
            told[i] = q[i].used_total;
        }
        sum += admitted[now];
        sum -= now >= MANY_WINDOW_MS ? admitted[now - MANY_WINDOW_MS] : 0;
        last += now >= MANY_WINDOW_MS ? admitted[now] : 0;
        if (sum > limit * (1 + MANY_OVERAGE) + MANY * cost) {
            return "admitted more than the quota and its tenth";
        }
    }
    double owed = rate * (MANY_END_MS - MANY_WINDOW_MS) / 1000;
    return last < 0.8 * owed ? "admitted far less than the quota" : NULL;
}

static void
test_many(void)
{
    run_histories(many_history, 100);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a window holds rate and burst", test_a_window_holds_rate_and_burst},
        {"lower figures bind at once", test_lower_figures_bind_at_once},
        {"others' use counts", test_others_use_counts},
        {"a long pause empties the window",
         test_a_long_pause_empties_the_window},
        {"histories of entries that report late", test_histories},
        {"many entries that report seldom", test_many},
        CU_TEST_INFO_NULL,
    };
    return run_suite("quota", tests);
}
