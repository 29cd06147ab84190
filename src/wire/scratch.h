/*
 * scratch - the buffer that sockets are read into
 *
 * One for each thread: what was read lives until the read callback returns.
 */
#ifndef MG_SCRATCH_H
#define MG_SCRATCH_H

#include <uv.h>

/* For uv_read_start(). */
void
mg_scratch_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);

#endif
