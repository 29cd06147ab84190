/*
 * logsink - bounded buffer of log lines before a file descriptor
 *
 * mg_logsink_put() never blocks: it drops and counts a line when the buffer
 * is full, or when its class (urgent or not) has reached its lines per
 * second. mg_logsink_write() writes only what the descriptor accepts without
 * blocking, so that a stalled reader delays nothing else.
 *
 * The only I/O is on the descriptor; the time is passed in.
 */
#ifndef MG_LOGSINK_H
#define MG_LOGSINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

#define MG_LOGSINK_BYTES (256u << 10)
/* maximum number of lines per second of each class (urgent or not) */
#define MG_LOGSINK_LINES 2000

typedef struct mg_logsink {
    int fd;
    size_t start;      /* offset of the first unwritten byte */
    size_t n;          /* unwritten bytes */
    int64_t second;    /* time, in seconds, whose lines are counted */
    uint32_t lines[2]; /* in that second; [0]: not urgent, [1]: urgent */
    uint64_t dropped;  /* lines, in total */
    /* the number of dropped lines that were already reported */
    uint64_t dropped_reported;
    char bytes[MG_LOGSINK_BYTES];
} mg_logsink;

void
mg_logsink_init(mg_logsink *s, int fd);
/* line ends with its newline; false when it was dropped. */
bool
mg_logsink_put(mg_logsink *s, mg_str line, bool urgent, int64_t now_ms);
/* Returns the number of dropped lines that are not reported yet, and counts
   them as reported. Returns 0, and counts none, while the buffer has no room
   for the line that reports them. */
uint64_t
mg_logsink_take_dropped(mg_logsink *s);
/* Writes until the buffer is empty, or the descriptor was not writable for
   wait_ms. */
void
mg_logsink_write(mg_logsink *s, int wait_ms);

#endif
