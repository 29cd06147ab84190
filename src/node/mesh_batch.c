#include "node/mesh_int.h"

#include "base/pack.h"

/* interval at which a hub forwards periodic messages in batches, ms */
#define BATCH_MS 50
/* while more bytes than this wait to be sent to all nodes, a hub sends no
   further batch; a change then waits for 80 ms at 100 Mbit/s */
#define BATCH_UNSENT_MAX (1u << 20)
/* heartbeats held back beyond this size are dropped; later ones follow */
#define HELD_BACK_MAX (256u << 10)

/* fewer bytes are not worth packing */
#define PACK_BYTES_MIN 256

void
mg_mesh_pack(mg_buf *messages)
{
    if (messages->n < PACK_BYTES_MIN) {
        return;
    }
    mg_buf packed = {0};
    mg_pack(mg_str_buf(messages), &packed);
    mg_buf_free(messages);
    *messages = packed;
}

void
mg_mesh_keep_report(mg_mesh_node *n, const mg_msg *msg, unsigned flags)
{
    n->report.n = 0;
    mg_msg_encode(msg, &n->report);
    n->report_flags |= flags;
}

static void
take_report(mg_mesh_node *n, unsigned flag, mg_buf *out)
{
    if (n->report_flags & flag) {
        mg_buf_put(out, n->report.p, n->report.n);
        n->report_flags &= ~flag;
    }
}

/* Moves what is to be forwarded into an empty batch, and packs it. */
static void
fill_batch(mg_mesh *m, mg_mesh_batch *b, mg_mesh_heartbeats *from,
           unsigned report_flag)
{
    b->heartbeats = *from;
    *from = (mg_mesh_heartbeats){0};
    take_report(&m->self, report_flag, &b->reports);
    for (mg_mesh_node *n = m->nodes; n != NULL; n = n->hh.next) {
        take_report(n, report_flag, &b->reports);
    }
    mg_mesh_pack(&b->heartbeats.nodes);
    mg_mesh_pack(&b->heartbeats.instances);
    mg_mesh_pack(&b->reports);
}

static void
free_batch(mg_mesh_batch *b)
{
    mg_buf_free(&b->heartbeats.nodes);
    mg_buf_free(&b->heartbeats.instances);
    mg_buf_free(&b->reports);
}

static void
send_batch(mg_mesh *m, const mg_mesh_batch *b, const char *peer)
{
    mg_msg msg;
    if (b->heartbeats.nodes.n > 0) {
        msg.type = MG_MSG_NODES;
        msg.u.nodes.nodes = mg_str_buf(&b->heartbeats.nodes);
        mg_net_send(m->opts.net, peer, &msg);
    }
    if (b->heartbeats.instances.n > 0) {
        msg.type = MG_MSG_INSTANCES;
        msg.u.instances.instances = mg_str_buf(&b->heartbeats.instances);
        mg_net_send(m->opts.net, peer, &msg);
    }
    /* sent even if empty: it serves as the hub's heartbeat */
    msg.type = MG_MSG_REPORTS;
    msg.u.reports.reports = mg_str_buf(&b->reports);
    mg_net_send(m->opts.net, peer, &msg);
}

static bool
is_congested(const mg_mesh *m)
{
    return mg_net_unsent_total(m->opts.net) > BATCH_UNSENT_MAX;
}

static void
drop_if_large(mg_buf *held_back)
{
    if (held_back->n > HELD_BACK_MAX) {
        held_back->n = 0;
    }
}

static void
send_to_other_hubs(mg_mesh *m)
{
    mg_mesh_batch b = {0};
    if (is_congested(m)) {
        drop_if_large(&m->to_hubs.nodes);
        drop_if_large(&m->to_hubs.instances);
        return;
    }
    fill_batch(m, &b, &m->to_hubs, MG_REPORT_TO_HUBS);
    for (size_t i = 0; i < m->hub_count; i++) {
        send_batch(m, &b, m->hubs[i].node);
    }
    free_batch(&b);
}

/* Sends the current batch to further subscribers, as long as few bytes
   wait. */
static void
send_to_subscribers(mg_mesh *m, int64_t now)
{
    mg_mesh_node *n = m->next_subscriber;
    for (; n != NULL && !is_congested(m); n = n->hh.next) {
        if (now < n->subscriber_until &&
            mg_net_unsent(m->opts.net, n->node) < MG_MESH_PEER_UNSENT_MAX) {
            send_batch(m, &m->current, n->node);
        }
    }
    m->next_subscriber = n;
    drop_if_large(&m->to_subscribers.nodes);
    drop_if_large(&m->to_subscribers.instances);
}

void
mg_mesh_forward_batches(mg_mesh *m, int64_t now)
{
    if (now >= m->batch_at) {
        m->batch_at = now + BATCH_MS;
        send_to_other_hubs(m);
        if (m->next_subscriber == NULL) {
            free_batch(&m->current);
            fill_batch(m, &m->current, &m->to_subscribers,
                       MG_REPORT_TO_SUBSCRIBERS);
            m->next_subscriber = m->nodes;
        }
    }
    send_to_subscribers(m, now);
}
