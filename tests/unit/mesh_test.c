/*
 * Many nodes that find each other, in one process: the links are the queue
 * below. What a node sends and gets must not grow beyond what its link takes.
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
/* all know of a node that came or went within this */
#define KNOWN_MS 3500
#define RATE_MS 4000
/* what a node may send to others in a second, messages, hubs apart */
#define SENT_PER_S 6
#define QUEUE_MAX 400000

/* a node's end of all its links */
struct mg_net {
    int node;
    bool dialled[NODES];
};

struct node {
    struct mg_net net;
    mg_mesh *mesh;
    char ip[MG_NAME_SIZE];
    bool up;
    uint64_t sent;
    uint64_t got_bytes;
};

struct letter {
    int from;
    int to;
    mg_buf bytes;
};

static struct node nodes[NODES];
static struct letter *queue;
static size_t queued;
static mg_manual_clock clk;

static int
node_of(const char *ip)
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
    int to = node_of(peer);
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
    net->dialled[node_of(peer)] = false;
}

bool
mg_net_up(mg_net *net, const char *peer)
{
    return linked(net->node, node_of(peer));
}

mg_rc
mg_net_send(mg_net *net, const char *peer, const mg_msg *m)
{
    int to = node_of(peer);
    if (!linked(net->node, to) || queued == QUEUE_MAX) {
        return MG_E_CLOSED;
    }
    struct letter *l = &queue[queued++];
    *l = (struct letter){.from = net->node, .to = to};
    mg_msg_encode(m, &l->bytes);
    nodes[net->node].sent++;
    return MG_OK;
}

static mg_announce_result
on_instance(void *user, const mg_announcement *a)
{
    (void)user;
    (void)a;
    return MG_ANNOUNCE_ALIVE;
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

static void
deliver(void)
{
    size_t n = queued;
    struct letter *letters = queue;
    queue = mg_alloc(QUEUE_MAX * sizeof(*queue));
    queued = 0;
    for (size_t i = 0; i < n; i++) {
        struct letter *l = &letters[i];
        mg_str rest = mg_str_buf(&l->bytes);
        mg_msg m;
        if (nodes[l->to].up && mg_msg_next(&rest, &m) == MG_OK) {
            nodes[l->to].got_bytes += l->bytes.n;
            mg_mesh_receive(nodes[l->to].mesh, nodes[l->from].ip, &m);
        }
        mg_buf_free(&l->bytes);
    }
    free(letters);
}

static void
step(void)
{
    static const char loads[LOADS_BYTES];
    clk.mono += STEP_MS;
    deliver();
    for (int i = 0; i < NODES; i++) {
        if (!nodes[i].up) {
            continue;
        }
        if ((clk.mono / STEP_MS + i) % (REPORT_MS / STEP_MS) == 0) {
            mg_mesh_report(nodes[i].mesh, 1, (mg_str){loads, sizeof(loads)});
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

static mg_seats
first_nodes(int from, int n)
{
    mg_seats s = {.rev = 1};
    for (int i = from; i < from + n; i++) {
        mg_str_copy(s.holder[s.count++], MG_NAME_SIZE, mg_str_of(nodes[i].ip));
    }
    return s;
}

static void
open_all(void)
{
    static const char *const domains[DOMAINS] = {"a", "b", "c", "d", "e"};
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
    mg_seats hubs = first_nodes(0, HUBS);
    for (int i = 0; i < NODES; i++) {
        nodes[i].mesh = mg_mesh_new(&(mg_mesh_options){
            .net = &nodes[i].net,
            .clock = &clk.clock,
            .node = nodes[i].ip,
            .front_addr = "10.0.0.1:1",
            .domain = domains[i % DOMAINS],
            .region = "r",
            .incarnation = 7,
            .on_instance = on_instance,
            .on_report = on_report,
            .each_instance = each_instance,
        });
        mg_mesh_set_contacts(nodes[i].mesh, &hubs, PORT);
        mg_mesh_set_hubs(nodes[i].mesh, &hubs, PORT);
        mg_mesh_set_ready(nodes[i].mesh, true);
    }
}

/* the least number of ready nodes that any node knows */
static size_t
least_known(void)
{
    static const mg_mesh_node *out[NODES];
    size_t least = NODES;
    for (int i = 0; i < NODES; i++) {
        size_t n = mg_mesh_ready_nodes(nodes[i].mesh, out, NODES);
        if (nodes[i].up && n < least) {
            least = n;
        }
    }
    return least;
}

static size_t
most_known(void)
{
    static const mg_mesh_node *out[NODES];
    size_t most = 0;
    for (int i = 0; i < NODES; i++) {
        size_t n = mg_mesh_ready_nodes(nodes[i].mesh, out, NODES);
        if (nodes[i].up && n > most) {
            most = n;
        }
    }
    return most;
}

/* nothing goes from each to each at a fixed rate */
static void
test_rates(void)
{
    uint64_t most_sent = 0;
    uint64_t most_got = 0;
    open_all();
    run_ms(KNOWN_MS);
    CU_ASSERT_EQUAL(least_known(), NODES);
    for (int i = 0; i < NODES; i++) {
        nodes[i].sent = 0;
        nodes[i].got_bytes = 0;
    }
    run_ms(RATE_MS);
    for (int i = HUBS; i < NODES; i++) {
        most_sent = nodes[i].sent > most_sent ? nodes[i].sent : most_sent;
        most_got =
            nodes[i].got_bytes > most_got ? nodes[i].got_bytes : most_got;
    }
    printf("\n  %d nodes: at most %.1f messages sent, %.1f KB got a second\n",
           NODES, (double)most_sent * 1000 / RATE_MS,
           (double)most_got / RATE_MS);
    CU_ASSERT_TRUE(most_sent * 1000 <= RATE_MS * SENT_PER_S);
    CU_ASSERT_EQUAL(least_known(), NODES);
}

/* a node that falls silent, and hubs that do */
static void
test_losses(void)
{
    open_all();
    run_ms(KNOWN_MS);
    nodes[77].up = false;
    run_ms(KNOWN_MS);
    CU_ASSERT_EQUAL(most_known(), NODES - 1);
    CU_ASSERT_EQUAL(least_known(), NODES - 1);
    nodes[0].up = false;
    nodes[1].up = false;
    run_ms(KNOWN_MS);
    CU_ASSERT_EQUAL(most_known(), NODES - 3);
    CU_ASSERT_EQUAL(least_known(), NODES - 3);
    nodes[0].up = true;
    nodes[77].up = true;
    run_ms(KNOWN_MS);
    CU_ASSERT_EQUAL(least_known(), NODES - 1);
}

/* other contacts: links to the former ones go, but for those to hubs */
static void
test_contacts(void)
{
    open_all();
    mg_seats others = first_nodes(10, 3);
    mg_mesh_set_contacts(nodes[20].mesh, &others, PORT);
    CU_ASSERT_TRUE(nodes[20].net.dialled[11]);
    CU_ASSERT_TRUE(nodes[20].net.dialled[0]);
    mg_seats again = first_nodes(30, 3);
    mg_mesh_set_contacts(nodes[20].mesh, &again, PORT);
    CU_ASSERT_FALSE(nodes[20].net.dialled[11]);
    CU_ASSERT_TRUE(nodes[20].net.dialled[31]);
    CU_ASSERT_TRUE(nodes[20].net.dialled[0]);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"300 nodes: what each sends and gets is bounded", test_rates},
        {"300 nodes: nodes and hubs that fall silent", test_losses},
        {"contacts that change", test_contacts},
        CU_TEST_INFO_NULL,
    };
    return run_suite("mesh", tests);
}
