/*
 * net - sockets, HTTP/1.1 messages and records for the stand-ins of review/
 *
 * Blocking sockets, one thread for each connection. All addresses are loopback
 * addresses, written "127.0.0.1:8000".
 */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_BYTES_MAX 16384

/* header section of a message, and the bytes that were read after it */
typedef struct message {
    char head[HEAD_BYTES_MAX];
    size_t head_size;
    char *body;
    size_t body_size;
} message;

/* bytes that were read from a connection but not used yet */
typedef struct reader {
    int fd;
    char bytes[HEAD_BYTES_MAX];
    size_t count;
} reader;

/* options of connect_to(), 0: the system's defaults */
typedef struct link_options {
    int receive_bytes; /* size of the receive buffer */
    int segment_bytes; /* largest TCP segment */
    int read_timeout_ms;
} link_options;

int64_t
now_ms(void);
void
sleep_ms(int64_t ms);
/* Writes one line to standard output, with the time. */
void
record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Connects; returns -1 if that fails. */
int
connect_to(const char *addr, const link_options *options);
/* Listens; ends the process if that fails. */
int
listen_on(const char *addr);
bool
write_all(int fd, const void *bytes, size_t size);
/* Reads a header section into m->head, terminated by a zero byte. */
bool
read_head(reader *r, message *m);
/* Reads a request with its body, which is malloc()ed. */
bool
read_request(reader *r, message *m);
/* Copies the value of a header to out, "" if there is none. */
void
get_header(const message *m, const char *name, char *out, size_t size);
/* Sends one request on a new connection and reads the whole response. Returns
   the status, 0 if there was no complete response. */
int
call(const char *addr, const char *method, const char *path,
     const char *headers, const char *body, int timeout_ms, message *response);
void
start_thread(void *(*run)(void *), void *arg);
/* A number in [0, 1). */
double
draw(void);

/* a replica's registration */
typedef struct registration {
    const char *id;
    const char *service;
    const char *addr;
    const char *zone;
    int slots;
    uint64_t born_ms;
    uint64_t seq;
} registration;

/* Sends one heartbeat; returns the status, 0 if there was no response. */
int
send_heartbeat(registration *r, const char *control, const char *state);

#endif
