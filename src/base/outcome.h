/*
 * outcome - result codes of operations and requests, and allocation
 *
 * Every operation that can fail returns an mg_rc; a readable message goes
 * into an mg_error. The name of a code is stable: clients receive it with a
 * refusal, and logs and marigoldctl print it.
 *
 * There is no code for out of memory: mg_alloc() aborts the process, because
 * its state could not be kept consistent.
 */
#ifndef MG_OUTCOME_H
#define MG_OUTCOME_H

#include <stddef.h>
#include <stdint.h>

/* arguments of X: code, its stable name, and the HTTP status of a request that
   is refused with this code */
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
    MG_RAN_YES,     /* the target responded */
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
/* Fills err, unless it is NULL, and returns code. */
mg_rc
mg_fail(mg_error *err, mg_rc code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Zeroed memory, to be freed with free(). This function and the next three
   abort the process when there is no memory. */
void *
mg_alloc(size_t size);
void *
mg_realloc(void *p, size_t size);
char *
mg_strdup(const char *s);
char *
mg_strndup(const char *s, size_t n);

/* Aborts the process unless cond, an invariant of the program, holds. */
#define MG_INVARIANT(cond) \
    ((cond) ? (void)0 : mg_invariant_failed(#cond, __FILE__, __LINE__))
void
mg_invariant_failed(const char *cond, const char *file, int line)
    __attribute__((noreturn));

#endif
