/*
 * The ledger against a naive twin, and the promise that it is there for:
 * attempts at several entries, commands lost, doubled and reordered.
 */
#include "suite.h"

#include "ledger/claims.h"

#define KEYS 3
#define ATTEMPTS 12
#define STEPS 80

/* ------------------------------------------------------- the naive twin */

enum naive_state { FREE, HELD, ANSWERED, UNKNOWN };

static struct naive {
    enum naive_state state;
    uint64_t nonce;
    uint64_t gen;
} naive[KEYS];

static mg_claim_result
naive_result(const struct naive *n, uint64_t nonce)
{
    return n->state == FREE       ? MG_CLAIM_RELEASED
           : n->state == ANSWERED ? MG_CLAIM_ANSWERED
           : n->state == UNKNOWN  ? MG_CLAIM_UNKNOWN
           : n->nonce == nonce    ? MG_CLAIM_GRANTED
                                  : MG_CLAIM_RUNNING;
}

static mg_claim_result
naive_claim(struct naive *n, uint64_t nonce, uint64_t gen)
{
    if (n->state == FREE && n->nonce != nonce && gen >= n->gen) {
        n->state = HELD;
        n->nonce = nonce;
    }
    return naive_result(n, nonce);
}

static void
naive_final(struct naive *n, uint64_t nonce, mg_ran ran)
{
    if (n->state == HELD && n->nonce == nonce) {
        n->state = ran == MG_RAN_NO    ? FREE
                   : ran == MG_RAN_YES ? ANSWERED
                                       : UNKNOWN;
        n->gen += ran == MG_RAN_NO;
    }
}

static mg_claim_result
naive_refuse(struct naive *n, uint64_t gen)
{
    if (n->state == FREE && gen >= n->gen) {
        n->gen = gen + 1;
    }
    return naive_result(n, 0);
}

/* ------------------------------------------------------------ histories */

/* one attempt at an entry, as keyed.c makes it */
struct attempt {
    unsigned key;
    uint64_t nonce;
    uint64_t gen;
    bool asked;
    bool claimed;
    bool dispatched;
    bool given_up;
    bool told_no;
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
claim_of(const struct attempt *t)
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
    mg_cmd_claim_msg cmd = claim_of(t);
    mg_claims_claim(claims, &cmd, &reply);
    mg_claim_result want = naive_claim(&naive[t->key], t->nonce, t->gen);
    if (reply.result != want) {
        return "claim differs from the twin";
    }
    if (!reply_lost && reply.result == MG_CLAIM_GRANTED && !t->given_up) {
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
    naive_final(&naive[t->key], t->nonce, ran);
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
    if (reply.result != naive_refuse(&naive[t->key], t->gen)) {
        return "refusal differs from the twin";
    }
    t->given_up = true;
    if (reply.result == MG_CLAIM_RELEASED) {
        t->told_no = true;
        if (dispatches[t->key] > 0) {
            return "told \"did not run\", and it ran";
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
    /* no attempt that began before a refusal may run after it */
    for (unsigned i = 0; i < ATTEMPTS; i++) {
        const struct attempt *o = &attempts[i];
        if (o->told_no && o->key == t->key && t->gen <= o->gen) {
            return "an attempt from before a refusal was dispatched";
        }
    }
    return NULL;
}

static void
ask(struct attempt *t)
{
    mg_claim_reply reply;
    mg_cmd_claim_msg cmd = claim_of(t);
    mg_claims_peek(claims, &cmd, &reply);
    t->asked = reply.result == MG_CLAIM_RELEASED;
    t->gen = reply.gen;
}

static const char *
random_step(void)
{
    struct attempt *t = &attempts[mg_rng_below(&rng, ATTEMPTS)];
    uint32_t what = mg_rng_below(&rng, 100);
    if (!t->asked) {
        ask(t);
        return NULL;
    }
    if (t->dispatched) {
        /* how it ended; doubled and late commands come too */
        return what < 30   ? step_final(t, MG_RAN_YES)
               : what < 40 ? step_final(t, MG_RAN_UNKNOWN)
               : what < 70 ? step_claim(t, true)
                           : NULL;
    }
    if (t->claimed) {
        if (what < 60) {
            return step_dispatch(t);
        }
        t->claimed = false;
        t->given_up = true;
        return step_final(t, MG_RAN_NO);
    }
    if (what < 50) {
        return step_claim(t, what < 20 || t->given_up);
    }
    if (what < 70 && t->given_up) {
        /* a claim whose reply came after the attempt was given up */
        return step_final(t, MG_RAN_NO);
    }
    return what < 80 ? step_refuse(t) : NULL;
}

static void
reload(void)
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
    const char *broken = NULL;
    mg_rng_init(&rng, seed);
    claims = mg_claims_new(100);
    memset(naive, 0, sizeof(naive));
    memset(dispatches, 0, sizeof(dispatches));
    memset(attempts, 0, sizeof(attempts));
    for (unsigned i = 0; i < ATTEMPTS; i++) {
        attempts[i].key = i % KEYS;
        attempts[i].nonce = 100 + i;
    }
    for (int i = 0; i < STEPS && broken == NULL; i++) {
        broken = random_step();
        if (mg_rng_below(&rng, 30) == 0) {
            reload();
        }
    }
    mg_claims_free(claims);
    return broken;
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
    mg_cmd_claim_msg cmd = claim_of(&t);
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
        mg_cmd_claim_msg cmd = claim_of(&t);
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
    mg_cmd_claim_msg cmd = claim_of(&t);
    mg_claims_claim(claims, &cmd, &reply);
    CU_ASSERT_EQUAL(reply.result, MG_CLAIM_GRANTED);
    mg_claims_free(claims);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random histories against the twin", test_histories},
        {"another request under the same key",
         test_other_request_under_same_key},
        {"a full table keeps unfinished requests",
         test_full_table_keeps_unfinished},
        CU_TEST_INFO_NULL,
    };
    return run_suite("claims", tests);
}
