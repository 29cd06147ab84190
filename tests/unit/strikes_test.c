/*
 * Strikes of several entries that restart and whose reports get lost, but not
 * all copies of a strike, against the crashes that have really happened.
 */
#include "suite.h"

#include "gateway/strikes.h"
#include "gateway/trial.h"

#define ENTRIES 4
/* the keys of request and part number k */
#define REQUEST(k) (2 * ((uint64_t)(k) + 1))
#define PART(k) (REQUEST(k) | MG_STRIKES_PART)
#define KEYS 5
/* requests and parts number 0 to 2 are never served, the others now and then
 */
#define CRASHING_KEYS 3
#define CRASHES_MAX 64
#define STEPS 60
#define STEP_MS 50
#define LOST_SHARE 0.3
/* time in which all copies of a report are sent: if none is lost, all entries
   then know what each one has seen */
#define KNOWN_MS (MG_STRIKE_GAP_MS << MG_STRIKE_COPIES)

static struct {
    mg_manual_clock clk;
    mg_rng rng;
    mg_strikes *entries[ENTRIES];
    /* crashes of each key that have happened */
    int64_t crashed_ms[KEYS][CRASHES_MAX];
    size_t counts[KEYS];
    uint64_t next_crash;
    bool refused[ENTRIES][CRASHING_KEYS]; /* parts, after the last step */
    size_t reports;                       /* messages that entries have sent */
    size_t details;  /* LOAD_SUSPECT messages, which are not among those */
    unsigned serves; /* calls of serve_harmless() */
    /* copies lost one after the other, from one entry to another: of a crash
       under a request, under a part, of a request served, of a part */
    unsigned lost[ENTRIES][ENTRIES][4][KEYS * CRASHES_MAX];
} world;

static void
receive(int from, int to, const mg_msg *m, bool report_lost)
{
    bool served = m->type == MG_MSG_LOAD_SERVED;
    if (m->type == MG_MSG_LOAD_SUSPECT) {
        if (!report_lost) {
            mg_strikes_receive_details(world.entries[to], &m->u.load_suspect);
        }
        return;
    }
    uint64_t id = served ? m->u.load_served.key : m->u.load_strike.crash;
    bool part = (served ? id : m->u.load_strike.key) & MG_STRIKES_PART;
    unsigned *lost = &world.lost[from][to][2 * served + part][id];
    if (report_lost && *lost < MG_STRIKE_COPIES - 1) {
        ++*lost;
        return;
    }
    *lost = 0;
    if (served) {
        mg_strikes_receive_served(world.entries[to], &m->u.load_served);
    }
    else {
        mg_strikes_receive(world.entries[to], &m->u.load_strike);
    }
}

static void
deliver(int from, mg_str loads, double lost)
{
    for (int to = 0; to < ENTRIES; to++) {
        mg_msg m;
        mg_str rest = loads;
        bool report_lost = mg_rng_unit(&world.rng) < lost;
        while (to != from && mg_msg_next(&rest, &m) == MG_OK) {
            bool details = m.type == MG_MSG_LOAD_SUSPECT;
            world.reports += !details;
            world.details += details;
            receive(from, to, &m, report_lost);
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

/* A target crashes that ran a request and a part with the same number, below
   keys; one entry or two see it. */
static void
crash(uint32_t keys)
{
    size_t key = mg_rng_below(&world.rng, keys);
    int first = (int)mg_rng_below(&world.rng, ENTRIES);
    uint64_t c = ++world.next_crash;
    if (world.counts[key] == CRASHES_MAX) {
        return;
    }
    world.crashed_ms[key][world.counts[key]++] = world.clk.mono;
    unsigned seen_by = 1 + mg_rng_below(&world.rng, 2);
    for (unsigned i = 0; i < seen_by; i++) {
        mg_strikes *s = world.entries[((unsigned)first + i) % ENTRIES];
        mg_strikes_add(s, REQUEST(key), 0, c, REQUEST(key));
        mg_strikes_add(s, PART(key), 0, c, REQUEST(key));
    }
}

/* returns the entry that restarts */
static int
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
    return i;
}

static void
serve_harmless(int entry)
{
    world.serves++;
    for (size_t k = CRASHING_KEYS; k < KEYS; k++) {
        mg_strikes_served(world.entries[entry], REQUEST(k));
        mg_strikes_served(world.entries[entry], PART(k));
    }
}

/* whether part number k should be refused: three crashes, not all of them at
   one moment */
static bool
crashed_apart(size_t k)
{
    size_t n = world.counts[k];
    return n >= MG_STRIKES_MAX &&
           world.crashed_ms[k][n - 1] - world.crashed_ms[k][0] >=
               MG_STRIKES_SPAN_MS;
}

/* whether an entry refuses a request or part that has not crashed enough
   targets for it */
static bool
refuses_harmless(void)
{
    for (int i = 0; i < ENTRIES; i++) {
        for (size_t k = 0; k < KEYS; k++) {
            if (world.counts[k] < MG_STRIKES_MAX &&
                mg_strikes_refuses(world.entries[i], REQUEST(k))) {
                return true;
            }
            if (!crashed_apart(k) &&
                mg_strikes_refuses(world.entries[i], PART(k))) {
                return true;
            }
        }
    }
    return false;
}

static const char *
check_key(size_t k, bool restarted)
{
    unsigned refusing = 0;
    unsigned parts = 0;
    for (int i = 0; i < ENTRIES; i++) {
        refusing += mg_strikes_refuses(world.entries[i], REQUEST(k));
        parts += mg_strikes_refuses(world.entries[i], PART(k));
    }
    if (k >= CRASHING_KEYS) {
        return refusing + parts > 0 ? "refused after it was served" : NULL;
    }
    if (refusing != 0 && refusing != ENTRIES) {
        return "entries differ on what is refused";
    }
    /* strikes that only an entry that restarted knew may be gone */
    if (!restarted && world.counts[k] >= MG_STRIKES_MAX &&
        refusing != ENTRIES) {
        return "three crashes, not refused by all";
    }
    if (!restarted && crashed_apart(k) && parts != ENTRIES) {
        return "three crashes under a part, not refused by all";
    }
    return NULL;
}

/*
 * Messages that a history without restarts may need at most. For a request and
 * a part each, times the copies, to each of the other entries: a message for
 * each crash from the two entries that see it; the remembered crashes from
 * each entry when it first refuses the key; and a message for each time that a
 * harmless one is served.
 */
static size_t
reports_max(void)
{
    size_t again = ENTRIES * KEYS * MG_QUARANTINE_CRASHES;
    size_t serves = (size_t)world.serves * ENTRIES * KEYS;
    return 2 * MG_STRIKE_COPIES * (ENTRIES - 1) *
           (2 * world.next_crash + again + serves);
}

static const char *
check_end(bool restarted)
{
    const char *violation = NULL;
    for (size_t k = 0; k < KEYS && violation == NULL; k++) {
        violation = check_key(k, restarted);
    }
    return violation;
}

/* Whether an entry, other than one that has just restarted, no longer refuses
   a part that it refused after the step before and that was never served. */
static bool
refuses_no_longer(int restarted)
{
    bool violated = false;
    for (int i = 0; i < ENTRIES; i++) {
        for (size_t k = 0; k < CRASHING_KEYS; k++) {
            bool now = mg_strikes_refuses(world.entries[i], PART(k));
            violated |= world.refused[i][k] && !now && i != restarted;
            world.refused[i][k] = now;
        }
    }
    return violated;
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
    /* a third of the histories have many crashes, under one key */
    bool many = seed % 3 == 0;
    uint32_t crash_below = many ? 35 : 12;
    for (int i = 0; i < STEPS && violation == NULL; i++) {
        uint32_t what = mg_rng_below(&world.rng, 40);
        int restarted_now = -1;
        if (what >= 7 && what < crash_below) {
            crash(many ? 1 : KEYS);
        }
        else if (what == 6) {
            serve_harmless((int)mg_rng_below(&world.rng, ENTRIES));
        }
        else if (what == 5 && seed % 2 == 0) {
            restarted_now = restart();
            restarted = true;
        }
        step(LOST_SHARE);
        if (refuses_harmless()) {
            violation = "refused after fewer than three crashes";
        }
        if (refuses_no_longer(restarted_now)) {
            violation = "a part that has never been served is let through";
        }
    }
    step(0);
    for (int i = 0; i < ENTRIES; i++) {
        serve_harmless(i);
    }
    for (int i = 0; i < KNOWN_MS / STEP_MS; i++) {
        step(0);
    }
    violation = violation != NULL ? violation : check_end(restarted);
    if (!restarted && world.reports > reports_max()) {
        violation = "more reports than strikes need";
    }
    if (world.details > world.reports) {
        violation = "more details than strikes";
    }
    for (int i = 0; i < ENTRIES; i++) {
        mg_strikes_free(world.entries[i]);
    }
    return violation;
}

/* ------------------------------------------- which part is the cause */

#define FRONT_PARTS 3
#define BACK_PARTS 6
#define CAUSE_CRASHES 8
#define CAUSE_MS 400

/* crashes a target that ran a prompt with the crashing part and a harmless
   prompt, of two shared parts each */
static void
crash_prompts(mg_strikes *s, const uint64_t crashing[2],
              const uint64_t harmless[2])
{
    uint64_t c = ++world.next_crash;
    for (unsigned i = 0; i < 2; i++) {
        mg_strikes_add(s, PART(crashing[i]), i, c, REQUEST(2 * c));
        mg_strikes_add(s, PART(harmless[i]), i, c, REQUEST(2 * c + 1));
    }
}

/*
 * Prompts of two shared parts, one of few fronts and one of more backs. One
 * front or back crashes its targets. It ends up refused; a part that was not
 * there at all of the crashes is not refused.
 */
static const char *
find_cause(uint64_t seed)
{
    const char *violation = NULL;
    memset(&world, 0, sizeof(world));
    mg_manual_clock_init(&world.clk);
    mg_rng_init(&world.rng, seed);
    mg_strikes *s = mg_strikes_new(&world.clk.clock);
    bool front = mg_rng_below(&world.rng, 2);
    uint64_t part = front ? mg_rng_below(&world.rng, FRONT_PARTS)
                          : FRONT_PARTS + mg_rng_below(&world.rng, BACK_PARTS);
    bool always[FRONT_PARTS + BACK_PARTS];
    memset(always, 1, sizeof(always));
    for (int i = 0; i < CAUSE_CRASHES; i++) {
        uint64_t crashing[2] = {mg_rng_below(&world.rng, FRONT_PARTS),
                                FRONT_PARTS +
                                    mg_rng_below(&world.rng, BACK_PARTS)};
        uint64_t harmless[2] = {mg_rng_below(&world.rng, FRONT_PARTS),
                                FRONT_PARTS +
                                    mg_rng_below(&world.rng, BACK_PARTS)};
        crashing[front ? 0 : 1] = part;
        crash_prompts(s, crashing, harmless);
        for (uint64_t k = 0; k < FRONT_PARTS + BACK_PARTS; k++) {
            always[k] &= k == crashing[0] || k == crashing[1] ||
                         k == harmless[0] || k == harmless[1];
        }
        world.clk.mono += CAUSE_MS;
    }
    unsigned candidates = 0;
    for (uint64_t k = 0; k < FRONT_PARTS + BACK_PARTS; k++) {
        candidates += always[k];
    }
    for (uint64_t k = 0; k < FRONT_PARTS + BACK_PARTS; k++) {
        bool refused = mg_strikes_refuses(s, PART(k));
        if (refused && !always[k]) {
            violation = "a part is refused that was not always there";
        }
        if (k == part && !refused && candidates == 1) {
            violation = "the crashing part is not refused";
        }
    }
    mg_strikes_free(s);
    return violation;
}

static void
test_cause(void)
{
    run_histories(find_cause, HISTORIES);
}

static bool
refuses_prompt(mg_strikes *s, unsigned first, unsigned second)
{
    const uint64_t keys[] = {REQUEST(99), PART(first), PART(second)};
    size_t cause[3];
    return mg_strikes_find_cause(s, keys, 3, cause) > 0;
}

/* Guards against a sound part that is refused as it was always there together
   with the crashing one: either may be the cause, so requests with both are
   refused, and those with one of them show which it is. */
static void
test_parts_together(void)
{
    for (int back_is_sound = 0; back_is_sound < 2; back_is_sound++) {
        mg_manual_clock_init(&world.clk);
        mg_strikes *s = mg_strikes_new(&world.clk.clock);
        for (uint64_t c = 1; c <= MG_STRIKES_MAX; c++) {
            CU_ASSERT_FALSE(refuses_prompt(s, 0, 1));
            mg_strikes_add(s, PART(0), 0, c, REQUEST(c));
            mg_strikes_add(s, PART(1), 1, c, REQUEST(c));
            world.clk.mono += CAUSE_MS;
        }
        CU_ASSERT_TRUE(refuses_prompt(s, 0, 1));
        CU_ASSERT_FALSE(refuses_prompt(s, 0, 2));
        CU_ASSERT_FALSE(refuses_prompt(s, 2, 1));
        CU_ASSERT_FALSE(refuses_prompt(s, 1, 1)); /* the same part twice */
        CU_ASSERT_EQUAL(mg_strikes_blames(s, PART(0)), 2);
        CU_ASSERT_EQUAL(mg_strikes_blames(s, PART(1)), 2);
        if (back_is_sound) {
            mg_strikes_served(s, PART(1));
        }
        else {
            /* one more crash without the back: it was the front */
            mg_strikes_add(s, PART(0), 0, MG_STRIKES_MAX + 1, REQUEST(9));
        }
        CU_ASSERT_TRUE(mg_strikes_refuses(s, PART(0)));
        CU_ASSERT_FALSE(mg_strikes_refuses(s, PART(1)));
        mg_strikes_free(s);
    }
}

/* Guards against crashing prompts that go on as the parts of a harmless one,
   which the crashed targets ran beside them, count as part of the group. */
static void
test_parts_beside(void)
{
    mg_manual_clock_init(&world.clk);
    mg_strikes *s = mg_strikes_new(&world.clk.clock);
    for (uint64_t c = 1; c <= MG_STRIKES_MAX; c++) {
        mg_strikes_add(s, PART(0), 0, c, REQUEST(c));
        mg_strikes_add(s, PART(1), 1, c, REQUEST(c));
        mg_strikes_add(s, PART(2), 0, c, REQUEST(100 + c));
        world.clk.mono += CAUSE_MS;
    }
    CU_ASSERT_TRUE(refuses_prompt(s, 0, 1));
    CU_ASSERT_EQUAL(mg_strikes_blames(s, PART(2)), 0);
    mg_strikes_free(s);
}

/* -------------------------------------- what was served before */

/* parts of the prompts below, in this order */
#define SYSTEM 0
#define DEADLY 1
#define DOCUMENT 2

static void
open_entries(void)
{
    memset(&world, 0, sizeof(world));
    mg_manual_clock_init(&world.clk);
    mg_rng_init(&world.rng, 1);
    for (int i = 0; i < ENTRIES; i++) {
        world.entries[i] = mg_strikes_new(&world.clk.clock);
    }
}

static void
close_entries(void)
{
    for (int i = 0; i < ENTRIES; i++) {
        mg_strikes_free(world.entries[i]);
    }
}

/* A target crashes that ran one prompt with these parts, sent by an entry;
   then all entries know it. */
static void
crash_prompt(int entry, const unsigned *parts, size_t n)
{
    uint64_t c = ++world.next_crash;
    uint64_t run = REQUEST(1000 + c);
    mg_strikes_add(world.entries[entry], run, 0, c, run);
    for (size_t i = 0; i < n; i++) {
        mg_strikes_add(world.entries[entry], PART(parts[i]), (unsigned)i, c,
                       run);
    }
    for (int i = 0; i < CAUSE_MS / STEP_MS; i++) {
        step(0);
    }
}

/* the number of entries that refuse all requests with this part */
static int
refusing(unsigned part)
{
    int n = 0;
    for (int i = 0; i < ENTRIES; i++) {
        n += mg_strikes_refuses(world.entries[i], PART(part));
    }
    return n;
}

/* Guards against entries that blame other parts than the one whose requests
   ran: two of these, with common parts, were on each target that crashed. */
static void
test_runs_of_one_entry(void)
{
    static const unsigned deadly[] = {SYSTEM, DEADLY, DOCUMENT};
    open_entries();
    for (int i = 0; i < MG_STRIKES_MAX; i++) {
        mg_strikes *s = world.entries[0];
        uint64_t c = ++world.next_crash;
        for (unsigned k = 0; k < 3; k++) {
            mg_strikes_add(s, PART(deadly[k]), k, c, REQUEST(c));
        }
        mg_strikes_add(s, PART(SYSTEM), 0, c, REQUEST(100 + c));
        mg_strikes_add(s, PART(DOCUMENT), 1, c, REQUEST(100 + c));
        for (int k = 0; k < CAUSE_MS / STEP_MS; k++) {
            step(0);
        }
    }
    CU_ASSERT_EQUAL(refusing(DEADLY), ENTRIES);
    for (int i = 0; i < ENTRIES; i++) {
        CU_ASSERT_FALSE(refuses_prompt(world.entries[i], SYSTEM, DOCUMENT));
    }
    close_entries();
}

/* Guards against a sound part that is blamed for another one's crashes: only
   one entry has served the sound ones, and it sees none of the crashes. */
static void
test_served_before(void)
{
    static const unsigned deadly[] = {SYSTEM, DEADLY, DOCUMENT};
    open_entries();
    mg_strikes_served(world.entries[0], PART(SYSTEM));
    mg_strikes_served(world.entries[0], PART(DOCUMENT));
    world.clk.mono += 2000;
    for (int i = 1; i <= MG_STRIKES_SERVED_MAX; i++) {
        crash_prompt(1 + i % (ENTRIES - 1), deadly, 3);
        CU_ASSERT_EQUAL(refusing(DEADLY), i < MG_STRIKES_MAX ? 0 : ENTRIES);
        CU_ASSERT_EQUAL(refusing(SYSTEM) + refusing(DOCUMENT), 0);
    }
    close_entries();
}

/* number of entries that let a prompt through as a trial within the time from
   start_ms to end_ms after now */
static int
trying(const uint64_t *keys, size_t n, int64_t start_ms, int64_t end_ms)
{
    int64_t now = world.clk.mono;
    bool tries[ENTRIES] = {false};
    int count = 0;
    for (int64_t t = start_ms; t < end_ms; t += STEP_MS) {
        world.clk.mono = now + t;
        for (int i = 0; i < ENTRIES; i++) {
            tries[i] |= mg_strikes_may_try(world.entries[i], keys, n);
        }
    }
    world.clk.mono = now;
    for (int i = 0; i < ENTRIES; i++) {
        count += tries[i];
    }
    return count;
}

/* Guards against trials that only crash further targets: the part that is
   refused is the only one of its requests that was never served. With another
   one beside it that was not served either, all entries get a turn soon. */
static void
test_only_part(void)
{
    static const unsigned deadly[] = {SYSTEM, DEADLY, DOCUMENT};
    const uint64_t keys[] = {REQUEST(99), PART(DEADLY)};
    for (int only = 0; only < 2; only++) {
        open_entries();
        for (int i = 0; i < ENTRIES; i++) {
            mg_strikes_set_entries(world.entries[i], (size_t)i, ENTRIES);
        }
        mg_strikes_served(world.entries[0], PART(SYSTEM));
        world.clk.mono += 2000;
        for (int i = 0; i < MG_STRIKES_MAX; i++) {
            crash_prompt(i, deadly, only ? 2 : 2 + i % 2);
        }
        CU_ASSERT_EQUAL(refusing(DEADLY), ENTRIES);
        CU_ASSERT_EQUAL(trying(keys, 2, 0, 20000), only ? 0 : ENTRIES);
        CU_ASSERT_EQUAL(trying(keys, 2, MG_TRIAL_ONLY_AFTER_MS,
                               MG_TRIAL_ONLY_AFTER_MS + 20000),
                        ENTRIES);
        close_entries();
    }
}

/* Guards against parts that are refused after three crashes with another
   cause, though they were served before; five are too many. */
static void
test_crashes_without_cause(void)
{
    static const unsigned sound[] = {SYSTEM, DOCUMENT};
    open_entries();
    mg_strikes_served(world.entries[0], PART(SYSTEM));
    mg_strikes_served(world.entries[0], PART(DOCUMENT));
    world.clk.mono += 2000;
    for (int i = 1; i < MG_STRIKES_SERVED_MAX; i++) {
        crash_prompt(i % ENTRIES, sound, 2);
        for (int k = 0; k < ENTRIES; k++) {
            CU_ASSERT_FALSE(
                refuses_prompt(world.entries[k], SYSTEM, DOCUMENT));
        }
    }
    crash_prompt(0, sound, 2);
    for (int i = 0; i < ENTRIES; i++) {
        CU_ASSERT_TRUE(refuses_prompt(world.entries[i], SYSTEM, DOCUMENT));
        CU_ASSERT_FALSE(refuses_prompt(world.entries[i], SYSTEM, DEADLY));
    }
    close_entries();
}

/* Guards against a popular request that is refused since targets crashed at
   one moment while they ran it; one that was never served may be the cause. */
static void
test_popular_request(void)
{
    for (int served = 0; served < 2; served++) {
        open_entries();
        mg_strikes *s = world.entries[0];
        if (served) {
            mg_strikes_served(s, REQUEST(0));
        }
        for (uint64_t c = 1; c <= MG_STRIKES_SERVED_MAX; c++) {
            world.clk.mono++;
            mg_strikes_add(s, REQUEST(0), 0, c, REQUEST(0));
            CU_ASSERT_EQUAL(mg_strikes_refuses(s, REQUEST(0)),
                            !served && c >= MG_STRIKES_MAX);
        }
        world.clk.mono += MG_STRIKES_SPAN_MS;
        mg_strikes_add(s, REQUEST(0), 0, MG_STRIKES_SERVED_MAX + 1,
                       REQUEST(0));
        CU_ASSERT_TRUE(mg_strikes_refuses(s, REQUEST(0)));
        close_entries();
    }
}

/* Guards against strikes for a crash before a key was served, which are
   reported only afterwards. */
static void
test_served_meanwhile(void)
{
    open_entries();
    mg_strikes *s = world.entries[0];
    world.clk.mono = 10000;
    mg_strikes_served(s, REQUEST(0));
    for (uint64_t c = 1; c <= MG_STRIKES_SERVED_MAX; c++) {
        mg_strikes_receive(s, &(mg_load_strike_msg){.key = REQUEST(0),
                                                    .crash = c,
                                                    .age_ms = 1000 * c});
    }
    CU_ASSERT_FALSE(mg_strikes_refuses(s, REQUEST(0)));
    world.clk.mono++;
    CU_ASSERT_EQUAL(
        mg_strikes_receive(
            s, &(mg_load_strike_msg){.key = REQUEST(0), .crash = 9}),
        1);
    close_entries();
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
        {"the part that is the cause", test_cause},
        {"two parts that are always there together", test_parts_together},
        {"parts of a request beside the crashing one", test_parts_beside},
        {"requests of one entry on a target", test_runs_of_one_entry},
        {"parts that were served before the crashes", test_served_before},
        {"the only part that was never served", test_only_part},
        {"crashes without a crashing part", test_crashes_without_cause},
        {"a popular request, and crashes at one moment", test_popular_request},
        {"a crash that is reported late", test_served_meanwhile},
        CU_TEST_INFO_NULL,
    };
    return run_suite("strikes", tests);
}
