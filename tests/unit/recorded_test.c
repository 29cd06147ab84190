/*
 * Guards against a build that can't read what the one before has written, or
 * that the one before can't live beside: messages of every type and a data
 * directory as that build wrote them (recorded.h), messages with fields that a
 * later build has added, and messages of types that it has added.
 */
#include "suite.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/counter.h"
#include "control/state.h"
#include "control/store.h"
#include "recorded.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
/* MessagePack: a short array's first byte, its largest size, an integer */
#define SHORT_ARRAY 0x90
#define SHORT_ARRAY_MAX 15
#define SMALL_INTEGER "\x07"
/* a message of a type that this build doesn't have: [250, 7, "x"] */
#define UNKNOWN_MESSAGE "\x93\xcc\xfa\x07\xa1x"
#define UNKNOWN_BYTES (sizeof(UNKNOWN_MESSAGE) - 1)

static mg_buf
bytes_of(const char *hex)
{
    mg_buf b = {0};
    unsigned byte;
    for (; sscanf(hex, "%2x", &byte) == 1; hex += 2) {
        char c = (char)byte;
        mg_buf_put(&b, &c, 1);
    }
    return b;
}

/* Whether a message has the fields that were recorded, and no others. */
static bool
is_unchanged(const mg_msg *m, mg_str recorded)
{
    mg_buf again = {0};
    mg_msg_encode(m, &again);
    bool same = mg_str_eq(mg_str_buf(&again), recorded);
    mg_buf_free(&again);
    return same;
}

static void
test_messages(void)
{
    for (size_t i = 0; i < COUNT(recorded_messages); i++) {
        mg_msg m;
        mg_buf b = bytes_of(recorded_messages[i].hex);
        CU_ASSERT_EQUAL(mg_msg_decode(mg_str_buf(&b), &m), MG_OK);
        CU_ASSERT_EQUAL((int)m.type, recorded_messages[i].type);
        CU_ASSERT_TRUE(is_unchanged(&m, mg_str_buf(&b)));
        mg_buf_free(&b);
    }
}

/* Fields that a later build has added at the end are ignored. */
static void
test_added_fields(void)
{
    unsigned tried = 0;
    for (size_t i = 0; i < COUNT(recorded_messages); i++) {
        mg_msg m;
        mg_buf b = bytes_of(recorded_messages[i].hex);
        mg_buf longer = {0};
        unsigned char head = (unsigned char)b.p[0];
        if (head >= SHORT_ARRAY && head < SHORT_ARRAY + SHORT_ARRAY_MAX) {
            mg_buf_put(&longer, b.p, b.n);
            longer.p[0]++;
            mg_buf_put(&longer, SMALL_INTEGER, 1);
            CU_ASSERT_EQUAL(mg_msg_decode(mg_str_buf(&longer), &m), MG_OK);
            CU_ASSERT_TRUE(is_unchanged(&m, mg_str_buf(&b)));
            /* a field less is an error */
            longer.p[0]--;
            longer.p[0]--;
            CU_ASSERT_EQUAL(mg_msg_decode(mg_str_buf(&longer), &m),
                            MG_E_INPUT);
            tried++;
        }
        mg_buf_free(&longer);
        mg_buf_free(&b);
    }
    CU_ASSERT_TRUE(tried > COUNT(recorded_messages) * 3 / 4);
}

/* The fields of SEATS that the earlier build lacks are sent only if they say
   something, and are not taken from what a former message has left. */
static void
test_optional_fields(void)
{
    mg_msg m = {.type = MG_MSG_SEATS};
    mg_buf b = {0};
    m.u.seats.rev = 7;
    m.u.seats.holders = mg_str_of("a,b,c,d");
    m.u.seats.outgoing = 2;
    m.u.seats.incoming = 4;
    mg_msg_encode(&m, &b);
    CU_ASSERT_EQUAL((unsigned char)b.p[0], SHORT_ARRAY + 5);
    CU_ASSERT_EQUAL(mg_msg_decode(mg_str_buf(&b), &m), MG_OK);
    CU_ASSERT_EQUAL(m.u.seats.outgoing, 2);
    CU_ASSERT_EQUAL(m.u.seats.incoming, 4);
    /* one of them alone is none */
    b.p[0]--;
    CU_ASSERT_EQUAL(mg_msg_decode((mg_str){b.p, b.n - 1}, &m), MG_OK);
    CU_ASSERT_EQUAL(m.u.seats.rev, 7);
    CU_ASSERT_TRUE(mg_str_is(m.u.seats.holders, "a,b,c,d"));
    CU_ASSERT_EQUAL(m.u.seats.outgoing, 0);
    CU_ASSERT_EQUAL(m.u.seats.incoming, 0);
    mg_buf_free(&b);
}

/* Messages of a later build are skipped and counted. */
static void
test_unknown_types(void)
{
    mg_buf all = {0};
    uint64_t before = mg_counter_value(MG_C_UNKNOWN_MESSAGES);
    for (size_t i = 0; i < COUNT(recorded_messages); i++) {
        mg_buf b = bytes_of(recorded_messages[i].hex);
        mg_buf_put(&all, UNKNOWN_MESSAGE, UNKNOWN_BYTES);
        mg_buf_put(&all, b.p, b.n);
        mg_buf_free(&b);
    }
    mg_buf_put(&all, UNKNOWN_MESSAGE, UNKNOWN_BYTES);
    mg_str rest = mg_str_buf(&all);
    mg_msg m;
    for (size_t i = 0; i < COUNT(recorded_messages); i++) {
        CU_ASSERT_EQUAL(mg_msg_next(&rest, &m), MG_OK);
        CU_ASSERT_EQUAL((int)m.type, recorded_messages[i].type);
    }
    CU_ASSERT_EQUAL(mg_msg_next(&rest, &m), MG_E_CLOSED);
    CU_ASSERT_EQUAL(mg_counter_value(MG_C_UNKNOWN_MESSAGES) - before,
                    COUNT(recorded_messages) + 1);
    mg_buf_free(&all);
    /* in a frame */
    static const char frame[] = "\0\0\0\x06" UNKNOWN_MESSAGE;
    size_t used = 0;
    CU_ASSERT_EQUAL(
        mg_frame_decode((mg_str){frame, sizeof(frame) - 1}, 100, &used, &m),
        MG_E_NOT_FOUND);
    CU_ASSERT_EQUAL(used, sizeof(frame) - 1);
}

static void
write_files(const char *dir)
{
    char path[300];
    CU_ASSERT_EQUAL_FATAL(mkdir(dir, 0700), 0);
    for (size_t i = 0; i < COUNT(recorded_files); i++) {
        mg_buf b = bytes_of(recorded_files[i].hex);
        snprintf(path, sizeof(path), "%s/%s", dir, recorded_files[i].name);
        int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
        CU_ASSERT_EQUAL(write(fd, b.p, b.n), (ssize_t)b.n);
        close(fd);
        mg_buf_free(&b);
    }
}

static void
remove_files(const char *dir)
{
    static const char *const names[] = {"meta", "log", "note", "lock"};
    char path[300];
    for (size_t i = 0; i < COUNT(names); i++) {
        snprintf(path, sizeof(path), "%s/%s", dir, names[i]);
        unlink(path);
    }
    CU_ASSERT_EQUAL(rmdir(dir), 0);
}

/* A data directory of the earlier build: the log, applied, holds the voters
   that the note has. */
static void
test_data_directory(void)
{
    char dir[] = "/tmp/mg-recorded-XXXXXX";
    mg_store *s = NULL;
    mg_store_image image;
    mg_error err;
    mg_buf note = {0};
    mg_apply_reply reply;
    mg_str value;
    uint64_t rev;
    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(dir));
    CU_ASSERT_EQUAL(rmdir(dir), 0);
    write_files(dir);
    CU_ASSERT_EQUAL_FATAL(mg_store_open(&s, dir, false, &image, &err), MG_OK);
    CU_ASSERT_FALSE(image.fresh);
    CU_ASSERT_FALSE(image.torn_tail);
    CU_ASSERT_TRUE(image.meta.voter);
    CU_ASSERT_TRUE(image.entry_count > 0);
    mg_state *state = mg_state_new(1024);
    for (size_t i = 0; i < image.entry_count; i++) {
        mg_state_apply(state, image.entries[i].data, &reply);
        CU_ASSERT_EQUAL(reply.rc, MG_OK);
    }
    CU_ASSERT_TRUE(mg_state_get(state, MG_RECORD_VOTERS, mg_str_of("seats"),
                                &value, &rev));
    mg_msg m;
    CU_ASSERT_EQUAL(mg_msg_decode(value, &m), MG_OK);
    uint64_t slots[MG_STORE_SLOTS];
    CU_ASSERT_EQUAL(mg_store_load_voters(s, &note, slots), MG_OK);
    CU_ASSERT_TRUE(slots[0] == 0 && slots[1] == 0 && slots[2] == 0);
    CU_ASSERT_TRUE(m.u.seats.outgoing == 0 && m.u.seats.incoming == 0);
    mg_str ips;
    mg_str_split(mg_str_buf(&note), ':', &ips);
    CU_ASSERT_TRUE(mg_str_eq(ips, m.u.seats.holders));
    mg_buf_free(&note);
    mg_state_free(state);
    mg_store_image_free(&image);
    mg_store_close(s);
    remove_files(dir);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"messages", test_messages},
        {"messages with added fields", test_added_fields},
        {"optional fields", test_optional_fields},
        {"messages of unknown types", test_unknown_types},
        {"a data directory", test_data_directory},
        CU_TEST_INFO_NULL,
    };
    return run_suite("recorded", tests);
}
