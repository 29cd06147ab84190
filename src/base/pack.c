#include "base/pack.h"

#include <stdlib.h>

#include <zlib.h>

#define PACKED_MARK '\001'
#define CHUNK_BYTES 16384

void
mg_pack(mg_str text, mg_buf *out)
{
    uLongf size = compressBound(text.n);
    unsigned char *z = mg_alloc(size);
    char mark = PACKED_MARK;
    /* cannot fail but for lack of memory: compressBound() bytes suffice */
    MG_INVARIANT(compress2(z, &size, (const unsigned char *)text.p, text.n,
                           Z_BEST_SPEED) == Z_OK);
    mg_buf_put(out, &mark, 1);
    mg_buf_put(out, z, size);
    free(z);
}

static mg_rc
inflate_all(z_stream *z, size_t max, mg_buf *out)
{
    char chunk[CHUNK_BYTES];
    size_t start = out->n;
    int rc = Z_OK;
    while (rc == Z_OK) {
        z->next_out = (unsigned char *)chunk;
        z->avail_out = sizeof(chunk);
        rc = inflate(z, Z_NO_FLUSH);
        size_t n = sizeof(chunk) - z->avail_out;
        if (out->n - start + n > max) {
            return MG_E_TOO_LARGE;
        }
        mg_buf_put(out, chunk, n);
    }
    return rc == Z_STREAM_END && z->avail_in == 0 ? MG_OK : MG_E_CORRUPT;
}

mg_rc
mg_unpack(mg_str packed, size_t max, mg_buf *out)
{
    if (packed.n == 0 || packed.p[0] != PACKED_MARK) {
        if (packed.n > max) {
            return MG_E_TOO_LARGE;
        }
        mg_buf_put(out, packed.p, packed.n);
        return MG_OK;
    }
    z_stream z = {
        .next_in = (unsigned char *)packed.p + 1,
        .avail_in = (unsigned)packed.n - 1,
    };
    MG_INVARIANT(inflateInit(&z) == Z_OK);
    mg_rc rc = inflate_all(&z, max, out);
    inflateEnd(&z);
    return rc;
}
