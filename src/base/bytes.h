/*
 * bytes - borrowed slices and growable buffers
 *
 * An mg_str never owns what it points to and is not NUL-terminated. An
 * mg_buf owns its memory until mg_buf_free().
 */
#ifndef MG_BYTES_H
#define MG_BYTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct mg_str {
    const char *p;
    size_t n;
} mg_str;

typedef struct mg_buf {
    char *p;
    size_t n;
    size_t cap;
} mg_buf;

#define MG_STR_FMT(s) (int)(s).n, (s).p ? (s).p : ""

mg_str
mg_str_of(const char *s);
mg_str
mg_str_buf(const mg_buf *b);
bool
mg_str_eq(mg_str a, mg_str b);
bool
mg_str_is(mg_str a, const char *s);
/* NUL-terminated copy, owned by the caller. */
char *
mg_str_dup(mg_str s);
/* Copies into dst[cap], cut to fit, always NUL-terminated. */
void
mg_str_copy(char *dst, size_t cap, mg_str s);
/* Equal contents, in time that depends on the lengths only. */
bool
mg_str_eq_consttime(mg_str a, mg_str b);
/* Splits "a|b" at the first sep; the tail is empty when there is none. */
mg_str
mg_str_split(mg_str s, char sep, mg_str *tail);

/* Decimal digits only, 18 at most; false when it is anything else. */
bool
mg_str_parse_uint(mg_str s, uint64_t *out);

void
mg_buf_put(mg_buf *b, const void *p, size_t n);
void
mg_buf_printf(mg_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Drops the first n bytes. */
void
mg_buf_skip(mg_buf *b, size_t n);
void
mg_buf_free(mg_buf *b);

/* SHA-256 as 64 lower-case hexadecimal digits and a NUL. */
#define MG_HEX_SHA256_SIZE 65
void
mg_sha256_hex(mg_str s, char out[MG_HEX_SHA256_SIZE]);
/* XXH3, 64 bits; not for secrets. */
uint64_t
mg_hash(mg_str s);
uint64_t
mg_hash_pair(mg_str a, mg_str b);

#endif
