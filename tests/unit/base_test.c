/*
 * Messages, frames, the document's checks, histograms, HTTP ends.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <unistd.h>

#include "base/check.h"
#include "base/counter.h"
#include "topology/config.h"
#include "wire/http.h"
#include "wire/msg.h"

/* any bytes are refused or decoded, and what is decoded encodes alike */
static const char *
garbage_history(uint64_t seed)
{
    mg_rng rng;
    mg_rng_init(&rng, seed);
    mg_buf b = {0};
    mg_msg m = {.type = MG_MSG_TICKET};
    memset(&m.u, 0, sizeof(m.u));
    m.u.ticket.id = seed;
    m.u.ticket.pool = mg_str_of("pool");
    m.u.ticket.workspace = mg_str_of("workspace");
    m.u.ticket.route = mg_str_of("/v1");
    mg_frame_encode(&m, &b);
    mg_msg out;
    size_t used;
    if (mg_frame_decode(mg_str_buf(&b), 4096, &used, &out) != MG_OK ||
        used != b.n || out.u.ticket.id != seed ||
        !mg_str_is(out.u.ticket.workspace, "workspace")) {
        mg_buf_free(&b);
        return "a message did not come back as it went";
    }
    for (int i = 0; i < 3; i++) {
        b.p[mg_rng_below(&rng, (uint32_t)b.n)] = (char)mg_rng_below(&rng, 256);
    }
    const char *broken = NULL;
    size_t n = mg_rng_below(&rng, (uint32_t)b.n + 1);
    /* a copy of just these bytes, so that a tool sees reads beyond them */
    char *copy = mg_alloc(n);
    memcpy(copy, b.p, n);
    mg_rc rc = mg_frame_decode((mg_str){copy, n}, 4096, &used, &out);
    if (rc == MG_OK && used > n) {
        broken = "took more than there was";
    }
    free(copy);
    mg_buf_free(&b);
    return broken;
}

static void
test_frames(void)
{
    run_histories(garbage_history, HISTORIES);
    char big[8] = {0x7f, 0, 0, 0, 0, 0, 0, 0};
    size_t used;
    mg_msg m;
    CU_ASSERT_EQUAL(mg_frame_decode((mg_str){big, 8}, 4096, &used, &m),
                    MG_E_TOO_LARGE);
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

static void
test_histogram_against_sorted(void)
{
    enum { N = 5000 };
    static int64_t values[N];
    static mg_histogram h;
    mg_rng rng;
    mg_rng_init(&rng, 5);
    for (int i = 0; i < N; i++) {
        values[i] = mg_rng_below(&rng, 1u << mg_rng_below(&rng, 24));
        mg_histogram_add(&h, values[i]);
    }
    qsort(values, N, sizeof(values[0]), compare);
    static const double qs[] = {0.01, 0.5, 0.95, 0.99, 1.0};
    for (int i = 0; i < 5; i++) {
        int64_t exact = values[(int)(qs[i] * N + 0.999999) - 1];
        int64_t got = mg_histogram_quantile(&h, qs[i]);
        CU_ASSERT(got >= exact && got <= exact + exact / 16 + 1);
    }
}

static void
expect_error(const char *text, const char *part)
{
    mg_document doc;
    mg_checker ck;
    mg_checker_init(&ck, "f.toml");
    CU_ASSERT_NOT_EQUAL(
        mg_document_parse(mg_str_of(text), "f.toml", &doc, &ck), MG_OK);
    mg_buf_put(&ck.errors, "", 1);
    if (strstr(ck.errors.p, part) == NULL) {
        printf("\n  expected \"%s\" in: %s\n", part, ck.errors.p);
        CU_FAIL("other error");
    }
    mg_checker_free(&ck);
}

static void
test_document_errors(void)
{
    expect_error("[a]\nowner=\"o\"\nversion=1\n[[a.tier]]\nname=\"t\"\n"
                 "rnk=0\ndeadline_ms=1\n",
                 "f.toml:6: a.tier[0].rnk: unknown key; did you mean "
                 "\"rank\"?");
    expect_error("[a]\nowner=\"o\"\nversion=0\n", "f.toml:3: a.version: "
                                                  "expected a number from 1");
    expect_error("[a]\nversion=1\n", "a.owner: missing key");
    expect_error("[a\n", "f.toml:1:");
    expect_error("x=1\n", "x: expected a section");
    expect_error("", "no section");
    expect_error("[a]\nowner=\"o\"\nversion=1\n[[a.move]]\nname=\"m\"\n"
                 "pool=\"p\"\nto=\"v\"\nby=\"soon\"\n",
                 "f.toml:8: a.move[0].by: expected a UTC time");
    expect_error("[a]\nowner=\"o\"\nversion=1\n[[a.pool]]\nname=\"p\"\n"
                 "kind=\"x\"\n",
                 "expected \"engine\" or \"service\"");
}

/* ------------------------------------------------------------- HTTP ends */

struct call_end {
    uv_loop_t *loop;
    mg_http_result end;
    mg_buf body;
};

static const char *raw_answer;

static void
raw_written(uv_write_t *req, int status)
{
    (void)status;
    uv_close((uv_handle_t *)req->handle, (uv_close_cb)free);
    free(req);
}

static void
raw_alloc(uv_handle_t *h, size_t n, uv_buf_t *buf)
{
    static char scratch[4096];
    (void)h;
    (void)n;
    *buf = uv_buf_init(scratch, sizeof(scratch));
}

static void
raw_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    (void)buf;
    if (n > 0) {
        uv_read_stop(s);
        uv_write_t *w = mg_alloc(sizeof(*w));
        uv_buf_t out =
            uv_buf_init((char *)raw_answer, (unsigned)strlen(raw_answer));
        uv_write(w, s, &out, 1, raw_written);
    }
}

static void
raw_accept(uv_stream_t *listener, int status)
{
    (void)status;
    uv_tcp_t *c = mg_alloc(sizeof(*c));
    uv_tcp_init(listener->loop, c);
    uv_accept(listener, (uv_stream_t *)c);
    uv_read_start((uv_stream_t *)c, raw_alloc, raw_read);
}

static void
end_head(void *user, int status, mg_str type, bool not_run)
{
    (void)user;
    (void)status;
    (void)type;
    (void)not_run;
}

static void
end_data(void *user, mg_str data)
{
    mg_buf_put(&((struct call_end *)user)->body, data.p, data.n);
}

static void
end_end(void *user, mg_http_result end, const char *why)
{
    struct call_end *e = user;
    (void)why;
    e->end = end;
    uv_stop(e->loop);
}

static mg_http_result
call(uv_loop_t *loop, const char *addr, const char *answer)
{
    struct call_end e = {.loop = loop, .end = MG_HTTP_READ_TIMEOUT};
    raw_answer = answer;
    mg_http_client_req_new(
        &(mg_http_client_req_options){.loop = loop,
                                      .addr = addr,
                                      .method = "GET",
                                      .path = "/",
                                      .connect_timeout_ms = 500,
                                      .read_timeout_ms = 500,
                                      .on_headers = end_head,
                                      .on_data = end_data,
                                      .on_end = end_end,
                                      .user = &e});
    uv_run(loop, UV_RUN_DEFAULT);
    mg_buf_free(&e.body);
    return e.end;
}

/* an answer is whole only when its framing says so */
static void
test_http_ends(void)
{
    uv_loop_t *loop = uv_default_loop();
    uv_tcp_t listener;
    struct sockaddr_in sin;
    char addr[32];
    int len = sizeof(sin);
    uv_ip4_addr("127.0.0.1", 0, &sin);
    uv_tcp_init(loop, &listener);
    uv_tcp_bind(&listener, (struct sockaddr *)&sin, 0);
    uv_listen((uv_stream_t *)&listener, 8, raw_accept);
    uv_tcp_getsockname(&listener, (struct sockaddr *)&sin, &len);
    snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(sin.sin_port));
    CU_ASSERT_EQUAL(
        call(loop, addr, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        MG_HTTP_COMPLETE);
    CU_ASSERT_EQUAL(
        call(loop, addr, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"),
        MG_HTTP_TRUNCATED);
    CU_ASSERT_EQUAL(call(loop, addr, "HTTP/1.1 200 OK\r\n\r\nok"),
                    MG_HTTP_TRUNCATED);
    /* closed between two chunks: the library calls it an end */
    CU_ASSERT_EQUAL(call(loop, addr,
                         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
                         "\r\n2\r\nok\r\n"),
                    MG_HTTP_NO_LAST_CHUNK);
    CU_ASSERT_EQUAL(call(loop, addr, "HTTP/1.1 200"), MG_HTTP_TRUNCATED);
    CU_ASSERT_EQUAL(call(loop, "127.0.0.1:1", ""), MG_HTTP_NOT_SENT);
    uv_close((uv_handle_t *)&listener, NULL);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"frames", test_frames},
        {"histogram against sorted samples", test_histogram_against_sorted},
        {"errors of a document", test_document_errors},
        {"ends of HTTP answers", test_http_ends},
        CU_TEST_INFO_NULL,
    };
    return run_suite("base", tests);
}
