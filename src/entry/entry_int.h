/*
 * entry_int - declarations shared by the files of an entry
 *
 * front.c            HTTP interface for clients and targets, admission
 * request.c          life cycle of a request: ticket, dispatch, record
 * response.c         its target's response: forwarded or kept, within limits
 * keyed.c            requests with an idempotency key: claims and retries
 * pools.c            local schedulers, messages to those of other entries
 * without_control.c  serving while the control group is unreachable
 * entry.c            set-up, message dispatch, drain, credits
 */
#ifndef MG_ENTRY_INT_H
#define MG_ENTRY_INT_H

#include "base/list.h"
#include "entry/response_reader.h"
#include "entry/control_link.h"
#include "entry/entry.h"
#include "entry/view.h"
#include "policy/sched.h"
#include "wire/http.h"
#include "wire/response_memory.h"

typedef enum mg_request_state {
    MG_REQ_LOOKUP,     /* looks its key up in the ledger */
    MG_REQ_JOINING,    /* waits for the response of another attempt */
    MG_REQ_WAITING,    /* has a ticket at the scheduler */
    MG_REQ_CLAIMING,   /* granted a slot; the claim is in flight */
    MG_REQ_CONNECTING, /* connects to the target, not yet dispatched */
    MG_REQ_RUNNING,    /* written to the target */
    MG_REQ_REFUSING,   /* waits for the ledger to confirm that it never ran */
    MG_REQ_RECORDING,  /* the final record is in flight */
    MG_REQ_RETAINED,   /* finished; response retained for retries */
    MG_REQ_ABANDONED,  /* refused while its claim was in flight */
} mg_request_state;

/* validated parameters of a client's request */
typedef struct mg_request_params {
    char workspace[MG_NAME_SIZE];
    char member[MG_NAME_SIZE]; /* credited with the request */
    char pool[MG_NAME_SIZE];
    char route[MG_NAME_SIZE];
    char path[MG_TEXT_SIZE];         /* at the target */
    char key[MG_TEXT_SIZE];          /* idempotency key, empty for none */
    char digest[MG_HEX_SHA256_SIZE]; /* of path and body */
    unsigned tier;
    uint32_t weight;
    uint32_t prefill;     /* estimated tokens of the prompt */
    uint32_t decode;      /* maximum number of tokens of the response */
    uint64_t prefix;      /* hash of the prompt's start; 0: short prompt */
    uint64_t fingerprint; /* of workspace, path and body; never 0 */
    int64_t deadline_ms;  /* monotonic */
    bool stream;
    bool engine; /* targets support resuming and cancelling responses */
} mg_request_params;

typedef struct mg_request {
    UT_hash_handle hh;     /* mg_entry.requests, by id */
    struct list_head link; /* mg_entry.active or .retained */
    mg_entry *e;
    uint64_t id;
    /* identifies the claim: this attempt's id, or holder_nonce if it resumes
       the response of the attempt that holds the claim */
    uint64_t nonce;
    uint64_t gen; /* of the key, as read by the lookup */
    mg_request_state state;
    mg_http_req *http; /* NULL after the response or a disconnect */
    mg_request_params params;
    mg_buf body;
    bool claimed;         /* this attempt holds the claim in the ledger */
    uint64_t command_seq; /* of the command in flight, 0: none */
    /* ticket and grant */
    uint64_t attempt;
    int64_t ticket_ms;
    uint64_t pool_epoch;
    char target[MG_NAME_SIZE];
    char target_addr[MG_ADDR_SIZE];
    char version[MG_NAME_SIZE];
    uint64_t target_epoch;
    int64_t grant_until_ms;
    /* dispatch and response */
    mg_http_client_req *target_req;
    bool dispatched;
    int64_t resume_until_ms;
    int64_t resume_at_ms; /* 0: none scheduled */
    mg_response_reader response;
    size_t held;           /* bytes in e->response_memory */
    bool response_started; /* bytes were sent to the client */
    /* outcome, once known */
    mg_rc rc;
    mg_ran ran;
    int64_t retry_ms;
    /* the client is answered by then, even if the outcome is not recorded */
    int64_t final_until_ms;
    bool replied; /* the client has its response or refusal */
    /* another attempt that holds the claim of this key; its response is
       requested from its entry (holder), or from targets if that is lost */
    char holder[MG_NAME_SIZE];
    uint64_t holder_incarnation;
    uint64_t holder_nonce;
    int64_t join_ms;    /* time of the last JOIN or LOCATE, or of the claim */
    bool slot_released; /* returned before the claim was granted */
    char *addrs;        /* targets that may have the response; owned */
    char *next_addr;    /* in addrs: next one to try */
    int64_t retained_until_ms;
    uint64_t started_us;
    uint64_t dispatched_us;
    uint64_t first_byte_us;
} mg_request;

/* a pool's scheduler that runs on this entry */
typedef struct mg_local_sched {
    UT_hash_handle hh;
    char pool[MG_NAME_SIZE];
    mg_sched *sched;
    bool dirty; /* mg_sched_run() is needed */
} mg_local_sched;

/* the scheduler epoch to which a pool's requests were last sent */
typedef struct mg_pool_sync {
    UT_hash_handle hh;
    char pool[MG_NAME_SIZE];
    uint64_t epoch;
} mg_pool_sync;

/* another entry */
typedef struct mg_peer {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE];
    uint64_t incarnation;
    int64_t last_up_ms; /* time the link was last up */
    bool expired;       /* its tickets and slots were dropped */
    /* send time of the latest query to which it replied that its lease has
       expired */
    int64_t unleased_ms;
} mg_peer;

/* completed requests of a member that are not yet submitted */
typedef struct mg_credit {
    UT_hash_handle hh;
    char member[MG_NAME_SIZE];
    uint64_t count;
} mg_credit;

/* a target's announcement that waits for the scheduler's reply */
typedef struct mg_pending_announcement {
    UT_hash_handle hh;
    uint64_t seq;
    mg_entry *e;
    mg_http_req *http;
    int64_t deadline_ms;
} mg_pending_announcement;

/* stages of this entry's drain; the numbers are those of mg_drain_state */
typedef enum mg_drain_stage {
    MG_STAGE_SERVING,
    MG_STAGE_DRAINING,  /* not in the list of entry addresses, still serving */
    MG_STAGE_FINISHING, /* schedulers handed over, new requests refused */
} mg_drain_stage;

struct mg_entry {
    mg_sched_callbacks
        sched_callbacks; /* first: callbacks cast it to mg_entry */
    uv_loop_t *loop;
    uv_timer_t timer;
    mg_clock *clock;
    mg_settings settings;
    uint64_t incarnation;
    mg_net *net;
    mg_http_server *http;
    mg_control_link *control;
    mg_view *view;
    mg_request *requests;
    size_t open_requests;
    struct list_head active;   /* not retained; checked each tick */
    struct list_head retained; /* oldest first */
    size_t retained_bytes;
    mg_response_memory response_memory; /* of the active requests */
    mg_local_sched *scheds;
    mg_peer *peers;
    mg_pool_sync *syncs;
    mg_buf mailbox; /* encoded messages from this entry to itself */
    mg_pending_announcement *announcements;
    uint64_t next_seq;
    mg_credit *credits;
    uint64_t credit_seq;
    bool credits_in_flight; /* one batch at a time */
    int64_t next_credits_ms;
    int64_t
        without_control_until_ms; /* may serve without a lease until then */
    int64_t next_lease_query_ms;
    mg_drain_stage stage;
    int64_t stage_until_ms;
    bool stopped;
};

/* entry.c */
/* Whether the entry may serve: it holds a lease, or its permission to serve
   without one (see without_control.c) has not expired. */
bool
mg_entry_serving(const mg_entry *e);
/* Sends to an entry, which may be this one. */
void
mg_entry_send(mg_entry *e, const char *node, const mg_msg *m);
/* Credits a member with a completed request that has no idempotency key. */
void
mg_entry_add_credit(mg_entry *e, const char *member);
/* JSON list of the serving entries; borrowed from out. */
mg_str
mg_entry_addresses(mg_entry *e, mg_buf *out);
/* Finds or creates the state kept about another entry. */
mg_peer *
mg_entry_peer(mg_entry *e, const char *node);

/* front.c */
void
mg_front_on_request(void *entry, mg_http_req *http);
void
mg_front_announce_rep(mg_entry *e, const mg_announce_rep_msg *m);
void
mg_front_tick(mg_entry *e);
/* Sends an error response; text may be NULL. */
void
mg_front_refuse(mg_http_req *http, mg_rc rc, mg_ran ran, int64_t retry_ms,
                const char *text);

/* request.c */
void
mg_request_begin(mg_entry *e, mg_http_req *http,
                 const mg_request_params *params);
void
mg_request_grant(mg_entry *e, const mg_grant_msg *m);
/* Sheds one waiting request of a tier below tier; false when none waits. */
bool
mg_request_shed_lower_tier(mg_entry *e, unsigned tier);
void
mg_request_shed(mg_entry *e, const mg_shed_msg *m);
void
mg_request_join(mg_entry *e, const char *peer, const mg_join_msg *m);
void
mg_request_join_rep(mg_entry *e, const mg_join_rep_msg *m);
void
mg_request_locate_rep(mg_entry *e, const mg_locate_rep_msg *m);
void
mg_request_tick(mg_entry *e);
/*
 * Sends the pool's tickets and held grants to its scheduler, if that has a new
 * epoch.
 */
void
mg_request_resync(mg_entry *e, const char *pool);

/* pools.c */
void
mg_pools_init(mg_entry *e);
void
mg_pools_view_changed(mg_entry *e);
void
mg_pools_receive(mg_entry *e, const char *peer, const mg_msg *m);
void
mg_pools_tick(mg_entry *e);
/* Runs the local schedulers whose state has changed. */
void
mg_pools_run_dirty(mg_entry *e);
/* Stops all local schedulers. */
void
mg_pools_stop(mg_entry *e);
/* Sends to the scheduler of a pool; MG_E_NO_LEASE if none is known. */
mg_rc
mg_pools_send(mg_entry *e, const char *pool, const mg_msg *m);
/* Epoch of the pool's scheduler, 0 if none is known. */
uint64_t
mg_pools_epoch(const mg_entry *e, const char *pool);

/* without_control.c */
void
mg_without_control_tick(mg_entry *e);
void
mg_without_control_on_query(mg_entry *e, const char *peer,
                            const mg_fresh_req_msg *m);
void
mg_without_control_on_reply(mg_entry *e, const char *peer,
                            const mg_fresh_rep_msg *m);

#endif
