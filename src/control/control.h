/*
 * control - a member of the control group as a process
 *
 * It joins the replicated log, the data folder, the links and the operators'
 * HTTP port. The leader grants serving leases to entries, places pool
 * schedulers, takes claims and records, and accepts the document.
 *
 * A renewal is granted only after a majority of members has answered a round
 * that was started after it arrived, so that a leader that was cut off
 * grants nothing.
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

/* states of an entry's MEMBER record */
typedef enum mg_drain_state {
    MG_DRAIN_NONE,
    MG_DRAIN_DRAINING, /* no longer among the addresses */
    MG_DRAIN_STOPPED,  /* its schedulers have stopped */
    MG_DRAIN_REMOVED,  /* taken out by an operator */
} mg_drain_state;

typedef struct mg_control mg_control;

/* MG_E_IO, MG_E_CORRUPT: the data folder can't be used; err says why. */
mg_rc
mg_control_open(mg_control **out, uv_loop_t *loop, const mg_settings *settings,
                mg_error *err);
/* Makes the data folder of a voter of a new group; it must not exist. */
mg_rc
mg_control_init_data_dir(const char *dir, mg_error *err);
void
mg_control_stop(mg_control *c);
/* The data folder failed and the loop was stopped for it. */
bool
mg_control_storage_failed(const mg_control *c);

/* for control/operator.c */

typedef void (*mg_apply_cb)(void *user, const mg_apply_reply *reply);

const mg_settings *
mg_control_settings(const mg_control *c);
const mg_state *
mg_control_state(const mg_control *c);
const mg_raft *
mg_control_raft(const mg_control *c);
const char *
mg_control_leader(const mg_control *c);
/*
 * Proposes a command; done is called when it was applied, with
 * MG_E_NO_LEADER when this member ceased to lead before.
 */
mg_rc
mg_control_propose(mg_control *c, const mg_msg *command, mg_apply_cb done,
                   void *user);
/* Entries that count, and those of them with a live lease. */
void
mg_control_count_entries(mg_control *c, size_t *members, size_t *live);
/* Revision of the document that is in force at every leased entry. */
uint64_t
mg_control_in_force_rev(const mg_control *c);
/* Applied revision and lease of an entry, for status. */
mg_lease_state
mg_control_entry_status(const mg_control *c, const char *node,
                        uint64_t incarnation, uint64_t *rev);
/* Sends an operator's request to the leader; MG_E_NO_LEADER. */
mg_rc
mg_control_forward(mg_control *c, const mg_msg *request);

#endif
