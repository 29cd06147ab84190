/*
 * versions - which versions of a service an entry may send to
 *
 * While a service's traffic moves to another version, its targets of the new
 * one get what the move's record in the log allows, all entries together: in
 * the canary stage a count that is dealt out to the entries, then a share of
 * each entry's requests. What an entry sends and sees goes to the hubs, where
 * the move is judged; its own verdict stops it before any record does.
 *
 * A version that is not known yet while others serve may belong to a move
 * whose record is still on its way: it gets nothing for a moment.
 *
 * Pure; time is passed in.
 */
#ifndef MG_VERSIONS_H
#define MG_VERSIONS_H

#include "policy/rollout.h"
#include "wire/msg.h"

/* a new version waits so long for the record of its move, ms */
#define MG_VERSION_HOLD_MS 1000

typedef struct mg_versions mg_versions;

/* slow, in times of the former version's mean: targets differ by themselves */
#define MG_VERSION_SLOW_FACTOR 2.0

typedef enum mg_version_use {
    MG_VERSION_EXCLUDED,
    MG_VERSION_FALLBACK, /* when there is no target of another version */
    MG_VERSION_ALLOWED,
    MG_VERSION_PREFERRED, /* before those that may be used too */
} mg_version_use;

mg_versions *
mg_versions_new(mg_clock *clock);
void
mg_versions_free(mg_versions *v);
/* The record of a service's move. */
void
mg_versions_set_rollout(mg_versions *v, const mg_rec_rollout_msg *rec);
/* This entry's place among the live ones, which share the canary grants. */
void
mg_versions_set_entries(mg_versions *v, size_t self, size_t count);
mg_version_use
mg_versions_use(mg_versions *v, const char *service, const char *version);
/* A request was sent to a target of that version. */
void
mg_versions_count_sent(mg_versions *v, const char *service,
                       const char *version);
/* How it went; is_new is set by the callee. */
void
mg_versions_add_sample(mg_versions *v, const char *service,
                       const char *version, mg_version_sample *s);
/* Calls f with a ROLLOUT_SAMPLES message for each move with news. */
void
mg_versions_flush_samples(mg_versions *v,
                          void (*f)(void *user, const mg_msg *m), void *user);

#endif
