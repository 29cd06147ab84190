/*
 * net - blocking sockets and HTTP/1.1 messages for the soak
 *
 * One thread for each connection. Addresses are "127.0.0.1:8000".
 */
#ifndef SOAK_NET_H
#define SOAK_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define SOAK_BYTES_MAX 16384
#define SOAK_ADDR_SIZE 48

/* a connection, and the bytes that were read from it but not used yet */
typedef struct soak_conn {
    int fd; /* -1: none */
    size_t count;
    char bytes[SOAK_BYTES_MAX];
} soak_conn;

/* a message with its body, both NUL-terminated and cut at their size */
typedef struct soak_message {
    int status; /* of a response */
    char head[SOAK_BYTES_MAX];
    char body[SOAK_BYTES_MAX];
} soak_message;

int64_t
soak_now_ms(void);
void
soak_sleep_ms(int64_t ms);
/* Connects within timeout_ms, which is also that of later reads and writes;
   returns the descriptor or -1. */
int
soak_connect(const char *addr, int timeout_ms);
/* Listens, with small receive buffers; ends the process if that fails. */
int
soak_listen(const char *addr);
/* Returns how many bytes were written. */
size_t
soak_write_part(int fd, const char *bytes, size_t size);
bool
soak_write(int fd, const char *bytes, size_t size);
/* Reads what there is; returns recv()'s result. soak_skip: drops the first n
   bytes of it. */
ssize_t
soak_fill(soak_conn *c);
void
soak_skip(soak_conn *c, size_t n);
/* Reads a message's head; the body's first bytes may stay in c. */
bool
soak_read_head(soak_conn *c, soak_message *m);
/* Reads and drops bytes of a body; false if they don't come. */
bool
soak_drain(soak_conn *c, size_t *unread);
/* Sends a FIN, and takes what still comes for a while: bytes that are unread
   when the connection is closed would make it a reset. */
void
soak_end_writing(soak_conn *c, size_t unread);
/* Resets the connection at once; what was written before still arrives. */
void
soak_reset(soak_conn *c);
void
soak_close(soak_conn *c);
/* Copies the value of a header to out, "" if there is none. */
void
soak_header(const soak_message *m, const char *name, char *out, size_t size);
/* Sends one request on a new connection; returns the status, 0 if there was no
   whole response. */
int
soak_call(const char *addr, const char *method, const char *path,
          const char *body, soak_message *response);
void
soak_thread(void *(*run)(void *), void *arg);

#endif
