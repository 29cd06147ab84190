/*
 * group_client - a node's client of the replicated log
 *
 * It pulls records from one voter at a time, preferably the leader, and never
 * goes back to an older revision. A command is retried until the leader
 * reports its outcome or its timeout expires. Commands must therefore be
 * idempotent.
 */
#ifndef MG_GROUP_CLIENT_H
#define MG_GROUP_CLIENT_H

#include "base/check.h"
#include "base/clock.h"
#include "group/group.h"
#include "wire/link.h"

typedef struct mg_group_client mg_group_client;

/* rc: result of the command or read; MG_E_NO_LEADER: unknown outcome of a
   command. why is valid during the call only. */
typedef void (*mg_group_client_cb)(void *user, mg_rc rc, uint64_t rev,
                                   const char *why);

typedef struct mg_group_client_options {
    mg_net *net;
    mg_clock *clock;
    /* a record has changed; its strings are valid during the call only */
    void (*on_record)(void *user, const mg_record_msg *r);
    /* all records that the log had when it was asked first are received;
       called once, may be NULL */
    void (*on_current)(void *user);
    void *user;
} mg_group_client_options;

/* Writes the link peer name of the voter with this IP address. */
void
mg_group_peer_name(char out[MG_NAME_SIZE], const char *ip);

mg_group_client *
mg_group_client_new(const mg_group_client_options *opts);
/* Replaces the voters to connect to; they listen for links on port. */
void
mg_group_client_set_voters(mg_group_client *c, const mg_voters *voters,
                           uint16_t port);
/*
 * Returns a monotonic time, ms, by which this client had all records committed
 * until then; those that on_record() is being called with came after it.
 * INT64_MIN: unknown.
 */
int64_t
mg_group_client_complete_until(const mg_group_client *c);
void
mg_group_client_receive(mg_group_client *c, const char *peer, const mg_msg *m);
/* Runs timeouts and retries; to be called about every 50 ms. */
void
mg_group_client_tick(mg_group_client *c);
/* Submits a command, which is copied. done is called once, within ms. */
void
mg_group_client_propose(mg_group_client *c, const mg_msg *command, int64_t ms,
                        mg_group_client_cb done, void *user);
/*
 * Requests the newest committed revision. done is called once: when this
 * client has received that revision, or with MG_E_NO_QUORUM after ms.
 */
void
mg_group_client_confirm(mg_group_client *c, int64_t ms,
                        mg_group_client_cb done, void *user);

#endif
