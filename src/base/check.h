/*
 * check - validates a JSON tree and reads it into a struct
 *
 * One mg_key_spec describes one key: its type, its bounds and the member that
 * gets its value. mg_check_table() reports all errors, not only the first,
 * each with file, line, path and the expected value; for an unknown key it
 * suggests the most similar known one. After an error the struct that was
 * filled must not be used.
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
    MG_KEY_TIME,   /* int64_t, ms since 1970; RFC 3339 text in UTC */
    MG_KEY_TABLES, /* array of tables, each read by read_table */
    MG_KEY_SKIP,   /* accepted, read elsewhere */
} mg_key_type;

/* with the terminating NUL */
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
    /* with MG_KEY_TABLES: called for each table of the array; out is the
       struct being filled */
    void (*read_table)(mg_checker *c, json_t *tree, json_t *pos, void *out);
} mg_key_spec;

struct mg_checker {
    const char *file;
    char path[MG_TEXT_SIZE]; /* key path of the table being read */
    mg_buf errors;           /* one line for each error; owned */
    int error_count;
    void *user; /* for the owner of the checker; not used here */
};

/* file is the name that the error lines give; it is not copied. */
void
mg_checker_init(mg_checker *c, const char *file);
void
mg_checker_free(mg_checker *c);

/* Appends an error line. pos (from mg_toml.positions) may be NULL; key is NULL
   when the error concerns the table itself. */
void
mg_check_error(mg_checker *c, json_t *pos, const char *key, const char *fmt,
               ...) __attribute__((format(printf, 4, 5)));
/* Reads the object tree into out. keys ends with an entry whose name is NULL;
   pos is the position of tree, or NULL. */
void
mg_check_table(mg_checker *c, json_t *tree, json_t *pos,
               const mg_key_spec *keys, void *out);
/* Position of a key in the table at pos; borrowed, NULL if there is none. */
json_t *
mg_key_position(json_t *pos, const char *key);
/* RFC 3339 in UTC ("2026-12-05T06:00:00Z") to ms since 1970; drops fractions
   of a second. MG_E_INPUT for any other text. */
mg_rc
mg_parse_time(const char *text, int64_t *ms);
/* Entry of names[n] with the smallest edit distance from name; NULL when all
   are more than 4 edits away. */
const char *
mg_nearest_name(const char *name, const char *const *names, size_t n);

#endif
