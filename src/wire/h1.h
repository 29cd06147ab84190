/*
 * h1 - parses header sections and bodies of HTTP/1.1 messages
 *
 * Header sections are parsed by picohttpparser, which libh2o exports. In
 * addition, a header section is rejected if a name, a value or the method
 * holds a byte that it must not hold, or if it leaves the end of the message
 * ambiguous (request smuggling): more than one Content-Length, Content-Length
 * together with Transfer-Encoding, a coding other than chunked, folded lines,
 * whitespace before the colon. A bare LF may end a line, a bare CR may not.
 * The status of a response is 100 to 599.
 *
 * Nothing here owns memory: strings point into the bytes that were parsed.
 */
#ifndef MG_H1_H
#define MG_H1_H

#include "base/bytes.h"
#include "base/outcome.h"
#include "wire/chunks.h"

#define MG_H1_HEADERS_MAX 64

typedef struct mg_h1_header {
    mg_str name;
    mg_str value;
} mg_h1_header;

/* start line and header section of a message */
typedef struct mg_h1_headers {
    mg_str method;     /* of a request */
    mg_str target;     /* of a request: path and query */
    int status;        /* of a response */
    int minor_version; /* HTTP/1.minor */
    mg_h1_header headers[MG_H1_HEADERS_MAX];
    size_t header_count;
    size_t size; /* in bytes, with the start line and the empty line */
    bool has_content_length;
    uint64_t content_length;
    bool chunked;
    bool close; /* the sender closes the connection after this message */
} mg_h1_headers;

/*
 * Parses the header section at the start of the bytes of "in". MG_OK: it is
 * complete. MG_E_IN_PROGRESS: more bytes are needed. MG_E_INPUT: it is
 * malformed or ambiguous. "seen" is the length of "in" at the previous
 * attempt, 0 at the first one.
 */
mg_rc
mg_h1_parse_request(mg_str in, size_t seen, mg_h1_headers *h);
mg_rc
mg_h1_parse_response(mg_str in, size_t seen, mg_h1_headers *h);
/* For headers whose bytes were copied to another buffer: changes the strings
   of h, which point into the old one (from), to point into the copy (to). */
void
mg_h1_rebase(mg_h1_headers *h, const char *from, const char *to);
/* Value of the first header with this name, empty if there is none. */
mg_str
mg_h1_get(const mg_h1_headers *h, const char *name);
/* Whether the byte may be part of a name of a field (RFC 9110, token), and of
   the value of one: no control byte but HTAB. */
bool
mg_h1_is_name_byte(char c);
bool
mg_h1_is_value_byte(char c);
/* Compares without regard to ASCII case. */
bool
mg_h1_name_is(mg_str name, const char *s);
/* Whether a proxy must not forward the field of h with this name: hop-by-hop,
   also because a Connection field of h names it, or framing. */
bool
mg_h1_is_hop_by_hop(const mg_h1_headers *h, mg_str name);
/* The timeout parameter of Keep-Alive in seconds, -1 if there is none. */
int
mg_h1_keep_alive_s(const mg_h1_headers *h);

/* how the end of a body is determined */
typedef enum mg_h1_framing {
    MG_H1_NO_BODY,
    MG_H1_LENGTH,
    MG_H1_CHUNKED,
    MG_H1_CLOSE_DELIMITED,
} mg_h1_framing;

/* decoder state of a body that is being received */
typedef struct mg_h1_body {
    mg_h1_framing framing;
    uint64_t remaining; /* bytes, with MG_H1_LENGTH */
    mg_chunks chunks;
} mg_h1_body;

void
mg_h1_body_init_request(mg_h1_body *b, const mg_h1_headers *h);
/* is_head: the request's method was HEAD, so there is no body. */
void
mg_h1_body_init_response(mg_h1_body *b, const mg_h1_headers *h, bool is_head);
/*
 * Decodes p[n] in place. Sets *data to the decoded bytes of the body and
 * *rest to the bytes after its end. MG_OK: the body is complete.
 * MG_E_IN_PROGRESS: more bytes are needed. MG_E_INPUT: malformed chunks; both
 * are empty.
 */
mg_rc
mg_h1_body_decode(mg_h1_body *b, char *p, size_t n, mg_str *data,
                  mg_str *rest);

/* Reason phrase of a status code, "Status" for an unlisted one. */
const char *
mg_h1_reason(int status);

#endif
