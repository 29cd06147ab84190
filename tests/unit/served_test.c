/* the table of keys that were served, against a plain list of all of them */
#include "suite.h"

#include "gateway/served.h"

#define KEYS 6000
#define NOTES 400
/* keys that share a set, and others */
#define CROWD 12

static int64_t served_ms[KEYS];

static size_t
set_of(uint32_t k)
{
    return k < CROWD ? 7 : k % MG_SERVED_SETS;
}

static uint64_t
key_of(uint32_t k)
{
    uint64_t hash = k < CROWD ? set_of(k) + (uint64_t)k * MG_SERVED_SETS
                              : k + (uint64_t)CROWD * MG_SERVED_SETS;
    return 2 * hash;
}

/* number of other keys of the same set that were served at the same time or
   later */
static int
served_since(uint32_t k)
{
    int n = 0;
    for (uint32_t o = 0; o < KEYS; o++) {
        n += o != k && set_of(o) == set_of(k) && served_ms[o] != INT64_MIN &&
             served_ms[o] >= served_ms[k];
    }
    return n;
}

/* A key that was noted is known, with its last time, unless MG_SERVED_WAYS
   keys of its set were served since; nothing else is known. */
static const char *
history(uint64_t seed)
{
    const char *violation = NULL;
    mg_rng r;
    mg_rng_init(&r, seed);
    mg_served *s = mg_served_new();
    for (int k = 0; k < KEYS; k++) {
        served_ms[k] = INT64_MIN;
    }
    for (int i = 0; i < NOTES; i++) {
        uint32_t k = mg_rng_below(&r, mg_rng_below(&r, 2) ? CROWD : KEYS);
        int64_t at = 1000 + i - (int64_t)mg_rng_below(&r, 30);
        mg_served_note(s, key_of(k), at);
        served_ms[k] = at > served_ms[k] ? at : served_ms[k];
    }
    for (uint32_t k = 0; k < KEYS && violation == NULL; k++) {
        int64_t at = mg_served_at(s, key_of(k));
        if (at != INT64_MIN && at != served_ms[k]) {
            violation = "a wrong time";
        }
        if (at == INT64_MIN && served_ms[k] != INT64_MIN &&
            served_since(k) < MG_SERVED_WAYS) {
            violation = "a key was forgotten too early";
        }
    }
    mg_served_free(s);
    return violation;
}

static void
test_histories(void)
{
    run_histories(history, 2000);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"keys that were served", test_histories},
        CU_TEST_INFO_NULL,
    };
    return run_suite("served", tests);
}
