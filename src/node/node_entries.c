#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "node/directory.h"
#include "node/node_int.h"

/* interval at which the advertised hosts are selected, ms */
#define ENTRIES_MS 200
/* time constant of the moving average of the request rate, ms */
#define RATE_MS 2000

static void
count_slots(void *user, mg_instance *i)
{
    if (i->info.state == MG_INSTANCE_READY) {
        *(uint64_t *)user += i->info.slots;
    }
}

static int
compare_nodes(const void *a, const void *b)
{
    return strcmp((*(const mg_mesh_node *const *)a)->node,
                  (*(const mg_mesh_node *const *)b)->node);
}

/* Selects the hosts that are advertised to clients. */
static void
select_advertised(mg_node *n, const mg_mesh_node **nodes, size_t count)
{
    static mg_directory_host hosts[MG_NODE_ENTRIES_MAX];
    static bool chosen[MG_NODE_ENTRIES_MAX];
    mg_directory_demand demand = {.rate = mg_mesh_request_rate(n->mesh),
                                  .advertised = n->advertised_count};
    mg_registry_each(n->registry, count_slots, &demand.slots);
    for (size_t i = 0; i < count; i++) {
        hosts[i] = (mg_directory_host){nodes[i]->node, nodes[i]->domain,
                                       nodes[i]->is_voter};
    }
    size_t selected = mg_directory_choose(hosts, count, &demand, chosen);
    if (selected != n->advertised_count) {
        mg_log(MG_EV_DIRECTORY,
               "named=%zu before=%zu ready=%zu slots=%" PRIu64 " rate=%.0f",
               selected, n->advertised_count, count, demand.slots,
               demand.rate);
    }
    n->advertised_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (chosen[i]) {
            n->advertised[n->advertised_count++] = nodes[i];
        }
    }
}

/*
 * Selects the advertised hosts and allocates the targets' slots among them.
 * Hosts that are not advertised get no slots; they use borrowed slots for
 * clients that still reach them. If such hosts were counted, each request
 * that reaches one would reallocate all slots while requests still run under
 * the former allocation.
 */
void
mg_node_update_entries(mg_node *n, int64_t now)
{
    const mg_mesh_node *nodes[MG_NODE_ENTRIES_MAX];
    mg_gateway_entry entries[MG_NODE_ENTRIES_MAX];
    size_t self;
    if (now < n->entries_at) {
        return;
    }
    n->entries_at = now + ENTRIES_MS;
    size_t count = mg_mesh_ready_nodes(n->mesh, nodes, MG_NODE_ENTRIES_MAX);
    qsort(nodes, count, sizeof(nodes[0]), compare_nodes);
    select_advertised(n, nodes, count);
    self = n->advertised_count;
    for (size_t i = 0; i < n->advertised_count; i++) {
        entries[i] = (mg_gateway_entry){n->advertised[i]->node,
                                        n->advertised[i]->domain};
        if (strcmp(n->advertised[i]->node, n->settings.ip) == 0) {
            self = i;
        }
    }
    if (n->advertised_count > 0) {
        mg_gateway_set_entries(n->gateway, entries, n->advertised_count, self);
    }
}

void
mg_node_update_withdrawn(mg_node *n)
{
    const mg_mesh_node *nodes[MG_NODE_ENTRIES_MAX];
    bool cut = mg_gateway_is_cut(n->gateway);
    size_t others = 0;
    if (!cut && !n->withdrawn) {
        return;
    }
    size_t count = mg_mesh_ready_nodes(n->mesh, nodes, MG_NODE_ENTRIES_MAX);
    for (size_t i = 0; i < count; i++) {
        others += strcmp(nodes[i]->node, n->settings.ip) != 0;
    }
    n->withdrawn = mg_directory_withdraw(n->withdrawn, cut, others,
                                         mg_mesh_live_count(n->mesh));
}

void
mg_node_measure_rate(mg_node *n, int64_t now)
{
    uint64_t requests = mg_counter_value(MG_C_REQUESTS);
    int64_t ms = now - n->rate_at;
    if (ms <= 0) {
        return;
    }
    double keep = ms < RATE_MS ? 1 - (double)ms / RATE_MS : 0;
    double rate = (double)(requests - n->rate_requests) * 1000 / (double)ms;
    n->request_rate = keep * n->request_rate + (1 - keep) * rate;
    n->rate_requests = requests;
    n->rate_at = now;
}

size_t
mg_node_directory(const mg_node *n, const mg_mesh_node **out, size_t max)
{
    size_t count = n->advertised_count < max ? n->advertised_count : max;
    memcpy(out, n->advertised, count * sizeof(out[0]));
    return count;
}
