/* quotas of several entries with delayed reports, against the true totals */
#include "suite.h"

#include "gateway/quota.h"

#define WINDOW_MS 3200
#define SLICE_MS (WINDOW_MS / MG_QUOTA_SLICES)
/* of sums of fractions */
#define BUCKET_ERROR 1e-6

/* A quota of an entry that knows all use at once. */
static mg_quota
sole_quota(double rate, double burst)
{
    mg_quota q = {0};
    mg_quota_limits limits = {rate, rate, burst, 1e12, WINDOW_MS};
    mg_quota_set(&q, &limits);
    mg_quota_set_view(&q, 0, 1, 0);
    return q;
}

static bool
take(mg_quota *q, double cost, int64_t now)
{
    return mg_quota_take(q, cost, 0.5, now);
}

static void
test_burst_then_rate(void)
{
    mg_quota q = sole_quota(1000, 800);
    CU_ASSERT_TRUE(take(&q, 799, 10));
    /* some is left: the request is taken as a whole */
    CU_ASSERT_TRUE(take(&q, 501, 10));
    CU_ASSERT_FALSE(take(&q, 1, 10));
    CU_ASSERT_EQUAL(mg_quota_wait_ms(&q, 10), 500);
    CU_ASSERT_FALSE(take(&q, 1, 10 + 499));
    CU_ASSERT_TRUE(take(&q, 1, 10 + 501));
}

static void
test_ceiling(void)
{
    mg_quota q = sole_quota(1000, 800);
    q.limits.ceiling = 1000;
    CU_ASSERT_TRUE(take(&q, 700, 0));
    CU_ASSERT_TRUE(take(&q, 300, 1000));
    CU_ASSERT_FALSE(take(&q, 1, 2000));
    CU_ASSERT_EQUAL(mg_quota_wait_ms(&q, 2000), WINDOW_MS - 2000);
    CU_ASSERT_FALSE(take(&q, 1, WINDOW_MS - 1));
    CU_ASSERT_TRUE(take(&q, 1, WINDOW_MS));
}

static void
test_lower_limits_apply_at_once(void)
{
    mg_quota q = sole_quota(1000, 1000);
    mg_quota_limits lower = {10, 10, 10, 1e12, WINDOW_MS};
    CU_ASSERT_TRUE(take(&q, 100, 0));
    mg_quota_set(&q, &lower);
    CU_ASSERT_FALSE(take(&q, 1, 500));
    CU_ASSERT_TRUE(take(&q, 1, WINDOW_MS));
}

static void
test_remote_use_counts(void)
{
    mg_quota q = sole_quota(100, 100);
    mg_quota_add_remote(&q, 300, 0);
    CU_ASSERT_FALSE(take(&q, 1, 1900));
    mg_quota_refund(&q, 20, 0, 1900);
    CU_ASSERT_TRUE(take(&q, 1, 1900));
}

/* a refund belongs to the time of the use: once that has left the window, it
   makes no room */
static void
test_refund_after_a_wait(void)
{
    mg_quota q = sole_quota(100, 100);
    CU_ASSERT_TRUE(take(&q, 600, 0));
    mg_quota_refund(&q, 600, 0, WINDOW_MS / 2);
    CU_ASSERT_EQUAL(q.used_window, 0);
    CU_ASSERT_TRUE(take(&q, 600, WINDOW_MS / 2));
    CU_ASSERT_FALSE(take(&q, 1, WINDOW_MS + 1));
    mg_quota_refund(&q, 600, 0, WINDOW_MS + 1);
    CU_ASSERT_FALSE(take(&q, 1, WINDOW_MS + 1));
}

/* a request that is sent to another target is used twice, even beyond the
   limit */
static void
test_charge(void)
{
    mg_quota q = sole_quota(100, 100);
    CU_ASSERT_TRUE(take(&q, 99, 0));
    mg_quota_charge(&q, 99, 100);
    CU_ASSERT_EQUAL(q.used_window, 2 * 99);
    CU_ASSERT_EQUAL(q.used_total, 2 * 99);
    CU_ASSERT_FALSE(take(&q, 1, 100));
}

static void
test_a_long_pause_empties_the_window(void)
{
    mg_quota q = sole_quota(100, 100);
    CU_ASSERT_TRUE(take(&q, 420, 0));
    CU_ASSERT_TRUE(take(&q, 1, 100 * WINDOW_MS));
    CU_ASSERT_EQUAL(q.used_window, 1);
}

/* an entry that starts has no burst to grant, and its share of the rate */
static void
test_start(void)
{
    mg_quota q = sole_quota(1000, 800);
    mg_quota_start_empty(&q, 5000);
    CU_ASSERT_FALSE(take(&q, 1, 5000));
    CU_ASSERT_TRUE(take(&q, 200, 5200));
    CU_ASSERT_FALSE(take(&q, 1, 5200));
    CU_ASSERT_TRUE(take(&q, 700, 9000));
    CU_ASSERT_TRUE(take(&q, 90, 9000));
    CU_ASSERT_FALSE(take(&q, 90, 9000) && take(&q, 1, 9000));
}

/* The level against a token bucket that is kept step by step. A debt is at
   most what the rate refills in a quarter of a window. */
static const char *
bucket_history(uint64_t seed)
{
    mg_rng r;
    mg_rng_init(&r, seed);
    double rate = 100 + mg_rng_below(&r, 2000);
    double burst = 10 + mg_rng_below(&r, 2000);
    double level = burst;
    mg_quota q = sole_quota(rate, burst);
    int64_t now = 0;
    for (int i = 0; i < 300; i++) {
        int64_t ms = mg_rng_below(&r, 2 * SLICE_MS);
        double cost = 1 + mg_rng_below(&r, (uint32_t)burst / 4 + 2);
        double debt_max = rate * WINDOW_MS / 4 / 1000;
        now += ms;
        level += rate * (double)ms / 1000;
        level = level < burst ? level : burst;
        level = level > -debt_max ? level : -debt_max;
        bool taken = take(&q, cost, now);
        if (taken && level < -BUCKET_ERROR) {
            return "taken although the bucket is empty";
        }
        if (!taken && level > BUCKET_ERROR) {
            return "refused although the bucket holds something";
        }
        level -= taken ? cost : 0;
    }
    return NULL;
}

static void
test_bucket(void)
{
    run_histories(bucket_history, HISTORIES);
}

/* ------------------------------------------------------ several entries */

#define ENTRIES_MAX 84
#define RULE_WINDOW_MS 8000
#define END_MS 40000

/* what all entries admit, as the targets see it */
static struct {
    int entries;
    double rate;
    double burst;
    double cost;
    double margin;
    int64_t interval_ms; /* between the reports of an entry */
    int64_t latency_ms;
    bool (*hears)(int to, int from, int64_t now);
    double (*demand)(int64_t now); /* per second */
    double factor;                 /* of two_to_six_times() */
    mg_rng rng;
    mg_quota q[ENTRIES_MAX];
    uint64_t used[ENTRIES_MAX][ENTRIES_MAX]; /* as heard, by hearer */
    uint64_t refused[ENTRIES_MAX][ENTRIES_MAX];
    int64_t heard_ms[ENTRIES_MAX][ENTRIES_MAX];
    uint64_t sent_used[ENTRIES_MAX]; /* reports that are on their way */
    uint64_t sent_refused[ENTRIES_MAX];
    double admitted[END_MS];
    double asked;
    double taken;
} sim;

static mg_quota_limits
sim_limits(void)
{
    return mg_quota_limits_of(&(mg_quota_settings){
        .rate = sim.rate,
        .burst = sim.burst,
        .overage = 0.1,
        .margin = sim.margin,
        .window_ms = RULE_WINDOW_MS,
    });
}

/* as the gateway does it from the times of the last reports */
static void
sim_set_view(int i, int64_t now)
{
    int64_t lag = sim.interval_ms + sim.latency_ms;
    unsigned others = 0;
    unsigned silent = 0;
    for (int k = 0; k < sim.entries; k++) {
        int64_t age = now - sim.heard_ms[i][k];
        others += k != i && age <= 2 * lag;
        silent += k != i && age > 2 * lag && age < 15000;
    }
    mg_quota_set_view(&sim.q[i], lag,
                      (double)(others + 1) / (double)(others + 1 + silent),
                      others);
}

static void
sim_deliver(int from, int64_t now)
{
    for (int k = 0; k < sim.entries; k++) {
        if (k == from || !sim.hears(k, from, now)) {
            continue;
        }
        mg_quota_add_remote(
            &sim.q[k], (double)(sim.sent_used[from] - sim.used[k][from]), now);
        mg_quota_add_remote_refused(
            &sim.q[k], (double)(sim.sent_refused[from] - sim.refused[k][from]),
            now);
        sim.used[k][from] = sim.sent_used[from];
        sim.refused[k][from] = sim.sent_refused[from];
        sim.heard_ms[k][from] = now;
    }
}

static void
sim_report(int64_t now)
{
    for (int i = 0; i < sim.entries; i++) {
        int64_t phase = i * sim.interval_ms / sim.entries;
        if ((now + phase) % sim.interval_ms == 0) {
            sim.sent_used[i] = sim.q[i].used_total;
            sim.sent_refused[i] = sim.q[i].refused_total;
        }
        if ((now + phase) % sim.interval_ms == sim.latency_ms) {
            sim_deliver(i, now);
        }
    }
}

static bool
always_hears(int to, int from, int64_t now)
{
    (void)to;
    (void)from;
    (void)now;
    return true;
}

static void
sim_run(uint64_t seed)
{
    mg_rng_init(&sim.rng, seed);
    sim.asked = 0;
    sim.taken = 0;
    memset(sim.q, 0, sizeof(sim.q));
    memset(sim.used, 0, sizeof(sim.used));
    memset(sim.refused, 0, sizeof(sim.refused));
    memset(sim.heard_ms, 0, sizeof(sim.heard_ms));
    memset(sim.admitted, 0, sizeof(sim.admitted));
    mg_quota_limits limits = sim_limits();
    for (int i = 0; i < sim.entries; i++) {
        mg_quota_set(&sim.q[i], &limits);
    }
    for (int64_t now = 0; now < END_MS; now++) {
        /* requests come at random moments, or at the same moment */
        double due = sim.demand(now) / 1000 / sim.cost;
        unsigned n = due < 1 ? mg_rng_unit(&sim.rng) < due : (unsigned)due;
        for (; n > 0; n--) {
            int i = (int)mg_rng_below(&sim.rng, (uint32_t)sim.entries);
            sim_set_view(i, now);
            sim.asked += sim.cost;
            if (mg_quota_take(&sim.q[i], sim.cost, mg_rng_unit(&sim.rng),
                              now)) {
                sim.admitted[now] += sim.cost;
                sim.taken += sim.cost;
            }
        }
        sim_report(now);
    }
}

static double
admitted_between(int64_t from, int64_t until)
{
    double sum = 0;
    for (int64_t ms = from; ms < until; ms++) {
        sum += sim.admitted[ms];
    }
    return sum;
}

/* the most that is admitted in a window */
static double
most_in_a_window(void)
{
    double sum = 0;
    double most = 0;
    for (int64_t now = 0; now < END_MS; now++) {
        sum += sim.admitted[now];
        sum -= now >= RULE_WINDOW_MS ? sim.admitted[now - RULE_WINDOW_MS] : 0;
        most = sum > most ? sum : most;
    }
    return most;
}

/* what the targets may get in a window */
static double
rule_limit(void)
{
    return (sim.rate * RULE_WINDOW_MS / 1000 + sim.burst) * 1.1 + sim.margin;
}

static double
ten_times(int64_t now)
{
    (void)now;
    return 10 * sim.rate;
}

static double
two_to_six_times(int64_t now)
{
    (void)now;
    return sim.factor * sim.rate;
}

/* demand that alternates: 8 s at 0.7 of the rate, 8 s at seven times the rate
 */
static double
hot_times(int64_t now)
{
    return (now / 8000 % 2 == 1 ? 7 : 0.7) * sim.rate;
}

/* calm, then a hot workspace, then 48 clients at the same moment */
static double
herd_after_hot(int64_t now)
{
    if (now % 10000 == 9000) {
        return 48 * sim.cost * 1000;
    }
    return (now % 10000 >= 2000 && now % 10000 < 6500 ? 10 : 0.7) * sim.rate;
}

static double
calm(int64_t now)
{
    (void)now;
    return 0.7 * sim.rate;
}

static void
set_up_grown(void)
{
    memset(&sim, 0, sizeof(sim));
    sim.entries = 84;
    sim.rate = 30000;
    sim.burst = 30000;
    sim.cost = 3000;
    sim.margin = 72000;
    sim.interval_ms = 500;
    sim.latency_ms = 150;
    sim.hears = always_hears;
    sim.demand = ten_times;
}

/*
 * Guards against a quota that all entries grant at the same moment: 84 entries
 * that report twice a second, and a workspace that asks ten times its quota.
 * No window holds more than the rule allows, and in no two seconds, of which
 * the rate is 20 requests, less than a quarter of that is admitted.
 */
static const char *
pressed_history(uint64_t seed)
{
    set_up_grown();
    sim_run(seed);
    if (most_in_a_window() > rule_limit()) {
        return "a window holds more than is allowed";
    }
    for (int64_t from = RULE_WINDOW_MS; from < END_MS - 2000; from += 500) {
        if (admitted_between(from, from + 2000) < 0.25 * 2 * sim.rate) {
            return "two seconds with less than a quarter of the rate";
        }
    }
    double sum = admitted_between(RULE_WINDOW_MS, END_MS);
    return sum < 0.95 * sim.rate * (END_MS - RULE_WINDOW_MS) / 1000
               ? "admitted less than the rate"
               : NULL;
}

static const char *
hot_history(uint64_t seed)
{
    set_up_grown();
    sim.demand = hot_times;
    sim.rate = 60000;
    sim.burst = 60000;
    sim_run(seed);
    if (most_in_a_window() > rule_limit()) {
        return "a window holds more than is allowed";
    }
    return NULL;
}

/* Within the quota, hardly anything is refused. */
static const char *
calm_history(uint64_t seed)
{
    set_up_grown();
    sim.demand = calm;
    sim.entries = seed % 2 ? 84 : 9;
    sim.interval_ms = seed % 2 ? 500 : 100;
    sim.latency_ms = seed % 2 ? 150 : 50;
    sim_run(seed);
    return sim.taken < 0.99 * sim.asked ? "refused within the quota" : NULL;
}

/* Guards against entries that each grant what is left when many clients come
   at the same moment. */
static const char *
herd_history(uint64_t seed)
{
    set_up_grown();
    sim.demand = herd_after_hot;
    sim.entries = 3 + (int)(seed % 10);
    sim.interval_ms = 100;
    sim.latency_ms = 50;
    sim_run(seed);
    return most_in_a_window() > rule_limit()
               ? "a window holds more than is allowed"
               : NULL;
}

/* entry 0 and the others don't hear each other for 8 s */
static bool
hears_unless_cut(int to, int from, int64_t now)
{
    return (to != 0 && from != 0) || now < 9000 || now >= 17000;
}

/* Guards against a cut-off entry that grants what the others grant as well. */
static const char *
cut_off_history(uint64_t seed)
{
    set_up_grown();
    sim.entries = 3 + (int)(seed % 7);
    sim.interval_ms = 100;
    sim.latency_ms = 50;
    sim.rate = 110000;
    sim.burst = 110000;
    sim.demand = hot_times;
    sim.hears = hears_unless_cut;
    sim_run(seed);
    return most_in_a_window() > rule_limit()
               ? "a window holds more than is allowed"
               : NULL;
}

/* any number of entries, pace of reports, and demand */
static const char *
mixed_history(uint64_t seed)
{
    mg_rng r;
    set_up_grown();
    mg_rng_init(&r, seed);
    sim.entries = 1 + (int)mg_rng_below(&r, 12);
    sim.rate = 50000 + mg_rng_below(&r, 200000);
    sim.burst = sim.rate;
    sim.cost = 500 + mg_rng_below(&r, 3000);
    sim.interval_ms = 100;
    sim.latency_ms = mg_rng_below(&r, 100);
    sim.demand = mg_rng_below(&r, 2) ? ten_times : hot_times;
    sim_run(seed);
    return most_in_a_window() > rule_limit()
               ? "a window holds more than is allowed"
               : NULL;
}

/* Limits without a tolerated excess. */
static mg_quota_limits
exact_limits(double rate, double burst, int64_t window_ms)
{
    return (mg_quota_limits){
        .rate = rate,
        .rate_apart = rate,
        .burst = burst,
        .ceiling = rate * (double)window_ms / 1000 + burst,
        .window_ms = window_ms,
    };
}

/* Four entries, any delay of reports: in any window they admit at most what
   the rate and the burst allow, and the demand of one report interval; and no
   less than nine tenths of what they may. */
#define FEW 4
#define FEW_END_MS 12000

static const char *
few_history(uint64_t seed)
{
    static double admitted[FEW_END_MS];
    mg_quota q[FEW] = {0};
    uint64_t reported[FEW] = {0};
    uint64_t refused[FEW] = {0};
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
    mg_quota_limits limits = exact_limits(rate, burst, WINDOW_MS);
    for (int i = 0; i < FEW; i++) {
        mg_quota_set(&q[i], &limits);
        mg_quota_set_view(&q[i], delay, 1, FEW - 1);
    }
    for (int64_t now = 0; now < FEW_END_MS; now++) {
        for (demand += demand_per_ms; demand >= cost; demand -= cost) {
            uint32_t i = mg_rng_below(&r, FEW);
            bool taken = mg_quota_take(&q[i], cost, mg_rng_unit(&r), now);
            admitted[now] += taken ? cost : 0;
        }
        total += admitted[now];
        for (int i = 0; now % delay == 0 && i < FEW; i++) {
            for (int k = 0; k < FEW; k++) {
                if (k != i) {
                    mg_quota_add_remote(
                        &q[k], (double)(q[i].used_total - reported[i]), now);
                    mg_quota_add_remote_refused(
                        &q[k], (double)(q[i].refused_total - refused[i]), now);
                }
            }
            reported[i] = q[i].used_total;
            refused[i] = q[i].refused_total;
        }
    }
    int64_t window = WINDOW_MS - q[0].slice_ms;
    double excess = demand_per_ms * (double)delay + FEW * cost;
    double limit = rate * WINDOW_MS / 1000 + burst + excess;
    double sum = 0;
    for (int64_t now = 0; now < FEW_END_MS; now++) {
        sum += admitted[now] - (now >= window ? admitted[now - window] : 0);
        if (sum > limit) {
            return "admitted more than the quota and the demand during a "
                   "report interval";
        }
    }
    double wanted = demand_per_ms * FEW_END_MS;
    double entitled = rate * FEW_END_MS / 1000;
    entitled = wanted < entitled ? wanted : entitled;
    return total < 0.9 * entitled - FEW * cost
               ? "admitted far less than the quota"
               : NULL;
}

/* Twenty entries that report every 0.6 s, with a demand of two to six times
   the quota: they admit at most 110 % of it in any window, and at least 80 %.
 */
static const char *
twenty_history(uint64_t seed)
{
    mg_rng r;
    memset(&sim, 0, sizeof(sim));
    mg_rng_init(&r, seed);
    sim.entries = 20;
    sim.rate = 50000 + mg_rng_below(&r, 200000);
    sim.burst = sim.rate;
    sim.cost = 1000 + mg_rng_below(&r, 2000);
    sim.interval_ms = 600;
    sim.hears = always_hears;
    sim.demand = two_to_six_times;
    sim.factor = 2 + 4 * mg_rng_unit(&r);
    sim_run(seed);
    double limit = sim.rate * RULE_WINDOW_MS / 1000 + sim.burst;
    if (most_in_a_window() > limit * 1.1 + sim.entries * sim.cost) {
        return "admitted more than 110 % of the quota";
    }
    double entitled = sim.rate * (END_MS - RULE_WINDOW_MS) / 1000;
    return admitted_between(RULE_WINDOW_MS, END_MS) < 0.8 * entitled
               ? "admitted far less than the quota"
               : NULL;
}

static void
test_few(void)
{
    run_histories(few_history, 300);
}

static void
test_twenty(void)
{
    run_histories(twenty_history, 100);
}

static void
test_pressed(void)
{
    run_histories(pressed_history, 30);
    printf("\n  84 entries, ten times the quota: %.0f requests of %.0f in a "
           "window\n",
           most_in_a_window() / sim.cost, rule_limit() / sim.cost);
}

static void
test_hot(void)
{
    run_histories(hot_history, 30);
}

static void
test_calm(void)
{
    run_histories(calm_history, 60);
}

static void
test_herd(void)
{
    run_histories(herd_history, 100);
}

static void
test_cut_off(void)
{
    run_histories(cut_off_history, 60);
}

static void
test_mixed(void)
{
    run_histories(mixed_history, 300);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"the burst, then the rate", test_burst_then_rate},
        {"the ceiling of a window", test_ceiling},
        {"lower limits apply at once", test_lower_limits_apply_at_once},
        {"use at other entries counts", test_remote_use_counts},
        {"a long pause empties the window",
         test_a_long_pause_empties_the_window},
        {"a refund after a wait", test_refund_after_a_wait},
        {"a second use of a request", test_charge},
        {"an entry that starts", test_start},
        {"histories against a token bucket", test_bucket},
        {"histories of entries with delayed reports", test_few},
        {"many entries that report rarely", test_twenty},
        {"84 entries, ten times the quota", test_pressed},
        {"84 entries, a hot workspace", test_hot},
        {"a calm workspace", test_calm},
        {"clients that come at the same moment", test_herd},
        {"an entry that is cut off", test_cut_off},
        {"a few entries, any demand", test_mixed},
        CU_TEST_INFO_NULL,
    };
    return run_suite("quota", tests);
}
