/*
 * Random histories of a response: connections that are aborted, time out or
 * close at any byte deliver it in pieces of any size. Guards against sending
 * a client a truncated response as complete, or bytes twice or not at all.
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

/* delivers text from the offset to a random point; true if it is the end */
static bool
deliver(mg_response_reader *r, const mg_buf *text)
{
    size_t at = (size_t)r->received;
    size_t to = at + mg_rng_below(&rng, (uint32_t)(text->n - at) + 1);
    if (mg_rng_below(&rng, 4) == 0) {
        to = text->n;
    }
    while (at < to) {
        size_t n = 1 + mg_rng_below(&rng, 30);
        n = n < to - at ? n : to - at;
        mg_response_reader_data(r, (mg_str){text->p + at, n}, true);
        at += n;
    }
    return at == text->n;
}

static const char *
check_end(mg_response_reader *r, const mg_buf *text, bool at_end,
          bool *complete)
{
    static const mg_http_result early[] = {MG_HTTP_TRUNCATED,
                                           MG_HTTP_READ_TIMEOUT};
    mg_http_result end = early[mg_rng_below(&rng, 2)];
    if (at_end && mg_rng_below(&rng, 2)) {
        end = MG_HTTP_COMPLETE;
    }
    mg_response_result got = mg_response_reader_classify(r, end);
    *complete = got == MG_RESPONSE_COMPLETE;
    if (*complete && !at_end) {
        return "a truncated response was reported as complete";
    }
    if (*complete && end != MG_HTTP_COMPLETE) {
        return "a response without its end was reported as complete";
    }
    if (at_end && end == MG_HTTP_COMPLETE && !*complete) {
        return "a complete response was not reported as complete";
    }
    if (r->body.n != r->received || r->received > text->n ||
        memcmp(r->body.p ? r->body.p : "", text->p, r->body.n) != 0) {
        return "the received bytes are not a prefix of the text";
    }
    return !*complete && got != MG_RESPONSE_RESUMABLE
               ? "an aborted response was neither complete nor resumable"
               : NULL;
}

static const char *
history(uint64_t seed)
{
    mg_rng_init(&rng, seed);
    mg_buf text = {0};
    mg_response_reader r = {0};
    bool stream = mg_rng_below(&rng, 2);
    const char *type = stream ? "text/event-stream" : "application/json";
    const char *failure = NULL;
    bool complete = false;
    if (stream) {
        make_stream(&text);
    }
    else {
        make_json(&text);
    }
    int connections = 1 + (int)mg_rng_below(&rng, CONNECTIONS);
    for (int i = 0; i < connections && failure == NULL && !complete; i++) {
        mg_response_reader_connect(&r, i > 0);
        if (mg_rng_below(&rng, 10) != 0) {
            mg_response_reader_header(&r, 200, mg_str_of(type), false);
            bool at_end = deliver(&r, &text);
            failure = check_end(&r, &text, at_end, &complete);
        }
    }
    if (failure == NULL && !complete) {
        /* the target lost the stream: its error is not part of the response */
        uint64_t received = r.received;
        mg_response_reader_connect(&r, true);
        mg_response_reader_header(&r, 404, mg_str_of(type), false);
        mg_response_reader_data(&r, mg_str_of("{\"error\":\"gone\"}"), true);
        if (r.received != received ||
            mg_response_reader_classify(&r, MG_HTTP_COMPLETE) !=
                MG_RESPONSE_TRUNCATED) {
            failure = "a refused resume was added to the response";
        }
    }
    mg_response_reader_free(&r);
    mg_buf_free(&text);
    return failure;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

static void
test_not_run(void)
{
    mg_response_reader r = {0};
    mg_response_reader_connect(&r, false);
    mg_response_reader_header(&r, 409, mg_str_of("application/json"), true);
    mg_response_reader_data(&r, mg_str_of("{}"), true);
    CU_ASSERT_EQUAL(mg_response_reader_classify(&r, MG_HTTP_COMPLETE),
                    MG_RESPONSE_NOT_RUN);
    mg_response_reader_reset(&r);
    CU_ASSERT_EQUAL(r.received, 0);
    CU_ASSERT_EQUAL(r.status, 0);
    /* a response aborted after the header section: the request may have run */
    mg_response_reader_connect(&r, false);
    mg_response_reader_header(&r, 409, mg_str_of("application/json"), true);
    CU_ASSERT_EQUAL(mg_response_reader_classify(&r, MG_HTTP_TRUNCATED),
                    MG_RESPONSE_RESUMABLE);
    mg_response_reader_free(&r);
}

/* Guards against a body that breaks off between two chunks and is taken as
   whole since its first part happens to parse. */
static void
test_broken_off_where_it_parses(void)
{
    static const char *const parts[] = {"12", "{\"line\":1}\n"};
    static const char *const types[] = {"application/json",
                                        "application/x-ndjson"};
    for (size_t i = 0; i < 2; i++) {
        mg_response_reader r = {0};
        mg_response_reader_connect(&r, false);
        mg_response_reader_header(&r, 200, mg_str_of(types[i]), false);
        mg_response_reader_data(&r, mg_str_of(parts[i]), true);
        CU_ASSERT_NOT_EQUAL(mg_response_reader_classify(&r, MG_HTTP_TRUNCATED),
                            MG_RESPONSE_COMPLETE);
        mg_response_reader_free(&r);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random histories", test_histories},
        {"a body that breaks off where it parses",
         test_broken_off_where_it_parses},
        {"response that reports that the request was not run", test_not_run},
        CU_TEST_INFO_NULL,
    };
    return run_suite("response_reader", tests);
}
