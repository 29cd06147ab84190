/*
 * outcome - typed results of operations and of requests
 *
 * Every operation that can fail returns an mg_rc; details for people go into
 * an mg_error. The short name of a code is stable: it stands in refusals to
 * callers, in logs and in the output of marigoldctl.
 *
 * Out of memory is not an outcome: mg_alloc() stops the process, as the
 * state could not be kept consistent after it.
 */
#ifndef MG_OUTCOME_H
#define MG_OUTCOME_H

#include <stddef.h>
#include <stdint.h>

/* code, stable name, HTTP status when it refuses a request */
#define MG_RC_LIST(X)                                     \
    X(MG_OK, "ok", 200)                                   \
    X(MG_E_INPUT, "bad_request", 400)                     \
    X(MG_E_WRONG_KEY, "wrong_key", 401)                   \
    X(MG_E_NOT_OWNER, "not_owner", 403)                   \
    X(MG_E_NOT_FOUND, "not_found", 404)                   \
    X(MG_E_VERSION_CONFLICT, "version_conflict", 409)     \
    X(MG_E_VERSION_STALE, "version_stale", 409)           \
    X(MG_E_DOCUMENT_CHANGED, "document_changed", 409)     \
    X(MG_E_IN_PROGRESS, "in_progress", 409)               \
    X(MG_E_KEY_REUSED, "key_reused", 422)                 \
    X(MG_E_KEY_REQUIRED, "idempotency_key_required", 400) \
    X(MG_E_TOO_LARGE, "too_large", 413)                   \
    X(MG_E_QUARANTINED, "quarantined", 422)               \
    X(MG_E_OVERLOAD, "overloaded", 429)                   \
    X(MG_E_DEADLINE, "deadline", 504)                     \
    X(MG_E_NO_TARGET, "no_target", 503)                   \
    X(MG_E_NO_LEASE, "no_lease", 503)                     \
    X(MG_E_NO_LEADER, "no_leader", 503)                   \
    X(MG_E_NO_QUORUM, "no_quorum", 503)                   \
    X(MG_E_DRAINING, "draining", 503)                     \
    X(MG_E_TARGET_FAILED, "target_failed", 502)           \
    X(MG_E_OUTCOME_UNKNOWN, "outcome_unknown", 502)       \
    X(MG_E_INFEASIBLE, "infeasible", 422)                 \
    X(MG_E_IO, "io", 500)                                 \
    X(MG_E_CORRUPT, "corrupt", 500)                       \
    X(MG_E_CLOSED, "closed", 500)

typedef enum mg_rc {
#define X(code, name, http) code,
    MG_RC_LIST(X)
#undef X
} mg_rc;

/* Whether a request that failed may have run at a target. */
typedef enum mg_ran {
    MG_RAN_NO,      /* was not and will not be dispatched */
    MG_RAN_UNKNOWN, /* dispatched, outcome unknown */
    MG_RAN_YES,     /* answered */
} mg_ran;

typedef struct mg_error {
    mg_rc code;
    char text[512];
} mg_error;

/* Stable name of a code; never NULL. */
const char *
mg_rc_name(mg_rc rc);
/* HTTP status for a refusal with this code. */
int
mg_rc_http_status(mg_rc rc);
/* "no", "unknown" or "yes". */
const char *
mg_ran_name(mg_ran ran);
/* Fills an error (may be NULL) and returns its code. */
mg_rc
mg_fail(mg_error *err, mg_rc code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Zeroed memory; stops the process when there is none. Owner frees. */
void *
mg_alloc(size_t size);
void *
mg_realloc(void *p, size_t size);
char *
mg_strdup(const char *s);
char *
mg_strndup(const char *s, size_t n);

/* Stops the process: an invariant of the program itself is broken. */
#define MG_INVARIANT(cond) \
    ((cond) ? (void)0 : mg_invariant_failed(#cond, __FILE__, __LINE__))
void
mg_invariant_failed(const char *cond, const char *file, int line)
    __attribute__((noreturn));

#endif
