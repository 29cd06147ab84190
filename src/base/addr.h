/*
 * addr - IPv4 socket addresses written as IP:PORT
 */
#ifndef MG_ADDR_H
#define MG_ADDR_H

#include <netinet/in.h>

#include "base/outcome.h"

/* with the terminating NUL */
#define MG_ADDR_SIZE 48

/* Parses IP:PORT. MG_E_INPUT unless IP is a numeric IPv4 address and PORT is
   from 1 to 65535. */
mg_rc
mg_addr_parse(const char *addr, struct sockaddr_in *out);
/* Writes an address as IP:PORT. */
void
mg_addr_format(const struct sockaddr_in *addr, char out[MG_ADDR_SIZE]);

#endif
