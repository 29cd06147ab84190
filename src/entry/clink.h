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
 * mg_clink_lease_given_up) knows that no leader counts on it.
 */
#ifndef MG_CLINK_H
#define MG_CLINK_H

#include "base/clock.h"
#include "topology/lease.h"
#include "topology/settings.h"
#include "wire/link.h"

typedef struct mg_clink mg_clink;

/* reply is NULL when the deadline passed without an answer */
typedef void (*mg_clink_done)(void *user, const mg_msg *reply);

typedef struct mg_clink_options {
    mg_clock *clock;
    mg_net *net;
    const mg_settings *settings;
    /* fills the entry's own part of a renewal */
    void (*describe)(void *user, mg_renew_msg *m);
    /* records of a renewal; MG_OK when they were applied */
    mg_rc (*apply)(void *user, const mg_renew_rep_msg *m);
    void *user;
} mg_clink_options;

mg_clink *
mg_clink_new(const mg_clink_options *opts);
void
mg_clink_free(mg_clink *l);
/* Renewals, and commands that were not answered. Every few ms. */
void
mg_clink_tick(mg_clink *l);
/* Renews at once, for example when the entry starts to drain. */
void
mg_clink_renew_now(mg_clink *l);
/* Replies of the control group; other messages are left alone. */
void
mg_clink_receive(mg_clink *l, const char *peer, const mg_msg *m);
/*
 * Sends a CMD_ message through the log. done comes once, at the latest at
 * the deadline (monotonic ms; 0: none). Returns a number to cancel with.
 */
uint64_t
mg_clink_call(mg_clink *l, const mg_msg *command, int64_t deadline_ms,
              mg_clink_done done, void *user);
/* Asks what a CMD_CLAIM would find, without the log. */
uint64_t
mg_clink_peek(mg_clink *l, const mg_msg *command, int64_t deadline_ms,
              mg_clink_done done, void *user);
/* done will not be called; the command may still be applied. */
void
mg_clink_forget(mg_clink *l, uint64_t seq);
bool
mg_clink_leased(const mg_clink *l);
/* No leader can believe that this entry holds a lease. */
bool
mg_clink_lease_given_up(const mg_clink *l);
size_t
mg_clink_pending(const mg_clink *l);

#endif
