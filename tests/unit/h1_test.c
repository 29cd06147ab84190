/* heads that could end in two places, and bodies in pieces */
#include "suite.h"

#include "wire/h1.h"

static mg_rc
request(const char *text, mg_h1_headers *h)
{
    return mg_h1_parse_request(mg_str_of(text), 0, h);
}

static void
test_plain_heads(void)
{
    mg_h1_headers h;
    CU_ASSERT_EQUAL(request("GET /a/b?c=1 HTTP/1.1\r\nHost: x\r\n\r\n", &h),
                    MG_OK);
    CU_ASSERT_TRUE(mg_str_is(h.target, "/a/b?c=1"));
    CU_ASSERT_TRUE(mg_str_is(mg_h1_get(&h, "host"), "x"));
    CU_ASSERT_FALSE(h.close);
    CU_ASSERT_EQUAL(request("GET / HTTP/1.1\r\nHost: x\r\n", &h),
                    MG_E_IN_PROGRESS);
    CU_ASSERT_EQUAL(request("POST / HTTP/1.1\r\nContent-Length: 12\r\n"
                            "Connection: foo, Close\r\n\r\n",
                            &h),
                    MG_OK);
    CU_ASSERT_TRUE(h.has_content_length && h.content_length == 12 && h.close);
}

static void
test_ambiguous_heads(void)
{
    static const char *const heads[] = {
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: 2\r\nContent-Length: 2",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Content-Length: +1",
        "Content-Length: 1 2",
        "Content-Length: ",
        "Content-Length : 1",
        "A: b\r\n c",
        "no header at all",
    };
    mg_h1_headers old;
    CU_ASSERT_EQUAL(
        request("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", &old),
        MG_E_INPUT);
    for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
        mg_h1_headers h;
        char text[256];
        snprintf(text, sizeof(text), "POST / HTTP/1.1\r\n%s\r\n\r\n",
                 heads[i]);
        mg_rc rc = request(text, &h);
        if (rc != MG_E_INPUT) {
            printf("\n  taken: %s", heads[i]);
        }
        CU_ASSERT_EQUAL(rc, MG_E_INPUT);
    }
}

static void
test_answers(void)
{
    mg_h1_headers h;
    mg_h1_body b;
    CU_ASSERT_EQUAL(
        mg_h1_parse_response(mg_str_of("HTTP/1.1 200 OK\r\n"
                                       "Keep-Alive: timeout=7, max=3\r\n\r\n"),
                             0, &h),
        MG_OK);
    CU_ASSERT_EQUAL(mg_h1_keep_alive_s(&h), 7);
    mg_h1_body_init_response(&b, &h, false);
    CU_ASSERT_EQUAL(b.framing, MG_H1_CLOSE_DELIMITED);
    mg_h1_body_init_response(&b, &h, true);
    CU_ASSERT_EQUAL(b.framing, MG_H1_NO_BODY);
    h.status = 204;
    mg_h1_body_init_response(&b, &h, false);
    CU_ASSERT_EQUAL(b.framing, MG_H1_NO_BODY);
}

/* a body in pieces of random size comes out as it was put in */
static const char *
history(uint64_t seed)
{
    mg_rng r;
    mg_buf body = {0};
    mg_buf wire = {0};
    mg_buf out = {0};
    const char *broken = NULL;
    mg_rng_init(&r, seed);
    bool chunked = mg_rng_below(&r, 2);
    size_t n = mg_rng_below(&r, 3000);
    for (size_t i = 0; i < n; i++) {
        char c = (char)mg_rng_below(&r, 256);
        mg_buf_put(&body, &c, 1);
    }
    for (size_t at = 0; chunked && at < n;) {
        size_t k = 1 + mg_rng_below(&r, 500);
        k = k < n - at ? k : n - at;
        mg_buf_printf(&wire, "%zx\r\n", k);
        mg_buf_put(&wire, body.p + at, k);
        mg_buf_put(&wire, "\r\n", 2);
        at += k;
    }
    if (chunked) {
        mg_buf_printf(&wire, "0\r\n\r\n");
    }
    else {
        mg_buf_put(&wire, body.p, n);
    }
    mg_buf_printf(&wire, "next");
    mg_h1_headers head = {.chunked = chunked,
                          .has_content_length = !chunked,
                          .content_length = n};
    mg_h1_body b;
    mg_h1_body_init_request(&b, &head);
    size_t at = 0;
    mg_rc rc = MG_E_IN_PROGRESS;
    mg_str rest = {"", 0};
    while (rc == MG_E_IN_PROGRESS && at < wire.n) {
        size_t k = 1 + mg_rng_below(&r, 700);
        mg_str data;
        k = k < wire.n - at ? k : wire.n - at;
        rc = mg_h1_body_decode(&b, wire.p + at, k, &data, &rest);
        mg_buf_put(&out, data.p, data.n);
        at += k;
    }
    if (rc != MG_OK || !mg_str_eq(mg_str_buf(&out), mg_str_buf(&body))) {
        broken = "the body came out otherwise";
    }
    else if (rest.n + (wire.n - at) != 4) {
        broken = "what follows the body was taken or lost";
    }
    mg_buf_free(&body);
    mg_buf_free(&wire);
    mg_buf_free(&out);
    return broken;
}

static void
test_bodies(void)
{
    run_histories(history, HISTORIES);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"plain heads", test_plain_heads},
        {"ambiguous heads are refused", test_ambiguous_heads},
        {"framing of answers", test_answers},
        {"bodies in pieces", test_bodies},
        CU_TEST_INFO_NULL,
    };
    return run_suite("h1", tests);
}
