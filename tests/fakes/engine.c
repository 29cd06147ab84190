/*
 * fake-engine - stand-in for an inference engine or a plain HTTP service
 *
 * As an engine it uses continuous batching: each step decodes one token of
 * every running request and processes a bounded chunk of prefill. It caches
 * prompt prefixes, ignores priorities, reports its load with a delay, and
 * lets clients resume and cancel streams. A response is a function of the
 * prompt, so that a client can check that it is complete and the right one.
 *
 * Before an execution starts, a line with its request id, the hash of the
 * body and the idempotency key is appended to the journal. Command-line
 * options inject faults.
 */
#include <inttypes.h>
#include <signal.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <jansson.h>
#include <uthash.h>

#include "base/check.h"
#include "base/clock.h"
#include "base/list.h"
#include "wire/http.h"

#define ANNOUNCE_INTERVAL_MS 500
#define PREFILL_CHUNK_TOKENS 512
#define STREAM_RETENTION_MS 30000 /* after the last token */
#define LOAD_HISTORY 64           /* samples, one per announcement */
#define ENTRIES_MAX 16
#define CACHED_PREFIX_BYTES 256 /* shorter prompts are not cached */

static struct {
    const char *name;
    const char *pool;
    const char *version;
    const char *domain;
    const char *addr;
    const char *public_addr; /* address to announce */
    const char *key;
    const char *crash_on;  /* prompt text that kills the process */
    const char *fail_path; /* empty: all paths */
    bool service;
    bool ignore_epoch;
    int slots;
    int prefill_us;     /* per token */
    int step_us;        /* base duration of a step */
    int per_request_us; /* added to a step per running request */
    int service_ms;
    int cache_size; /* prefixes */
    int lag_ms;
    int fail_percent;
    int slow_above; /* triples the step time above this many running */
    char *entries[ENTRIES_MAX];
    int entry_count;
} opt;

struct stream {
    UT_hash_handle hh;
    struct list_head link; /* in g.running, g.queued or g.finished */
    char id[64];
    mg_http_req *http; /* NULL while no client is connected */
    bool sse;
    uint64_t sent; /* bytes of the body (out) written to the client */
    mg_buf out;    /* response body produced so far */
    int prefill_left;
    int decode_left;
    int decoded;
    uint64_t hash; /* of the prompt */
    uint64_t prefix;
    bool finished;
    bool failed;
    int64_t finished_ms;
};

static struct {
    uv_loop_t *loop;
    uv_timer_t step;
    uv_timer_t announce;
    mg_http_server *http;
    struct stream *streams;
    struct list_head running;
    struct list_head queued;
    struct list_head finished;
    int running_count;
    int queued_count;
    uint64_t *prefix_cache; /* FIFO of hashes */
    int next_prefix;
    uint64_t epoch;
    bool draining;
    int entry_index; /* into opt.entries, taken modulo entry_count */
    int journal_fd;  /* -1: none */
    mg_rng rng;
    int64_t step_remainder_us; /* part below 1 ms, added to the next step */
    struct {
        int64_t at_ms; /* 0: unused */
        int running;
        int queued;
    } load[LOAD_HISTORY];
    int load_next;
} g;

static int64_t
now_ms(void)
{
    return mg_now(mg_system_clock());
}

static void
journal_execution(const char *id, mg_str key, mg_str body)
{
    char line[400];
    int n = snprintf(line, sizeof(line), "%s %016" PRIx64 " %.*s\n", id,
                     mg_hash(body), MG_STR_FMT(key));
    if (g.journal_fd >= 0 && write(g.journal_fd, line, (size_t)n) != n) {
        abort();
    }
}

/* ------------------------------------------------------------- streams */

static void
append_token(struct stream *s)
{
    char token[64];
    snprintf(token, sizeof(token), "w%d-%08x ", s->decoded, (unsigned)s->hash);
    s->decoded++;
    s->decode_left--;
    if (s->sse) {
        mg_buf_printf(&s->out,
                      "data: {\"choices\":[{\"delta\":{\"content\":"
                      "\"%s\"}}]}\n\n",
                      token);
    }
    else {
        mg_buf_put(&s->out, token, strlen(token));
    }
}

static void
send_unsent(struct stream *s)
{
    if (s->http == NULL || !s->sse || s->sent >= s->out.n) {
        return;
    }
    mg_str unsent = {s->out.p + s->sent, s->out.n - s->sent};
    s->sent = s->out.n;
    mg_http_write(s->http, unsent);
}

static void
detach_client(struct stream *s)
{
    if (s->http != NULL) {
        mg_http_on_disconnect(s->http, NULL, NULL);
        s->http = NULL;
    }
}

static void
finish_stream(struct stream *s)
{
    list_del(&s->link);
    list_add_tail(&s->link, &g.finished);
    s->finished = true;
    s->finished_ms = now_ms();
    if (!s->sse) {
        mg_buf text = s->out;
        s->out = (mg_buf){0};
        mg_buf_printf(&s->out,
                      "{\"choices\":[{\"message\":{\"content\":\"%.*s\"}}]}",
                      (int)text.n, text.p);
        mg_buf_free(&text);
    }
    else {
        mg_buf_printf(&s->out, "data: [DONE]\n\n");
    }
    if (s->http == NULL) {
        return;
    }
    mg_http_req *http = s->http;
    if (s->sse) {
        send_unsent(s);
        detach_client(s);
        mg_http_finish(http);
    }
    else {
        detach_client(s);
        mg_http_reply(http, 200, "application/json", NULL,
                      mg_str_buf(&s->out));
    }
}

static void
free_stream(struct stream *s)
{
    detach_client(s);
    HASH_DEL(g.streams, s);
    list_del(&s->link);
    mg_buf_free(&s->out);
    free(s);
}

static void
fail_stream(struct stream *s)
{
    mg_http_req *http = s->http;
    if (http != NULL) {
        detach_client(s);
        mg_http_reply(http, 500, "application/json", NULL,
                      mg_str_of("{\"error\":\"bad version\"}"));
    }
}

static void
start_queued(void)
{
    while (g.running_count < opt.slots && !list_empty(&g.queued)) {
        struct stream *s = list_entry(g.queued.next, struct stream, link);
        list_del(&s->link);
        list_add_tail(&s->link, &g.running);
        g.queued_count--;
        g.running_count++;
    }
}

/* Runs one iteration of the batch; returns its duration in us. */
static int64_t
run_step(void)
{
    int64_t us = opt.step_us + (int64_t)opt.per_request_us * g.running_count;
    int chunk = PREFILL_CHUNK_TOKENS;
    list_for_each_safe(el, el1, &g.running)
    {
        struct stream *s = list_entry(el, struct stream, link);
        if (s->prefill_left > 0) {
            int n = s->prefill_left < chunk ? s->prefill_left : chunk;
            s->prefill_left -= n;
            chunk -= n;
            us += (int64_t)n * opt.prefill_us;
            continue;
        }
        append_token(s);
        send_unsent(s);
        if (s->decode_left <= 0) {
            g.running_count--;
            finish_stream(s);
        }
    }
    if (opt.slow_above > 0 && g.running_count > opt.slow_above) {
        us *= 3;
    }
    return us;
}

static void
on_step(uv_timer_t *t)
{
    list_for_each_safe(el, el1, &g.finished)
    {
        struct stream *s = list_entry(el, struct stream, link);
        if (now_ms() - s->finished_ms < STREAM_RETENTION_MS) {
            break;
        }
        free_stream(s);
    }
    start_queued();
    if (g.running_count == 0) {
        uv_timer_start(t, on_step, 1, 0);
        return;
    }
    g.step_remainder_us += run_step();
    uv_timer_start(t, on_step, (uint64_t)(g.step_remainder_us / 1000), 0);
    g.step_remainder_us %= 1000;
}

/* Returns whether the prefix is cached; if not, replaces the oldest one. */
static bool
lookup_prefix(uint64_t prefix)
{
    for (int i = 0; i < opt.cache_size; i++) {
        if (g.prefix_cache[i] == prefix) {
            return true;
        }
    }
    if (opt.cache_size > 0) {
        g.prefix_cache[g.next_prefix++ % opt.cache_size] = prefix;
    }
    return false;
}

static void
on_stream_disconnect(void *user)
{
    /* decoding continues, so that a client can resume the stream */
    ((struct stream *)user)->http = NULL;
}

/* Appends a string, or the strings or "content" of an array's items. */
static void
append_text(json_t *v, mg_buf *out)
{
    size_t i;
    json_t *item;
    if (json_is_string(v)) {
        mg_buf_put(out, json_string_value(v), json_string_length(v));
    }
    else if (json_is_array(v)) {
        json_array_foreach(v, i, item)
        {
            append_text(json_is_object(item) ? json_object_get(item, "content")
                                             : item,
                        out);
        }
    }
}

static void
attach_client(struct stream *s, mg_http_req *http, uint64_t offset)
{
    s->http = http;
    s->sent = offset;
    mg_http_on_disconnect(http, on_stream_disconnect, s);
    if (s->sse) {
        mg_http_start(http, 200, "text/event-stream", NULL);
        send_unsent(s);
    }
}

static void
start_completion(mg_http_req *http, mg_str id)
{
    mg_str body = mg_http_body(http);
    json_t *tree = json_loadb(body.p, body.n, 0, NULL);
    mg_buf text = {0};
    append_text(json_object_get(tree, "messages"), &text);
    append_text(json_object_get(tree, "prompt"), &text);
    mg_buf_put(&text, "", 1);
    text.n--;
    if (opt.crash_on[0] && strstr(text.p, opt.crash_on) != NULL) {
        raise(SIGKILL);
    }
    struct stream *s = mg_alloc(sizeof(*s));
    mg_str_copy(s->id, sizeof(s->id), id);
    s->hash = mg_hash(mg_str_buf(&text));
    s->sse = json_is_true(json_object_get(tree, "stream"));
    s->decode_left =
        (int)json_integer_value(json_object_get(tree, "max_tokens"));
    s->decode_left = s->decode_left > 0 ? s->decode_left : 256;
    s->prefill_left = (int)(text.n / 4 + 1);
    size_t prefix_len =
        text.n < CACHED_PREFIX_BYTES ? text.n : CACHED_PREFIX_BYTES;
    if (text.n >= CACHED_PREFIX_BYTES &&
        lookup_prefix(mg_hash((mg_str){text.p, prefix_len}))) {
        s->prefill_left /= 5;
    }
    init_list_head(&s->link);
    list_add_tail(&s->link, &g.queued);
    g.queued_count++;
    HASH_ADD_STR(g.streams, id, s);
    bool fail = (int)mg_rng_below(&g.rng, 100) < opt.fail_percent &&
                (opt.fail_path[0] == '\0' ||
                 mg_str_is(mg_http_path(http), opt.fail_path));
    if (fail) {
        s->http = http;
        fail_stream(s);
        g.queued_count--;
        free_stream(s);
    }
    else {
        attach_client(s, http, 0);
    }
    mg_buf_free(&text);
    json_decref(tree);
}

struct service_request {
    uv_timer_t timer;
    mg_http_req *http;
    char id[64];
};

static void
on_service_disconnect(void *user)
{
    ((struct service_request *)user)->http = NULL;
}

static void
on_service_closed(uv_handle_t *h)
{
    free(h->data);
}

static void
on_service_timer(uv_timer_t *t)
{
    struct service_request *r = t->data;
    char out[128];
    snprintf(out, sizeof(out), "{\"done\":\"%s\"}", r->id);
    if (r->http != NULL) {
        mg_http_on_disconnect(r->http, NULL, NULL);
        mg_http_reply(r->http, 200, "application/json", NULL, mg_str_of(out));
    }
    uv_close((uv_handle_t *)t, on_service_closed);
}

static void
start_service_request(mg_http_req *http, mg_str id)
{
    struct service_request *r = mg_alloc(sizeof(*r));
    mg_str_copy(r->id, sizeof(r->id), id);
    r->http = http;
    mg_http_on_disconnect(http, on_service_disconnect, r);
    uv_timer_init(g.loop, &r->timer);
    r->timer.data = r;
    uv_timer_start(&r->timer, on_service_timer, (uint64_t)opt.service_ms, 0);
}

static void
on_stream_request(mg_http_req *http)
{
    mg_str path = mg_http_path(http);
    char id[64];
    size_t prefix_len = strlen("/v1/streams/");
    mg_str_copy(id, sizeof(id),
                (mg_str){path.p + prefix_len, path.n - prefix_len});
    struct stream *s;
    HASH_FIND_STR(g.streams, id, s);
    if (s == NULL) {
        mg_http_reply(http, 404, "application/json", NULL,
                      mg_str_of("{\"error\":\"no such stream\"}"));
        return;
    }
    if (mg_str_is(mg_http_method(http), "DELETE")) {
        if (!s->finished) {
            struct list_head *el = &s->link;
            bool queued = false;
            list_for_each(q, &g.queued)
            {
                queued = queued || q == el;
            }
            g.running_count -= !queued;
            g.queued_count -= queued;
        }
        free_stream(s);
        mg_http_reply(http, 200, "application/json", NULL, mg_str_of("{}"));
        return;
    }
    mg_str query = mg_http_query(http);
    uint64_t offset = 0;
    if (query.n > 7 && query.n < 30 && memcmp(query.p, "offset=", 7) == 0) {
        char number[32];
        mg_str_copy(number, sizeof(number),
                    (mg_str){query.p + 7, query.n - 7});
        offset = strtoull(number, NULL, 10);
    }
    detach_client(s);
    if (s->finished) {
        mg_str rest = {s->out.p + offset, s->out.n - offset};
        mg_http_reply(http, 200,
                      s->sse ? "text/event-stream" : "application/json", NULL,
                      rest);
    }
    else {
        attach_client(s, http, offset);
    }
}

static void
on_request(void *user, mg_http_req *http)
{
    (void)user;
    mg_str path = mg_http_path(http);
    if (path.n > 12 && memcmp(path.p, "/v1/streams/", 12) == 0) {
        on_stream_request(http);
        return;
    }
    char id[64];
    char epoch[32];
    mg_str_copy(id, sizeof(id), mg_http_header(http, "x-request-id"));
    mg_str_copy(epoch, sizeof(epoch), mg_http_header(http, "x-target-epoch"));
    if (!opt.ignore_epoch && strtoull(epoch, NULL, 10) != g.epoch) {
        mg_http_reply(http, 409, "application/json", "x-not-run: epoch\n",
                      mg_str_of("{\"error\":\"other epoch\"}"));
        return;
    }
    journal_execution(id, mg_http_header(http, "idempotency-key"),
                      mg_http_body(http));
    if (opt.service) {
        start_service_request(http, mg_str_of(id));
    }
    else {
        start_completion(http, mg_str_of(id));
    }
}

/* -------------------------------------------------------- announcements */

static void
on_announce_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)type;
    (void)not_run;
    *(int *)user = status;
}

static void
on_announce_data(void *user, mg_str data)
{
    (void)user;
    (void)data;
}

static void
on_announce_end(void *user, mg_http_result result, const char *why)
{
    (void)why;
    int *status = user;
    if (result != MG_HTTP_COMPLETE || *status != 200) {
        g.entry_index++;
    }
    else if (g.draining && g.running_count + g.queued_count == 0) {
        uv_stop(g.loop);
    }
    free(status);
}

/* Reads the newest load sample that is at least lag_ms old. */
static void
read_lagged_load(int *running, int *queued)
{
    int64_t cutoff_ms = now_ms() - opt.lag_ms;
    *running = 0;
    *queued = 0;
    for (int i = 0; i < LOAD_HISTORY; i++) {
        int k = (g.load_next + i) % LOAD_HISTORY;
        if (g.load[k].at_ms != 0 && g.load[k].at_ms <= cutoff_ms) {
            *running = g.load[k].running;
            *queued = g.load[k].queued;
        }
    }
}

static void
on_announce(uv_timer_t *t)
{
    (void)t;
    int running;
    int queued;
    int k = g.load_next++ % LOAD_HISTORY;
    g.load[k].at_ms = now_ms();
    g.load[k].running = g.running_count;
    g.load[k].queued = g.queued_count;
    read_lagged_load(&running, &queued);
    char extra[128];
    snprintf(extra, sizeof(extra), "x-target-key: %s\r\n", opt.key);
    json_t *body = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:b,s:i,s:i,s:i}", "pool", opt.pool,
        "target", opt.name, "addr", opt.public_addr, "version", opt.version,
        "domain", opt.domain, "epoch", (json_int_t)g.epoch, "slots", opt.slots,
        "leaving", g.draining, "running", running, "queued", queued,
        "report_age_ms", opt.lag_ms);
    char *text = json_dumps(body, JSON_COMPACT);
    int *status = mg_alloc(sizeof(*status));
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = g.loop,
        .addr = opt.entries[g.entry_index % opt.entry_count],
        .method = "POST",
        .path = "/v1/targets/announce",
        .extra_headers = extra,
        .body = mg_str_of(text),
        .connect_timeout_ms = 300,
        .read_timeout_ms = 1500,
        .on_headers = on_announce_headers,
        .on_data = on_announce_data,
        .on_end = on_announce_end,
        .user = status,
    });
    free(text);
    json_decref(body);
}

static void
on_term(uv_signal_t *h, int signum)
{
    (void)h;
    (void)signum;
    g.draining = true;
    on_announce(NULL);
}

/* ------------------------------------------------------------------ main */

static void
split_entries(char *list)
{
    for (char *e = strtok(list, ",");
         e != NULL && opt.entry_count < ENTRIES_MAX; e = strtok(NULL, ",")) {
        opt.entries[opt.entry_count++] = e;
    }
}

static int
parse_args(int argc, char **argv)
{
    struct arg_str *name =
        arg_str1(NULL, "name", "NAME", "name of the target");
    struct arg_str *pool = arg_str1(NULL, "pool", "POOL", "pool it serves");
    struct arg_str *version =
        arg_str0(NULL, "version", "V", "version it runs");
    struct arg_str *domain = arg_str0(NULL, "domain", "D", "failure domain");
    struct arg_str *addr =
        arg_str1(NULL, "addr", "IP:PORT", "address to listen on");
    struct arg_str *public = arg_str0(NULL, "public-addr", "IP:PORT",
                                      "address to announce (default: --addr)");
    struct arg_str *entries = arg_str1(
        NULL, "entries", "LIST", "addresses of the entries, comma-separated");
    struct arg_str *key = arg_str0(NULL, "key", "KEY", "target key");
    struct arg_str *crash = arg_str0(NULL, "crash-on", "TEXT",
                                     "crash on a prompt that contains TEXT");
    struct arg_str *route = arg_str0(NULL, "bad-route", "PATH",
                                     "limit --fail to requests of PATH");
    struct arg_file *journal =
        arg_file0(NULL, "journal", "FILE", "append executions to FILE");
    struct arg_lit *service =
        arg_lit0(NULL, "service", "act as a plain service");
    struct arg_lit *ignore =
        arg_lit0(NULL, "ignore-epoch", "accept requests for any target epoch");
    struct arg_int *slots = arg_int0(NULL, "slots", "N", "maximum batch size");
    struct arg_int *prefill =
        arg_int0(NULL, "prefill-us", "US", "prefill time per token");
    struct arg_int *gap =
        arg_int0(NULL, "gap-us", "US", "base duration of a step");
    struct arg_int *batch =
        arg_int0(NULL, "batch-us", "US", "step time per running request");
    struct arg_int *ms =
        arg_int0(NULL, "service-ms", "MS", "time to serve a request");
    struct arg_int *cache =
        arg_int0(NULL, "cache", "N", "capacity of the prefix cache");
    struct arg_int *lag =
        arg_int0(NULL, "lag-ms", "MS", "delay of load reports");
    struct arg_int *fail =
        arg_int0(NULL, "fail", "PERCENT", "requests that fail");
    struct arg_int *slow =
        arg_int0(NULL, "slow-above", "N",
                 "triple the step time above N running requests");
    struct arg_end *end = arg_end(8);
    void *table[] = {public,  name,  pool,    version, domain,  addr,
                     entries, key,   crash,   route,   journal, service,
                     ignore,  slots, prefill, gap,     batch,   ms,
                     cache,   lag,   fail,    slow,    end};
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return 2;
    }
    opt.name = strdup(name->sval[0]);
    opt.pool = strdup(pool->sval[0]);
    opt.version = strdup(version->count ? version->sval[0] : "v1");
    opt.domain = strdup(domain->count ? domain->sval[0] : "d1");
    opt.addr = strdup(addr->sval[0]);
    opt.public_addr = public->count ? strdup(public->sval[0]) : opt.addr;
    opt.key = strdup(key->count ? key->sval[0] : "");
    opt.crash_on = strdup(crash->count ? crash->sval[0] : "");
    opt.fail_path = strdup(route->count ? route->sval[0] : "");
    opt.service = service->count > 0;
    opt.ignore_epoch = ignore->count > 0;
    opt.slots = slots->count ? slots->ival[0] : 8;
    opt.prefill_us = prefill->count ? prefill->ival[0] : 20;
    opt.step_us = gap->count ? gap->ival[0] : 2000;
    opt.per_request_us = batch->count ? batch->ival[0] : 50;
    opt.service_ms = ms->count ? ms->ival[0] : 5;
    opt.cache_size = cache->count ? cache->ival[0] : 32;
    opt.lag_ms = lag->count ? lag->ival[0] : 2000;
    opt.fail_percent = fail->count ? fail->ival[0] : 0;
    opt.slow_above = slow->count ? slow->ival[0] : 0;
    g.journal_fd = -1;
    if (journal->count) {
        g.journal_fd = open(journal->filename[0],
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
    split_entries(strdup(entries->sval[0]));
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}

int
main(int argc, char **argv)
{
    mg_error err;
    uv_signal_t term;
    signal(SIGPIPE, SIG_IGN);
    int rc = parse_args(argc, argv);
    if (rc != 0) {
        return rc;
    }
    g.loop = uv_default_loop();
    g.epoch = (uint64_t)mg_wall(mg_system_clock());
    g.prefix_cache = mg_alloc(sizeof(uint64_t) * (size_t)(opt.cache_size + 1));
    mg_rng_init(&g.rng, mg_hash(mg_str_of(opt.name)));
    init_list_head(&g.running);
    init_list_head(&g.queued);
    init_list_head(&g.finished);
    if (mg_http_open(&g.http,
                     &(mg_http_options){
                         .loop = g.loop,
                         .listen_addr = opt.addr,
                         .limits = {.body_max = 8 << 20},
                         .on_request = on_request,
                     },
                     &err) != MG_OK) {
        fprintf(stderr, "fake-engine: %s\n", err.text);
        return 1;
    }
    uv_timer_init(g.loop, &g.step);
    uv_timer_init(g.loop, &g.announce);
    uv_timer_start(&g.step, on_step, 1, 0);
    uv_timer_start(&g.announce, on_announce, 1, ANNOUNCE_INTERVAL_MS);
    uv_signal_init(g.loop, &term);
    uv_signal_start(&term, on_term, SIGTERM);
    uv_run(g.loop, UV_RUN_DEFAULT);
    return 0;
}
