#include "node/mesh_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/event.h"
#include "base/pack.h"

/* interval at which a node repeats its state, ms */
#define ANNOUNCE_MS 2000
/* a node that was silent for this long is no longer live, ms */
#define NODE_TIMEOUT_MS 2500
/* a node replaces a primary hub that was silent for this long, and avoids it
   for HUB_AVOID_MS, ms */
#define HUB_TIMEOUT_MS 600
#define HUB_AVOID_MS 2000
/* a node that was silent for this long may be behind a network partition;
   after MISSING_MAX_MS it is assumed to have stopped, ms */
#define MISSING_MS 700
#define MISSING_MAX_MS 10000
/* a hub sends a node batches for this long after its last report, ms */
#define SUBSCRIPTION_MS 1000

mg_mesh *
mg_mesh_new(const mg_mesh_options *opts)
{
    mg_mesh *m = mg_alloc(sizeof(*m));
    m->opts = *opts;
    mg_mesh_node *s = &m->self;
    mg_str_copy(s->node, sizeof(s->node), mg_str_of(opts->node));
    mg_str_copy(s->front_addr, sizeof(s->front_addr),
                mg_str_of(opts->front_addr));
    mg_str_copy(s->domain, sizeof(s->domain), mg_str_of(opts->domain));
    mg_str_copy(s->region, sizeof(s->region), mg_str_of(opts->region));
    s->incarnation = opts->incarnation;
    s->has_disk = opts->has_disk;
    s->live = true;
    return m;
}

static mg_mesh_node *
find_node(const mg_mesh *m, const char *node)
{
    mg_mesh_node *n;
    HASH_FIND_STR(m->nodes, node, n);
    return n;
}

static mg_mesh_hub *
find_hub(mg_mesh *m, const char *node)
{
    for (size_t i = 0; i < m->hub_count; i++) {
        if (strcmp(m->hubs[i].node, node) == 0) {
            return &m->hubs[i];
        }
    }
    return NULL;
}

void
mg_mesh_set_contacts(mg_mesh *m, const mg_voters *contacts, uint16_t port)
{
    char addr[MG_ADDR_SIZE + MG_NAME_SIZE];
    for (unsigned i = 0; i < m->contacts.count; i++) {
        const char *old = m->contacts.ip[i];
        if (mg_voters_slot_of(contacts, old) == 0 &&
            find_hub(m, old) == NULL) {
            mg_net_undial(m->opts.net, old);
        }
    }
    m->contacts = *contacts;
    for (unsigned i = 0; i < contacts->count; i++) {
        const char *ip = contacts->ip[i];
        if (strcmp(ip, m->self.node) != 0) {
            snprintf(addr, sizeof(addr), "%s:%u", ip, port);
            mg_net_dial(m->opts.net, ip, addr);
        }
    }
}

void
mg_mesh_set_hubs(mg_mesh *m, const mg_voters *voters, uint16_t port)
{
    char addr[MG_ADDR_SIZE + MG_NAME_SIZE];
    for (size_t i = 0; i < m->hub_count; i++) {
        if (mg_voters_slot_of(voters, m->hubs[i].node) == 0 &&
            mg_voters_slot_of(&m->contacts, m->hubs[i].node) == 0) {
            mg_net_undial(m->opts.net, m->hubs[i].node);
        }
    }
    m->is_hub = mg_voters_slot_of(voters, m->self.node) != 0;
    m->hub_count = 0;
    m->primary = NULL;
    m->secondary = NULL;
    for (unsigned i = 0; i < voters->count; i++) {
        const char *ip = voters->ip[i];
        if (ip[0] == '\0' || strcmp(ip, m->self.node) == 0) {
            continue;
        }
        mg_mesh_hub *h = &m->hubs[m->hub_count++];
        *h = (mg_mesh_hub){0};
        mg_str_copy(h->node, sizeof(h->node), mg_str_of(ip));
        snprintf(addr, sizeof(addr), "%s:%u", ip, port);
        mg_net_dial(m->opts.net, ip, addr);
    }
    mg_log(MG_EV_HUBS, "rev=%llu hubs=%zu own=%d",
           (unsigned long long)voters->rev, m->hub_count, m->is_hub);
}

static void
send_to_hubs(mg_mesh *m, const mg_msg *msg)
{
    for (size_t i = 0; i < m->hub_count; i++) {
        mg_net_send(m->opts.net, m->hubs[i].node, msg);
    }
}

/* Sends to every node linked to this hub. */
static void
send_to_nodes(mg_mesh *m, const mg_msg *msg)
{
    for (mg_mesh_node *n = m->nodes; n != NULL; n = n->hh.next) {
        mg_net_send(m->opts.net, n->node, msg);
    }
}

/* Ranks a hub, lower is better: link up, not avoided, local failure domain;
   among equals a hash, which spreads the nodes over the hubs. */
static uint64_t
hub_rank(const mg_mesh *m, const mg_mesh_hub *h, int64_t now)
{
    const mg_mesh_node *n = find_node(m, h->node);
    uint64_t rank = mg_net_is_up(m->opts.net, h->node) ? 0 : 4;
    rank += now < h->avoid_until ? 2 : 0;
    rank += n == NULL || strcmp(n->domain, m->self.domain) != 0;
    uint64_t hash = mg_hash_pair(mg_str_of(m->self.node), mg_str_of(h->node));
    return rank << 32 | hash >> 32;
}

/* Returns the hub with the lowest rank other than the one given, or NULL. */
static mg_mesh_hub *
best_hub(mg_mesh *m, const mg_mesh_hub *other, int64_t now)
{
    mg_mesh_hub *best = NULL;
    for (size_t i = 0; i < m->hub_count; i++) {
        mg_mesh_hub *h = &m->hubs[i];
        if (h != other &&
            (best == NULL || hub_rank(m, h, now) < hub_rank(m, best, now))) {
            best = h;
        }
    }
    return best;
}

static void
choose_hubs(mg_mesh *m, int64_t now)
{
    mg_mesh_hub *old = m->primary;
    if (old != NULL && now - m->primary_since > HUB_TIMEOUT_MS &&
        now - old->last_seen_ms > HUB_TIMEOUT_MS) {
        old->avoid_until = now + HUB_AVOID_MS;
    }
    m->primary = best_hub(m, NULL, now);
    m->secondary = best_hub(m, m->primary, now);
    if (m->primary != old) {
        m->primary_since = now;
    }
}

/* Sends a periodic message to the primary hub, or to all hubs while a node is
   missing. A hub forwards its own with its batches. */
static void
send_periodic(mg_mesh *m, const mg_msg *msg)
{
    if (m->is_hub) {
        return;
    }
    if (m->missing) {
        send_to_hubs(m, msg);
    }
    else if (m->primary != NULL) {
        mg_net_send(m->opts.net, m->primary->node, msg);
    }
}

/* Sends this node's report, which also subscribes to batches, to the primary
   hub. While a node is missing, the secondary hub gets it as well, and the
   other hubs get it in a form that does not subscribe: batches from all hubs
   would multiply their traffic when it is least affordable. */
static void
send_report(mg_mesh *m, const mg_msg *report)
{
    if (m->is_hub || m->primary == NULL) {
        return;
    }
    mg_net_send(m->opts.net, m->primary->node, report);
    if (!m->missing) {
        return;
    }
    mg_buf encoded = {0};
    mg_msg_encode(report, &encoded);
    mg_msg forwarded = {.type = MG_MSG_REPORTS};
    forwarded.u.reports.reports = mg_str_buf(&encoded);
    for (size_t i = 0; i < m->hub_count; i++) {
        const mg_mesh_hub *h = &m->hubs[i];
        if (h != m->primary) {
            mg_net_send(m->opts.net, h->node,
                        h == m->secondary ? report : &forwarded);
        }
    }
    mg_buf_free(&encoded);
}

/* --------------------------------------------------------------- nodes */

static mg_msg
node_msg(const mg_mesh_node *n)
{
    mg_msg m = {.type = MG_MSG_NODE};
    m.u.node.node = mg_str_of(n->node);
    m.u.node.front_addr = mg_str_of(n->front_addr);
    m.u.node.domain = mg_str_of(n->domain);
    m.u.node.region = mg_str_of(n->region);
    m.u.node.incarnation = n->incarnation;
    m.u.node.seq = n->seq;
    m.u.node.ready = n->ready;
    m.u.node.disk = n->has_disk;
    return m;
}

static bool
is_newer(const mg_node_msg *msg, const mg_mesh_node *known)
{
    return msg->incarnation != known->incarnation
               ? msg->incarnation > known->incarnation
               : msg->seq > known->seq;
}

/* Another node knows a higher incarnation of this one, for example because
   the clock was set back before this start. This node takes an even higher
   one at the next tick. */
static void
note_own_state(mg_mesh *m, const mg_node_msg *msg)
{
    if (msg->incarnation > m->self.incarnation &&
        msg->incarnation > m->incarnation_to_exceed) {
        m->incarnation_to_exceed = msg->incarnation;
    }
}

/* Stores the state of another node. Returns false if the state is not newer
   than the stored one, or if the message describes this node itself. */
static bool
update_node(mg_mesh *m, const mg_node_msg *msg)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), msg->node);
    if (name[0] == '\0') {
        return false;
    }
    if (strcmp(name, m->self.node) == 0) {
        note_own_state(m, msg);
        return false;
    }
    mg_mesh_node *n = find_node(m, name);
    if (n == NULL) {
        n = mg_alloc(sizeof(*n));
        mg_str_copy(n->node, sizeof(n->node), msg->node);
        HASH_ADD_STR(m->nodes, node, n);
    }
    else if (!is_newer(msg, n)) {
        return false;
    }
    bool was_ready = n->live && n->ready;
    mg_str_copy(n->front_addr, sizeof(n->front_addr), msg->front_addr);
    mg_str_copy(n->domain, sizeof(n->domain), msg->domain);
    mg_str_copy(n->region, sizeof(n->region), msg->region);
    n->incarnation = msg->incarnation;
    n->seq = msg->seq;
    n->ready = msg->ready;
    n->has_disk = msg->disk;
    n->live = true;
    n->last_seen_ms = mg_now(m->opts.clock);
    if (was_ready != n->ready) {
        mg_log(n->ready ? MG_EV_NODE_UP : MG_EV_NODE_DOWN,
               "node=%s ready=%d seq=%llu why=told", n->node, n->ready,
               (unsigned long long)n->seq);
    }
    return true;
}

static void
receive_node(mg_mesh *m, const char *peer, const mg_msg *msg)
{
    const mg_mesh_node *n;
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), msg->u.node.node);
    n = find_node(m, name);
    if (n != NULL && strcmp(name, peer) == 0 &&
        msg->u.node.incarnation < n->incarnation) {
        /* the sender must exceed the known incarnation to be accepted */
        mg_msg known = node_msg(n);
        mg_net_send(m->opts.net, peer, &known);
        return;
    }
    bool same = n != NULL && n->live && n->ready == msg->u.node.ready &&
                n->incarnation == msg->u.node.incarnation;
    if (!update_node(m, &msg->u.node) || !m->is_hub) {
        return;
    }
    if (same) {
        mg_msg_encode(msg, &m->to_hubs.nodes);
        mg_msg_encode(msg, &m->to_subscribers.nodes);
    }
    else {
        send_to_nodes(m, msg);
    }
}

/* Sets is_voter of all nodes: the hubs are the voters of the log. */
static void
update_voters(mg_mesh *m)
{
    m->self.is_voter = m->is_hub;
    for (mg_mesh_node *o = m->nodes; o != NULL; o = o->hh.next) {
        o->is_voter = find_hub(m, o->node) != NULL;
    }
}

static void
expire_nodes(mg_mesh *m, int64_t now)
{
    m->missing = false;
    for (mg_mesh_node *n = m->nodes; n != NULL; n = n->hh.next) {
        int64_t age = now - n->last_seen_ms;
        m->missing = m->missing || (age > MISSING_MS && age < MISSING_MAX_MS);
        if (n->live && age > NODE_TIMEOUT_MS) {
            n->live = false;
            mg_log(MG_EV_NODE_DOWN, "node=%s ready=%d why=silent age_ms=%lld",
                   n->node, n->ready, (long long)age);
        }
    }
}

static void
announce_self(mg_mesh *m, bool to_all)
{
    m->self.seq++;
    m->announce_at = mg_now(m->opts.clock) + ANNOUNCE_MS;
    mg_msg msg = node_msg(&m->self);
    if (to_all) {
        send_to_hubs(m, &msg);
    }
    else {
        send_periodic(m, &msg);
    }
    if (m->is_hub && to_all) {
        send_to_nodes(m, &msg);
    }
    else if (m->is_hub) {
        mg_msg_encode(&msg, &m->to_hubs.nodes);
        mg_msg_encode(&msg, &m->to_subscribers.nodes);
    }
}

void
mg_mesh_set_ready(mg_mesh *m, bool ready)
{
    if (m->self.ready != ready) {
        m->self.ready = ready;
        announce_self(m, true);
    }
}

/* ----------------------------------------------------------- instances */

static mg_msg
instance_msg(const mg_announcement *a)
{
    mg_msg m = {.type = MG_MSG_INSTANCE};
    mg_announcement_to_msg(a, &m.u.instance);
    return m;
}

/* On a hub: forwards changes immediately to all nodes, and heartbeats in
   batches. */
static void
forward_instance(mg_mesh *m, const mg_announcement *a,
                 mg_announce_result result, bool from_hub)
{
    if (!m->is_hub || result == MG_ANNOUNCE_STALE) {
        return;
    }
    mg_msg msg = instance_msg(a);
    if (result != MG_ANNOUNCE_HEARTBEAT) {
        send_to_nodes(m, &msg);
        return;
    }
    mg_msg_encode(&msg, &m->to_subscribers.instances);
    if (!from_hub) {
        mg_msg_encode(&msg, &m->to_hubs.instances);
    }
}

static void
receive_instance(mg_mesh *m, const mg_instance_msg *msg, bool from_hub)
{
    mg_announcement a;
    if (mg_announcement_from_msg(msg, &a) != MG_OK) {
        mg_log(MG_EV_BAD_INPUT, "what=instance");
        return;
    }
    forward_instance(m, &a, m->opts.on_instance(m->opts.user, &a), from_hub);
}

void
mg_mesh_announce(mg_mesh *m, const mg_announcement *a,
                 mg_announce_result result)
{
    if (result == MG_ANNOUNCE_STALE) {
        return;
    }
    mg_msg msg = instance_msg(a);
    if (result == MG_ANNOUNCE_HEARTBEAT) {
        send_periodic(m, &msg);
    }
    else {
        send_to_hubs(m, &msg);
    }
    forward_instance(m, a, result, false);
}

/* ------------------------------------------------------------- reports */

static void
receive_report(mg_mesh *m, const mg_msg *msg, bool from_hub)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), msg->u.report.node);
    mg_mesh_node *n = find_node(m, name);
    if (n == NULL || n->incarnation != msg->u.report.incarnation) {
        return;
    }
    if (m->is_hub && !from_hub) {
        n->subscriber_until = mg_now(m->opts.clock) + SUBSCRIPTION_MS;
    }
    if (n->report_incarnation == msg->u.report.incarnation &&
        n->report_seq >= msg->u.report.seq) {
        return;
    }
    n->report_incarnation = msg->u.report.incarnation;
    n->report_seq = msg->u.report.seq;
    n->request_rate = (double)msg->u.report.rate;
    n->last_seen_ms = mg_now(m->opts.clock);
    n->live = true;
    m->opts.on_report(m->opts.user, name, msg->u.report.incarnation,
                      msg->u.report.loads);
    if (!m->is_hub) {
        return;
    }
    mg_mesh_keep_report(n, msg,
                        from_hub
                            ? MG_REPORT_TO_SUBSCRIBERS
                            : MG_REPORT_TO_SUBSCRIBERS | MG_REPORT_TO_HUBS);
}

void
mg_mesh_report(mg_mesh *m, double rate, mg_str loads)
{
    mg_msg msg = {.type = MG_MSG_REPORT};
    m->self.request_rate = rate;
    msg.u.report.rate = (uint64_t)rate;
    msg.u.report.node = mg_str_of(m->self.node);
    msg.u.report.incarnation = m->self.incarnation;
    msg.u.report.seq = ++m->report_seq;
    msg.u.report.loads = loads;
    send_report(m, &msg);
    if (m->is_hub) {
        mg_mesh_keep_report(&m->self, &msg,
                            MG_REPORT_TO_HUBS | MG_REPORT_TO_SUBSCRIBERS);
    }
}

/* ------------------------------------------------------------- receive */

/* Handles each of the messages that were sent together, maybe packed. */
static void
decode_each(mg_mesh *m, mg_str messages,
            void (*handle)(mg_mesh *m, const mg_msg *msg))
{
    mg_msg msg;
    mg_buf unpacked = {0};
    mg_rc rc = mg_unpack(messages, MG_FRAME_MAX, &unpacked);
    mg_str rest = mg_str_buf(&unpacked);
    if (rc != MG_OK) {
        mg_log(MG_EV_BAD_INPUT, "what=batch rc=%s bytes=%zu", mg_rc_name(rc),
               messages.n);
        mg_count(MG_C_BAD_INPUT, 1);
        rest.n = 0;
    }
    while (mg_msg_next(&rest, &msg) == MG_OK) {
        handle(m, &msg);
    }
    mg_buf_free(&unpacked);
}

/* Handles one message of a batch that a hub forwarded. */
static void
receive_forwarded(mg_mesh *m, const mg_msg *msg)
{
    switch (msg->type) {
    case MG_MSG_NODE:
        if (update_node(m, &msg->u.node) && m->is_hub) {
            mg_msg_encode(msg, &m->to_subscribers.nodes);
        }
        break;
    case MG_MSG_INSTANCE:
        receive_instance(m, &msg->u.instance, true);
        break;
    case MG_MSG_REPORT:
        receive_report(m, msg, true);
        break;
    default:
        break;
    }
}

bool
mg_mesh_receive(mg_mesh *m, const char *peer, const mg_msg *msg)
{
    mg_mesh_hub *h = find_hub(m, peer);
    if (h != NULL) {
        h->last_seen_ms = mg_now(m->opts.clock);
    }
    switch (msg->type) {
    case MG_MSG_NODE:
        receive_node(m, peer, msg);
        return true;
    case MG_MSG_NODES:
        decode_each(m, msg->u.nodes.nodes, receive_forwarded);
        return true;
    case MG_MSG_INSTANCE:
        receive_instance(m, &msg->u.instance, false);
        return true;
    case MG_MSG_INSTANCES:
        decode_each(m, msg->u.instances.instances, receive_forwarded);
        return true;
    case MG_MSG_REPORT:
        receive_report(m, msg, false);
        return true;
    case MG_MSG_REPORTS:
        decode_each(m, msg->u.reports.reports, receive_forwarded);
        return true;
    default:
        return false;
    }
}

static void
append_instance(void *to, const mg_announcement *a)
{
    mg_msg msg = instance_msg(a);
    mg_msg_encode(&msg, to);
}

void
mg_mesh_link_up(mg_mesh *m, const char *peer)
{
    mg_msg self = node_msg(&m->self);
    mg_net_send(m->opts.net, peer, &self);
    if (!m->is_hub) {
        return;
    }
    mg_buf all = {0};
    for (mg_mesh_node *n = m->nodes; n != NULL; n = n->hh.next) {
        if (n->live) {
            mg_msg msg = node_msg(n);
            mg_msg_encode(&msg, &all);
        }
    }
    mg_mesh_pack(&all);
    mg_msg nodes = {.type = MG_MSG_NODES};
    nodes.u.nodes.nodes = mg_str_buf(&all);
    mg_net_send(m->opts.net, peer, &nodes);
    all.n = 0;
    m->opts.each_instance(m->opts.user, append_instance, &all);
    mg_mesh_pack(&all);
    mg_msg instances = {.type = MG_MSG_INSTANCES};
    instances.u.instances.instances = mg_str_buf(&all);
    mg_net_send(m->opts.net, peer, &instances);
    mg_buf_free(&all);
}

static void
exceed_incarnation(mg_mesh *m)
{
    if (m->incarnation_to_exceed < m->self.incarnation) {
        return;
    }
    mg_log(MG_EV_INCARNATION, "own=%llu known=%llu",
           (unsigned long long)m->self.incarnation,
           (unsigned long long)m->incarnation_to_exceed);
    m->self.incarnation = m->incarnation_to_exceed + 1;
    m->self.seq = 0;
    announce_self(m, true);
}

void
mg_mesh_tick(mg_mesh *m)
{
    int64_t now = mg_now(m->opts.clock);
    exceed_incarnation(m);
    choose_hubs(m, now);
    update_voters(m);
    expire_nodes(m, now);
    if (now >= m->announce_at) {
        announce_self(m, false);
    }
    if (m->is_hub) {
        mg_mesh_forward_batches(m, now);
    }
}

double
mg_mesh_request_rate(const mg_mesh *m)
{
    double rate = m->self.request_rate;
    for (const mg_mesh_node *o = m->nodes; o != NULL; o = o->hh.next) {
        rate += o->live ? o->request_rate : 0;
    }
    return rate;
}

size_t
mg_mesh_ready_nodes(const mg_mesh *m, const mg_mesh_node **out, size_t max)
{
    size_t n = 0;
    if (m->self.ready && n < max) {
        out[n++] = &m->self;
    }
    for (const mg_mesh_node *o = m->nodes; o != NULL && n < max;
         o = o->hh.next) {
        if (o->live && o->ready) {
            out[n++] = o;
        }
    }
    return n;
}

bool
mg_mesh_has_disks(const mg_mesh *m)
{
    bool disks = m->self.has_disk;
    for (const mg_mesh_node *o = m->nodes; o != NULL; o = o->hh.next) {
        disks = disks || (o->live && o->has_disk);
    }
    return disks;
}

static void
append_name(mg_buf *out, const char *name)
{
    if (out->n > 0) {
        mg_buf_put(out, ",", 1);
    }
    mg_buf_put(out, name, strlen(name));
}

void
mg_mesh_list_disks(const mg_mesh *m, mg_buf *out)
{
    if (m->self.has_disk) {
        append_name(out, m->self.node);
    }
    for (const mg_mesh_node *o = m->nodes; o != NULL; o = o->hh.next) {
        if (o->live && o->has_disk) {
            append_name(out, o->node);
        }
    }
}

bool
mg_mesh_lacks_disk(const mg_mesh *m, const char *node)
{
    const mg_mesh_node *n =
        strcmp(node, m->self.node) == 0 ? &m->self : find_node(m, node);
    return n != NULL && !n->has_disk;
}

size_t
mg_mesh_rank(const mg_mesh *m)
{
    size_t before = 0;
    for (const mg_mesh_node *o = m->nodes; o != NULL; o = o->hh.next) {
        before += o->live && strcmp(o->node, m->self.node) < 0;
    }
    return before;
}

size_t
mg_mesh_live_count(const mg_mesh *m)
{
    size_t n = 1;
    for (const mg_mesh_node *o = m->nodes; o != NULL; o = o->hh.next) {
        n += o->live;
    }
    return n;
}

void
mg_mesh_send_to_hubs(mg_mesh *m, const mg_msg *msg)
{
    send_to_hubs(m, msg);
}

bool
mg_mesh_is_hub(const mg_mesh *m)
{
    return m->is_hub;
}

bool
mg_mesh_is_lead_hub(const mg_mesh *m)
{
    if (!m->is_hub) {
        return false;
    }
    for (size_t i = 0; i < m->hub_count; i++) {
        const mg_mesh_node *n = find_node(m, m->hubs[i].node);
        if (n != NULL && n->live && strcmp(n->node, m->self.node) < 0) {
            return false;
        }
    }
    return true;
}

bool
mg_mesh_connected(const mg_mesh *m)
{
    size_t up = m->is_hub;
    for (size_t i = 0; i < m->hub_count; i++) {
        const char *node = m->hubs[i].node;
        up += mg_net_is_up(m->opts.net, node) &&
              mg_net_unsent(m->opts.net, node) < MG_MESH_PEER_UNSENT_MAX;
    }
    return 2 * up > m->hub_count + m->is_hub;
}
