/*
 * Mutated bytes for each decoder of bytes that other programs send or that are
 * read from disk. A decoder must return, stay within its input, and decode
 * fragments like the whole. Run under a sanitizer by `make check-sanitize`;
 * FUZZ=n sets the number of inputs for each decoder, SEED=n runs one.
 */
#include "flow_world.h"

#include <regex.h>
#include <sys/stat.h>

#include "base/pack.h"
#include "control/store.h"
#include "gateway/sse.h"
#include "platform.h"

#define INPUTS 3000
/* opens a directory for each input */
#define STORE_INPUTS_PART 30
/* sends each input over a connection */
#define NETWORK_INPUTS_PART 6
#define MUTATIONS_MAX 6
#define WORLD_INPUTS 100
#define UNPACKED_MAX (1u << 20)

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* ----------------------------------------------------------- mutations */

static void
mutate_once(mg_rng *r, mg_buf *b)
{
    static const char tokens[] = "\r\n\0: ,;0f{}[]\"\xff\x80";
    uint32_t at = b->n > 0 ? mg_rng_below(r, (uint32_t)b->n) : 0;
    uint32_t left = (uint32_t)b->n - at;
    uint32_t n = left > 0 ? 1 + mg_rng_below(r, left) : 0;
    switch (mg_rng_below(r, 6)) {
    case 0: /* one bit */
        if (left > 0) {
            b->p[at] = (char)(b->p[at] ^ 1 << mg_rng_below(r, 8));
        }
        break;
    case 1: /* one byte with a meaning */
        if (left > 0) {
            b->p[at] = tokens[mg_rng_below(r, sizeof(tokens) - 1)];
        }
        break;
    case 2: /* the end is missing */
        b->n = at;
        break;
    case 3: /* a part is missing */
        n = n < 16 ? n : 16;
        memmove(b->p + at, b->p + at + n, left - n);
        b->n -= n;
        break;
    case 4: { /* a part is there twice */
        mg_buf copy = {0};
        n = n < 64 ? n : 64;
        mg_buf_put(&copy, b->p + at, n);
        mg_buf_put(&copy, b->p + at, left);
        b->n = at;
        mg_buf_put(b, copy.p, copy.n);
        mg_buf_free(&copy);
        break;
    }
    default: /* random bytes */
        for (uint32_t i = 0; i < n && i < 8; i++) {
            b->p[at + i] = (char)mg_rng_below(r, 256);
        }
        break;
    }
}

static mg_buf
mutated(mg_rng *r, const char *p, size_t n)
{
    mg_buf b = {0};
    mg_buf_put(&b, p, n);
    uint32_t mutations = mg_rng_below(r, MUTATIONS_MAX + 1);
    for (uint32_t i = 0; i < mutations; i++) {
        mutate_once(r, &b);
    }
    return b;
}

static mg_buf
mutated_text(mg_rng *r, const char *const *corpus, size_t count)
{
    const char *s = corpus[mg_rng_below(r, (uint32_t)count)];
    return mutated(r, s, strlen(s));
}

/* A copy of just its size, so that a read past its end is seen. */
static char *
exact_copy(mg_str s)
{
    char *p = mg_alloc(s.n > 0 ? s.n : 1);
    if (s.n > 0) {
        memcpy(p, s.p, s.n);
    }
    return p;
}

static bool
is_inside(mg_str part, const char *p, size_t n)
{
    return part.n == 0 || (part.p >= p && part.p + part.n <= p + n);
}

/* -------------------------------------------------------------- HTTP/1 */

static const char *const requests[] = {
    "GET /a/b?c=1,2 HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nbody\r\n0\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: h\r\nMarigoldgw-Attempt-Id: 9c41\r\n"
    "Marigoldgw-Deadline: 800\r\nMarigoldgw-Token-Count: 1460,80\r\n"
    "Marigoldgw-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    "Last-Event-Id: 12\r\nMarigoldgw-Length-Hint: 7\r\n"
    "Content-Length: 2\r\n\r\n{}",
};

static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Keep-Alive: timeout=5\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n"
    "Connection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
};

/* whether the names, and the status of a response, are what a proxy may pass
   on */
static bool
may_be_passed_on(const mg_h1_headers *h, bool request)
{
    for (size_t i = 0; i < h->header_count; i++) {
        const mg_h1_header *field = &h->headers[i];
        char name[256];
        mg_str_copy(name, sizeof(name), field->name);
        if (field->name.n == 0 || field->name.n >= sizeof(name) ||
            strspn(name, "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != field->name.n) {
            return false;
        }
    }
    return request ? h->method.n > 0 && h->target.n > 0
                   : h->status >= 100 && h->status <= 599;
}

static const char *
fuzz_headers(uint64_t seed)
{
    mg_rng r;
    mg_h1_headers h;
    mg_rng_init(&r, seed);
    bool request = mg_rng_below(&r, 2);
    mg_buf b = request ? mutated_text(&r, requests, COUNT(requests))
                       : mutated_text(&r, responses, COUNT(responses));
    char *p = exact_copy(mg_str_buf(&b));
    mg_str in = {p, b.n};
    const char *error = NULL;
    mg_rc rc = request ? mg_h1_parse_request(in, 0, &h)
                       : mg_h1_parse_response(in, 0, &h);
    for (size_t i = 0; rc == MG_OK && i < h.header_count; i++) {
        if (!is_inside(h.headers[i].name, p, b.n) ||
            !is_inside(h.headers[i].value, p, b.n)) {
            error = "a header outside of the input";
        }
    }
    if (rc == MG_OK && !may_be_passed_on(&h, request)) {
        error = "a malformed name or status is accepted";
    }
    if (rc == MG_OK) {
        mg_response_head out = {0};
        mg_platform_dialect()->read_response(mg_platform_dialect(), &h, &out);
        mg_h1_keep_alive_s(&h);
        error = h.size > b.n ? "a size beyond the input" : error;
    }
    free(p);
    mg_buf_free(&b);
    return error;
}

/* Decodes p[n] in pieces of up to max bytes; appends the body to out. */
static mg_rc
decode_body(mg_rng *r, const char *p, size_t n, uint32_t max, mg_buf *out)
{
    mg_h1_body body;
    mg_rc rc = MG_E_IN_PROGRESS;
    mg_h1_body_init_request(&body, &(mg_h1_headers){.chunked = true});
    for (size_t at = 0; at < n && rc == MG_E_IN_PROGRESS;) {
        size_t k = 1 + mg_rng_below(r, max);
        k = k < n - at ? k : n - at;
        char *piece = exact_copy((mg_str){p + at, k});
        mg_str data;
        mg_str rest;
        rc = mg_h1_body_decode(&body, piece, k, &data, &rest);
        MG_INVARIANT(is_inside(data, piece, k) && is_inside(rest, piece, k));
        mg_buf_put(out, data.p, data.n);
        free(piece);
        at += k;
    }
    return rc;
}

/* Takes a line off in that ends with CR LF and matches; NULL: there is none.
 */
static const char *
naive_line(mg_str *in, const char *pattern)
{
    static char line[4096];
    regex_t re;
    const char *end = in->n > 0 ? memmem(in->p, in->n, "\r\n", 2) : NULL;
    if (end == NULL || memchr(in->p, '\0', (size_t)(end - in->p)) != NULL) {
        return NULL;
    }
    mg_str text = {in->p, (size_t)(end - in->p)};
    mg_str_copy(line, sizeof(line), text);
    in->p += text.n + 2;
    in->n -= text.n + 2;
    regcomp(&re, pattern, REG_EXTENDED | REG_NOSUB);
    bool matches = regexec(&re, line, 0, NULL, 0) == 0;
    regfree(&re);
    return matches ? line : NULL;
}

/* Whether all of RFC 9112, 7.1, holds for the start of in; appends the body to
   out. */
static bool
naive_chunks(mg_str in, mg_buf *out)
{
    static const char size_line[] = "^[0-9A-Fa-f]{1,16}[ \t]*"
                                    "(;[^\x01-\x08\x0a-\x1f\x7f]*)?$";
    static const char trailer[] =
        "^([-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\x01-\x08\x0a-\x1f\x7f]*)?$";
    const char *line = naive_line(&in, size_line);
    while (line != NULL && strtoull(line, NULL, 16) > 0) {
        uint64_t n = strtoull(line, NULL, 16);
        if (n > in.n || in.n - n < 2 || memcmp(in.p + n, "\r\n", 2) != 0) {
            return false;
        }
        mg_buf_put(out, in.p, n);
        in.p += n + 2;
        in.n -= n + 2;
        line = naive_line(&in, size_line);
    }
    while (line != NULL) {
        line = naive_line(&in, trailer);
        if (line != NULL && line[0] == '\0') {
            return true;
        }
    }
    return false;
}

/* chunks are decoded if, and only if, they have the form of the RFC */
static const char *
fuzz_forms_of_chunks(uint64_t seed)
{
    static const char *const corpus[] = {
        "4\r\nbody\r\n0\r\n\r\n",
        "1;x=y\r\na\r\n00f  \r\n0123456789abcde\r\n0\r\nT: v\r\nU:\r\n\r\n",
        "A ; a\r\n0123456789\r\n00;b\r\n\r\nnext",
    };
    mg_rng r;
    mg_buf decoded = {0};
    mg_buf naive = {0};
    mg_rng_init(&r, seed);
    mg_buf b = mutated_text(&r, corpus, COUNT(corpus));
    bool ok = decode_body(&r, b.p, b.n, UINT32_MAX, &decoded) == MG_OK;
    bool naive_ok = naive_chunks(mg_str_buf(&b), &naive);
    bool same = ok == naive_ok &&
                (!ok || mg_str_eq(mg_str_buf(&decoded), mg_str_buf(&naive)));
    mg_buf_free(&b);
    mg_buf_free(&decoded);
    mg_buf_free(&naive);
    return same ? NULL : "chunks are read in another way than by the RFC";
}

static const char *
fuzz_chunks(uint64_t seed)
{
    static const char *const corpus[] = {
        "4\r\nbody\r\n0\r\n\r\n",
        "1;x=y\r\na\r\n00f\r\n0123456789abcde\r\n0\r\nT: v\r\n\r\n",
        "ffffffffffffffff\r\n",
    };
    mg_rng r;
    mg_buf whole = {0};
    mg_buf pieces = {0};
    mg_rng_init(&r, seed);
    mg_buf b = mutated_text(&r, corpus, COUNT(corpus));
    mg_rc a = decode_body(&r, b.p, b.n, UINT32_MAX, &whole);
    mg_rc c = decode_body(&r, b.p, b.n, 5, &pieces);
    bool same = a == c && (a == MG_E_INPUT ||
                           mg_str_eq(mg_str_buf(&whole), mg_str_buf(&pieces)));
    mg_buf_free(&b);
    mg_buf_free(&whole);
    mg_buf_free(&pieces);
    return same ? NULL : "pieces are decoded in another way than the whole";
}

/* ----------------------------------------------------------------- SSE */

static uint64_t
parse_events(mg_rng *r, mg_str in, uint32_t max)
{
    mg_sse_parser s = {0};
    mg_sse_event ev;
    uint64_t sum = 0;
    for (size_t at = 0; at < in.n;) {
        size_t k = 1 + mg_rng_below(r, max);
        k = k < in.n - at ? k : in.n - at;
        mg_sse_parser_feed(&s, (mg_str){in.p + at, k});
        while (mg_sse_parser_next(&s, &ev)) {
            sum = sum * 31 + ev.bytes.n + (ev.has_id ? ev.id : 0);
        }
        at += k;
    }
    mg_sse_parser_free(&s);
    return sum;
}

static const char *
fuzz_events(uint64_t seed)
{
    static const char *const corpus[] = {
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n",
        "data\n\n\n\nid: 99999999999999999999\n\n:comment\n\nid:3\n\n",
    };
    mg_rng r;
    mg_rng_init(&r, seed);
    mg_buf b = mutated_text(&r, corpus, COUNT(corpus));
    bool same = parse_events(&r, mg_str_buf(&b), UINT32_MAX) ==
                parse_events(&r, mg_str_buf(&b), 3);
    mg_buf_free(&b);
    return same ? NULL : "pieces are parsed in another way than the whole";
}

/* ------------------------------------------------- messages, documents */

static void
put_messages(mg_buf *out)
{
    mg_msg m = {.type = MG_MSG_LOAD_STRIKE};
    m.u.load_strike.crash = 7;
    mg_msg_encode(&m, out);
    m = (mg_msg){.type = MG_MSG_NODE};
    m.u.node.node = mg_str_of("10.0.0.1");
    m.u.node.domain = mg_str_of("d");
    mg_msg_encode(&m, out);
    m = (mg_msg){.type = MG_MSG_REPORT};
    m.u.report.node = mg_str_of("10.0.0.1");
    m.u.report.loads = mg_str_of("loads");
    mg_msg_encode(&m, out);
}

static const char *
fuzz_messages(uint64_t seed)
{
    mg_rng r;
    mg_msg m;
    mg_buf messages = {0};
    mg_rng_init(&r, seed);
    put_messages(&messages);
    mg_buf b = mutated(&r, messages.p, messages.n);
    char *p = exact_copy(mg_str_buf(&b));
    mg_str rest = {p, b.n};
    while (mg_msg_next(&rest, &m) == MG_OK) {
    }
    free(p);
    mg_buf_free(&b);
    mg_buf_free(&messages);
    return NULL;
}

static const char *
fuzz_frames(uint64_t seed)
{
    mg_rng r;
    mg_msg m = {.type = MG_MSG_LOAD_STRIKE};
    mg_buf frames = {0};
    size_t used = 1;
    const char *error = NULL;
    mg_rng_init(&r, seed);
    mg_frame_encode(&m, &frames);
    mg_frame_encode(&m, &frames);
    mg_buf b = mutated(&r, frames.p, frames.n);
    char *p = exact_copy(mg_str_buf(&b));
    mg_str rest = {p, b.n};
    while (mg_frame_decode(rest, MG_FRAME_MAX, &used, &m) == MG_OK) {
        rest.p += used;
        rest.n -= used;
    }
    error = used > rest.n ? "a frame beyond the input" : NULL;
    free(p);
    mg_buf_free(&b);
    mg_buf_free(&frames);
    return error;
}

static const char *
fuzz_packed(uint64_t seed)
{
    mg_rng r;
    mg_buf messages = {0};
    mg_buf packed = {0};
    mg_buf out = {0};
    mg_rng_init(&r, seed);
    for (int i = 0; i < 20; i++) {
        put_messages(&messages);
    }
    mg_pack(mg_str_buf(&messages), &packed);
    mg_buf b = mutated(&r, packed.p, packed.n);
    char *p = exact_copy(mg_str_buf(&b));
    mg_unpack((mg_str){p, b.n}, UNPACKED_MAX, &out);
    const char *error = out.n > UNPACKED_MAX ? "above the limit" : NULL;
    free(p);
    mg_buf_free(&b);
    mg_buf_free(&packed);
    mg_buf_free(&messages);
    mg_buf_free(&out);
    return error;
}

static const char *
fuzz_documents(uint64_t seed)
{
    static const char *const corpus[] = {
        "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
        "\"pathPrefix\":\"/p/\",\"routeType\":\"streaming\","
        "\"timeoutMs\":4000,\"goalMs\":600,\"priority\":1,\"service\":\"s\","
        "\"maxAttempts\":1,\"public\":false,\"sticky\":true,"
        "\"resumable\":false,\"gapGoalMs\":300},{\"name\":\"q\","
        "\"hostname\":\"h\",\"pathPrefix\":\"/q/\",\"routeType\":"
        "\"idempotent\",\"timeoutMs\":8000,\"goalMs\":800,\"priority\":0,"
        "\"trafficSplit\":[{\"service\":\"s\",\"weight\":90},"
        "{\"service\":\"t\",\"weight\":10}],\"maxAttempts\":2}],"
        "\"services\":[{\"name\":\"s\",\"healthPath\":\"/h\",\"maxConns\":6,"
        "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"t\","
        "\"healthPath\":\"/h\",\"maxConns\":6,\"protocol\":\"h1\","
        "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"w\","
        "\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,"
        "\"unit\":\"token_count\",\"plainTokens\":200,\"ratePerS\":100,"
        "\"burst\":100}]}",
    };
    mg_rng r;
    mg_error err;
    mg_routing *t = (mg_routing *)&err;
    mg_rng_init(&r, seed);
    mg_buf b = mutated_text(&r, corpus, COUNT(corpus));
    char *p = exact_copy(mg_str_buf(&b));
    mg_document_codec *c = mg_platform_codec();
    mg_rc rc = c->read(c, (mg_str){p, b.n}, &t, &err);
    if (rc == MG_OK) {
        mg_routing_unref(t);
        t = NULL;
    }
    free(p);
    mg_buf_free(&b);
    return t == NULL ? NULL : "an output that is not set";
}

/* ------------------------------------------------------ data directory */

static void
file_path(char *out, size_t size, const char *name)
{
    snprintf(out, size, "/tmp/mg-fuzz-%d%s%s", (int)getpid(),
             name[0] ? "/" : "", name);
}

static void
remove_files(void)
{
    static const char *const names[] = {"meta",    "log",          "snapshot",
                                        "note",    "lock",         "meta.new",
                                        "log.new", "snapshot.new", "note.new"};
    char path[128];
    for (size_t i = 0; i < COUNT(names); i++) {
        file_path(path, sizeof(path), names[i]);
        unlink(path);
    }
    file_path(path, sizeof(path), "");
    rmdir(path);
}

static void
mutate_file(mg_rng *r, const char *name)
{
    char path[128];
    char bytes[8192];
    file_path(path, sizeof(path), name);
    FILE *f = fopen(path, "rb");
    size_t n = f != NULL ? fread(bytes, 1, sizeof(bytes), f) : 0;
    if (f == NULL) {
        return;
    }
    fclose(f);
    mg_buf b = mutated(r, bytes, n);
    f = fopen(path, "wb");
    MG_INVARIANT(f != NULL);
    fwrite(b.p, 1, b.n, f);
    fclose(f);
    mg_buf_free(&b);
}

static const char *
fuzz_store(uint64_t seed)
{
    static const char *const names[] = {"log", "meta", "note"};
    char dir[128];
    mg_rng r;
    mg_error err;
    mg_store *s = NULL;
    mg_store_image image;
    mg_rng_init(&r, seed);
    file_path(dir, sizeof(dir), "");
    remove_files();
    if (mg_store_open(&s, dir, true, &image, &err) != MG_OK) {
        return "can't open a new directory";
    }
    mg_store_image_free(&image);
    const uint64_t slots[MG_STORE_SLOTS] = {3, 1, 2};
    mg_store_save_voters(s, mg_str_of("10.0.0.1,10.0.0.2"), slots);
    for (uint64_t i = 1; i <= 5; i++) {
        mg_raft_entry e = {1, i, mg_str_of("entry")};
        mg_store_append(s, &e, i - 1);
    }
    mg_store_sync(s);
    mg_store_close(s);
    mutate_file(&r, names[mg_rng_below(&r, COUNT(names))]);
    s = NULL;
    const char *error = NULL;
    if (mg_store_open(&s, dir, false, &image, &err) == MG_OK) {
        error = image.entry_count > 5 ? "entries that were not stored" : NULL;
        mg_store_image_free(&image);
        mg_store_close(s);
    }
    remove_files();
    return error;
}

/* ------------------------------------------------ clients and targets */

static mg_buf input; /* what the target writes */

static void
serve_input(world_conn *c, mg_str head)
{
    uv_buf_t b = uv_buf_init(input.p, (unsigned)input.n);
    (void)head;
    uv_try_write((uv_stream_t *)&c->tcp, &b, 1);
    world_close(c);
}

/* Opens the gateway with another route each WORLD_INPUTS inputs. */
static void
open_route(uint64_t seed)
{
    static const mg_retry_policy policies[] = {
        MG_RETRY_NEVER, MG_RETRY_BEFORE_RESPONSE, MG_RETRY_RESUME};
    static uint64_t current; /* 0: none is open */
    uint64_t number = 1 + seed / WORLD_INPUTS;
    mg_route route = {
        .retry_policy = policies[number % COUNT(policies)],
        .timeout_ms = 2000,
        .goal_ms = 500,
        .gap_goal_ms = 300,
        .attempts_max = 2,
        .stream = number / COUNT(policies) % 2,
    };
    if (number == current) {
        return;
    }
    if (current != 0) {
        world_shut();
    }
    current = number;
    world_open(world_routing(&route, 0, 0), 1, serve_input);
}

static const char *
fuzz_responses(uint64_t seed)
{
    mg_rng r;
    mg_rng_init(&r, seed);
    open_route(seed);
    input = mutated_text(&r, responses, COUNT(responses));
    unsigned ended = world.ended;
    unsigned executed = world.executed;
    world_get("/");
    mg_buf_free(&input);
    if (world.executed == executed) {
        return "not sent to the target";
    }
    return world.ended == ended + 1 ? NULL : "no answer";
}

static void
on_fuzzed_request(void *user, mg_http_req *r)
{
    mg_client_request out = {0};
    mg_error err;
    (void)user;
    mg_platform_dialect()->read_request(mg_platform_dialect(), r, &out, &err);
    mg_http_reply(r, 200, NULL, NULL, mg_str_of("ok"));
}

static void
on_raw_connected(uv_connect_t *req, int status)
{
    uv_buf_t b = uv_buf_init(input.p, (unsigned)input.n);
    if (status == 0) {
        uv_try_write(req->handle, &b, 1);
    }
    uv_close((uv_handle_t *)req->handle, NULL);
}

static const char *
fuzz_requests(uint64_t seed)
{
    static uv_loop_t loop;
    static mg_http_server *server;
    static char addr[MG_ADDR_SIZE];
    struct sockaddr_in sin;
    uv_tcp_t client;
    uv_connect_t connect;
    mg_rng r;
    mg_error err;
    if (server == NULL) {
        unsigned pid = (unsigned)getpid();
        uv_loop_init(&loop);
        snprintf(addr, sizeof(addr), "127.%u.%u.%u:%d", pid >> 16 & 127,
                 pid >> 8 & 255, pid & 255, WORLD_PORT + WORLD_TARGETS + 1);
        if (mg_http_open(&server,
                         &(mg_http_options){.loop = &loop,
                                            .listen_addr = addr,
                                            .limits = {.body_max = 1000},
                                            .on_request = on_fuzzed_request},
                         &err) != MG_OK) {
            return "can't listen";
        }
    }
    mg_rng_init(&r, seed);
    input = mutated_text(&r, requests, COUNT(requests));
    mg_addr_parse(addr, &sin);
    uv_tcp_init(&loop, &client);
    uv_tcp_connect(&connect, &client, (struct sockaddr *)&sin,
                   on_raw_connected);
    for (int i = 0; i < 12; i++) {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    mg_buf_free(&input);
    return uv_is_closing((uv_handle_t *)&client) ? NULL : "not connected";
}

/* --------------------------------------------------------------- tests */

static uint64_t
inputs(void)
{
    const char *n = getenv("FUZZ");
    return n != NULL ? strtoull(n, NULL, 10) : INPUTS;
}

#define FUZZ_TEST(name, part)                          \
    static void test_##name(void)                      \
    {                                                  \
        run_histories(fuzz_##name, inputs() / (part)); \
    }

FUZZ_TEST(headers, 1)
FUZZ_TEST(chunks, 1)
FUZZ_TEST(forms_of_chunks, 1)
FUZZ_TEST(events, 1)
FUZZ_TEST(messages, 1)
FUZZ_TEST(frames, 1)
FUZZ_TEST(packed, 1)
FUZZ_TEST(documents, 1)
FUZZ_TEST(store, STORE_INPUTS_PART)
FUZZ_TEST(responses, NETWORK_INPUTS_PART)
FUZZ_TEST(requests, NETWORK_INPUTS_PART)

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"header sections", test_headers},
        {"chunks", test_chunks},
        {"forms of chunks", test_forms_of_chunks},
        {"events", test_events},
        {"messages", test_messages},
        {"frames", test_frames},
        {"packed messages", test_packed},
        {"documents", test_documents},
        {"data directory", test_store},
        {"responses of targets", test_responses},
        {"requests of clients", test_requests},
        CU_TEST_INFO_NULL,
    };
    signal(SIGPIPE, SIG_IGN);
    return run_suite("fuzz", tests);
}
