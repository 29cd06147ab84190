/*
 * toml - parses TOML text into a JSON tree with positions
 *
 * A C interface to the parser toml++. The tree holds objects, arrays,
 * strings, integers, reals and booleans; dates and times become strings in
 * RFC 3339 format. The tree of positions has the same shape: an object {"l":
 * line, "c": column, "k": {key: position}} for a table, {"l", "c", "a":
 * [position]} for an array.
 */
#ifndef MG_TOML_H
#define MG_TOML_H

#include <jansson.h>

#include "base/bytes.h"
#include "base/outcome.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct mg_toml {
    json_t *tree;      /* owned */
    json_t *positions; /* owned */
} mg_toml;

/* MG_E_TOO_LARGE for more than text_max bytes, MG_E_INPUT for invalid TOML;
   err names the file and, for a syntax error, line and column. */
mg_rc
mg_toml_parse(mg_str text, const char *file, size_t text_max, mg_toml *out,
              mg_error *err);
void
mg_toml_free(mg_toml *t);

#ifdef __cplusplus
}
#endif

#endif
