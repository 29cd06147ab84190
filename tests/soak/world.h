/*
 * world - what the soak's clients send, its targets run, and what must hold
 *
 * Each attempt of a client has a number, which is its id. The record of an
 * attempt is written by the client that sends it and by the targets that it
 * reaches; soak_check() reads it after the end.
 *
 * REFUSED: an order that ran is answered as not run; TWICE: it ran twice.
 * MIXED: an answer isn't the one to its attempt, or looks complete though the
 * target broke off in a way that shows, or more so than what the target sent.
 * ORDER: so of streams, and pieces are missing, doubled or joined. WHOLE: too
 * few of the whole answers in a framing arrive. QUOTA: too many requests run.
 */
#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "answer.h"
#include "net.h"

#define SOAK_ATTEMPTS_MAX (1u << 19)
#define SOAK_TARGETS_MAX 8

/* the workspace with a quota, and its limits */
#define SOAK_QUOTA_RATE 30000.0
#define SOAK_QUOTA_BURST 30000.0
#define SOAK_QUOTA_OVERAGE 0.1
#define SOAK_QUOTA_MARGIN 72000.0
#define SOAK_QUOTA_WINDOW_MS 8000
#define SOAK_TOKENS 3000

#define SOAK_BREAKS_MAX 8

/* what a client asks */
typedef struct soak_kind {
    const char *name;
    const char *route_type;
    bool is_order;   /* must not run more than once */
    bool has_quota;  /* belongs to the workspace with a quota */
    bool is_stream;  /* has events; may be resumed if it may run twice */
    double uploads;  /* the part that has a long body */
    double pause_ms; /* the most between two attempts of a client */
} soak_kind;

typedef struct soak_attempt {
    const soak_kind *kind;
    int status; /* that the client got; 0: no whole response */
    int64_t sent_ms;
    int64_t ran_ms; /* first run */
    unsigned runs;
    unsigned refusals; /* by targets */
    unsigned copies;   /* late copies of refusals that were written */
    soak_seen seen;    /* by the client */
    soak_run answers[SOAK_RUNS_MAX]; /* to the first runs */
} soak_attempt;

/* parts of the requests, changed while targets serve */
typedef struct soak_doses {
    volatile double refused;     /* turned away as not run */
    volatile double copied_late; /* responses written twice, late */
    volatile double lost;        /* run, then the connection is closed */
    volatile double failed;      /* run, then status 500 */
    volatile int work_ms;
} soak_doses;

extern soak_doses soak_dose;
extern soak_break soak_breaks[SOAK_BREAKS_MAX];
extern soak_attempt *soak_attempts;

/* Prints a line with the time since the start. */
void
soak_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
void
soak_open_record(void);
/* Returns the number of a new attempt, 0 if there are too many. */
unsigned
soak_new_attempt(const soak_kind *kind);
/* A number in [0, 1), from a generator of the calling thread. */
double
soak_draw(void);
/* Starts targets of service "app" on consecutive ports; they announce
   themselves at the control addresses. */
void
soak_start_targets(int count, const char *ip, int port,
                   char (*controls)[SOAK_ADDR_SIZE], int control_count);
/* Closes a target's connections and refuses new ones for a time; it is back
   as another instance. */
void
soak_crash_target(int target, int ms);
/* Prints each violation and the counts; returns the number of violations.
   strict: REFUSED, QUOTA and answers that look complete too early count. */
unsigned
soak_check(bool strict);

#endif
