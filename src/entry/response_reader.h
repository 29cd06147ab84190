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
#ifndef MG_RESPONSE_READER_H
#define MG_RESPONSE_READER_H

#include "base/check.h"
#include "wire/http.h"

#define MG_RESPONSE_TAIL_SIZE 16

typedef struct mg_response_head {
    int status; /* 0 until the first head came */
    char type[MG_NAME_SIZE];
    bool not_run;        /* the target's own word */
    bool resuming;       /* the present connection reads on */
    bool resume_refused; /* the target does not have the stream */
    uint64_t received;
    uint32_t events; /* of a stream */
    char tail[MG_RESPONSE_TAIL_SIZE];
    mg_buf body; /* owned; as far as it is kept */
} mg_response_head;

typedef enum mg_response_result {
    MG_RESPONSE_COMPLETE,
    MG_RESPONSE_NOT_RUN,
    MG_RESPONSE_RESUMABLE, /* ended early: read on from received */
    MG_RESPONSE_TRUNCATED, /* ended early, the target has no more of it */
} mg_response_result;

/* A connection is opened, to read on when resume is set. */
void
mg_response_reader_connect(mg_response_head *a, bool resume);
void
mg_response_reader_header(mg_response_head *a, int status, mg_str type,
                          bool not_run);
/*
 * Takes bytes, and keeps them in body when keep is set. False when they are
 * no part of the answer (the text of a refused resume).
 */
bool
mg_response_reader_data(mg_response_head *a, mg_str data, bool keep);
mg_response_result
mg_response_reader_classify(const mg_response_head *a, mg_http_result end);
/* Nothing came: as before the first connection. */
void
mg_response_reader_reset(mg_response_head *a);
void
mg_response_reader_free(mg_response_head *a);

#endif
