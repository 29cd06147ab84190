#include "base/bytes.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include "base/outcome.h"

mg_str
mg_str_of(const char *s)
{
    return (mg_str){s, s ? strlen(s) : 0};
}

mg_str
mg_str_buf(const mg_buf *b)
{
    return (mg_str){b->p, b->n};
}

bool
mg_str_eq(mg_str a, mg_str b)
{
    return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

bool
mg_str_is(mg_str a, const char *s)
{
    return mg_str_eq(a, mg_str_of(s));
}

char *
mg_str_dup(mg_str s)
{
    return mg_strndup(s.p ? s.p : "", s.n);
}

void
mg_str_copy(char *dst, size_t cap, mg_str s)
{
    size_t n = s.n < cap - 1 ? s.n : cap - 1;
    if (n > 0) {
        memcpy(dst, s.p, n);
    }
    dst[n] = '\0';
}

bool
mg_str_eq_consttime(mg_str a, mg_str b)
{
    return a.n == b.n && (a.n == 0 || CRYPTO_memcmp(a.p, b.p, a.n) == 0);
}

mg_str
mg_str_split(mg_str s, char sep, mg_str *tail)
{
    const char *at = s.n ? memchr(s.p, sep, s.n) : NULL;
    if (at == NULL) {
        *tail = (mg_str){s.p + s.n, 0};
        return s;
    }
    size_t n = (size_t)(at - s.p);
    *tail = (mg_str){at + 1, s.n - n - 1};
    return (mg_str){s.p, n};
}

bool
mg_str_parse_uint(mg_str s, uint64_t *out)
{
    uint64_t n = 0;
    if (s.n == 0 || s.n > 18) {
        return false;
    }
    for (size_t i = 0; i < s.n; i++) {
        if (s.p[i] < '0' || s.p[i] > '9') {
            return false;
        }
        n = n * 10 + (uint64_t)(s.p[i] - '0');
    }
    *out = n;
    return true;
}

static void
reserve(mg_buf *b, size_t extra)
{
    if (b->n + extra <= b->cap) {
        return;
    }
    size_t cap = b->cap ? b->cap : 256;
    while (cap < b->n + extra) {
        cap *= 2;
    }
    b->p = mg_realloc(b->p, cap);
    b->cap = cap;
}

void
mg_buf_put(mg_buf *b, const void *p, size_t n)
{
    if (n == 0) {
        return;
    }
    reserve(b, n);
    memcpy(b->p + b->n, p, n);
    b->n += n;
}

void
mg_buf_printf(mg_buf *b, const char *fmt, ...)
{
    va_list ap;
    va_list ap2;
    va_start(ap, fmt);
    va_copy(ap2, ap);
    int n = vsnprintf(NULL, 0, fmt, ap);
    va_end(ap);
    if (n > 0) {
        reserve(b, (size_t)n + 1);
        vsnprintf(b->p + b->n, (size_t)n + 1, fmt, ap2);
        b->n += (size_t)n;
    }
    va_end(ap2);
}

void
mg_buf_skip(mg_buf *b, size_t n)
{
    MG_INVARIANT(n <= b->n);
    if (n == 0) {
        return;
    }
    memmove(b->p, b->p + n, b->n - n);
    b->n -= n;
}

void
mg_buf_free(mg_buf *b)
{
    free(b->p);
    *b = (mg_buf){0};
}

void
mg_sha256_hex(mg_str s, char out[MG_HEX_SHA256_SIZE])
{
    static const char digits[] = "0123456789abcdef";
    unsigned char md[SHA256_DIGEST_LENGTH];
    SHA256((const unsigned char *)(s.p ? s.p : ""), s.n, md);
    for (size_t i = 0; i < sizeof(md); i++) {
        out[2 * i] = digits[md[i] >> 4];
        out[2 * i + 1] = digits[md[i] & 15];
    }
    out[2 * sizeof(md)] = '\0';
}

uint64_t
mg_hash(mg_str s)
{
    return XXH3_64bits(s.p, s.n);
}

uint64_t
mg_hash_pair(mg_str a, mg_str b)
{
    return XXH3_64bits_withSeed(b.p, b.n, mg_hash(a));
}
