/*
 * versions - which versions of a service an entry may send requests to
 *
 * During a rollout, targets of the new version get what the rollout's record
 * in the log allows: in the canary state a number of requests, divided among
 * the entries, then a share of each entry's requests. Entries report what they
 * sent and measured to the hubs, which evaluate the rollout. When its local
 * tests reject the new version, an entry stops using it before a record does.
 *
 * A new version that appears while others serve may belong to a rollout whose
 * record has not arrived yet: it gets no requests for MG_VERSION_HOLD_MS. One
 * that was rolled back gets none, also while the next one is rolled out.
 *
 * No I/O; time comes from the clock passed to mg_versions_new().
 */
#ifndef MG_VERSIONS_H
#define MG_VERSIONS_H

#include "policy/rollout.h"
#include "wire/msg.h"

/* how long a new version waits for the record of its rollout, ms */
#define MG_VERSION_HOLD_MS 1000

typedef struct mg_versions mg_versions;

/* slow_factor of rollouts at entries; above the default of rollout.h, since
   targets of one version differ in speed */
#define MG_VERSION_SLOW_FACTOR 2.0

typedef enum mg_version_use {
    MG_VERSION_EXCLUDED, /* no requests */
    MG_VERSION_FALLBACK, /* only when there is no target of another version */
    MG_VERSION_ALLOWED,
    MG_VERSION_PREFERRED, /* before versions that are allowed */
} mg_version_use;

mg_versions *
mg_versions_new(mg_clock *clock);
void
mg_versions_free(mg_versions *v);
/* Applies the record of a service's rollout. */
void
mg_versions_set_rollout(mg_versions *v, const mg_rec_rollout_msg *rec);
/* Applies the record of the versions of a service that were rolled back. */
void
mg_versions_set_rejected(mg_versions *v, const mg_rec_rejected_msg *rec);
/* This entry's index among the live ones, which share the canary requests. */
void
mg_versions_set_entries(mg_versions *v, size_t self, size_t count);
/* How targets of that version may be used now. */
mg_version_use
mg_versions_use(mg_versions *v, const char *service, const char *version);
/* Counts a request that was sent to a target of that version. */
void
mg_versions_count_sent(mg_versions *v, const char *service,
                       const char *version);
/* Adds the measurements of a request; sets sample->is_new. Times of the new
   version are lowered by their errors: where responses take less than the
   clock's resolution, a version must not count as slow for it. */
void
mg_versions_add_sample(mg_versions *v, const char *service,
                       const char *version, mg_version_sample *sample);
/* Calls f with a ROLLOUT_SAMPLES message per rollout with new samples. */
void
mg_versions_flush_samples(mg_versions *v,
                          void (*f)(void *user, const mg_msg *m), void *user);

#endif
