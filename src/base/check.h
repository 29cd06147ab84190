/*
 * check - table-driven reading of a JSON tree into a struct
 *
 * One mg_key_spec describes one key: its type, bounds and where its value
 * goes. mg_check_table() reports every error it finds, not only the first:
 * file, line, path, what was expected; an unknown key with the nearest known
 * one. On any error nothing of the target struct may be used.
 */
#ifndef MG_CHECK_H
#define MG_CHECK_H

#include <jansson.h>
#include <stdbool.h>

#include "base/addr.h"
#include "base/bytes.h"
#include "base/outcome.h"

typedef enum mg_key_type {
    MG_KEY_NAME,   /* char[MG_NAME_SIZE]: [A-Za-z0-9._-]+ */
    MG_KEY_TEXT,   /* char[MG_TEXT_SIZE] */
    MG_KEY_ADDR,   /* char[MG_ADDR_SIZE]: IP:PORT */
    MG_KEY_INT,    /* int64_t */
    MG_KEY_REAL,   /* double */
    MG_KEY_BOOL,   /* bool */
    MG_KEY_TIME,   /* int64_t, ms since 1970; text in RFC 3339, UTC */
    MG_KEY_TABLES, /* array of tables: handled by the each function */
    MG_KEY_SKIP,   /* known, read elsewhere */
} mg_key_type;

#define MG_NAME_SIZE 64
#define MG_TEXT_SIZE 256

typedef struct mg_checker mg_checker;

typedef struct mg_key_spec {
    const char *name;
    mg_key_type type;
    bool required;
    size_t offset;
    double min; /* bounds of INT and REAL */
    double max;
    /* TABLES: called for each table with the struct being filled */
    void (*read_table)(mg_checker *c, json_t *tree, json_t *pos, void *out);
} mg_key_spec;

struct mg_checker {
    const char *file;
    char path[MG_TEXT_SIZE]; /* of the table being read */
    mg_buf errors;           /* one line each; owned */
    int error_count;
    void *user;
};

void
mg_checker_init(mg_checker *c, const char *file);
void
mg_checker_free(mg_checker *c);

/* Adds an error at a position (may be NULL). */
void
mg_check_error(mg_checker *c, json_t *pos, const char *key, const char *fmt,
               ...) __attribute__((format(printf, 4, 5)));
/* Reads tree into out by the table keys, which ends with a NULL name. */
void
mg_check_table(mg_checker *c, json_t *tree, json_t *pos,
               const mg_key_spec *keys, void *out);
/* Position of one key in a table's position, or NULL. */
json_t *
mg_key_position(json_t *pos, const char *key);
/* RFC 3339 in UTC ("2026-12-05T06:00:00Z") to ms since 1970. */
mg_rc
mg_parse_time(const char *text, int64_t *ms);
/* Name among names[n] with the fewest edits from name, or NULL. */
const char *
mg_nearest_name(const char *name, const char *const *names, size_t n);

#endif
