#include "wire/h1.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/types.h>

/* picohttpparser: libh2o exports it but installs no header for it */
struct phr_header {
    const char *name;
    size_t name_len;
    const char *value;
    size_t value_len;
};
int
phr_parse_request(const char *buf, size_t len, const char **method,
                  size_t *method_len, const char **path, size_t *path_len,
                  int *minor_version, struct phr_header *headers,
                  size_t *num_headers, size_t last_len);
int
phr_parse_response(const char *buf, size_t len, int *minor_version,
                   int *status, const char **msg, size_t *msg_len,
                   struct phr_header *headers, size_t *num_headers,
                   size_t last_len);
#define PHR_PARTIAL (-2)

#define DEL 0x7f
#define STATUS_MIN 100
#define STATUS_MAX 599

bool
mg_h1_is_name_byte(char c)
{
    if ((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
        (c >= 'A' && c <= 'Z')) {
        return true;
    }
    return c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL;
}

bool
mg_h1_is_value_byte(char c)
{
    unsigned char byte = (unsigned char)c;
    return c == '\t' || (byte >= ' ' && byte != DEL);
}

/* false for an empty name, which is what the parser gives a folded line */
static bool
is_token(mg_str s)
{
    for (size_t i = 0; i < s.n; i++) {
        if (!mg_h1_is_name_byte(s.p[i])) {
            return false;
        }
    }
    return s.n > 0;
}

static bool
is_value(mg_str s)
{
    for (size_t i = 0; i < s.n; i++) {
        if (!mg_h1_is_value_byte(s.p[i])) {
            return false;
        }
    }
    return true;
}

bool
mg_h1_name_is(mg_str name, const char *s)
{
    return strlen(s) == name.n && strncasecmp(name.p, s, name.n) == 0;
}

mg_str
mg_h1_get(const mg_h1_headers *h, const char *name)
{
    for (size_t i = 0; i < h->header_count; i++) {
        if (mg_h1_name_is(h->headers[i].name, name)) {
            return h->headers[i].value;
        }
    }
    return (mg_str){"", 0};
}

/* takes the first item off a comma-separated list, without blanks around it */
static mg_str
next_item(mg_str *list)
{
    mg_str one = mg_str_split(*list, ',', list);
    while (one.n > 0 && (*one.p == ' ' || *one.p == '\t')) {
        one.p++;
        one.n--;
    }
    while (one.n > 0 &&
           (one.p[one.n - 1] == ' ' || one.p[one.n - 1] == '\t')) {
        one.n--;
    }
    return one;
}

/* whether a comma-separated list contains the token, ignoring ASCII case */
static bool
list_has_token(mg_str list, mg_str token)
{
    while (list.n > 0) {
        mg_str one = next_item(&list);
        if (one.n == token.n && strncasecmp(one.p, token.p, one.n) == 0) {
            return true;
        }
    }
    return false;
}

/* whether a Connection field of the message names the field */
static bool
is_connection_option(const mg_h1_headers *h, mg_str name)
{
    for (size_t i = 0; i < h->header_count; i++) {
        const mg_h1_header *field = &h->headers[i];
        if (mg_h1_name_is(field->name, "connection") &&
            list_has_token(field->value, name)) {
            return true;
        }
    }
    return false;
}

bool
mg_h1_is_hop_by_hop(const mg_h1_headers *h, mg_str name)
{
    static const char *const names[] = {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
        "expect",
        "content-length",
        "proxy-authenticate",
        "proxy-authorization",
    };
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (mg_h1_name_is(name, names[i])) {
            return true;
        }
    }
    return is_connection_option(h, name);
}

/* Sets the framing of the body. Rejects malformed names and values, and
   ambiguous framing headers, some of which the parser accepts. */
static mg_rc
validate_fields(mg_h1_headers *h)
{
    bool has_coding = false;
    h->close = h->minor_version == 0;
    for (size_t i = 0; i < h->header_count; i++) {
        mg_str name = h->headers[i].name;
        mg_str value = h->headers[i].value;
        if (!is_token(name) || !is_value(value)) {
            return MG_E_INPUT;
        }
        if (mg_h1_name_is(name, "content-length")) {
            if (h->has_content_length ||
                !mg_str_parse_uint(value, &h->content_length)) {
                return MG_E_INPUT;
            }
            h->has_content_length = true;
        }
        else if (mg_h1_name_is(name, "transfer-encoding")) {
            if (has_coding || !mg_h1_name_is(value, "chunked")) {
                return MG_E_INPUT;
            }
            has_coding = true;
            h->chunked = true;
        }
        else if (mg_h1_name_is(name, "connection")) {
            if (list_has_token(value, mg_str_of("close"))) {
                h->close = true;
            }
            else if (list_has_token(value, mg_str_of("keep-alive")) &&
                     h->minor_version == 0) {
                h->close = false;
            }
        }
    }
    return h->chunked && (h->has_content_length || h->minor_version == 0)
               ? MG_E_INPUT
               : MG_OK;
}

static mg_rc
finish_headers(mg_h1_headers *h, const struct phr_header *from, int rc)
{
    if (rc == PHR_PARTIAL) {
        return MG_E_IN_PROGRESS;
    }
    if (rc < 0) {
        return MG_E_INPUT;
    }
    h->size = (size_t)rc;
    for (size_t i = 0; i < h->header_count; i++) {
        h->headers[i].name = (mg_str){from[i].name, from[i].name_len};
        h->headers[i].value = (mg_str){from[i].value, from[i].value_len};
    }
    return validate_fields(h);
}

static void
reset_headers(mg_h1_headers *h)
{
    h->header_count = MG_H1_HEADERS_MAX;
    h->status = 0;
    h->has_content_length = false;
    h->content_length = 0;
    h->chunked = false;
    h->method = (mg_str){"", 0};
    h->target = (mg_str){"", 0};
}

mg_rc
mg_h1_parse_request(mg_str in, size_t seen, mg_h1_headers *h)
{
    struct phr_header headers[MG_H1_HEADERS_MAX];
    reset_headers(h);
    int rc = phr_parse_request(in.p, in.n, &h->method.p, &h->method.n,
                               &h->target.p, &h->target.n, &h->minor_version,
                               headers, &h->header_count, seen);
    mg_rc result = finish_headers(h, headers, rc);
    bool valid = is_token(h->method) && h->target.n > 0;
    return result == MG_OK && !valid ? MG_E_INPUT : result;
}

mg_rc
mg_h1_parse_response(mg_str in, size_t seen, mg_h1_headers *h)
{
    struct phr_header headers[MG_H1_HEADERS_MAX];
    mg_str reason;
    reset_headers(h);
    int rc = phr_parse_response(in.p, in.n, &h->minor_version, &h->status,
                                &reason.p, &reason.n, headers,
                                &h->header_count, seen);
    mg_rc result = finish_headers(h, headers, rc);
    bool valid = h->status >= STATUS_MIN && h->status <= STATUS_MAX;
    return result == MG_OK && !valid ? MG_E_INPUT : result;
}

static void
rebase(mg_str *s, const char *from, const char *to)
{
    if (s->n > 0) {
        s->p = to + (s->p - from);
    }
}

void
mg_h1_rebase(mg_h1_headers *h, const char *from, const char *to)
{
    rebase(&h->method, from, to);
    rebase(&h->target, from, to);
    for (size_t i = 0; i < h->header_count; i++) {
        rebase(&h->headers[i].name, from, to);
        rebase(&h->headers[i].value, from, to);
    }
}

int
mg_h1_keep_alive_s(const mg_h1_headers *h)
{
    mg_str v = mg_h1_get(h, "keep-alive");
    static const char key[] = "timeout=";
    size_t k = sizeof(key) - 1;
    for (size_t i = 0; i + k < v.n; i++) {
        if (strncasecmp(v.p + i, key, k) == 0) {
            int s = 0;
            for (size_t j = i + k;
                 j < v.n && v.p[j] >= '0' && v.p[j] <= '9' && s < 100000;
                 j++) {
                s = s * 10 + (v.p[j] - '0');
            }
            return s;
        }
    }
    return -1;
}

void
mg_h1_body_init_request(mg_h1_body *b, const mg_h1_headers *h)
{
    *b = (mg_h1_body){0};
    if (h->chunked) {
        b->framing = MG_H1_CHUNKED;
    }
    else if (h->has_content_length && h->content_length > 0) {
        b->framing = MG_H1_LENGTH;
        b->remaining = h->content_length;
    }
}

void
mg_h1_body_init_response(mg_h1_body *b, const mg_h1_headers *h, bool is_head)
{
    *b = (mg_h1_body){0};
    if (is_head || h->status == 204 || h->status == 304 || h->status < 200) {
        return;
    }
    mg_h1_body_init_request(b, h);
    if (b->framing == MG_H1_NO_BODY && !h->has_content_length) {
        b->framing = MG_H1_CLOSE_DELIMITED;
    }
}

static mg_rc
decode_chunks(mg_h1_body *b, char *p, size_t n, mg_str *data, mg_str *rest)
{
    size_t size;
    size_t used;
    mg_rc rc = mg_chunks_decode(&b->chunks, p, n, &size, &used);
    if (rc == MG_E_INPUT) {
        size = 0;
        used = n;
    }
    *data = (mg_str){p, size};
    *rest = (mg_str){p + used, n - used};
    return rc;
}

mg_rc
mg_h1_body_decode(mg_h1_body *b, char *p, size_t n, mg_str *data, mg_str *rest)
{
    if (b->framing == MG_H1_CHUNKED) {
        return decode_chunks(b, p, n, data, rest);
    }
    size_t take = n;
    if (b->framing == MG_H1_NO_BODY) {
        take = 0;
    }
    else if (b->framing == MG_H1_LENGTH && b->remaining < n) {
        take = (size_t)b->remaining;
    }
    *data = (mg_str){p, take};
    *rest = (mg_str){p + take, n - take};
    if (b->framing == MG_H1_LENGTH) {
        b->remaining -= take;
    }
    bool ended = b->framing == MG_H1_NO_BODY ||
                 (b->framing == MG_H1_LENGTH && b->remaining == 0);
    return ended ? MG_OK : MG_E_IN_PROGRESS;
}

const char *
mg_h1_reason(int status)
{
    static const struct {
        int status;
        const char *reason;
    } rows[] = {
        {200, "OK"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {421, "Misdirected Request"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if (rows[i].status == status) {
            return rows[i].reason;
        }
    }
    return "Status";
}
