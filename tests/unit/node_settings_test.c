/* Node settings: rejection of invalid files, and the number of voters. */
#include "suite.h"

#include <unistd.h>

#include "node/node_settings.h"

#define FILE_NAME "node_settings_test.toml"

static const char *const valid = "node = \"n\"\nip = \"10.0.0.1\"\n"
                                 "domain = \"a\"\nlink_port = 7600\n";

static mg_rc
load(const char *more, mg_node_settings *s, mg_buf *errors)
{
    char path[64];
    snprintf(path, sizeof(path), "/tmp/%d-" FILE_NAME, (int)getpid());
    FILE *f = fopen(path, "w");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    fprintf(f, "%s%s", valid, more);
    fclose(f);
    mg_rc rc = mg_node_settings_load(path, s, errors);
    remove(path);
    return rc;
}

static unsigned
voter_count(const char *more)
{
    mg_node_settings s;
    mg_buf errors = {0};
    CU_ASSERT_EQUAL(load(more, &s, &errors), MG_OK);
    mg_buf_free(&errors);
    return mg_node_settings_voter_count(&s);
}

static void
test_voter_count(void)
{
    CU_ASSERT_EQUAL(voter_count("data_dir = \"/d\"\nfaults = 1\n"), 3);
    CU_ASSERT_EQUAL(voter_count("data_dir = \"/d\"\nfaults = 2\n"), 5);
    /* tolerating the loss of n failure domains or regions needs as many
       voters as tolerating n faults */
    CU_ASSERT_EQUAL(
        voter_count("data_dir = \"/d\"\nfaults = 0\nfault_domains = 1\n"), 3);
    CU_ASSERT_EQUAL(
        voter_count("data_dir = \"/d\"\nfaults = 1\nfault_regions = 2\n"), 5);
    /* two additional voters without disks */
    CU_ASSERT_EQUAL(voter_count("faults = 1\n"), 5);
    CU_ASSERT_EQUAL(voter_count("faults = 3\n"), MG_VOTERS_MAX);
}

static void
test_unsent_max(void)
{
    mg_node_settings s;
    mg_buf errors = {0};
    CU_ASSERT_EQUAL(load("", &s, &errors), MG_OK);
    CU_ASSERT_EQUAL(mg_node_settings_unsent_max(&s), 8u << 20);
    CU_ASSERT_EQUAL(load("unsent_max_mb = 4\n", &s, &errors), MG_OK);
    CU_ASSERT_EQUAL(mg_node_settings_unsent_max(&s), 2u << 20);
    CU_ASSERT_EQUAL(load("unsent_max_mb = 1\n", &s, &errors), MG_E_INPUT);
    mg_buf_free(&errors);
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
        {"voters", test_voter_count},
        {"limit of unsent bytes", test_unsent_max},
        {"errors", test_errors},
        CU_TEST_INFO_NULL,
    };
    return run_suite("node_settings", tests);
}
