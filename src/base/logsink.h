/*
 * logsink - where log lines wait to be written
 *
 * A bounded buffer of whole lines before a file descriptor. Putting a line
 * never waits: it is dropped and counted when the buffer is full, or when
 * the second's share of its kind (urgent or not) is used up. Writing takes
 * no more than the descriptor takes at once, so that a reader that stopped
 * holds up nothing.
 *
 * Pure but for the descriptor; time is passed in.
 */
#ifndef MG_LOGSINK_H
#define MG_LOGSINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

#define MG_LOGSINK_BYTES (256u << 10)
/* lines of a kind in a second */
#define MG_LOGSINK_LINES 2000

typedef struct mg_logsink {
    int fd;
    size_t start; /* first byte that waits */
    size_t n;     /* bytes that wait */
    int64_t second;
    uint32_t lines[2];         /* in this second: others, urgent ones */
    uint64_t dropped;          /* lines, ever */
    uint64_t dropped_reported; /* of them, those in a line of the log */
    char bytes[MG_LOGSINK_BYTES];
} mg_logsink;

void
mg_logsink_init(mg_logsink *s, int fd);
/* false: the line, which ends with its newline, was dropped. */
bool
mg_logsink_put(mg_logsink *s, mg_str line, bool urgent, int64_t now_ms);
/* Lines dropped since the last call, 0 while there is no room to say so. */
uint64_t
mg_logsink_take_dropped(mg_logsink *s);
/* Writes what the descriptor takes at once, after at most wait_ms for it. */
void
mg_logsink_write(mg_logsink *s, int wait_ms);

#endif
