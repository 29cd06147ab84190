/*
 * Message frames, histograms, document errors, and the result that the HTTP
 * client reports for complete, truncated and missing responses.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <unistd.h>

#include "base/check.h"
#include "base/counter.h"
#include "topology/config.h"
#include "wire/http.h"
#include "wire/msg.h"

/* a frame decodes to the encoded message; a corrupted and truncated one is
   rejected, or decoded without reads beyond its end */
static const char *
corrupted_frame_history(uint64_t seed)
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
        return "the decoded message differs from the encoded one";
    }
    for (int i = 0; i < 3; i++) {
        b.p[mg_rng_below(&rng, (uint32_t)b.n)] = (char)mg_rng_below(&rng, 256);
    }
    const char *violation = NULL;
    size_t n = mg_rng_below(&rng, (uint32_t)b.n + 1);
    /* a copy of exactly n bytes, so that valgrind or ASan detects overreads */
    char *copy = mg_alloc(n);
    memcpy(copy, b.p, n);
    mg_rc rc = mg_frame_decode((mg_str){copy, n}, 4096, &used, &out);
    if (rc == MG_OK && used > n) {
        violation = "consumed more bytes than there were";
    }
    free(copy);
    mg_buf_free(&b);
    return violation;
}

static void
test_frames(void)
{
    run_histories(corrupted_frame_history, HISTORIES);
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
expect_error(const char *text, const char *expected)
{
    mg_document doc;
    mg_checker ck;
    mg_checker_init(&ck, "f.toml");
    CU_ASSERT_NOT_EQUAL(
        mg_document_parse(mg_str_of(text), "f.toml", &doc, &ck), MG_OK);
    mg_buf_put(&ck.errors, "", 1);
    if (strstr(ck.errors.p, expected) == NULL) {
        printf("\n  expected \"%s\" in: %s\n", expected, ck.errors.p);
        CU_FAIL("unexpected error text");
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

/* -------------------------------------------------------- HTTP responses */

struct client {
    uv_loop_t *loop;
    mg_http_result end;
    mg_buf body;
};

static const char *server_response;

static void
on_server_written(uv_write_t *req, int status)
{
    (void)status;
    uv_close((uv_handle_t *)req->handle, (uv_close_cb)free);
    free(req);
}

static void
on_server_alloc(uv_handle_t *h, size_t n, uv_buf_t *buf)
{
    static char scratch[4096];
    (void)h;
    (void)n;
    *buf = uv_buf_init(scratch, sizeof(scratch));
}

static void
on_server_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
    (void)buf;
    if (n > 0) {
        uv_read_stop(s);
        uv_write_t *w = mg_alloc(sizeof(*w));
        uv_buf_t out = uv_buf_init((char *)server_response,
                                   (unsigned)strlen(server_response));
        uv_write(w, s, &out, 1, on_server_written);
    }
}

static void
on_server_accept(uv_stream_t *listener, int status)
{
    (void)status;
    uv_tcp_t *c = mg_alloc(sizeof(*c));
    uv_tcp_init(listener->loop, c);
    uv_accept(listener, (uv_stream_t *)c);
    uv_read_start((uv_stream_t *)c, on_server_alloc, on_server_read);
}

static void
on_client_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)user;
    (void)status;
    (void)type;
    (void)not_run;
}

static void
on_client_data(void *user, mg_str data)
{
    mg_buf_put(&((struct client *)user)->body, data.p, data.n);
}

static void
on_client_end(void *user, mg_http_result end, const char *why)
{
    struct client *c = user;
    (void)why;
    c->end = end;
    uv_stop(c->loop);
}

static mg_http_result
fetch(uv_loop_t *loop, const char *addr, const char *response)
{
    struct client c = {.loop = loop, .end = MG_HTTP_READ_TIMEOUT};
    server_response = response;
    mg_http_client_req_new(
        &(mg_http_client_req_options){.loop = loop,
                                      .addr = addr,
                                      .method = "GET",
                                      .path = "/",
                                      .connect_timeout_ms = 500,
                                      .read_timeout_ms = 500,
                                      .on_headers = on_client_headers,
                                      .on_data = on_client_data,
                                      .on_end = on_client_end,
                                      .user = &c});
    uv_run(loop, UV_RUN_DEFAULT);
    mg_buf_free(&c.body);
    return c.end;
}

/* a response is complete only if its framing marks its end */
static void
test_http_response_ends(void)
{
    uv_loop_t *loop = uv_default_loop();
    uv_tcp_t listener;
    struct sockaddr_in sin;
    char addr[32];
    int len = sizeof(sin);
    uv_ip4_addr("127.0.0.1", 0, &sin);
    uv_tcp_init(loop, &listener);
    uv_tcp_bind(&listener, (struct sockaddr *)&sin, 0);
    uv_listen((uv_stream_t *)&listener, 8, on_server_accept);
    uv_tcp_getsockname(&listener, (struct sockaddr *)&sin, &len);
    snprintf(addr, sizeof(addr), "127.0.0.1:%d", ntohs(sin.sin_port));
    CU_ASSERT_EQUAL(
        fetch(loop, addr, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        MG_HTTP_COMPLETE);
    CU_ASSERT_EQUAL(
        fetch(loop, addr, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"),
        MG_HTTP_TRUNCATED);
    CU_ASSERT_EQUAL(fetch(loop, addr, "HTTP/1.1 200 OK\r\n\r\nok"),
                    MG_HTTP_TRUNCATED);
    /* closed between two chunks */
    CU_ASSERT_EQUAL(fetch(loop, addr,
                          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
                          "\r\n2\r\nok\r\n"),
                    MG_HTTP_TRUNCATED);
    CU_ASSERT_EQUAL(fetch(loop, addr, "HTTP/1.1 200"), MG_HTTP_TRUNCATED);
    CU_ASSERT_EQUAL(fetch(loop, "127.0.0.1:1", ""), MG_HTTP_NOT_SENT);
    uv_close((uv_handle_t *)&listener, NULL);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"frames", test_frames},
        {"histogram against sorted samples", test_histogram_against_sorted},
        {"errors of a document", test_document_errors},
        {"ends of HTTP responses", test_http_response_ends},
        CU_TEST_INFO_NULL,
    };
    return run_suite("base", tests);
}
