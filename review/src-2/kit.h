/*
 * kit - helpers of the stand-ins of review/6 and later
 *
 * Blocking sockets and one thread per connection. The stand-ins play the
 * platform as the users' pages describe it: replicas that announce themselves,
 * an operator and clients.
 */
#ifndef KIT_H
#define KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NODES_MAX 4
#define HEAD_MAX 65536
#define CONNECTIONS_MAX 256 /* of a replica */

/* a received HTTP message */
typedef struct message {
    char head[HEAD_MAX]; /* start line and header section, as a string */
    char *body;          /* as a string; owned */
    size_t body_size;
    int status; /* of a response */
    bool whole; /* all of it has arrived */
} message;

/* a connection from which messages are read */
typedef struct stream {
    int fd;
    char *in;
    size_t size;
    size_t capacity;
} stream;

/* a server instance of a service */
typedef struct replica {
    char id[32];
    const char *service;
    const char *version; /* NULL: v1 */
    volatile bool draining;
    char address[32];
    int port;
    uint64_t born_ms;
    unsigned seq;
    unsigned starts;
    volatile bool down; /* crashed */
    int fds[CONNECTIONS_MAX]; /* of open connections, 0: none */
    bool faulty;
    /* responds to one request; false: the connection is to be closed */
    bool (*serve)(struct replica *r, stream *s, message *request);
} replica;

extern const char *node_ips[NODES_MAX];
extern int node_count;
extern int control_port;
extern int client_port;

int64_t
steady_ms(void);
void
sleep_ms(int64_t ms);
/* Writes a line with the time since the start to record.txt. */
void
record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Opens record.txt in the given folder, to append to it if RECORD_APPEND is in
   the environment; reads the nodes' ports and addresses
   from the environment: CONTROL_PORT, CLIENT_PORT, NODES. */
void
kit_open(const char *folder);
void
kit_close(void);
/* Whether the environment has TROUBLE=0. */
bool
without_trouble(void);

/* Returns a socket, or -1. */
int
dial(const char *ip, int port, int timeout_ms);
bool
send_all(int fd, const void *p, size_t n);
bool
send_text(int fd, const char *text);
/* Reads the next message; false: the connection ended or timed out before one
   began. m->whole tells whether it is complete. */
bool
read_message(stream *s, message *m, bool is_response);
void
free_message(message *m);
void
close_stream(stream *s);
/* Copies a header's value; empty if there is none. */
void
get_header(const message *m, const char *name, char *out, size_t size);

/* Starts a replica's listener and its heartbeats. */
void
start_replica(replica *r, const char *ip);
/* The replica's process ends: its connections are closed, new ones refused. */
void
crash_replica(replica *r);
/* It starts again at its address, under another id. */
void
restart_replica(replica *r);
/* One call to a node's control address, on a connection of its own. Returns the
   status, 0: none; copies the response's body. */
int
call_node(const char *ip, const char *method, const char *path,
          const char *body, char *reply, size_t size);
/* Sends a configuration until a node acknowledges it; false: none did. */
bool
put_config(const char *config, int64_t timeout_ms);
/* Waits until each node is ready to serve. */
bool
wait_ready(const char *probe_head, int64_t timeout_ms);

#endif
