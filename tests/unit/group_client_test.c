/*
 * Runs the client against simulated voters over seeded random histories, in
 * which voters become unreachable or isolated from the majority. Guards
 * against a client that keeps pulling from an isolated voter and so misses
 * updates. The mg_net functions below pass its messages to these voters.
 */
#include "suite.h"

#include "control/raft.h"
#include "group/group_client.h"

#define VOTERS 3
#define STEP_MS 50
#define STEPS 200
/* a client that reaches a voter of the majority is up to date within this */
#define UPDATE_LIMIT_MS 2000
#define NEVER INT64_MAX
#define REVS_MAX (STEPS + 1)

struct voter {
    bool reachable;    /* for the client */
    bool in_majority;  /* not isolated from the others */
    uint64_t rev;      /* last applied */
    uint64_t pull_seq; /* of the waiting PULL, 0: none */
    uint64_t pull_rev;
    int64_t pull_deadline_ms;
};

static struct {
    mg_clock clock;
    int64_t now;
    struct voter voters[VOTERS];
    uint64_t rev;                /* committed */
    uint64_t client_rev;         /* newest revision that the client received */
    int64_t committed_ms;        /* time of the last commit */
    int64_t commit_ms[REVS_MAX]; /* of each revision */
    int64_t received_after_ms;   /* a time before the last record, as told */
    int64_t reachable_since_ms;  /* when the majority became reachable */
    int64_t leader_since_ms;     /* when its leader did */
    uint64_t partial_below;      /* replies to lower revisions are partial */
    unsigned current;            /* calls of on_current() */
    mg_group_client *client;
} world;

static const char *const voter_ips[VOTERS] = {"10.0.0.1", "10.0.0.2",
                                              "10.0.0.3"};

static struct voter *
find_voter(const char *peer)
{
    char name[MG_NAME_SIZE];
    for (int i = 0; i < VOTERS; i++) {
        mg_group_peer_name(name, voter_ips[i]);
        if (strcmp(name, peer) == 0) {
            return &world.voters[i];
        }
    }
    return NULL;
}

void
mg_net_dial(mg_net *net, const char *peer, const char *addr)
{
    (void)net;
    (void)peer;
    (void)addr;
}

void
mg_net_undial(mg_net *net, const char *peer)
{
    (void)net;
    (void)peer;
}

bool
mg_net_is_up(mg_net *net, const char *peer)
{
    (void)net;
    return find_voter(peer)->reachable;
}

size_t
mg_net_unsent(mg_net *net, const char *peer)
{
    (void)net;
    (void)peer;
    return 0;
}

mg_rc
mg_net_send(mg_net *net, const char *peer, const mg_msg *m)
{
    struct voter *to = find_voter(peer);
    (void)net;
    if (m->type == MG_MSG_PULL && to->reachable) {
        to->pull_seq = m->u.pull.seq;
        to->pull_rev = m->u.pull.rev;
        to->pull_deadline_ms = world.now + (int64_t)m->u.pull.wait_ms;
    }
    return MG_OK;
}

static int64_t
world_now(mg_clock *c)
{
    (void)c;
    return world.now;
}

static void
on_record(void *user, const mg_record_msg *r)
{
    (void)user;
    world.client_rev = r->rev > world.client_rev ? r->rev : world.client_rev;
    world.received_after_ms = mg_group_client_complete_until(world.client);
}

/* Returns the leader: the first voter of the majority. Empty: unknown. */
static const char *
leader_seen_by(const struct voter *m)
{
    static char name[MG_NAME_SIZE];
    name[0] = '\0';
    for (int i = 0; m->in_majority && i < VOTERS; i++) {
        if (world.voters[i].in_majority) {
            mg_group_peer_name(name, voter_ips[i]);
            break;
        }
    }
    return name;
}

static void
reply_pull(int i)
{
    struct voter *from = &world.voters[i];
    char peer[MG_NAME_SIZE];
    mg_buf records = {0};
    mg_msg rec = {.type = MG_MSG_RECORD};
    mg_msg m = {.type = MG_MSG_PULL_REP};
    rec.u.record.rev = from->rev;
    if (from->rev > from->pull_rev) {
        mg_msg_encode(&rec, &records);
    }
    m.u.pull_rep.seq = from->pull_seq;
    m.u.pull_rep.rev = from->rev;
    m.u.pull_rep.partial = from->rev < world.partial_below;
    m.u.pull_rep.leader = mg_str_of(leader_seen_by(from));
    m.u.pull_rep.records = mg_str_buf(&records);
    from->pull_seq = 0;
    mg_group_peer_name(peer, voter_ips[i]);
    mg_group_client_receive(world.client, peer, &m);
    mg_buf_free(&records);
}

static void
change_partition(mg_rng *r)
{
    int isolated = (int)(mg_rng_unit(r) * (VOTERS + 1)); /* VOTERS: none */
    for (int i = 0; i < VOTERS; i++) {
        world.voters[i].in_majority = i != isolated;
        world.voters[i].reachable = mg_rng_unit(r) < 0.7;
    }
}

static bool
reaches_leader(void)
{
    for (int i = 0; i < VOTERS; i++) {
        if (world.voters[i].in_majority) {
            return world.voters[i].reachable;
        }
    }
    return false;
}

static bool
reaches_majority(void)
{
    for (int i = 0; i < VOTERS; i++) {
        if (world.voters[i].reachable && world.voters[i].in_majority) {
            return true;
        }
    }
    return false;
}

static void
run_step(mg_rng *r)
{
    world.now += STEP_MS;
    if (mg_rng_unit(r) < 0.02) {
        change_partition(r);
        world.reachable_since_ms = reaches_majority() ? world.now : NEVER;
        world.leader_since_ms = reaches_leader() ? world.now : NEVER;
    }
    if (mg_rng_unit(r) < 0.05) {
        world.rev++;
        world.committed_ms = world.now;
        world.commit_ms[world.rev] = world.now;
    }
    mg_group_client_tick(world.client);
    for (int i = 0; i < VOTERS; i++) {
        struct voter *m = &world.voters[i];
        if (m->in_majority) {
            m->rev = world.rev;
        }
        if (m->pull_seq != 0 && m->reachable &&
            (m->rev > m->pull_rev || world.now >= m->pull_deadline_ms)) {
            reply_pull(i);
        }
    }
}

static void
on_current(void *user)
{
    (void)user;
    world.current++;
}

static void
open_client(void)
{
    mg_voters voters = {.rev = 1, .count = VOTERS};
    memset(&world, 0, sizeof(world));
    world.clock.mono_ms = world_now;
    world.now = 1000;
    world.reachable_since_ms = world.now;
    world.leader_since_ms = world.now;
    for (int i = 0; i < VOTERS; i++) {
        world.voters[i].reachable = true;
        world.voters[i].in_majority = true;
        mg_str_copy(voters.ip[i], MG_NAME_SIZE, mg_str_of(voter_ips[i]));
    }
    world.client = mg_group_client_new(&(mg_group_client_options){
        .clock = &world.clock,
        .on_record = on_record,
        .on_current = on_current,
    });
    mg_group_client_set_voters(world.client, &voters, 1);
}

/* Whether the client claims to have had a record that it lacks, or that one
   came after a time at which it had been committed already. */
static bool
claims_too_much(void)
{
    int64_t until = mg_group_client_complete_until(world.client);
    bool lacks_one = world.client_rev < world.rev &&
                     world.commit_ms[world.client_rev + 1] <= until;
    return lacks_one ||
           (world.client_rev > 0 &&
            world.commit_ms[world.client_rev] < world.received_after_ms);
}

static const char *
run_history(uint64_t seed)
{
    static char why[128];
    mg_rng r;
    mg_rng_init(&r, seed);
    open_client();
    for (int k = 0; k < STEPS; k++) {
        run_step(&r);
        if (claims_too_much()) {
            return "the client claims to have had a record too early";
        }
        if (world.leader_since_ms < world.now - UPDATE_LIMIT_MS &&
            mg_group_client_complete_until(world.client) <
                world.now - UPDATE_LIMIT_MS - MG_RAFT_ELECTION_MAX_MS) {
            return "the client doesn't know how far its records reach";
        }
        int64_t since = world.reachable_since_ms > world.committed_ms
                            ? world.reachable_since_ms
                            : world.committed_ms;
        if (since != NEVER && world.now - since > UPDATE_LIMIT_MS &&
            world.client_rev != world.rev) {
            snprintf(why, sizeof(why),
                     "at %lld ms the client has revision %llu of %llu",
                     (long long)world.now,
                     (unsigned long long)world.client_rev,
                     (unsigned long long)world.rev);
            return why;
        }
    }
    return NULL;
}

static void
test_histories(void)
{
    run_histories(run_history, HISTORIES);
}

static void
count_done(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    (void)rc;
    (void)rev;
    (void)why;
    ++*(int *)user;
}

/* a reply to an earlier process of the same node, which counted its commands
   from the start too, confirms no command of this one */
static void
test_reply_to_earlier_process(void)
{
    int done = 0;
    mg_msg command = {.type = MG_MSG_CMD_NOOP};
    CU_ASSERT_PTR_NULL(run_history(1));
    mg_group_client_propose(world.client, &command, 5000, count_done, &done);
    for (uint64_t seq = 0; seq < 10000; seq++) {
        mg_msg m = {.type = MG_MSG_PROPOSED};
        m.u.proposed.seq = seq;
        m.u.proposed.rc = MG_OK;
        mg_group_client_receive(world.client, "group/10.0.0.1", &m);
    }
    CU_ASSERT_EQUAL(done, 0);
}

/* Guards against a node that serves by a document while it lacks later
   records, as those of versions that must get no requests. */
static void
test_partial_replies(void)
{
    enum { LAST_REV = 4 };
    open_client();
    world.partial_below = LAST_REV;
    for (uint64_t rev = 1; rev <= LAST_REV + 1; rev++) {
        mg_group_client_tick(world.client);
        for (int i = 0; i < VOTERS; i++) {
            world.voters[i].rev = rev;
            if (world.voters[i].pull_seq != 0) {
                reply_pull(i);
            }
        }
        CU_ASSERT_EQUAL(world.client_rev, rev);
        CU_ASSERT_EQUAL(world.current, rev >= LAST_REV);
        CU_ASSERT_EQUAL(mg_group_client_complete_until(world.client) >
                            INT64_MIN,
                        rev >= LAST_REV);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a node receives updates while voters are partitioned",
         test_histories},
        {"a reply to an earlier process", test_reply_to_earlier_process},
        {"replies that are not complete", test_partial_replies},
        CU_TEST_INFO_NULL,
    };
    return run_suite("group_client", tests);
}
