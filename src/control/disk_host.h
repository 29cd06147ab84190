/*
 * disk_host - a replicated log's host whose storage is a data folder
 *
 * Who embeds it as its first member gets the calls that store; it sets the
 * others (send, apply, restore, role_changed, failed) itself.
 */
#ifndef MG_DISK_HOST_H
#define MG_DISK_HOST_H

#include "control/raft.h"
#include "control/store.h"

typedef struct mg_disk_host {
    mg_raft_host host; /* first: raft gives it back */
    mg_raft *raft;     /* NULL while it is not open */
    mg_store *store;
} mg_disk_host;

void
mg_disk_host_init(mg_disk_host *d);

#endif
