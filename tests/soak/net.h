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
    size_t body_size;
} soak_message;

int64_t
soak_now_ms(void);
void
soak_sleep_ms(int64_t ms);
/* Connects within timeout_ms, which is also that of later reads and writes;
   returns the descriptor or -1. */
int
soak_connect(const char *addr, int timeout_ms);
/* Listens; ends the process if that fails. */
int
soak_listen(const char *addr);
bool
soak_write(int fd, const char *bytes, size_t size);
/* Reads a message whose body, if any, has a Content-Length or ends with the
   connection. Returns false if there was no whole one. */
bool
soak_read(soak_conn *c, soak_message *m, bool is_response);
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
