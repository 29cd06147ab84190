#include "topology/registry.h"

#include <stdlib.h>
#include <string.h>

struct mg_registry {
    mg_clock *clock;
    mg_instance *instances;
    mg_instance_group *groups;
};

mg_registry *
mg_registry_new(mg_clock *clock)
{
    mg_registry *r = mg_alloc(sizeof(*r));
    r->clock = clock;
    return r;
}

void
mg_registry_free(mg_registry *r)
{
    mg_instance *i;
    mg_instance *i1;
    mg_instance_group *g;
    mg_instance_group *g1;
    HASH_ITER(hh, r->instances, i, i1)
    {
        HASH_DEL(r->instances, i);
        free(i);
    }
    HASH_ITER(hh, r->groups, g, g1)
    {
        HASH_DEL(r->groups, g);
        free(g);
    }
    free(r);
}

mg_instance *
mg_registry_find(const mg_registry *r, const char *id)
{
    mg_instance *i;
    HASH_FIND_STR(r->instances, id, i);
    return i;
}

mg_instance_group *
mg_registry_service(const mg_registry *r, const char *service)
{
    mg_instance_group *g;
    HASH_FIND_STR(r->groups, service, g);
    return g;
}

static mg_instance_group *
group_of(mg_registry *r, const char *service)
{
    mg_instance_group *g = mg_registry_service(r, service);
    if (g == NULL) {
        g = mg_alloc(sizeof(*g));
        mg_str_copy(g->service, sizeof(g->service), mg_str_of(service));
        init_list_head(&g->instances);
        HASH_ADD_STR(r->groups, service, g);
    }
    return g;
}

static void
set_state(mg_registry *r, mg_instance *i, mg_instance_state state)
{
    if (i->info.state != state) {
        i->info.state = state;
        i->state_since_ms = mg_now(r->clock);
    }
}

/* Whether another instance at a's address started later than a and has not
   ended. */
static bool
has_later_run_at_address(mg_registry *r, const mg_announcement *a)
{
    for (mg_instance *i = r->instances; i != NULL; i = i->hh.next) {
        if (strcmp(i->info.addr, a->addr) == 0 &&
            strcmp(i->info.id, a->id) != 0 &&
            i->info.started_ms > a->started_ms &&
            i->info.state != MG_INSTANCE_ENDED) {
            return true;
        }
    }
    return false;
}

/* Sets the state of the other instances at a's address that started before a
   to MG_INSTANCE_ENDED. */
static void
end_earlier_runs_at_address(mg_registry *r, const mg_announcement *a)
{
    for (mg_instance *i = r->instances; i != NULL; i = i->hh.next) {
        if (strcmp(i->info.addr, a->addr) == 0 &&
            strcmp(i->info.id, a->id) != 0 &&
            i->info.started_ms < a->started_ms) {
            set_state(r, i, MG_INSTANCE_ENDED);
        }
    }
}

static mg_instance *
add_instance(mg_registry *r, const mg_announcement *a)
{
    mg_instance *i = mg_alloc(sizeof(*i));
    i->info = *a;
    HASH_ADD_STR(r->instances, info.id, i);
    return i;
}

/* Replaces the stored data of i, which is new or has started a new run. */
static void
start_run(mg_registry *r, mg_instance *i, const mg_announcement *a)
{
    mg_instance_group *g = group_of(r, a->service);
    if (i->link.next != NULL) {
        list_del(&i->link);
    }
    list_add_tail(&i->link, &g->instances);
    i->info = *a;
    i->state_since_ms = mg_now(r->clock);
    i->last_seen_ms = i->state_since_ms;
    end_earlier_runs_at_address(r, a);
}

mg_announce_result
mg_registry_announce(mg_registry *r, const mg_announcement *a)
{
    mg_instance *i = mg_registry_find(r, a->id);
    if (i != NULL && (a->restored || a->started_ms < i->info.started_ms)) {
        return MG_ANNOUNCE_STALE;
    }
    if (i == NULL || a->started_ms > i->info.started_ms) {
        if (has_later_run_at_address(r, a)) {
            return MG_ANNOUNCE_STALE;
        }
        if (i == NULL) {
            i = add_instance(r, a);
        }
        start_run(r, i, a);
        return MG_ANNOUNCE_NEW_RUN;
    }
    if ((a->seq <= i->info.seq && !i->info.restored) ||
        a->state < i->info.state) {
        return MG_ANNOUNCE_STALE;
    }
    i->info.restored = false;
    bool changed = a->state != i->info.state;
    i->last_seen_ms = mg_now(r->clock);
    i->info.seq = a->seq;
    i->info.cold_left_ms = a->cold_left_ms;
    set_state(r, i, a->state);
    return changed ? MG_ANNOUNCE_STATE_CHANGED : MG_ANNOUNCE_HEARTBEAT;
}

mg_rc
mg_registry_deregistration(const mg_registry *r, const char *id,
                           uint64_t started_ms, mg_announcement *out)
{
    const mg_instance *i = mg_registry_find(r, id);
    *out = (mg_announcement){0};
    if (i == NULL || started_ms > i->info.started_ms) {
        return MG_E_NOT_FOUND;
    }
    if (started_ms != 0 && started_ms < i->info.started_ms) {
        return MG_E_VERSION_STALE;
    }
    *out = i->info;
    out->seq = MG_INSTANCE_SEQ_MAX;
    if (out->state < MG_INSTANCE_DRAINING) {
        out->state = MG_INSTANCE_DRAINING;
    }
    return MG_OK;
}

void
mg_registry_each(const mg_registry *r, void (*f)(void *user, mg_instance *i),
                 void *user)
{
    for (mg_instance *i = r->instances; i != NULL; i = i->hh.next) {
        f(user, i);
    }
}

void
mg_registry_sweep(mg_registry *r, void (*on_remove)(mg_instance *i))
{
    int64_t now = mg_now(r->clock);
    mg_instance *i;
    mg_instance *i1;
    HASH_ITER(hh, r->instances, i, i1)
    {
        int64_t keep_ms =
            i->info.restored ? MG_RESTORED_TTL_MS : MG_INSTANCE_RETENTION_MS;
        if (i->refs > 0 || now - i->last_seen_ms < keep_ms) {
            continue;
        }
        HASH_DEL(r->instances, i);
        list_del(&i->link);
        on_remove(i);
        free(i);
    }
}

bool
mg_instance_is_usable(const mg_instance *i, int64_t now)
{
    return i->info.state == MG_INSTANCE_READY &&
           (!i->info.restored || now - i->last_seen_ms < MG_RESTORED_TTL_MS);
}

bool
mg_instance_is_silent(const mg_instance *i, int64_t now)
{
    return now - i->last_seen_ms > MG_INSTANCE_SILENT_MS;
}

void
mg_announcement_to_msg(const mg_announcement *a, mg_instance_msg *m)
{
    *m = (mg_instance_msg){
        .id = mg_str_of(a->id),
        .service = mg_str_of(a->service),
        .addr = mg_str_of(a->addr),
        .domain = mg_str_of(a->domain),
        .version = mg_str_of(a->version),
        .slots = a->slots,
        .state = a->state,
        .born_ms = a->started_ms,
        .seq = a->seq,
        .cold_ms = a->cold_left_ms,
        .remembered = a->restored,
    };
}

mg_rc
mg_announcement_check(const mg_announcement *a)
{
    struct sockaddr_in sin;
    bool valid = a->id[0] != '\0' && a->service[0] != '\0' &&
                 a->slots <= MG_INSTANCE_SLOTS_MAX &&
                 a->started_ms <= MG_INSTANCE_STARTED_MAX_MS &&
                 a->seq <= MG_INSTANCE_SEQ_MAX &&
                 a->state <= MG_INSTANCE_ENDED;
    return valid ? mg_addr_parse(a->addr, &sin) : MG_E_INPUT;
}

mg_rc
mg_announcement_from_msg(const mg_instance_msg *m, mg_announcement *a)
{
    if (m->id.n >= MG_NAME_SIZE || m->service.n >= MG_NAME_SIZE ||
        m->addr.n >= MG_ADDR_SIZE || m->state > MG_INSTANCE_ENDED ||
        m->slots > MG_INSTANCE_SLOTS_MAX) {
        return MG_E_INPUT;
    }
    *a = (mg_announcement){
        .slots = (uint32_t)m->slots,
        .state = (mg_instance_state)m->state,
        .started_ms = m->born_ms,
        .seq = m->seq,
        .cold_left_ms = m->cold_ms,
        .restored = m->remembered,
    };
    mg_str_copy(a->id, sizeof(a->id), m->id);
    mg_str_copy(a->service, sizeof(a->service), m->service);
    mg_str_copy(a->addr, sizeof(a->addr), m->addr);
    mg_str_copy(a->domain, sizeof(a->domain), m->domain);
    mg_str_copy(a->version, sizeof(a->version), m->version);
    return mg_announcement_check(a);
}
