/* Saves and loads the targets of a host; truncated and corrupt files. */
#include "suite.h"

#include <unistd.h>

#include "node/target_file.h"

#define TARGETS 30

static uv_loop_t loop;
static char dir[64];
static char path[96];
static unsigned loaded;
static unsigned restored;

static void
on_target(void *user, const mg_announcement *a)
{
    (void)user;
    loaded++;
    restored += a->restored && a->state == MG_INSTANCE_READY && a->slots == 4;
}

static unsigned
load(void)
{
    loaded = 0;
    restored = 0;
    mg_target_file_load(mg_target_file_new(&loop, dir), on_target, NULL);
    return loaded;
}

static void
save(unsigned ready, unsigned draining)
{
    mg_registry *r = mg_registry_new(mg_system_clock());
    for (unsigned i = 0; i < ready + draining; i++) {
        mg_announcement a = {.slots = 4, .seq = 1, .started_ms = 5};
        snprintf(a.id, sizeof(a.id), "i-%u", i);
        snprintf(a.addr, sizeof(a.addr), "10.0.0.1:%u", 1000 + i);
        mg_str_copy(a.service, sizeof(a.service), mg_str_of("s"));
        a.state = i < ready ? MG_INSTANCE_READY : MG_INSTANCE_DRAINING;
        mg_registry_announce(r, &a);
    }
    mg_target_file *t = mg_target_file_new(&loop, dir);
    CU_ASSERT_TRUE(mg_target_file_save(t, r));
    CU_ASSERT_FALSE(mg_target_file_save(t, r)); /* still saving */
    uv_run(&loop, UV_RUN_DEFAULT);
    mg_registry_free(r);
}

static void
test_save(void)
{
    CU_ASSERT_EQUAL(load(), 0);
    save(TARGETS, 3);
    CU_ASSERT_EQUAL(load(), TARGETS);
    CU_ASSERT_EQUAL(restored, TARGETS);
    save(2, 0);
    CU_ASSERT_EQUAL(load(), 2);
}

static void
test_corrupt_files(void)
{
    static char text[65536];
    save(TARGETS, 0);
    FILE *f = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    size_t n = fread(text, 1, sizeof(text), f);
    fclose(f);
    for (size_t length = 0; length < n; length++) {
        f = fopen(path, "w");
        fwrite(text, 1, length, f);
        fclose(f);
        CU_ASSERT_EQUAL(load(), 0);
    }
    for (size_t pos = 0; pos < n; pos += 7) {
        text[pos] ^= 4;
        f = fopen(path, "w");
        fwrite(text, 1, n, f);
        fclose(f);
        CU_ASSERT_EQUAL(load(), 0);
        text[pos] ^= 4;
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"save and load", test_save},
        {"truncated and corrupt files", test_corrupt_files},
        CU_TEST_INFO_NULL,
    };
    snprintf(dir, sizeof(dir), "/tmp/target-file-XXXXXX");
    if (mkdtemp(dir) == NULL) {
        return 2;
    }
    snprintf(path, sizeof(path), "%s/targets", dir);
    uv_loop_init(&loop);
    int failed = run_suite("target_file", tests);
    unlink(path);
    rmdir(dir);
    return failed;
}
