/*
 * control - the process of a control group member
 *
 * Connects the replicated log, the data directory, the links and the
 * operators' HTTP port. The leader grants serving leases to entries, assigns
 * pool schedulers to them, commits claims and records, and accepts the
 * document.
 *
 * A lease is renewed only after a majority of members has acknowledged a
 * round started after the renewal arrived, so a partitioned leader grants no
 * leases.
 */
#ifndef MG_CONTROL_H
#define MG_CONTROL_H

#include <uv.h>

#include "control/raft.h"
#include "control/state.h"
#include "topology/lease.h"
#include "topology/settings.h"
#include "wire/http.h"
#include "wire/link.h"

/* draining state in an entry's MEMBER record */
typedef enum mg_drain_state {
    MG_DRAIN_NONE,
    MG_DRAIN_DRAINING, /* no longer among the advertised addresses */
    MG_DRAIN_STOPPED,  /* its schedulers have stopped */
    MG_DRAIN_REMOVED,  /* removed by an operator */
} mg_drain_state;

typedef struct mg_control mg_control;

/*
 * MG_E_INPUT: bad settings. MG_E_IO, MG_E_CORRUPT: the data directory can't
 * be used. err holds the reason.
 */
mg_rc
mg_control_open(mg_control **out, uv_loop_t *loop, const mg_settings *settings,
                mg_error *err);
/*
 * Creates the data directory for a voter of a new group. MG_E_VERSION_CONFLICT
 * when it already holds a member's data.
 */
mg_rc
mg_control_init_data_dir(const char *dir, mg_error *err);
void
mg_control_stop(mg_control *c);
/* Whether the loop was stopped because the data directory failed. */
bool
mg_control_storage_failed(const mg_control *c);

/* for control/operator.c and control/entries.c */

/* reply is valid during the call only */
typedef void (*mg_apply_cb)(void *user, const mg_apply_reply *reply);

const mg_settings *
mg_control_settings(const mg_control *c);
const mg_state *
mg_control_state(const mg_control *c);
const mg_raft *
mg_control_raft(const mg_control *c);
/* Name of the node that leads, "" when unknown. */
const char *
mg_control_leader(const mg_control *c);
/*
 * Proposes a command. On MG_OK, done is called once it has been applied, or
 * with MG_E_NO_LEADER when this member lost leadership before that.
 */
mg_rc
mg_control_propose(mg_control *c, const mg_msg *command, mg_apply_cb done,
                   void *user);
/* Numbers of entries that are not stopped or removed, and of live leases. */
void
mg_control_count_entries(mg_control *c, size_t *members, size_t *live);
/* Latest document revision that every leased entry has applied. */
uint64_t
mg_control_in_force_rev(const mg_control *c);
/*
 * Lease state of an entry's incarnation; sets *rev to the revision that it
 * has applied, 0 when unknown.
 */
mg_lease_state
mg_control_entry_status(const mg_control *c, const char *node,
                        uint64_t incarnation, uint64_t *rev);
/* Sends an operator's request to the leader; MG_E_NO_LEADER when it can't. */
mg_rc
mg_control_forward(mg_control *c, const mg_msg *request);

#endif
