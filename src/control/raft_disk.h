/*
 * disk_host - a replicated log's host whose storage is a data folder
 *
 * Who embeds it as its first member gets the calls that store; it sets the
 * others (send, apply, restore, role_changed, failed) itself.
 */
#ifndef MG_RAFT_DISK_H
#define MG_RAFT_DISK_H

#include "control/raft.h"
#include "control/store.h"

typedef struct mg_raft_disk {
    mg_raft_callbacks callbacks; /* first: raft gives it back */
    mg_raft *raft;               /* NULL while it is not open */
    mg_store *store;
} mg_raft_disk;

void
mg_raft_disk_init(mg_raft_disk *d);

#endif
