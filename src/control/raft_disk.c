#include "control/raft_disk.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/event.h"

/* time of a disk operation from which it is logged, ms */
#define SLOW_MS 250
#define NS_PER_MS 1000000

struct mg_raft_sync {
    uv_work_t work;     /* first member: callbacks cast it back */
    mg_raft_disk *disk; /* NULL: it was closed */
    mg_store *store;
    uint64_t started_ns;
    mg_rc rc;
};

static mg_raft_disk *
disk_of(mg_raft_callbacks *cb)
{
    return (mg_raft_disk *)cb;
}

/* Logs an operation on a file of the store if it took long. */
static void
log_if_slow(const char *file, uint64_t started_ns, mg_rc rc)
{
    uint64_t ms = (uv_hrtime() - started_ns) / NS_PER_MS;
    if (ms >= SLOW_MS) {
        mg_log(MG_EV_STORE_SLOW, "file=%s ms=%" PRIu64 " rc=%s", file, ms,
               mg_rc_name(rc));
    }
}

static mg_rc
save_meta(mg_raft_callbacks *cb, const mg_raft_meta *meta)
{
    uint64_t start = uv_hrtime();
    mg_rc rc = mg_store_save_meta(disk_of(cb)->store, meta);
    log_if_slow("meta", start, rc);
    return rc;
}

static mg_rc
append(mg_raft_callbacks *cb, const mg_raft_entry *e)
{
    mg_count(MG_C_RAFT_ENTRIES, 1);
    return mg_store_append(disk_of(cb)->store, e,
                           mg_raft_commit_index(disk_of(cb)->raft));
}

static mg_rc
truncate_log(mg_raft_callbacks *cb, uint64_t index)
{
    return mg_store_truncate(disk_of(cb)->store, index);
}

static void
run_sync(uv_work_t *work)
{
    struct mg_raft_sync *s = (struct mg_raft_sync *)work;
    s->rc = mg_store_run_sync(s->store);
}

static void
sync_ended(uv_work_t *work, int status)
{
    struct mg_raft_sync *s = (struct mg_raft_sync *)work;
    (void)status; /* it is never cancelled */
    mg_observe(MG_H_SYNC_TIME,
               (int64_t)((uv_hrtime() - s->started_ns) / 1000));
    mg_count(MG_C_RAFT_SYNCS, 1);
    log_if_slow("log", s->started_ns, s->rc);
    if (s->disk != NULL) {
        s->disk->sync = NULL;
        mg_raft_synced(s->disk->raft, s->rc);
    }
    free(s);
}

static mg_rc
sync_log(mg_raft_callbacks *cb)
{
    mg_raft_disk *d = disk_of(cb);
    if (!mg_store_begin_sync(d->store)) {
        return MG_OK;
    }
    struct mg_raft_sync *s = mg_alloc(sizeof(*s));
    s->disk = d;
    s->store = d->store;
    s->started_ns = uv_hrtime();
    if (uv_queue_work(d->loop, &s->work, run_sync, sync_ended) != 0) {
        free(s);
        return mg_store_run_sync(d->store);
    }
    d->sync = s;
    return MG_E_IN_PROGRESS;
}

static mg_rc
save_snapshot(mg_raft_callbacks *cb, uint64_t index, uint64_t term,
              mg_str data)
{
    mg_log(MG_EV_RAFT_SNAPSHOT, "index=%" PRIu64 " term=%" PRIu64 " bytes=%zu",
           index, term, data.n);
    uint64_t start = uv_hrtime();
    mg_rc rc = mg_store_save_snapshot(disk_of(cb)->store, index, term, data);
    log_if_slow("snapshot", start, rc);
    return rc;
}

void
mg_raft_disk_init(mg_raft_disk *d, uv_loop_t *loop)
{
    d->loop = loop;
    d->callbacks.save_meta = save_meta;
    d->callbacks.append = append;
    d->callbacks.truncate = truncate_log;
    d->callbacks.sync = sync_log;
    d->callbacks.save_snapshot = save_snapshot;
}

void
mg_raft_disk_close(mg_raft_disk *d)
{
    if (d->sync != NULL) {
        d->sync->disk = NULL;
        d->sync = NULL;
    }
    mg_raft_free(d->raft);
    mg_store_close(d->store);
    d->raft = NULL;
    d->store = NULL;
}
