/*
 * bytes - borrowed slices and growable buffers
 *
 * An mg_str does not own its bytes and need not be NUL-terminated. An mg_buf
 * owns its memory until mg_buf_free().
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

/* arguments for the format "%.*s" */
#define MG_STR_FMT(s) (int)(s).n, (s).p ? (s).p : ""

/* s may be NULL. */
mg_str
mg_str_of(const char *s);
/* Contents of b; valid until b is changed or freed. */
mg_str
mg_str_buf(const mg_buf *b);
bool
mg_str_eq(mg_str a, mg_str b);
bool
mg_str_is(mg_str a, const char *s);
/* NUL-terminated copy, owned by the caller. */
char *
mg_str_dup(mg_str s);
/* Copies at most cap - 1 bytes into dst; always NUL-terminated. */
void
mg_str_copy(char *dst, size_t cap, mg_str s);
/* mg_str_eq() for secrets: its time depends on the lengths only. */
bool
mg_str_eq_consttime(mg_str a, mg_str b);
/* Returns the part before the first sep and sets tail to the part after it.
   If s has no sep, returns all of s and sets tail to an empty string. */
mg_str
mg_str_split(mg_str s, char sep, mg_str *tail);

/* Parses 1 to 18 decimal digits; false for anything else. */
bool
mg_str_parse_uint(mg_str s, uint64_t *out);

void
mg_buf_put(mg_buf *b, const void *p, size_t n);
void
mg_buf_printf(mg_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Removes the first n bytes. */
void
mg_buf_skip(mg_buf *b, size_t n);
void
mg_buf_free(mg_buf *b);

/* SHA-256 as 64 lower-case hexadecimal digits and a NUL. */
#define MG_HEX_SHA256_SIZE 65
void
mg_sha256_hex(mg_str s, char out[MG_HEX_SHA256_SIZE]);
/* 64-bit XXH3; not cryptographic. */
uint64_t
mg_hash(mg_str s);
/* Hash of the ordered pair (a, b). */
uint64_t
mg_hash_pair(mg_str a, mg_str b);

#endif
