/*
 * raft_disk - storage callbacks of a replicated log, on a data directory
 *
 * To be embedded as the first member of the user's struct.
 * mg_raft_disk_init() sets the storage callbacks; the user sets the others
 * (send, apply, restore, role_changed, failed).
 */
#ifndef MG_RAFT_DISK_H
#define MG_RAFT_DISK_H

#include "control/raft.h"
#include "control/store.h"

typedef struct mg_raft_disk {
    /* must be the first member: pointers to it are cast to mg_raft_disk */
    mg_raft_callbacks callbacks;
    mg_raft *raft; /* NULL while it is not open */
    mg_store *store;
} mg_raft_disk;

void
mg_raft_disk_init(mg_raft_disk *d);

#endif
