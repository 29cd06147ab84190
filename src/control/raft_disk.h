/*
 * raft_disk - storage callbacks of a replicated log, on a data directory
 *
 * To be embedded as the first member of the user's struct.
 * mg_raft_disk_init() sets the storage callbacks; the user sets the others
 * (send, apply, restore, role_changed, failed).
 *
 * Entries are synced on a thread of libuv's pool, so that messages are handled
 * while the disk is slow.
 *
 * XXX: the term, the vote and snapshots are still written by the user's
 * thread.
 */
#ifndef MG_RAFT_DISK_H
#define MG_RAFT_DISK_H

#include "control/raft.h"
#include <uv.h>

#include "control/store.h"

struct mg_raft_sync;

typedef struct mg_raft_disk {
    /* must be the first member: pointers to it are cast to mg_raft_disk */
    mg_raft_callbacks callbacks;
    mg_raft *raft; /* NULL while it is not open */
    mg_store *store;
    uv_loop_t *loop;
    struct mg_raft_sync *sync; /* in progress; NULL: none */
} mg_raft_disk;

void
mg_raft_disk_init(mg_raft_disk *d, uv_loop_t *loop);
/* Frees raft and store, after the sync that is in progress. */
void
mg_raft_disk_close(mg_raft_disk *d);

#endif
