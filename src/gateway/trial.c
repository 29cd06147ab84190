#include "gateway/trial.h"

#include "gateway/strikes.h"

static bool
has_turn(const mg_trial_state *t, int64_t since_ms, size_t self, size_t n)
{
    uint64_t turn = (uint64_t)since_ms / MG_TRIAL_TURN_MS;
    /* turns until it is this entry's, from 0 to n - 1 */
    uint64_t ahead = (self + n - ((t->key >> 1) % n + turn) % n) % n;
    bool is_wide = t->trials == 0 && turn >= n;
    return since_ms % MG_TRIAL_TURN_MS <
               MG_TRIAL_TURN_MS - MG_TRIAL_GUARD_MS &&
           ahead <= (is_wide ? 1 : 0);
}

bool
mg_trial_is_due(const mg_trial_state *t, int64_t now_ms, size_t self, size_t n)
{
    bool is_only = !t->served && t->others_served;
    bool is_likely =
        is_only || (!t->served && t->crash_count >= MG_STRIKES_SERVED_MAX);
    unsigned max = is_likely ? MG_TRIALS_LIKELY_MAX : MG_TRIALS_MAX;
    int64_t after_ms = is_only ? MG_TRIAL_ONLY_AFTER_MS : MG_TRIAL_AFTER_MS;
    int64_t since_ms = now_ms - t->crashed_ms - after_ms;
    if (t->trials >= max || self >= n) {
        return false;
    }
    if (now_ms - t->crashed_ms < after_ms << (2 * t->trials) ||
        (t->trials > 0 && now_ms - t->tried_ms < after_ms)) {
        return false;
    }
    return has_turn(t, since_ms, self, n);
}
