/*
 * registry - target instances as they announce themselves
 *
 * Pure: fed with announcements and the time. Announcements may come late,
 * doubled, out of order, and from a run that is over. Of one id the run with
 * the latest start counts, of one run the highest number; at one address the
 * run with the latest start is the one that lives there.
 *
 * After a restart an instance may be known from what was saved before: it is
 * remembered, until it announces itself. It is used at first, but soon
 * forgotten when it does not: it may have left in the meantime.
 *
 * An instance is never freed while users refer to it.
 */
#ifndef MG_REGISTRY_H
#define MG_REGISTRY_H

#include <uthash.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/check.h"
#include "wire/msg.h"

/* without an announcement for so long a target counts as silent */
#define MG_INSTANCE_SILENT_MS 5000
/* a remembered instance that does not announce itself is not used after
   this: two of the usual intervals */
#define MG_RESTORED_TTL_MS 2500
/* an instance that is over is forgotten after this */
#define MG_INSTANCE_RETENTION_MS 60000

typedef enum mg_instance_state {
    MG_INSTANCE_READY,
    MG_INSTANCE_DRAINING, /* gets no new work */
    MG_INSTANCE_ENDED,
} mg_instance_state;

/* one announcement */
typedef struct mg_announcement {
    char id[MG_NAME_SIZE];
    char service[MG_NAME_SIZE];
    char addr[MG_ADDR_SIZE];
    char domain[MG_NAME_SIZE];
    char version[MG_NAME_SIZE];
    uint32_t slots;
    mg_instance_state state;
    uint64_t started_ms;   /* start of this run, ms since 1970 */
    uint64_t seq;          /* grows within a run */
    uint64_t cold_left_ms; /* slow for so much longer */
    bool restored;         /* not said by itself, but saved before a restart */
} mg_announcement;

typedef struct mg_instance {
    UT_hash_handle hh;     /* of the registry, by id */
    struct list_head link; /* of its service */
    mg_announcement info;
    int64_t last_seen_ms;
    int64_t state_since_ms; /* of the state */
    unsigned refs;
    void *owner_data; /* of the gateway */
} mg_instance;

typedef struct mg_instance_group {
    UT_hash_handle hh;
    char service[MG_NAME_SIZE];
    struct list_head instances;
    size_t count;
} mg_instance_group;

typedef enum mg_announce_result {
    MG_ANNOUNCE_STALE,         /* says less than is known */
    MG_ANNOUNCE_NEW_RUN,       /* a run not known before */
    MG_ANNOUNCE_STATE_CHANGED, /* its state has changed */
    MG_ANNOUNCE_HEARTBEAT,     /* nothing new but that it lives */
} mg_announce_result;

typedef struct mg_registry mg_registry;

mg_registry *
mg_registry_new(mg_clock *clock);
void
mg_registry_free(mg_registry *r);
mg_announce_result
mg_registry_announce(mg_registry *r, const mg_announcement *a);
/* NULL when it is not known. */
mg_instance *
mg_registry_find(const mg_registry *r, const char *id);
/* Instances of a service; NULL when none was ever known. */
mg_instance_group *
mg_registry_service(const mg_registry *r, const char *service);
void
mg_registry_each(const mg_registry *r, void (*f)(void *user, mg_instance *i),
                 void *user);
/* Forgets what has been over for long and has no users. */
void
mg_registry_sweep(mg_registry *r, void (*on_forget)(mg_instance *i));
/* Whether requests may be sent there. */
bool
mg_instance_is_usable(const mg_instance *i, int64_t now);
bool
mg_instance_is_silent(const mg_instance *i, int64_t now);

void
mg_announcement_to_msg(const mg_announcement *a, mg_instance_msg *m);
mg_rc
mg_announcement_from_msg(const mg_instance_msg *m, mg_announcement *a);

#endif
