/*
 * loopwatch - measures the duration of event loop iterations
 *
 * Input that arrives during an iteration waits for its end: the histogram
 * loop_turn_us bounds the delay that a process adds to an event of a stream.
 */
#ifndef MG_LOOPWATCH_H
#define MG_LOOPWATCH_H

#include <uv.h>

typedef struct mg_loopwatch {
    uv_check_t after_poll;
    uv_prepare_t before_poll;
    uint64_t iteration_start_ns; /* 0 before the first iteration */
} mg_loopwatch;

/* Must precede the start of any other prepare handle: libuv runs them in the
   reverse order of their start, and before_poll has to run last. */
void
mg_loopwatch_start(mg_loopwatch *w, uv_loop_t *loop);

#endif
