#include "node/rollout_manager.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/event.h"
#include "gateway/rejected.h"
#include "gateway/versions.h"

#define CANARY_PERCENT 2
/* other versions are drained after this time without running requests, ms */
#define IDLE_MS 300
/* all entries apply a new record within this time, ms */
#define PROPAGATION_MS 500
/* during this last fraction of the window, a rollout completes even while
   requests run on other versions */
#define FORCED_DONE_FRACTION 0.12

typedef struct service_rollout {
    UT_hash_handle hh;
    char service[MG_NAME_SIZE];
    char version[MG_NAME_SIZE];
    mg_rollout *policy; /* evaluates the samples of all entries */
    mg_rollout_state_id state;
    uint32_t share_permille;
    uint64_t reserved;
    int64_t window_ms;
    int64_t deadline; /* end of the window, monotonic ms */
    /* the order came after this and no later than window_ms before the
       deadline, which is a time of this process; INT64_MIN: unknown */
    int64_t ordered_after;
    int64_t changed_at; /* when the state or share last changed */
    int64_t busy_at;    /* when requests last ran on other versions */
    uint64_t rev;       /* of the record */
    bool write_pending; /* a write to the log is in progress */
    mg_rejected rejected;
    bool rejected_differs;       /* from its record */
    uint64_t rejected_rev;       /* of the record, 0: none */
    bool rejected_write_pending; /* until its record is received */
} service_rollout;

/* a clock that returns monotonic time as wall time too, so that wall clock
   steps do not shift rollout deadlines */
struct steady_clock {
    mg_clock clock; /* first member: steady_ms() casts it back */
    mg_clock *source;
};

struct mg_rollout_manager {
    mg_rollout_manager_options opts;
    struct steady_clock steady;
    service_rollout *rollouts;
};

static int64_t
steady_ms(mg_clock *c)
{
    return mg_now(((struct steady_clock *)c)->source);
}

mg_rollout_manager *
mg_rollout_manager_new(const mg_rollout_manager_options *opts)
{
    mg_rollout_manager *m = mg_alloc(sizeof(*m));
    m->opts = *opts;
    m->steady = (struct steady_clock){{steady_ms, steady_ms}, opts->clock};
    return m;
}

static service_rollout *
find_rollout(const mg_rollout_manager *m, const char *service)
{
    service_rollout *r;
    HASH_FIND_STR(m->rollouts, service, r);
    return r;
}

void
mg_rollout_manager_free(mg_rollout_manager *m)
{
    service_rollout *r;
    service_rollout *r1;
    HASH_ITER(hh, m->rollouts, r, r1)
    {
        HASH_DEL(m->rollouts, r);
        mg_rollout_free(r->policy);
        free(r);
    }
    free(m);
}

static void
reset_policy(mg_rollout_manager *m, service_rollout *r)
{
    mg_rollout_free(r->policy);
    r->policy = mg_rollout_new(&(mg_rollout_options){
        .clock = &m->steady.clock,
        .name = r->service,
        .from = "",
        .to = r->version,
        .deadline_wall_ms = r->deadline,
        .canary_percent = CANARY_PERCENT,
        .slow_factor = MG_VERSION_SLOW_FACTOR,
        .window_ms = r->window_ms,
        .state = r->state,
        .share_permille = r->share_permille,
        .reserved = r->reserved,
    });
}

static service_rollout *
get_rollout(mg_rollout_manager *m, mg_str service)
{
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), service);
    service_rollout *r = find_rollout(m, name);
    if (r == NULL) {
        r = mg_alloc(sizeof(*r));
        mg_str_copy(r->service, sizeof(r->service), service);
        HASH_ADD_STR(m->rollouts, service, r);
    }
    return r;
}

/* whether a rollout of the service has ever been ordered */
static bool
exists(const service_rollout *r)
{
    return r != NULL && r->policy != NULL;
}

void
mg_rollout_manager_apply_rejected(mg_rollout_manager *m,
                                  const mg_rec_rejected_msg *rec, uint64_t rev)
{
    service_rollout *r = get_rollout(m, rec->service);
    mg_rejected_decode(&r->rejected, rec->versions);
    r->rejected_rev = rev;
    r->rejected_write_pending = false;
    /* its writer may not have known how the present rollout ended */
    r->rejected_differs =
        exists(r) && r->rev > rec->rollout_rev &&
        mg_rejected_follow(&r->rejected, r->version, r->state);
}

void
mg_rollout_manager_apply_record(mg_rollout_manager *m,
                                const mg_rec_rollout_msg *rec, uint64_t rev,
                                int64_t after_ms)
{
    int64_t now = mg_now(m->opts.clock);
    service_rollout *r = get_rollout(m, rec->service);
    bool is_new =
        !exists(r) || !mg_str_is(rec->version, r->version) ||
        mg_rollout_is_restarted(r->state, (mg_rollout_state_id)rec->state);
    if (is_new || r->state != (mg_rollout_state_id)rec->state ||
        r->share_permille != rec->share_permille) {
        r->changed_at = now;
        r->busy_at = now;
    }
    mg_str_copy(r->version, sizeof(r->version), rec->version);
    r->state = (mg_rollout_state_id)rec->state;
    r->share_permille = (uint32_t)rec->share_permille;
    r->reserved = rec->reserved;
    r->window_ms = (int64_t)rec->window_ms;
    r->rev = rev;
    r->rejected_differs |=
        mg_rejected_follow(&r->rejected, r->version, r->state);
    if (is_new) {
        r->deadline = now + (int64_t)rec->left_ms;
        r->ordered_after = after_ms;
        reset_policy(m, r);
    }
    else {
        mg_rollout_committed(r->policy, r->state, r->share_permille,
                             r->reserved);
    }
    mg_log(MG_EV_MOVE_STATE,
           "service=%s version=%s state=%s share=%u reserved=%" PRIu64
           " left_ms=%" PRId64 " rev=%" PRIu64 " why=%.*s",
           r->service, r->version, mg_rollout_state_name(r->state),
           r->share_permille, r->reserved, r->deadline - now, rev,
           MG_STR_FMT(rec->reason));
}

void
mg_rollout_manager_add_samples(mg_rollout_manager *m,
                               const mg_rollout_samples_msg *s)
{
    char name[MG_NAME_SIZE];
    mg_msg msg;
    mg_str rest = s->samples;
    mg_str_copy(name, sizeof(name), s->service);
    service_rollout *r = find_rollout(m, name);
    if (!exists(r) || !mg_str_is(s->version, r->version)) {
        return;
    }
    for (uint64_t i = 0; i < s->sent_old; i++) {
        mg_rollout_count_grant(r->policy, false);
    }
    for (uint64_t i = 0; i < s->sent_new; i++) {
        mg_rollout_count_grant(r->policy, true);
    }
    while (mg_msg_next(&rest, &msg) == MG_OK) {
        const mg_rollout_sample_msg *q = &msg.u.rollout_sample;
        char route[MG_NAME_SIZE];
        if (msg.type != MG_MSG_ROLLOUT_SAMPLE) {
            continue;
        }
        mg_str_copy(route, sizeof(route), q->route);
        mg_version_sample sample = {
            .route = route,
            .is_new = q->is_new,
            .failed = q->failed,
            .first_per_token = (double)q->first_ns_per_token / 1e6,
            .gap_ms = (double)q->gap_us / 1e3,
        };
        mg_rollout_add_sample(r->policy, &sample);
    }
}

/* --------------------------------------------------------------- writes */

typedef struct record_write {
    mg_rollout_manager *manager;
    char service[MG_NAME_SIZE];
    mg_group_client_cb done; /* of an operator command, or NULL */
    void *user;
} record_write;

static void
write_done(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    record_write *w = user;
    service_rollout *r = find_rollout(w->manager, w->service);
    if (r != NULL) {
        r->write_pending = false;
    }
    if (w->done != NULL) {
        /* a concurrent command was written first: report an unknown outcome,
           so that the operator retries */
        rc = rc == MG_E_DOCUMENT_CHANGED ? MG_E_NO_LEADER : rc;
        w->done(w->user, rc, rev, why);
    }
    free(w);
}

static void
rejected_written(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    record_write *w = user;
    service_rollout *r = find_rollout(w->manager, w->service);
    (void)rev;
    if (rc != MG_OK) {
        /* written again at the next tick, if it still differs */
        r->rejected_write_pending = false;
        mg_log(MG_EV_MOVE_STATE, "service=%s what=rejected rc=%s why=%s",
               w->service, mg_rc_name(rc), why);
    }
    free(w);
}

static void
write_rejected(mg_rollout_manager *m, service_rollout *r)
{
    mg_buf versions = {0};
    mg_buf value = {0};
    mg_msg rec = {.type = MG_MSG_REC_REJECTED};
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    record_write *w = mg_alloc(sizeof(*w));
    *w = (record_write){.manager = m};
    mg_str_copy(w->service, sizeof(w->service), mg_str_of(r->service));
    mg_rejected_encode(&r->rejected, &versions);
    rec.u.rec_rejected.service = mg_str_of(r->service);
    rec.u.rec_rejected.rollout_rev = r->rev;
    rec.u.rec_rejected.versions = mg_str_buf(&versions);
    mg_msg_encode(&rec, &value);
    put.u.cmd_put.kind = MG_RECORD_REJECTED;
    put.u.cmd_put.key = mg_str_of(r->service);
    put.u.cmd_put.expect_rev = r->rejected_rev;
    put.u.cmd_put.value = mg_str_buf(&value);
    r->rejected_write_pending = true;
    mg_group_client_propose(m->opts.client, &put, m->opts.ack_ms,
                            rejected_written, w);
    mg_buf_free(&value);
    mg_buf_free(&versions);
}

/* Writes rec, within timeout_ms, if the service's record still has revision
   expect_rev. If expect_rev is 0, writes rec only if the service has no
   record. */
static void
write_record(mg_rollout_manager *m, const mg_rec_rollout_msg *rec,
             uint64_t expect_rev, int64_t timeout_ms, mg_group_client_cb done,
             void *user)
{
    mg_buf value = {0};
    mg_msg r = {.type = MG_MSG_REC_ROLLOUT};
    mg_msg put = {.type = MG_MSG_CMD_PUT};
    record_write *w = mg_alloc(sizeof(*w));
    r.u.rec_rollout = *rec;
    mg_msg_encode(&r, &value);
    put.u.cmd_put.kind = MG_RECORD_ROLLOUT;
    put.u.cmd_put.key = rec->service;
    put.u.cmd_put.expect_rev = expect_rev;
    put.u.cmd_put.value = mg_str_buf(&value);
    *w = (record_write){.manager = m, .done = done, .user = user};
    mg_str_copy(w->service, sizeof(w->service), rec->service);
    mg_group_client_propose(m->opts.client, &put, timeout_ms, write_done, w);
    mg_buf_free(&value);
}

static void
write_change(mg_rollout_manager *m, service_rollout *r,
             const mg_rollout_change *c)
{
    int64_t left = r->deadline - mg_now(m->opts.clock);
    mg_rec_rollout_msg rec = {
        .service = mg_str_of(r->service),
        .version = mg_str_of(r->version),
        .state = c->state,
        .share_permille = c->share_permille,
        .reserved = c->reserved,
        .window_ms = (uint64_t)r->window_ms,
        .left_ms = left > 0 ? (uint64_t)left : 0,
        .reason = mg_str_of(c->reason),
    };
    r->write_pending = true;
    write_record(m, &rec, r->rev, m->opts.ack_ms, NULL, NULL);
}

/* ---------------------------------------------------------------- ticks */

static bool
has_targets(const mg_rollout_manager *m, const service_rollout *r)
{
    mg_instance_group *g = mg_registry_service(m->opts.registry, r->service);
    if (g == NULL) {
        return false;
    }
    list_for_each(el, &g->instances)
    {
        const mg_instance *i = list_entry(el, mg_instance, link);
        if (i->info.state == MG_INSTANCE_READY &&
            strcmp(i->info.version, r->version) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether no request runs on other versions, or the window is about to end. */
static bool
others_drained(mg_rollout_manager *m, service_rollout *r, int64_t now)
{
    if (m->opts.running_on_others(m->opts.user, r->service, r->version) > 0) {
        r->busy_at = now;
    }
    if ((double)(r->deadline - now) <
        FORCED_DONE_FRACTION * (double)r->window_ms) {
        return true;
    }
    return now - r->changed_at >= PROPAGATION_MS &&
           now - r->busy_at >= IDLE_MS;
}

static void
tick_rollout(mg_rollout_manager *m, service_rollout *r, int64_t now)
{
    mg_rollout_change c;
    if (!mg_rollout_next_change(r->policy, has_targets(m, r), &c)) {
        return;
    }
    if (c.state == MG_ROLLOUT_DONE && !others_drained(m, r, now)) {
        return; /* evaluation continues until other versions are drained */
    }
    write_change(m, r, &c);
}

void
mg_rollout_manager_tick(mg_rollout_manager *m, bool is_lead)
{
    int64_t now = mg_now(m->opts.clock);
    if (!is_lead) {
        return;
    }
    for (service_rollout *r = m->rollouts; r != NULL; r = r->hh.next) {
        if (exists(r) && !r->write_pending) {
            tick_rollout(m, r, now);
        }
        if (r->rejected_differs && !r->rejected_write_pending) {
            write_rejected(m, r);
        }
    }
}

/* ------------------------------------------------------------ operators */

static bool
has_ended(const service_rollout *r)
{
    return r->state == MG_ROLLOUT_ROLLED_BACK || r->state == MG_ROLLOUT_DONE;
}

/* an order, until the newest records of the log are known here */
typedef struct pending_order {
    mg_rollout_manager *manager;
    char service[MG_NAME_SIZE];
    char version[MG_NAME_SIZE];
    int64_t window_ms;
    int64_t expires_at; /* its outcome is reported by then, monotonic ms */
    mg_group_client_cb done;
    void *user;
} pending_order;

/* Logs what was decided on an order, and the record that decided it. */
static void
log_order(const pending_order *o, const service_rollout *r,
          const char *outcome)
{
    mg_log(MG_EV_ROLLOUT_ORDER,
           "service=%s version=%s outcome=%s known_version=%s known_state=%s "
           "known_rev=%" PRIu64 " known_ms=%" PRId64,
           o->service, o->version, outcome, r != NULL ? r->version : "-",
           r != NULL ? mg_rollout_state_name(r->state) : "-",
           r != NULL ? r->rev : 0,
           r != NULL ? mg_now(o->manager->opts.clock) - r->changed_at : 0);
}

static void
propose_order(const pending_order *o, const service_rollout *r)
{
    mg_rollout_manager *m = o->manager;
    int64_t left = o->expires_at - mg_now(m->opts.clock);
    mg_rec_rollout_msg rec = {
        .service = mg_str_of(o->service),
        .version = mg_str_of(o->version),
        .state = MG_ROLLOUT_PENDING,
        .window_ms = (uint64_t)o->window_ms,
        .left_ms = (uint64_t)o->window_ms,
        .reason = mg_str_of("ordered"),
    };
    log_order(o, r, "proposed");
    write_record(m, &rec, r != NULL ? r->rev : 0, left, o->done, o->user);
}

/* how an order relates to the service's newest record */
typedef enum order_relation {
    ORDER_NEW,
    ORDER_REPEATED, /* its record was written already */
    ORDER_UNCLEAR,  /* one or the other */
} order_relation;

/* An operator repeats a command for ack_ms. An order of a version that was
   rolled back before is a new one after that time only. */
static order_relation
relate_order(const pending_order *o, const service_rollout *r)
{
    int64_t repeated_since =
        mg_now(o->manager->opts.clock) - o->manager->opts.ack_ms;
    if (r == NULL || strcmp(r->version, o->version) != 0 ||
        (r->state == MG_ROLLOUT_ROLLED_BACK &&
         r->deadline - r->window_ms <= repeated_since)) {
        return ORDER_NEW;
    }
    if (r->state == MG_ROLLOUT_ROLLED_BACK &&
        r->ordered_after < repeated_since) {
        return ORDER_UNCLEAR;
    }
    return ORDER_REPEATED;
}

/* Decides on an order by the newest record of its service. */
static void
decide_order(const pending_order *o)
{
    mg_rollout_manager *m = o->manager;
    service_rollout *r = find_rollout(m, o->service);
    r = exists(r) ? r : NULL;
    order_relation relation = relate_order(o, r);
    mg_rc rc = m->opts.find_service(m->opts.user, o->service);
    if (rc != MG_OK) {
        log_order(o, r, mg_rc_name(rc));
        o->done(o->user, rc, 0,
                rc == MG_E_NOT_FOUND
                    ? "the configuration document has no such service"
                    : "no configuration document is loaded");
    }
    else if (relation == ORDER_REPEATED) {
        log_order(o, r, "repeated");
        o->done(o->user, MG_OK, r->rev, "");
    }
    else if (relation == ORDER_UNCLEAR) {
        log_order(o, r, "unclear");
        o->done(o->user, MG_E_NO_LEADER, 0,
                "the version was rolled back, maybe by this order");
    }
    else if (r != NULL && !has_ended(r)) {
        log_order(o, r, "conflict");
        o->done(o->user, MG_E_VERSION_CONFLICT, 0,
                "another rollout of the service is in progress");
    }
    else if (r != NULL && r->rejected_differs) {
        /* an entry that starts later would not know of the rollback */
        log_order(o, r, "wait_rejected");
        o->done(o->user, MG_E_NO_LEADER, 0,
                "the last rollout is being recorded");
    }
    else {
        propose_order(o, r);
    }
}

static void
order_confirmed(void *user, mg_rc rc, uint64_t rev, const char *why)
{
    pending_order *o = user;
    (void)rev;
    if (rc == MG_OK) {
        decide_order(o);
    }
    else {
        service_rollout *r = find_rollout(o->manager, o->service);
        log_order(o, exists(r) ? r : NULL, "not_confirmed");
        o->done(o->user, rc, 0, why);
    }
    free(o);
}

void
mg_rollout_manager_start(mg_rollout_manager *m, const char *service,
                         const char *version, int64_t window_ms,
                         mg_group_client_cb done, void *user)
{
    pending_order *o = mg_alloc(sizeof(*o));
    *o = (pending_order){
        .manager = m,
        .window_ms = window_ms,
        .expires_at = mg_now(m->opts.clock) + m->opts.ack_ms,
        .done = done,
        .user = user,
    };
    mg_str_copy(o->service, sizeof(o->service), mg_str_of(service));
    mg_str_copy(o->version, sizeof(o->version), mg_str_of(version));
    /* A record that is known here may be an old one: this host may just have
       thawed, started, or be cut off from the voters. */
    mg_group_client_confirm(m->opts.client, m->opts.ack_ms / 2,
                            order_confirmed, o);
}

bool
mg_rollout_manager_status(const mg_rollout_manager *m, const char *service,
                          mg_rollout_status *out)
{
    const service_rollout *r = find_rollout(m, service);
    if (!exists(r)) {
        return false;
    }
    *out = (mg_rollout_status){r->version, r->state};
    return true;
}
