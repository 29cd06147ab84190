/*
 * marigold-load - sends a seeded workload and reports the outcomes
 *
 * It behaves as a careful client: it gets the list of addresses from the
 * entries and caches it for its TTL, retries a keyed request without an
 * outcome under the same key, and one without a key only when nothing of it
 * was sent. Each response is checked against its request: the text of the
 * fake engine is a function of the prompt.
 *
 * Exit codes: 0, 1 if a response was missing, truncated or of another
 * request, 2 usage.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <jansson.h>
#include <uv.h>

#include "base/list.h"
#include "report.h"
#include "wire/http.h"
#include "workload.h"

#define ADDRS_MAX 64
#define ATTEMPTS_MAX 40
#define RETRY_DELAY_MS 150
#define GRACE_MS 8000 /* after the deadline */
#define TICK_MS 5

/* a client request with all its attempts */
struct job {
    struct list_head link; /* in g.retrying */
    mg_arrival a;
    char key[64];
    mg_buf body;
    uint64_t prompt_hash;
    uint64_t body_hash;
    int attempts;
    int64_t retry_at_ms;
    int64_t deadline_at_ms;
    uint64_t started_us;
    uint64_t first_us; /* first response byte, 0: none yet */
    uint64_t last_us;
    int status;
    bool sent; /* some attempt got a connection */
    mg_buf response;
    mg_http_client_req *req;
};

static struct {
    uv_loop_t *loop;
    uv_timer_t timer;
    mg_workload *workload;
    mg_workload_options wopts;
    mg_report report;
    mg_arrival next; /* valid if has_next */
    bool has_next;
    int64_t start_ms;
    size_t open_jobs;
    struct list_head retrying;
    char *seed_addrs[ADDRS_MAX]; /* of --entries */
    int seed_addr_count;
    char addrs[ADDRS_MAX][64];
    int addr_count;
    int64_t addrs_expire_ms;
    bool addrs_pending;
    int seed_index; /* next of seed_addrs to ask, modulo seed_addr_count */
    mg_buf addrs_body;
    int addrs_status;
    uint32_t addr_index; /* round robin over addrs */
    FILE *results;
    bool verbose;
    double deadline_scale;
} g;

static int64_t
now_ms(void)
{
    return mg_now(mg_system_clock());
}

/* ------------------------------------------------------------ addresses */

static void
on_addrs_head(void *user, int status, mg_str type, bool not_run)
{
    (void)user;
    (void)type;
    (void)not_run;
    g.addrs_status = status;
}

static void
on_addrs_data(void *user, mg_str data)
{
    (void)user;
    mg_buf_put(&g.addrs_body, data.p, data.n);
}

static void
parse_addrs(void)
{
    json_t *j = json_loadb(g.addrs_body.p, g.addrs_body.n, 0, NULL);
    json_t *list = json_object_get(j, "entries");
    size_t i;
    json_t *e;
    if (json_array_size(list) > 0) {
        g.addr_count = 0;
    }
    json_array_foreach(list, i, e)
    {
        const char *addr = json_string_value(json_object_get(e, "addr"));
        if (addr != NULL && g.addr_count < ADDRS_MAX) {
            snprintf(g.addrs[g.addr_count++], sizeof(g.addrs[0]), "%s", addr);
        }
    }
    g.addrs_expire_ms =
        now_ms() + json_integer_value(json_object_get(j, "ttl_ms"));
    json_decref(j);
}

static void
on_addrs_end(void *user, mg_http_result end, const char *why)
{
    (void)user;
    (void)why;
    g.addrs_pending = false;
    if (end == MG_HTTP_COMPLETE && g.addrs_status == 200) {
        parse_addrs();
    }
    else {
        g.addrs_expire_ms = now_ms() + 50;
    }
    g.seed_index++;
}

static void
refresh_addrs(void)
{
    if (g.addrs_pending || now_ms() < g.addrs_expire_ms) {
        return;
    }
    g.addrs_pending = true;
    g.addrs_body.n = 0;
    g.addrs_status = 0;
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = g.loop,
        .addr = g.seed_addrs[g.seed_index % g.seed_addr_count],
        .method = "GET",
        .path = "/v1/entries",
        .connect_timeout_ms = 300,
        .read_timeout_ms = 1000,
        .on_headers = on_addrs_head,
        .on_data = on_addrs_data,
        .on_end = on_addrs_end,
    });
}

/* -------------------------------------------------------------- results */

static void
finish_job(struct job *j, mg_result result)
{
    uint64_t now = uv_hrtime() / 1000;
    mg_tier_report *t = &g.report.tiers[j->a.client->tier];
    bool complete = result == MG_RESULT_GOOD || result == MG_RESULT_LATE;
    t->results[result]++;
    if (complete && !j->a.service) {
        mg_histogram_add(&t->total_us, (int64_t)(now - j->started_us));
        if (j->a.stream && j->first_us != 0) {
            mg_histogram_add(&t->first_us,
                             (int64_t)(j->first_us - j->started_us));
            if (j->a.decode_tokens > 1) {
                mg_histogram_add(&t->gap_us,
                                 (int64_t)((j->last_us - j->first_us) /
                                           (j->a.decode_tokens - 1)));
            }
        }
    }
    if (g.results != NULL) {
        fprintf(g.results, "%016" PRIx64 " %s %u %s %d %d\n", j->body_hash,
                j->key[0] ? j->key : "-", j->a.client->tier,
                mg_result_name(result), j->attempts, j->status);
    }
    if (g.verbose) {
        printf("%u tier=%u workspace=%s %s status=%d bytes=%zu\n", j->a.number,
               j->a.client->tier, j->a.client->workspace,
               mg_result_name(result), j->status, j->response.n);
    }
    mg_buf_free(&j->body);
    mg_buf_free(&j->response);
    free(j);
    g.open_jobs--;
}

static void
schedule_retry(struct job *j)
{
    j->retry_at_ms = now_ms() + RETRY_DELAY_MS;
    j->response.n = 0;
    j->first_us = 0;
    list_add_tail(&j->link, &g.retrying);
}

/* whether the response has, in order, all words that the fake engine sends
   for this prompt (they contain its hash) */
static bool
text_matches_prompt(const struct job *j)
{
    mg_buf text = {0};
    mg_buf_put(&text, j->response.p, j->response.n);
    mg_buf_put(&text, "", 1);
    char *at = text.p;
    bool matches = true;
    for (uint32_t i = 0; i < j->a.decode_tokens && matches; i++) {
        char word[64];
        snprintf(word, sizeof(word), "w%u-%08x ", i, (unsigned)j->prompt_hash);
        at = strstr(at, word);
        matches = at != NULL;
    }
    mg_buf_free(&text);
    return matches;
}

/* copies error.ran of the body; false for a body without it */
static bool
parse_error_ran(const struct job *j, char *ran, size_t size)
{
    json_t *t =
        json_loadb(j->response.p ? j->response.p : "", j->response.n, 0, NULL);
    json_t *e = json_object_get(t, "error");
    const char *r = json_string_value(json_object_get(e, "ran"));
    bool found = r != NULL;
    snprintf(ran, size, "%s", found ? r : "");
    json_decref(t);
    return found;
}

static bool
may_retry(const struct job *j)
{
    return j->attempts < ATTEMPTS_MAX &&
           now_ms() < j->deadline_at_ms + GRACE_MS;
}

static void
on_complete_response(struct job *j)
{
    char ran[16];
    if (j->status == 200) {
        bool matches = j->a.service || text_matches_prompt(j);
        bool late = now_ms() > j->deadline_at_ms;
        if (!matches) {
            fprintf(stderr,
                    "wrong response: request %u key %s decode %u "
                    "attempts %d: %.*s\n",
                    j->a.number, j->key, j->a.decode_tokens, j->attempts,
                    (int)(j->response.n < 400 ? j->response.n : 400),
                    j->response.p);
        }
        finish_job(j, !matches ? MG_RESULT_WRONG
                      : late   ? MG_RESULT_LATE
                               : MG_RESULT_GOOD);
        return;
    }
    if (!parse_error_ran(j, ran, sizeof(ran))) {
        finish_job(j, MG_RESULT_FAILED);
        return;
    }
    bool retryable = j->status == 503 || j->status == 502 || j->status == 409;
    if (strcmp(ran, "no") == 0) {
        /* not executed: another entry may accept it */
        if (j->status == 503 && now_ms() < j->deadline_at_ms && may_retry(j)) {
            schedule_retry(j);
            return;
        }
        finish_job(j, MG_RESULT_REFUSED);
    }
    else if (j->a.keyed && retryable && j->attempts < 3 && may_retry(j)) {
        schedule_retry(j);
    }
    else {
        finish_job(j, MG_RESULT_UNKNOWN);
    }
}

/* true for a stream that ended with a typed error */
static bool
has_error_event(struct job *j)
{
    mg_buf_put(&j->response, "", 1);
    j->response.n--;
    return j->a.stream && strstr(j->response.p, "event: error\n") != NULL;
}

static void
on_end(void *user, mg_http_result end, const char *why)
{
    struct job *j = user;
    (void)why;
    j->req = NULL;
    if (end == MG_HTTP_COMPLETE) {
        on_complete_response(j);
    }
    else if (has_error_event(j)) {
        finish_job(j, MG_RESULT_UNKNOWN);
    }
    else if ((end == MG_HTTP_NOT_SENT || j->a.keyed) && may_retry(j)) {
        schedule_retry(j);
    }
    else if (end == MG_HTTP_NOT_SENT && !j->sent) {
        finish_job(j, MG_RESULT_MISSING);
    }
    else {
        finish_job(j, MG_RESULT_TRUNCATED);
    }
}

/* ------------------------------------------------------------- requests */

static bool
on_connected(void *user)
{
    ((struct job *)user)->sent = true;
    return true;
}

static void
on_head(void *user, int status, mg_str type, bool not_run)
{
    (void)type;
    (void)not_run;
    ((struct job *)user)->status = status;
}

static void
on_data(void *user, mg_str data)
{
    struct job *j = user;
    uint64_t now = uv_hrtime() / 1000;
    if (j->first_us == 0) {
        j->first_us = now;
    }
    j->last_us = now;
    mg_buf_put(&j->response, data.p, data.n);
}

static void
send_job(struct job *j)
{
    char extra[512];
    char path[128] = "/v1/chat/completions";
    if (g.addr_count == 0) {
        schedule_retry(j);
        return;
    }
    if (j->a.service) {
        snprintf(path, sizeof(path), "/v1/services/%s/order",
                 g.wopts.profile->service);
    }
    int64_t left = j->deadline_at_ms - now_ms();
    snprintf(extra, sizeof(extra),
             "content-type: application/json\r\n"
             "authorization: Bearer demo-key-%s\r\n"
             "x-deadline-ms: %" PRId64 "\r\n%s%s%s",
             j->a.client->workspace, left > 500 ? left : 500,
             j->key[0] ? "idempotency-key: " : "", j->key,
             j->key[0] ? "\r\n" : "");
    j->attempts++;
    j->status = 0;
    j->req = mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = g.loop,
        .addr = g.addrs[g.addr_index++ % (uint32_t)g.addr_count],
        .method = "POST",
        .path = path,
        .extra_headers = extra,
        .body = mg_str_buf(&j->body),
        .connect_timeout_ms = 500,
        .read_timeout_ms = (left > 0 ? left : 0) + GRACE_MS,
        .on_connected = on_connected,
        .on_headers = on_head,
        .on_data = on_data,
        .on_end = on_end,
        .user = j,
    });
}

static void
build_body(struct job *j)
{
    mg_buf text = {0};
    mg_workload_prompt(g.workload, &j->a, &text);
    j->prompt_hash = mg_hash(mg_str_buf(&text));
    json_t *body;
    if (j->a.service) {
        body = json_pack("{s:i, s:s%}", "order", (int)j->a.number, "text",
                         text.p, text.n);
    }
    else {
        body = json_pack("{s:s, s:b, s:i, s:[{s:s, s:s%}]}", "model",
                         g.wopts.profile->model, "stream", j->a.stream,
                         "max_tokens", (int)j->a.decode_tokens, "messages",
                         "role", "user", "content", text.p, text.n);
    }
    char *out = json_dumps(body, JSON_COMPACT);
    mg_buf_put(&j->body, out, strlen(out));
    free(out);
    json_decref(body);
    mg_buf_free(&text);
    j->body_hash = mg_hash(mg_str_buf(&j->body));
}

static void
start_job(void)
{
    struct job *j = mg_alloc(sizeof(*j));
    j->a = g.next;
    init_list_head(&j->link);
    build_body(j);
    if (j->a.keyed) {
        snprintf(j->key, sizeof(j->key), "load-%" PRIu64 "-%u", g.wopts.seed,
                 j->a.number);
    }
    j->deadline_at_ms = now_ms() + (int64_t)((double)j->a.client->deadline_ms *
                                             g.deadline_scale);
    j->started_us = uv_hrtime() / 1000;
    g.report.tiers[j->a.client->tier].offered++;
    g.open_jobs++;
    send_job(j);
}

static void
on_tick(uv_timer_t *t)
{
    (void)t;
    int64_t now = now_ms();
    refresh_addrs();
    if (g.start_ms == 0) {
        if (g.addr_count == 0) {
            return;
        }
        g.start_ms = now;
    }
    while (g.has_next && g.start_ms + g.next.at_ms <= now) {
        start_job();
        g.has_next = mg_workload_next(g.workload, &g.next);
    }
    list_for_each_safe(el, el1, &g.retrying)
    {
        struct job *j = list_entry(el, struct job, link);
        if (now >= j->retry_at_ms) {
            list_del(&j->link);
            if (now > j->deadline_at_ms + GRACE_MS) {
                finish_job(j, MG_RESULT_MISSING);
            }
            else {
                send_job(j);
            }
        }
    }
    if (!g.has_next && g.open_jobs == 0) {
        g.report.seconds = (double)(now - g.start_ms) / 1000.0;
        uv_stop(g.loop);
    }
}

/* ----------------------------------------------------------------- main */

static void
split_seed_addrs(char *list)
{
    for (char *a = strtok(list, ",");
         a != NULL && g.seed_addr_count < ADDRS_MAX; a = strtok(NULL, ",")) {
        g.seed_addrs[g.seed_addr_count++] = a;
    }
}

static int
read_args(int argc, char **argv, char **json_file)
{
    struct arg_str *entries = arg_str1(
        "e", "entries", "LIST", "entries to query first, separated by commas");
    struct arg_str *profile =
        arg_str0("p", "profile", "NAME", "hanbit (default) or kyushu");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "seed of the arrivals (1)");
    struct arg_dbl *rate =
        arg_dbl0("r", "rate", "N", "arrivals per second (20)");
    struct arg_dbl *secs =
        arg_dbl0("s", "seconds", "S", "duration of the arrivals (5)");
    struct arg_dbl *keyed = arg_dbl0(
        NULL, "keyed", "PART", "fraction of model requests with a key (0.5)");
    struct arg_int *dmin =
        arg_int0(NULL, "decode-min", "N", "least output tokens (4)");
    struct arg_int *dmax =
        arg_int0(NULL, "decode-max", "N", "most output tokens (400)");
    struct arg_int *pmin =
        arg_int0(NULL, "prompt-min", "N", "least prompt bytes (100)");
    struct arg_int *pmax =
        arg_int0(NULL, "prompt-max", "N", "most prompt bytes (10000)");
    struct arg_file *results =
        arg_file0(NULL, "results", "FILE", "write a line per request");
    struct arg_file *json =
        arg_file0(NULL, "json", "FILE", "write the report as JSON");
    struct arg_dbl *scale = arg_dbl0(NULL, "deadline-scale", "X",
                                     "factor applied to the deadlines (1)");
    struct arg_lit *verbose = arg_lit0("v", "verbose", "print each request");
    struct arg_end *end = arg_end(8);
    void *table[] = {scale, entries, profile, seed,    rate,
                     secs,  keyed,   dmin,    dmax,    pmin,
                     pmax,  results, json,    verbose, end};
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    g.wopts = (mg_workload_options){
        .profile =
            mg_profile_find(profile->count ? profile->sval[0] : "hanbit"),
        .seed = (uint64_t)(seed->count ? seed->ival[0] : 1),
        .rate = rate->count ? rate->dval[0] : 20,
        .duration_ms = (int64_t)(secs->count ? secs->dval[0] * 1000 : 5000),
        .keyed_fraction = keyed->count ? keyed->dval[0] : 0.5,
        .decode_min = (uint32_t)(dmin->count ? dmin->ival[0] : 4),
        .decode_max = (uint32_t)(dmax->count ? dmax->ival[0] : 400),
        .prompt_min = (uint32_t)(pmin->count ? pmin->ival[0] : 100),
        .prompt_max = (uint32_t)(pmax->count ? pmax->ival[0] : 10000),
    };
    if (g.wopts.profile == NULL || g.wopts.rate <= 0) {
        fprintf(stderr,
                "marigold-load: unknown profile, or rate not positive\n");
        return 2;
    }
    split_seed_addrs(strdup(entries->sval[0]));
    g.results = results->count ? fopen(results->filename[0], "we") : NULL;
    *json_file = json->count ? strdup(json->filename[0]) : NULL;
    g.verbose = verbose->count > 0;
    g.deadline_scale = scale->count ? scale->dval[0] : 1;
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}

int
main(int argc, char **argv)
{
    char *json_file = NULL;
    signal(SIGPIPE, SIG_IGN);
    int rc = read_args(argc, argv, &json_file);
    if (rc != 0) {
        return rc;
    }
    g.loop = uv_default_loop();
    init_list_head(&g.retrying);
    g.workload = mg_workload_new(&g.wopts);
    g.has_next = mg_workload_next(g.workload, &g.next);
    uv_timer_init(g.loop, &g.timer);
    uv_timer_start(&g.timer, on_tick, 1, TICK_MS);
    uv_run(g.loop, UV_RUN_DEFAULT);
    mg_report_print(&g.report, stdout);
    if (json_file != NULL) {
        FILE *f = fopen(json_file, "we");
        if (f != NULL) {
            mg_report_json(&g.report, f);
            fclose(f);
        }
    }
    if (g.results != NULL) {
        fclose(g.results);
    }
    uint64_t faults = mg_report_fault_count(&g.report);
    if (faults > 0) {
        fprintf(stderr,
                "marigold-load: %" PRIu64
                " responses missing, truncated or wrong\n",
                faults);
    }
    return faults > 0;
}
