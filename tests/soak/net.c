#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 1500
/* for which a target waits for the rest of a request */
#define DRAIN_MS 300
#define STACK_BYTES (256u << 10)
/* of listeners, so that long requests wait in their sender */
#define RECEIVE_BYTES (16 << 10)

int64_t
soak_now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
soak_sleep_ms(int64_t ms)
{
    if (ms > 0) {
        struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};
        nanosleep(&t, NULL);
    }
}

static struct sockaddr_in
parse(const char *addr)
{
    char ip[32];
    struct sockaddr_in a = {.sin_family = AF_INET};
    const char *colon = strchr(addr, ':');
    snprintf(ip, sizeof(ip), "%.*s", (int)(colon - addr), addr);
    inet_pton(AF_INET, ip, &a.sin_addr);
    a.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return a;
}

static void
set_timeouts(int fd, int ms)
{
    struct timeval t = {ms / 1000, (ms % 1000) * 1000};
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int
soak_connect(const char *addr, int timeout_ms)
{
    struct sockaddr_in a = parse(addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    set_timeouts(fd, timeout_ms);
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
soak_listen(const char *addr)
{
    struct sockaddr_in a = parse(addr);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int bytes = RECEIVE_BYTES;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        listen(fd, 256) != 0) {
        fprintf(stderr, "cannot listen on %s\n", addr);
        exit(2);
    }
    return fd;
}

size_t
soak_write_part(int fd, const char *bytes, size_t size)
{
    size_t sent = 0;
    ssize_t n = 1;
    while (sent < size && n > 0) {
        n = send(fd, bytes + sent, size - sent, MSG_NOSIGNAL);
        sent += n > 0 ? (size_t)n : 0;
    }
    return sent;
}

bool
soak_write(int fd, const char *bytes, size_t size)
{
    return soak_write_part(fd, bytes, size) == size;
}

ssize_t
soak_fill(soak_conn *c)
{
    ssize_t n =
        recv(c->fd, c->bytes + c->count, sizeof(c->bytes) - 1 - c->count, 0);
    if (n > 0) {
        c->count += (size_t)n;
        c->bytes[c->count] = '\0';
    }
    return n;
}

void
soak_skip(soak_conn *c, size_t n)
{
    c->count -= n;
    memmove(c->bytes, c->bytes + n, c->count);
    c->bytes[c->count] = '\0';
}

bool
soak_read_head(soak_conn *c, soak_message *m)
{
    char *end;
    c->bytes[c->count] = '\0';
    while ((end = strstr(c->bytes, "\r\n\r\n")) == NULL) {
        if (c->count >= sizeof(c->bytes) - 1 || soak_fill(c) <= 0) {
            return false;
        }
    }
    size_t size = (size_t)(end - c->bytes) + 4;
    memcpy(m->head, c->bytes, size);
    m->head[size] = '\0';
    soak_skip(c, size);
    return true;
}

bool
soak_drain(soak_conn *c, size_t *unread)
{
    while (*unread > 0 && (c->count > 0 || soak_fill(c) > 0)) {
        size_t n = c->count < *unread ? c->count : *unread;
        soak_skip(c, n);
        *unread -= n;
    }
    return *unread == 0;
}

void
soak_end_writing(soak_conn *c, size_t unread)
{
    shutdown(c->fd, SHUT_WR);
    set_timeouts(c->fd, DRAIN_MS);
    soak_drain(c, &unread);
}

void
soak_reset(soak_conn *c)
{
    struct sockaddr none = {.sa_family = AF_UNSPEC};
    /* dissolving a connection resets it */
    (void)connect(c->fd, &none, sizeof(none));
}

/* Reads a response with a Content-Length; false if there is no whole one. */
static bool
read_response(soak_conn *c, soak_message *m)
{
    char length[32];
    if (!soak_read_head(c, m) ||
        sscanf(m->head, "HTTP/1.%*d %d", &m->status) != 1) {
        return false;
    }
    soak_header(m, "content-length", length, sizeof(length));
    size_t size = strtoul(length, NULL, 10);
    while (c->count < size && soak_fill(c) > 0) {
    }
    if (c->count < size) {
        return false;
    }
    memcpy(m->body, c->bytes, size);
    m->body[size] = '\0';
    return true;
}

void
soak_close(soak_conn *c)
{
    if (c->fd >= 0) {
        close(c->fd);
    }
    c->fd = -1;
    c->count = 0;
}

void
soak_header(const soak_message *m, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    out[0] = '\0';
    for (const char *p = strstr(m->head, "\r\n"); p != NULL;
         p = strstr(p, "\r\n")) {
        p += 2;
        if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
            p += n + 1;
            p += strspn(p, " ");
            snprintf(out, size, "%.*s", (int)strcspn(p, "\r"), p);
            return;
        }
    }
}

int
soak_call(const char *addr, const char *method, const char *path,
          const char *body, soak_message *response)
{
    char text[SOAK_BYTES_MAX];
    soak_conn *c = calloc(1, sizeof(*c));
    int n = snprintf(text, sizeof(text),
                     "%s %s HTTP/1.1\r\nHost: control\r\n"
                     "Content-Type: application/json\r\n"
                     "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                     method, path, strlen(body), body);
    response->status = 0;
    c->fd = soak_connect(addr, CALL_TIMEOUT_MS);
    if (c->fd < 0 || !soak_write(c->fd, text, (size_t)n) ||
        !read_response(c, response)) {
        response->status = 0;
    }
    soak_close(c);
    free(c);
    return response->status;
}

void
soak_thread(void *(*run)(void *), void *arg)
{
    pthread_t t;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, STACK_BYTES);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&t, &attr, run, arg) != 0) {
        fprintf(stderr, "cannot create a thread\n");
        exit(2);
    }
    pthread_attr_destroy(&attr);
}
