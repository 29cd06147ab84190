/*
 * clink - an entry's link to the control group
 *
 * It finds the leader, renews the serving lease, brings changes of state and
 * carries commands (claims, finals, records) until they are answered. A
 * command is sent again after silence or a change of leader; all commands
 * are idempotent, so that a doubled one changes nothing.
 *
 * An entry without a lease asks with probes, which grant none, until the
 * leader answers one. So an entry that says that it holds no lease (see
 * mg_control_link_lease_expired) knows that no leader counts on it.
 */
#ifndef MG_CONTROL_LINK_H
#define MG_CONTROL_LINK_H

#include "base/clock.h"
#include "topology/lease.h"
#include "topology/settings.h"
#include "wire/link.h"

typedef struct mg_control_link mg_control_link;

/* reply is NULL when the deadline passed without an answer */
typedef void (*mg_control_link_cb)(void *user, const mg_msg *reply);

typedef struct mg_control_link_options {
    mg_clock *clock;
    mg_net *net;
    const mg_settings *settings;
    /* fills the entry's own part of a renewal */
    void (*fill_renewal)(void *user, mg_renew_msg *m);
    /* records of a renewal; MG_OK when they were applied */
    mg_rc (*apply_records)(void *user, const mg_renew_rep_msg *m);
    void *user;
} mg_control_link_options;

mg_control_link *
mg_control_link_new(const mg_control_link_options *opts);
void
mg_control_link_free(mg_control_link *l);
/* Renewals, and commands that were not answered. Every few ms. */
void
mg_control_link_tick(mg_control_link *l);
/* Renews at once, for example when the entry starts to drain. */
void
mg_control_link_renew_now(mg_control_link *l);
/* Replies of the control group; other messages are left alone. */
void
mg_control_link_receive(mg_control_link *l, const char *peer, const mg_msg *m);
/*
 * Sends a CMD_ message through the log. done comes once, at the latest at
 * the deadline (monotonic ms; 0: none). Returns a number to cancel with.
 */
uint64_t
mg_control_link_submit(mg_control_link *l, const mg_msg *command,
                       int64_t deadline_ms, mg_control_link_cb done,
                       void *user);
/* Asks what a CMD_CLAIM would find, without the log. */
uint64_t
mg_control_link_peek(mg_control_link *l, const mg_msg *command,
                     int64_t deadline_ms, mg_control_link_cb done, void *user);
/* done will not be called; the command may still be applied. */
void
mg_control_link_cancel(mg_control_link *l, uint64_t seq);
bool
mg_control_link_leased(const mg_control_link *l);
/* No leader can believe that this entry holds a lease. */
bool
mg_control_link_lease_expired(const mg_control_link *l);
size_t
mg_control_link_pending(const mg_control_link *l);

#endif
