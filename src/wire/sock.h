/*
 * sock - what the kernel knows of a TCP connection and libuv doesn't tell
 */
#ifndef MG_SOCK_H
#define MG_SOCK_H

#include <stdbool.h>

#include <uv.h>

/* The error that the socket holds, as a libuv error code; 0: none. The socket
   forgets it. */
int
mg_sock_take_error(const uv_tcp_t *tcp);
/* Whether the peer's kernel has acknowledged all bytes, and the FIN, that were
   written to the socket. */
bool
mg_sock_is_acknowledged(const uv_tcp_t *tcp);
/* Sets whether the end of the connection, by the end of the process too,
   resets it. */
void
mg_sock_reset_on_close(const uv_tcp_t *tcp, bool on);

#endif
