#include "wire/chunks.h"

#include <string.h>

#include "wire/h1.h"

/* as many as a uint64_t holds */
#define DIGITS_MAX 16

enum chunks_state {
    CHUNKS_SIZE,      /* digits of a size */
    CHUNKS_PADDING,   /* blanks after them */
    CHUNKS_EXTENSION, /* up to the CR */
    CHUNKS_SIZE_LF,
    CHUNKS_DATA,
    CHUNKS_DATA_CR, /* after the data of a chunk */
    CHUNKS_DATA_LF,
    CHUNKS_TRAILER, /* first byte of a trailer, or of the empty line */
    CHUNKS_TRAILER_NAME,
    CHUNKS_TRAILER_VALUE,
    CHUNKS_TRAILER_LF,
    CHUNKS_END_LF,
};

static int
hex_digit(char b)
{
    if (b >= '0' && b <= '9') {
        return b - '0';
    }
    if (b >= 'a' && b <= 'f') {
        return b - 'a' + 10;
    }
    return b >= 'A' && b <= 'F' ? b - 'A' + 10 : -1;
}

static mg_rc
enter(mg_chunks *c, enum chunks_state state)
{
    c->state = state;
    return MG_E_IN_PROGRESS;
}

/* b must be the byte that leads to the state */
static mg_rc
expect(mg_chunks *c, char b, char expected, enum chunks_state state)
{
    return b == expected ? enter(c, state) : MG_E_INPUT;
}

/* a byte after the last digit of a size */
static mg_rc
after_size(mg_chunks *c, char b)
{
    switch (b) {
    case ' ':
    case '\t':
        return enter(c, CHUNKS_PADDING);
    case ';':
        return enter(c, CHUNKS_EXTENSION);
    default:
        return expect(c, b, '\r', CHUNKS_SIZE_LF);
    }
}

static mg_rc
read_size(mg_chunks *c, char b)
{
    int digit = hex_digit(b);
    if (digit < 0) {
        return c->digits > 0 ? after_size(c, b) : MG_E_INPUT;
    }
    if (++c->digits > DIGITS_MAX) {
        return MG_E_INPUT;
    }
    c->size_left = c->size_left << 4 | (unsigned)digit;
    return MG_E_IN_PROGRESS;
}

/* a byte up to the CR of a line */
static mg_rc
read_text(mg_chunks *c, char b, enum chunks_state after_cr)
{
    if (b == '\r') {
        return enter(c, after_cr);
    }
    return mg_h1_is_value_byte(b) ? MG_E_IN_PROGRESS : MG_E_INPUT;
}

static mg_rc
start_data(mg_chunks *c, char b)
{
    c->framing_size = 0;
    return expect(c, b, '\n', c->size_left > 0 ? CHUNKS_DATA : CHUNKS_TRAILER);
}

static mg_rc
start_size(mg_chunks *c, char b)
{
    c->framing_size = 0;
    c->digits = 0;
    return expect(c, b, '\n', CHUNKS_SIZE);
}

static mg_rc
read_name(mg_chunks *c, char b)
{
    if (b == ':' && c->state == CHUNKS_TRAILER_NAME) {
        return enter(c, CHUNKS_TRAILER_VALUE);
    }
    if (b == '\r' && c->state == CHUNKS_TRAILER) {
        return enter(c, CHUNKS_END_LF);
    }
    return mg_h1_is_name_byte(b) ? enter(c, CHUNKS_TRAILER_NAME) : MG_E_INPUT;
}

/* a byte that is not data */
static mg_rc
read_framing(mg_chunks *c, char b)
{
    switch (c->state) {
    case CHUNKS_SIZE:
        return read_size(c, b);
    case CHUNKS_PADDING:
        return after_size(c, b);
    case CHUNKS_EXTENSION:
        return read_text(c, b, CHUNKS_SIZE_LF);
    case CHUNKS_SIZE_LF:
        return start_data(c, b);
    case CHUNKS_DATA_CR:
        return expect(c, b, '\r', CHUNKS_DATA_LF);
    case CHUNKS_DATA_LF:
        return start_size(c, b);
    case CHUNKS_TRAILER:
    case CHUNKS_TRAILER_NAME:
        return read_name(c, b);
    case CHUNKS_TRAILER_VALUE:
        return read_text(c, b, CHUNKS_TRAILER_LF);
    case CHUNKS_TRAILER_LF:
        return expect(c, b, '\n', CHUNKS_TRAILER);
    default:
        return b == '\n' ? MG_OK : MG_E_INPUT;
    }
}

static bool
is_too_long(const mg_chunks *c)
{
    return c->framing_size > (c->state >= CHUNKS_TRAILER
                                  ? MG_TRAILERS_BYTES_MAX
                                  : MG_CHUNK_LINE_MAX);
}

/* moves data from p + from to p + to; returns its size */
static size_t
take_data(mg_chunks *c, char *p, size_t to, size_t from, size_t n)
{
    size_t take = n - from < c->size_left ? n - from : (size_t)c->size_left;
    memmove(p + to, p + from, take);
    c->size_left -= take;
    if (c->size_left == 0) {
        c->state = CHUNKS_DATA_CR;
    }
    return take;
}

mg_rc
mg_chunks_decode(mg_chunks *c, char *p, size_t n, size_t *size, size_t *used)
{
    mg_rc rc = MG_E_IN_PROGRESS;
    size_t to = 0;
    size_t from = 0;
    while (from < n && rc == MG_E_IN_PROGRESS) {
        if (c->state == CHUNKS_DATA) {
            size_t taken = take_data(c, p, to, from, n);
            to += taken;
            from += taken;
            continue;
        }
        c->framing_size++;
        rc = read_framing(c, p[from++]);
        if (rc == MG_E_IN_PROGRESS && is_too_long(c)) {
            rc = MG_E_INPUT;
        }
    }
    *size = to;
    *used = from;
    return rc;
}
