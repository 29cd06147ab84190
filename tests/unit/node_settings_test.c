/* settings of a node: what is missing or wrong, and the voters they ask for */
#include "suite.h"

#include <unistd.h>

#include "node/node_settings.h"

#define FILE_NAME "node_settings_test.toml"

static const char *const sound = "node = \"n\"\nip = \"10.0.0.1\"\n"
                                 "domain = \"a\"\nlink_port = 7600\n";

static mg_rc
load(const char *more, mg_node_settings *s, mg_buf *errors)
{
    char path[64];
    snprintf(path, sizeof(path), "/tmp/%d-" FILE_NAME, (int)getpid());
    FILE *f = fopen(path, "w");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    fprintf(f, "%s%s", sound, more);
    fclose(f);
    mg_rc rc = mg_node_settings_load(path, s, errors);
    remove(path);
    return rc;
}

static unsigned
seats(const char *more)
{
    mg_node_settings s;
    mg_buf errors = {0};
    CU_ASSERT_EQUAL(load(more, &s, &errors), MG_OK);
    mg_buf_free(&errors);
    return mg_node_settings_voter_count(&s);
}

static void
test_seats(void)
{
    CU_ASSERT_EQUAL(seats("data_dir = \"/d\"\nfaults = 1\n"), 3);
    CU_ASSERT_EQUAL(seats("data_dir = \"/d\"\nfaults = 2\n"), 5);
    /* the loss of a failure domain or a region needs as many */
    CU_ASSERT_EQUAL(
        seats("data_dir = \"/d\"\nfaults = 0\nfault_domains = 1\n"), 3);
    CU_ASSERT_EQUAL(
        seats("data_dir = \"/d\"\nfaults = 1\nfault_regions = 2\n"), 5);
    /* without disks, some more */
    CU_ASSERT_EQUAL(seats("faults = 1\n"), 5);
    CU_ASSERT_EQUAL(seats("faults = 3\n"), MG_SEATS_MAX);
}

static void
test_errors(void)
{
    mg_node_settings s;
    mg_buf errors = {0};
    CU_ASSERT_EQUAL(load("faults = 9\n", &s, &errors), MG_E_INPUT);
    CU_ASSERT_EQUAL(load("faults = \"two\"\n", &s, &errors), MG_E_INPUT);
    CU_ASSERT_EQUAL(load("no such line\n", &s, &errors), MG_E_INPUT);
    CU_ASSERT_TRUE(errors.n > 0);
    mg_buf_free(&errors);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"voters", test_seats},
        {"errors", test_errors},
        CU_TEST_INFO_NULL,
    };
    return run_suite("node_settings", tests);
}
