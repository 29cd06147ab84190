/*
 * Packed texts: round trips, and input that is damaged, cut short or too
 * large.
 */
#include "suite.h"

#include "base/pack.h"

#define TEXT_MAX 200000

/* half of the texts repeat a few words, the others are random bytes */
static void
random_text(mg_rng *rng, mg_buf *out)
{
    bool repeats = mg_rng_below(rng, 2) == 0;
    size_t size = mg_rng_below(rng, TEXT_MAX);
    while (out->n < size) {
        char byte = (char)mg_rng_below(rng, 256);
        if (repeats) {
            mg_buf_printf(out, "\"route-%u\":{},", mg_rng_below(rng, 50));
        }
        else {
            mg_buf_put(out, &byte, 1);
        }
    }
}

static const char *
round_trip(uint64_t seed)
{
    mg_rng rng;
    mg_buf text = {0};
    mg_buf packed = {0};
    mg_buf out = {0};
    const char *violation = NULL;
    mg_rng_init(&rng, seed);
    random_text(&rng, &text);
    mg_pack(mg_str_buf(&text), &packed);
    mg_buf_put(&out, "before", 6);
    if (mg_unpack(mg_str_buf(&packed), text.n, &out) != MG_OK ||
        !mg_str_eq((mg_str){out.p + 6, out.n - 6}, mg_str_buf(&text))) {
        violation = "another text came back";
    }
    out.n = 0;
    if (text.n > 0 &&
        mg_unpack(mg_str_buf(&packed), text.n - 1, &out) != MG_E_TOO_LARGE) {
        violation = "a text above the limit was accepted";
    }
    mg_str cut = {packed.p, 1 + mg_rng_below(&rng, (uint32_t)packed.n - 1)};
    out.n = 0;
    if (mg_unpack(cut, TEXT_MAX * 2, &out) != MG_E_CORRUPT) {
        violation = "a packed text that was cut short was accepted";
    }
    packed.p[1 + mg_rng_below(&rng, (uint32_t)packed.n - 1)] ^= 0x55;
    out.n = 0;
    if (mg_unpack(mg_str_buf(&packed), TEXT_MAX * 2, &out) == MG_OK) {
        violation = "a damaged text was accepted";
    }
    mg_buf_free(&text);
    mg_buf_free(&packed);
    mg_buf_free(&out);
    return violation;
}

static void
test_round_trips(void)
{
    run_histories(round_trip, 2000);
}

static void
test_not_packed(void)
{
    mg_buf out = {0};
    CU_ASSERT_EQUAL(mg_unpack(mg_str_of("{}"), 2, &out), MG_OK);
    CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&out), "{}"));
    CU_ASSERT_EQUAL(mg_unpack(mg_str_of("{}"), 1, &out), MG_E_TOO_LARGE);
    CU_ASSERT_EQUAL(mg_unpack(mg_str_of(""), 0, &out), MG_OK);
    mg_buf_free(&out);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"round trips, damage, limits", test_round_trips},
        {"texts that are not packed", test_not_packed},
        CU_TEST_INFO_NULL,
    };
    return run_suite("pack", tests);
}
