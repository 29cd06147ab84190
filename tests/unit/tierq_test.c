/*
 * The tier queue against a reference model that keeps the tickets in a plain
 * array and computes the order from scratch for every query.
 */
#include "suite.h"

#include "policy/tierq.h"

#define TICKETS 24
#define STEPS 120
#define WORKSPACES 4
#define TIERS 3

static struct {
    mg_tierq *q;
    mg_rng rng;
    mg_ticket tickets[TICKETS];
    bool waiting[TICKETS];
    uint64_t seq[TICKETS];
    uint64_t next_seq;
    /* virtual times of the model */
    double workspace_vtime[TIERS][WORKSPACES];
    double tier_vtime[TIERS];
} t;

static unsigned
workspace_of(const mg_ticket *k)
{
    return (unsigned)(k->workspace[1] - '0');
}

static bool
before(int a, int b)
{
    const mg_ticket *x = &t.tickets[a];
    const mg_ticket *y = &t.tickets[b];
    return x->deadline_ms != y->deadline_ms ? x->deadline_ms < y->deadline_ms
                                            : t.seq[a] < t.seq[b];
}

static double
vtime(int i)
{
    return t.workspace_vtime[t.tickets[i].tier][workspace_of(&t.tickets[i])];
}

static int
model_head(void)
{
    int best = -1;
    for (int i = 0; i < TICKETS; i++) {
        if (!t.waiting[i]) {
            continue;
        }
        if (best < 0 || t.tickets[i].tier < t.tickets[best].tier ||
            (t.tickets[i].tier == t.tickets[best].tier &&
             (vtime(i) < vtime(best) ||
              (vtime(i) == vtime(best) && before(i, best))))) {
            best = i;
        }
    }
    return best;
}

static double
finish_time(int i)
{
    double cost = 0;
    for (int k = 0; k < TICKETS; k++) {
        if (t.waiting[k] && t.tickets[k].tier == t.tickets[i].tier &&
            workspace_of(&t.tickets[k]) == workspace_of(&t.tickets[i])) {
            cost += (double)mg_ticket_cost(&t.tickets[k]);
        }
    }
    return vtime(i) + cost / t.tickets[i].weight;
}

static int
model_victim(void)
{
    int worst = -1;
    for (int i = 0; i < TICKETS; i++) {
        if (!t.waiting[i]) {
            continue;
        }
        if (worst < 0 || t.tickets[i].tier > t.tickets[worst].tier ||
            (t.tickets[i].tier == t.tickets[worst].tier &&
             (finish_time(i) > finish_time(worst) ||
              (finish_time(i) == finish_time(worst) && before(worst, i))))) {
            worst = i;
        }
    }
    return worst;
}

static bool
workspace_waits(unsigned tier, unsigned ws)
{
    for (int i = 0; i < TICKETS; i++) {
        if (t.waiting[i] && t.tickets[i].tier == tier &&
            workspace_of(&t.tickets[i]) == ws) {
            return true;
        }
    }
    return false;
}

static void
add(int i)
{
    mg_ticket *k = &t.tickets[i];
    memset(k, 0, sizeof(*k));
    unsigned ws = mg_rng_below(&t.rng, WORKSPACES);
    snprintf(k->workspace, sizeof(k->workspace), "w%u", ws);
    k->tier = mg_rng_below(&t.rng, TIERS);
    k->weight = 1 + ws; /* one weight for each workspace */
    k->prefill = mg_rng_below(&t.rng, 1000);
    k->decode = mg_rng_below(&t.rng, 100);
    k->deadline_ms = mg_rng_below(&t.rng, 50);
    if (!workspace_waits(k->tier, ws) &&
        t.workspace_vtime[k->tier][ws] < t.tier_vtime[k->tier]) {
        t.workspace_vtime[k->tier][ws] = t.tier_vtime[k->tier];
    }
    t.seq[i] = t.next_seq++;
    t.waiting[i] = true;
    mg_tierq_add(t.q, k);
}

static void
serve(int i)
{
    mg_ticket *k = &t.tickets[i];
    unsigned ws = workspace_of(k);
    t.tier_vtime[k->tier] = t.workspace_vtime[k->tier][ws];
    t.workspace_vtime[k->tier][ws] += (double)mg_ticket_cost(k) / k->weight;
    t.waiting[i] = false;
    mg_tierq_serve(t.q, k);
}

static const char *
check(void)
{
    int head = model_head();
    int victim = model_victim();
    mg_ticket *h = mg_tierq_head(t.q);
    mg_ticket *v = mg_tierq_victim(t.q);
    if ((h == NULL) != (head < 0) || (h && h != &t.tickets[head])) {
        return "the head differs from the model's";
    }
    if ((v == NULL) != (victim < 0) || (v && v != &t.tickets[victim])) {
        return "the victim differs from the model's";
    }
    for (int i = 0; i < TICKETS; i++) {
        if (t.waiting[i] && v && t.tickets[i].tier > v->tier) {
            return "the victim is not of the lowest waiting tier";
        }
        if (t.waiting[i] && h && t.tickets[i].tier < h->tier) {
            return "the head is not of the highest waiting tier";
        }
    }
    return NULL;
}

static const char *
history(uint64_t seed)
{
    memset(&t, 0, sizeof(t));
    mg_rng_init(&t.rng, seed);
    t.q = mg_tierq_new();
    const char *error = NULL;
    for (int i = 0; i < STEPS && error == NULL; i++) {
        int k = (int)mg_rng_below(&t.rng, TICKETS);
        uint32_t what = mg_rng_below(&t.rng, 100);
        if (!t.waiting[k]) {
            add(k);
        }
        else if (what < 40) {
            serve(model_head());
        }
        else if (what < 60) {
            t.waiting[k] = false;
            mg_tierq_remove(t.q, &t.tickets[k]);
        }
        error = check();
    }
    mg_tierq_free(t.q);
    return error;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

/* A workspace that floods its tier is served in proportion to its weight. */
static void
test_fair_share(void)
{
    static mg_ticket flood[200];
    static mg_ticket calm[50];
    mg_tierq *q = mg_tierq_new();
    for (int i = 0; i < 200; i++) {
        flood[i] = (mg_ticket){.workspace = "w0", .weight = 1, .prefill = 99};
        mg_tierq_add(q, &flood[i]);
    }
    for (int i = 0; i < 50; i++) {
        calm[i] = (mg_ticket){.workspace = "w1", .weight = 1, .prefill = 99};
        mg_tierq_add(q, &calm[i]);
    }
    int served[2] = {0, 0};
    for (int i = 0; i < 60; i++) {
        mg_ticket *k = mg_tierq_head(q);
        served[workspace_of(k)]++;
        mg_tierq_serve(q, k);
    }
    CU_ASSERT(served[0] >= 29 && served[0] <= 31);
    CU_ASSERT(served[1] >= 29 && served[1] <= 31);
    /* the flooding workspace is shed first */
    CU_ASSERT_EQUAL(workspace_of(mg_tierq_victim(q)), 0);
    mg_tierq_free(q);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random histories against a reference model", test_histories},
        {"fair share when a workspace floods its tier", test_fair_share},
        CU_TEST_INFO_NULL,
    };
    return run_suite("tierq", tests);
}
