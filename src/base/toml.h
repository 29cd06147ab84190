/*
 * toml - TOML text as a JSON tree with positions
 *
 * The parser is tomlplusplus behind this C interface. The tree holds
 * objects, arrays, strings, integers, reals and booleans; dates become
 * strings as they are written in RFC 3339. The positions tree has the same
 * shape: an object {"l": line, "c": column, "k": {key: position}} for a
 * table, {"l", "c", "a": [position]} for an array.
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

/* text_max bounds the text; err names file, line and column. */
mg_rc
mg_toml_parse(mg_str text, const char *file, size_t text_max, mg_toml *out,
              mg_error *err);
void
mg_toml_free(mg_toml *t);

#ifdef __cplusplus
}
#endif

#endif
