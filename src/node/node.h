/*
 * node - one host of the cluster
 *
 * A node combines the links, the mesh, the gateway, the client of the
 * replicated log and, on voters, the log itself. The platform decodes HTTP
 * requests of clients, targets and operators and calls the functions below.
 * A codec parses configuration documents.
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
    /* MG_E_INPUT: text is not a valid document; err holds the reason and *out
       is NULL */
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
/* Adds a server whose responses must be written before a planned stop ends the
   process. */
void
mg_node_add_server(mg_node *n, mg_http_server *server);
const mg_node_settings *
mg_node_get_settings(const mg_node *n);
/* Applies the settings that may change at run time; ignores the others. */
void
mg_node_reload(mg_node *n, const mg_node_settings *settings);
/*
 * Starts a graceful shutdown: the node is no longer advertised, requests in
 * progress are finished, then the event loop is stopped, at the latest
 * shortly before the grace period ends.
 */
void
mg_node_drain(mg_node *n);

/* Whether clients may be sent to this node. */
bool
mg_node_ready(const mg_node *n);
/* Stores up to max advertised hosts and returns their number. The pointers
   are valid until the event loop continues. */
size_t
mg_node_directory(const mg_node *n, const mg_mesh_node **out, size_t max);

/*
 * Registers an announcement that a target instance sent. MG_E_NO_QUORUM: this
 * node could not propagate it, and the target must retry at another node.
 */
mg_rc
mg_node_announce(mg_node *n, const mg_announcement *a);
/* Marks an instance as draining. started_ms: start time of the run, 0: any
   run. Ignores earlier runs. MG_E_NO_QUORUM as in mg_node_announce, and if the
   instance or the run isn't known here. */
mg_rc
mg_node_deregister(mg_node *n, const char *id, uint64_t started_ms);

/*
 * Starts a rollout of a service to version, to be completed within window_ms.
 * done gets MG_E_NOT_FOUND when the document lacks the service,
 * MG_E_NO_QUORUM when no document is loaded; for other codes see
 * mg_rollout_manager_start.
 */
void
mg_node_start_rollout(mg_node *n, const char *service, const char *version,
                      int64_t window_ms, mg_group_client_cb done, void *user);
/*
 * Reads the state of a service's rollout. done gets NULL when the service
 * never had one, and NULL with MG_E_NO_QUORUM when the state can't be
 * confirmed.
 */
void
mg_node_get_rollout(mg_node *n, const char *service,
                    void (*done)(void *user, mg_rc rc,
                                 const mg_rollout_status *s),
                    void *user);
/*
 * Submits a configuration document; the highest version wins. done gets MG_OK
 * when this version or a higher one is accepted, MG_E_INPUT when the document
 * is invalid, MG_E_NO_LEADER when the outcome is unknown.
 */
void
mg_node_put_document(mg_node *n, mg_str text, mg_group_client_cb done,
                     void *user);
/* Reads the document: done gets its text, or MG_E_NOT_FOUND when there is
   none, MG_E_NO_QUORUM when the text may be outdated. */
void
mg_node_get_document(mg_node *n,
                     void (*done)(void *user, mg_rc rc, mg_str text),
                     void *user);

#endif
