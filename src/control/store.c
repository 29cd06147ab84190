#include "control/store.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <xxhash.h>

#define META_MAGIC UINT64_C(0x314154454d474d00)
#define SNAP_MAGIC UINT64_C(0x31504e53474d0000)
#define VOTERS_MAGIC UINT64_C(0x3145544f4e474d00)
#define LOG_MAGIC UINT64_C(0x32474f4c474d0000)
#define RECORD_DATA_MAX (64u << 20)

struct record_header {
    uint64_t size; /* of the data after the header */
    uint64_t sum;  /* checksum of term, index, commit and data */
    uint64_t term;
    uint64_t index;
    uint64_t commit; /* commit index known when it was appended */
};

struct file_header {
    uint64_t magic;
    uint64_t sum; /* checksum of the rest of the file */
    uint64_t a;   /* a to d: meaning depends on the file */
    uint64_t b;
    uint64_t c;
    uint64_t d;
};

struct mg_store {
    bool in_memory;
    char dir[PATH_MAX / 2];
    int dir_fd;
    int lock_fd;
    int log_fd;
    off_t log_end;
    /* file offset of each record from first_index on, for truncation */
    uint64_t first_index;
    off_t *offsets;
    size_t count;
    size_t cap;
    mg_buf pending; /* appended, not written yet */
    /* a sync in progress, which another thread may run */
    pthread_mutex_t mutex; /* protects syncing and sync_rc */
    pthread_cond_t sync_ended;
    bool syncing;
    mg_rc sync_rc;
    mg_buf writing; /* records that the sync writes */
};

static mg_rc
write_all(int fd, const void *p, size_t n)
{
    const char *at = p;
    while (n > 0) {
        ssize_t w = write(fd, at, n);
        if (w < 0 && errno == EINTR) {
            continue;
        }
        if (w <= 0) {
            return MG_E_IO;
        }
        at += w;
        n -= (size_t)w;
    }
    return MG_OK;
}

static mg_rc
read_file(mg_store *s, const char *name, mg_buf *out)
{
    int fd = openat(s->dir_fd, name, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return errno == ENOENT ? MG_E_NOT_FOUND : MG_E_IO;
    }
    char chunk[65536];
    ssize_t n;
    while ((n = read(fd, chunk, sizeof(chunk))) > 0) {
        mg_buf_put(out, chunk, (size_t)n);
    }
    close(fd);
    return n < 0 ? MG_E_IO : MG_OK;
}

/* writes and syncs name.new, renames it to name, syncs the directory */
static mg_rc
replace_file(mg_store *s, const char *name, const mg_buf *content)
{
    char tmp[64];
    snprintf(tmp, sizeof(tmp), "%s.new", name);
    int fd =
        openat(s->dir_fd, tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        return MG_E_IO;
    }
    mg_rc rc = write_all(fd, content->p, content->n);
    if (rc == MG_OK && fsync(fd) != 0) {
        rc = MG_E_IO;
    }
    if (close(fd) != 0) {
        rc = MG_E_IO;
    }
    if (rc == MG_OK && renameat(s->dir_fd, tmp, s->dir_fd, name) != 0) {
        rc = MG_E_IO;
    }
    if (rc == MG_OK && fsync(s->dir_fd) != 0) {
        rc = MG_E_IO;
    }
    return rc;
}

static void
put_file_header(mg_buf *out, uint64_t magic, const uint64_t v[4], mg_str body)
{
    struct file_header h = {magic, 0, v[0], v[1], v[2], v[3]};
    h.sum = XXH3_64bits_withSeed(body.p, body.n, XXH3_64bits(&h.a, 32));
    mg_buf_put(out, &h, sizeof(h));
    mg_buf_put(out, body.p, body.n);
}

static mg_rc
read_file_header(const mg_buf *in, uint64_t magic, struct file_header *h)
{
    if (in->n < sizeof(*h)) {
        return MG_E_CORRUPT;
    }
    memcpy(h, in->p, sizeof(*h));
    uint64_t seed = XXH3_64bits(&h->a, 32);
    uint64_t sum =
        XXH3_64bits_withSeed(in->p + sizeof(*h), in->n - sizeof(*h), seed);
    return h->magic == magic && h->sum == sum ? MG_OK : MG_E_CORRUPT;
}

mg_rc
mg_store_save_meta(mg_store *s, const mg_raft_meta *meta)
{
    if (s->in_memory) {
        return MG_OK;
    }
    mg_buf b = {0};
    uint64_t v[4] = {meta->term, meta->vote, meta->uid, meta->voter};
    put_file_header(&b, META_MAGIC, v, (mg_str){"", 0});
    mg_rc rc = replace_file(s, "meta", &b);
    mg_buf_free(&b);
    return rc;
}

static mg_rc
load_meta(mg_store *s, bool voter, mg_store_image *image)
{
    mg_buf b = {0};
    struct file_header h;
    mg_rc rc = read_file(s, "meta", &b);
    if (rc == MG_E_NOT_FOUND) {
        image->fresh = true;
        image->meta = (mg_raft_meta){0, 0, mg_random_id(), voter};
        rc = mg_store_save_meta(s, &image->meta);
    }
    else if (rc == MG_OK) {
        rc = read_file_header(&b, META_MAGIC, &h);
        if (rc == MG_OK) {
            image->meta = (mg_raft_meta){h.a, h.b, h.c, h.d};
        }
    }
    mg_buf_free(&b);
    return rc;
}

mg_rc
mg_store_save_voters(mg_store *s, mg_str text,
                     const uint64_t slots[MG_STORE_SLOTS])
{
    if (s->in_memory) {
        return MG_OK;
    }
    mg_buf b = {0};
    uint64_t v[4] = {slots[0], slots[1], slots[2]};
    put_file_header(&b, VOTERS_MAGIC, v, text);
    mg_rc rc = replace_file(s, "note", &b);
    mg_buf_free(&b);
    return rc;
}

mg_rc
mg_store_load_voters(mg_store *s, mg_buf *out, uint64_t slots[MG_STORE_SLOTS])
{
    memset(slots, 0, MG_STORE_SLOTS * sizeof(slots[0]));
    if (s->in_memory) {
        return MG_E_NOT_FOUND;
    }
    mg_buf b = {0};
    struct file_header h;
    mg_rc rc = read_file(s, "note", &b);
    if (rc == MG_OK) {
        rc = read_file_header(&b, VOTERS_MAGIC, &h);
    }
    if (rc == MG_OK) {
        mg_buf_put(out, b.p + sizeof(h), b.n - sizeof(h));
        slots[0] = h.a;
        slots[1] = h.b;
        slots[2] = h.c;
    }
    mg_buf_free(&b);
    return rc;
}

static mg_rc
load_snapshot(mg_store *s, mg_store_image *image)
{
    mg_buf b = {0};
    struct file_header h;
    mg_rc rc = read_file(s, "snapshot", &b);
    if (rc == MG_E_NOT_FOUND) {
        return MG_OK;
    }
    if (rc == MG_OK) {
        rc = read_file_header(&b, SNAP_MAGIC, &h);
    }
    if (rc == MG_OK) {
        image->snapshot_index = h.a;
        image->snapshot_term = h.b;
        mg_buf_put(&image->snapshot, b.p + sizeof(h), b.n - sizeof(h));
    }
    mg_buf_free(&b);
    return rc;
}

static uint64_t
record_checksum(const struct record_header *h, const char *data)
{
    return XXH3_64bits_withSeed(data, h->size, XXH3_64bits(&h->term, 24));
}

/* reads the header of the record at offset at; false when it is invalid */
static bool
read_record(const mg_buf *b, size_t at, struct record_header *h)
{
    if (b->n - at < sizeof(*h)) {
        return false;
    }
    memcpy(h, b->p + at, sizeof(*h));
    if (h->size > RECORD_DATA_MAX || b->n - at - sizeof(*h) < h->size) {
        return false;
    }
    return h->sum == record_checksum(h, b->p + at + sizeof(*h));
}

/* whether a valid record of this or a later term starts anywhere after offset
   at; one of an earlier term belongs to a tail that was cut off */
static bool
valid_record_after(const mg_buf *b, size_t at, uint64_t term)
{
    struct record_header h;
    for (size_t i = at + 1; i + sizeof(h) <= b->n; i++) {
        if (read_record(b, i, &h) && h.index > 0 && h.term > 0 &&
            h.term >= term) {
            return true;
        }
    }
    return false;
}

static void
add_offset(mg_store *s, off_t offset)
{
    if (s->count == s->cap) {
        s->cap = s->cap ? s->cap * 2 : 256;
        s->offsets = mg_realloc(s->offsets, s->cap * sizeof(off_t));
    }
    s->offsets[s->count++] = offset;
}

static mg_rc
scan_log(mg_store *s, mg_store_image *image)
{
    const mg_buf *b = &image->log_bytes;
    size_t at = sizeof(uint64_t);
    struct record_header h;
    size_t cap = 0;
    uint64_t term = 0;
    s->first_index = image->snapshot_index + 1;
    while (read_record(b, at, &h) && h.term >= term) {
        size_t next = at + sizeof(h) + h.size;
        term = h.term;
        /* a crash between writing snapshot and log leaves older entries */
        if (h.index > image->snapshot_index) {
            if (h.index != s->first_index + s->count) {
                return MG_E_CORRUPT;
            }
            add_offset(s, (off_t)at);
            if (image->entry_count == cap) {
                cap = cap ? cap * 2 : 256;
                image->entries =
                    mg_realloc(image->entries, cap * sizeof(mg_raft_entry));
            }
            image->entries[image->entry_count++] = (mg_raft_entry){
                h.term, h.index, {b->p + at + sizeof(h), h.size}};
            if (h.commit > image->commit_index) {
                image->commit_index = h.commit;
            }
        }
        at = next;
    }
    s->log_end = (off_t)at;
    if (at == b->n) {
        return MG_OK;
    }
    if (valid_record_after(b, at, term)) {
        return MG_E_CORRUPT;
    }
    image->torn_tail = true;
    return MG_OK;
}

static mg_rc
create_log(mg_store *s)
{
    mg_buf b = {0};
    uint64_t magic = LOG_MAGIC;
    mg_buf_put(&b, &magic, sizeof(magic));
    mg_rc rc = replace_file(s, "log", &b);
    mg_buf_free(&b);
    return rc;
}

static mg_rc
load_log(mg_store *s, mg_store_image *image)
{
    mg_buf *b = &image->log_bytes;
    mg_rc rc = read_file(s, "log", b);
    if (rc == MG_E_NOT_FOUND) {
        rc = create_log(s);
        if (rc == MG_OK) {
            rc = read_file(s, "log", b);
        }
    }
    if (rc != MG_OK) {
        return rc;
    }
    uint64_t magic = 0;
    if (b->n >= sizeof(magic)) {
        memcpy(&magic, b->p, sizeof(magic));
    }
    if (magic != LOG_MAGIC) {
        return MG_E_CORRUPT;
    }
    rc = scan_log(s, image);
    if (rc != MG_OK) {
        return rc;
    }
    s->log_fd = openat(s->dir_fd, "log", O_RDWR | O_CLOEXEC);
    if (s->log_fd < 0 || ftruncate(s->log_fd, s->log_end) != 0 ||
        lseek(s->log_fd, 0, SEEK_END) < 0 || fsync(s->log_fd) != 0) {
        return MG_E_IO;
    }
    return MG_OK;
}

static mg_rc
lock_dir(mg_store *s)
{
    s->lock_fd = openat(s->dir_fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (s->lock_fd < 0 || flock(s->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return MG_E_IO;
    }
    return MG_OK;
}

mg_rc
mg_store_open(mg_store **out, const char *dir, bool voter,
              mg_store_image *image, mg_error *err)
{
    mg_store *s = mg_alloc(sizeof(*s));
    memset(image, 0, sizeof(*image));
    pthread_mutex_init(&s->mutex, NULL);
    pthread_cond_init(&s->sync_ended, NULL);
    s->log_fd = -1;
    s->lock_fd = -1;
    s->dir_fd = -1;
    if (dir[0] == '\0') {
        s->in_memory = true;
        image->fresh = true;
        image->meta = (mg_raft_meta){0, 0, mg_random_id(), voter};
        *out = s;
        return MG_OK;
    }
    mg_rc rc = MG_E_IO;
    const char *part = "folder";
    if (mkdir(dir, 0700) != 0 && errno != EEXIST) {
        goto fail;
    }
    s->dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (s->dir_fd < 0) {
        goto fail;
    }
    part = "lock (is another process using it?)";
    if ((rc = lock_dir(s)) != MG_OK) {
        goto fail;
    }
    part = "meta";
    if ((rc = load_meta(s, voter, image)) != MG_OK) {
        goto fail;
    }
    part = "snapshot";
    if ((rc = load_snapshot(s, image)) != MG_OK) {
        goto fail;
    }
    part = "log";
    if ((rc = load_log(s, image)) != MG_OK) {
        goto fail;
    }
    *out = s;
    return MG_OK;
fail:
    mg_fail(err, rc, "%s: %s: %s (%s)", dir, part, mg_rc_name(rc),
            rc == MG_E_IO ? strerror(errno) : "contents");
    mg_store_image_free(image);
    mg_store_close(s);
    return rc;
}

void
mg_store_image_free(mg_store_image *image)
{
    mg_buf_free(&image->snapshot);
    mg_buf_free(&image->log_bytes);
    free(image->entries);
    image->entries = NULL;
}

/* Waits until no sync is in progress; returns the outcome of the last one. */
static mg_rc
wait_for_sync(mg_store *s)
{
    pthread_mutex_lock(&s->mutex);
    while (s->syncing) {
        pthread_cond_wait(&s->sync_ended, &s->mutex);
    }
    mg_rc rc = s->sync_rc;
    pthread_mutex_unlock(&s->mutex);
    return rc;
}

void
mg_store_close(mg_store *s)
{
    if (s == NULL) {
        return;
    }
    (void)wait_for_sync(s); /* whose outcome its thread reports */
    int fds[] = {s->log_fd, s->lock_fd, s->dir_fd};
    for (size_t i = 0; i < 3; i++) {
        if (fds[i] >= 0) {
            close(fds[i]);
        }
    }
    free(s->offsets);
    mg_buf_free(&s->pending);
    mg_buf_free(&s->writing);
    pthread_cond_destroy(&s->sync_ended);
    pthread_mutex_destroy(&s->mutex);
    free(s);
}

mg_rc
mg_store_append(mg_store *s, const mg_raft_entry *e, uint64_t commit)
{
    if (s->in_memory) {
        return MG_OK;
    }
    MG_INVARIANT(e->index == s->first_index + s->count);
    struct record_header h = {e->data.n, 0, e->term, e->index, commit};
    h.sum = record_checksum(&h, e->data.p);
    add_offset(s, s->log_end + (off_t)s->pending.n);
    mg_buf_put(&s->pending, &h, sizeof(h));
    mg_buf_put(&s->pending, e->data.p, e->data.n);
    return MG_OK;
}

static mg_rc
write_pending(mg_store *s)
{
    mg_rc rc = wait_for_sync(s);
    if (rc == MG_OK) {
        rc = write_all(s->log_fd, s->pending.p, s->pending.n);
    }
    s->log_end += (off_t)s->pending.n;
    s->pending.n = 0;
    return rc;
}

mg_rc
mg_store_truncate(mg_store *s, uint64_t index)
{
    if (s->in_memory) {
        return MG_OK;
    }
    if (index < s->first_index || index >= s->first_index + s->count) {
        return MG_OK;
    }
    s->count = (size_t)(index - s->first_index);
    off_t end = s->offsets[s->count];
    if (end >= s->log_end) {
        /* the records that go are only in memory */
        s->pending.n = (size_t)(end - s->log_end);
        return MG_OK;
    }
    mg_rc rc = wait_for_sync(s);
    s->pending.n = 0;
    s->log_end = end;
    if (rc == MG_OK && (ftruncate(s->log_fd, s->log_end) != 0 ||
                        lseek(s->log_fd, 0, SEEK_END) < 0)) {
        rc = MG_E_IO;
    }
    return rc;
}

bool
mg_store_begin_sync(mg_store *s)
{
    if (s->in_memory) {
        return false;
    }
    mg_buf written = s->writing;
    MG_INVARIANT(!s->syncing);
    written.n = 0;
    s->syncing = true;
    s->writing = s->pending;
    s->pending = written;
    s->log_end += (off_t)s->writing.n;
    return true;
}

mg_rc
mg_store_run_sync(mg_store *s)
{
    mg_rc rc = write_all(s->log_fd, s->writing.p, s->writing.n);
    if (rc == MG_OK && fdatasync(s->log_fd) != 0) {
        rc = MG_E_IO;
    }
    pthread_mutex_lock(&s->mutex);
    s->syncing = false;
    s->sync_rc = rc;
    pthread_cond_signal(&s->sync_ended);
    pthread_mutex_unlock(&s->mutex);
    return rc;
}

mg_rc
mg_store_sync(mg_store *s)
{
    return mg_store_begin_sync(s) ? mg_store_run_sync(s) : MG_OK;
}

/* replaces the log file by one with the records after index */
static mg_rc
rewrite_log(mg_store *s, uint64_t index)
{
    mg_rc rc = write_pending(s);
    if (rc != MG_OK) {
        return rc;
    }
    size_t drop = 0;
    if (index >= s->first_index) {
        drop = (size_t)(index - s->first_index + 1);
        drop = drop < s->count ? drop : s->count;
    }
    mg_buf old = {0};
    mg_buf b = {0};
    uint64_t magic = LOG_MAGIC;
    if ((rc = read_file(s, "log", &old)) != MG_OK) {
        goto done;
    }
    off_t from = drop < s->count ? s->offsets[drop] : s->log_end;
    mg_buf_put(&b, &magic, sizeof(magic));
    mg_buf_put(&b, old.p + from, (size_t)(s->log_end - from));
    if ((rc = replace_file(s, "log", &b)) != MG_OK) {
        goto done;
    }
    close(s->log_fd);
    s->log_fd = openat(s->dir_fd, "log", O_RDWR | O_CLOEXEC);
    if (s->log_fd < 0 || lseek(s->log_fd, 0, SEEK_END) < 0) {
        rc = MG_E_IO;
        goto done;
    }
    off_t shift = from - (off_t)sizeof(magic);
    for (size_t i = drop; i < s->count; i++) {
        s->offsets[i - drop] = s->offsets[i] - shift;
    }
    s->count -= drop;
    s->first_index = index + 1;
    s->log_end -= shift;
done:
    mg_buf_free(&old);
    mg_buf_free(&b);
    return rc;
}

mg_rc
mg_store_save_snapshot(mg_store *s, uint64_t index, uint64_t term, mg_str data)
{
    if (s->in_memory) {
        return MG_OK;
    }
    mg_buf b = {0};
    uint64_t v[4] = {index, term, 0, 0};
    put_file_header(&b, SNAP_MAGIC, v, data);
    mg_rc rc = replace_file(s, "snapshot", &b);
    mg_buf_free(&b);
    return rc == MG_OK ? rewrite_log(s, index) : rc;
}
