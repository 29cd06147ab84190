/*
 * chunks - decodes the chunked transfer coding of HTTP/1.1
 *
 * Each line must have the form of RFC 9112, section 7.1, and end with CR LF. A
 * reader that guesses what is meant (a size that is followed by other bytes, a
 * bare CR or LF) may find another end of the body than the sender has set.
 * Blanks after the size are allowed, as some senders pad it. Extensions and
 * trailers are dropped, and their size is limited: they count as part of no
 * body, so that nobody else limits them.
 */
#ifndef MG_CHUNKS_H
#define MG_CHUNKS_H

#include <stddef.h>
#include <stdint.h>

#include "base/outcome.h"

/* a line with the size and the extensions of a chunk, bytes */
#define MG_CHUNK_LINE_MAX 4096
/* all trailers of a body, bytes */
#define MG_TRAILERS_BYTES_MAX 16384

/* a zeroed one is at the start of a body */
typedef struct mg_chunks {
    int state;
    unsigned digits;       /* of the size */
    uint64_t size_left;    /* bytes of the chunk that have not arrived */
    uint32_t framing_size; /* bytes of this size line, or of the trailers */
} mg_chunks;

/*
 * Decodes p[n] in place: *size is set to the number of decoded bytes at p,
 * *used to that of the bytes read. MG_OK: the body is complete.
 * MG_E_IN_PROGRESS: more bytes are needed. MG_E_INPUT: malformed.
 */
mg_rc
mg_chunks_decode(mg_chunks *c, char *p, size_t n, size_t *size, size_t *used);

#endif
