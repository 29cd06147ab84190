#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 512
#define HEARTBEAT_TIMEOUT_MS 1000

int64_t
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
    struct timespec t = {ms / 1000, ms % 1000 * 1000000};
    while (ms > 0 && nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

void
record(const char *format, ...)
{
    static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
    char text[512];
    va_list ap;
    va_start(ap, format);
    vsnprintf(text, sizeof(text), format, ap);
    va_end(ap);
    pthread_mutex_lock(&lock);
    printf("%lld.%03d %s\n", (long long)(now_ms() / 1000),
           (int)(now_ms() % 1000), text);
    fflush(stdout);
    pthread_mutex_unlock(&lock);
}

static struct sockaddr_in
parse_addr(const char *addr)
{
    char ip[64];
    int port = 0;
    struct sockaddr_in sin = {.sin_family = AF_INET};
    if (sscanf(addr, "%63[^:]:%d", ip, &port) != 2 ||
        inet_pton(AF_INET, ip, &sin.sin_addr) != 1) {
        fprintf(stderr, "bad address %s\n", addr);
        exit(2);
    }
    sin.sin_port = htons((uint16_t)port);
    return sin;
}

int
connect_to(const char *addr, const link_options *options)
{
    struct sockaddr_in sin = parse_addr(addr);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (options->receive_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options->receive_bytes,
                   sizeof(options->receive_bytes));
    }
    if (options->segment_bytes > 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options->segment_bytes,
                   sizeof(options->segment_bytes));
    }
    if (options->read_timeout_ms > 0) {
        struct timeval t = {options->read_timeout_ms / 1000,
                            options->read_timeout_ms % 1000 * 1000};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
listen_on(const char *addr)
{
    struct sockaddr_in sin = parse_addr(addr);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        fprintf(stderr, "can't listen on %s: %s\n", addr, strerror(errno));
        exit(2);
    }
    return fd;
}

bool
write_all(int fd, const void *bytes, size_t size)
{
    const char *p = bytes;
    while (size > 0) {
        ssize_t n = send(fd, p, size, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        p += n;
        size -= (size_t)n;
    }
    return true;
}

bool
read_head(reader *r, message *m)
{
    for (;;) {
        char *end = memmem(r->bytes, r->count, "\r\n\r\n", 4);
        if (end != NULL) {
            m->head_size = (size_t)(end - r->bytes) + 4;
            memcpy(m->head, r->bytes, m->head_size);
            m->head[m->head_size] = '\0';
            r->count -= m->head_size;
            memmove(r->bytes, r->bytes + m->head_size, r->count);
            return true;
        }
        if (r->count + 1 >= sizeof(r->bytes)) {
            return false;
        }
        ssize_t n =
            recv(r->fd, r->bytes + r->count, sizeof(r->bytes) - 1 - r->count,
                 0);
        if (n <= 0) {
            return false;
        }
        r->count += (size_t)n;
    }
}

void
get_header(const message *m, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    out[0] = '\0';
    for (const char *line = strstr(m->head, "\r\n"); line != NULL;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, n) != 0 || line[n] != ':') {
            continue;
        }
        line += n + 1;
        line += strspn(line, " ");
        size_t length = strcspn(line, "\r");
        length = length < size - 1 ? length : size - 1;
        memcpy(out, line, length);
        out[length] = '\0';
        return;
    }
}

static bool
read_body(reader *r, message *m, size_t size)
{
    m->body = malloc(size + 1);
    m->body_size = 0;
    while (m->body_size < size) {
        size_t n = size - m->body_size;
        if (r->count > 0) {
            n = n < r->count ? n : r->count;
            memcpy(m->body + m->body_size, r->bytes, n);
            r->count -= n;
            memmove(r->bytes, r->bytes + n, r->count);
        }
        else {
            ssize_t got = recv(r->fd, m->body + m->body_size, n, 0);
            if (got <= 0) {
                return false;
            }
            n = (size_t)got;
        }
        m->body_size += n;
    }
    m->body[size] = '\0';
    return true;
}

bool
read_request(reader *r, message *m)
{
    char length[32];
    m->body = NULL;
    if (!read_head(r, m)) {
        return false;
    }
    get_header(m, "content-length", length, sizeof(length));
    return read_body(r, m, (size_t)atoll(length));
}

int
call(const char *addr, const char *method, const char *path,
     const char *headers, const char *body, int timeout_ms, message *response)
{
    char head[4096];
    char length[32];
    int status = 0;
    link_options options = {.read_timeout_ms = timeout_ms};
    reader r = {.fd = connect_to(addr, &options)};
    response->body = NULL;
    response->body_size = 0;
    if (r.fd < 0) {
        return 0;
    }
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
             "Content-Length: %zu\r\n%s\r\n",
             method, path, addr, strlen(body), headers);
    if (write_all(r.fd, head, strlen(head)) &&
        write_all(r.fd, body, strlen(body)) && read_head(&r, response)) {
        get_header(response, "content-length", length, sizeof(length));
        if (read_body(&r, response, (size_t)atoll(length))) {
            sscanf(response->head, "HTTP/1.%*d %d", &status);
        }
    }
    close(r.fd);
    return status;
}

void
start_thread(void *(*run)(void *), void *arg)
{
    pthread_t t;
    pthread_attr_t a;
    pthread_attr_init(&a);
    pthread_attr_setstacksize(&a, 256 << 10);
    pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&t, &a, run, arg) != 0) {
        fprintf(stderr, "can't start a thread\n");
        exit(2);
    }
}

double
draw(void)
{
    static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
    static bool seeded;
    pthread_mutex_lock(&lock);
    if (!seeded) {
        seeded = true;
        srand48((long)time(NULL) ^ (long)getpid() << 16);
    }
    double value = drand48();
    pthread_mutex_unlock(&lock);
    return value;
}

int
send_heartbeat(registration *r, const char *control, const char *state)
{
    char path[128];
    char body[512];
    message response;
    snprintf(path, sizeof(path), "/marigoldgw/instances/%s/heartbeat", r->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"coldLeftMs\":0,\"born\":%llu,\"seq\":%llu}",
             r->service, r->addr, r->zone, r->slots, state,
             (unsigned long long)r->born_ms, (unsigned long long)++r->seq);
    int status =
        call(control, "POST", path, "Content-Type: application/json\r\n", body,
             HEARTBEAT_TIMEOUT_MS, &response);
    free(response.body);
    return status;
}
