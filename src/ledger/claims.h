/*
 * claims - which attempt may dispatch a keyed request
 *
 * A request is named by (workspace, idempotency key). Right before an entry
 * dispatches it, an attempt (a random nonce) claims it in the replicated
 * log; this table is what the log amounts to, and each call but peek is one
 * committed command.
 *
 * States of a request:
 *
 *     (none), RELEASED --claim---> HELD --final yes-----> ANSWERED
 *        |        ^                 |-----final unknown-> UNKNOWN
 *        `-refuse-+--<--final no----'
 *
 * Each refusal and each release begins a new generation. An attempt learns
 * the generation when it begins (peek) and may claim in that one only: so
 * once a caller was told "did not run", no attempt of before still runs it.
 *
 * What always holds:
 *  - at most one attempt holds a request at a time, and an attempt that has
 *    released it never holds it again;
 *  - once ANSWERED or UNKNOWN no attempt is granted any more;
 *  - after a refusal, only an attempt that began later is granted;
 *  - no clock is read: a claim does not expire.
 * An entry dispatches only under a granted claim and at most once for each
 * attempt, and it finalises "no" only for an attempt that it has not
 * dispatched; so each request is dispatched at most once.
 *
 * The table holds at most max requests; the oldest finished ones are
 * forgotten first. XXX: a request sent again after it was forgotten counts
 * as new, so max bounds how long a key protects.
 */
#ifndef MG_CLAIMS_H
#define MG_CLAIMS_H

#include "wire/msg.h"

#define MG_CLAIM_RESPONSE_MAX (16u << 10)

typedef enum mg_claim_result {
    MG_CLAIM_GRANTED,  /* this attempt may dispatch */
    MG_CLAIM_RUNNING,  /* another attempt holds it: see holder and nonce */
    MG_CLAIM_ANSWERED, /* status, and the answer when it was kept */
    MG_CLAIM_UNKNOWN,  /* was dispatched, outcome unknown */
    MG_CLAIM_MISMATCH, /* the key was used for a different request */
    MG_CLAIM_RELEASED, /* nobody holds it, and it never ran */
    MG_CLAIM_FULL,     /* no room: too many unfinished requests */
} mg_claim_result;

/* strings are borrowed from the table until its next call */
typedef struct mg_claim_reply {
    mg_claim_result result;
    mg_str holder;
    uint64_t incarnation;
    uint64_t nonce;
    uint64_t gen;
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
/* What a claim would find; changes nothing. */
void
mg_claims_peek(const mg_claims *c, const mg_cmd_claim_msg *cmd,
               mg_claim_reply *reply);
/*
 * Makes "did not run" final: MG_CLAIM_RELEASED when no attempt holds or has
 * run the request, and then none that began before may. Else what a claim
 * would find.
 */
void
mg_claims_refuse(mg_claims *c, const mg_cmd_refuse_msg *cmd,
                 mg_claim_reply *reply);
/*
 * Ends an attempt. MG_OK also when the same end was recorded before;
 * MG_E_NOT_FOUND or MG_E_KEY_REUSED when this attempt holds nothing.
 * *first is set when this call recorded the answer, so that it is credited
 * once.
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
void
mg_claims_load(mg_claims *c, const mg_snap_claim_msg *m);

#endif
