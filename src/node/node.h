/*
 * node - one host of a system whose hosts find each other
 *
 * It joins the parts: links, mesh, gateway, the replicated log (when it
 * votes) and its client. What comes in over HTTP from callers, targets,
 * operators and the platform is decoded outside and handed to the functions
 * below; what a document holds is told by a codec.
 */
#ifndef MG_NODE_H
#define MG_NODE_H

#include "gateway/gateway.h"
#include "group/group_client.h"
#include "node/mesh.h"
#include "node/rollout_manager.h"
#include "node/node_settings.h"

typedef struct mg_node mg_node;

typedef struct mg_document_codec mg_document_codec;
struct mg_document_codec {
    /* MG_E_INPUT: the text is no valid document, err says why */
    mg_rc (*read)(mg_document_codec *c, mg_str text, mg_routing **out,
                  mg_error *err);
};

typedef struct mg_node_options {
    uv_loop_t *loop;
    const mg_node_settings *settings; /* copied */
    mg_dialect *dialect;
    mg_document_codec *codec;
} mg_node_options;

mg_rc
mg_node_open(mg_node **out, const mg_node_options *opts, mg_error *err);
const mg_node_settings *
mg_node_get_settings(const mg_node *n);
/* Takes what may change while the process runs. */
void
mg_node_reload(mg_node *n, const mg_node_settings *settings);
/*
 * Stops: callers are sent elsewhere, requests in hand are finished, then the
 * loop is stopped, at the latest just before the grace time is over.
 */
void
mg_node_drain(mg_node *n);

/* Whether callers may be sent here. */
bool
mg_node_ready(const mg_node *n);
/* The hosts that callers are sent to; valid until the loop runs on. */
size_t
mg_node_directory(const mg_node *n, const mg_mesh_node **out, size_t max);

/*
 * A target instance announced itself. MG_E_NO_QUORUM when this node could
 * not tell the others: the target must ask elsewhere.
 */
mg_rc
mg_node_announce(mg_node *n, const mg_announcement *a);
/* An instance says that it ends; born_ms 0: of whatever run is known. */
mg_rc
mg_node_deregister(mg_node *n, const char *id, uint64_t born_ms);

/*
 * An operator's order to move a service's traffic to another version within
 * window_ms. MG_E_NOT_FOUND: the document has no such service; see
 * mg_rollout_manager_start for the rest.
 */
void
mg_node_start_rollout(mg_node *n, const char *service, const char *version,
                      int64_t window_ms, mg_group_done done, void *user);
/*
 * How a service's move stands: done gets NULL when none was ever ordered,
 * with MG_E_NO_QUORUM when it can't be told for sure.
 */
void
mg_node_get_rollout(mg_node *n, const char *service,
                    void (*done)(void *user, mg_rc rc,
                                 const mg_rollout_status *s),
                    void *user);
/*
 * A document of the operators; the highest version wins. done: MG_OK when it
 * (or a higher one) is accepted, MG_E_INPUT when it is not valid,
 * MG_E_NO_LEADER when the outcome is not known.
 */
void
mg_node_put_document(mg_node *n, mg_str text, mg_group_done done, void *user);
/* done gets the text; MG_E_NO_QUORUM when it may be old. */
void
mg_node_get_document(mg_node *n,
                     void (*done)(void *user, mg_rc rc, mg_str text),
                     void *user);

#endif
