/*
 * Who counts for a majority of one member of the log: learners, a voter and
 * its successor, and what a change of the voters proves. No I/O; what it sends
 * is counted and dropped.
 */
#include "suite.h"

#include "control/raft.h"

#define VOTERS 3
#define LEARNER 4

static struct {
    mg_raft_callbacks callbacks;
    mg_manual_clock clock;
    unsigned vote_requests;
} world;

static void
count_message(mg_raft_callbacks *cb, unsigned to, const mg_msg *m)
{
    (void)cb;
    (void)to;
    world.vote_requests += m->type == MG_MSG_VOTE_REQ;
}

static mg_rc
save_meta(mg_raft_callbacks *cb, const mg_raft_meta *meta)
{
    (void)cb;
    (void)meta;
    return MG_OK;
}

static mg_rc
append(mg_raft_callbacks *cb, const mg_raft_entry *e)
{
    (void)cb;
    (void)e;
    return MG_OK;
}

static mg_rc
truncate_log(mg_raft_callbacks *cb, uint64_t index)
{
    (void)cb;
    (void)index;
    return MG_OK;
}

static mg_rc
sync_log(mg_raft_callbacks *cb)
{
    (void)cb;
    return MG_OK;
}

static void
apply(mg_raft_callbacks *cb, const mg_raft_entry *e)
{
    (void)cb;
    (void)e;
}

static void
role_changed(mg_raft_callbacks *cb, mg_raft_role role, uint64_t term)
{
    (void)cb;
    (void)role;
    (void)term;
}

static mg_raft_options
options_of(unsigned id)
{
    mg_manual_clock_init(&world.clock);
    world.vote_requests = 0;
    world.callbacks = (mg_raft_callbacks){
        .send = count_message,
        .save_meta = save_meta,
        .append = append,
        .truncate = truncate_log,
        .sync = sync_log,
        .apply = apply,
        .role_changed = role_changed,
    };
    return (mg_raft_options){
        .id = id,
        .members = id > VOTERS ? id : VOTERS,
        .callbacks = &world.callbacks,
        .clock = &world.clock.clock,
        .seed = 1,
        .meta = {0, 0, 100 + id, 1},
    };
}

static void
wait_for_election(mg_raft *r)
{
    for (int i = 0; i < 100; i++) {
        world.clock.mono += 10;
        mg_raft_tick(r);
    }
}

static void
grant_vote(mg_raft *r, unsigned from, bool pre)
{
    mg_msg m = {.type = MG_MSG_VOTE_REP};
    m.u.vote_rep.term = mg_raft_term(r) + pre;
    m.u.vote_rep.granted = 1;
    m.u.vote_rep.pre = pre;
    mg_raft_receive(r, from, &m);
}

static void
acknowledge(mg_raft *r, unsigned from)
{
    mg_msg m = {.type = MG_MSG_APPEND_REP};
    m.u.append_rep.term = mg_raft_term(r);
    m.u.append_rep.ok = 1;
    m.u.append_rep.match = mg_raft_last_index(r);
    m.u.append_rep.round = 1;
    m.u.append_rep.uid = 100 + from;
    m.u.append_rep.voter = 1;
    mg_raft_receive(r, from, &m);
}

static mg_raft *
new_leader(void)
{
    mg_raft_options opts = options_of(1);
    mg_raft *r = mg_raft_new(&opts);
    wait_for_election(r);
    grant_vote(r, 2, true);
    grant_vote(r, 2, false);
    mg_raft_flush(r);
    acknowledge(r, 2);
    CU_ASSERT_TRUE(mg_raft_ready(r));
    return r;
}

/* Whether an entry that the leader and these members have is committed. */
static bool
commits(mg_raft *r, const unsigned *members, size_t n)
{
    uint64_t index;
    uint64_t term;
    mg_raft_propose(r, mg_str_of("x"), &index, &term);
    mg_raft_flush(r);
    for (size_t i = 0; i < n; i++) {
        acknowledge(r, members[i]);
    }
    return mg_raft_commit_index(r) == index;
}

static void
test_learner(void)
{
    mg_raft *r = new_leader();
    mg_raft_add_learner(r, LEARNER);
    CU_ASSERT_FALSE(commits(r, (unsigned[]){LEARNER}, 1));
    CU_ASSERT_TRUE(mg_raft_slot_votes(r, LEARNER));
    CU_ASSERT_TRUE(commits(r, (unsigned[]){2}, 1));
    /* it keeps no leader in office */
    world.clock.mono += MG_RAFT_ELECTION_MAX_MS;
    acknowledge(r, LEARNER);
    mg_raft_tick(r);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_FOLLOWER);
    /* and elects none */
    wait_for_election(r);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_PRE_CANDIDATE);
    grant_vote(r, LEARNER, true);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_PRE_CANDIDATE);
    mg_raft_free(r);
}

static void
test_learner_starts_no_election(void)
{
    mg_raft_options opts = options_of(LEARNER);
    opts.learner = true;
    mg_raft *r = mg_raft_new(&opts);
    wait_for_election(r);
    CU_ASSERT_EQUAL(world.vote_requests, 0);
    mg_raft_promote_learner(r, LEARNER);
    wait_for_election(r);
    CU_ASSERT_TRUE(world.vote_requests > 0);
    mg_raft_free(r);
}

/* Of a voter, 3, and its successor, 4, each counts with the other two only. */
static void
test_swap(void)
{
    mg_raft *r = new_leader();
    mg_raft_add_learner(r, LEARNER);
    mg_raft_promote_learner(r, LEARNER);
    CU_ASSERT_FALSE(commits(r, (unsigned[]){2}, 1));
    mg_raft_set_swap(r, 3, LEARNER);
    CU_ASSERT_FALSE(commits(r, (unsigned[]){3}, 1));
    mg_raft_free(r);
    r = new_leader();
    mg_raft_add_learner(r, LEARNER);
    mg_raft_promote_learner(r, LEARNER);
    mg_raft_set_swap(r, 3, LEARNER);
    CU_ASSERT_FALSE(commits(r, (unsigned[]){LEARNER}, 1));
    CU_ASSERT_TRUE(commits(r, (unsigned[]){3, LEARNER}, 2));
    CU_ASSERT_TRUE(commits(r, (unsigned[]){2}, 1));
    /* so for elections */
    world.clock.mono += MG_RAFT_ELECTION_MAX_MS;
    acknowledge(r, LEARNER);
    mg_raft_tick(r);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_FOLLOWER);
    wait_for_election(r);
    grant_vote(r, LEARNER, true);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_PRE_CANDIDATE);
    grant_vote(r, 3, true);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_CANDIDATE);
    grant_vote(r, 3, false);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_CANDIDATE);
    grant_vote(r, 2, false);
    CU_ASSERT_EQUAL(mg_raft_get_role(r), MG_RAFT_LEADER);
    mg_raft_free(r);
}

static void
put_voters(mg_buf *out)
{
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    put.u.cmd_put.kind = MG_RECORD_VOTERS;
    mg_msg_encode(&put, out);
}

static void
put_entry(mg_buf *out, uint64_t index, mg_str data)
{
    mg_msg m = {.type = MG_MSG_LOG_ENTRY};
    m.u.log_entry.term = 1;
    m.u.log_entry.index = index;
    m.u.log_entry.data = data;
    mg_msg_encode(&m, out);
}

/* Guards against a member that has a change of the voters in its log and still
   counts by the voters of two changes ago. */
static void
test_change_proves_former(void)
{
    mg_buf voters = {0};
    mg_buf entries = {0};
    put_voters(&voters);
    mg_raft_options opts = options_of(2);
    mg_raft *r = mg_raft_new(&opts);
    put_entry(&entries, 1, mg_str_of("x"));
    put_entry(&entries, 2, mg_str_buf(&voters));
    put_entry(&entries, 3, mg_str_of("x"));
    mg_msg m = {.type = MG_MSG_APPEND};
    m.u.append.term = 1;
    m.u.append.entries = mg_str_buf(&entries);
    mg_raft_receive(r, 1, &m);
    CU_ASSERT_EQUAL(mg_raft_applied_index(r), 0);
    put_entry(&entries, 4, mg_str_buf(&voters));
    m.u.append.entries = mg_str_buf(&entries);
    mg_raft_receive(r, 1, &m);
    CU_ASSERT_EQUAL(mg_raft_applied_index(r), 2);
    mg_raft_free(r);
    /* and so after a start */
    mg_raft_entry stored[] = {{1, 1, mg_str_buf(&voters)},
                              {1, 2, mg_str_of("x")},
                              {1, 3, mg_str_buf(&voters)}};
    opts = options_of(2);
    opts.entries = stored;
    opts.entry_count = 3;
    r = mg_raft_new(&opts);
    CU_ASSERT_EQUAL(mg_raft_applied_index(r), 1);
    mg_raft_free(r);
    mg_buf_free(&voters);
    mg_buf_free(&entries);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a learner doesn't count", test_learner},
        {"a learner starts no election", test_learner_starts_no_election},
        {"a voter and its successor", test_swap},
        {"a change of the voters proves the former",
         test_change_proves_former},
        CU_TEST_INFO_NULL,
    };
    return run_suite("raft_voters", tests);
}
