/*
 * settings - the small TOML file that each process starts from
 *
 * It holds addresses, the failure domain, the data folder, the control
 * group and keys. Keys never reach logs.
 */
#ifndef MG_SETTINGS_H
#define MG_SETTINGS_H

#include "base/check.h"

#define MG_SETTINGS_BYTES_MAX (256u << 10)
#define MG_CONTROL_NODES_MAX 7
#define MG_OWNERS_MAX 256

typedef struct mg_control_addr {
    char node[MG_NAME_SIZE];
    char link_addr[MG_ADDR_SIZE];
    char http_addr[MG_ADDR_SIZE]; /* for operators; may be empty */
} mg_control_addr;

/* a team and the sections that it may write */
typedef struct mg_owner {
    char name[MG_NAME_SIZE];
    char key_sha256[MG_TEXT_SIZE];
} mg_owner;

typedef struct mg_settings {
    char node[MG_NAME_SIZE];
    char domain[MG_NAME_SIZE];
    char link_addr[MG_ADDR_SIZE];
    char http_addr[MG_ADDR_SIZE];
    char link_key[MG_TEXT_SIZE];
    char target_key[MG_TEXT_SIZE]; /* targets announce with it; may be empty */
    char log_level[MG_NAME_SIZE];
    char data_dir[MG_TEXT_SIZE]; /* control */
    int64_t claims_max;          /* control */
    int64_t snapshot_entries;    /* control */
    int64_t entries_ttl_ms;      /* entry: how long callers may keep the
                                    answer of GET /v1/entries */
    int64_t body_max;            /* entry: bytes of a request */
    int64_t requests_max;        /* entry: open requests */
    mg_control_addr control[MG_CONTROL_NODES_MAX];
    size_t control_count;
    mg_owner owners[MG_OWNERS_MAX];
    size_t owner_count;
} mg_settings;

/* Reads and checks the file; every error goes to err, a line each. */
mg_rc
mg_settings_load(const char *file, mg_settings *s, mg_buf *errors);
/* Number (1..) of the node in the control group, 0 when it is not in it. */
unsigned
mg_settings_control_id(const mg_settings *s, const char *node);
/* Reads a whole file of at most max bytes. */
mg_rc
mg_read_file(const char *file, size_t max, mg_buf *out, mg_error *err);

#endif
