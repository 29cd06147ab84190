#include "wire/response_memory.h"

bool
mg_response_memory_hold(mg_response_memory *m, size_t *held, size_t bytes)
{
    m->held += bytes - *held;
    *held = bytes;
    if (bytes <= MG_RESPONSE_BYTES_SMALL) {
        return true;
    }
    return bytes <= MG_RESPONSE_BYTES_MAX && m->held <= MG_RESPONSES_BYTES_MAX;
}

void
mg_response_memory_release(mg_response_memory *m, size_t *held)
{
    m->held -= *held;
    *held = 0;
}
