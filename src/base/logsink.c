#include "base/logsink.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* left for the line that tells how many were dropped, bytes */
#define SPARE_BYTES 1024

void
mg_logsink_init(mg_logsink *s, int fd)
{
    *s = (mg_logsink){.fd = fd};
}

static bool
has_share(mg_logsink *s, bool urgent, int64_t now_ms)
{
    int64_t second = now_ms / 1000;
    if (s->second != second) {
        s->second = second;
        s->lines[0] = 0;
        s->lines[1] = 0;
    }
    return s->lines[urgent]++ < MG_LOGSINK_LINES;
}

bool
mg_logsink_put(mg_logsink *s, mg_str line, bool urgent, int64_t now_ms)
{
    if (!has_share(s, urgent, now_ms) || s->n + line.n > MG_LOGSINK_BYTES) {
        s->dropped++;
        return false;
    }
    if (s->start + s->n + line.n > MG_LOGSINK_BYTES) {
        memmove(s->bytes, s->bytes + s->start, s->n);
        s->start = 0;
    }
    memcpy(s->bytes + s->start + s->n, line.p, line.n);
    s->n += line.n;
    return true;
}

uint64_t
mg_logsink_take_dropped(mg_logsink *s)
{
    uint64_t lines = s->dropped - s->dropped_reported;
    if (lines == 0 || s->n + SPARE_BYTES > MG_LOGSINK_BYTES) {
        return 0;
    }
    s->dropped_reported = s->dropped;
    return lines;
}

/* a pipe that is ready takes PIPE_BUF bytes without waiting */
static size_t
write_some(mg_logsink *s, int wait_ms)
{
    struct pollfd p = {.fd = s->fd, .events = POLLOUT};
    if (poll(&p, 1, wait_ms) != 1) {
        return 0;
    }
    ssize_t n =
        write(s->fd, s->bytes + s->start, s->n < PIPE_BUF ? s->n : PIPE_BUF);
    if (n < 0) {
        /* nobody reads any more: nothing can be told */
        n = errno == EAGAIN || errno == EINTR ? 0 : (ssize_t)s->n;
    }
    return (size_t)n;
}

void
mg_logsink_write(mg_logsink *s, int wait_ms)
{
    while (s->n > 0) {
        size_t n = write_some(s, wait_ms);
        if (n == 0) {
            return;
        }
        s->start += n;
        s->n -= n;
    }
    s->start = 0;
}
