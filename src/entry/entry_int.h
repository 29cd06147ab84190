/*
 * entry_int - what the parts of an entry share
 *
 * front.c    HTTP of callers and targets, admission
 * request.c  the life of a request: ticket, dispatch, answer, final
 * keyed.c    what the ledger says of a keyed request; resends
 * pools.c    the schedulers held here, messages to those held elsewhere
 * fresh.c    serving while the control group is lost
 * entry.c    set-up, drain, credits
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

typedef enum mg_request_state {
    MG_REQ_LOOKUP,     /* asks the ledger what it knows of the key */
    MG_REQ_JOINING,    /* another attempt holds it: its answer is awaited */
    MG_REQ_WAITING,    /* ticket at the scheduler */
    MG_REQ_CLAIMING,   /* granted; the claim is on its way */
    MG_REQ_CONNECTING, /* claimed, not yet written to the target */
    MG_REQ_RUNNING,    /* dispatched */
    MG_REQ_REFUSING,   /* the ledger's word that it did not run is awaited */
    MG_REQ_RECORDING,  /* the final record is on its way */
    MG_REQ_RETAINED,   /* over; kept for resends */
    MG_REQ_ABANDONED,  /* refused before its claim was answered */
} mg_request_state;

/* what a caller asked for, checked */
typedef struct mg_request_params {
    char workspace[MG_NAME_SIZE];
    char member[MG_NAME_SIZE];
    char pool[MG_NAME_SIZE];
    char route[MG_NAME_SIZE];
    char path[MG_TEXT_SIZE]; /* at the target */
    char key[MG_TEXT_SIZE];  /* idempotency key, empty for none */
    char digest[MG_HEX_SHA256_SIZE];
    unsigned tier;
    uint32_t weight;
    uint32_t prefill;
    uint32_t decode;
    uint64_t prefix;
    uint64_t fingerprint;
    int64_t deadline_ms; /* monotonic */
    bool stream;
    bool engine; /* its answers can be resumed and cancelled */
} mg_request_params;

typedef struct mg_request {
    UT_hash_handle hh;     /* mg_entry.requests, by id */
    struct list_head link; /* mg_entry.waiting or .kept */
    mg_entry *e;
    uint64_t id;
    uint64_t nonce; /* of the claim: the own id, or another attempt's */
    uint64_t gen;   /* of the key when this attempt began */
    mg_request_state state;
    mg_http_req *http; /* NULL when the caller left or was answered */
    mg_request_params params;
    mg_buf body;
    bool claimed; /* this attempt holds the claim */
    uint64_t command_seq;
    /* ticket and grant */
    uint64_t attempt;
    int64_t ticket_ms;
    uint64_t pool_epoch;
    char target[MG_NAME_SIZE];
    char target_addr[MG_ADDR_SIZE];
    char version[MG_NAME_SIZE];
    uint64_t target_epoch;
    int64_t grant_until_ms;
    /* dispatch and answer */
    mg_http_client_req *call;
    bool dispatched;
    int64_t resume_until_ms;
    int64_t resume_at_ms; /* 0: none is due */
    mg_response_head response;
    bool response_started; /* bytes went to the caller */
    /* refusal or end, once known */
    mg_rc rc;
    mg_ran ran;
    int64_t retry_ms;
    int64_t final_until_ms; /* the caller waits no longer for the record */
    bool replied;
    /* another attempt's answer */
    char holder[MG_NAME_SIZE];
    uint64_t holder_incarnation;
    uint64_t holder_nonce;
    int64_t join_ms;
    bool slot_released; /* the claim took longer than the grant was valid */
    char *addrs;        /* targets still to be asked for the answer; owned */
    char *next_addr;    /* in addrs */
    int64_t retained_until_ms;
    uint64_t started_us;
    uint64_t dispatched_us;
    uint64_t first_byte_us;
} mg_request;

typedef struct mg_local_sched {
    UT_hash_handle hh;
    char pool[MG_NAME_SIZE];
    mg_sched *sched;
    bool dirty;
} mg_local_sched;

/* the holder's epoch that a pool's requests were last sent to */
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
    int64_t last_up_ms;  /* a link was last seen up */
    bool expired;        /* schedulers have dropped what it held */
    int64_t unleased_ms; /* said to hold no lease when asked then */
} mg_peer;

typedef struct mg_credit {
    UT_hash_handle hh;
    char member[MG_NAME_SIZE];
    uint64_t count;
} mg_credit;

/* a target's announcement that waits for the scheduler's answer */
typedef struct mg_announcement {
    UT_hash_handle hh;
    uint64_t seq;
    mg_entry *e;
    mg_http_req *http;
    int64_t until_ms;
} mg_announcement;

typedef enum mg_drain_stage {
    MG_STAGE_SERVING,
    MG_STAGE_LEAVING,   /* out of the addresses, still serving */
    MG_STAGE_FINISHING, /* schedulers handed over, no new requests */
} mg_drain_stage;

struct mg_entry {
    mg_sched_callbacks sched_callbacks; /* first: schedulers give it back */
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
    struct list_head active;   /* requests with a clock on them */
    struct list_head retained; /* oldest first */
    size_t retained_bytes;
    mg_local_sched *scheds;
    mg_peer *peers;
    mg_pool_sync *syncs;
    mg_buf mailbox; /* frames to this entry itself */
    mg_announcement *announcements;
    uint64_t next_seq;
    mg_credit *credits;
    uint64_t credit_seq;
    bool credits_in_flight; /* a batch is on its way */
    int64_t next_credits_ms;
    int64_t fresh_until_ms;
    int64_t next_fresh_ms;
    mg_drain_stage stage;
    int64_t stage_until_ms;
    bool stopped;
};

/* entry.c */
bool
mg_entry_serving(const mg_entry *e);
void
mg_entry_send(mg_entry *e, const char *node, const mg_msg *m);
void
mg_entry_add_credit(mg_entry *e, const char *member);
mg_str
mg_entry_addresses(mg_entry *e, mg_buf *out);

mg_peer *
mg_entry_peer(mg_entry *e, const char *node);

/* front.c */
void
mg_front_http(void *entry, mg_http_req *http);
void
mg_front_announce_rep(mg_entry *e, const mg_announce_rep_msg *m);
void
mg_front_tick(mg_entry *e);
void
mg_front_refuse(mg_http_req *http, mg_rc rc, mg_ran ran, int64_t retry_ms,
                const char *text);

/* request.c */
void
mg_request_begin(mg_entry *e, mg_http_req *http, const mg_request_params *a);
void
mg_request_grant(mg_entry *e, const mg_grant_msg *m);
/* Sheds a waiting request of a lower tier; false when there is none. */
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
/* The pool has another holder or epoch: tickets and held grants go there. */
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
void
mg_pools_run_dirty(mg_entry *e);
void
mg_pools_stop(mg_entry *e);
/* Sends to the scheduler of a pool; MG_E_NO_LEASE when none is known. */
mg_rc
mg_pools_send(mg_entry *e, const char *pool, const mg_msg *m);
uint64_t
mg_pools_epoch(const mg_entry *e, const char *pool);

/* fresh.c */
void
mg_fresh_tick(mg_entry *e);
void
mg_fresh_request(mg_entry *e, const char *peer, const mg_fresh_req_msg *m);
void
mg_fresh_reply(mg_entry *e, const char *peer, const mg_fresh_rep_msg *m);

#endif
