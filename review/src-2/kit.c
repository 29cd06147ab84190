#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200
#define ACK_TIMEOUT_MS 1000
#define READ_TIMEOUT_MS 8000

const char *node_ips[NODES_MAX];
int node_count;
int control_port;
int client_port;

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t opened_ms;

int64_t
steady_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
    struct timespec t = {ms / 1000, (ms % 1000) * 1000000};
    nanosleep(&t, NULL);
}

void
record(const char *format, ...)
{
    va_list args;
    int64_t ms = steady_ms() - opened_ms;
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%3lld.%03lld ", (long long)ms / 1000,
            (long long)ms % 1000);
    va_start(args, format);
    vfprintf(record_file, format, args);
    va_end(args);
    fputc('\n', record_file);
    pthread_mutex_unlock(&record_lock);
}

void
kit_open(const char *folder)
{
    static char nodes[256];
    char path[4096];
    signal(SIGPIPE, SIG_IGN);
    opened_ms = steady_ms();
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record_file = fopen(path, getenv("RECORD_APPEND") != NULL ? "a" : "w");
    if (record_file == NULL || getenv("NODES") == NULL ||
        getenv("CONTROL_PORT") == NULL || getenv("CLIENT_PORT") == NULL) {
        fprintf(stderr, "cannot write %s, or no nodes in the environment\n",
                path);
        exit(2);
    }
    control_port = atoi(getenv("CONTROL_PORT"));
    client_port = atoi(getenv("CLIENT_PORT"));
    snprintf(nodes, sizeof(nodes), "%s", getenv("NODES"));
    for (char *p = strtok(nodes, " "); p != NULL && node_count < NODES_MAX;
         p = strtok(NULL, " ")) {
        node_ips[node_count++] = p;
    }
}

void
kit_close(void)
{
    fclose(record_file);
}

bool
without_trouble(void)
{
    const char *v = getenv("TROUBLE");
    return v != NULL && strcmp(v, "0") == 0;
}

/* ------------------------------------------------------------- sockets */

static struct sockaddr_in
address_of(const char *ip, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &a.sin_addr);
    return a;
}

static void
set_options(int fd, int timeout_ms)
{
    int on = 1;
    struct timeval t = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
}

int
dial(const char *ip, int port, int timeout_ms)
{
    struct sockaddr_in a = address_of(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0) {
        return -1;
    }
    set_options(fd, timeout_ms);
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
send_all(int fd, const void *p, size_t n)
{
    const char *at = p;
    while (n > 0) {
        ssize_t w = send(fd, at, n, MSG_NOSIGNAL);
        if (w < 0 && errno == EINTR) {
            continue;
        }
        if (w <= 0) {
            return false;
        }
        at += w;
        n -= (size_t)w;
    }
    return true;
}

bool
send_text(int fd, const char *text)
{
    return send_all(fd, text, strlen(text));
}

/* reads more bytes; false at the end, after an error or a timeout */
static bool
read_more(stream *s)
{
    if (s->capacity - s->size < 65536) {
        s->capacity = s->capacity * 2 + 131072;
        s->in = realloc(s->in, s->capacity);
    }
    ssize_t n = recv(s->fd, s->in + s->size, s->capacity - s->size - 1, 0);
    if (n <= 0) {
        return false;
    }
    s->size += (size_t)n;
    return true;
}

static void
skip(stream *s, size_t n)
{
    memmove(s->in, s->in + n, s->size - n);
    s->size -= n;
}

void
get_header(const message *m, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    out[0] = '\0';
    for (const char *line = strstr(m->head, "\r\n"); line != NULL;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            const char *v = line + n + 1;
            v += strspn(v, " ");
            snprintf(out, size, "%.*s", (int)strcspn(v, "\r"), v);
            return;
        }
    }
}

/* appends n bytes of the input to the body */
static bool
take_body(stream *s, message *m, size_t n)
{
    while (s->size < n) {
        if (!read_more(s)) {
            return false;
        }
    }
    m->body = realloc(m->body, m->body_size + n + 1);
    memcpy(m->body + m->body_size, s->in, n);
    m->body_size += n;
    m->body[m->body_size] = '\0';
    skip(s, n);
    return true;
}

/* takes a line without its CRLF */
static bool
take_line(stream *s, char *out, size_t size)
{
    for (;;) {
        char *end = s->size > 0 ? memmem(s->in, s->size, "\r\n", 2) : NULL;
        if (end != NULL) {
            snprintf(out, size, "%.*s", (int)(end - s->in), s->in);
            skip(s, (size_t)(end - s->in) + 2);
            return true;
        }
        if (!read_more(s)) {
            return false;
        }
    }
}

static bool
take_chunks(stream *s, message *m)
{
    char line[256];
    for (;;) {
        if (!take_line(s, line, sizeof(line))) {
            return false;
        }
        size_t n = strtoul(line, NULL, 16);
        if (n == 0) {
            return take_line(s, line, sizeof(line));
        }
        if (!take_body(s, m, n) || !take_line(s, line, sizeof(line))) {
            return false;
        }
    }
}

bool
read_message(stream *s, message *m, bool is_response)
{
    char value[64];
    char *end;
    m->body = calloc(1, 1);
    m->body_size = 0;
    m->status = 0;
    m->whole = false;
    m->head[0] = '\0';
    while (s->size == 0 ||
           (end = memmem(s->in, s->size, "\r\n\r\n", 4)) == NULL) {
        if (s->size >= HEAD_MAX || !read_more(s)) {
            return false;
        }
    }
    size_t n = (size_t)(end - s->in) + 2;
    if (n >= HEAD_MAX) {
        return false;
    }
    memcpy(m->head, s->in, n);
    m->head[n] = '\0';
    skip(s, n + 2);
    if (is_response && sscanf(m->head, "HTTP/1.1 %d", &m->status) != 1) {
        return false;
    }
    get_header(m, "transfer-encoding", value, sizeof(value));
    if (value[0] != '\0') {
        m->whole = take_chunks(s, m);
        return true;
    }
    get_header(m, "content-length", value, sizeof(value));
    m->whole = take_body(s, m, strtoul(value, NULL, 10));
    return true;
}

void
free_message(message *m)
{
    free(m->body);
    m->body = NULL;
}

void
close_stream(stream *s)
{
    close(s->fd);
    free(s->in);
    s->in = NULL;
    s->size = 0;
    s->capacity = 0;
}

int
call_node(const char *ip, const char *method, const char *path,
          const char *body, char *reply, size_t size)
{
    static __thread message m;
    char head[512];
    stream s = {.fd = dial(ip, control_port, ACK_TIMEOUT_MS)};
    int status = 0;
    reply[0] = '\0';
    if (s.fd < 0) {
        return 0;
    }
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json"
             "\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n",
             method, path, ip, strlen(body));
    if (send_text(s.fd, head) && send_text(s.fd, body)) {
        if (read_message(&s, &m, true) && m.whole) {
            status = m.status;
            snprintf(reply, size, "%s", m.body);
        }
        free_message(&m);
    }
    close_stream(&s);
    return status;
}

/* ------------------------------------------------------------ platform */

struct accepted {
    replica *replica;
    int fd;
};

static pthread_mutex_t replica_lock = PTHREAD_MUTEX_INITIALIZER;

/* replaces one entry of a replica's table of connections; false: there is none
   with the old value */
static bool
replace_fd(replica *r, int old, int fd)
{
    bool found = false;
    pthread_mutex_lock(&replica_lock);
    for (int i = 0; i < CONNECTIONS_MAX && !found; i++) {
        if (r->fds[i] == old) {
            r->fds[i] = fd;
            found = true;
        }
    }
    pthread_mutex_unlock(&replica_lock);
    return found;
}

static void *
run_connection(void *arg)
{
    struct accepted a = *(struct accepted *)arg;
    stream s = {.fd = a.fd};
    message *m = calloc(1, sizeof(*m));
    free(arg);
    while (!a.replica->down && read_message(&s, m, false)) {
        bool go_on = m->whole && !a.replica->down &&
                     a.replica->serve(a.replica, &s, m);
        free_message(m);
        m->body = NULL;
        if (!go_on) {
            break;
        }
    }
    free_message(m);
    free(m);
    replace_fd(a.replica, a.fd, 0);
    close_stream(&s);
    return NULL;
}

static void
start_thread(void *(*f)(void *arg), void *arg)
{
    pthread_t t;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, 1 << 20);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&t, &attr, f, arg) != 0) {
        fprintf(stderr, "cannot create a thread\n");
        exit(2);
    }
}

struct listener {
    replica *replica;
    int fd;
};

/* listens at the replica's address; port 0: at a free one */
static int
listen_at(replica *r, const char *ip)
{
    struct sockaddr_in a = address_of(ip, r->port);
    socklen_t size = sizeof(a);
    struct timespec t;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        listen(fd, 256) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &size) != 0) {
        fprintf(stderr, "cannot listen on %s:%d\n", ip, r->port);
        exit(2);
    }
    clock_gettime(CLOCK_REALTIME, &t);
    r->born_ms = (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
    r->port = ntohs(a.sin_port);
    r->seq = 0;
    snprintf(r->address, sizeof(r->address), "%s:%d", ip, r->port);
    return fd;
}

static void
accept_one(struct listener *l)
{
    int fd = accept(l->fd, NULL, NULL);
    if (fd < 0) {
        return;
    }
    struct accepted *a = malloc(sizeof(*a));
    set_options(fd, READ_TIMEOUT_MS);
    *a = (struct accepted){l->replica, fd};
    if (!replace_fd(l->replica, 0, fd)) {
        close(fd);
        free(a);
        return;
    }
    start_thread(run_connection, a);
}

static void *
run_listener(void *arg)
{
    struct listener *l = arg;
    for (;;) {
        struct pollfd p = {l->fd, POLLIN, 0};
        if (poll(&p, 1, 2) > 0) {
            accept_one(l);
        }
        if (!l->replica->down) {
            continue;
        }
        close(l->fd);
        while (l->replica->down) {
            sleep_ms(2);
        }
        l->fd = listen_at(l->replica, "127.0.0.1");
    }
    return NULL;
}

void
crash_replica(replica *r)
{
    pthread_mutex_lock(&replica_lock);
    r->down = true;
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (r->fds[i] != 0) {
            shutdown(r->fds[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&replica_lock);
    record("%s crashes", r->id);
}

void
restart_replica(replica *r)
{
    size_t n = strcspn(r->id, "+");
    r->id[n] = '\0';
    snprintf(r->id + n, sizeof(r->id) - n, "+%u", ++r->starts);
    r->down = false;
    record("%s starts", r->id);
}

static void *
run_heartbeats(void *arg)
{
    replica *r = arg;
    char path[128];
    char body[512];
    char reply[256];
    int node = 0;
    for (;;) {
        int tries = 0;
        if (r->down) {
            sleep_ms(50); /* it listens before it announces itself */
            continue;
        }
        snprintf(path, sizeof(path), "/marigoldgw/instances/%s/heartbeat",
                 r->id);
        snprintf(body, sizeof(body),
                 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
                 "\"version\":\"%s\",\"slots\":8,\"state\":\"%s\","
                 "\"coldLeftMs\":0,\"seq\":%u,\"born\":%llu}",
                 r->service, r->address,
                 r->version != NULL ? r->version : "v1",
                 r->draining ? "draining" : "ready", ++r->seq,
                 (unsigned long long)r->born_ms);
        while (tries++ < node_count &&
               call_node(node_ips[node % node_count], "POST", path, body,
                         reply, sizeof(reply)) != 200) {
            node++;
        }
        bool was_draining = r->draining;
        for (int64_t until = steady_ms() + HEARTBEAT_MS;
             steady_ms() < until && was_draining == r->draining && !r->down;) {
            sleep_ms(20);
        }
    }
    return NULL;
}

void
start_replica(replica *r, const char *ip)
{
    struct listener *l = malloc(sizeof(*l));
    *l = (struct listener){r, listen_at(r, ip)};
    start_thread(run_listener, l);
    start_thread(run_heartbeats, r);
}

bool
put_config(const char *config, int64_t timeout_ms)
{
    int64_t until = steady_ms() + timeout_ms;
    for (int i = 0; steady_ms() < until; i++) {
        char reply[256];
        int status = call_node(node_ips[i % node_count], "POST",
                               "/marigoldgw/config/replace", config, reply,
                               sizeof(reply));
        record("operator sends the configuration to %s: %d",
               node_ips[i % node_count], status);
        if (status == 200) {
            return true;
        }
        sleep_ms(200);
    }
    return false;
}

bool
wait_ready(const char *probe_head, int64_t timeout_ms)
{
    static message m;
    int64_t until = steady_ms() + timeout_ms;
    for (int i = 0; i < node_count; i++) {
        int status = 0;
        while (status != 200) {
            stream s = {.fd = dial(node_ips[i], client_port, 1000)};
            if (steady_ms() > until) {
                return false;
            }
            if (s.fd >= 0 && send_text(s.fd, probe_head) &&
                read_message(&s, &m, true)) {
                status = m.status;
                free_message(&m);
            }
            if (s.fd >= 0) {
                close_stream(&s);
            }
            sleep_ms(status == 200 ? 0 : 100);
        }
        record("node %s serves", node_ips[i]);
    }
    return true;
}
