/*
 * claims - which attempt may dispatch a keyed request
 *
 * A request is identified by (workspace, idempotency key). Right before an
 * entry dispatches it, an attempt (a random nonce) claims it in the replicated
 * log. This table is the state that the log's commands produce; each call
 * except peek applies one committed command.
 *
 * States of a request:
 *
 *     (none), RELEASED --claim---> HELD --final yes-----> ANSWERED
 *        |        ^                 |-----final unknown-> UNKNOWN
 *        `-refuse-+--<--final no----'
 *
 * Each refusal and each release starts a new generation. An attempt reads
 * the generation when it starts (peek) and its claim is granted in that
 * generation only. So once a client has received "did not run", no earlier
 * attempt can still run the request.
 *
 * Invariants:
 *  - at most one attempt holds a request at a time, and an attempt that has
 *    released it never holds it again;
 *  - an ANSWERED or UNKNOWN request is never granted again;
 *  - after a refusal, only an attempt that started later is granted;
 *  - no clock is read: a claim does not expire.
 * An entry dispatches only under a granted claim and at most once per
 * attempt, and it records "no" only for an attempt that it has not
 * dispatched; so each request is dispatched at most once.
 *
 * The table holds at most max requests; the oldest finished ones are evicted
 * first. XXX: a request that is retried after its eviction counts as new, so
 * max bounds how long an idempotency key protects.
 */
#ifndef MG_CLAIMS_H
#define MG_CLAIMS_H

#include "wire/msg.h"

/* bytes; longer responses are not stored */
#define MG_CLAIM_RESPONSE_MAX (16u << 10)

typedef enum mg_claim_result {
    MG_CLAIM_GRANTED,  /* this attempt may dispatch */
    MG_CLAIM_RUNNING,  /* held by another attempt: see holder and nonce */
    MG_CLAIM_ANSWERED, /* see status, and response if it was stored */
    MG_CLAIM_UNKNOWN,  /* dispatched, outcome unknown */
    MG_CLAIM_MISMATCH, /* the key was used for a different request */
    MG_CLAIM_RELEASED, /* held by no attempt, and has not run */
    MG_CLAIM_FULL,     /* table full of unfinished requests */
} mg_claim_result;

/* strings are borrowed from the table until the next call */
typedef struct mg_claim_reply {
    mg_claim_result result;
    mg_str holder;
    uint64_t incarnation;
    uint64_t nonce;
    uint64_t gen; /* generation */
    uint64_t status;
    mg_str response;
} mg_claim_reply;

typedef struct mg_claims mg_claims;

mg_claims *
mg_claims_new(size_t max);
void
mg_claims_free(mg_claims *c);

void
mg_claims_claim(mg_claims *c, const mg_cmd_claim_msg *cmd,
                mg_claim_reply *reply);
/* The result that a claim would have; changes nothing. */
void
mg_claims_peek(const mg_claims *c, const mg_cmd_claim_msg *cmd,
               mg_claim_reply *reply);
/*
 * Records that the request did not run, if no attempt holds or has run it: the
 * result is MG_CLAIM_RELEASED, and attempts that started before this call can
 * no longer be granted the claim. Otherwise the result is that of a claim.
 */
void
mg_claims_refuse(mg_claims *c, const mg_cmd_refuse_msg *cmd,
                 mg_claim_reply *reply);
/*
 * Records the outcome of an attempt. MG_OK also when the same outcome was
 * recorded before; MG_E_NOT_FOUND or MG_E_KEY_REUSED when the attempt does not
 * hold the request. *first is set when this call has recorded a response, so
 * that it is credited once.
 */
mg_rc
mg_claims_finalize(mg_claims *c, const mg_cmd_final_msg *cmd, bool *first);
size_t
mg_claims_count(const mg_claims *c);
const char *
mg_claim_result_name(mg_claim_result r);

/* Appends SNAP_CLAIM messages, oldest first. */
void
mg_claims_save(const mg_claims *c, mg_buf *out);
/* Adds a claim from a snapshot; to be called in the saved order. */
void
mg_claims_load(mg_claims *c, const mg_snap_claim_msg *m);

#endif
