/*
 * state - the replicated state machine of the control group
 *
 * It holds
 *  - records: (kind, key) to a value, each with the revision of its last
 *    change. A reader that has all up to revision r catches up by taking
 *    the records changed after r, oldest change first;
 *  - the claims of keyed requests (ledger/claims.h);
 *  - credits: answered requests by member.
 *
 * mg_state_apply() is a function of the state and the command only: no
 * clock, no random numbers, so that all members agree.
 *
 * Sections of the operators' document are records. A command brings one or
 * more sections, which are accepted all or none:
 *  - a version above the current one is accepted;
 *  - a known version with the same digest changes nothing and gets the
 *    revision of its first acceptance, also after it was superseded;
 *  - a known version with another digest is MG_E_VERSION_CONFLICT, an older
 * unknown one MG_E_VERSION_STALE;
 *  - the command names the revision that it was checked against;
 *    MG_E_DOCUMENT_CHANGED when a section has changed since.
 * XXX: the last MG_SECTION_HISTORY_MAX versions of a section are known.
 */
#ifndef MG_STATE_H
#define MG_STATE_H

#include "ledger/claims.h"

#define MG_SECTION_HISTORY_MAX 64
/* base_rev of a document command that goes by its versions alone */
#define MG_BASE_REV_ANY UINT64_MAX

typedef struct mg_state mg_state;

typedef struct mg_apply_reply {
    mg_rc rc;
    uint64_t rev; /* of the change, or of the first equal one */
    mg_claim_reply claim;
    char text[256]; /* why, for people */
} mg_apply_reply;

mg_state *
mg_state_new(size_t claims_max);
void
mg_state_free(mg_state *s);
/* Malformed commands are MG_E_INPUT and change nothing. */
void
mg_state_apply(mg_state *s, mg_str command, mg_apply_reply *reply);
/* What a claim would find now; changes nothing. */
void
mg_state_peek(const mg_state *s, const mg_cmd_claim_msg *cmd,
              mg_claim_reply *reply);

uint64_t
mg_state_rev(const mg_state *s);
/* revision of the last change to a section */
uint64_t
mg_state_document_rev(const mg_state *s);
/* Value borrowed until the next change; false when there is none. */
bool
mg_state_get(const mg_state *s, mg_record_kind kind, mg_str key, mg_str *value,
             uint64_t *rev);
/* Calls f for each record of a kind, oldest change first. */
void
mg_state_each(const mg_state *s, mg_record_kind kind,
              void (*f)(void *user, mg_str key, mg_str value, uint64_t rev),
              void *user);
/*
 * Appends RECORD messages changed after rev, oldest change first, up to
 * about max bytes. Returns the revision that the reader then has.
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
/* Replaces the whole state; MG_E_CORRUPT leaves it empty. */
mg_rc
mg_state_load(mg_state *s, mg_str snapshot);

#endif
