/*
 * Compares the claims table with a simple model and checks that each request
 * is dispatched at most once, with concurrent attempts at several entries and
 * commands that are lost, duplicated and reordered.
 */
#include "suite.h"

#include "ledger/claims.h"

#define KEYS 3
#define ATTEMPTS 12
#define STEPS 80

/* ---------------------------------------------------------------- model */

enum model_state { FREE, HELD, ANSWERED, UNKNOWN };

static struct model {
    enum model_state state;
    uint64_t nonce;
    uint64_t gen;
} model[KEYS];

static mg_claim_result
model_result(const struct model *m, uint64_t nonce)
{
    return m->state == FREE       ? MG_CLAIM_RELEASED
           : m->state == ANSWERED ? MG_CLAIM_ANSWERED
           : m->state == UNKNOWN  ? MG_CLAIM_UNKNOWN
           : m->nonce == nonce    ? MG_CLAIM_GRANTED
                                  : MG_CLAIM_RUNNING;
}

static mg_claim_result
model_claim(struct model *m, uint64_t nonce, uint64_t gen)
{
    if (m->state == FREE && m->nonce != nonce && gen >= m->gen) {
        m->state = HELD;
        m->nonce = nonce;
    }
    return model_result(m, nonce);
}

static void
model_finalize(struct model *m, uint64_t nonce, mg_ran ran)
{
    if (m->state == HELD && m->nonce == nonce) {
        m->state = ran == MG_RAN_NO    ? FREE
                   : ran == MG_RAN_YES ? ANSWERED
                                       : UNKNOWN;
        m->gen += ran == MG_RAN_NO;
    }
}

static mg_claim_result
model_refuse(struct model *m, uint64_t gen)
{
    if (m->state == FREE && gen >= m->gen) {
        m->gen = gen + 1;
    }
    return model_result(m, 0);
}

/* ------------------------------------------------------------ histories */

/* one attempt of an entry to run a request, as in entry/keyed.c */
struct attempt {
    unsigned key;
    uint64_t nonce;
    uint64_t gen;
    bool peeked;
    bool claimed;
    bool dispatched;
    bool abandoned;
    bool reported_not_run;
};

static mg_claims *claims;
static mg_rng rng;
static struct attempt attempts[ATTEMPTS];
static unsigned dispatches[KEYS];

static mg_str
key_name(unsigned k)
{
    static const char *const names[KEYS] = {"a", "b", "c"};
    return mg_str_of(names[k]);
}

static mg_cmd_claim_msg
claim_command(const struct attempt *t)
{
    return (mg_cmd_claim_msg){.workspace = mg_str_of("ws"),
                              .key = key_name(t->key),
                              .digest = mg_str_of("d"),
                              .holder = mg_str_of("entry"),
                              .incarnation = 1,
                              .nonce = t->nonce,
                              .gen = t->gen};
}

static const char *
step_claim(struct attempt *t, bool reply_lost)
{
    mg_claim_reply reply;
    mg_cmd_claim_msg cmd = claim_command(t);
    mg_claims_claim(claims, &cmd, &reply);
    mg_claim_result want = model_claim(&model[t->key], t->nonce, t->gen);
    if (reply.result != want) {
        return "the result of a claim differs from the model's";
    }
    if (!reply_lost && reply.result == MG_CLAIM_GRANTED && !t->abandoned) {
        t->claimed = true;
    }
    return NULL;
}

static const char *
step_final(struct attempt *t, mg_ran ran)
{
    bool first;
    mg_cmd_final_msg cmd = {.workspace = mg_str_of("ws"),
                            .key = key_name(t->key),
                            .nonce = t->nonce,
                            .ran = ran,
                            .answer = mg_str_of("")};
    mg_claims_finalize(claims, &cmd, &first);
    model_finalize(&model[t->key], t->nonce, ran);
    return NULL;
}

static const char *
step_refuse(struct attempt *t)
{
    mg_claim_reply reply;
    mg_cmd_refuse_msg cmd = {.workspace = mg_str_of("ws"),
                             .key = key_name(t->key),
                             .digest = mg_str_of("d"),
                             .gen = t->gen};
    mg_claims_refuse(claims, &cmd, &reply);
    if (reply.result != model_refuse(&model[t->key], t->gen)) {
        return "the result of a refusal differs from the model's";
    }
    t->abandoned = true;
    if (reply.result == MG_CLAIM_RELEASED) {
        t->reported_not_run = true;
        if (dispatches[t->key] > 0) {
            return "reported \"did not run\", but it ran";
        }
    }
    return NULL;
}

static const char *
step_dispatch(struct attempt *t)
{
    t->dispatched = true;
    if (++dispatches[t->key] > 1) {
        return "dispatched twice";
    }
    /* no attempt that started before a refusal may run after it */
    for (unsigned i = 0; i < ATTEMPTS; i++) {
        const struct attempt *o = &attempts[i];
        if (o->reported_not_run && o->key == t->key && t->gen <= o->gen) {
            return "an attempt that started before a refusal was dispatched";
        }
    }
    return NULL;
}

static void
step_peek(struct attempt *t)
{
    mg_claim_reply reply;
    mg_cmd_claim_msg cmd = claim_command(t);
    mg_claims_peek(claims, &cmd, &reply);
    t->peeked = reply.result == MG_CLAIM_RELEASED;
    t->gen = reply.gen;
}

static const char *
random_step(void)
{
    struct attempt *t = &attempts[mg_rng_below(&rng, ATTEMPTS)];
    uint32_t percent = mg_rng_below(&rng, 100);
    if (!t->peeked) {
        step_peek(t);
        return NULL;
    }
    if (t->dispatched) {
        /* the attempt's outcome is recorded, or its claim arrives again:
           duplicated or late */
        return percent < 30   ? step_final(t, MG_RAN_YES)
               : percent < 40 ? step_final(t, MG_RAN_UNKNOWN)
               : percent < 70 ? step_claim(t, true)
                              : NULL;
    }
    if (t->claimed) {
        if (percent < 60) {
            return step_dispatch(t);
        }
        t->claimed = false;
        t->abandoned = true;
        return step_final(t, MG_RAN_NO);
    }
    if (percent < 50) {
        return step_claim(t, percent < 20 || t->abandoned);
    }
    if (percent < 70 && t->abandoned) {
        /* the claim's reply arrived after the attempt was abandoned */
        return step_final(t, MG_RAN_NO);
    }
    return percent < 80 ? step_refuse(t) : NULL;
}

static void
save_and_load(void)
{
    mg_buf snap = {0};
    mg_claims_save(claims, &snap);
    mg_claims_free(claims);
    claims = mg_claims_new(100);
    mg_str rest = mg_str_buf(&snap);
    mg_msg m;
    while (mg_msg_next(&rest, &m) == MG_OK) {
        mg_claims_load(claims, &m.u.snap_claim);
    }
    mg_buf_free(&snap);
}

static const char *
history(uint64_t seed)
{
    const char *failure = NULL;
    mg_rng_init(&rng, seed);
    claims = mg_claims_new(100);
    memset(model, 0, sizeof(model));
    memset(dispatches, 0, sizeof(dispatches));
    memset(attempts, 0, sizeof(attempts));
    for (unsigned i = 0; i < ATTEMPTS; i++) {
        attempts[i].key = i % KEYS;
        attempts[i].nonce = 100 + i;
    }
    for (int i = 0; i < STEPS && failure == NULL; i++) {
        failure = random_step();
        if (mg_rng_below(&rng, 30) == 0) {
            save_and_load();
        }
    }
    mg_claims_free(claims);
    return failure;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

static void
test_other_request_under_same_key(void)
{
    mg_claim_reply reply;
    claims = mg_claims_new(10);
    struct attempt t = {.nonce = 1};
    mg_cmd_claim_msg cmd = claim_command(&t);
    mg_claims_claim(claims, &cmd, &reply);
    CU_ASSERT_EQUAL(reply.result, MG_CLAIM_GRANTED);
    cmd.digest = mg_str_of("another body");
    cmd.nonce = 2;
    mg_claims_claim(claims, &cmd, &reply);
    CU_ASSERT_EQUAL(reply.result, MG_CLAIM_MISMATCH);
    mg_claims_free(claims);
}

static void
test_full_table_keeps_unfinished(void)
{
    mg_claim_reply reply;
    bool first;
    claims = mg_claims_new(2);
    for (unsigned k = 0; k < KEYS; k++) {
        struct attempt t = {.key = k, .nonce = 10 + k};
        mg_cmd_claim_msg cmd = claim_command(&t);
        mg_claims_claim(claims, &cmd, &reply);
        CU_ASSERT_EQUAL(reply.result,
                        k < 2 ? MG_CLAIM_GRANTED : MG_CLAIM_FULL);
    }
    mg_cmd_final_msg end = {.workspace = mg_str_of("ws"),
                            .key = key_name(0),
                            .nonce = 10,
                            .ran = MG_RAN_YES,
                            .answer = mg_str_of("{}")};
    CU_ASSERT_EQUAL(mg_claims_finalize(claims, &end, &first), MG_OK);
    CU_ASSERT_TRUE(first);
    CU_ASSERT_EQUAL(mg_claims_finalize(claims, &end, &first), MG_OK);
    CU_ASSERT_FALSE(first);
    struct attempt t = {.key = 2, .nonce = 12};
    mg_cmd_claim_msg cmd = claim_command(&t);
    mg_claims_claim(claims, &cmd, &reply);
    CU_ASSERT_EQUAL(reply.result, MG_CLAIM_GRANTED);
    mg_claims_free(claims);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random histories against the model", test_histories},
        {"different request with the same key",
         test_other_request_under_same_key},
        {"a full table keeps unfinished requests",
         test_full_table_keeps_unfinished},
        CU_TEST_INFO_NULL,
    };
    return run_suite("claims", tests);
}
