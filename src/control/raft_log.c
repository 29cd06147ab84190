#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "control/raft_int.h"

uint64_t
mg_raft_last_index(const mg_raft *r)
{
    return r->snap_index + r->log_count;
}

uint64_t
mg_raft_log_term_at(const mg_raft *r, uint64_t index)
{
    if (index == r->snap_index) {
        return r->snap_term;
    }
    if (index < r->snap_index || index > mg_raft_last_index(r)) {
        return 0;
    }
    return r->log[index - r->snap_index - 1].term;
}

bool
mg_raft_check_storage(mg_raft *r, mg_rc rc)
{
    if (rc != MG_OK && !r->stopped) {
        r->stopped = true;
        r->callbacks->failed(r->callbacks, rc);
    }
    return rc == MG_OK;
}

/* counts the bytes of the entries in memory */
static void
add_log_bytes(mg_raft *r, int64_t n)
{
    r->log_bytes += (size_t)n;
    mg_gauge_add(MG_G_LOG_MEMORY, n);
}

static void
drop_last_entry(mg_raft *r)
{
    struct mg_raft_stored_entry *s = &r->log[--r->log_count];
    add_log_bytes(r, -(int64_t)s->size);
    free(s->data);
}

void
mg_raft_log_push(mg_raft *r, uint64_t term, mg_str data)
{
    if (r->log_count == r->log_cap) {
        r->log_cap = r->log_cap ? r->log_cap * 2 : 256;
        r->log = mg_realloc(r->log, r->log_cap * sizeof(*r->log));
    }
    struct mg_raft_stored_entry *s = &r->log[r->log_count++];
    s->term = term;
    s->size = data.n;
    s->data = mg_alloc(data.n);
    add_log_bytes(r, (int64_t)data.n);
    if (data.n > 0) {
        memcpy(s->data, data.p, data.n);
    }
}

mg_raft_entry
mg_raft_log_entry_at(const mg_raft *r, uint64_t index)
{
    const struct mg_raft_stored_entry *s = &r->log[index - r->snap_index - 1];
    return (mg_raft_entry){s->term, index, {s->data, s->size}};
}

bool
mg_raft_log_append(mg_raft *r, uint64_t term, mg_str data)
{
    mg_raft_log_push(r, term, data);
    mg_raft_entry e = mg_raft_log_entry_at(r, mg_raft_last_index(r));
    r->unsynced = true;
    return mg_raft_check_storage(r, r->callbacks->append(r->callbacks, &e));
}

bool
mg_raft_log_truncate(mg_raft *r, uint64_t index)
{
    MG_INVARIANT(index > r->commit_index);
    while (mg_raft_last_index(r) >= index) {
        drop_last_entry(r);
    }
    if (r->synced_index >= index) {
        r->synced_index = index - 1;
    }
    if (r->syncing_index >= index) {
        r->syncing_index = index - 1;
    }
    r->unsynced = true;
    return mg_raft_check_storage(r,
                                 r->callbacks->truncate(r->callbacks, index));
}

void
mg_raft_log_clear(mg_raft *r)
{
    while (r->log_count > 0) {
        drop_last_entry(r);
    }
}

void
mg_raft_log_set_snapshot(mg_raft *r, uint64_t index, uint64_t term,
                         mg_str data)
{
    size_t drop = (size_t)(index - r->snap_index);
    drop = drop < r->log_count ? drop : r->log_count;
    for (size_t i = 0; i < drop; i++) {
        add_log_bytes(r, -(int64_t)r->log[i].size);
        free(r->log[i].data);
    }
    if (drop < r->log_count) {
        memmove(r->log, r->log + drop,
                (r->log_count - drop) * sizeof(*r->log));
    }
    r->log_count -= drop;
    r->snap_index = index;
    r->snap_term = term;
    r->snap.n = 0;
    mg_buf_put(&r->snap, data.p, data.n);
}
