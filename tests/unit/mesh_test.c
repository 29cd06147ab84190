/*
 * Simulates the mesh of 300 nodes in one process; a queue replaces the links.
 * Guards against traffic per node that grows with the number of nodes, and
 * against nodes that miss a node's start or failure.
 */
#include "suite.h"

#include "node/mesh.h"

#define NODES 300
#define HUBS 5
#define DOMAINS 5
#define PORT 7601
#define STEP_MS 50
#define REPORT_MS 500
#define LOADS_BYTES 150
#define WORKSPACES 16
/* reports of workspaces must reach a node in at most this part of their size
 */
#define PACKED_MAX 0.5
/* every node learns within this time that a node started or failed */
#define CONVERGE_MS 3500
#define MEASURE_MS 4000
/* limit of messages per second that a node other than a hub may send */
#define SENT_PER_S_MAX 6
#define QUEUE_MAX 400000
/* nodes that restart together */
#define RESTARTS 60
/* delay of the messages of one hub to the other hubs */
#define LATE_MS 400
/* limit of changes of nodes that a node receives for each restart: from each
   hub the states starting and ready, and both again when copies cross */
#define CHANGES_PER_RESTART_MAX (4 * HUBS)

/* limit of the traffic at a node while another one is missing, in tenths of
   the usual: batches of two hubs, and heartbeats by all of them */
#define MISSING_TRAFFIC_MAX_TENTHS 25
/* bytes per 50 ms that a hub can send when its link is slow: 3 MB/s, half of
   what its reports to all nodes need */
#define SLOW_HUB_BYTES 150000
/* every node learns within this time that another one takes no new work */
#define CHANGE_MS 2500

/* the links of one node */
struct mg_net {
    int node;
    bool dialled[NODES];
    size_t unsent[NODES];
    size_t unsent_total;
};

struct node {
    struct mg_net net;
    mg_mesh *mesh;
    char ip[MG_NAME_SIZE];
    bool up;
    uint64_t sent;
    uint64_t received_bytes;
    uint64_t received_changes; /* NODE messages */
};

struct packet {
    int from;
    int to;
    int64_t due_ms;
    mg_buf bytes;
};

static struct node nodes[NODES];
static struct packet *queue;
static size_t queued;
static mg_manual_clock clk;
static int late_hub = -1; /* its messages to other hubs are LATE_MS late */
static bool slow_hubs;    /* hubs send SLOW_HUB_BYTES in each step */
static bool workspaces;   /* see make_loads() */
static mg_rng rng;

static int
node_index(const char *ip)
{
    return (int)strtol(strrchr(ip, '.') + 1, NULL, 10) +
           256 * (int)strtol(strchr(ip, '.') + 1, NULL, 10);
}

static bool
linked(int a, int b)
{
    return nodes[a].up && nodes[b].up &&
           (nodes[a].net.dialled[b] || nodes[b].net.dialled[a]);
}

void
mg_net_dial(mg_net *net, const char *peer, const char *addr)
{
    int to = node_index(peer);
    (void)addr;
    if (!net->dialled[to]) {
        net->dialled[to] = true;
        if (linked(net->node, to) && nodes[to].mesh != NULL) {
            mg_mesh_link_up(nodes[to].mesh, nodes[net->node].ip);
        }
    }
}

void
mg_net_undial(mg_net *net, const char *peer)
{
    net->dialled[node_index(peer)] = false;
}

bool
mg_net_is_up(mg_net *net, const char *peer)
{
    return linked(net->node, node_index(peer));
}

mg_rc
mg_net_send(mg_net *net, const char *peer, const mg_msg *m)
{
    int to = node_index(peer);
    if (!linked(net->node, to) || queued == QUEUE_MAX) {
        return MG_E_CLOSED;
    }
    struct packet *p = &queue[queued++];
    *p = (struct packet){.from = net->node, .to = to, .due_ms = clk.mono};
    if (net->node == late_hub && to < HUBS) {
        p->due_ms += LATE_MS;
    }
    mg_msg_encode(m, &p->bytes);
    net->unsent[to] += p->bytes.n;
    net->unsent_total += p->bytes.n;
    nodes[net->node].sent++;
    return MG_OK;
}

size_t
mg_net_unsent(mg_net *net, const char *peer)
{
    return net->unsent[node_index(peer)];
}

size_t
mg_net_unsent_total(const mg_net *net)
{
    return net->unsent_total;
}

static mg_announce_result
on_instance(void *user, const mg_announcement *a)
{
    (void)user;
    (void)a;
    return MG_ANNOUNCE_HEARTBEAT;
}

static void
on_report(void *user, const char *node, uint64_t incarnation, mg_str loads)
{
    (void)user;
    (void)node;
    (void)incarnation;
    (void)loads;
}

static void
each_instance(void *user, void (*f)(void *to, const mg_announcement *a),
              void *to)
{
    (void)user;
    (void)f;
    (void)to;
}

/* Whether the packet leaves its sender in this step. */
static bool
is_sent(const struct packet *p, size_t sent_by_hub[HUBS])
{
    if (p->due_ms > clk.mono) {
        return false;
    }
    if (!slow_hubs || p->from >= HUBS) {
        return true;
    }
    /* what does not fit keeps its place in the queue */
    sent_by_hub[p->from] += p->bytes.n;
    return sent_by_hub[p->from] <= SLOW_HUB_BYTES;
}

static void
deliver(void)
{
    size_t sent_by_hub[HUBS] = {0};
    size_t n = queued;
    struct packet *packets = queue;
    queue = mg_alloc(QUEUE_MAX * sizeof(*queue));
    queued = 0;
    for (size_t i = 0; i < n; i++) {
        struct packet *p = &packets[i];
        mg_str rest = mg_str_buf(&p->bytes);
        mg_msg m;
        if (!is_sent(p, sent_by_hub) && queued < QUEUE_MAX) {
            queue[queued++] = *p;
            continue;
        }
        nodes[p->from].net.unsent[p->to] -= p->bytes.n;
        nodes[p->from].net.unsent_total -= p->bytes.n;
        if (nodes[p->to].up && mg_msg_next(&rest, &m) == MG_OK) {
            nodes[p->to].received_bytes += p->bytes.n;
            nodes[p->to].received_changes += m.type == MG_MSG_NODE;
            mg_mesh_receive(nodes[p->to].mesh, nodes[p->from].ip, &m);
        }
        mg_buf_free(&p->bytes);
    }
    free(packets);
}

/* Random bytes, which don't shrink when they are packed, or what an entry
   reports that is rarely used: the use of each workspace. */
static void
make_loads(int node, mg_buf *loads)
{
    for (int i = 0; i < LOADS_BYTES && !workspaces; i += 2) {
        uint32_t bits = mg_rng_below(&rng, 65536);
        mg_buf_put(loads, &bits, 2);
    }
    for (unsigned i = 0; i < WORKSPACES && workspaces; i++) {
        char name[MG_NAME_SIZE];
        mg_msg m = {.type = MG_MSG_LOAD_USAGE};
        snprintf(name, sizeof(name), "workspace-%x", i * 2654435761u >> 12);
        m.u.load_usage.workspace = mg_str_of(name);
        m.u.load_usage.used =
            1000000 + 7919u * (unsigned)node + mg_rng_below(&rng, 5000);
        mg_msg_encode(&m, loads);
    }
}

static void
step(void)
{
    clk.mono += STEP_MS;
    deliver();
    for (int i = 0; i < NODES; i++) {
        if (!nodes[i].up) {
            continue;
        }
        if ((clk.mono / STEP_MS + i) % (REPORT_MS / STEP_MS) == 0) {
            mg_buf loads = {0};
            make_loads(i, &loads);
            mg_mesh_report(nodes[i].mesh, 1, mg_str_buf(&loads));
            mg_buf_free(&loads);
        }
        mg_mesh_tick(nodes[i].mesh);
    }
}

static void
run_ms(int64_t ms)
{
    for (int64_t t = 0; t < ms; t += STEP_MS) {
        step();
    }
}

static mg_voters
node_range(int from, int n)
{
    mg_voters v = {.rev = 1};
    for (int i = from; i < from + n; i++) {
        mg_str_copy(v.ip[v.count++], MG_NAME_SIZE, mg_str_of(nodes[i].ip));
    }
    return v;
}

static void
open_node(int i, uint64_t incarnation)
{
    static const char *const domains[DOMAINS] = {"a", "b", "c", "d", "e"};
    mg_voters hubs = node_range(0, HUBS);
    nodes[i].mesh = mg_mesh_new(&(mg_mesh_options){
        .net = &nodes[i].net,
        .clock = &clk.clock,
        .node = nodes[i].ip,
        .front_addr = "10.0.0.1:1",
        .domain = domains[i % DOMAINS],
        .region = "r",
        .incarnation = incarnation,
        .on_instance = on_instance,
        .on_report = on_report,
        .each_instance = each_instance,
    });
    mg_mesh_set_contacts(nodes[i].mesh, &hubs, PORT);
    mg_mesh_set_hubs(nodes[i].mesh, &hubs, PORT);
}

static void
open_all(void)
{
    mg_manual_clock_init(&clk);
    clk.mono = 100000;
    queue = mg_alloc(QUEUE_MAX * sizeof(*queue));
    queued = 0;
    memset(nodes, 0, sizeof(nodes));
    for (int i = 0; i < NODES; i++) {
        nodes[i].net.node = i;
        nodes[i].up = true;
        snprintf(nodes[i].ip, MG_NAME_SIZE, "10.%d.0.%d", i / 256, i % 256);
    }
    late_hub = -1;
    slow_hubs = false;
    for (int i = 0; i < NODES; i++) {
        open_node(i, 7);
        mg_mesh_set_ready(nodes[i].mesh, true);
    }
}

/* Stops a node and starts it again; its links come up on both ends. */
static void
restart_node(int i, uint64_t incarnation)
{
    memset(nodes[i].net.dialled, 0, sizeof(nodes[i].net.dialled));
    open_node(i, incarnation);
    for (int h = 0; h < HUBS; h++) {
        mg_mesh_link_up(nodes[i].mesh, nodes[h].ip);
    }
    mg_mesh_set_ready(nodes[i].mesh, true);
}

/* the lowest number of ready nodes that any running node knows */
static size_t
min_known(void)
{
    static const mg_mesh_node *out[NODES];
    size_t min_count = NODES;
    for (int i = 0; i < NODES; i++) {
        size_t n = mg_mesh_ready_nodes(nodes[i].mesh, out, NODES);
        if (nodes[i].up && n < min_count) {
            min_count = n;
        }
    }
    return min_count;
}

/* the highest number of ready nodes that any running node knows */
static size_t
max_known(void)
{
    static const mg_mesh_node *out[NODES];
    size_t max_count = 0;
    for (int i = 0; i < NODES; i++) {
        size_t n = mg_mesh_ready_nodes(nodes[i].mesh, out, NODES);
        if (nodes[i].up && n > max_count) {
            max_count = n;
        }
    }
    return max_count;
}

/* no message is sent from every node to every other at a fixed rate */
static void
test_rates(void)
{
    uint64_t max_sent = 0;
    uint64_t max_received = 0;
    open_all();
    run_ms(CONVERGE_MS);
    CU_ASSERT_EQUAL(min_known(), NODES);
    for (int i = 0; i < NODES; i++) {
        nodes[i].sent = 0;
        nodes[i].received_bytes = 0;
    }
    run_ms(MEASURE_MS);
    for (int i = HUBS; i < NODES; i++) {
        max_sent = nodes[i].sent > max_sent ? nodes[i].sent : max_sent;
        max_received = nodes[i].received_bytes > max_received
                           ? nodes[i].received_bytes
                           : max_received;
    }
    printf("\n  %d nodes: at most %.1f messages sent, %.1f KB received per "
           "second\n",
           NODES, (double)max_sent * 1000 / MEASURE_MS,
           (double)max_received / MEASURE_MS);
    CU_ASSERT_TRUE(max_sent * 1000 <= MEASURE_MS * SENT_PER_S_MAX);
    CU_ASSERT_EQUAL(min_known(), NODES);
}

/* the bytes that a node receives in a second, the most of any node */
static uint64_t
most_received(void)
{
    uint64_t most = 0;
    for (int i = 0; i < NODES; i++) {
        nodes[i].received_bytes = 0;
    }
    run_ms(1000);
    for (int i = HUBS; i < NODES; i++) {
        most = nodes[i].received_bytes > most ? nodes[i].received_bytes : most;
    }
    return most;
}

static void
test_batches_are_packed(void)
{
    mg_buf report = {0};
    workspaces = true;
    make_loads(1, &report);
    double size = (double)report.n * NODES * 1000 / REPORT_MS;
    mg_buf_free(&report);
    open_all();
    run_ms(CONVERGE_MS);
    double received = (double)most_received();
    workspaces = false;
    printf(
        "\n  reports of %d workspaces: %.1f KB a second, received %.1f KB\n",
        WORKSPACES, size / 1000, received / 1000);
    CU_ASSERT_TRUE(received <= size * PACKED_MAX);
    CU_ASSERT_EQUAL(min_known(), NODES);
}

/* CONFIG, DRAIN: while a node was missing, every node got the batches of all
   hubs, which filled the hubs' links when many nodes restarted */
static void
test_traffic_while_a_node_is_missing(void)
{
    open_all();
    run_ms(CONVERGE_MS);
    uint64_t before = most_received();
    nodes[77].up = false;
    run_ms(CONVERGE_MS);
    uint64_t missing = most_received();
    printf("\n  received per second: %.1f KB, while a node is missing "
           "%.1f KB\n",
           (double)before / 1000, (double)missing / 1000);
    CU_ASSERT_TRUE(missing * 10 <= before * MISSING_TRAFFIC_MAX_TENTHS);
}

/* a node, then two hubs, fail; one hub and the node return */
static void
test_failures(void)
{
    open_all();
    run_ms(CONVERGE_MS);
    nodes[77].up = false;
    run_ms(CONVERGE_MS);
    CU_ASSERT_EQUAL(max_known(), NODES - 1);
    CU_ASSERT_EQUAL(min_known(), NODES - 1);
    nodes[0].up = false;
    nodes[1].up = false;
    run_ms(CONVERGE_MS);
    CU_ASSERT_EQUAL(max_known(), NODES - 3);
    CU_ASSERT_EQUAL(min_known(), NODES - 3);
    nodes[0].up = true;
    nodes[77].up = true;
    run_ms(CONVERGE_MS);
    CU_ASSERT_EQUAL(min_known(), NODES - 1);
}

/* Restarts many nodes while the messages of a hub to other hubs are late, so
   that the state before a restart arrives after the state since then. */
static void
check_restarts(uint64_t before, uint64_t after)
{
    uint64_t most = 0;
    open_all();
    run_ms(CONVERGE_MS);
    late_hub = 0;
    for (int i = 0; i < RESTARTS; i++) {
        restart_node(100 + i, before);
    }
    run_ms(LATE_MS / 2);
    for (int i = 0; i < NODES; i++) {
        nodes[i].received_changes = 0;
    }
    for (int i = 0; i < RESTARTS; i++) {
        restart_node(100 + i, after);
    }
    run_ms(CONVERGE_MS);
    for (int i = HUBS; i < NODES; i++) {
        most = nodes[i].received_changes > most ? nodes[i].received_changes
                                                : most;
    }
    printf("\n  %d restarts: at most %llu changes received by a node\n",
           RESTARTS, (unsigned long long)most);
    CU_ASSERT_TRUE(most <= RESTARTS * CHANGES_PER_RESTART_MAX);
    CU_ASSERT_EQUAL(min_known(), NODES);
}

/* CONFIG, DRAIN: hubs sent two states of restarted hosts to each other
   without end, which filled their links */
static void
test_restarts(void)
{
    check_restarts(8, 9);
}

/* a clock that was set back gives the next start a lower incarnation */
static void
test_restarts_with_clock_set_back(void)
{
    check_restarts(9, 8);
}

/* CONFIG, DRAIN: a change waited on the hubs' links behind reports that were
   out of date before they were sent */
static void
test_change_on_slow_links(void)
{
    size_t most = 0;
    open_all();
    run_ms(CONVERGE_MS);
    slow_hubs = true;
    for (int i = 0; i < 10; i++) {
        run_ms(1000);
        for (int h = 0; h < HUBS; h++) {
            size_t unsent = nodes[h].net.unsent_total;
            most = unsent > most ? unsent : most;
        }
    }
    CU_ASSERT_EQUAL(max_known(), NODES);
    mg_mesh_set_ready(nodes[150].mesh, false);
    run_ms(CHANGE_MS);
    printf("\n  slow links of hubs: at most %zu KB unsent\n", most >> 10);
    CU_ASSERT_EQUAL(max_known(), NODES - 1);
    CU_ASSERT_TRUE(most <= MG_LINK_UNSENT_MAX);
}

/* DRAIN: a target's announcement was acknowledged while it waited behind
   megabytes on the links to the hubs */
static void
test_connected(void)
{
    open_all();
    run_ms(CONVERGE_MS);
    CU_ASSERT_TRUE(mg_mesh_connected(nodes[200].mesh));
    nodes[200].net.unsent[0] = 1 << 20;
    nodes[200].net.unsent[1] = 1 << 20;
    CU_ASSERT_TRUE(mg_mesh_connected(nodes[200].mesh));
    nodes[200].net.unsent[2] = 1 << 20;
    CU_ASSERT_FALSE(mg_mesh_connected(nodes[200].mesh));
}

/* new contacts replace the links to former contacts, but not to hubs */
static void
test_contacts(void)
{
    open_all();
    mg_voters contacts = node_range(10, 3);
    mg_mesh_set_contacts(nodes[20].mesh, &contacts, PORT);
    CU_ASSERT_TRUE(nodes[20].net.dialled[11]);
    CU_ASSERT_TRUE(nodes[20].net.dialled[0]);
    mg_voters new_contacts = node_range(30, 3);
    mg_mesh_set_contacts(nodes[20].mesh, &new_contacts, PORT);
    CU_ASSERT_FALSE(nodes[20].net.dialled[11]);
    CU_ASSERT_TRUE(nodes[20].net.dialled[31]);
    CU_ASSERT_TRUE(nodes[20].net.dialled[0]);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"300 nodes: traffic per node is bounded", test_rates},
        {"300 nodes: failure of nodes and hubs", test_failures},
        {"acknowledged only if it can be propagated", test_connected},
        {"change of contacts", test_contacts},
        {"batches are packed", test_batches_are_packed},
        {"traffic while a node is missing",
         test_traffic_while_a_node_is_missing},
        {"a change on slow links", test_change_on_slow_links},
        {"restarted nodes: changes end", test_restarts},
        {"clock set back: changes end", test_restarts_with_clock_set_back},
        CU_TEST_INFO_NULL,
    };
    return run_suite("mesh", tests);
}
