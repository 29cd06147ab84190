#include "control/assign.h"

int
mg_assign_pool(const char *pool, const mg_candidate *entries, size_t n)
{
    int best = -1;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < n; i++) {
        uint64_t weight =
            mg_hash_pair(mg_str_of(entries[i].node), mg_str_of(pool));
        if (best < 0 || weight > best_weight) {
            best = (int)i;
            best_weight = weight;
        }
    }
    return best;
}
