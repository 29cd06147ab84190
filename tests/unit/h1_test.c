/* valid and ambiguous header sections, decoding of fragmented bodies */
#include "suite.h"

#include "wire/h1.h"

static mg_rc
parse_request(const char *text, mg_h1_headers *h)
{
    return mg_h1_parse_request(mg_str_of(text), 0, h);
}

static void
test_valid_header_sections(void)
{
    mg_h1_headers h;
    CU_ASSERT_EQUAL(
        parse_request("GET /a/b?c=1 HTTP/1.1\r\nHost: x\r\n\r\n", &h), MG_OK);
    CU_ASSERT_TRUE(mg_str_is(h.target, "/a/b?c=1"));
    CU_ASSERT_TRUE(mg_str_is(mg_h1_get(&h, "host"), "x"));
    CU_ASSERT_FALSE(h.close);
    CU_ASSERT_EQUAL(parse_request("GET / HTTP/1.1\r\nHost: x\r\n", &h),
                    MG_E_IN_PROGRESS);
    CU_ASSERT_EQUAL(parse_request("POST / HTTP/1.1\r\nContent-Length: 12\r\n"
                                  "Connection: foo, Close\r\n\r\n",
                                  &h),
                    MG_OK);
    CU_ASSERT_TRUE(h.has_content_length && h.content_length == 12 && h.close);
}

static void
test_ambiguous_header_sections(void)
{
    static const char *const cases[] = {
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
    mg_h1_headers http_1_0;
    CU_ASSERT_EQUAL(
        parse_request("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
                      &http_1_0),
        MG_E_INPUT);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        mg_h1_headers h;
        char text[256];
        snprintf(text, sizeof(text), "POST / HTTP/1.1\r\n%s\r\n\r\n",
                 cases[i]);
        mg_rc rc = parse_request(text, &h);
        if (rc != MG_E_INPUT) {
            printf("\n  accepted: %s", cases[i]);
        }
        CU_ASSERT_EQUAL(rc, MG_E_INPUT);
    }
}

/* parses a header section with these lines, without the last CR LF */
static mg_rc
parse_lines(bool request, const char *lines, size_t n, mg_h1_headers *h)
{
    mg_buf text = {0};
    mg_buf_printf(&text,
                  request ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n");
    mg_buf_put(&text, lines, n);
    mg_buf_put(&text, "\r\n\r\n", 4);
    mg_rc rc = request ? mg_h1_parse_request(mg_str_buf(&text), 0, h)
                       : mg_h1_parse_response(mg_str_buf(&text), 0, h);
    mg_buf_free(&text);
    return rc;
}

static bool
is_token_byte(int c)
{
    return c > ' ' && c < 127 && strchr("\"(),/:;<=>?@[\\]{}", c) == NULL;
}

/* Each byte at each place of a name and of a value, of lengths on both sides
   of what the parser compares at once. LF and the colon end a line and a name.
 */
static void
test_bytes_of_fields(void)
{
    mg_h1_headers h;
    for (int i = 0; i < 2 * 20 * 256; i++) {
        bool request = i % 2;
        size_t at = (size_t)(i / 2 % 20);
        int c = i / 40;
        char name[] = "nnnnnnnnnnnnnnnnnnnn: v";
        char value[] = "A: vvvvvvvvvvvvvvvvvvvv";
        name[at] = (char)c;
        value[3 + at] = (char)c;
        bool in_value = c == '\t' || (c >= ' ' && c != 127);
        if (c != ':' && c != '\n') {
            mg_rc rc = parse_lines(request, name, sizeof(name) - 1, &h);
            CU_ASSERT_EQUAL(rc, is_token_byte(c) ? MG_OK : MG_E_INPUT);
            CU_ASSERT_EQUAL(mg_h1_is_name_byte((char)c), is_token_byte(c));
        }
        if (c != '\n') {
            mg_rc rc = parse_lines(request, value, sizeof(value) - 1, &h);
            CU_ASSERT_EQUAL(rc, in_value ? MG_OK : MG_E_INPUT);
            CU_ASSERT_EQUAL(mg_h1_is_value_byte((char)c), in_value);
        }
    }
}

/* readings of fields, in requests and responses alike */
static void
test_forms_of_fields(void)
{
    static const struct {
        const char *lines;
        mg_rc rc;
    } rows[] = {
        {"A:", MG_OK},
        {"A:\tb c\t", MG_OK},
        {"A: \x80", MG_OK},
        {"A: b\nC: d", MG_OK}, /* RFC 9112, 2.2: a bare LF may end a line */
        {"Content-Length: 0", MG_OK},
        {"Content-Length: 002", MG_OK},
        {"Content-Length: 999999999999999999", MG_OK},
        {"Transfer-Encoding: CHUNKED", MG_OK},
        /* names and lines */
        {": 1", MG_E_INPUT},
        {"A", MG_E_INPUT},
        {"A : 1", MG_E_INPUT},
        {"A\t: 1", MG_E_INPUT},
        {" A: 1", MG_E_INPUT},
        {"\tA: 1", MG_E_INPUT},
        {"Transfer Encoding: chunked", MG_E_INPUT},
        {"Transfer-Encoding\x0b: chunked", MG_E_INPUT},
        {"Content\x00Length: 1", MG_E_INPUT},
        {"A: b\r\n c", MG_E_INPUT},
        {"A: b\r\n\tc", MG_E_INPUT},
        {"A: b\r\n \r\nC: d", MG_E_INPUT},
        {"A: b\rC: d", MG_E_INPUT},
        {"A: b\r\r\nC: d", MG_E_INPUT},
        {"A: b\r", MG_E_INPUT},
        /* lengths */
        {"Content-Length:", MG_E_INPUT},
        {"Content-Length: +1", MG_E_INPUT},
        {"Content-Length: -1", MG_E_INPUT},
        {"Content-Length: 0x2", MG_E_INPUT},
        {"Content-Length: 1 2", MG_E_INPUT},
        {"Content-Length: 2, 2", MG_E_INPUT},
        {"Content-Length: 2,", MG_E_INPUT},
        {"Content-Length: 9999999999999999999", MG_E_INPUT},
        {"Content-Length: 2\r\nContent-Length: 2", MG_E_INPUT},
        {"Content-Length: 2\r\ncontent-length: 3", MG_E_INPUT},
        {"Content-Length: 2\r\nTransfer-Encoding: chunked", MG_E_INPUT},
        {"Transfer-Encoding: chunked\r\nContent-Length: 2", MG_E_INPUT},
        /* codings */
        {"Transfer-Encoding:", MG_E_INPUT},
        {"Transfer-Encoding: identity", MG_E_INPUT},
        {"Transfer-Encoding: gzip, chunked", MG_E_INPUT},
        {"Transfer-Encoding: chunked, gzip", MG_E_INPUT},
        {"Transfer-Encoding: ,chunked", MG_E_INPUT},
        {"Transfer-Encoding: chunked,", MG_E_INPUT},
        {"Transfer-Encoding: chunked;q=1", MG_E_INPUT},
        {"Transfer-Encoding: \"chunked\"", MG_E_INPUT},
        {"Transfer-Encoding: \x0b"
         "chunked",
         MG_E_INPUT},
        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
         MG_E_INPUT},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", MG_E_INPUT},
    };
    mg_h1_headers h;
    for (size_t i = 0; i < 2 * sizeof(rows) / sizeof(rows[0]); i++) {
        const char *lines = rows[i / 2].lines;
        /* one row has a NUL in it */
        size_t n = strcmp(lines, "Content") == 0 ? 17 : strlen(lines);
        mg_rc rc = parse_lines(i % 2, lines, n, &h);
        if (rc != rows[i / 2].rc) {
            printf("\n  %s, row %zu: %d", i % 2 ? "request" : "response",
                   i / 2, (int)rc);
        }
        CU_ASSERT_EQUAL(rc, rows[i / 2].rc);
    }
    CU_ASSERT_EQUAL(
        mg_h1_parse_response(mg_str_of("HTTP/1.0 200 OK\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"),
                             0, &h),
        MG_E_INPUT);
}

static void
test_hop_by_hop(void)
{
    static const char lines[] = "Connection: keep-alive, X-One,,\r\n"
                                "connection:\tx-two ,X-Three\t\r\nX-One: 1";
    static const char *const of_one_connection[] = {
        "x-one",   "X-TWO", "X-Three", "Connection",    "Keep-Alive",
        "Trailer", "TE",    "Upgrade", "Content-Length"};
    static const char *const passed_on[] = {"X-On", "X-One-", "X-Four", "Date",
                                            "X-Two ,X-Three"};
    mg_h1_headers h;
    for (int request = 0; request < 2; request++) {
        mg_buf text = {0};
        mg_buf_printf(&text, "%s\r\n%s\r\n\r\n",
                      request ? "GET / HTTP/1.1" : "HTTP/1.1 200 OK", lines);
        mg_rc rc = request ? mg_h1_parse_request(mg_str_buf(&text), 0, &h)
                           : mg_h1_parse_response(mg_str_buf(&text), 0, &h);
        CU_ASSERT_EQUAL_FATAL(rc, MG_OK);
        for (size_t i = 0;
             i < sizeof(of_one_connection) / sizeof(of_one_connection[0]);
             i++) {
            CU_ASSERT_TRUE(
                mg_h1_is_hop_by_hop(&h, mg_str_of(of_one_connection[i])));
        }
        for (size_t i = 0; i < sizeof(passed_on) / sizeof(passed_on[0]); i++) {
            CU_ASSERT_FALSE(mg_h1_is_hop_by_hop(&h, mg_str_of(passed_on[i])));
        }
        mg_buf_free(&text);
    }
}

static void
test_start_lines(void)
{
    static const char *const malformed[] = {
        " / HTTP/1.1",
        "GET  HTTP/1.1",
        "G(T / HTTP/1.1",
        "GE\x80 / HTTP/1.1",
        "G\x01T / HTTP/1.1",
        "GET /\x01 HTTP/1.1",
        "GET / a HTTP/1.1",
        "GET / HTTP/2.0",
        "GET / HTTP/1.1 ",
        "GET / HTTP/1.1\r",
        "GET /",
        "GET /a\rb HTTP/1.1",
    };
    static const char *const malformed_responses[] = {
        "HTTP/1.1  200 OK",  "HTTP/1.1 200OK",    "HTTP/2.0 200 OK",
        "HTTP/1.1 200 \x01", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r",
        " HTTP/1.1 200 OK",  "http/1.1 200 OK",   "HTTP/1.1\t200 OK",
    };
    mg_h1_headers h;
    char text[64];
    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        snprintf(text, sizeof(text), "%s\r\nHost: h\r\n\r\n", malformed[i]);
        mg_rc rc = mg_h1_parse_request(mg_str_of(text), 0, &h);
        if (rc != MG_E_INPUT) {
            printf("\n  request %zu: %d", i, (int)rc);
        }
        CU_ASSERT_EQUAL(rc, MG_E_INPUT);
    }
    for (size_t i = 0;
         i < sizeof(malformed_responses) / sizeof(malformed_responses[0]);
         i++) {
        snprintf(text, sizeof(text), "%s\r\nA: b\r\n\r\n",
                 malformed_responses[i]);
        mg_rc rc = mg_h1_parse_response(mg_str_of(text), 0, &h);
        if (rc != MG_E_INPUT) {
            printf("\n  response %zu: %d", i, (int)rc);
        }
        CU_ASSERT_EQUAL(rc, MG_E_INPUT);
    }
}

static void
test_response_framing(void)
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

/* a status is three digits, from 100 to 599 */
static void
test_status(void)
{
    static const struct {
        const char *status;
        mg_rc rc;
    } rows[] = {
        {"100", MG_OK},      {"103", MG_OK},       {"200", MG_OK},
        {"599", MG_OK},      {"000", MG_E_INPUT},  {"001", MG_E_INPUT},
        {"099", MG_E_INPUT}, {"600", MG_E_INPUT},  {"999", MG_E_INPUT},
        {"20", MG_E_INPUT},  {"2x0", MG_E_INPUT},  {"2000", MG_E_INPUT},
        {"-20", MG_E_INPUT}, {" 200", MG_E_INPUT},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        mg_h1_headers h;
        char text[64];
        snprintf(text, sizeof(text), "HTTP/1.1 %s X\r\n\r\n", rows[i].status);
        mg_rc rc = mg_h1_parse_response(mg_str_of(text), 0, &h);
        if (rc != rows[i].rc) {
            printf("\n  status %s: %d", rows[i].status, (int)rc);
        }
        CU_ASSERT_EQUAL(rc, rows[i].rc);
    }
}

/* decodes a random body that arrives in fragments of random size */
static const char *
decode_random_body(uint64_t seed)
{
    mg_rng r;
    mg_buf body = {0};
    mg_buf encoded = {0};
    mg_buf decoded = {0};
    const char *error = NULL;
    mg_rng_init(&r, seed);
    bool chunked = mg_rng_below(&r, 2);
    size_t n = mg_rng_below(&r, 3000);
    for (size_t i = 0; i < n; i++) {
        char c = (char)mg_rng_below(&r, 256);
        mg_buf_put(&body, &c, 1);
    }
    for (size_t offset = 0; chunked && offset < n;) {
        size_t k = 1 + mg_rng_below(&r, 500);
        k = k < n - offset ? k : n - offset;
        mg_buf_printf(&encoded, "%zx\r\n", k);
        mg_buf_put(&encoded, body.p + offset, k);
        mg_buf_put(&encoded, "\r\n", 2);
        offset += k;
    }
    if (chunked) {
        mg_buf_printf(&encoded, "0\r\n\r\n");
    }
    else {
        mg_buf_put(&encoded, body.p, n);
    }
    mg_buf_printf(&encoded, "next");
    mg_h1_headers headers = {.chunked = chunked,
                             .has_content_length = !chunked,
                             .content_length = n};
    mg_h1_body b;
    mg_h1_body_init_request(&b, &headers);
    size_t offset = 0;
    mg_rc rc = MG_E_IN_PROGRESS;
    mg_str rest = {"", 0};
    while (rc == MG_E_IN_PROGRESS && offset < encoded.n) {
        size_t k = 1 + mg_rng_below(&r, 700);
        mg_str data;
        k = k < encoded.n - offset ? k : encoded.n - offset;
        rc = mg_h1_body_decode(&b, encoded.p + offset, k, &data, &rest);
        mg_buf_put(&decoded, data.p, data.n);
        offset += k;
    }
    if (rc != MG_OK || !mg_str_eq(mg_str_buf(&decoded), mg_str_buf(&body))) {
        error = "the decoded body differs";
    }
    else if (rest.n + (encoded.n - offset) != 4) {
        error = "bytes after the body were consumed or lost";
    }
    mg_buf_free(&body);
    mg_buf_free(&encoded);
    mg_buf_free(&decoded);
    return error;
}

static void
test_fragmented_bodies(void)
{
    run_histories(decode_random_body, HISTORIES);
}

/* the outputs are set whatever is returned */
static void
test_outputs_for_malformed_chunks(void)
{
    static const char *const malformed[] = {
        "x",      "\r\n", "2\r\nokX", "2\r\nok\r\nx", "fffffffffffffffff\r\n",
        "-1\r\n",
    };
    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        char in[64];
        mg_str data = {(char *)1, SIZE_MAX};
        mg_str rest = data;
        mg_h1_body b;
        mg_h1_body_init_request(&b, &(mg_h1_headers){.chunked = true});
        strcpy(in, malformed[i]);
        CU_ASSERT_EQUAL(mg_h1_body_decode(&b, in, strlen(in), &data, &rest),
                        MG_E_INPUT);
        CU_ASSERT_EQUAL(data.n, 0);
        CU_ASSERT_EQUAL(rest.n, 0);
    }
}

/* what is decoded of a body, with the bytes after it; NULL: malformed */
static const char *
decode_text(const char *body, size_t n, size_t piece)
{
    static mg_buf out;
    mg_h1_body b;
    mg_rc rc = MG_E_IN_PROGRESS;
    out.n = 0;
    mg_h1_body_init_request(&b, &(mg_h1_headers){.chunked = true});
    for (size_t i = 0; i < n && rc == MG_E_IN_PROGRESS; i += piece) {
        mg_buf in = {0};
        mg_str data;
        mg_str rest;
        mg_buf_put(&in, body + i, piece < n - i ? piece : n - i);
        rc = mg_h1_body_decode(&b, in.p, in.n, &data, &rest);
        mg_buf_put(&out, data.p, data.n);
        mg_buf_put(&out, rest.p, rest.n);
        mg_buf_free(&in);
    }
    if (rc == MG_OK) {
        mg_buf_put(&out, ".", 1);
    }
    mg_buf_put(&out, "", 1);
    return rc == MG_E_INPUT ? NULL : out.p;
}

#define END "0\r\n\r\n"

static void
test_forms_of_chunks(void)
{
    static const struct {
        const char *body;
        const char *decoded; /* a full stop: complete; NULL: malformed */
    } rows[] = {
        {"2\r\nok\r\n" END, "ok."},
        {"02\r\nok\r\n" END, "ok."},
        {"2 \t\r\nok\r\n" END, "ok."},
        {"2;a=b;c=\"d\"\r\nok\r\n" END, "ok."},
        {"2 ; a\r\nok\r\n" END, "ok."},
        {"A\r\n0123456789\r\n" END, "0123456789."},
        {"2\r\nok\r\n0\r\nT: v\r\nU:\tw\r\n\r\n", "ok."},
        {"2\r\nok\r\n00\r\n\r\n", "ok."},
        {"2\r\nok\r\n", "ok"},
        {"ffffffffffffffff\r\nok", "ok"},
        /* sizes */
        {"2x\r\nok\r\n" END, NULL},
        {"2 x\r\nok\r\n" END, NULL},
        {"2,3\r\nok\r\n" END, NULL},
        {"0x2\r\nok\r\n" END, NULL},
        {"+2\r\nok\r\n" END, NULL},
        {"-2\r\nok\r\n" END, NULL},
        {" 2\r\nok\r\n" END, NULL},
        {"\r\n", NULL},
        {";a\r\n", NULL},
        {"10000000000000000\r\n", NULL},
        /* ends of lines */
        {"2\nok\r\n" END, NULL},
        {"2\r\nok\n" END, NULL},
        {"2\r\nok\r\n0\n\r\n", NULL},
        {"2\r\nok\r\n0\r\n\n", NULL},
        {"2\r\nok\r\r\n" END, NULL},
        {"2\r\r\nok\r\n" END, NULL},
        {"2\rok\r\n" END, NULL},
        {"2\r\nok" END, NULL},
        {"2;a\nok\r\n" END, NULL},
        {"2;a\rb\r\nok\r\n" END, NULL},
        {"2;a=\x01\r\nok\r\n" END, NULL},
        /* trailers */
        {"0\r\nT: v\n\r\n", NULL},
        {"0\r\nT\r\n\r\n", NULL},
        {"0\r\n: v\r\n\r\n", NULL},
        {"0\r\nT T: v\r\n\r\n", NULL},
        {"0\r\nT : v\r\n\r\n", NULL},
        {"0\r\nT\x01: v\r\n\r\n", NULL},
        {"0\r\nT: \x01\r\n\r\n", NULL},
        {"0\r\nT: v\r\n w\r\n\r\n", NULL},
        {"0\r\nT: v\rU: w\r\n\r\n", NULL},
        {"0\r\n\r\r\n", NULL},
        {"0\r\n\rX\r\n\r\n", NULL},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        size_t n = strlen(rows[i].body);
        for (size_t piece = 1; piece <= n; piece++) {
            const char *s = decode_text(rows[i].body, n, piece);
            bool same = s != NULL && rows[i].decoded != NULL
                            ? strcmp(s, rows[i].decoded) == 0
                            : s == rows[i].decoded;
            if (!same && piece == n) {
                printf("\n  row %zu is decoded to \"%s\"", i,
                       s != NULL ? s : "(malformed)");
            }
            CU_ASSERT_TRUE(same);
        }
    }
}

/* Decodes start and then a byte without end; returns after how many bytes it
   is malformed, 0: never. */
static size_t
endless(const char *start, char byte)
{
    mg_buf in = {0};
    mg_buf_printf(&in, "%s", start);
    mg_h1_body b;
    mg_h1_body_init_request(&b, &(mg_h1_headers){.chunked = true});
    mg_str data;
    mg_str rest;
    size_t n = 0;
    while (n < 1u << 20) {
        n += in.n;
        if (mg_h1_body_decode(&b, in.p, in.n, &data, &rest) !=
            MG_E_IN_PROGRESS) {
            mg_buf_free(&in);
            return n;
        }
        in.n = 0;
        mg_buf_put(&in, &byte, 1);
    }
    mg_buf_free(&in);
    return 0;
}

/* lines that belong to no body have an end */
static void
test_endless_lines_of_chunks(void)
{
    static const struct {
        const char *start;
        char byte;
        size_t max;
    } rows[] = {
        {"", '0', 17},          {"2", ' ', 4100},
        {"2;", 'x', 4100},      {"2\r\nok\r\n3;", 'x', 4110},
        {"0\r\nT", 'x', 16400}, {"0\r\nT:", ' ', 16400},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        size_t n = endless(rows[i].start, rows[i].byte);
        if (n == 0) {
            printf("\n  row %zu has no end", i);
        }
        CU_ASSERT_TRUE(n > 0 && n <= rows[i].max);
    }
    CU_ASSERT_EQUAL(endless("fffffffff\r\n", 'x'), 0);
}

/* many short lines are like a long one, in trailers but not in extensions */
static void
test_many_lines_of_chunks(void)
{
    mg_buf chunks = {0};
    mg_buf trailers = {0};
    for (int i = 0; i < 10000; i++) {
        mg_buf_printf(&chunks, "1;x=y\r\nz\r\n");
    }
    mg_buf_printf(&chunks, END);
    mg_buf_printf(&trailers, "0\r\n");
    for (int i = 0; i < 4000; i++) {
        mg_buf_printf(&trailers, "T: v\r\n");
    }
    const char *s = decode_text(chunks.p, chunks.n, 1000);
    CU_ASSERT_TRUE(s != NULL && strlen(s) == 10001);
    CU_ASSERT_PTR_NULL(decode_text(trailers.p, trailers.n, 1000));
    mg_buf_free(&chunks);
    mg_buf_free(&trailers);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"valid header sections", test_valid_header_sections},
        {"ambiguous header sections are rejected",
         test_ambiguous_header_sections},
        {"bytes of fields", test_bytes_of_fields},
        {"forms of fields", test_forms_of_fields},
        {"fields of one connection", test_hop_by_hop},
        {"start lines", test_start_lines},
        {"framing of responses", test_response_framing},
        {"status of responses", test_status},
        {"fragmented bodies", test_fragmented_bodies},
        {"outputs for malformed chunks", test_outputs_for_malformed_chunks},
        {"forms of chunks", test_forms_of_chunks},
        {"lines of chunks without end", test_endless_lines_of_chunks},
        {"many lines of chunks", test_many_lines_of_chunks},
        CU_TEST_INFO_NULL,
    };
    return run_suite("h1", tests);
}
