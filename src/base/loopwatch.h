/*
 * loopwatch - how long the turns of an event loop take
 *
 * What arrives while a turn runs waits for its end: the histogram
 * loop_turn_us bounds the delay that a process adds to an event of a stream.
 */
#ifndef MG_LOOPWATCH_H
#define MG_LOOPWATCH_H

#include <uv.h>

typedef struct mg_loopwatch {
    uv_check_t after_poll;
    uv_prepare_t before_poll;
    uint64_t iteration_start_ns; /* of this turn, 0: not yet */
} mg_loopwatch;

/* To be called before other prepare handles are started: libuv runs those
   that were started last first. */
void
mg_loopwatch_start(mg_loopwatch *w, uv_loop_t *loop);

#endif
