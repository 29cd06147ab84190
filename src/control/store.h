/*
 * store - the data folder of a control member
 *
 * Files, all with a magic word and XXH3 checksums:
 *   meta      term, vote, identity; replaced whole, synced, renamed
 *   snapshot  state at an index; replaced whole, synced, renamed
 *   log       entries after the snapshot, appended, synced by mg_store_sync
 *   note      the host's own, replaced whole, synced, renamed
 *   lock      held while a process uses the folder
 *
 * A record of the log is length, checksum, term, index, the commit index
 * that was known when it was appended, and data. At open a
 * damaged record with no sound record behind it is a torn tail: it was
 * never synced, and is cut off. Damage before sound records is MG_E_CORRUPT:
 * an acknowledged entry is lost, and the member must come back empty, with
 * a new identity and no vote.
 *
 * XXX: a tail that was synced and then lost at a record's boundary looks
 * like a shorter log and is not found here.
 */
#ifndef MG_STORE_H
#define MG_STORE_H

#include "control/raft.h"

typedef struct mg_store mg_store;

typedef struct mg_store_image {
    mg_raft_meta meta;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    mg_buf snapshot;
    uint64_t commit_index;  /* entries up to it are known to be committed */
    mg_raft_entry *entries; /* data points into log_bytes */
    size_t entry_count;
    mg_buf log_bytes;
    bool torn_tail; /* a torn tail was cut off */
    bool fresh;     /* the folder was empty */
} mg_store_image;

/*
 * An empty dir keeps nothing: the log is in the member's memory alone, and
 * each start is that of a member that lost its disk.
 *
 * Opens the folder and reads what it holds. An empty or missing folder is
 * made, with a new identity; its member votes only when voter is set, that
 * is, for the first start of a new group.
 */
mg_rc
mg_store_open(mg_store **out, const char *dir, bool voter,
              mg_store_image *image, mg_error *err);
/* A small file beside the log, replaced whole and synced. */
mg_rc
mg_store_save_note(mg_store *s, mg_str text);
/* MG_E_NOT_FOUND when none was saved. */
mg_rc
mg_store_load_note(mg_store *s, mg_buf *out);
void
mg_store_image_free(mg_store_image *image);
void
mg_store_close(mg_store *s);

mg_rc
mg_store_save_meta(mg_store *s, const mg_raft_meta *meta);
mg_rc
mg_store_append(mg_store *s, const mg_raft_entry *e, uint64_t commit);
mg_rc
mg_store_truncate(mg_store *s, uint64_t index);
mg_rc
mg_store_sync(mg_store *s);
mg_rc
mg_store_save_snapshot(mg_store *s, uint64_t index, uint64_t term,
                       mg_str data);

#endif
