/*
 * answer - what has come of a target's answer
 *
 * An answer may come over several connections: when one is cut or silent,
 * the next reads on from the offset that has been received. Bytes given to
 * the caller are therefore always a prefix of the target's answer, without
 * gap or double.
 *
 * An answer is whole only when its framing ended and, for a stream of
 * events, its closing event came. Where the framing can't prove the end
 * (MG_HTTP_NO_LAST_CHUNK), the closing event or a JSON value that parses must.
 */
#ifndef MG_ANSWER_H
#define MG_ANSWER_H

#include "base/check.h"
#include "wire/http.h"

#define MG_ANSWER_TAIL 16

typedef struct mg_answer {
    int status; /* 0 until the first head came */
    char type[MG_NAME_SIZE];
    bool not_run;        /* the target's own word */
    bool resuming;       /* the present connection reads on */
    bool resume_refused; /* the target does not have the stream */
    uint64_t received;
    uint32_t events; /* of a stream */
    char tail[MG_ANSWER_TAIL];
    mg_buf body; /* owned; as far as it is kept */
} mg_answer;

typedef enum mg_answer_end {
    MG_ANSWER_WHOLE,
    MG_ANSWER_NOT_RUN,
    MG_ANSWER_MORE, /* ended early: read on from received */
    MG_ANSWER_CUT,  /* ended early, the target has no more of it */
} mg_answer_end;

/* A connection is opened, to read on when resume is set. */
void
mg_answer_connect(mg_answer *a, bool resume);
void
mg_answer_head(mg_answer *a, int status, mg_str type, bool not_run);
/*
 * Takes bytes, and keeps them in body when keep is set. False when they are
 * no part of the answer (the text of a refused resume).
 */
bool
mg_answer_data(mg_answer *a, mg_str data, bool keep);
mg_answer_end
mg_answer_ended(const mg_answer *a, mg_http_result end);
/* Nothing came: as before the first connection. */
void
mg_answer_reset(mg_answer *a);
void
mg_answer_free(mg_answer *a);

#endif
