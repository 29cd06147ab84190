/*
 * response_reader - reassembly of a target's response
 *
 * A response may arrive over several connections: when one is aborted or
 * times out, the next resumes at the offset received so far. The bytes sent
 * to the client are therefore always a prefix of the target's response,
 * without gaps or repetitions.
 *
 * A response is complete once its framing has ended and, for an event
 * stream, its closing event was received.
 */
#ifndef MG_RESPONSE_READER_H
#define MG_RESPONSE_READER_H

#include "base/check.h"
#include "wire/http.h"

#define MG_RESPONSE_TAIL_SIZE 16

typedef struct mg_response_reader {
    int status; /* 0 until the first header section was received */
    char content_type[MG_NAME_SIZE];
    bool not_run;        /* the target reports that it did not run it */
    bool resuming;       /* the current connection continues the stream */
    bool resume_refused; /* the target no longer has the stream */
    uint64_t received;   /* bytes, over all connections */
    uint32_t events;     /* event terminators (blank lines) received */
    char tail[MG_RESPONSE_TAIL_SIZE]; /* the last bytes received */
    mg_buf body; /* owned; only the bytes passed with keep set */
} mg_response_reader;

typedef enum mg_response_result {
    MG_RESPONSE_COMPLETE,
    MG_RESPONSE_NOT_RUN,
    MG_RESPONSE_RESUMABLE, /* ended early; resume at received */
    MG_RESPONSE_TRUNCATED, /* ended early; the target has no more data */
} mg_response_result;

/*
 * Begins a connection; resume says that it continues the response at the
 * received offset.
 */
void
mg_response_reader_connect(mg_response_reader *r, bool resume);
/* Takes a header section. A resume with a status other than 200 is refused. */
void
mg_response_reader_header(mg_response_reader *r, int status, mg_str type,
                          bool not_run);
/*
 * Adds received bytes, and stores them in body when keep is set. Returns
 * false when they do not belong to the response (the error text of a refused
 * resume).
 */
bool
mg_response_reader_data(mg_response_reader *r, mg_str data, bool keep);
/* State of the response after its connection has ended; end tells how. */
mg_response_result
mg_response_reader_classify(const mg_response_reader *r, mg_http_result end);
/* Returns to the state before the first connection. */
void
mg_response_reader_reset(mg_response_reader *r);
void
mg_response_reader_free(mg_response_reader *r);

#endif
