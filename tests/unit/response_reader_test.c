/*
 * Reassembly over random histories: a target's text comes over connections
 * that are cut, silent or closed anywhere, in pieces of any size. What has
 * been received is always a prefix of the text; it is whole only at the end.
 */
#include "suite.h"

#include "entry/response_reader.h"

#define CONNECTIONS 8

static mg_rng rng;

static void
make_stream(mg_buf *text)
{
    int events = (int)mg_rng_below(&rng, 20);
    for (int i = 0; i < events; i++) {
        mg_buf_printf(text, "data: {\"i\":%d}\n\n", i);
    }
    mg_buf_printf(text, "data: [DONE]\n\n");
}

static void
make_json(mg_buf *text)
{
    mg_buf_printf(text, "{\"a\":[");
    int n = (int)mg_rng_below(&rng, 20);
    for (int i = 0; i < n; i++) {
        mg_buf_printf(text, "%s%d", i ? "," : "", i);
    }
    mg_buf_printf(text, "]}");
}

/* gives the bytes from the offset up to some point; true at the very end */
static bool
deliver(mg_response_head *a, const mg_buf *text)
{
    size_t at = (size_t)a->received;
    size_t to = at + mg_rng_below(&rng, (uint32_t)(text->n - at) + 1);
    if (mg_rng_below(&rng, 4) == 0) {
        to = text->n;
    }
    while (at < to) {
        size_t n = 1 + mg_rng_below(&rng, 30);
        n = n < to - at ? n : to - at;
        mg_response_reader_data(a, (mg_str){text->p + at, n}, true);
        at += n;
    }
    return at == text->n;
}

static const char *
check_end(mg_response_head *a, const mg_buf *text, bool complete, bool *whole)
{
    static const mg_http_result early[] = {
        MG_HTTP_TRUNCATED, MG_HTTP_READ_TIMEOUT, MG_HTTP_NO_LAST_CHUNK};
    mg_http_result end = early[mg_rng_below(&rng, 3)];
    if (complete && mg_rng_below(&rng, 2)) {
        end = MG_HTTP_COMPLETE;
    }
    mg_response_result got = mg_response_reader_classify(a, end);
    *whole = got == MG_RESPONSE_COMPLETE;
    if (*whole && !complete) {
        return "a part was taken for the whole";
    }
    if (complete && end == MG_HTTP_COMPLETE && !*whole) {
        return "the whole was not taken for it";
    }
    if (a->body.n != a->received || a->received > text->n ||
        memcmp(a->body.p ? a->body.p : "", text->p, a->body.n) != 0) {
        return "what was received is no prefix of the text";
    }
    return !*whole && got != MG_RESPONSE_RESUMABLE ? "it was not read on"
                                                   : NULL;
}

static const char *
history(uint64_t seed)
{
    mg_rng_init(&rng, seed);
    mg_buf text = {0};
    mg_response_head a = {0};
    bool stream = mg_rng_below(&rng, 2);
    const char *type = stream ? "text/event-stream" : "application/json";
    const char *broken = NULL;
    bool whole = false;
    if (stream) {
        make_stream(&text);
    }
    else {
        make_json(&text);
    }
    int connections = 1 + (int)mg_rng_below(&rng, CONNECTIONS);
    for (int i = 0; i < connections && broken == NULL && !whole; i++) {
        mg_response_reader_connect(&a, i > 0);
        if (mg_rng_below(&rng, 10) != 0) {
            mg_response_reader_header(&a, 200, mg_str_of(type), false);
            bool complete = deliver(&a, &text);
            broken = check_end(&a, &text, complete, &whole);
        }
    }
    if (broken == NULL && !whole) {
        /* the target has lost the stream: its refusal is no part of it */
        uint64_t received = a.received;
        mg_response_reader_connect(&a, true);
        mg_response_reader_header(&a, 404, mg_str_of(type), false);
        mg_response_reader_data(&a, mg_str_of("{\"error\":\"gone\"}"), true);
        if (a.received != received ||
            mg_response_reader_classify(&a, MG_HTTP_COMPLETE) !=
                MG_RESPONSE_TRUNCATED) {
            broken = "a refused resume was taken for the answer";
        }
    }
    mg_response_reader_free(&a);
    mg_buf_free(&text);
    return broken;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

static void
test_not_run(void)
{
    mg_response_head a = {0};
    mg_response_reader_connect(&a, false);
    mg_response_reader_header(&a, 409, mg_str_of("application/json"), true);
    mg_response_reader_data(&a, mg_str_of("{}"), true);
    CU_ASSERT_EQUAL(mg_response_reader_classify(&a, MG_HTTP_COMPLETE),
                    MG_RESPONSE_NOT_RUN);
    mg_response_reader_reset(&a);
    CU_ASSERT_EQUAL(a.received, 0);
    CU_ASSERT_EQUAL(a.status, 0);
    /* cut after the head: nobody's word */
    mg_response_reader_connect(&a, false);
    mg_response_reader_header(&a, 409, mg_str_of("application/json"), true);
    CU_ASSERT_EQUAL(mg_response_reader_classify(&a, MG_HTTP_TRUNCATED),
                    MG_RESPONSE_RESUMABLE);
    mg_response_reader_free(&a);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random histories", test_histories},
        {"the target's word that it did not run", test_not_run},
        CU_TEST_INFO_NULL,
    };
    return run_suite("answer", tests);
}
