/*
 * trial - when a request that is refused for crashes runs once more
 *
 * What is refused is sent no more, so nothing could show that it is sound. So
 * a few requests are let through later, as trials: one that is served clears
 * what it has (strikes.h), one that crashes its target gives a further strike.
 * Targets that crashed with another cause are back by then. A key that was
 * never served is a likely cause if it has crashed MG_STRIKES_SERVED_MAX
 * targets, or if all other parts of the prompts that crashed them were served.
 *
 * The trials of a key are counted over all entries. These take turns, in an
 * order that depends on the key and on the time since its last crash, of which
 * they have heard at slightly different times. An entry without a fitting
 * request lets its turn pass. Once all have done so, there are few of these
 * requests, and two entries at a time have a turn until the first trial.
 *
 * XXX: with many entries and few requests a turn seldom meets one.
 *
 * Pure: the result depends on the arguments only.
 */
#ifndef MG_TRIAL_H
#define MG_TRIAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* trials of a key, until it is served or its strikes expire; and of a likely
   cause */
#define MG_TRIALS_MAX 2
#define MG_TRIALS_LIKELY_MAX 1
/* time from the last crash to the first trial, ms; four times as long to the
   second one. Of the only part that was never served, ms: it is the cause, but
   for chance. */
#define MG_TRIAL_AFTER_MS 2000
#define MG_TRIAL_ONLY_AFTER_MS 300000
/* an entry's turn, and its last part, in which it starts no trial: by then the
   next entry's turn may have begun, as that one sees it */
#define MG_TRIAL_TURN_MS 1000
#define MG_TRIAL_GUARD_MS 200

/* what is known of a refused key, or of a group of them */
typedef struct mg_trial_state {
    uint64_t key; /* the same at all entries */
    size_t crash_count;
    int64_t crashed_ms; /* last crash */
    bool served;        /* before the crashes */
    bool
        others_served; /* all other parts that crashed the same targets were */
    unsigned trials;   /* as far as is known here */
    int64_t tried_ms;  /* last trial, if there was one */
} mg_trial_state;

/* Whether entry self of n may start a trial now. */
bool
mg_trial_is_due(const mg_trial_state *t, int64_t now_ms, size_t self,
                size_t n);

#endif
