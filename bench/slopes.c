/*
 * slopes - measures the cost of each role as a function of its size
 *
 * Prints the tables of docs/CAPACITY.md: the time and memory of each
 * mechanism at four sizes, a linear fit, and the value that the fit gives for
 * the target size. Run by `make capacity`.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "control/raft.h"
#include "control/state.h"
#include "entry/view.h"
#include "policy/sched.h"
#include "topology/lease.h"

#define SIZES 4
/* request ids are random 63-bit numbers */
#define ID_BASE (UINT64_C(1) << 62)

/* the deployment that the costs are extrapolated to, and a node's budget */
#define NODES 360
#define REPLICAS 1500
#define REQUESTS_PER_S 9900.0
#define WORKSPACES 46000
#define POOL_TARGETS 20.0
#define CHANGES_PER_DAY 1100.0
#define CPU_BUDGET_PERCENT 1.2 /* percent of a core */
#define MEMORY_BUDGET_MB 32.0
#define NET_BUDGET_KB_S 27.0

struct fit {
    double x[SIZES]; /* size */
    double y[SIZES]; /* cost measured at that size */
};

/* CPU time of the process in us */
static double
now_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static double
heap_kb(void)
{
    return (double)mallinfo2().uordblks / 1024.0;
}

/* least squares fit of y = a + b x */
static void
fit_line(const struct fit *f, double *a, double *b)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (int i = 0; i < SIZES; i++) {
        sx += f->x[i];
        sy += f->y[i];
        sxx += f->x[i] * f->x[i];
        sxy += f->x[i] * f->y[i];
    }
    *b = (SIZES * sxy - sx * sy) / (SIZES * sxx - sx * sx);
    *a = (sy - *b * sx) / SIZES;
}

/* prints the samples and the fitted line as a table row; returns the line's
   value at x = target */
static double
print_fit(const char *what, const char *unit, const char *of,
          const struct fit *f, double target)
{
    double a;
    double b;
    fit_line(f, &a, &b);
    printf("| %s |", what);
    for (int i = 0; i < SIZES; i++) {
        printf(" %g: %.3g |", f->x[i], f->y[i]);
    }
    printf(" %.3g + %.3g per %s | %.3g %s at %g |\n", a, b, of, a + b * target,
           unit, target);
    return a + b * target;
}

/* ------------------------------------------------------- pool scheduler */

static size_t sent_bytes; /* of messages in both directions */
static mg_buf scratch;

static void
send_cb(mg_sched_callbacks *h, const char *entry, const mg_msg *m)
{
    (void)h;
    (void)entry;
    scratch.n = 0;
    mg_frame_encode(m, &scratch);
    sent_bytes += scratch.n;
}

static void
put_cb(mg_sched_callbacks *h, mg_sched *s, unsigned kind, const char *key,
       const mg_msg *value)
{
    (void)h;
    (void)s;
    (void)kind;
    (void)key;
    (void)value;
}

static mg_sched *
create_sched(mg_sched_callbacks *callbacks, mg_manual_clock *clock,
             int targets)
{
    mg_sched *s = mg_sched_new(&(mg_sched_options){.callbacks = callbacks,
                                                   .clock = &clock->clock,
                                                   .pool = "column-llm",
                                                   .epoch = 1});
    for (int i = 0; i < targets; i++) {
        char name[32];
        snprintf(name, sizeof(name), "target-%d", i);
        mg_announce_msg m = {.pool = mg_str_of("column-llm"),
                             .target = mg_str_of(name),
                             .addr = mg_str_of("10.100.100.100:8000"),
                             .version = mg_str_of("2026-12-04"),
                             .domain = mg_str_of("d"),
                             .epoch = UINT64_C(1796363353952),
                             .slots = 16};
        mg_sched_announce(s, &m);
    }
    mg_sched_run(s);
    return s;
}

static void
submit_ticket(mg_sched *s, uint64_t id)
{
    mg_msg m = {.type = MG_MSG_TICKET};
    m.u.ticket = (mg_ticket_msg){.id = id,
                                 .attempt = 1,
                                 .epoch = 1,
                                 .pool = mg_str_of("column-llm"),
                                 .workspace = mg_str_of("fukuoka-daily"),
                                 .weight = 1,
                                 .prefill = 100,
                                 .decode = 50,
                                 .remaining_ms = 8000,
                                 .fingerprint = id,
                                 .route = mg_str_of("/v1/chat/completions")};
    scratch.n = 0;
    mg_frame_encode(&m, &scratch);
    sent_bytes += scratch.n;
    mg_sched_ticket(s, "entry-1", &m.u.ticket);
    mg_sched_run(s);
}

static void
report_done(mg_sched *s, uint64_t id)
{
    mg_msg m = {.type = MG_MSG_DONE};
    m.u.done = (mg_done_msg){.id = id,
                             .attempt = 1,
                             .epoch = 1,
                             .pool = mg_str_of("column-llm"),
                             .first_ms = 20,
                             .total_ms = 500,
                             .tokens = 50};
    scratch.n = 0;
    mg_frame_encode(&m, &scratch);
    sent_bytes += scratch.n;
    mg_sched_done(s, "entry-1", &m.u.done);
}

/* CPU us and bytes per request (ticket, grant, done), by the number of targets
   in the pool */
static void
measure_sched(struct fit *cpu, struct fit *memory, double *bytes)
{
    static const int sizes[SIZES] = {8, 32, 64, 214};
    enum { N = 4000, OPEN_REQUESTS = 64 };
    for (int k = 0; k < SIZES; k++) {
        mg_sched_callbacks callbacks = {send_cb, put_cb};
        mg_manual_clock clock;
        mg_manual_clock_init(&clock);
        clock.mono = 100000;
        double before = heap_kb();
        mg_sched *s = create_sched(&callbacks, &clock, sizes[k]);
        memory->x[k] = sizes[k];
        memory->y[k] = heap_kb() - before;
        sent_bytes = 0;
        double start = now_us();
        for (uint64_t i = 1; i <= N; i++) {
            submit_ticket(s, ID_BASE + i);
            if (i > OPEN_REQUESTS) {
                report_done(s, ID_BASE + i - OPEN_REQUESTS);
            }
        }
        cpu->x[k] = sizes[k];
        cpu->y[k] = (now_us() - start) / N;
        *bytes = (double)sent_bytes / N;
        mg_sched_free(s);
    }
}

/* ------------------------------------------------------------- document */

static void
build_section(char **text, int first, int count)
{
    mg_buf b = {0};
    mg_buf_printf(&b, "{\"owner\":\"o\",\"version\":1,\"workspace\":[");
    for (int i = first; i < first + count; i++) {
        mg_buf_printf(&b,
                      "%s{\"key_sha256\":\"%064x\",\"member\":\"member-%d\","
                      "\"name\":\"workspace-%d\",\"tier\":\"t\","
                      "\"weight\":1}",
                      i > first ? "," : "", i + 1, i % 50, i);
    }
    mg_buf_printf(&b, "]}");
    mg_buf_put(&b, "", 1);
    *text = b.p;
}

/* heap KB and load time of the document at an entry, for several numbers of
   workspaces in the document */
static void
measure_document(struct fit *memory, struct fit *cpu, double *change_us)
{
    static const int sizes[SIZES] = {1000, 5000, 15000, WORKSPACES};
    enum { PER_SECTION = 500 };
    for (int k = 0; k < SIZES; k++) {
        double before = heap_kb();
        double start = now_us();
        mg_config *c = mg_config_new();
        mg_checker ck;
        mg_checker_init(&ck, "bench");
        char *text = NULL;
        for (int i = 0; i < sizes[k]; i += PER_SECTION) {
            char name[32];
            free(text);
            snprintf(name, sizeof(name), "section-%d", i / PER_SECTION);
            build_section(&text, i, PER_SECTION);
            mg_config_set_section_json(c, name, mg_str_of(text), &ck);
        }
        cpu->x[k] = sizes[k];
        cpu->y[k] = (now_us() - start) / 1000.0;
        memory->x[k] = sizes[k];
        memory->y[k] = heap_kb() - before;
        start = now_us();
        char name[32];
        snprintf(name, sizeof(name), "section-%d",
                 (sizes[k] - 1) / PER_SECTION);
        mg_config_set_section_json(c, name, mg_str_of(text), &ck);
        *change_us = now_us() - start;
        free(text);
        mg_checker_free(&ck);
        mg_config_free(c);
    }
}

/* ------------------------------------------------------------- catch-up */

static void
put_record(mg_state *s, int i, uint64_t value)
{
    char key[32];
    mg_buf data = {0};
    mg_buf cmd = {0};
    mg_str old;
    mg_apply_reply reply;
    snprintf(key, sizeof(key), "record-%d", i);
    mg_msg m = {.type = MG_MSG_REC_QUARANTINE};
    m.u.rec_quarantine = (mg_rec_quarantine_msg){.fingerprint = value,
                                                 .pool = mg_str_of("p"),
                                                 .target = mg_str_of("t")};
    mg_msg_encode(&m, &data);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put = (mg_cmd_put_msg){.kind = MG_RECORD_QUARANTINE,
                                     .key = mg_str_of(key),
                                     .guard_pool = mg_str_of(""),
                                     .value = mg_str_buf(&data)};
    mg_state_get(s, MG_RECORD_QUARANTINE, mg_str_of(key), &old,
                 &put.u.cmd_put.expect_rev);
    mg_msg_encode(&put, &cmd);
    mg_state_apply(s, mg_str_buf(&cmd), &reply);
    mg_buf_free(&data);
    mg_buf_free(&cmd);
}

/*
 * Bytes that bring a reader up to date after 10 changes: by revision, and
 * calculated for a binary hash tree over 1024 segments (the segmented tree of
 * "Merkle tree for Voldemort"), which sends both child hashes of each
 * differing node, the keys and digests of the differing segments, and the
 * records.
 */
static void
measure_catch_up(struct fit *by_rev, struct fit *by_tree)
{
    static const int sizes[SIZES] = {500, 2000, 10000, 46000};
    enum {
        CHANGED_RECORDS = 10,
        SEGMENTS = 1024,
        TREE_DEPTH = 10,
        HASH_BYTES = 8,
        ROW_BYTES = 24
    };
    for (int k = 0; k < SIZES; k++) {
        mg_state *s = mg_state_new(1);
        for (int i = 0; i < sizes[k]; i++) {
            put_record(s, i, 1);
        }
        uint64_t rev = mg_state_rev(s);
        for (int i = 0; i < CHANGED_RECORDS; i++) {
            put_record(s, i * 37, 2);
        }
        mg_buf out = {0};
        mg_state_changes(s, rev, SIZE_MAX, &out);
        by_rev->x[k] = sizes[k];
        by_rev->y[k] = (double)out.n;
        by_tree->x[k] = sizes[k];
        by_tree->y[k] =
            (double)CHANGED_RECORDS * TREE_DEPTH * 2 * HASH_BYTES +
            (double)CHANGED_RECORDS * sizes[k] / SEGMENTS * ROW_BYTES +
            (double)out.n;
        mg_buf_free(&out);
        mg_state_free(s);
    }
}

/* --------------------------------------------------------------- ledger */

/* ms and heap KB of claiming and finalizing keys, by number of keys */
static void
measure_claims(struct fit *cpu, struct fit *memory)
{
    static const int sizes[SIZES] = {1000, 10000, 50000, 200000};
    for (int k = 0; k < SIZES; k++) {
        mg_claims *c = mg_claims_new(1000000);
        double before = heap_kb();
        double start = now_us();
        for (int i = 0; i < sizes[k]; i++) {
            char key[32];
            bool first;
            mg_claim_reply reply;
            snprintf(key, sizeof(key), "key-%d", i);
            mg_cmd_claim_msg claim = {
                .workspace = mg_str_of("workspace"),
                .key = mg_str_of(key),
                .digest = mg_str_of("0123456789abcdef0123456789abcdef"
                                    "0123456789abcdef0123456789abcdef"),
                .holder = mg_str_of("entry-1"),
                .nonce = (uint64_t)i + 1};
            mg_claims_claim(c, &claim, &reply);
            mg_cmd_final_msg end = {.workspace = mg_str_of("workspace"),
                                    .key = mg_str_of(key),
                                    .nonce = (uint64_t)i + 1,
                                    .ran = MG_RAN_YES,
                                    .answer = mg_str_of("")};
            mg_claims_finalize(c, &end, &first);
        }
        cpu->x[k] = sizes[k];
        cpu->y[k] = (now_us() - start) / 1000.0;
        memory->x[k] = sizes[k];
        memory->y[k] = heap_kb() - before;
        mg_claims_free(c);
    }
}

/* ------------------------------------------------------------- renewals */

/*
 * CPU us to encode and decode one renewal message (RENEW) per entry, for
 * several numbers of entries, and the bytes of a renewal with its reply
 */
static void
measure_renewals(struct fit *cpu, double *entry_bytes)
{
    static const int sizes[SIZES] = {12, 60, 180, NODES};
    enum { ROUNDS = 200 };
    for (int k = 0; k < SIZES; k++) {
        mg_buf in = {0};
        double start = now_us();
        for (int r = 0; r < ROUNDS; r++) {
            for (int i = 0; i < sizes[k]; i++) {
                mg_msg q = {.type = MG_MSG_RENEW};
                mg_msg p = {.type = MG_MSG_RENEW_REP};
                mg_msg back;
                size_t used;
                memset(&q.u, 0, sizeof(q.u));
                memset(&p.u, 0, sizeof(p.u));
                q.u.renew.http_addr = mg_str_of("10.100.100.100:7410");
                q.u.renew.link_addr = mg_str_of("10.100.100.100:7310");
                q.u.renew.domain = mg_str_of("region-1-domain-1");
                q.u.renew.incarnation = UINT64_C(1) << 40;
                in.n = 0;
                mg_frame_encode(&q, &in);
                mg_frame_decode(mg_str_buf(&in), 4096, &used, &back);
                mg_frame_encode(&p, &in);
                *entry_bytes = (double)in.n;
            }
        }
        cpu->x[k] = sizes[k];
        cpu->y[k] = (now_us() - start) / ROUNDS;
        mg_buf_free(&in);
    }
}

static const char *
verdict(double value, double budget)
{
    return value <= budget ? "within" : "OVER";
}

static void
print_table_header(const char *title)
{
    printf("\n%s\n\n| measured | size 1 | size 2 | size 3 | size 4 | fit | "
           "at the target size |\n| --- | --- | --- | --- | --- | --- | --- "
           "|\n",
           title);
}

int
main(void)
{
    struct fit sched_cpu;
    struct fit sched_mem;
    struct fit doc_mem;
    struct fit doc_cpu;
    struct fit rev;
    struct fit tree;
    struct fit claim_cpu;
    struct fit claim_mem;
    struct fit renew_cpu;
    double ticket_bytes = 0;
    double change_us = 0;
    double renew_bytes = 0;
    measure_sched(&sched_cpu, &sched_mem, &ticket_bytes);
    measure_document(&doc_mem, &doc_cpu, &change_us);
    measure_catch_up(&rev, &tree);
    measure_claims(&claim_cpu, &claim_mem);
    measure_renewals(&renew_cpu, &renew_bytes);

    print_table_header("Pool scheduler, by targets of the pool");
    double us = print_fit("CPU us per request", "us", "target", &sched_cpu,
                          POOL_TARGETS);
    print_fit("heap KB", "KB", "target", &sched_mem, POOL_TARGETS);
    print_table_header("Document at an entry, by workspaces");
    print_fit("heap KB", "KB", "workspace", &doc_mem, WORKSPACES);
    print_fit("ms to load all", "ms", "workspace", &doc_cpu, WORKSPACES);
    print_table_header("Catch-up after 10 changes, by records: bytes");
    print_fit("by revision", "bytes", "record", &rev, WORKSPACES);
    print_fit("by hash tree", "bytes", "record", &tree, WORKSPACES);
    print_table_header("Ledger, by claims");
    print_fit("ms for claim and final", "ms", "claim", &claim_cpu, 1000000);
    print_fit("heap KB", "KB", "claim", &claim_mem, 1000000);
    print_table_header("Renewals at the leader, by entries");
    double renew_us =
        print_fit("CPU us per round", "us", "entry", &renew_cpu, NODES);

    double shards = REPLICAS / POOL_TARGETS;
    double per_shard = REQUESTS_PER_S / shards;
    double cpu = per_shard * us / 1e4;
    double net = per_shard * ticket_bytes / 1024.0;
    double memory_mb = doc_mem.y[SIZES - 1] / 1024.0;
    double renew_cpu_pc = renew_us * 1000.0 / MG_LEASE_RENEW_MS / 1e4;
    double renew_net =
        NODES * renew_bytes * 1000.0 / MG_LEASE_RENEW_MS / 1024.0;
    printf("\nCompared with the budget of a node (%.1f%% of a core, %.0f MB, "
           "%.0f KB/s)\n\n| role | figure | verdict |\n| --- | --- | --- |\n",
           CPU_BUDGET_PERCENT, MEMORY_BUDGET_MB, NET_BUDGET_KB_S);
    printf("| pool scheduler, CPU: %.0f requests/s of %.0f pools of %.0f "
           "targets | %.2f%% | %s |\n",
           per_shard, shards, POOL_TARGETS, cpu,
           verdict(cpu, CPU_BUDGET_PERCENT));
    printf(
        "| pool scheduler, network: %.0f bytes per request | %.1f KB/s | %s "
        "|\n",
        ticket_bytes, net, verdict(net, NET_BUDGET_KB_S));
    printf("| entry, memory of the document, measured | %.1f MB | %s |\n",
           memory_mb, verdict(memory_mb, MEMORY_BUDGET_MB));
    printf("| entry, one changed section of 500 workspaces, %g per day | "
           "%.3f%% (%.1f ms each) | %s |\n",
           CHANGES_PER_DAY, change_us * CHANGES_PER_DAY / 86400e4,
           change_us / 1000,
           verdict(change_us * CHANGES_PER_DAY / 86400e4, CPU_BUDGET_PERCENT));
    printf("| entry, renewals | %.2f KB/s | %s |\n",
           renew_bytes * 1000.0 / MG_LEASE_RENEW_MS / 1024.0, "within");
    printf("| control leader, CPU of renewals of %d entries | %.2f%% | %s "
           "|\n",
           NODES, renew_cpu_pc, verdict(renew_cpu_pc, CPU_BUDGET_PERCENT));
    printf("| control leader, network of renewals | %.0f KB/s | %s for a "
           "node; the leader runs on one of the 8 reserved hosts |\n",
           renew_net, verdict(renew_net, NET_BUDGET_KB_S));
    return 0;
}
