/*
 * state - the replicated state machine of the control group
 *
 * It holds
 *  - records: a map from (kind, key) to a value and the revision of its last
 *    change. A reader that has all changes up to revision r catches up by
 *    reading the records changed after r, oldest change first;
 *  - the claims of keyed requests (ledger/claims.h);
 *  - credits: the number of completed requests per member.
 *
 * mg_state_apply() depends on the state and the command only, not on clocks
 * or random numbers, so all members of the group compute the same state.
 *
 * Each section of the operators' document is a record. A command contains
 * one or more sections, which are accepted all or none:
 *  - a version above the current one is accepted;
 *  - a known version with the same digest changes nothing; the reply has the
 *    revision of its first acceptance, even if it has been superseded;
 *  - a known version with another digest is MG_E_VERSION_CONFLICT, an older
 *    unknown one MG_E_VERSION_STALE;
 *  - the command names the document revision that it was checked against;
 *    MG_E_DOCUMENT_CHANGED when a section has changed since.
 * XXX: only the last MG_SECTION_HISTORY_MAX versions of a section are known.
 */
#ifndef MG_STATE_H
#define MG_STATE_H

#include "ledger/claims.h"

#define MG_SECTION_HISTORY_MAX 64
/* base_rev that skips the MG_E_DOCUMENT_CHANGED check; versions are still
 * checked */
#define MG_BASE_REV_ANY UINT64_MAX

typedef struct mg_state mg_state;

typedef struct mg_apply_reply {
    mg_rc rc;
    /* revision of this change; if the version was accepted before, the
       revision of its first acceptance */
    uint64_t rev;
    mg_claim_reply claim;
    char text[256]; /* reason of a refusal, for operators */
} mg_apply_reply;

mg_state *
mg_state_new(size_t claims_max);
void
mg_state_free(mg_state *s);
/*
 * Applies a committed command. Malformed ones are MG_E_INPUT and change
 * nothing. Strings in the reply are borrowed until the next call.
 */
void
mg_state_apply(mg_state *s, mg_str command, mg_apply_reply *reply);
/* The result that a claim would have now; changes nothing. */
void
mg_state_peek(const mg_state *s, const mg_cmd_claim_msg *cmd,
              mg_claim_reply *reply);

uint64_t
mg_state_rev(const mg_state *s);
/* Revision of the last change to a section. */
uint64_t
mg_state_document_rev(const mg_state *s);
/* The value is borrowed until the next change. False when not found. */
bool
mg_state_get(const mg_state *s, mg_record_kind kind, mg_str key, mg_str *value,
             uint64_t *rev);
/* Calls f for each record of a kind, oldest change first. */
void
mg_state_each(const mg_state *s, mg_record_kind kind,
              void (*f)(void *user, mg_str key, mg_str value, uint64_t rev),
              void *user);
/*
 * Appends the records changed after rev to out as RECORD messages, oldest
 * change first, and stops after about max bytes, but not within a revision.
 * Returns the revision that the reader has after applying them.
 */
uint64_t
mg_state_changes(const mg_state *s, uint64_t rev, size_t max, mg_buf *out);
void
mg_state_each_credit(const mg_state *s,
                     void (*f)(void *user, const char *member, uint64_t count),
                     void *user);
size_t
mg_state_claim_count(const mg_state *s);

void
mg_state_save(const mg_state *s, mg_buf *out);
/* Replaces the whole state. On MG_E_CORRUPT the state is empty. */
mg_rc
mg_state_load(mg_state *s, mg_str snapshot);

#endif
