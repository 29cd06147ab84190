/*
 * A node's view of the log against members that are cut off in turn, over
 * seeded histories. The links are the ones below: the client's messages go
 * to the members of this file.
 */
#include "suite.h"

#include "group/group_client.h"

#define MEMBERS 3
#define STEP_MS 50
#define STEPS 200
/* a node hears of a change within this when it reaches a majority's side */
#define HEARS_MS 2000
#define NEVER INT64_MAX

struct member {
    bool reached;    /* by the node */
    bool with_most;  /* on the side of the majority */
    uint64_t rev;    /* it has applied up to */
    uint64_t pulled; /* seq of a pull that waits, 0: none */
    uint64_t pulled_rev;
    int64_t pulled_until;
};

static struct {
    mg_clock clock;
    int64_t now;
    struct member members[MEMBERS];
    uint64_t rev;       /* committed */
    uint64_t had;       /* by the client */
    int64_t rev_at;     /* when the last revision was committed */
    int64_t good_since; /* the node reaches most members' side since */
    mg_group_client *client;
} world;

static const char *const names[MEMBERS] = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};

static struct member *
member_of(const char *peer)
{
    char name[MG_NAME_SIZE];
    for (int i = 0; i < MEMBERS; i++) {
        mg_group_peer_name(name, names[i]);
        if (strcmp(name, peer) == 0) {
            return &world.members[i];
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
    return member_of(peer)->reached;
}

mg_rc
mg_net_send(mg_net *net, const char *peer, const mg_msg *m)
{
    struct member *to = member_of(peer);
    (void)net;
    if (m->type == MG_MSG_PULL && to->reached) {
        to->pulled = m->u.pull.seq;
        to->pulled_rev = m->u.pull.rev;
        to->pulled_until = world.now + (int64_t)m->u.pull.wait_ms;
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
    world.had = r->rev > world.had ? r->rev : world.had;
}

/* the first member of the majority's side leads it */
static const char *
leader_for(const struct member *m)
{
    static char name[MG_NAME_SIZE];
    name[0] = '\0';
    for (int i = 0; m->with_most && i < MEMBERS; i++) {
        if (world.members[i].with_most) {
            mg_group_peer_name(name, names[i]);
            break;
        }
    }
    return name;
}

static void
answer_pull(int i)
{
    struct member *from = &world.members[i];
    char peer[MG_NAME_SIZE];
    mg_buf records = {0};
    mg_msg rec = {.type = MG_MSG_RECORD};
    mg_msg m = {.type = MG_MSG_PULL_REP};
    rec.u.record.rev = from->rev;
    if (from->rev > from->pulled_rev) {
        mg_msg_encode(&rec, &records);
    }
    m.u.pull_rep.seq = from->pulled;
    m.u.pull_rep.rev = from->rev;
    m.u.pull_rep.leader = mg_str_of(leader_for(from));
    m.u.pull_rep.records = mg_str_buf(&records);
    from->pulled = 0;
    mg_group_peer_name(peer, names[i]);
    mg_group_client_receive(world.client, peer, &m);
    mg_buf_free(&records);
}

static void
change_cut(mg_rng *r)
{
    int out = (int)(mg_rng_unit(r) * (MEMBERS + 1)); /* MEMBERS: nobody */
    for (int i = 0; i < MEMBERS; i++) {
        world.members[i].with_most = i != out;
        world.members[i].reached = mg_rng_unit(r) < 0.7;
    }
}

static bool
reaches_most(void)
{
    for (int i = 0; i < MEMBERS; i++) {
        if (world.members[i].reached && world.members[i].with_most) {
            return true;
        }
    }
    return false;
}

static void
step(mg_rng *r)
{
    world.now += STEP_MS;
    if (mg_rng_unit(r) < 0.02) {
        change_cut(r);
        world.good_since = reaches_most() ? world.now : NEVER;
    }
    if (mg_rng_unit(r) < 0.05) {
        world.rev++;
        world.rev_at = world.now;
    }
    mg_group_client_tick(world.client);
    for (int i = 0; i < MEMBERS; i++) {
        struct member *m = &world.members[i];
        if (m->with_most) {
            m->rev = world.rev;
        }
        if (m->pulled != 0 && m->reached &&
            (m->rev > m->pulled_rev || world.now >= m->pulled_until)) {
            answer_pull(i);
        }
    }
}

static const char *
history(uint64_t seed)
{
    static char why[128];
    mg_rng r;
    mg_voters seats = {.rev = 1, .count = MEMBERS};
    mg_rng_init(&r, seed);
    memset(&world, 0, sizeof(world));
    world.clock.mono_ms = world_now;
    world.now = 1000;
    world.good_since = world.now;
    for (int i = 0; i < MEMBERS; i++) {
        world.members[i].reached = true;
        world.members[i].with_most = true;
        mg_str_copy(seats.ip[i], MG_NAME_SIZE, mg_str_of(names[i]));
    }
    world.client = mg_group_client_new(&(mg_group_client_options){
        .clock = &world.clock,
        .on_record = on_record,
    });
    mg_group_client_set_voters(world.client, &seats, 1);
    for (int k = 0; k < STEPS; k++) {
        step(&r);
        int64_t since =
            world.good_since > world.rev_at ? world.good_since : world.rev_at;
        if (since != NEVER && world.now - since > HEARS_MS &&
            world.had != world.rev) {
            snprintf(why, sizeof(why),
                     "at %lld the node has revision %llu of %llu",
                     (long long)world.now, (unsigned long long)world.had,
                     (unsigned long long)world.rev);
            return why;
        }
    }
    return NULL;
}

static void
test_histories(void)
{
    run_histories(history, HISTORIES);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a node hears of changes while members are cut off", test_histories},
        CU_TEST_INFO_NULL,
    };
    return run_suite("group_client", tests);
}
