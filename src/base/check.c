#include "base/check.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MAX_KEYS 64
#define NEAREST_MAX_EDITS 4

void
mg_checker_init(mg_checker *c, const char *file)
{
    memset(c, 0, sizeof(*c));
    c->file = file;
}

void
mg_checker_free(mg_checker *c)
{
    mg_buf_free(&c->errors);
}

void
mg_check_error(mg_checker *c, json_t *pos, const char *key, const char *fmt,
               ...)
{
    char text[400];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    c->error_count++;
    mg_buf_printf(&c->errors, "%s:", c->file);
    json_t *line = pos ? json_object_get(pos, "l") : NULL;
    if (line != NULL) {
        mg_buf_printf(&c->errors, "%d:", (int)json_integer_value(line));
    }
    const char *dot = c->path[0] && key ? "." : "";
    mg_buf_printf(&c->errors, " %s%s%s: %s\n", c->path, dot, key ? key : "",
                  text);
}

json_t *
mg_key_position(json_t *pos, const char *key)
{
    json_t *keys = pos ? json_object_get(pos, "k") : NULL;
    return keys ? json_object_get(keys, key) : NULL;
}

static size_t
min3(size_t a, size_t b, size_t c)
{
    size_t m = a < b ? a : b;
    return m < c ? m : c;
}

/* edit distance by the two-row method of Wagner and Fischer */
static size_t
edit_distance(const char *a, const char *b)
{
    size_t row[MG_NAME_SIZE + 1];
    size_t nb = strnlen(b, MG_NAME_SIZE);
    for (size_t j = 0; j <= nb; j++) {
        row[j] = j;
    }
    for (size_t i = 0; a[i] != '\0'; i++) {
        size_t diagonal = row[0];
        row[0] = i + 1;
        for (size_t j = 0; j < nb; j++) {
            size_t cost = diagonal + (a[i] != b[j]);
            diagonal = row[j + 1];
            row[j + 1] = min3(row[j] + 1, diagonal + 1, cost);
        }
    }
    return row[nb];
}

const char *
mg_nearest_name(const char *name, const char *const *names, size_t n)
{
    const char *best = NULL;
    size_t best_edits = NEAREST_MAX_EDITS + 1;
    for (size_t i = 0; i < n; i++) {
        size_t edits = edit_distance(name, names[i]);
        if (edits < best_edits) {
            best_edits = edits;
            best = names[i];
        }
    }
    return best;
}

mg_rc
mg_parse_time(const char *text, int64_t *ms)
{
    struct tm tm = {0};
    const char *rest = strptime(text, "%Y-%m-%dT%H:%M:%S", &tm);
    if (rest == NULL) {
        return MG_E_INPUT;
    }
    if (*rest == '.') {
        rest++;
        rest += strspn(rest, "0123456789");
    }
    if (strcmp(rest, "Z") != 0 && strcmp(rest, "+00:00") != 0) {
        return MG_E_INPUT;
    }
    *ms = (int64_t)timegm(&tm) * 1000;
    return MG_OK;
}

static bool
is_name(const char *s)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    size_t n = strlen(s);
    return n > 0 && n < MG_NAME_SIZE && strspn(s, allowed) == n;
}

static void
read_text(mg_checker *c, json_t *v, json_t *pos, const mg_key_spec *k,
          char *dst)
{
    struct sockaddr_in sin;
    const char *s = json_string_value(v);
    size_t cap = k->type == MG_KEY_TEXT   ? MG_TEXT_SIZE
                 : k->type == MG_KEY_NAME ? MG_NAME_SIZE
                                          : MG_ADDR_SIZE;
    if (s == NULL || strlen(s) != json_string_length(v)) {
        mg_check_error(c, pos, k->name, "expected a string");
    }
    else if (strlen(s) >= cap) {
        mg_check_error(c, pos, k->name,
                       "expected at most %zu characters, got %zu", cap - 1,
                       strlen(s));
    }
    else if (k->type == MG_KEY_NAME && !is_name(s)) {
        mg_check_error(c, pos, k->name,
                       "expected a name of letters, digits, '.', '_' and "
                       "'-', got \"%.64s\"",
                       s);
    }
    else if (k->type == MG_KEY_ADDR && mg_addr_parse(s, &sin) != MG_OK) {
        mg_check_error(c, pos, k->name,
                       "expected an address IP:PORT, got \"%.64s\"", s);
    }
    else {
        strcpy(dst, s); /* length checked above */
    }
}

static void
read_number(mg_checker *c, json_t *v, json_t *pos, const mg_key_spec *k,
            char *dst)
{
    bool whole = k->type == MG_KEY_INT;
    if (whole ? !json_is_integer(v) : !json_is_number(v)) {
        mg_check_error(c, pos, k->name, "expected a%s number",
                       whole ? " whole" : "");
        return;
    }
    double d = json_number_value(v);
    if (!(d >= k->min && d <= k->max)) {
        mg_check_error(c, pos, k->name,
                       "expected a number from %.15g to %.15g, got %.15g",
                       k->min, k->max, d);
        return;
    }
    if (whole) {
        int64_t i = json_integer_value(v);
        memcpy(dst, &i, sizeof(i));
    }
    else {
        memcpy(dst, &d, sizeof(d));
    }
}

static void
read_time(mg_checker *c, json_t *v, json_t *pos, const mg_key_spec *k,
          char *dst)
{
    int64_t ms;
    const char *s = json_string_value(v);
    if (s == NULL || mg_parse_time(s, &ms) != MG_OK) {
        mg_check_error(c, pos, k->name,
                       "expected a UTC time such as 2026-12-05T06:00:00Z");
        return;
    }
    memcpy(dst, &ms, sizeof(ms));
}

static void
read_tables(mg_checker *c, json_t *v, json_t *pos, const mg_key_spec *k,
            void *out)
{
    if (!json_is_array(v)) {
        mg_check_error(c, pos, k->name, "expected tables, [[%s]]", k->name);
        return;
    }
    char saved[MG_TEXT_SIZE];
    memcpy(saved, c->path, sizeof(saved));
    json_t *items = pos ? json_object_get(pos, "a") : NULL;
    for (size_t i = 0; i < json_array_size(v); i++) {
        json_t *t = json_array_get(v, i);
        json_t *tp = items ? json_array_get(items, i) : NULL;
        snprintf(c->path, sizeof(c->path), "%.120s%s%s[%zu]", saved,
                 saved[0] ? "." : "", k->name, i);
        if (json_is_object(t)) {
            k->read_table(c, t, tp, out);
        }
        else {
            mg_check_error(c, tp, NULL, "expected a table");
        }
    }
    memcpy(c->path, saved, sizeof(saved));
}

static void
read_key(mg_checker *c, json_t *v, json_t *pos, const mg_key_spec *k,
         void *out)
{
    char *dst = (char *)out + k->offset;
    switch (k->type) {
    case MG_KEY_NAME:
    case MG_KEY_TEXT:
    case MG_KEY_ADDR:
        read_text(c, v, pos, k, dst);
        break;
    case MG_KEY_INT:
    case MG_KEY_REAL:
        read_number(c, v, pos, k, dst);
        break;
    case MG_KEY_BOOL:
        if (!json_is_boolean(v)) {
            mg_check_error(c, pos, k->name, "expected true or false");
        }
        else {
            *(bool *)dst = json_is_true(v);
        }
        break;
    case MG_KEY_TIME:
        read_time(c, v, pos, k, dst);
        break;
    case MG_KEY_TABLES:
        read_tables(c, v, pos, k, out);
        break;
    case MG_KEY_SKIP:
        break;
    }
}

static const mg_key_spec *
find_key(const mg_key_spec *keys, const char *name)
{
    for (; keys->name != NULL; keys++) {
        if (strcmp(keys->name, name) == 0) {
            return keys;
        }
    }
    return NULL;
}

static void
report_unknown(mg_checker *c, json_t *pos, const mg_key_spec *keys,
               const char *name)
{
    const char *names[MAX_KEYS];
    size_t n = 0;
    for (; keys[n].name != NULL && n < MAX_KEYS; n++) {
        names[n] = keys[n].name;
    }
    const char *near = mg_nearest_name(name, names, n);
    if (near != NULL) {
        mg_check_error(c, mg_key_position(pos, name), name,
                       "unknown key; did you mean \"%s\"?", near);
    }
    else {
        mg_check_error(c, mg_key_position(pos, name), name, "unknown key");
    }
}

void
mg_check_table(mg_checker *c, json_t *tree, json_t *pos,
               const mg_key_spec *keys, void *out)
{
    const char *name;
    json_t *v;
    json_object_foreach(tree, name, v)
    {
        const mg_key_spec *k = find_key(keys, name);
        if (k == NULL) {
            report_unknown(c, pos, keys, name);
        }
        else {
            read_key(c, v, mg_key_position(pos, name), k, out);
        }
    }
    for (const mg_key_spec *k = keys; k->name != NULL; k++) {
        if (k->required && json_object_get(tree, k->name) == NULL) {
            mg_check_error(c, pos, k->name, "missing key");
        }
    }
}
