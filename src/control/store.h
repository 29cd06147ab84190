/*
 * store - the data directory of a control group member
 *
 * Files, all but lock with a magic number and XXH3 checksums:
 *   meta      term, vote, uid, voter flag; replaced atomically
 *   snapshot  state at an index; replaced atomically
 *   log       entries after the snapshot; appended, synced by mg_store_sync()
 *   note      voters, in the encoding of the caller; replaced atomically
 *   lock      locked while a process uses the directory
 * A file is replaced by writing a new file, syncing it and renaming it.
 *
 * A log record has a length, a checksum, the term, the index, the commit
 * index known when it was appended, and data. A damaged record with no valid
 * record after it is a torn tail: it was never synced, and is truncated at
 * open. So are records of an earlier term than the one before: what remains of
 * a tail that was cut off, if the power was lost before the cut was synced.
 * Between two syncs there is one write. Damage before another valid record is
 * MG_E_CORRUPT: an acknowledged entry is lost, and the member must rejoin with
 * an empty directory, under a new uid and without a vote.
 *
 * XXX: a synced tail that was lost exactly at a record boundary looks like a
 * shorter log and is not detected here.
 */
#ifndef MG_STORE_H
#define MG_STORE_H

#include "control/raft.h"

#define MG_STORE_SLOTS 3

typedef struct mg_store mg_store;

typedef struct mg_store_image {
    mg_raft_meta meta;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    mg_buf snapshot;
    uint64_t commit_index;  /* highest known commit index */
    mg_raft_entry *entries; /* data points into log_bytes */
    size_t entry_count;
    mg_buf log_bytes;
    bool torn_tail; /* a torn tail was truncated */
    bool fresh;     /* no meta was stored; a new uid was made */
} mg_store_image;

/*
 * Opens the directory and reads its contents into image, to be freed with
 * mg_store_image_free(). An empty or missing directory is initialized with a
 * new uid; the member is a voter only when voter is set, which is for the
 * first start of a new group. MG_E_IO, MG_E_CORRUPT: err holds the reason.
 *
 * With dir "", nothing is stored: the log is in memory only, and each start
 * is that of a member that lost its disk.
 */
mg_rc
mg_store_open(mg_store **out, const char *dir, bool voter,
              mg_store_image *image, mg_error *err);
/* Replaces the stored voters, a text and slots, both in the encoding of the
   caller; durable on MG_OK. Earlier builds ignore the slots. */
mg_rc
mg_store_save_voters(mg_store *s, mg_str text,
                     const uint64_t slots[MG_STORE_SLOTS]);
/* Appends the stored voters to out. MG_E_NOT_FOUND when none are stored. */
mg_rc
mg_store_load_voters(mg_store *s, mg_buf *out, uint64_t slots[MG_STORE_SLOTS]);
void
mg_store_image_free(mg_store_image *image);
void
mg_store_close(mg_store *s);

/* The storage callbacks of mg_raft_callbacks (see raft_disk.c) call these. */

mg_rc
mg_store_save_meta(mg_store *s, const mg_raft_meta *meta);
mg_rc
mg_store_append(mg_store *s, const mg_raft_entry *e, uint64_t commit);
mg_rc
mg_store_truncate(mg_store *s, uint64_t index);
mg_rc
mg_store_sync(mg_store *s);
/*
 * mg_store_sync() in two steps, the second of which may run on another thread
 * while entries are appended. Until it has ended, there is no other sync, and
 * calls that truncate or replace the log, or close the store, wait for it.
 * mg_store_begin_sync() returns false if nothing is stored.
 */
bool
mg_store_begin_sync(mg_store *s);
mg_rc
mg_store_run_sync(mg_store *s);
mg_rc
mg_store_save_snapshot(mg_store *s, uint64_t index, uint64_t term,
                       mg_str data);

#endif
