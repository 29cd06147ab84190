/*
 * control_link - an entry's connection to the control group
 *
 * Finds the leader, renews the serving lease, receives state updates and
 * submits commands (claims, final records, other records) until they are
 * acknowledged. A command is retried after a timeout or a change of leader;
 * this is safe because all commands are idempotent.
 *
 * An entry whose lease expired sends probes, which grant no lease, until a
 * leader replies to one. So once mg_control_link_lease_expired() is true, no
 * leader can consider the entry's lease valid.
 */
#ifndef MG_CONTROL_LINK_H
#define MG_CONTROL_LINK_H

#include "base/clock.h"
#include "topology/lease.h"
#include "topology/settings.h"
#include "wire/link.h"

typedef struct mg_control_link mg_control_link;

/* reply is NULL when the deadline passed without a reply */
typedef void (*mg_control_link_cb)(void *user, const mg_msg *reply);

typedef struct mg_control_link_options {
    mg_clock *clock;
    mg_net *net;
    const mg_settings *settings;
    /* fills the fields of a renewal that describe this entry */
    void (*fill_renewal)(void *user, mg_renew_msg *m);
    /* applies the records of a renewal; MG_OK on success */
    mg_rc (*apply_records)(void *user, const mg_renew_rep_msg *m);
    void *user;
} mg_control_link_options;

mg_control_link *
mg_control_link_new(const mg_control_link_options *opts);
void
mg_control_link_free(mg_control_link *l);
/*
 * Sends renewals that are due, and expires or retries pending commands. To be
 * called every few ms.
 */
void
mg_control_link_tick(mg_control_link *l);
/* Renews at the next tick, for example when the entry starts to drain. */
void
mg_control_link_renew_now(mg_control_link *l);
/* Handles replies of the control group; ignores other messages. */
void
mg_control_link_receive(mg_control_link *l, const char *peer, const mg_msg *m);
/*
 * Submits a CMD_ message to the replicated log. Unless the command is
 * cancelled, done is called once, at the deadline at the latest (monotonic
 * ms; 0: none). Returns the sequence number for mg_control_link_cancel().
 */
uint64_t
mg_control_link_submit(mg_control_link *l, const mg_msg *command,
                       int64_t deadline_ms, mg_control_link_cb done,
                       void *user);
/* Queries the result of a CMD_CLAIM without writing to the log. */
uint64_t
mg_control_link_peek(mg_control_link *l, const mg_msg *command,
                     int64_t deadline_ms, mg_control_link_cb done, void *user);
/* Cancels a pending command: done is not called, but the command may still
   be applied. */
void
mg_control_link_cancel(mg_control_link *l, uint64_t seq);
/* Whether the entry holds a valid lease by its local clock. */
bool
mg_control_link_leased(const mg_control_link *l);
/* Whether every leader must by now regard this entry's lease as expired. */
bool
mg_control_link_lease_expired(const mg_control_link *l);
/* Number of commands without a reply. */
size_t
mg_control_link_pending(const mg_control_link *l);

#endif
