/*
 * rollout_manager - evaluates and records rollouts of services
 *
 * Every hub receives the request counts and samples of all entries and
 * evaluates each rollout (policy/rollout.h). The lead hub writes state changes
 * to the replicated log, each conditional on the revision of the record that
 * it knows, so concurrent writes by two hubs apply only once. The record
 * holds the share of a service's traffic that the new version may get;
 * entries follow it (gateway/versions.h).
 *
 * The versions that were rolled back are written to a record of their own
 * (gateway/rejected.h), before the next rollout of the service is.
 *
 * A rollout completes once the new version gets all traffic and no request
 * runs on another version, or shortly before its time window ends.
 */
#ifndef MG_ROLLOUT_MANAGER_H
#define MG_ROLLOUT_MANAGER_H

#include "group/group_client.h"
#include "policy/rollout.h"
#include "topology/registry.h"

typedef struct mg_rollout_manager mg_rollout_manager;

typedef struct mg_rollout_manager_options {
    mg_clock *clock;
    mg_registry *registry;
    mg_group_client *client;
    int64_t ack_ms; /* timeout of a log write, and of an order */
    /* whether a rollout of the service can be ordered: MG_OK, MG_E_NOT_FOUND,
       or MG_E_NO_QUORUM while no configuration is known */
    mg_rc (*find_service)(void *user, const char *service);
    /* number of requests, over all entries, that run on other versions of
       the service */
    double (*running_on_others)(void *user, const char *service,
                                const char *version);
    void *user;
} mg_rollout_manager_options;

mg_rollout_manager *
mg_rollout_manager_new(const mg_rollout_manager_options *opts);
void
mg_rollout_manager_free(mg_rollout_manager *m);
/* Applies a rollout record of the log, which has revision rev and wasn't
   written before after_ms (monotonic; INT64_MIN if nothing is known). */
void
mg_rollout_manager_apply_record(mg_rollout_manager *m,
                                const mg_rec_rollout_msg *rec, uint64_t rev,
                                int64_t after_ms);
/* Applies the record of a service's rejected versions, of revision rev. */
void
mg_rollout_manager_apply_rejected(mg_rollout_manager *m,
                                  const mg_rec_rejected_msg *rec,
                                  uint64_t rev);
/* Adds the request counts and samples of one entry. */
void
mg_rollout_manager_add_samples(mg_rollout_manager *m,
                               const mg_rollout_samples_msg *s);
/* To be called periodically; writes changes only if this is the lead hub. */
void
mg_rollout_manager_tick(mg_rollout_manager *m, bool is_lead);
/*
 * Starts a rollout on an operator's command. It is decided by the newest
 * records of the log, which is asked first. done gets MG_OK when the record is
 * written or the same rollout exists already, MG_E_VERSION_CONFLICT when
 * another rollout of the service is in progress, the result of find_service()
 * if that isn't MG_OK, MG_E_NO_QUORUM when the log didn't reply, so that
 * nothing was decided, and MG_E_NO_LEADER when the outcome is unknown, the end
 * of the last rollout isn't recorded in full yet, or the version was rolled
 * back and it isn't known here whether that is longer ago than ack_ms: until
 * then the order may be the one that led to that rollout, sent again.
 */
void
mg_rollout_manager_start(mg_rollout_manager *m, const char *service,
                         const char *version, int64_t window_ms,
                         mg_group_client_cb done, void *user);

typedef struct mg_rollout_status {
    const char *version;
    mg_rollout_state_id state;
} mg_rollout_status;

/* Returns false if the service never had a rollout. version is owned by the
   manager. */
bool
mg_rollout_manager_status(const mg_rollout_manager *m, const char *service,
                          mg_rollout_status *out);

#endif
