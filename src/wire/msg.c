#include "wire/msg.h"

#include <string.h>

#include <msgpack.h>

#include "base/counter.h"

typedef enum field_kind { FIELD_U64, FIELD_STR, FIELD_BIN } field_kind;

#define FIELD_KIND(type, name) FIELD_##type,
#define M(number, NAME, name) \
    static const unsigned char name##_kinds[] = {MG_FIELDS_##NAME(FIELD_KIND)};
MG_MSG_LIST(M)
#undef M

/*
 * All fields of a message struct are of type uint64_t or mg_str and stand in
 * wire order, so their offsets can be computed from their kinds.
 */
static const struct layout {
    int type;
    const char *name;
    const unsigned char *kinds;
    size_t count;
    size_t size;
} layouts[] = {
#define M(number, NAME, name)                           \
    {number, #NAME, name##_kinds, sizeof(name##_kinds), \
     sizeof(mg_##name##_msg)},
    MG_MSG_LIST(M)
#undef M
};

static const struct layout *
find_layout(uint64_t type)
{
    for (size_t i = 0; i < sizeof(layouts) / sizeof(layouts[0]); i++) {
        if ((uint64_t)layouts[i].type == type) {
            return &layouts[i];
        }
    }
    return NULL;
}

const char *
mg_msg_name(mg_msg_type type)
{
    const struct layout *l = find_layout(type);
    return l ? l->name : "?";
}

static int
append_bytes(void *data, const char *p, size_t n)
{
    mg_buf_put(data, p, n);
    return 0;
}

/* Number of fields at the end that may be absent, all or none: earlier builds
   don't send them, and they are not sent if all are 0. They are integers. */
static size_t
optional_count(const struct layout *l)
{
    return l->type == MG_MSG_SEATS ? 2 : 0;
}

static size_t
optional_size(const struct layout *l)
{
    return optional_count(l) * sizeof(uint64_t);
}

static size_t
count_to_send(const struct layout *l, const mg_msg *m)
{
    const char *end = (const char *)&m->u + l->size;
    for (const char *p = end - optional_size(l); p < end; p++) {
        if (*p != 0) {
            return l->count;
        }
    }
    return l->count - optional_count(l);
}

void
mg_msg_encode(const mg_msg *m, mg_buf *out)
{
    const struct layout *l = find_layout(m->type);
    MG_INVARIANT(l != NULL);
    msgpack_packer pk;
    msgpack_packer_init(&pk, out, append_bytes);
    size_t count = count_to_send(l, m);
    msgpack_pack_array(&pk, count + 1);
    msgpack_pack_uint64(&pk, (uint64_t)m->type);
    const char *field = (const char *)&m->u;
    for (size_t i = 0; i < count; i++) {
        if (l->kinds[i] == FIELD_U64) {
            uint64_t v;
            memcpy(&v, field, sizeof(v));
            msgpack_pack_uint64(&pk, v);
            field += sizeof(v);
            continue;
        }
        mg_str s;
        memcpy(&s, field, sizeof(s));
        field += sizeof(s);
        if (l->kinds[i] == FIELD_STR) {
            msgpack_pack_str(&pk, s.n);
            msgpack_pack_str_body(&pk, s.p, s.n);
        }
        else {
            msgpack_pack_bin(&pk, s.n);
            msgpack_pack_bin_body(&pk, s.p, s.n);
        }
    }
}

static mg_rc
read_field(const msgpack_object *o, field_kind kind, char **field)
{
    if (kind == FIELD_U64) {
        if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return MG_E_INPUT;
        }
        memcpy(*field, &o->via.u64, sizeof(uint64_t));
        *field += sizeof(uint64_t);
        return MG_OK;
    }
    mg_str s;
    if (kind == FIELD_STR && o->type == MSGPACK_OBJECT_STR) {
        s = (mg_str){o->via.str.ptr, o->via.str.size};
    }
    else if (kind == FIELD_BIN && o->type == MSGPACK_OBJECT_BIN) {
        s = (mg_str){o->via.bin.ptr, o->via.bin.size};
    }
    else {
        return MG_E_INPUT;
    }
    memcpy(*field, &s, sizeof(s));
    *field += sizeof(s);
    return MG_OK;
}

static mg_rc
read_message(const msgpack_object *o, mg_msg *m)
{
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size == 0) {
        return MG_E_INPUT;
    }
    const msgpack_object *items = o->via.array.ptr;
    if (items[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return MG_E_INPUT;
    }
    const struct layout *l = find_layout(items[0].via.u64);
    if (l == NULL) {
        mg_count(MG_C_UNKNOWN_MESSAGES, 1);
        return MG_E_NOT_FOUND;
    }
    size_t count = l->count;
    if (o->via.array.size < count + 1) {
        count -= optional_count(l);
    }
    if (o->via.array.size < count + 1) {
        return MG_E_INPUT;
    }
    m->type = (mg_msg_type)l->type;
    char *field = (char *)&m->u;
    memset(field + l->size - optional_size(l), 0, optional_size(l));
    for (size_t i = 0; i < count; i++) {
        mg_rc rc = read_field(&items[i + 1], l->kinds[i], &field);
        if (rc != MG_OK) {
            return rc;
        }
    }
    return MG_OK;
}

/* big-endian number in the n bytes after the first one */
static size_t
number_after(mg_str in, size_t n)
{
    size_t v = 0;
    for (size_t i = 1; i <= n && i < in.n; i++) {
        v = v << 8 | (unsigned char)in.p[i];
    }
    return v;
}

/* Size of the unsigned integer, string or bytes at the start of in; 0 if it is
   none of these. It may be beyond the end of in. */
static size_t
field_size(mg_str in)
{
    unsigned char c = (unsigned char)in.p[0];
    if (c <= 0x7f) { /* small integer */
        return 1;
    }
    if (c >= 0xa0 && c <= 0xbf) { /* short string */
        return 1 + (c & 0x1fu);
    }
    if (c >= 0xcc && c <= 0xcf) { /* integer of 1, 2, 4 or 8 bytes */
        return 1 + ((size_t)1 << (c - 0xcc));
    }
    if ((c >= 0xd9 && c <= 0xdb) || (c >= 0xc4 && c <= 0xc6)) {
        /* string, bytes; their length in 1, 2 or 4 bytes */
        size_t n = (size_t)1 << (c >= 0xd9 ? c - 0xd9 : c - 0xc4);
        return 1 + n + number_after(in, n);
    }
    return 0;
}

/* Whether an array of such fields is complete at the start of in. Anything
   else makes msgpack-c ask for as much memory as it announces. */
static bool
is_flat_array(mg_str in)
{
    unsigned char c = (unsigned char)in.p[0];
    bool is_short = c >= 0x90 && c <= 0x9f;
    size_t fields = is_short ? c & 0xfu : number_after(in, 2);
    size_t at = is_short ? 1 : 3;
    if ((!is_short && c != 0xdc) || in.n < at) {
        return false;
    }
    for (; fields > 0; fields--) {
        size_t size =
            at < in.n ? field_size((mg_str){in.p + at, in.n - at}) : 0;
        if (size == 0 || size > in.n - at) {
            return false;
        }
        at += size;
    }
    return true;
}

/* Decodes one message; MG_E_NOT_FOUND if its type is unknown. */
static mg_rc
decode_next(mg_str *rest, mg_msg *m)
{
    if (rest->n == 0) {
        return MG_E_CLOSED;
    }
    if (!is_flat_array(*rest)) {
        return MG_E_INPUT;
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t off = 0;
    mg_rc rc = MG_E_INPUT;
    if (msgpack_unpack_next(&unpacked, rest->p, rest->n, &off) ==
        MSGPACK_UNPACK_SUCCESS) {
        rc = read_message(&unpacked.data, m);
        rest->p += off;
        rest->n -= off;
    }
    msgpack_unpacked_destroy(&unpacked);
    return rc;
}

mg_rc
mg_msg_next(mg_str *rest, mg_msg *m)
{
    mg_rc rc;
    do {
        rc = decode_next(rest, m);
    } while (rc == MG_E_NOT_FOUND);
    return rc;
}

mg_rc
mg_msg_decode(mg_str bytes, mg_msg *m)
{
    mg_rc rc = decode_next(&bytes, m);
    if (rc == MG_E_CLOSED || (rc == MG_OK && bytes.n != 0)) {
        return MG_E_INPUT;
    }
    return rc;
}

void
mg_frame_encode(const mg_msg *m, mg_buf *out)
{
    size_t start = out->n;
    mg_buf_put(out, "\0\0\0\0", MG_FRAME_HEADER_SIZE);
    mg_msg_encode(m, out);
    size_t n = out->n - start - MG_FRAME_HEADER_SIZE;
    MG_INVARIANT(n <= MG_FRAME_MAX);
    for (size_t i = 0; i < MG_FRAME_HEADER_SIZE; i++) {
        out->p[start + i] = (char)(n >> (8 * (MG_FRAME_HEADER_SIZE - 1 - i)));
    }
}

mg_rc
mg_frame_decode(mg_str in, size_t max, size_t *used, mg_msg *m)
{
    *used = 0;
    if (in.n < MG_FRAME_HEADER_SIZE) {
        return MG_E_IN_PROGRESS;
    }
    size_t n = 0;
    for (size_t i = 0; i < MG_FRAME_HEADER_SIZE; i++) {
        n = n << 8 | (unsigned char)in.p[i];
    }
    if (n > max) {
        return MG_E_TOO_LARGE;
    }
    if (in.n < MG_FRAME_HEADER_SIZE + n) {
        return MG_E_IN_PROGRESS;
    }
    *used = MG_FRAME_HEADER_SIZE + n;
    return mg_msg_decode((mg_str){in.p + MG_FRAME_HEADER_SIZE, n}, m);
}
