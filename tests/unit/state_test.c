/*
 * The state machine: concurrent operators, catch-up by revision compared with
 * a full read, snapshots, credits counted once; also the entries' view of it.
 */
#include "suite.h"

#include "control/state.h"
#include "entry/view.h"

#define STEPS 120
#define SECTIONS 3
#define VERSIONS 5

/* ------------------------------------- operators, compared with a model */

struct accepted {
    uint64_t version;
    int digest;
    uint64_t rev;
};

static struct {
    struct accepted list[64];
    size_t count;
} model[SECTIONS];

static const char *const section_names[SECTIONS] = {"a", "b", "c"};
static const char *const digests[] = {"d0", "d1"};

static mg_rc
model_check_section(int section, uint64_t version, int digest, uint64_t *rev)
{
    uint64_t newest = 0;
    *rev = 0;
    for (size_t i = 0; i < model[section].count; i++) {
        const struct accepted *x = &model[section].list[i];
        newest = x->version > newest ? x->version : newest;
        if (x->version == version) {
            *rev = x->rev;
            return x->digest == digest ? MG_OK : MG_E_VERSION_CONFLICT;
        }
    }
    return version > newest ? MG_OK : MG_E_VERSION_STALE;
}

static void
put_section(mg_buf *out, int section, uint64_t version, int digest)
{
    mg_msg m = {.type = MG_MSG_REC_SECTION};
    m.u.rec_section.name = mg_str_of(section_names[section]);
    m.u.rec_section.owner = mg_str_of("o");
    m.u.rec_section.version = version;
    m.u.rec_section.digest = mg_str_of(digests[digest]);
    m.u.rec_section.text = mg_str_of("{}");
    mg_msg_encode(&m, out);
}

static void
apply_document(mg_state *s, const mg_buf *sections, uint64_t base,
               mg_apply_reply *reply)
{
    mg_buf cmd = {0};
    mg_msg m = {.type = MG_MSG_CMD_DOCUMENT};
    m.u.cmd_document.base_rev = base;
    m.u.cmd_document.sections = mg_str_buf(sections);
    mg_msg_encode(&m, &cmd);
    mg_state_apply(s, mg_str_buf(&cmd), reply);
    mg_buf_free(&cmd);
}

/* Applies a document of one or two sections; an earlier document may have
   contained the same ones. */
static const char *
apply_random_document(mg_state *s, mg_rng *rng)
{
    int sec[2] = {(int)mg_rng_below(rng, SECTIONS), 0};
    sec[1] = (sec[0] + 1) % SECTIONS;
    int n = mg_rng_below(rng, 2) ? 2 : 1;
    uint64_t version[2] = {0};
    int digest[2] = {0};
    mg_buf sections = {0};
    mg_rc want = MG_OK;
    uint64_t known = 0;
    bool changes = false;
    for (int i = 0; i < n; i++) {
        uint64_t rev;
        version[i] = 1 + mg_rng_below(rng, VERSIONS);
        digest[i] = (int)mg_rng_below(rng, 2);
        put_section(&sections, sec[i], version[i], digest[i]);
        mg_rc rc = model_check_section(sec[i], version[i], digest[i], &rev);
        want = want == MG_OK ? rc : want;
        changes = changes || (rc == MG_OK && rev == 0);
        known = rev > known ? rev : known;
    }
    bool stale_base = mg_rng_below(rng, 8) == 0;
    uint64_t base = mg_state_document_rev(s) + stale_base;
    uint64_t before = mg_state_rev(s);
    mg_apply_reply reply;
    apply_document(s, &sections, base, &reply);
    mg_buf_free(&sections);
    if (want == MG_OK && changes && stale_base) {
        want = MG_E_DOCUMENT_CHANGED;
    }
    if (reply.rc != want) {
        return "the result differs from the model's";
    }
    if (want != MG_OK || !changes) {
        if (mg_state_rev(s) != before) {
            return "partially applied";
        }
        return want == MG_OK && reply.rev != known
                   ? "a retry did not get the first revision"
                   : NULL;
    }
    for (int i = 0; i < n; i++) {
        uint64_t rev;
        model_check_section(sec[i], version[i], digest[i], &rev);
        if (rev == 0) {
            size_t k = model[sec[i]].count++;
            model[sec[i]].list[k] =
                (struct accepted){version[i], digest[i], reply.rev};
        }
    }
    return reply.rev == before + 1 ? NULL : "revision did not grow by one";
}

static const char *
operator_history(uint64_t seed)
{
    mg_rng rng;
    mg_rng_init(&rng, seed);
    memset(model, 0, sizeof(model));
    mg_state *s = mg_state_new(10);
    const char *failure = NULL;
    for (int i = 0; i < 40 && failure == NULL; i++) {
        failure = apply_random_document(s, &rng);
    }
    mg_state_free(s);
    return failure;
}

static void
test_operators(void)
{
    run_histories(operator_history, HISTORIES);
}

/* -------------------------------------------------- catch-up by revision */

static void
put_record(mg_state *s, mg_rng *rng)
{
    char node[8];
    mg_buf value = {0};
    mg_buf cmd = {0};
    mg_apply_reply reply;
    mg_str old;
    mg_msg m = {.type = MG_MSG_REC_MEMBER};
    snprintf(node, sizeof(node), "e%u", mg_rng_below(rng, 6));
    m.u.rec_member.node = mg_str_of(node);
    m.u.rec_member.http_addr = mg_str_of("127.0.0.1:1");
    m.u.rec_member.link_addr = mg_str_of("127.0.0.1:2");
    m.u.rec_member.domain = mg_str_of("d");
    m.u.rec_member.incarnation = mg_rng_below(rng, 1000);
    mg_msg_encode(&m, &value);
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_RECORD_MEMBER;
    put.u.cmd_put.key = mg_str_of(node);
    put.u.cmd_put.guard_pool = mg_str_of("");
    put.u.cmd_put.value = mg_str_buf(&value);
    mg_state_get(s, MG_RECORD_MEMBER, mg_str_of(node), &old,
                 &put.u.cmd_put.expect_rev);
    if (mg_rng_below(rng, 10) == 0) {
        put.u.cmd_put.expect_rev += 1; /* outdated: must change nothing */
    }
    mg_msg_encode(&put, &cmd);
    mg_state_apply(s, mg_str_buf(&cmd), &reply);
    mg_buf_free(&value);
    mg_buf_free(&cmd);
}

static bool
same_members(const mg_view *a, const mg_view *b)
{
    const mg_member *m = mg_view_members(a);
    for (; m != NULL; m = m->hh.next) {
        const mg_member *o = mg_view_member(b, m->node);
        if (o == NULL || o->incarnation != m->incarnation) {
            return false;
        }
    }
    return mg_view_rev(a) == mg_view_rev(b);
}

static void
catch_up(mg_view *v, const mg_state *s, size_t max)
{
    mg_buf records = {0};
    mg_error err;
    uint64_t rev = mg_state_changes(s, mg_view_rev(v), max, &records);
    CU_ASSERT_EQUAL(mg_view_apply(v, mg_str_buf(&records), rev, &err), MG_OK);
    mg_buf_free(&records);
}

static const char *
catch_up_history(uint64_t seed)
{
    mg_rng rng;
    mg_rng_init(&rng, seed);
    mg_state *s = mg_state_new(10);
    mg_view *v = mg_view_new();
    const char *failure = NULL;
    uint64_t seen = 0;
    for (int i = 0; i < STEPS && failure == NULL; i++) {
        put_record(s, &rng);
        if (mg_rng_below(&rng, 10) == 0) {
            catch_up(v, s, mg_rng_below(&rng, 2) ? 1 : 100000);
        }
        if (mg_view_rev(v) < seen) {
            failure = "the revision of the view decreased";
        }
        seen = mg_view_rev(v);
        if (mg_rng_below(&rng, 40) == 0) {
            mg_buf snap = {0};
            mg_state_save(s, &snap);
            if (mg_state_load(s, mg_str_buf(&snap)) != MG_OK) {
                failure = "a snapshot could not be loaded";
            }
            mg_buf_free(&snap);
        }
    }
    for (int i = 0; i < 20 && mg_view_rev(v) < mg_state_rev(s); i++) {
        catch_up(v, s, 1);
    }
    mg_view *full = mg_view_new();
    catch_up(full, s, SIZE_MAX);
    if (failure == NULL && !same_members(full, v)) {
        failure = "catching up differs from a full read";
    }
    mg_view_free(full);
    mg_view_free(v);
    mg_state_free(s);
    return failure;
}

static void
test_catch_up(void)
{
    run_histories(catch_up_history, 2000);
}

/* --------------------------------------------------------------- credits */

static void
count_credit(void *user, const char *member, uint64_t count)
{
    (void)member;
    *(uint64_t *)user += count;
}

static void
test_credit_batches_count_once(void)
{
    mg_state *s = mg_state_new(10);
    mg_buf list = {0};
    mg_buf cmd = {0};
    mg_apply_reply reply;
    uint64_t total = 0;
    mg_msg m = {.type = MG_MSG_CREDIT};
    m.u.credit.member = mg_str_of("kiln");
    m.u.credit.count = 5;
    mg_msg_encode(&m, &list);
    m.type = MG_MSG_CMD_CREDITS;
    m.u.cmd_credits.holder = mg_str_of("e1");
    m.u.cmd_credits.incarnation = 2;
    m.u.cmd_credits.seq = 1;
    m.u.cmd_credits.credits = mg_str_buf(&list);
    mg_msg_encode(&m, &cmd);
    mg_state_apply(s, mg_str_buf(&cmd), &reply);
    mg_state_apply(s, mg_str_buf(&cmd), &reply);
    mg_buf snap = {0};
    mg_state_save(s, &snap);
    CU_ASSERT_EQUAL(mg_state_load(s, mg_str_buf(&snap)), MG_OK);
    mg_state_apply(s, mg_str_buf(&cmd), &reply);
    mg_state_each_credit(s, count_credit, &total);
    CU_ASSERT_EQUAL(total, 5);
    mg_buf_free(&list);
    mg_buf_free(&cmd);
    mg_buf_free(&snap);
    mg_state_free(s);
}

/* names may move from one section to another in one document */
static void
test_view_moves_names_between_sections(void)
{
    static const char with[] =
        "{\"owner\":\"o\",\"version\":1,\"tier\":[{\"name\":\"t\",\"rank\":0,"
        "\"deadline_ms\":5}]}";
    static const char without[] = "{\"owner\":\"o\",\"version\":1}";
    const char *text[2][2] = {{with, without}, {without, with}};
    mg_view *v = mg_view_new();
    mg_error err;
    for (int round = 0; round < 2; round++) {
        mg_buf records = {0};
        for (int k = 1; k >= 0; k--) {
            mg_buf value = {0};
            mg_msg m = {.type = MG_MSG_REC_SECTION};
            memset(&m.u, 0, sizeof(m.u));
            m.u.rec_section.name = mg_str_of(section_names[k]);
            m.u.rec_section.text = mg_str_of(text[round][k]);
            mg_msg_encode(&m, &value);
            mg_msg rec = {.type = MG_MSG_RECORD};
            rec.u.record.kind = MG_RECORD_SECTION;
            rec.u.record.key = mg_str_of(section_names[k]);
            rec.u.record.rev = (uint64_t)round + 1;
            rec.u.record.value = mg_str_buf(&value);
            mg_msg_encode(&rec, &records);
            mg_buf_free(&value);
        }
        CU_ASSERT_EQUAL(
            mg_view_apply(v, mg_str_buf(&records), (uint64_t)round + 1, &err),
            MG_OK);
        CU_ASSERT_PTR_NOT_NULL(mg_config_tier(mg_view_config(v), "t"));
        mg_buf_free(&records);
    }
    mg_view_free(v);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"concurrent operators against the model", test_operators},
        {"catch-up by revision", test_catch_up},
        {"credit batches count once", test_credit_batches_count_once},
        {"names move between sections",
         test_view_moves_names_between_sections},
        CU_TEST_INFO_NULL,
    };
    return run_suite("state", tests);
}
