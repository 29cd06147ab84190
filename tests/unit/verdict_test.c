/*
 * Entries, targets and requests over random histories, in which a part of
 * prompts crashes each target that runs it, or targets crash with another
 * cause, from thin to dense demand. What is refused then is held against what
 * users ask: few crashing requests reach targets after the fifth crash, and
 * sound ones that share the other parts go on.
 */
#include "suite.h"

#include "base/bytes.h"
#include "gateway/strikes.h"

#define ENTRIES_MAX 9
#define TARGETS 8
#define DOCUMENTS_MAX 4
#define RUNNING_MAX 256
#define PACKETS_MAX 4096
#define STEP_MS 10
#define REPORT_MS 100
/* delay of a report, ms */
#define DELAY_MIN_MS 20
#define DELAY_MAX_MS 100
#define WARM_UP_MS 8000
#define END_MS 90000
/* when a target writes, ms after it got a request, and when it ends */
#define FIRST_MS 60
#define SERVED_MS 160
#define BACK_MS 3000
/* bounds that users state */
#define CONTACT_MS 3000
#define CRASHES_MAX 5
#define LATE_MAX 3
#define SOUND_MIN 20

/* parts: one that all prompts have, the crashing one, documents */
enum { SYSTEM = 1, DEADLY, DOCUMENT };

struct run {
    int64_t started_ms;
    int entry;
    int target; /* -1: not running */
    bool deadly;
    size_t key_count;
    uint64_t keys[4];
};

struct packet {
    int64_t at_ms;
    int to;
    mg_buf bytes;
};

static struct {
    mg_manual_clock clk;
    mg_rng rng;
    int entries;
    mg_strikes *strikes[ENTRIES_MAX];
    int64_t up_from_ms[TARGETS];
    struct run runs[RUNNING_MAX];
    struct packet packets[PACKETS_MAX];
    size_t packet_count;
    uint64_t next;
    unsigned documents;
    bool warm; /* sound requests come from the start on */
    unsigned crashes;
    int64_t counted_ms; /* of the fifth crash, or the last one */
    unsigned late;      /* crashing requests that reached targets too late */
    unsigned sound;     /* requests that count */
    unsigned refused;   /* of these */
    unsigned reports;
} w;

static int64_t
now(void)
{
    return w.clk.mono;
}

static uint64_t
part_key(unsigned part)
{
    return mg_hash_pair(mg_str_of("part"),
                        (mg_str){(const char *)&part, sizeof(part)}) |
           MG_STRIKES_PART;
}

static void
crash_target(int target)
{
    uint64_t crash = ++w.next;
    w.up_from_ms[target] = now() + BACK_MS;
    if (++w.crashes <= CRASHES_MAX) {
        w.counted_ms = now();
    }
    for (size_t i = 0; i < RUNNING_MAX; i++) {
        struct run *r = &w.runs[i];
        if (r->target != target) {
            continue;
        }
        r->target = -1;
        bool wrote = now() - r->started_ms > FIRST_MS;
        for (size_t k = 0; k < (wrote ? 1 : r->key_count); k++) {
            mg_strikes_add(w.strikes[r->entry], r->keys[k],
                           k > 0 ? (unsigned)k - 1 : 0, crash, r->keys[0]);
        }
    }
}

static int
choose_target(void)
{
    for (int tries = 0; tries < 4 * TARGETS; tries++) {
        int t = (int)mg_rng_below(&w.rng, TARGETS);
        if (w.up_from_ms[t] <= now()) {
            return t;
        }
    }
    return -1;
}

static struct run *
free_run(void)
{
    for (size_t i = 0; i < RUNNING_MAX; i++) {
        if (w.runs[i].target < 0) {
            return &w.runs[i];
        }
    }
    return NULL;
}

static void
count_request(bool deadly, bool sent)
{
    bool after = w.crashes > 0 && now() > w.counted_ms + 2 * CONTACT_MS;
    if (deadly && sent && w.crashes >= CRASHES_MAX &&
        now() > w.counted_ms + CONTACT_MS) {
        w.late++;
    }
    if (!deadly && after) {
        w.sound++;
        w.refused += !sent;
    }
}

static void
arrive(bool deadly)
{
    struct run *r = free_run();
    int target = choose_target();
    if (r == NULL || target < 0) {
        return;
    }
    unsigned document = DOCUMENT + mg_rng_below(&w.rng, w.documents);
    r->entry = (int)mg_rng_below(&w.rng, (uint32_t)w.entries);
    r->deadly = deadly;
    r->started_ms = now();
    r->key_count = 0;
    r->keys[r->key_count++] = 2 * (1000000 + ++w.next);
    r->keys[r->key_count++] = part_key(SYSTEM);
    if (deadly) {
        r->keys[r->key_count++] = part_key(DEADLY);
    }
    r->keys[r->key_count++] = part_key(document);
    mg_strikes *s = w.strikes[r->entry];
    size_t cause[4];
    bool refused = mg_strikes_find_cause(s, r->keys, r->key_count, cause) > 0;
    if (refused && mg_strikes_may_try(s, r->keys, r->key_count)) {
        mg_strikes_tried(s, r->keys, r->key_count);
        refused = false;
    }
    count_request(deadly, !refused);
    r->target = refused ? -1 : target;
}

static void
run_targets(void)
{
    for (size_t i = 0; i < RUNNING_MAX; i++) {
        struct run *r = &w.runs[i];
        if (r->target < 0) {
            continue;
        }
        if (r->deadly && now() - r->started_ms >= FIRST_MS) {
            crash_target(r->target);
        }
        else if (now() - r->started_ms >= SERVED_MS) {
            r->target = -1;
            for (size_t k = 0; k < r->key_count; k++) {
                mg_strikes_served(w.strikes[r->entry], r->keys[k]);
            }
        }
    }
}

static void
receive(const struct packet *p)
{
    mg_msg m;
    mg_str rest = mg_str_buf(&p->bytes);
    while (mg_msg_next(&rest, &m) == MG_OK) {
        if (m.type == MG_MSG_LOAD_STRIKE) {
            mg_strikes_receive(w.strikes[p->to], &m.u.load_strike);
        }
        else if (m.type == MG_MSG_LOAD_SUSPECT) {
            mg_strikes_receive_details(w.strikes[p->to], &m.u.load_suspect);
        }
        else {
            mg_strikes_receive_served(w.strikes[p->to], &m.u.load_served);
        }
    }
}

static void
exchange_reports(void)
{
    size_t kept = 0;
    for (size_t i = 0; i < w.packet_count; i++) {
        if (w.packets[i].at_ms > now()) {
            w.packets[kept++] = w.packets[i];
            continue;
        }
        receive(&w.packets[i]);
        mg_buf_free(&w.packets[i].bytes);
    }
    w.packet_count = kept;
    for (int i = 0; now() % REPORT_MS == 0 && i < w.entries; i++) {
        mg_buf loads = {0};
        mg_strikes_report(w.strikes[i], &loads);
        for (int to = 0; loads.n > 0 && to < w.entries; to++) {
            if (to != i) {
                struct packet *p = &w.packets[w.packet_count++];
                *p = (struct packet){.to = to};
                p->at_ms = now() + DELAY_MIN_MS +
                           mg_rng_below(&w.rng, DELAY_MAX_MS - DELAY_MIN_MS);
                mg_buf_put(&p->bytes, loads.p, loads.n);
            }
        }
        mg_buf_free(&loads);
    }
}

/* whether something that comes so often does now */
static bool
comes(double per_s)
{
    return mg_rng_unit(&w.rng) < per_s * STEP_MS / 1000;
}

static void
open_world(uint64_t seed)
{
    memset(&w, 0, sizeof(w));
    mg_manual_clock_init(&w.clk);
    mg_rng_init(&w.rng, seed);
    w.documents = 1 + mg_rng_below(&w.rng, DOCUMENTS_MAX);
    w.entries = 3 + (int)mg_rng_below(&w.rng, ENTRIES_MAX - 2);
    for (int i = 0; i < w.entries; i++) {
        w.strikes[i] = mg_strikes_new(&w.clk.clock);
        mg_strikes_set_entries(w.strikes[i], (size_t)i, (size_t)w.entries);
    }
    for (size_t i = 0; i < RUNNING_MAX; i++) {
        w.runs[i].target = -1;
    }
}

static void
close_world(void)
{
    for (int i = 0; i < w.entries; i++) {
        mg_strikes_free(w.strikes[i]);
    }
    for (size_t i = 0; i < w.packet_count; i++) {
        mg_buf_free(&w.packets[i].bytes);
    }
}

/* kills: crashes with another cause in the 3 s after the warm-up */
static const char *
run_day(double sound_per_s, double deadly_per_s, unsigned kills)
{
    while (now() < END_MS) {
        w.clk.mono += STEP_MS;
        exchange_reports();
        run_targets();
        if (comes(sound_per_s) && (w.warm || now() > WARM_UP_MS)) {
            arrive(false);
        }
        if (now() > WARM_UP_MS && comes(deadly_per_s)) {
            arrive(true);
        }
        if (kills > 0 && now() > WARM_UP_MS && comes(2)) {
            kills--;
            /* the one that has run a request for the shortest time */
            int64_t newest = INT64_MIN;
            int target = choose_target();
            for (size_t i = 0; i < RUNNING_MAX; i++) {
                if (w.runs[i].target >= 0 && w.runs[i].started_ms > newest) {
                    newest = w.runs[i].started_ms;
                    target = w.runs[i].target;
                }
            }
            if (target >= 0) {
                crash_target(target);
            }
        }
    }
    if (w.late > LATE_MAX) {
        return "crashing requests reach targets after the fifth crash";
    }
    if (w.sound >= SOUND_MIN && 2 * w.refused > w.sound) {
        return "most sound requests are refused";
    }
    return NULL;
}

/* The demand for sound requests is from one in 5 s to 20 a second, that for
   crashing ones likewise. */
static const char *
deadly_part(uint64_t seed)
{
    open_world(seed);
    w.warm = mg_rng_below(&w.rng, 4) != 0;
    double sound = 0.2 * (1 + mg_rng_below(&w.rng, seed % 2 ? 5 : 100));
    double deadly = 0.2 * (1 + mg_rng_below(&w.rng, 20));
    const char *violation = run_day(sound, deadly, 0);
    if (getenv("SEED") != NULL) {
        printf("%d entries, sound %.1f/s warm %d, deadly %.1f/s: %u crashes, "
               "%u late, %u of %u refused\n",
               w.entries, sound, w.warm, deadly, w.crashes, w.late, w.refused,
               w.sound);
    }
    close_world();
    return violation;
}

static void
test_deadly_part(void)
{
    run_histories(deadly_part, HISTORIES / 10);
}

/* Seeds that failed once: sound requests ran beside the crashing one on a
   target (1765), or two crashing ones did (2409); then nothing told the parts
   apart, a sound one was blamed, and a crashing request used up the trial. */
static void
test_kept_seeds(void)
{
    static const uint64_t seeds[] = {1765, 2409};
    for (size_t i = 0; i < sizeof(seeds) / sizeof(seeds[0]); i++) {
        CU_ASSERT_PTR_NULL(deadly_part(seeds[i]));
    }
}

static const char *
other_cause(uint64_t seed)
{
    open_world(seed);
    w.warm = mg_rng_below(&w.rng, 4) != 0;
    double sound = 0.2 * (1 + mg_rng_below(&w.rng, seed % 2 ? 5 : 100));
    const char *violation = run_day(sound, 0, 3 + mg_rng_below(&w.rng, 6));
    if (getenv("SEED") != NULL) {
        printf("%d entries, sound %.1f/s warm %d: %u crashes, "
               "%u of %u refused\n",
               w.entries, sound, w.warm, w.crashes, w.refused, w.sound);
    }
    close_world();
    return violation;
}

static void
test_other_cause(void)
{
    run_histories(other_cause, HISTORIES / 10);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a part that crashes targets", test_deadly_part},
        {"seeds that failed once", test_kept_seeds},
        {"crashes with another cause", test_other_cause},
        CU_TEST_INFO_NULL,
    };
    return run_suite("verdict", tests);
}
