/*
 * The data directory: torn tails at every byte, damage in the middle,
 * truncation, snapshots, identities.
 */
#include "suite.h"

#include <dirent.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "control/store.h"

static char dir[128];

static void
path_of(char *out, size_t size, const char *name)
{
    snprintf(out, size, "%s/%s", dir, name);
}

static void
remove_dir(void)
{
    static const char *const names[] = {"meta",        "log",      "snapshot",
                                        "lock",        "meta.new", "log.new",
                                        "snapshot.new"};
    char path[256];
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        path_of(path, sizeof(path), names[i]);
        unlink(path);
    }
    rmdir(dir);
}

static void
new_dir(void)
{
    snprintf(dir, sizeof(dir), "/tmp/mg-store-%d", (int)getpid());
    remove_dir();
}

static mg_store *
open_store(mg_store_image *image)
{
    mg_store *s = NULL;
    mg_error err;
    mg_rc rc = mg_store_open(&s, dir, true, image, &err);
    return rc == MG_OK ? s : NULL;
}

static void
append(mg_store *s, uint64_t index, uint64_t term)
{
    char data[64];
    int n = snprintf(data, sizeof(data), "entry %d", (int)index);
    mg_raft_entry e = {term, index, {data, (size_t)n}};
    CU_ASSERT_EQUAL(mg_store_append(s, &e, index - 1), MG_OK);
}

static void
write_entries(uint64_t from, uint64_t to)
{
    mg_store_image image;
    mg_store *s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    for (uint64_t i = from; i <= to; i++) {
        append(s, i, 1);
    }
    CU_ASSERT_EQUAL(mg_store_sync(s), MG_OK);
    mg_store_image_free(&image);
    mg_store_close(s);
}

/* number of entries found, -1 when the directory is not accepted */
static int
reopen(bool *torn)
{
    mg_store_image image;
    mg_store *s = open_store(&image);
    if (s == NULL) {
        return -1;
    }
    int n = (int)image.entry_count;
    *torn = image.torn_tail;
    for (int i = 0; i < n; i++) {
        char want[64];
        snprintf(want, sizeof(want), "entry %d", (int)image.entries[i].index);
        CU_ASSERT_TRUE(mg_str_is(image.entries[i].data, want));
    }
    mg_store_image_free(&image);
    mg_store_close(s);
    return n;
}

static off_t
log_size(void)
{
    char path[256];
    struct stat st;
    path_of(path, sizeof(path), "log");
    return stat(path, &st) == 0 ? st.st_size : -1;
}

static void
test_torn_tail_at_every_byte(void)
{
    char path[256];
    bool torn;
    new_dir();
    write_entries(1, 3);
    off_t three = log_size();
    write_entries(4, 4);
    off_t four = log_size();
    path_of(path, sizeof(path), "log");
    for (off_t size = four - 1; size > three; size--) {
        CU_ASSERT_EQUAL(truncate(path, size), 0);
        CU_ASSERT_EQUAL(reopen(&torn), 3);
        CU_ASSERT_TRUE(torn);
        write_entries(4, 4);
    }
    CU_ASSERT_EQUAL(reopen(&torn), 4);
    CU_ASSERT_FALSE(torn);
    remove_dir();
}

static void
flip_byte(off_t at)
{
    char path[256];
    char b;
    path_of(path, sizeof(path), "log");
    int fd = open(path, O_RDWR);
    CU_ASSERT_EQUAL(pread(fd, &b, 1, at), 1);
    b ^= 0x40;
    CU_ASSERT_EQUAL(pwrite(fd, &b, 1, at), 1);
    close(fd);
}

/* A damaged record that valid ones follow is not a torn tail: the entry in it
   was acknowledged and is lost, so opening must fail. */
static void
test_damage_in_the_middle(void)
{
    bool torn;
    new_dir();
    write_entries(1, 1);
    off_t one = log_size();
    write_entries(2, 4);
    for (off_t at = one; at < one + 40; at++) {
        flip_byte(at);
        CU_ASSERT_EQUAL(reopen(&torn), -1);
        flip_byte(at);
    }
    CU_ASSERT_EQUAL(reopen(&torn), 4);
    remove_dir();
}

/*
 * Guards against a directory that is refused for good after a power loss: the
 * log was cut and written anew, and the writes were kept but the cut was not,
 * so that records of the former term follow. size: of the data of the new
 * record, which may end at or inside a record of the old tail.
 */
static void
check_lost_cut(size_t size)
{
    char data[64];
    char path[256];
    char tail[4096];
    mg_store_image image;
    new_dir();
    write_entries(1, 9);
    off_t nine = log_size();
    path_of(path, sizeof(path), "log");
    int fd = open(path, O_RDWR);
    CU_ASSERT_EQUAL(pread(fd, tail, (size_t)nine, 0), nine);
    mg_store *s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    mg_store_image_free(&image);
    CU_ASSERT_EQUAL(mg_store_truncate(s, 4), MG_OK);
    memset(data, 'x', sizeof(data));
    mg_raft_entry e = {2, 4, {data, size}};
    CU_ASSERT_EQUAL(mg_store_append(s, &e, 3), MG_OK);
    CU_ASSERT_EQUAL(mg_store_sync(s), MG_OK);
    mg_store_close(s);
    off_t end = log_size();
    CU_ASSERT_EQUAL(pwrite(fd, tail + end, (size_t)(nine - end), end),
                    nine - end);
    close(fd);
    s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL(s);
    CU_ASSERT_EQUAL(image.entry_count, s != NULL ? 4 : 0);
    CU_ASSERT_TRUE(image.torn_tail);
    if (s != NULL) {
        CU_ASSERT_EQUAL(image.entries[3].term, 2);
        mg_store_image_free(&image);
        mg_store_close(s);
    }
    remove_dir();
}

static void
test_lost_cut(void)
{
    for (size_t size = 1; size < 60; size++) {
        check_lost_cut(size);
    }
}

/* A record that was not written yet leaves the log without a write. */
static void
test_truncate_unwritten(void)
{
    mg_store_image image;
    bool torn;
    new_dir();
    write_entries(1, 3);
    off_t three = log_size();
    mg_store *s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    mg_store_image_free(&image);
    append(s, 4, 1);
    append(s, 5, 1);
    CU_ASSERT_EQUAL(mg_store_truncate(s, 5), MG_OK);
    CU_ASSERT_EQUAL(log_size(), three);
    append(s, 5, 2);
    CU_ASSERT_EQUAL(mg_store_sync(s), MG_OK);
    mg_store_close(s);
    CU_ASSERT_EQUAL(reopen(&torn), 5);
    CU_ASSERT_FALSE(torn);
    remove_dir();
}

static void
test_truncate_and_snapshot(void)
{
    mg_store_image image;
    new_dir();
    write_entries(1, 9);
    mg_store *s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    mg_store_image_free(&image);
    CU_ASSERT_EQUAL(mg_store_truncate(s, 7), MG_OK);
    append(s, 7, 2);
    CU_ASSERT_EQUAL(mg_store_save_snapshot(s, 5, 1, mg_str_of("state")),
                    MG_OK);
    append(s, 8, 2);
    CU_ASSERT_EQUAL(mg_store_sync(s), MG_OK);
    mg_store_close(s);
    s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_EQUAL(image.snapshot_index, 5);
    CU_ASSERT_TRUE(mg_str_is(mg_str_buf(&image.snapshot), "state"));
    CU_ASSERT_EQUAL_FATAL(image.entry_count, 3);
    CU_ASSERT_EQUAL(image.entries[0].index, 6);
    CU_ASSERT_EQUAL(image.entries[1].term, 2);
    mg_store_image_free(&image);
    mg_store_close(s);
    remove_dir();
}

/* a directory keeps its uid; a new one gets another uid and no vote */
static void
test_identity(void)
{
    mg_store_image image;
    mg_error err;
    mg_store *s = NULL;
    new_dir();
    s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    uint64_t uid = image.meta.uid;
    CU_ASSERT_TRUE(image.fresh && image.meta.voter);
    mg_store *second = NULL;
    mg_store_image other;
    CU_ASSERT_NOT_EQUAL(mg_store_open(&second, dir, true, &other, &err),
                        MG_OK);
    mg_store_image_free(&image);
    mg_store_close(s);
    s = open_store(&image);
    CU_ASSERT_EQUAL(image.meta.uid, uid);
    CU_ASSERT_FALSE(image.fresh);
    mg_store_image_free(&image);
    mg_store_close(s);
    remove_dir();
    CU_ASSERT_EQUAL(mg_store_open(&s, dir, false, &image, &err), MG_OK);
    CU_ASSERT_NOT_EQUAL(image.meta.uid, uid);
    CU_ASSERT_EQUAL(image.meta.voter, 0);
    mg_store_image_free(&image);
    mg_store_close(s);
    remove_dir();
}

/* without a directory nothing is stored, and no call fails */
static void
test_in_memory(void)
{
    mg_store *s;
    mg_store_image image;
    mg_buf voters = {0};
    uint64_t slots[MG_STORE_SLOTS] = {4, 2, 4};
    mg_raft_entry e = {.term = 1, .index = 1, .data = mg_str_of("x")};
    CU_ASSERT_EQUAL_FATAL(mg_store_open(&s, "", true, &image, NULL), MG_OK);
    CU_ASSERT_TRUE(image.fresh);
    CU_ASSERT_TRUE(image.meta.voter);
    uint64_t uid = image.meta.uid;
    CU_ASSERT_EQUAL(mg_store_append(s, &e, 0), MG_OK);
    CU_ASSERT_EQUAL(mg_store_sync(s), MG_OK);
    CU_ASSERT_EQUAL(mg_store_truncate(s, 1), MG_OK);
    CU_ASSERT_EQUAL(mg_store_save_voters(s, mg_str_of("n"), slots), MG_OK);
    CU_ASSERT_EQUAL(mg_store_load_voters(s, &voters, slots), MG_E_NOT_FOUND);
    CU_ASSERT_EQUAL(mg_store_save_snapshot(s, 1, 1, mg_str_of("s")), MG_OK);
    mg_store_image_free(&image);
    mg_store_close(s);
    CU_ASSERT_EQUAL_FATAL(mg_store_open(&s, "", false, &image, NULL), MG_OK);
    CU_ASSERT_TRUE(image.fresh);
    CU_ASSERT_FALSE(image.meta.voter);
    CU_ASSERT_NOT_EQUAL(image.meta.uid, uid);
    mg_store_image_free(&image);
    mg_store_close(s);
}

static void *
run_sync(void *store)
{
    struct timespec wait = {0, (long)(random() % 300) * 1000};
    nanosleep(&wait, NULL);
    return (void *)(intptr_t)mg_store_run_sync(store);
}

/* appends, truncations and snapshots during syncs on another thread: the
   directory then holds what it would after syncs in between */
static void
test_sync_on_thread(void)
{
    mg_store_image image;
    new_dir();
    mg_store *s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    mg_store_image_free(&image);
    uint64_t last = 0;
    uint64_t first = 0;
    for (uint64_t term = 1; term <= 300; term++) {
        pthread_t thread;
        void *rc;
        append(s, ++last, term);
        CU_ASSERT_TRUE(mg_store_begin_sync(s));
        pthread_create(&thread, NULL, run_sync, s);
        append(s, ++last, term);
        append(s, ++last, term);
        if (term % 3 == 0) {
            CU_ASSERT_EQUAL(mg_store_truncate(s, last - 1), MG_OK);
            last -= 2;
        }
        else if (term % 7 == 0) {
            /* also removes the record that the other thread writes */
            CU_ASSERT_EQUAL(mg_store_truncate(s, last - 2), MG_OK);
            last -= 3;
        }
        if (term % 50 == 0) {
            first = last - 1;
            CU_ASSERT_EQUAL(
                mg_store_save_snapshot(s, first, term, mg_str_of("state")),
                MG_OK);
        }
        pthread_join(thread, &rc);
        CU_ASSERT_EQUAL((mg_rc)(intptr_t)rc, MG_OK);
    }
    CU_ASSERT_EQUAL(mg_store_sync(s), MG_OK);
    mg_store_close(s);
    s = open_store(&image);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_FALSE(image.torn_tail);
    CU_ASSERT_EQUAL(image.snapshot_index, first);
    CU_ASSERT_EQUAL(image.entry_count, last - first);
    for (size_t i = 0; i < image.entry_count; i++) {
        char data[64];
        snprintf(data, sizeof(data), "entry %d", (int)(first + 1 + i));
        CU_ASSERT_EQUAL(image.entries[i].index, first + 1 + i);
        CU_ASSERT_TRUE(mg_str_is(image.entries[i].data, data));
    }
    mg_store_image_free(&image);
    mg_store_close(s);
    remove_dir();
}

/* highest size that a file may have; RLIM_INFINITY: no limit */
static void
limit_files(rlim_t bytes)
{
    struct rlimit l;
    getrlimit(RLIMIT_FSIZE, &l);
    l.rlim_cur = bytes;
    setrlimit(RLIMIT_FSIZE, &l);
}

/* Guards against a member that refuses entries long after its disk has room
   again: opened again, the directory holds all that was synced, and takes
   more. The disk is full at each byte of the next record. */
static void
test_full_disk(void)
{
    struct stat st;
    char path[256];
    bool torn;
    signal(SIGXFSZ, SIG_IGN);
    new_dir();
    write_entries(1, 5);
    path_of(path, sizeof(path), "log");
    CU_ASSERT_EQUAL_FATAL(stat(path, &st), 0);
    for (int room = 0; room < 40; room++) {
        mg_store_image image;
        mg_store *s = open_store(&image);
        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        mg_raft_entry e = {1, 6, {"another entry", 13}};
        limit_files((rlim_t)(st.st_size + room));
        mg_rc rc = mg_store_append(s, &e, 5);
        rc = rc == MG_OK ? mg_store_sync(s) : rc;
        limit_files(RLIM_INFINITY);
        CU_ASSERT_EQUAL(rc, MG_E_IO);
        mg_store_image_free(&image);
        mg_store_close(s);
        CU_ASSERT_EQUAL(reopen(&torn), 5);
    }
    write_entries(6, 8);
    CU_ASSERT_EQUAL(reopen(&torn), 8);
    remove_dir();
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"torn tail at every byte", test_torn_tail_at_every_byte},
        {"damage in the middle", test_damage_in_the_middle},
        {"a cut that is lost", test_lost_cut},
        {"truncate what is not written", test_truncate_unwritten},
        {"truncate and snapshot", test_truncate_and_snapshot},
        {"syncs on another thread", test_sync_on_thread},
        {"identity", test_identity},
        {"in memory", test_in_memory},
        {"a full disk has room again", test_full_disk},
        CU_TEST_INFO_NULL,
    };
    return run_suite("store", tests);
}
