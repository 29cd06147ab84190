/*
 * With drifting clocks, late, lost and duplicated messages and changes of the
 * grantor, two holders must never have valid leases of one scope at the same
 * time. Also tests that the assignment of pools to entries is stable.
 */
#include "suite.h"

#include "control/assign.h"
#include "topology/lease.h"

#define STEPS 400
#define HOLDERS 2
#define GRANTORS 2
#define DELAY_MAX_MS 6000

struct process {
    mg_manual_clock clock;
    double rate; /* of its clock, relative to real time */
};

struct message {
    bool reply;
    int grantor;
    int holder;
    int64_t sent_ms; /* on the holder's clock */
    int64_t arrives; /* real time, ms */
    bool in_flight;
};

static struct {
    mg_rng rng;
    double now; /* real ms */
    struct process holders[HOLDERS];
    struct process grantors[GRANTORS];
    mg_lease leases[HOLDERS];
    mg_lease_table *tables[GRANTORS];
    int leader;
    int owner;                   /* of the scope, by the leader's assignment */
    bool assumes_owner[HOLDERS]; /* by the last reply the holder received */
    struct message wire[16];
} s;

static void
advance(double ms)
{
    s.now += ms;
    for (int i = 0; i < HOLDERS; i++) {
        s.holders[i].clock.mono = (int64_t)(s.now * s.holders[i].rate);
    }
    for (int i = 0; i < GRANTORS; i++) {
        s.grantors[i].clock.mono = (int64_t)(s.now * s.grantors[i].rate);
    }
}

static void
send_message(bool reply, int grantor, int holder, int64_t sent)
{
    for (int i = 0; i < 16; i++) {
        if (!s.wire[i].in_flight) {
            int64_t delay = mg_rng_below(&s.rng, 4) == 0
                                ? mg_rng_below(&s.rng, DELAY_MAX_MS)
                                : mg_rng_below(&s.rng, 20);
            s.wire[i] = (struct message){
                reply, grantor, holder, sent, (int64_t)s.now + delay, true};
            return;
        }
    }
}

static const char *name[HOLDERS] = {"entry-1", "entry-2"};

static void
deliver(struct message *m)
{
    if (!m->reply) {
        /* only the leader grants: a majority has confirmed that it leads */
        if (m->grantor == s.leader) {
            mg_lease_table_grant(s.tables[m->grantor], name[m->holder], 1);
            send_message(true, m->grantor, m->holder, m->sent_ms);
        }
    }
    else {
        mg_lease_renewed(&s.leases[m->holder], m->sent_ms, MG_LEASE_MS);
        s.assumes_owner[m->holder] = s.owner == m->holder;
    }
    m->in_flight = mg_rng_below(&s.rng, 20) == 0 && m->reply; /* duplicated */
}

static void
reassign_scope(void)
{
    if (mg_lease_table_state(s.tables[s.leader], name[s.owner], 1) ==
        MG_LEASE_NONE) {
        int other = 1 - s.owner;
        if (mg_lease_table_state(s.tables[s.leader], name[other], 1) ==
            MG_LEASE_LIVE) {
            s.owner = other;
        }
    }
}

static const char *
check_single_holder(void)
{
    int active = 0;
    for (int i = 0; i < HOLDERS; i++) {
        active += s.assumes_owner[i] &&
                  mg_lease_valid(&s.leases[i], s.holders[i].clock.mono);
    }
    return active > 1 ? "two holders at the same time" : NULL;
}

static const char *
history(uint64_t seed)
{
    memset(&s, 0, sizeof(s));
    mg_rng_init(&s.rng, seed);
    for (int i = 0; i < HOLDERS; i++) {
        mg_manual_clock_init(&s.holders[i].clock);
        s.holders[i].rate = 0.98 + 0.04 * mg_rng_unit(&s.rng);
    }
    for (int i = 0; i < GRANTORS; i++) {
        mg_manual_clock_init(&s.grantors[i].clock);
        s.grantors[i].rate = 0.98 + 0.04 * mg_rng_unit(&s.rng);
        s.tables[i] = mg_lease_table_new(&s.grantors[i].clock.clock);
        mg_lease_table_take_over(s.tables[i]);
    }
    const char *violation = NULL;
    for (int i = 0; i < STEPS && violation == NULL; i++) {
        advance(mg_rng_below(&s.rng, 200));
        int h = (int)mg_rng_below(&s.rng, HOLDERS);
        if (mg_rng_below(&s.rng, 100) < 40) {
            send_message(false, s.leader, h, s.holders[h].clock.mono);
        }
        if (mg_rng_below(&s.rng, 100) < 2) {
            s.leader = 1 - s.leader;
            mg_lease_table_take_over(s.tables[s.leader]);
        }
        for (int k = 0; k < 16; k++) {
            if (s.wire[k].in_flight && s.wire[k].arrives <= (int64_t)s.now) {
                deliver(&s.wire[k]);
            }
        }
        reassign_scope();
        violation = check_single_holder();
    }
    for (int i = 0; i < GRANTORS; i++) {
        mg_lease_table_free(s.tables[i]);
    }
    return violation;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

/* removing an entry must not reassign the pools of the other entries */
static void
test_assignment_is_stable(void)
{
    mg_assign_candidate all[5] = {
        {"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}};
    mg_assign_candidate fewer[4] = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
    int held[5] = {0};
    for (int i = 0; i < 200; i++) {
        char pool[16];
        snprintf(pool, sizeof(pool), "pool-%d", i);
        int before = mg_assign_pool(pool, all, 5);
        int after = mg_assign_pool(pool, fewer, 4);
        held[before]++;
        CU_ASSERT(before == 4 || after == before);
    }
    for (int i = 0; i < 5; i++) {
        CU_ASSERT(held[i] >= 20 && held[i] <= 60);
    }
    CU_ASSERT_EQUAL(mg_assign_pool("pool", all, 0), -1);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"random histories", test_histories},
        {"assignment is stable", test_assignment_is_stable},
        CU_TEST_INFO_NULL,
    };
    return run_suite("lease", tests);
}
