/*
 * group_client - a node's view of the replicated log
 *
 * It pulls records from one member at a time, the leader if that is known
 * and answers, and never goes back to an older revision. Commands are sent
 * to the leader again and again until one tells the outcome or their time is
 * over; commands must therefore be such that a second copy changes nothing.
 */
#ifndef MG_GROUP_CLIENT_H
#define MG_GROUP_CLIENT_H

#include "base/check.h"
#include "base/clock.h"
#include "group/group.h"
#include "wire/link.h"

typedef struct mg_group_client mg_group_client;

/* rc of the command; MG_E_NO_LEADER: outcome unknown */
typedef void (*mg_group_client_cb)(void *user, mg_rc rc, uint64_t rev,
                                   const char *why);

typedef struct mg_group_client_options {
    mg_net *net;
    mg_clock *clock;
    /* a record has changed; strings live during the call */
    void (*on_record)(void *user, const mg_record_msg *r);
    void *user;
} mg_group_client_options;

/* Name of a voter on the links, of its IP address. */
void
mg_group_peer_name(char out[MG_NAME_SIZE], const char *ip);

mg_group_client *
mg_group_client_new(const mg_group_client_options *opts);
/* The voters; their links are on port. */
void
mg_group_client_set_voters(mg_group_client *c, const mg_voters *seats,
                           uint16_t port);
void
mg_group_client_receive(mg_group_client *c, const char *peer, const mg_msg *m);
/* Every 50 ms or so. */
void
mg_group_client_tick(mg_group_client *c);
/* done is called once, within ms. */
void
mg_group_client_propose(mg_group_client *c, const mg_msg *command, int64_t ms,
                        mg_group_client_cb done, void *user);
/*
 * Asks for the newest revision; done is called when this client has it, with
 * MG_E_NO_QUORUM when it can't be told within ms.
 */
void
mg_group_client_confirm(mg_group_client *c, int64_t ms,
                        mg_group_client_cb done, void *user);

#endif
