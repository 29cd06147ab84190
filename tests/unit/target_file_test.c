/* the targets of a host, saved and read back, and files that are damaged */
#include "suite.h"

#include <unistd.h>

#include "node/target_file.h"

#define TARGETS 30

static uv_loop_t loop;
static char dir[64];
static char path[96];
static unsigned loaded;
static unsigned remembered;

static void
on_target(void *user, const mg_announcement *a)
{
    (void)user;
    loaded++;
    remembered +=
        a->remembered && a->state == MG_INSTANCE_READY && a->slots == 4;
}

static unsigned
load(void)
{
    loaded = 0;
    remembered = 0;
    mg_target_file_load(mg_target_file_new(&loop, dir), on_target, NULL);
    return loaded;
}

static void
save(unsigned ready, unsigned leaving)
{
    mg_registry *r = mg_registry_new(mg_system_clock());
    for (unsigned i = 0; i < ready + leaving; i++) {
        mg_announcement a = {.slots = 4, .seq = 1, .born_ms = 5};
        snprintf(a.id, sizeof(a.id), "i-%u", i);
        snprintf(a.addr, sizeof(a.addr), "10.0.0.1:%u", 1000 + i);
        mg_str_copy(a.service, sizeof(a.service), mg_str_of("s"));
        a.state = i < ready ? MG_INSTANCE_READY : MG_INSTANCE_LEAVING;
        mg_registry_announce(r, &a);
    }
    mg_target_file *t = mg_target_file_new(&loop, dir);
    CU_ASSERT_TRUE(mg_target_file_save(t, r));
    CU_ASSERT_FALSE(mg_target_file_save(t, r)); /* one at a time */
    uv_run(&loop, UV_RUN_DEFAULT);
    mg_registry_free(r);
}

static void
test_save(void)
{
    CU_ASSERT_EQUAL(load(), 0);
    save(TARGETS, 3);
    CU_ASSERT_EQUAL(load(), TARGETS);
    CU_ASSERT_EQUAL(remembered, TARGETS);
    save(2, 0);
    CU_ASSERT_EQUAL(load(), 2);
}

static void
test_damage(void)
{
    static char text[65536];
    save(TARGETS, 0);
    FILE *f = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    size_t n = fread(text, 1, sizeof(text), f);
    fclose(f);
    for (size_t cut = 0; cut < n; cut++) {
        f = fopen(path, "w");
        fwrite(text, 1, cut, f);
        fclose(f);
        CU_ASSERT_EQUAL(load(), 0);
    }
    for (size_t at = 0; at < n; at += 7) {
        text[at] ^= 4;
        f = fopen(path, "w");
        fwrite(text, 1, n, f);
        fclose(f);
        CU_ASSERT_EQUAL(load(), 0);
        text[at] ^= 4;
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"saved and read back", test_save},
        {"damaged files", test_damage},
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
