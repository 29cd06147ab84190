/*
 * scratch - shared read buffer of the sockets
 *
 * Each thread has one buffer; its contents are valid until the read callback
 * returns.
 */
#ifndef MG_SCRATCH_H
#define MG_SCRATCH_H

#include <uv.h>

/* Allocation callback for uv_read_start(). */
void
mg_scratch_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf);

#endif
