/*
 * answer - what the soak's targets answer, how they break off, and what a
 * client sees of it
 *
 * A body consists of pieces with ids from 1 on, which are the events of a
 * stream. It follows from the number of the attempt, so that all runs give the
 * same one; only, each piece names its run, and the id after which it began.
 */
#ifndef SOAK_ANSWER_H
#define SOAK_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net.h"

#define SOAK_PIECE_BYTES_MAX 20480
#define SOAK_RUNS_MAX 4 /* of an attempt, that are recorded */

/* SOAK_TO_END: delimited by the end of the connection */
typedef enum soak_framing {
    SOAK_LENGTH,
    SOAK_CHUNKS,
    SOAK_TO_END,
    SOAK_FRAMINGS
} soak_framing;

typedef enum soak_place {
    SOAK_BEFORE_HEAD,
    SOAK_IN_HEAD,
    SOAK_IN_BODY,
    SOAK_BETWEEN_PIECES,
    SOAK_IN_PIECE,
    SOAK_BEFORE_END, /* all but the last chunk, or the last byte */
    SOAK_AT_CRASH,   /* wherever the answer was; by a FIN */
    SOAK_PLACES,
} soak_place;

/* SOAK_SILENT: first nothing, then a reset */
typedef enum soak_way { SOAK_FIN, SOAK_RST, SOAK_SILENT, SOAK_WAYS } soak_way;
/* SOAK_LEFT: the caller left, or there is no answer */
typedef enum soak_state { SOAK_LEFT, SOAK_WHOLE, SOAK_BROKEN } soak_state;

/* the answer of one run */
typedef struct soak_run {
    uint8_t state;
    uint8_t framing;
    uint8_t place;
    uint8_t way;
    bool is_early; /* the request was not read to its end */
    bool has_head;
    uint16_t sent; /* id of the last whole piece */
    uint32_t rest; /* bytes of the next one */
} soak_run;

/* a fault: targets that break off */
typedef struct soak_break {
    int target; /* -1: all */
    soak_place place;
    soak_way way;
    double share; /* of the answers */
    int silent_ms;
    int64_t until_ms;
} soak_break;

/* an answer that is to be written */
typedef struct soak_answer {
    unsigned attempt;
    unsigned run;
    bool is_stream;
    unsigned after;   /* the last piece that isn't sent */
    size_t unread;    /* bytes of the request that are not read yet */
    bool is_cut;      /* the target breaks off */
    soak_break fault; /* as this says */
    char *copy;       /* out: a small answer that has another end, or "" */
} soak_answer;

typedef enum soak_end {
    SOAK_END_CUT,      /* does not look complete */
    SOAK_END_FIN,      /* ends with the connection, by a FIN */
    SOAK_END_PROMISED, /* whole by its length or its last chunk */
} soak_end;

typedef struct soak_seen {
    int status; /* 0: there was no whole head */
    soak_end end;
    unsigned got;       /* id of the last whole piece of the body */
    size_t rest;        /* bytes after it */
    bool is_wrong;      /* not this attempt's answer, or no answer */
    bool is_disordered; /* pieces that are not this body's next ones */
    bool closes;        /* the connection can't be used again */
} soak_seen;

extern const char *const soak_framing_names[SOAK_FRAMINGS];
extern const char *const soak_place_names[SOAK_PLACES];
extern const char *const soak_way_names[SOAK_WAYS];

unsigned
soak_piece_count(unsigned attempt);
/* Writes a piece to out (SOAK_PIECE_BYTES_MAX), with a NUL. Returns its size,
   which does not depend on the run. */
size_t
soak_piece(unsigned attempt, bool is_stream, unsigned id, unsigned run,
           unsigned after, char *out);
/* Writes an answer in a framing that is drawn, and records it. Returns whether
   the connection stays open. */
bool
soak_write_answer(soak_conn *c, soak_answer *a, soak_run *run);
/* Reads the answer to an attempt; m: room for it. */
void
soak_see(soak_conn *c, soak_message *m, unsigned attempt, bool is_stream,
         soak_seen *seen);

#endif
