/*
 * response_memory - bound on the responses that a process holds in memory
 *
 * A response that is not forwarded as it arrives is held until it is complete;
 * of a stream, what the client has not read yet is held, and an incomplete
 * event or a copy for retries. A target may send without end, to many requests
 * at once, so there is a limit for each response and one for all together.
 * Small responses are never affected by the others.
 */
#ifndef MG_RESPONSE_MEMORY_H
#define MG_RESPONSE_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

/* largest response, bytes */
#define MG_RESPONSE_BYTES_MAX (8u << 20)
/* bytes of all responses above which a larger one than
   MG_RESPONSE_BYTES_SMALL must end */
#define MG_RESPONSES_BYTES_MAX (16u << 20)
#define MG_RESPONSE_BYTES_SMALL (64u << 10)

typedef struct mg_response_memory {
    size_t held; /* bytes of all responses */
} mg_response_memory;

/*
 * Records that a response that held *held bytes now holds bytes, and updates
 * *held. Returns whether it may go on; if not, its user must release it.
 */
bool
mg_response_memory_hold(mg_response_memory *m, size_t *held, size_t bytes);
void
mg_response_memory_release(mg_response_memory *m, size_t *held);

#endif
