/*
 * suite - runs a table of tests with CUnit
 *
 * A history is a randomized test determined by its seed. The seeds are 1 to
 * HISTORIES, and a failure prints its seed; the environment variable SEED
 * selects a single one, and HISTORIES_MAX limits their number for slow runs.
 */
#ifndef MG_SUITE_H
#define MG_SUITE_H

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>

#include "base/clock.h"
#include "base/outcome.h"

#define HISTORIES 10000

/* history returns NULL, or a text that names the violated invariant */
static inline void
run_histories(const char *(*history)(uint64_t seed), uint64_t count)
{
    const char *one = getenv("SEED");
    const char *max = getenv("HISTORIES_MAX");
    uint64_t limit = max ? strtoull(max, NULL, 10) : count;
    count = limit < count ? limit : count;
    uint64_t first = one ? strtoull(one, NULL, 10) : 1;
    uint64_t last = one ? first : count;
    for (uint64_t seed = first; seed <= last; seed++) {
        const char *violation = history(seed);
        if (violation != NULL) {
            printf("\n  seed %" PRIu64 ": %s\n", seed, violation);
            CU_FAIL("invariant violated");
            return;
        }
    }
    CU_PASS("histories");
}

static inline int
run_suite(const char *name, const CU_TestInfo *tests)
{
    if (CU_initialize_registry() != CUE_SUCCESS) {
        return 2;
    }
    CU_pSuite suite = CU_add_suite(name, NULL, NULL);
    for (; tests->pName != NULL; tests++) {
        CU_add_test(suite, tests->pName, tests->pTestFunc);
    }
    CU_basic_set_mode(CU_BRM_NORMAL);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed > 0;
}

#endif
