/* quotas of several entries with delayed reports, against the true totals */
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
test_lower_limits_apply_at_once(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 1000, 1000, 0, WINDOW_MS);
    CU_ASSERT_TRUE(mg_quota_take(&q, 100, 0));
    mg_quota_set(&q, 10, 10, 0, WINDOW_MS);
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, 500));
    CU_ASSERT_TRUE(mg_quota_take(&q, 1, WINDOW_MS));
}

static void
test_remote_use_counts(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 100, 100, 0, WINDOW_MS);
    mg_quota_add_remote(&q, 420, 0);
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, 1900));
    mg_quota_refund(&q, 20, 0, 1900);
    CU_ASSERT_TRUE(mg_quota_take(&q, 1, 1900));
}

/* a refund belongs to the time of the use: once that has left the window, it
   makes no room */
static void
test_refund_after_a_wait(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 100, 100, 0, WINDOW_MS);
    double limit = 100 + 100 * WINDOW_MS / 1000.0;
    CU_ASSERT_TRUE(mg_quota_take(&q, limit, 0));
    mg_quota_refund(&q, limit, 0, WINDOW_MS / 2);
    CU_ASSERT_EQUAL(q.used_window, 0);
    CU_ASSERT_TRUE(mg_quota_take(&q, limit, WINDOW_MS / 2));
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, WINDOW_MS + 1));
    mg_quota_refund(&q, limit, 0, WINDOW_MS + 1);
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, WINDOW_MS + 1));
}

/* a request that is sent to another target is used twice, even beyond the
   limit */
static void
test_charge(void)
{
    mg_quota q = {0};
    mg_quota_set(&q, 100, 100, 0, WINDOW_MS);
    double limit = 100 + 100 * WINDOW_MS / 1000.0;
    CU_ASSERT_TRUE(mg_quota_take(&q, limit - 1, 0));
    mg_quota_charge(&q, limit - 1, 100);
    CU_ASSERT_EQUAL(q.used_window, 2 * (limit - 1));
    CU_ASSERT_EQUAL(q.used_total, (uint64_t)(2 * (limit - 1)));
    CU_ASSERT_FALSE(mg_quota_take(&q, 1, 100));
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

/* In any window, all entries together admit at most this sum: the tokens that
   the rate allows, the burst, and the demand of one report interval. */
static const char *
history(uint64_t seed)
{
    static double admitted[END_MS];
    mg_quota q[ENTRIES] = {0};
    uint64_t reported[ENTRIES] = {0};
    mg_rng r;
    mg_rng_init(&r, seed);
    memset(admitted, 0, sizeof(admitted));
    double rate = 500 + mg_rng_below(&r, 2000);
    double burst = 200 + mg_rng_below(&r, 2000);
    double cost = 1 + mg_rng_below(&r, 100);
    int64_t delay = 20 + mg_rng_below(&r, 200);
    double demand_per_ms = rate / 1000 * (0.5 + 8 * mg_rng_unit(&r));
    double demand = 0;
    double total = 0;
    for (int i = 0; i < ENTRIES; i++) {
        mg_quota_set(&q[i], rate, burst, 0, WINDOW_MS);
    }
    for (int64_t now = 0; now < END_MS; now++) {
        demand += demand_per_ms;
        while (demand >= cost) {
            demand -= cost;
            uint32_t i = mg_rng_below(&r, ENTRIES);
            admitted[now] += mg_quota_take(&q[i], cost, now) ? cost : 0;
        }
        total += admitted[now];
        for (int i = 0; now % delay == 0 && i < ENTRIES; i++) {
            for (int k = 0; k < ENTRIES; k++) {
                if (k != i) {
                    mg_quota_add_remote(
                        &q[k], (double)(q[i].used_total - reported[i]), now);
                }
            }
            reported[i] = q[i].used_total;
        }
    }
    int64_t window = WINDOW_MS - q[0].slice_ms;
    double excess = demand_per_ms * (double)delay + ENTRIES * cost;
    double limit = rate * WINDOW_MS / 1000 + burst + excess;
    double sum = 0;
    for (int64_t now = 0; now < END_MS; now++) {
        sum += admitted[now] - (now >= window ? admitted[now - window] : 0);
        if (sum > limit) {
            return "admitted more than the quota and the demand during a "
                   "report interval";
        }
    }
    double wanted = demand_per_ms * END_MS;
    double entitled = rate * END_MS / 1000;
    entitled = wanted < entitled ? wanted : entitled;
    return total < 0.9 * entitled - ENTRIES * cost
               ? "admitted far less than the quota"
               : NULL;
}

static void
test_histories(void)
{
    run_histories(history, 300);
}

/*
 * Twenty entries that report every 0.6 s, with a demand of two to six times
 * the quota: they admit at most 110 % of it in any window, and at least 80 %.
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
    static uint64_t reported[MANY];
    mg_rng r;
    mg_rng_init(&r, seed);
    memset(admitted, 0, sizeof(admitted));
    memset(q, 0, sizeof(q));
    memset(reported, 0, sizeof(reported));
    double rate = 50000 + mg_rng_below(&r, 200000);
    double burst = rate;
    double cost = 1000 + mg_rng_below(&r, 2000);
    double demand_per_ms = rate / 1000 * (2 + 4 * mg_rng_unit(&r));
    double demand = 0;
    double sum = 0;
    double last = 0;
    double limit = rate * MANY_WINDOW_MS / 1000 + burst;
    for (int i = 0; i < MANY; i++) {
        mg_quota_set(&q[i], rate, burst, 0, MANY_WINDOW_MS);
        mg_quota_set_lag(&q[i], MANY_DELAY_MS);
    }
    for (int64_t now = 0; now < MANY_END_MS; now++) {
        for (demand += demand_per_ms; demand >= cost; demand -= cost) {
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
                        &q[k], (double)(q[i].used_total - reported[i]), now);
                }
            }
            reported[i] = q[i].used_total;
        }
        sum += admitted[now];
        sum -= now >= MANY_WINDOW_MS ? admitted[now - MANY_WINDOW_MS] : 0;
        last += now >= MANY_WINDOW_MS ? admitted[now] : 0;
        if (sum > limit * (1 + MANY_OVERAGE) + MANY * cost) {
            return "admitted more than 110 % of the quota";
        }
    }
    double entitled = rate * (MANY_END_MS - MANY_WINDOW_MS) / 1000;
    return last < 0.8 * entitled ? "admitted far less than the quota" : NULL;
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
        {"lower limits apply at once", test_lower_limits_apply_at_once},
        {"use at other entries counts", test_remote_use_counts},
        {"a long pause empties the window",
         test_a_long_pause_empties_the_window},
        {"a refund after a wait", test_refund_after_a_wait},
        {"a second use of a request", test_charge},
        {"histories of entries with delayed reports", test_histories},
        {"many entries that report rarely", test_many},
        CU_TEST_INFO_NULL,
    };
    return run_suite("quota", tests);
}
