/*
 * client - blocking HTTP client for command-line tools
 */
#ifndef MG_CLIENT_H
#define MG_CLIENT_H

#include "wire/http.h"

typedef struct mg_exchange {
    const char *addr; /* IP:PORT */
    const char *method;
    const char *path;
    const char *extra_headers; /* lines ending in \r\n, or NULL */
    mg_str body;
    int64_t read_timeout_ms; /* longest time without received bytes */
} mg_exchange;

/*
 * Runs the default loop until the exchange ends and appends the body to out,
 * which the caller frees. MG_E_CLOSED without a complete response.
 */
mg_rc
mg_client_exchange(const mg_exchange *x, int *status, mg_buf *out);

#endif
