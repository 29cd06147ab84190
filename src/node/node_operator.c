#include <inttypes.h>
#include <stdlib.h>

#include "base/event.h"
#include "base/pack.h"
#include "control/state.h"
#include "node/node_int.h"

#define SECTION "document"
/* of a text; as large as the largest body of a request for it */
#define DOCUMENT_BYTES_MAX (16u << 20)

/* ------------------------------------------------------------ documents */

void
mg_node_apply_section(mg_node *n, const mg_rec_section_msg *s)
{
    mg_error err;
    mg_routing *t;
    mg_buf text = {0};
    if (s->version <= n->document_version && n->document.n > 0) {
        return;
    }
    mg_rc rc = mg_unpack(s->text, DOCUMENT_BYTES_MAX, &text);
    if (rc != MG_OK) {
        mg_fail(&err, rc, "packed text: %s", mg_rc_name(rc));
    }
    else {
        rc = n->codec->read(n->codec, mg_str_buf(&text), &t, &err);
    }
    if (rc != MG_OK) {
        mg_log(MG_EV_CONFIG_BAD, "version=%" PRIu64 " why=%s", s->version,
               err.text);
        mg_buf_free(&text);
        return;
    }
    n->document_version = s->version;
    mg_buf_free(&n->document);
    n->document = text;
    if (n->client_server != NULL) {
        mg_http_set_limits(n->client_server, &t->limits);
    }
    mg_routing_unref(n->held_routing);
    n->held_routing = t;
    if (n->records_current) {
        mg_node_use_held_routing(n);
    }
}

void
mg_node_use_held_routing(mg_node *n)
{
    n->records_current = true;
    if (n->held_routing != NULL) {
        mg_gateway_set_routing(n->gateway, n->held_routing);
        n->held_routing = NULL;
    }
}

/* a document that is being written to the log */
struct document_write {
    mg_node *node;
    uint64_t version;
    mg_group_client_cb done;
    void *user;
};

static void
document_written(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    struct document_write *w = user;
    /* not an error: the log has this version or a higher one */
    if (rc == MG_E_VERSION_STALE || rc == MG_E_VERSION_CONFLICT) {
        rc = MG_OK;
    }
    mg_log(rc == MG_OK ? MG_EV_DOC_ACCEPTED : MG_EV_DOC_REFUSED,
           "version=%" PRIu64 " rc=%s rev=%" PRIu64 " why=%s", w->version,
           mg_rc_name(rc), rev, why);
    w->done(w->user, rc, rev, why);
    free(w);
}

void
mg_node_put_document(mg_node *n, mg_str text, mg_group_client_cb done,
                     void *user)
{
    mg_error err;
    mg_routing *t;
    mg_rc rc = n->codec->read(n->codec, text, &t, &err);
    if (rc != MG_OK) {
        mg_log(MG_EV_DOC_REFUSED, "rc=%s why=%s", mg_rc_name(rc), err.text);
        done(user, rc, 0, err.text);
        return;
    }
    char digest[MG_HEX_SHA256_SIZE];
    mg_buf packed = {0};
    mg_buf section = {0};
    mg_msg m = {.type = MG_MSG_REC_SECTION};
    mg_sha256_hex(text, digest);
    mg_pack(text, &packed);
    m.u.rec_section.name = mg_str_of(SECTION);
    m.u.rec_section.version = t->version;
    m.u.rec_section.digest = mg_str_of(digest);
    m.u.rec_section.text = mg_str_buf(&packed);
    mg_msg_encode(&m, &section);
    mg_buf_free(&packed);
    mg_msg cmd = {.type = MG_MSG_CMD_DOCUMENT};
    cmd.u.cmd_document.base_rev = MG_BASE_REV_ANY;
    cmd.u.cmd_document.sections = mg_str_buf(&section);
    struct document_write *w = mg_alloc(sizeof(*w));
    *w = (struct document_write){n, t->version, done, user};
    mg_routing_unref(t);
    mg_group_client_propose(n->client, &cmd, n->settings.ack_ms,
                            document_written, w);
    mg_buf_free(&section);
}

struct document_read {
    mg_node *node;
    void (*done)(void *user, mg_rc rc, mg_str text);
    void *user;
};

static void
document_confirmed(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    struct document_read *r = user;
    (void)rev;
    (void)why;
    if (rc == MG_OK && r->node->document.n == 0) {
        rc = MG_E_NOT_FOUND;
    }
    r->done(r->user, rc, mg_str_buf(&r->node->document));
    free(r);
}

void
mg_node_get_document(mg_node *n,
                     void (*done)(void *user, mg_rc rc, mg_str text),
                     void *user)
{
    struct document_read *r = mg_alloc(sizeof(*r));
    *r = (struct document_read){n, done, user};
    mg_group_client_confirm(n->client, n->settings.ack_ms / 2,
                            document_confirmed, r);
}

/* ------------------------------------------------------------- rollouts */

double
mg_node_running_on_others(void *user, const char *service, const char *version)
{
    const mg_node *n = user;
    return mg_gateway_running_on_other_versions(n->gateway, service, version);
}

static void
send_samples(void *user, const mg_msg *m)
{
    mg_node *n = user;
    mg_mesh_send_to_hubs(n->mesh, m);
    if (mg_mesh_is_hub(n->mesh)) {
        mg_rollout_manager_add_samples(n->rollouts, &m->u.rollout_samples);
    }
}

void
mg_node_send_rollout_samples(mg_node *n)
{
    mg_gateway_flush_rollout_samples(n->gateway, send_samples, n);
}

mg_rc
mg_node_find_service(void *user, const char *service)
{
    const mg_node *n = user;
    const mg_routing *t = mg_gateway_routing(n->gateway);
    if (t == NULL) {
        return MG_E_NO_QUORUM;
    }
    return mg_routing_service(t, mg_str_of(service)) != NULL ? MG_OK
                                                             : MG_E_NOT_FOUND;
}

void
mg_node_start_rollout(mg_node *n, const char *service, const char *version,
                      int64_t window_ms, mg_group_client_cb done, void *user)
{
    mg_rollout_manager_start(n->rollouts, service, version, window_ms, done,
                             user);
}

struct rollout_read {
    mg_node *node;
    char service[MG_NAME_SIZE];
    void (*done)(void *user, mg_rc rc, const mg_rollout_status *s);
    void *user;
};

static void
rollout_confirmed(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    struct rollout_read *r = user;
    mg_rollout_status s;
    (void)rev;
    (void)why;
    bool known = rc == MG_OK &&
                 mg_rollout_manager_status(r->node->rollouts, r->service, &s);
    r->done(r->user, rc, known ? &s : NULL);
    free(r);
}

void
mg_node_get_rollout(mg_node *n, const char *service,
                    void (*done)(void *user, mg_rc rc,
                                 const mg_rollout_status *s),
                    void *user)
{
    struct rollout_read *r = mg_alloc(sizeof(*r));
    *r = (struct rollout_read){.node = n, .done = done, .user = user};
    mg_str_copy(r->service, sizeof(r->service), mg_str_of(service));
    mg_group_client_confirm(n->client, n->settings.ack_ms / 2,
                            rollout_confirmed, r);
}
