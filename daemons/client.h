/*
 * client - one HTTP exchange at a time, for command line tools
 */
#ifndef MG_CLIENT_H
#define MG_CLIENT_H

#include "wire/http.h"

typedef struct mg_exchange {
    const char *addr;
    const char *method;
    const char *path;
    const char *extra; /* header lines with \r\n, may be NULL */
    mg_str body;
    int64_t silence_ms;
} mg_exchange;

/*
 * Runs the loop until the answer is whole. MG_E_CLOSED when there was none.
 * The caller frees out.
 */
mg_rc
mg_client_exchange(const mg_exchange *x, int *status, mg_buf *out);

#endif
