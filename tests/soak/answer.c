#include "answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define PIECES_MIN 3
#define PIECES_SPREAD 8
#define PIECES_MAX (PIECES_MIN + PIECES_SPREAD)
#define OVERHEAD_BYTES 1024 /* of the head and the framing */
#define EVENT_PAUSE_MS 40
#define PIECE_PAUSE_MS 4
#define TOGETHER_SHARE 0.3 /* of the pieces: with the next one */
#define READ_ON_BYTES (256u << 10)
/* of those that break off: all that is written is written at once */
#define AT_ONCE_SHARE 0.5
/* of those that break off: not together with their last bytes */
#define READ_ON_SHARE 0.25
#define PAUSE_SHARE 0.25
#define BREAK_PAUSE_MS 40

typedef struct wire {
    char *bytes;
    size_t count;
    size_t head;                   /* its size */
    size_t pieces[PIECES_MAX + 1]; /* where they begin; the last: body's end */
    unsigned piece_count;
} wire;

const char *const soak_framing_names[SOAK_FRAMINGS] = {"length", "chunks",
                                                       "to_end"};
const char *const soak_place_names[SOAK_PLACES] = {
    "before_head", "in_head",    "in_body", "between",
    "in_piece",    "before_end", "at_crash"};
const char *const soak_way_names[SOAK_WAYS] = {"fin", "rst", "silent"};

/* ---------------------------------------------------------------- bodies */

static uint32_t
hash_of(unsigned attempt)
{
    uint32_t h = attempt * 2654435761u;
    h ^= h >> 15;
    h *= 2246822519u;
    return h ^ h >> 13;
}

unsigned
soak_piece_count(unsigned attempt)
{
    return PIECES_MIN + hash_of(attempt) % PIECES_SPREAD;
}

size_t
soak_piece(unsigned attempt, bool is_stream, unsigned id, unsigned run,
           unsigned after, char *out)
{
    /* bodies that are read at once, by a few reads, by many */
    static const uint32_t sizes[] = {100, 100, 4000, 20000};
    uint32_t max = is_stream ? 600 : sizes[(hash_of(attempt) >> 8) % 4];
    size_t fill = hash_of(attempt + id * 7919) % max;
    size_t size = (size_t)snprintf(out, SOAK_PIECE_BYTES_MAX,
                                   "id: %02u\ndata: %08x %02u %02u ", id % 100,
                                   attempt, run % 100, after % 100);
    for (size_t i = 0; i < fill; i++) {
        out[size++] = (char)('a' + (attempt + id + i + i / 64 * 5) % 26);
    }
    strcpy(out + size, "\n\n");
    return size + 2;
}

/* ------------------------------------------------------------------ wire */

static void
put_head(const soak_answer *a, soak_framing framing, size_t size, wire *w)
{
    char text[64];
    snprintf(text, sizeof(text), "Content-Length: %zu\r\n", size);
    if (framing == SOAK_CHUNKS) {
        strcpy(text, "Transfer-Encoding: chunked\r\n");
    }
    else if (framing == SOAK_TO_END) {
        strcpy(text, a->attempt % 2 == 0 ? "Connection: close\r\n" : "");
    }
    w->head = (size_t)snprintf(
        w->bytes, OVERHEAD_BYTES,
        "HTTP/1.1 200 OK\r\nMarigoldgw-Attempt-Id: %016x\r\n"
        "Marigoldgw-Response-Seal: seal-%016x\r\nContent-Type: %s\r\n%s\r\n",
        a->attempt, a->attempt,
        a->is_stream ? "text/event-stream" : "text/plain", text);
    w->count = w->head;
}

static void
build_wire(const soak_answer *a, soak_framing framing, wire *w)
{
    char text[SOAK_PIECE_BYTES_MAX];
    unsigned last = soak_piece_count(a->attempt);
    size_t size = 0;
    for (unsigned id = a->after + 1; id <= last; id++) {
        size += soak_piece(a->attempt, a->is_stream, id, 0, 0, text);
    }
    w->bytes = malloc(size + OVERHEAD_BYTES);
    put_head(a, framing, size, w);
    for (unsigned id = a->after + 1; id <= last; id++) {
        size_t n =
            soak_piece(a->attempt, a->is_stream, id, a->run, a->after, text);
        w->pieces[w->piece_count++] = w->count;
        char *at = w->bytes + w->count;
        if (framing == SOAK_CHUNKS) {
            at += sprintf(at, "%zx\r\n", n);
            strcpy(text + n, "\r\n");
            n += 2;
        }
        memcpy(at, text, n);
        w->count = (size_t)(at - w->bytes) + n;
    }
    w->pieces[w->piece_count] = w->count;
    if (framing == SOAK_CHUNKS) {
        w->count += (size_t)sprintf(w->bytes + w->count, "0\r\n\r\n");
    }
}

/* --------------------------------------------------------------- writing */

static size_t
draw_size(size_t n)
{
    return (size_t)(soak_draw() * (double)n);
}

/* How many bytes of its answer a target writes. */
static size_t
size_to_write(const soak_answer *a, const wire *w, soak_framing framing)
{
    size_t end = w->pieces[w->piece_count];
    unsigned i = (unsigned)draw_size(w->piece_count);
    if (!a->is_cut || w->piece_count == 0) {
        return a->is_cut ? end : w->count;
    }
    switch (a->fault.place) {
    case SOAK_BEFORE_HEAD:
        return 0;
    case SOAK_IN_HEAD:
        return 1 + draw_size(w->head - 1);
    case SOAK_IN_BODY:
        return w->head + draw_size(end - w->head);
    case SOAK_BETWEEN_PIECES:
        return w->pieces[i];
    case SOAK_IN_PIECE:
        return w->pieces[i] + 1 +
               draw_size(w->pieces[i + 1] - w->pieces[i] - 1);
    default:
        return framing == SOAK_LENGTH ? end - 1 : end;
    }
}

/* Reads a part of the rest of a request, so that its writing goes on. */
static void
read_on(soak_conn *c, soak_answer *a)
{
    size_t part = a->unread < READ_ON_BYTES ? a->unread : READ_ON_BYTES;
    size_t rest = draw_size(part);
    a->unread -= rest;
    soak_drain(c, &rest);
}

/* Writes piece after piece, some of them together; returns how many bytes were
   written. */
static size_t
write_pieces(soak_conn *c, soak_answer *a, const wire *w, size_t cut)
{
    int pause_ms = a->is_stream ? EVENT_PAUSE_MS : PIECE_PAUSE_MS;
    size_t sent = 0;
    bool at_once = a->is_cut && soak_draw() < AT_ONCE_SHARE;
    for (unsigned i = 0; i <= w->piece_count && !at_once; i++) {
        size_t until = w->pieces[i] < cut ? w->pieces[i] : cut;
        if (soak_draw() < TOGETHER_SHARE) {
            continue;
        }
        sent += soak_write_part(c->fd, w->bytes + sent, until - sent);
        if (sent < until || sent == cut) {
            return sent;
        }
        read_on(c, a);
        soak_sleep_ms((int64_t)(soak_draw() * pause_ms));
    }
    return sent + soak_write_part(c->fd, w->bytes + sent, cut - sent);
}

/* Records what has been written of an answer. */
static void
note_sent(const soak_answer *a, const wire *w, size_t sent, soak_run *run)
{
    unsigned i = 0;
    while (i < w->piece_count && w->pieces[i + 1] <= sent) {
        i++;
    }
    run->has_head = sent >= w->head;
    run->sent = (uint16_t)(a->after + i);
    run->rest = sent > w->pieces[i] ? (uint32_t)(sent - w->pieces[i]) : 0;
}

/* The target stops where it is; its connection ends. */
static void
break_off(soak_conn *c, soak_answer *a, soak_run *run)
{
    double how = soak_draw();
    run->state = SOAK_BROKEN;
    if (how < READ_ON_SHARE) {
        read_on(c, a);
    }
    else if (how < READ_ON_SHARE + PAUSE_SHARE) {
        soak_sleep_ms((int64_t)(soak_draw() * BREAK_PAUSE_MS));
    }
    if (run->way == SOAK_FIN) {
        soak_end_writing(c, a->unread);
        return;
    }
    if (run->way == SOAK_SILENT) {
        soak_sleep_ms(a->fault.silent_ms);
    }
    soak_reset(c);
}

bool
soak_write_answer(soak_conn *c, soak_answer *a, soak_run *run)
{
    soak_framing framing = (soak_framing)draw_size(SOAK_FRAMINGS);
    wire w = {0};
    build_wire(a, framing, &w);
    size_t cut = size_to_write(a, &w, framing);
    run->framing = framing;
    run->is_early = a->unread > 0;
    run->place = a->fault.place;
    run->way = a->is_cut ? a->fault.way : SOAK_FIN;
    /* a FIN after the body is no break where it is the end of the body */
    bool is_whole =
        cut == w.count && (framing != SOAK_TO_END || run->way == SOAK_FIN);
    size_t sent = write_pieces(c, a, &w, cut);
    if (sent == cut && !is_whole) {
        break_off(c, a, run);
    }
    note_sent(a, &w, sent, run);
    bool is_copied = framing != SOAK_TO_END && w.count < SOAK_BYTES_MAX;
    snprintf(a->copy, SOAK_BYTES_MAX, "%.*s", is_copied ? (int)w.count : 0,
             w.bytes);
    free(w.bytes);
    if (sent < cut || !is_whole) {
        return false;
    }
    run->state = SOAK_WHOLE;
    if (framing == SOAK_TO_END) {
        soak_end_writing(c, a->unread);
    }
    return framing != SOAK_TO_END;
}

/* --------------------------------------------------------------- reading */

typedef struct reader {
    soak_conn *conn;
    soak_seen *seen;
    unsigned attempt;
    bool is_stream;
    unsigned run; /* of the last piece */
    char piece[SOAK_PIECE_BYTES_MAX];
} reader;

/* Checks a piece, or its first bytes: it is the next one, and if its run is
   not that of the piece before, it began after that. */
static void
check_piece(reader *r)
{
    char expected[SOAK_PIECE_BYTES_MAX];
    soak_seen *s = r->seen;
    unsigned id = 0;
    unsigned attempt = 0;
    unsigned run = 0;
    unsigned after = 0;
    if (sscanf(r->piece, "id: %u\ndata: %x %u %u ", &id, &attempt, &run,
               &after) != 4) {
        s->is_disordered = true;
        return;
    }
    soak_piece(r->attempt, r->is_stream, s->got + 1, run, after, expected);
    bool goes_on = s->got > 0 && run == r->run;
    if (strncmp(expected, r->piece, s->rest) != 0 ||
        (!goes_on && after != s->got)) {
        s->is_disordered = true;
    }
    r->run = run;
}

/* Takes bytes of the body from those that have been read. */
static void
take(reader *r, size_t size)
{
    soak_seen *s = r->seen;
    for (size_t i = 0; i < size && s->status == 200 && !s->is_disordered;
         i++) {
        char *at = r->piece + s->rest++;
        at[0] = r->conn->bytes[i];
        at[1] = '\0';
        if (s->rest > 1 && at[0] == '\n' && at[-1] == '\n') {
            check_piece(r);
            s->got++;
            s->rest = 0;
        }
        else if (s->rest + 1 >= sizeof(r->piece)) {
            s->is_disordered = true;
        }
    }
    soak_skip(r->conn, size);
}

/* Takes a number of bytes; false if the connection ends before. */
static bool
take_sized(reader *r, size_t size)
{
    while (size > 0 && (r->conn->count > 0 || soak_fill(r->conn) > 0)) {
        size_t n = r->conn->count < size ? r->conn->count : size;
        take(r, n);
        size -= n;
    }
    return size == 0;
}

/* Reads a line of the chunks into out, without its end. */
static bool
read_line(reader *r, char *out, size_t size)
{
    soak_conn *c = r->conn;
    char *end;
    c->bytes[c->count] = '\0';
    while ((end = strstr(c->bytes, "\r\n")) == NULL) {
        if (c->count >= size || soak_fill(c) <= 0) {
            return false;
        }
    }
    snprintf(out, size, "%.*s", (int)(end - c->bytes), c->bytes);
    soak_skip(c, (size_t)(end - c->bytes) + 2);
    return true;
}

static soak_end
read_chunks(reader *r)
{
    char line[64];
    char *end;
    while (read_line(r, line, sizeof(line))) {
        size_t size = strtoul(line, &end, 16);
        bool is_chunk = end != line;
        if (!take_sized(r, size) || !read_line(r, line, sizeof(line))) {
            break;
        }
        if (!is_chunk || line[0] != '\0') {
            r->seen->is_wrong = true;
            break;
        }
        if (size == 0) {
            return SOAK_END_PROMISED;
        }
    }
    return SOAK_END_CUT;
}

static soak_end
read_to_end(reader *r)
{
    ssize_t n;
    do {
        take(r, r->conn->count);
        n = soak_fill(r->conn);
    } while (n > 0);
    return n == 0 ? SOAK_END_FIN : SOAK_END_CUT;
}

static soak_end
read_body(reader *r, const soak_message *m)
{
    char length[32];
    char coding[32];
    soak_header(m, "content-length", length, sizeof(length));
    soak_header(m, "transfer-encoding", coding, sizeof(coding));
    if (coding[0] != '\0') {
        return read_chunks(r);
    }
    if (length[0] == '\0') {
        r->seen->closes = true;
        return read_to_end(r);
    }
    bool is_whole = take_sized(r, strtoul(length, NULL, 10));
    return is_whole ? SOAK_END_PROMISED : SOAK_END_CUT;
}

/* Checks that an answer belongs to its attempt, and that none but a target's
   has a target's seal. */
static void
check_head(const soak_message *m, unsigned attempt, soak_seen *seen)
{
    char text[64];
    char expected[64];
    bool is_targets = seen->status == 200 || seen->status == 500;
    soak_header(m, "marigoldgw-attempt-id", text, sizeof(text));
    seen->is_wrong = text[0] != '\0' && strtoul(text, NULL, 16) != attempt;
    soak_header(m, "marigoldgw-response-seal", text, sizeof(text));
    snprintf(expected, sizeof(expected), "seal-%016x", attempt);
    if (seen->status == 200 || text[0] != '\0') {
        seen->is_wrong |= !is_targets || strcmp(text, expected) != 0;
    }
}

void
soak_see(soak_conn *c, soak_message *m, unsigned attempt, bool is_stream,
         soak_seen *seen)
{
    char text[64];
    reader r = {c, seen, attempt, is_stream, 0, ""};
    *seen = (soak_seen){.closes = true};
    if (!soak_read_head(c, m) ||
        sscanf(m->head, "HTTP/1.%*d %d", &seen->status) != 1) {
        return;
    }
    soak_header(m, "connection", text, sizeof(text));
    seen->closes = strcmp(text, "close") == 0;
    check_head(m, attempt, seen);
    seen->end = read_body(&r, m);
    if (seen->rest > strlen("id: 00\ndata: 00000000 00 00 ")) {
        check_piece(&r);
    }
    /* an end inside an event is seen */
    if (is_stream && seen->end == SOAK_END_FIN && seen->rest > 0) {
        seen->end = SOAK_END_CUT;
    }
    seen->closes |= seen->end == SOAK_END_CUT;
}
