/*
 * mover - moves of services to other versions, judged for all entries
 *
 * Every hub gets what all entries send and see and judges each move
 * (policy/rollout.h). The first live hub writes the changes into the
 * replicated log, each against the record that it knows: so a second one
 * that does the same changes nothing. The record says how much of a
 * service's traffic the new version may get; entries follow it
 * (gateway/versions.h).
 *
 * A move is completed once all its traffic has moved and no request runs on
 * the former version, or just before its time is over.
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
    int64_t ack_ms; /* a change is written within */
    /* requests of all entries on targets of a service with another version */
    double (*running_on_others)(void *user, const char *service,
                                const char *version);
    void *user;
} mg_rollout_manager_options;

mg_rollout_manager *
mg_rollout_manager_new(const mg_rollout_manager_options *opts);
void
mg_rollout_manager_free(mg_rollout_manager *m);
/* The record of a service's move. */
void
mg_rollout_manager_apply_record(mg_rollout_manager *m,
                                const mg_rec_rollout_msg *rec, uint64_t rev);
/* What an entry, this one or another, sent and saw. */
void
mg_rollout_manager_add_samples(mg_rollout_manager *m,
                               const mg_rollout_samples_msg *s);
/* leads: this node is the first live hub. */
void
mg_rollout_manager_tick(mg_rollout_manager *m, bool leads);
/*
 * An operator's order. done: MG_OK when it is written (or was before),
 * MG_E_CONFLICT when another move of the service runs, MG_E_NO_LEADER when
 * the outcome is not known.
 */
void
mg_rollout_manager_start(mg_rollout_manager *m, const char *service,
                         const char *version, int64_t window_ms,
                         mg_group_done done, void *user);

typedef struct mg_rollout_status {
    const char *version;
    mg_rollout_state_id state;
} mg_rollout_status;

/* false when no move of the service was ever ordered */
bool
mg_rollout_manager_status(const mg_rollout_manager *m, const char *service,
                          mg_rollout_status *out);

#endif
