/*
 * registry - the target instances that have announced themselves
 *
 * Does no I/O: its only inputs are announcements and the clock.
 * Announcements may be late, duplicated, out of order, or from a run that
 * has ended. Of several runs with the same id or the same address, the one
 * that started last is valid; within a run, the announcement with the highest
 * sequence number is.
 *
 * After a restart of this process, instances are restored from a file. A
 * restored instance is used at once, but only for MG_RESTORED_TTL_MS unless
 * it announces itself: it may have stopped in the meantime.
 *
 * An instance is not freed while its reference count is above 0.
 */
#ifndef MG_REGISTRY_H
#define MG_REGISTRY_H

#include <uthash.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/check.h"
#include "wire/msg.h"

/* an instance without an announcement for longer than this is silent */
#define MG_INSTANCE_SILENT_MS 5000
/* a restored instance that has not announced itself is used no longer than
   this: two of the usual announcement intervals */
#define MG_RESTORED_TTL_MS 2500
/* an instance is removed this long after its last announcement */
#define MG_INSTANCE_RETENTION_MS 60000

/* highest values that an instance may state: its slots are divided one by one
   among the entries; times are ms since 1970, this one is in 2100 */
#define MG_INSTANCE_SLOTS_MAX 4096
#define MG_INSTANCE_STARTED_MAX_MS UINT64_C(4102444800000)
#define MG_INSTANCE_SEQ_MAX (UINT64_C(1) << 48)

typedef enum mg_instance_state {
    MG_INSTANCE_READY,
    MG_INSTANCE_DRAINING, /* gets no new requests */
    MG_INSTANCE_ENDED,    /* replaced by a later run at its address */
} mg_instance_state;

/* what an instance reports about itself */
typedef struct mg_announcement {
    char id[MG_NAME_SIZE];
    char service[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE];
    char domain[MG_NAME_SIZE];
    char version[MG_NAME_SIZE];
    uint32_t slots;
    mg_instance_state state;
    uint64_t started_ms;   /* start of this run, ms since 1970 */
    uint64_t seq;          /* increases within a run */
    uint64_t cold_left_ms; /* remaining time of the slow start */
    bool restored;         /* read from the target file, not received */
} mg_announcement;

typedef struct mg_instance {
    UT_hash_handle hh;     /* mg_registry.instances, by id */
    struct list_head link; /* mg_instance_group.instances */
    mg_announcement info;
    int64_t last_seen_ms;   /* time of the last announcement */
    int64_t state_since_ms; /* time of the last change of state */
    unsigned refs;
    void *owner_data; /* set and freed by the gateway */
} mg_instance;

/* all instances of a service */
typedef struct mg_instance_group {
    UT_hash_handle hh;
    char service[MG_NAME_SIZE];
    struct list_head instances;
    size_t count;
} mg_instance_group;

typedef enum mg_announce_result {
    MG_ANNOUNCE_STALE,         /* ignored: outdated or a duplicate */
    MG_ANNOUNCE_NEW_RUN,       /* first one of a run */
    MG_ANNOUNCE_STATE_CHANGED, /* the instance's state has changed */
    MG_ANNOUNCE_HEARTBEAT,     /* nothing changed */
} mg_announce_result;

typedef struct mg_registry mg_registry;

mg_registry *
mg_registry_new(mg_clock *clock);
void
mg_registry_free(mg_registry *r);
mg_announce_result
mg_registry_announce(mg_registry *r, const mg_announcement *a);
/*
 * Makes the announcement that an instance has deregistered, for this registry
 * and all others. Its number is above all that the instance gives, which may
 * have announced itself at other hosts meanwhile. started_ms: start time of
 * the run, 0: any. MG_E_NOT_FOUND: the instance or the run is not known here
 * yet. MG_E_VERSION_STALE: a later run is known.
 */
mg_rc
mg_registry_deregistration(const mg_registry *r, const char *id,
                           uint64_t started_ms, mg_announcement *out);
/* NULL if the id is unknown. */
mg_instance *
mg_registry_find(const mg_registry *r, const char *id);
/* Instances of a service; NULL if it never had any. */
mg_instance_group *
mg_registry_service(const mg_registry *r, const char *service);
void
mg_registry_each(const mg_registry *r, void (*f)(void *user, mg_instance *i),
                 void *user);
/* Removes instances without references that have sent no announcement for
   MG_INSTANCE_RETENTION_MS (restored ones: MG_RESTORED_TTL_MS). on_remove is
   called before an instance is freed. */
void
mg_registry_sweep(mg_registry *r, void (*on_remove)(mg_instance *i));
/* Whether new requests may be sent to the instance. */
bool
mg_instance_is_usable(const mg_instance *i, int64_t now);
/* Whether the last announcement is older than MG_INSTANCE_SILENT_MS. */
bool
mg_instance_is_silent(const mg_instance *i, int64_t now);

/* m points into a. */
void
mg_announcement_to_msg(const mg_announcement *a, mg_instance_msg *m);
/* MG_E_INPUT if the id, service, address, state or a number is not valid. */
mg_rc
mg_announcement_check(const mg_announcement *a);
/* Errors as in mg_announcement_check(). */
mg_rc
mg_announcement_from_msg(const mg_instance_msg *m, mg_announcement *a);

#endif
