#include "world.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

#define TARGET_CONNS_MAX 512
#define HEARTBEAT_MS 700
#define SLOTS 40
#define CONTROL_TRIES 3
#define BROKEN_PRINTED_MAX 20
/* a request of which more is unread may be answered before it is read */
#define EARLY_BYTES_MIN (64u << 10)
#define EARLY_SHARE 0.3
#define EARLY_BREAK_SHARE 0.8 /* where the answer is broken off */
/* of the whole answers that targets sent in a framing, those that clients must
   get, and how many of them a run has at least */
#define ARRIVE_SHARE 0.9
#define ARRIVE_MIN 20

typedef struct target {
    char addr[SOAK_ADDR_SIZE];
    char id[32];
    int64_t started_ms;
    unsigned run;
    int64_t down_until_ms;
    pthread_mutex_t lock;
    int fds[TARGET_CONNS_MAX]; /* 0: free */
} target;

/* one connection to a target */
typedef struct served_conn {
    soak_conn conn;
    soak_message m;
    target *t;
    unsigned run;
    soak_answer answer; /* that is written next */
    soak_run *ended_by; /* the answer that ends the connection; NULL: none */
} served_conn;

soak_doses soak_dose = {.work_ms = 5};
soak_break soak_breaks[SOAK_BREAKS_MAX];
soak_attempt *soak_attempts;
static unsigned attempt_count = 1;
static int64_t start_ms;
static target targets[SOAK_TARGETS_MAX];
static int target_count;
static char (*control_addrs)[SOAK_ADDR_SIZE];
static int control_addr_count;

void
soak_log(const char *format, ...)
{
    char text[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    int64_t ms = soak_now_ms() - start_ms;
    printf("%3d.%03d %s\n", (int)(ms / 1000), (int)(ms % 1000), text);
    fflush(stdout);
}

void
soak_open_record(void)
{
    start_ms = soak_now_ms();
    soak_attempts = calloc(SOAK_ATTEMPTS_MAX, sizeof(*soak_attempts));
}

unsigned
soak_new_attempt(const soak_kind *kind)
{
    unsigned n = __atomic_fetch_add(&attempt_count, 1, __ATOMIC_RELAXED);
    if (n >= SOAK_ATTEMPTS_MAX) {
        return 0;
    }
    soak_attempts[n].kind = kind;
    soak_attempts[n].sent_ms = soak_now_ms();
    return n;
}

double
soak_draw(void)
{
    static __thread unsigned short state[3];
    static unsigned next;
    if (state[0] == 0) {
        state[0] = 1;
        state[1] =
            (unsigned short)__atomic_add_fetch(&next, 1, __ATOMIC_RELAXED);
    }
    return erand48(state);
}

/* ------------------------------------------------------------- targets */

/* Draws whether a target breaks off its next answer, and how. */
static void
draw_break(served_conn *c)
{
    soak_answer *answer = &c->answer;
    soak_break *b = &answer->fault;
    answer->is_cut = false;
    for (int i = 0; i < SOAK_BREAKS_MAX && !answer->is_cut; i++) {
        *b = soak_breaks[i];
        bool is_here = b->target < 0 || b->target == (int)(c->t - targets);
        answer->is_cut =
            soak_now_ms() < b->until_ms && is_here && soak_draw() < b->share;
    }
}

/* Writes an answer that has a body as its attempt's; returns false to close
   the connection. */
static bool
respond_whole(served_conn *c, unsigned n, unsigned run, char *last)
{
    char after[32];
    soak_attempt *a = &soak_attempts[n];
    unsigned place = run < SOAK_RUNS_MAX ? run : SOAK_RUNS_MAX - 1;
    soak_header(&c->m, "last-event-id", after, sizeof(after));
    c->answer.attempt = n;
    c->answer.run = run;
    c->answer.is_stream = a->kind->is_stream;
    c->answer.after = (unsigned)strtoul(after, NULL, 10);
    c->answer.copy = last;
    c->ended_by = &a->answers[place];
    return soak_write_answer(&c->conn, &c->answer, c->ended_by);
}

static bool
respond_failed(served_conn *c, unsigned n, const char *head, char *last)
{
    snprintf(last, SOAK_BYTES_MAX,
             "HTTP/1.1 %s\r\nMarigoldgw-Attempt-Id: %016x\r\n"
             "Content-Length: 16\r\n\r\n%016x",
             head, n, n);
    return soak_write(c->conn.fd, last, strlen(last));
}

/* Writes the response to one request; returns false to close the connection.
 */
static bool
respond(served_conn *c, unsigned n, char *last)
{
    char head[80];
    soak_attempt *a = &soak_attempts[n];
    if (soak_draw() < soak_dose.refused) {
        __atomic_fetch_add(&a->refusals, 1, __ATOMIC_RELAXED);
        return respond_failed(c, n, "503 Full\r\nMarigoldgw-Not-Executed: 1",
                              last);
    }
    unsigned run = __atomic_fetch_add(&a->runs, 1, __ATOMIC_RELAXED);
    if (run == 0) {
        a->ran_ms = soak_now_ms();
    }
    soak_sleep_ms(soak_dose.work_ms);
    if (soak_draw() < soak_dose.lost) {
        return false;
    }
    if (soak_draw() >= soak_dose.failed) {
        return respond_whole(c, n, run, last);
    }
    snprintf(head, sizeof(head),
             "500 Error\r\nMarigoldgw-Response-Seal: seal-%016x", n);
    return respond_failed(c, n, head, last);
}

/* Reads a request, some long ones not to their end; returns its attempt, or 0
   if there is none. */
static unsigned
read_request(served_conn *c)
{
    char text[64];
    if (!soak_drain(&c->conn, &c->answer.unread) ||
        !soak_read_head(&c->conn, &c->m)) {
        return 0;
    }
    soak_header(&c->m, "content-length", text, sizeof(text));
    c->answer.unread = strtoul(text, NULL, 10);
    draw_break(c);
    double early = c->answer.is_cut ? EARLY_BREAK_SHARE : EARLY_SHARE;
    if ((c->answer.unread < EARLY_BYTES_MIN || soak_draw() >= early) &&
        !soak_drain(&c->conn, &c->answer.unread)) {
        return 0;
    }
    soak_header(&c->m, "marigoldgw-attempt-id", text, sizeof(text));
    unsigned n = (unsigned)strtoul(text, NULL, 16);
    if (n == 0 || n >= SOAK_ATTEMPTS_MAX) {
        soak_log("a target gets a request without an id");
        return 0;
    }
    return n;
}

/* Writes a copy of an earlier response; "": there is none. */
static bool
write_late(served_conn *c, unsigned n, char *late)
{
    char id[32];
    snprintf(id, sizeof(id), "%016x", n);
    if (strstr(late, id) != NULL) {
        __atomic_fetch_add(&soak_attempts[n].copies, 1, __ATOMIC_RELAXED);
    }
    bool is_written = soak_write(c->conn.fd, late, strlen(late));
    late[0] = '\0';
    return is_written;
}

static void
serve_requests(served_conn *c)
{
    char last[SOAK_BYTES_MAX];
    char late[SOAK_BYTES_MAX] = "";
    unsigned n;
    while (c->run == c->t->run && (n = read_request(c)) != 0) {
        c->ended_by = NULL;
        if (!write_late(c, n, late) || !respond(c, n, last)) {
            return;
        }
        if (soak_draw() < soak_dose.copied_late) {
            strcpy(late, last);
        }
    }
}

/* Enters or removes a connection's descriptor; returns its place or -1. */
static int
note_fd(target *t, int fd)
{
    int place = -1;
    pthread_mutex_lock(&t->lock);
    for (int i = 0; i < TARGET_CONNS_MAX && place < 0; i++) {
        if (t->fds[i] == 0) {
            t->fds[i] = fd;
            place = i;
        }
    }
    pthread_mutex_unlock(&t->lock);
    return place;
}

static void *
serve(void *arg)
{
    served_conn *c = arg;
    target *t = c->t;
    int place = note_fd(t, c->conn.fd);
    if (place >= 0) {
        serve_requests(c);
        pthread_mutex_lock(&t->lock);
        t->fds[place] = 0;
        if (c->ended_by != NULL && c->run != t->run) {
            /* by a crash, which is a FIN wherever the answer was */
            soak_run *r = c->ended_by;
            r->way = SOAK_FIN;
            r->place = SOAK_AT_CRASH;
            r->state = r->state == SOAK_WHOLE ? SOAK_WHOLE : SOAK_BROKEN;
        }
        soak_close(&c->conn);
        pthread_mutex_unlock(&t->lock);
    }
    soak_close(&c->conn);
    free(c);
    return NULL;
}

static void *
accept_all(void *arg)
{
    target *t = arg;
    int listener = soak_listen(t->addr);
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0 || soak_now_ms() < t->down_until_ms) {
            if (fd >= 0) {
                close(fd);
            }
            continue;
        }
        served_conn *c = calloc(1, sizeof(*c));
        c->conn.fd = fd;
        c->t = t;
        c->run = t->run;
        soak_thread(serve, c);
    }
    return NULL;
}

static void *
announce(void *arg)
{
    target *t = arg;
    soak_message *m = malloc(sizeof(*m));
    char path[80];
    char body[512];
    for (uint64_t seq = 1;; seq++) {
        snprintf(path, sizeof(path), "/marigoldgw/instances/%s/heartbeat",
                 t->id);
        snprintf(body, sizeof(body),
                 "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"z1\","
                 "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
                 "\"coldLeftMs\":0,\"born\":%lld,\"seq\":%llu}",
                 t->addr, SLOTS, (long long)t->started_ms,
                 (unsigned long long)seq);
        for (int i = 0; i < CONTROL_TRIES && soak_now_ms() >= t->down_until_ms;
             i++) {
            int k = (int)(soak_draw() * control_addr_count);
            if (soak_call(control_addrs[k], "POST", path, body, m) == 200) {
                break;
            }
        }
        soak_sleep_ms(HEARTBEAT_MS);
    }
    return NULL;
}

/* Gives a target another id, as that of its next run. */
static void
begin_run(target *t)
{
    t->run++;
    t->started_ms = (int64_t)time(NULL) * 1000;
    snprintf(t->id, sizeof(t->id), "i-%d-%u", (int)(t - targets), t->run);
}

void
soak_start_targets(int count, const char *ip, int port,
                   char (*controls)[SOAK_ADDR_SIZE], int control_count)
{
    target_count = count;
    control_addrs = controls;
    control_addr_count = control_count;
    for (int i = 0; i < count; i++) {
        target *t = &targets[i];
        snprintf(t->addr, sizeof(t->addr), "%s:%d", ip, port + i);
        pthread_mutex_init(&t->lock, NULL);
        begin_run(t);
        soak_thread(accept_all, t);
        soak_thread(announce, t);
    }
}

void
soak_crash_target(int number, int ms)
{
    target *t = &targets[number % target_count];
    t->down_until_ms = soak_now_ms() + ms;
    begin_run(t);
    pthread_mutex_lock(&t->lock);
    for (int i = 0; i < TARGET_CONNS_MAX; i++) {
        if (t->fds[i] != 0) {
            shutdown(t->fds[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&t->lock);
}

/* -------------------------------------------------------------- checks */

static bool
promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
is_whole(unsigned n)
{
    const soak_attempt *a = &soak_attempts[n];
    return a->seen.status == 200 && a->seen.end != SOAK_END_CUT &&
           a->seen.got == soak_piece_count(n) && a->seen.rest == 0;
}

/* The answer of the last run that had one; NULL: none. */
static const soak_run *
last_answer(const soak_attempt *a)
{
    for (int i = SOAK_RUNS_MAX - 1; i >= 0; i--) {
        if (a->answers[i].state != SOAK_LEFT) {
            return &a->answers[i];
        }
    }
    return NULL;
}

/* Whether an answer looks complete to the client, though each target broke
   off before the end. Where an answer has no other end than that of the
   connection, and this was a FIN, the client may see the same; but a stream
   must not end inside an event. */
static bool
ends_early(unsigned n)
{
    const soak_attempt *a = &soak_attempts[n];
    const soak_seen *s = &a->seen;
    bool is_early = s->status == 200 && s->end != SOAK_END_CUT;
    for (int i = 0; i < SOAK_RUNS_MAX; i++) {
        const soak_run *r = &a->answers[i];
        bool ends_unseen = r->state == SOAK_BROKEN && r->way == SOAK_FIN &&
                           r->framing == SOAK_TO_END && r->has_head;
        bool is_same =
            s->end == SOAK_END_FIN && r->sent == s->got && r->rest == s->rest;
        is_early &= !(ends_unseen && is_same);
        is_early &= !(r->state == SOAK_WHOLE && is_whole(n));
    }
    return is_early;
}

/* Returns the rule that an attempt breaks, or NULL. */
static const char *
broken_rule(unsigned n)
{
    const soak_attempt *a = &soak_attempts[n];
    if (a->kind->is_order && a->runs > 1) {
        return "TWICE";
    }
    if (a->kind->is_order && promises_not_run(a->status) && a->runs > 0) {
        return "REFUSED";
    }
    if (a->seen.is_wrong) {
        return "MIXED";
    }
    if (a->seen.is_disordered || ends_early(n)) {
        return a->kind->is_stream ? "ORDER" : "MIXED";
    }
    return NULL;
}

static void
print_broken(unsigned n, const char *rule)
{
    static const char *const ends[] = {"cut", "fin", "promised"};
    static const char *const states[] = {"left", "whole", "broken"};
    const soak_attempt *a = &soak_attempts[n];
    char text[400];
    int size = 0;
    text[0] = '\0';
    for (unsigned i = 0; i < a->runs && i < SOAK_RUNS_MAX; i++) {
        const soak_run *r = &a->answers[i];
        size += snprintf(text + size, sizeof(text) - (size_t)size,
                         "; run %u: %s %s %s %s sent %u + %u%s", i,
                         states[r->state], soak_framing_names[r->framing],
                         soak_place_names[r->place], soak_way_names[r->way],
                         r->sent, r->rest, r->is_early ? " early" : "");
    }
    soak_log("BROKEN %s: %s %016x sent at %.3f s, answered %d, ran %u, "
             "refused by targets %u, late copies %u; got %u + %zu of %u, end "
             "%s%s",
             rule, a->kind->name, n, (double)(a->sent_ms - start_ms) / 1000,
             a->seen.status, a->runs, a->refusals, a->copies, a->seen.got,
             a->seen.rest, soak_piece_count(n), ends[a->seen.end], text);
}

/* Whether clients got enough of the whole answers that targets sent in a
   framing; prints these, and how others were broken off. */
static unsigned
check_framing(bool is_stream, soak_framing framing)
{
    unsigned sent = 0;
    unsigned arrived = 0;
    unsigned cut[SOAK_WAYS][2] = {0}; /* seen as such, and not */
    unsigned unread[2] = {0};
    for (unsigned n = 1; n < attempt_count && n < SOAK_ATTEMPTS_MAX; n++) {
        const soak_attempt *a = &soak_attempts[n];
        const soak_run *last = last_answer(a);
        if (a->kind->is_stream != is_stream || last == NULL ||
            last->framing != framing) {
            continue;
        }
        if (last->state == SOAK_WHOLE) {
            sent++;
            arrived += is_whole(n);
        }
        else {
            cut[last->way][ends_early(n)]++;
            unread[ends_early(n)] += last->is_early;
        }
    }
    soak_log("%s, %s: whole %u, arrived %u; broken off by FIN %u, looked "
             "complete too early %u; by RST %u, %u; after silence %u, %u; of "
             "these with the request unread %u, %u",
             is_stream ? "streams" : "plain", soak_framing_names[framing],
             sent, arrived, cut[0][0], cut[0][1], cut[1][0], cut[1][1],
             cut[2][0], cut[2][1], unread[0], unread[1]);
    if (arrived < ARRIVE_MIN || arrived < ARRIVE_SHARE * sent) {
        soak_log("BROKEN WHOLE: too few answers arrive");
        return 1;
    }
    return 0;
}

static int
compare_times(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return x < y ? -1 : x > y;
}

/* The windows in which the workspace's requests ran, by their arrival, and
   were sent. Returns whether one holds more than is allowed. */
static unsigned
check_quota(void)
{
    double limit =
        (SOAK_QUOTA_RATE * SOAK_QUOTA_WINDOW_MS / 1000 + SOAK_QUOTA_BURST) *
            (1 + SOAK_QUOTA_OVERAGE) +
        SOAK_QUOTA_MARGIN;
    int64_t *times = calloc(SOAK_ATTEMPTS_MAX, sizeof(*times));
    size_t n = 0;
    size_t first = 0;
    size_t most = 0;
    int64_t at = 0;
    for (unsigned i = 1; i < attempt_count && i < SOAK_ATTEMPTS_MAX; i++) {
        if (soak_attempts[i].kind->has_quota && soak_attempts[i].runs > 0) {
            times[n++] = soak_attempts[i].ran_ms;
        }
    }
    qsort(times, n, sizeof(*times), compare_times);
    for (size_t i = 0; i < n; i++) {
        while (times[i] - times[first] >= SOAK_QUOTA_WINDOW_MS) {
            first++;
        }
        if (i - first + 1 > most) {
            most = i - first + 1;
            at = times[first] - start_ms;
        }
    }
    free(times);
    soak_log("quota: %zu ran in all, at most %zu in a window, from %.3f s; "
             "%.0f are allowed",
             n, most, (double)at / 1000, limit / SOAK_TOKENS);
    if ((double)most * SOAK_TOKENS > limit) {
        soak_log("BROKEN QUOTA: %zu requests in a window", most);
        return 1;
    }
    return 0;
}

unsigned
soak_check(bool strict)
{
    unsigned new_rules = 0;
    unsigned served = 0;
    unsigned refused = 0;
    unsigned other = 0;
    unsigned copies = 0;
    unsigned broken = 0;
    unsigned whole = 0;
    for (unsigned i = 1; i < attempt_count && i < SOAK_ATTEMPTS_MAX; i++) {
        const soak_attempt *a = &soak_attempts[i];
        const char *rule = broken_rule(i);
        served += a->status == 200;
        refused += promises_not_run(a->status);
        other += a->status != 200 && !promises_not_run(a->status);
        copies += a->copies;
        broken += rule != NULL;
        new_rules +=
            rule != NULL && (strcmp(rule, "REFUSED") == 0 || ends_early(i));
        if (rule != NULL && broken <= BROKEN_PRINTED_MAX) {
            print_broken(i, rule);
        }
    }
    for (int i = 0; i < 2 * SOAK_FRAMINGS; i++) {
        whole += check_framing(i >= SOAK_FRAMINGS, i % SOAK_FRAMINGS);
    }
    soak_log("attempts %u: answered 200 %u, refused %u, otherwise %u; late "
             "copies of the request's own refusal %u",
             attempt_count - 1, served, refused, other, copies);
    unsigned quota = check_quota();
    return whole + (strict ? broken + quota : broken - new_rules);
}
