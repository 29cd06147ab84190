/*
 * h1 - heads and bodies of HTTP/1.1 messages
 *
 * Heads are read by the parser that libh2o exports. Beyond it, a head is
 * refused when the end of its message could be understood in two ways: more
 * than one length, a length beside chunks, another transfer coding, folded
 * lines, a space before the colon.
 *
 * Nothing here owns memory: strings point into the bytes that were parsed.
 */
#ifndef MG_H1_H
#define MG_H1_H

#include "base/bytes.h"
#include "base/outcome.h"

#define MG_H1_HEADERS_MAX 64

typedef struct mg_h1_header {
    mg_str name;
    mg_str value;
} mg_h1_header;

typedef struct mg_h1_headers {
    mg_str method;     /* of a request */
    mg_str target;     /* of a request: path and query */
    int status;        /* of a response */
    int minor_version; /* HTTP/1.minor */
    mg_h1_header headers[MG_H1_HEADERS_MAX];
    size_t header_count;
    size_t size; /* bytes of the head, its empty line included */
    bool has_content_length;
    uint64_t content_length;
    bool chunked;
    bool close; /* the sender closes the connection after this message */
} mg_h1_headers;

/*
 * MG_OK: a whole head. MG_E_IN_PROGRESS: more bytes are needed; seen is how
 * many were there at the last try. MG_E_INPUT: not a head, or ambiguous.
 */
mg_rc
mg_h1_parse_request(mg_str in, size_t seen, mg_h1_headers *head);
mg_rc
mg_h1_parse_response(mg_str in, size_t seen, mg_h1_headers *head);
/* Makes the strings of a head point into a copy of its bytes. */
void
mg_h1_rebase(mg_h1_headers *head, const char *from, const char *to);
/* First header of that name (any case); empty when there is none. */
mg_str
mg_h1_get(const mg_h1_headers *head, const char *name);
/* Equal without regard to ASCII case. */
bool
mg_h1_name_is(mg_str name, const char *s);
/* Whether the header concerns one connection only, or frames the body. */
bool
mg_h1_is_hop_by_hop(mg_str name);
/* Value of "Keep-Alive: timeout=S" in seconds, -1 when there is none. */
int
mg_h1_keep_alive_s(const mg_h1_headers *head);

typedef enum mg_h1_framing {
    MG_H1_NO_BODY, /* no body */
    MG_H1_LENGTH,
    MG_H1_CHUNKED,
    MG_H1_CLOSE_DELIMITED,
} mg_h1_framing;

/* a body that is being read */
typedef struct mg_h1_body {
    mg_h1_framing framing;
    uint64_t remaining;
    struct {
        size_t bytes_left_in_chunk;
        char consume_trailer;
        char hex_count;
        char state;
    } chunks; /* the layout that the parser's decoder has */
} mg_h1_body;

void
mg_h1_body_init_request(mg_h1_body *b, const mg_h1_headers *head);
/* to_head: the response answers a HEAD request. */
void
mg_h1_body_init_response(mg_h1_body *b, const mg_h1_headers *head,
                         bool to_head);
/*
 * Takes p[n], decoding in place. *data is what belongs to the body, *rest
 * what follows its end. MG_OK: the body has ended. MG_E_IN_PROGRESS: it goes
 * on. MG_E_INPUT: bad chunks.
 */
mg_rc
mg_h1_body_decode(mg_h1_body *b, char *p, size_t n, mg_str *data,
                  mg_str *rest);

/* Reason phrase of a status. */
const char *
mg_h1_reason(int status);

#endif
