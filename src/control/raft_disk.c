#include "control/raft_disk.h"

#include <inttypes.h>

#include <uv.h>

#include "base/counter.h"
#include "base/event.h"

static mg_raft_disk *
disk_of(mg_raft_callbacks *h)
{
    return (mg_raft_disk *)h;
}

static mg_rc
save_meta(mg_raft_callbacks *h, const mg_raft_meta *meta)
{
    return mg_store_save_meta(disk_of(h)->store, meta);
}

static mg_rc
append(mg_raft_callbacks *h, const mg_raft_entry *e)
{
    mg_count(MG_C_RAFT_ENTRIES, 1);
    return mg_store_append(disk_of(h)->store, e,
                           mg_raft_commit_index(disk_of(h)->raft));
}

static mg_rc
truncate_log(mg_raft_callbacks *h, uint64_t index)
{
    return mg_store_truncate(disk_of(h)->store, index);
}

static mg_rc
sync_log(mg_raft_callbacks *h)
{
    uint64_t start = uv_hrtime();
    mg_rc rc = mg_store_sync(disk_of(h)->store);
    mg_observe(MG_H_SYNC_TIME, (int64_t)((uv_hrtime() - start) / 1000));
    mg_count(MG_C_RAFT_SYNCS, 1);
    return rc;
}

static mg_rc
save_snapshot(mg_raft_callbacks *h, uint64_t index, uint64_t term, mg_str data)
{
    mg_log(MG_EV_RAFT_SNAPSHOT, "index=%" PRIu64 " term=%" PRIu64 " bytes=%zu",
           index, term, data.n);
    return mg_store_save_snapshot(disk_of(h)->store, index, term, data);
}

void
mg_raft_disk_init(mg_raft_disk *d)
{
    d->callbacks.save_meta = save_meta;
    d->callbacks.append = append;
    d->callbacks.truncate = truncate_log;
    d->callbacks.sync = sync_log;
    d->callbacks.save_snapshot = save_snapshot;
}
