#include "node/node_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"

#define TICK_MS 50
#define REPORT_MS 100
/* number of nodes above which reports become less frequent */
#define REPORT_NODES 10
#define REPORT_MAX_MS 500
/* longest time that a report takes through the hubs, ms */
#define REPORT_LATENCY_MS 150
#define SWEEP_MS 1000
#define STATS_MS 10000
/* delay between a change of the targets and their save, ms */
#define SAVE_MS 200
/* interval at which the local log replica is told which hosts have a disk, ms
 */
#define DISK_HOSTS_MS 200
/* clients learn within this time that the node is draining, ms */
#define DRAIN_MIN_MS 2500
/* interval at which a draining node tells the voters that it leaves, ms */
#define LEAVING_INTERVAL_MS 300
/* the process exits this long before the end of the grace period, ms */
#define DRAIN_MARGIN_MS 700
#define BODY_MAX (16u << 20)
#define INCARNATION_RANDOM_BITS 16
/* number of hosts that offer to keep the log in memory if no host has a
   disk */
#define MEMORY_HOSTS 10
/* delay before a host offers this, so that other hosts can report that they
   have a disk, ms */
#define MEMORY_DELAY_MS 2000

/* -------------------------------------------------------------- records */

static void
dial_local_group(mg_node *n);

/* Sends the voters to one peer, or to all if peer is NULL. */
static void
send_voters(mg_node *n, const char *peer)
{
    char ips[MG_VOTERS_MAX * MG_NAME_SIZE];
    mg_msg m = {.type = MG_MSG_SEATS};
    mg_voters_print(&n->voters, ips);
    m.u.seats.rev = n->voters.rev;
    m.u.seats.holders = mg_str_of(ips);
    if (peer == NULL) {
        mg_net_send_all(n->net, &m);
    }
    else {
        mg_net_send(n->net, peer, &m);
    }
}

/* Applies the voters of a log record or of another node, if they are newer. */
static void
on_voters(mg_node *n, uint64_t rev, mg_str ips)
{
    mg_voters v;
    if (rev <= n->voters.rev || mg_voters_parse(&v, rev, ips) != MG_OK) {
        return;
    }
    n->voters = v;
    mg_mesh_set_hubs(n->mesh, &v, (uint16_t)(n->settings.link_port + 1));
    mg_group_client_set_voters(n->client, &v, (uint16_t)n->settings.link_port);
    dial_local_group(n);
    send_voters(n, NULL);
}

static void
on_record(void *user, const mg_record_msg *r)
{
    mg_node *n = user;
    mg_msg m;
    if (mg_msg_decode(r->value, &m) != MG_OK) {
        mg_log(MG_EV_BAD_INPUT, "what=record kind=%" PRIu64, r->kind);
        return;
    }
    if (m.type == MG_MSG_REC_SECTION) {
        mg_node_apply_section(n, &m.u.rec_section);
    }
    else if (m.type == MG_MSG_SEATS) {
        on_voters(n, r->rev, m.u.seats.holders);
    }
    else if (m.type == MG_MSG_REC_ROLLOUT) {
        mg_gateway_set_rollout(n->gateway, &m.u.rec_rollout);
        mg_rollout_manager_apply_record(
            n->rollouts, &m.u.rec_rollout, r->rev,
            mg_group_client_complete_until(n->client));
    }
    else if (m.type == MG_MSG_REC_REJECTED) {
        mg_gateway_set_rejected(n->gateway, &m.u.rec_rejected);
        mg_rollout_manager_apply_rejected(n->rollouts, &m.u.rec_rejected,
                                          r->rev);
    }
}

static void
on_records_current(void *user)
{
    mg_node_use_held_routing(user);
}

/* -------------------------------------------------------------- targets */

static mg_announce_result
apply_announcement(mg_node *n, const mg_announcement *a)
{
    mg_announce_result result = mg_registry_announce(n->registry, a);
    if (result == MG_ANNOUNCE_NEW_RUN || result == MG_ANNOUNCE_STATE_CHANGED) {
        mg_log(a->state == MG_INSTANCE_READY ? MG_EV_TARGET_UP
                                             : MG_EV_TARGET_LEAVING,
               "id=%s service=%s addr=%s domain=%s version=%s slots=%u "
               "state=%d born=%" PRIu64 " seq=%" PRIu64 " remembered=%d",
               a->id, a->service, a->addr, a->domain, a->version, a->slots,
               a->state, a->started_ms, a->seq, a->restored);
        n->save_at = n->save_at ? n->save_at : mg_now(n->clock) + SAVE_MS;
        mg_gateway_instance_changed(n->gateway,
                                    mg_registry_find(n->registry, a->id));
    }
    return result;
}

static mg_announce_result
on_instance(void *user, const mg_announcement *a)
{
    return apply_announcement(user, a);
}

mg_rc
mg_node_announce(mg_node *n, const mg_announcement *a)
{
    mg_announce_result result = apply_announcement(n, a);
    mg_mesh_announce(n->mesh, a, result);
    return mg_mesh_connected(n->mesh) ? MG_OK : MG_E_NO_QUORUM;
}

mg_rc
mg_node_deregister(mg_node *n, const char *id, uint64_t started_ms)
{
    mg_announcement a;
    mg_rc rc = mg_registry_deregistration(n->registry, id, started_ms, &a);
    if (rc == MG_E_NOT_FOUND) {
        return MG_E_NO_QUORUM; /* another host may know it */
    }
    if (rc != MG_OK) {
        return mg_mesh_connected(n->mesh) ? MG_OK : MG_E_NO_QUORUM;
    }
    return mg_node_announce(n, &a);
}

struct instance_visitor {
    void (*f)(void *to, const mg_announcement *a);
    void *to;
};

static void
visit_instance(void *user, mg_instance *i)
{
    struct instance_visitor *v = user;
    v->f(v->to, &i->info);
}

static void
each_instance(void *user, void (*f)(void *to, const mg_announcement *a),
              void *to)
{
    mg_node *n = user;
    struct instance_visitor v = {f, to};
    mg_registry_each(n->registry, visit_instance, &v);
}

/* callback of the gateway: a target says in a response that it leaves */
static void
on_leaving(void *user, const mg_instance *i)
{
    (void)mg_node_deregister(user, i->info.id, i->info.started_ms);
}

static void
on_report(void *user, const char *node, uint64_t incarnation, mg_str loads)
{
    mg_node *n = user;
    mg_gateway_receive_report(n->gateway, node, incarnation, loads);
}

/* ---------------------------------------------------------------- links */

static void
on_message(void *user, const char *peer, const mg_msg *m)
{
    mg_node *n = user;
    if (m->type == MG_MSG_SEATS) {
        on_voters(n, m->u.seats.rev, m->u.seats.holders);
    }
    else if (m->type == MG_MSG_ROLLOUT_SAMPLES) {
        mg_rollout_manager_add_samples(n->rollouts, &m->u.rollout_samples);
    }
    else if (!mg_mesh_receive(n->mesh, peer, m)) {
        mg_group_client_receive(n->client, peer, m);
    }
}

static void
on_link_up(void *user, const char *peer)
{
    mg_node *n = user;
    if (strchr(peer, '/') == NULL) {
        mg_mesh_link_up(n->mesh, peer);
    }
    if (n->voters.rev > 0) {
        send_voters(n, peer);
    }
}

/* ---------------------------------------------------------------- ticks */

bool
mg_node_ready(const mg_node *n)
{
    return n->drain_since == 0 && mg_gateway_routing(n->gateway) != NULL;
}

/* Bytes of responses that clients have still to read. */
static size_t
unwritten_bytes(const mg_node *n)
{
    size_t bytes = 0;
    for (size_t i = 0; i < n->server_count; i++) {
        bytes += mg_http_unwritten(n->servers[i]);
    }
    return bytes;
}

/* Tells the voters that this host is about to stop. */
static void
send_leaving(mg_node *n, int64_t now)
{
    mg_msg m = {.type = MG_MSG_LEAVING};
    m.u.leaving.node = mg_str_of(n->settings.ip);
    n->leaving_at = now + LEAVING_INTERVAL_MS;
    for (unsigned i = 0; i < n->voters.count; i++) {
        char peer[MG_NAME_SIZE];
        if (n->voters.ip[i][0] != '\0') {
            mg_group_peer_name(peer, n->voters.ip[i]);
            mg_net_send(n->net, peer, &m);
        }
    }
}

static void
check_drain(mg_node *n, int64_t now)
{
    int64_t age = now - n->drain_since;
    int64_t max_ms = (int64_t)(n->settings.grace_s * 1000) - DRAIN_MARGIN_MS;
    if (now >= n->leaving_at) {
        send_leaving(n, now);
    }
    if (age >= DRAIN_MIN_MS) {
        /* a request accepted now might not finish in time */
        mg_gateway_drain(n->gateway);
    }
    size_t open = mg_gateway_open_requests(n->gateway);
    size_t unwritten = unwritten_bytes(n);
    bool is_done = open == 0 && unwritten == 0;
    if (age >= max_ms || (is_done && age >= DRAIN_MIN_MS)) {
        mg_log(MG_EV_DRAIN, "stage=end open=%zu unwritten=%zu ms=%" PRId64,
               open, unwritten, age);
        uv_stop(n->loop);
    }
}

/* The interval grows with the number of nodes, so that the report traffic at
   each node stays bounded. Nodes with open requests, which are fewer, report
   more often than the others. */
static int64_t
report_ms(const mg_node *n)
{
    size_t nodes = mg_gateway_open_requests(n->gateway) > 0
                       ? n->advertised_count
                       : mg_mesh_live_count(n->mesh);
    int64_t ms = REPORT_MS * (int64_t)nodes / REPORT_NODES;
    ms = ms > REPORT_MS ? ms : REPORT_MS;
    return ms < REPORT_MAX_MS ? ms : REPORT_MAX_MS;
}

static void
log_stats(const mg_node *n)
{
    mg_log(MG_EV_STATS,
           "requests=%" PRIu64 " answered=%" PRIu64 " refused=%" PRIu64
           " cut=%" PRIu64 " cancelled=%" PRIu64 " open=%zu nodes=%zu "
           "turn_p99_us=%" PRId64 " first_byte_p99_us=%" PRId64
           " report_bytes=%" PRIu64 " member_bytes=%" PRIu64
           " record_bytes=%" PRIu64 " log_bytes=%" PRIu64
           " other_bytes=%" PRIu64 " unsent=%" PRId64,
           mg_counter_value(MG_C_REQUESTS), mg_counter_value(MG_C_COMPLETED),
           mg_counter_value(MG_C_REFUSED), mg_counter_value(MG_C_TRUNCATED),
           mg_counter_value(MG_C_CANCELLED),
           mg_gateway_open_requests(n->gateway), mg_mesh_live_count(n->mesh),
           mg_observed_quantile(MG_H_LOOP_ITERATION, 0.99),
           mg_observed_quantile(MG_H_FIRST_BYTE, 0.99),
           mg_counter_value(MG_C_LINK_REPORT_BYTES),
           mg_counter_value(MG_C_LINK_MEMBER_BYTES),
           mg_counter_value(MG_C_LINK_RECORD_BYTES),
           mg_counter_value(MG_C_LINK_LOG_BYTES),
           mg_counter_value(MG_C_LINK_OTHER_BYTES),
           mg_gauge_value(MG_G_LINK_UNSENT));
}

static void
join_memory_group(mg_node *n, int64_t now);
static void
send_disk_hosts(mg_node *n, int64_t now);

static void
on_tick(uv_timer_t *t)
{
    mg_node *n = t->data;
    int64_t now = mg_now(n->clock);
    mg_group_client_tick(n->client);
    mg_node_update_withdrawn(n);
    mg_mesh_set_ready(n->mesh, mg_node_ready(n) && !n->withdrawn);
    mg_mesh_tick(n->mesh);
    mg_node_update_entries(n, now);
    send_disk_hosts(n, now);
    if (now >= n->report_at) {
        mg_buf loads = {0};
        n->report_at = now + report_ms(n);
        mg_gateway_set_report_age(n->gateway,
                                  report_ms(n) + REPORT_LATENCY_MS);
        mg_node_measure_rate(n, now);
        mg_gateway_append_report(n->gateway, &loads);
        mg_mesh_report(n->mesh, n->request_rate, mg_str_buf(&loads));
        mg_buf_free(&loads);
    }
    if (now >= n->sweep_at) {
        n->sweep_at = now + SWEEP_MS;
        join_memory_group(n, now);
        mg_registry_sweep(n->registry, mg_gateway_instance_removed);
    }
    if (n->target_file != NULL && n->save_at != 0 && now >= n->save_at &&
        mg_target_file_save(n->target_file, n->registry)) {
        n->save_at = 0;
    }
    if (now >= n->stats_at) {
        n->stats_at = now + STATS_MS;
        log_stats(n);
    }
    mg_node_send_rollout_samples(n);
    mg_rollout_manager_tick(n->rollouts, mg_mesh_is_lead_hub(n->mesh));
    mg_gateway_tick(n->gateway);
    if (n->drain_since != 0) {
        check_drain(n, now);
    }
    mg_log_flush();
}

static void
on_prepare(uv_prepare_t *h)
{
    mg_node *n = h->data;
    mg_gateway_dispatch_scheduled(n->gateway);
}

/* ----------------------------------------------------------------- open */

static void
on_request(void *user, mg_http_req *r)
{
    mg_node *n = user;
    mg_gateway_handle(n->gateway, r);
}

static void
on_relayed_request(void *user, mg_http_req *r)
{
    mg_node *n = user;
    mg_gateway_handle_relayed(n->gateway, r);
}

static mg_voters
voters_of_seeds(const mg_node_settings *s)
{
    mg_voters seeds = {0};
    for (size_t i = 0; i < s->seed_count; i++) {
        mg_str_copy(seeds.ip[seeds.count++], MG_NAME_SIZE,
                    mg_str_of(s->seeds[i]));
    }
    return seeds;
}

/* Starts this host's log replica, in its data directory or in memory. */
static mg_rc
start_group(mg_node *n, bool new_group, mg_error *err)
{
    const mg_node_settings *s = &n->settings;
    char addr[MG_ADDR_SIZE * 2];
    snprintf(addr, sizeof(addr), "%s:%d", s->ip, (int)s->link_port);
    return mg_group_start(&n->group,
                          &(mg_group_options){
                              .ip = s->ip,
                              .key = s->link_key,
                              .link_addr = addr,
                              .data_dir = s->data_dir,
                              .initial_voters = n->voters,
                              .wanted_voters = mg_node_settings_voter_count(s),
                              .link_port = (uint16_t)s->link_port,
                              .unsent_max = mg_node_settings_unsent_max(s),
                              .new_group = new_group,
                          },
                          err);
}

/* Starts the log replica on hosts with a disk, and on the seeds of a new
   cluster. */
static mg_rc
open_group(mg_node *n, mg_error *err)
{
    const mg_node_settings *s = &n->settings;
    bool bootstraps =
        s->new_group && mg_voters_slot_of(&n->voters, s->ip) != 0;
    if (s->data_dir[0] == '\0' && !bootstraps) {
        return MG_OK;
    }
    return start_group(n, s->new_group, err);
}

/* If no host has a disk: starts a log replica in memory if this host is a
   voter or may be needed as one. */
static void
join_memory_group(mg_node *n, int64_t now)
{
    mg_error err;
    bool is_voter =
        n->voters.rev > 0 && mg_voters_slot_of(&n->voters, n->settings.ip);
    bool may_be_needed = now - n->opened_at >= MEMORY_DELAY_MS &&
                         mg_mesh_rank(n->mesh) < MEMORY_HOSTS;
    if (n->group != NULL || (!is_voter && !may_be_needed) ||
        mg_mesh_has_disks(n->mesh) || mg_mesh_live_count(n->mesh) < 2) {
        return;
    }
    if (start_group(n, false, &err) != MG_OK) {
        mg_log(MG_EV_STORE_FAILED, "what=memory why=%s", err.text);
        n->opened_at = now;
        return;
    }
    dial_local_group(n);
}

/* Tells the local replica of the log which hosts have a disk. */
static void
send_disk_hosts(mg_node *n, int64_t now)
{
    char peer[MG_NAME_SIZE];
    mg_buf disks = {0};
    mg_buf without = {0};
    if (n->group == NULL || now < n->disk_hosts_at) {
        return;
    }
    n->disk_hosts_at = now + DISK_HOSTS_MS;
    mg_mesh_list_disks(n->mesh, &disks);
    for (unsigned i = 0; i < n->voters.count; i++) {
        const char *ip = n->voters.ip[i];
        if (mg_mesh_lacks_disk(n->mesh, ip)) {
            mg_buf_put(&without, ",", without.n > 0);
            mg_buf_put(&without, ip, strlen(ip));
        }
    }
    mg_msg m = {.type = MG_MSG_DISK_HOSTS};
    m.u.disk_hosts.disks = mg_str_buf(&disks);
    m.u.disk_hosts.without = mg_str_buf(&without);
    mg_group_peer_name(peer, n->settings.ip);
    mg_net_send(n->net, peer, &m);
    mg_buf_free(&disks);
    mg_buf_free(&without);
}

/* Connects to the local replica of the log, even if it is not a voter. */
static void
dial_local_group(mg_node *n)
{
    char peer[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE * 2];
    if (n->group == NULL) {
        return;
    }
    mg_group_peer_name(peer, n->settings.ip);
    snprintf(addr, sizeof(addr), "%s:%d", n->settings.ip,
             (int)n->settings.link_port);
    mg_net_dial(n->net, peer, addr);
}

static mg_rc
open_links(mg_node *n, mg_error *err)
{
    const mg_node_settings *s = &n->settings;
    char addr[MG_ADDR_SIZE * 2];
    uint16_t mesh_port = (uint16_t)(s->link_port + 1);
    snprintf(addr, sizeof(addr), "%s:%u", s->ip, mesh_port);
    mg_rc rc = mg_net_open(&n->net,
                           &(mg_net_options){
                               .loop = n->loop,
                               .clock = n->clock,
                               .node = s->ip,
                               .key = s->link_key,
                               .listen_addr = addr,
                               .incarnation = n->incarnation,
                               .unsent_max = mg_node_settings_unsent_max(s),
                               .on_message = on_message,
                               .on_up = on_link_up,
                               .user = n,
                           },
                           err);
    if (rc != MG_OK) {
        return rc;
    }
    n->mesh = mg_mesh_new(&(mg_mesh_options){
        .net = n->net,
        .clock = n->clock,
        .node = s->ip,
        .front_addr = s->clients_addr,
        .domain = s->domain,
        .region = s->region,
        .incarnation = n->incarnation,
        .has_disk = s->data_dir[0] != '\0',
        .on_instance = on_instance,
        .on_report = on_report,
        .each_instance = each_instance,
        .user = n,
    });
    n->client = mg_group_client_new(&(mg_group_client_options){
        .net = n->net,
        .clock = n->clock,
        .on_record = on_record,
        .on_current = on_records_current,
        .user = n,
    });
    n->rollouts = mg_rollout_manager_new(&(mg_rollout_manager_options){
        .clock = n->clock,
        .registry = n->registry,
        .client = n->client,
        .ack_ms = s->ack_ms,
        .find_service = mg_node_find_service,
        .running_on_others = mg_node_running_on_others,
        .user = n,
    });
    mg_mesh_set_contacts(n->mesh, &n->voters, mesh_port);
    mg_mesh_set_hubs(n->mesh, &n->voters, mesh_port);
    mg_group_client_set_voters(n->client, &n->voters, (uint16_t)s->link_port);
    dial_local_group(n);
    return MG_OK;
}

static mg_rc
open_client_server(mg_node *n, mg_error *err)
{
    if (n->settings.clients_addr[0] == '\0') {
        return MG_OK;
    }
    return mg_http_open(&n->client_server,
                        &(mg_http_options){
                            .loop = n->loop,
                            .listen_addr = n->settings.clients_addr,
                            .limits = {.body_max = BODY_MAX},
                            .on_request = on_request,
                            .user = n,
                        },
                        err);
}

static uint16_t
relay_port_of(const mg_node_settings *s)
{
    return (uint16_t)(s->link_port + 2);
}

/* Listens for requests that other entries pass on. */
static mg_rc
open_relay_server(mg_node *n, mg_error *err)
{
    char addr[MG_ADDR_SIZE * 2];
    snprintf(addr, sizeof(addr), "%s:%u", n->settings.ip,
             relay_port_of(&n->settings));
    return mg_http_open(&n->relay_server,
                        &(mg_http_options){
                            .loop = n->loop,
                            .listen_addr = addr,
                            .limits = {.body_max = BODY_MAX},
                            .on_request = on_relayed_request,
                            .user = n,
                        },
                        err);
}

static void
restore_target(void *user, const mg_announcement *a)
{
    mg_node *n = user;
    apply_announcement(n, a);
}

static void
open_target_file(mg_node *n)
{
    if (n->settings.data_dir[0] != '\0') {
        n->target_file = mg_target_file_new(n->loop, n->settings.data_dir);
        mg_target_file_load(n->target_file, restore_target, n);
        n->save_at = 0;
    }
}

static void
start_timers(mg_node *n)
{
    mg_loopwatch_start(&n->watch, n->loop);
    uv_timer_init(n->loop, &n->timer);
    n->timer.data = n;
    uv_timer_start(&n->timer, on_tick, TICK_MS, TICK_MS);
    /* libuv runs prepare handles in reverse order of their start: on_prepare()
       runs before those of links and HTTP servers, which send what it wrote */
    uv_prepare_init(n->loop, &n->prepare);
    n->prepare.data = n;
    uv_prepare_start(&n->prepare, on_prepare);
}

static mg_gateway_limits
limits_of(const mg_node_settings *s)
{
    return (mg_gateway_limits){
        .retry_ratio = s->retry_ratio,
        .retry_slack = (uint32_t)s->retry_slack,
        .retry_window_ms = (int64_t)(s->retry_window_s * 1000),
        .quota_overage = s->quota_overage,
        .quota_margin = s->quota_margin,
        .quota_window_ms = (int64_t)(s->quota_window_s * 1000),
    };
}

/* Ordered by the time of the start; the low bits tell apart processes that
   start in the same millisecond. */
static uint64_t
new_incarnation(mg_clock *clock)
{
    return (uint64_t)mg_wall(clock) << INCARNATION_RANDOM_BITS |
           (mg_random_id() >> (64 - INCARNATION_RANDOM_BITS));
}

mg_rc
mg_node_open(mg_node **out, const mg_node_options *opts, mg_error *err)
{
    mg_node *n = mg_alloc(sizeof(*n));
    n->loop = opts->loop;
    n->clock = mg_system_clock();
    n->settings = *opts->settings;
    n->codec = opts->codec;
    n->incarnation = new_incarnation(n->clock);
    n->opened_at = mg_now(n->clock);
    n->registry = mg_registry_new(n->clock);
    n->gateway = mg_gateway_new(&(mg_gateway_options){
        .loop = n->loop,
        .clock = n->clock,
        .registry = n->registry,
        .dialect = opts->dialect,
        .domain = n->settings.domain,
        .seed = mg_random_id(),
        .relay_port = relay_port_of(&n->settings),
        .limits = limits_of(&n->settings),
        .on_leaving = on_leaving,
        .user = n,
    });
    n->voters = voters_of_seeds(&n->settings);
    mg_rc rc = open_group(n, err);
    if (rc == MG_OK) {
        rc = open_links(n, err);
    }
    if (rc == MG_OK) {
        rc = open_client_server(n, err);
    }
    if (rc == MG_OK) {
        rc = open_relay_server(n, err);
    }
    if (rc == MG_OK) {
        mg_node_add_server(n, n->relay_server);
        if (n->client_server != NULL) {
            mg_node_add_server(n, n->client_server);
        }
        open_target_file(n);
        start_timers(n);
        *out = n;
    }
    return rc;
}

void
mg_node_add_server(mg_node *n, mg_http_server *server)
{
    MG_INVARIANT(n->server_count < MG_NODE_SERVERS_MAX);
    n->servers[n->server_count++] = server;
}

const mg_node_settings *
mg_node_get_settings(const mg_node *n)
{
    return &n->settings;
}

/* Makes the seeds the contacts of the mesh. They are also the hubs and voters
   until the log's record of the voters is received. */
static void
apply_seeds(mg_node *n, const mg_node_settings *s)
{
    mg_voters seeds = voters_of_seeds(s);
    uint16_t mesh_port = (uint16_t)(n->settings.link_port + 1);
    mg_mesh_set_contacts(n->mesh, &seeds, mesh_port);
    if (n->voters.rev == 0) {
        n->voters = seeds;
        mg_mesh_set_hubs(n->mesh, &seeds, mesh_port);
        mg_group_client_set_voters(n->client, &seeds,
                                   (uint16_t)n->settings.link_port);
        dial_local_group(n);
    }
}

void
mg_node_reload(mg_node *n, const mg_node_settings *s)
{
    mg_log(MG_EV_SETTINGS, "seeds=%zu grace_s=%.1f retry_ratio=%.2f",
           s->seed_count, s->grace_s, s->retry_ratio);
    mg_gateway_limits limits = limits_of(s);
    mg_gateway_set_limits(n->gateway, &limits);
    n->settings.grace_s = s->grace_s;
    n->settings.ack_ms = s->ack_ms;
    n->settings.directory_ttl_s = s->directory_ttl_s;
    apply_seeds(n, s);
}

void
mg_node_drain(mg_node *n)
{
    if (n->drain_since != 0) {
        return;
    }
    n->drain_since = mg_now(n->clock);
    mg_log(MG_EV_DRAIN, "stage=start open=%zu",
           mg_gateway_open_requests(n->gateway));
    mg_mesh_set_ready(n->mesh, false);
    if (n->client_server != NULL) {
        mg_http_drain(n->client_server);
    }
    mg_http_drain(n->relay_server);
}
