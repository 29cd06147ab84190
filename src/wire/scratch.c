#include "wire/scratch.h"

#define READ_SIZE 65536

void
mg_scratch_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
    static _Thread_local char scratch[READ_SIZE];
    (void)h;
    (void)suggested;
    *buf = uv_buf_init(scratch, sizeof(scratch));
}
