/*
 * settings - the TOML file with the settings of a process
 *
 * It holds addresses, the failure domain, the data directory, the members of
 * the control group, and keys. Keys are never logged.
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

/* a team that may write the document's sections that it owns */
typedef struct mg_owner {
    char name[MG_NAME_SIZE];
    char key_sha256[MG_TEXT_SIZE]; /* of its API key */
} mg_owner;

typedef struct mg_settings {
    char node[MG_NAME_SIZE];
    char domain[MG_NAME_SIZE];
    char link_addr[MG_ADDR_SIZE];
    char http_addr[MG_ADDR_SIZE];
    char link_key[MG_TEXT_SIZE];
    char target_key[MG_TEXT_SIZE]; /* for announcements; may be empty */
    char log_level[MG_NAME_SIZE];
    char data_dir[MG_TEXT_SIZE]; /* control: directory of the stored state */
    int64_t claims_max;          /* control: maximum number of ledger claims */
    int64_t snapshot_entries;    /* control: the log is compacted into a
                                    snapshot at this length */
    int64_t entries_ttl_ms;      /* entry: how long clients may cache the
                                    response of GET /v1/entries */
    int64_t body_max;            /* entry: maximum bytes of a request body */
    int64_t requests_max;        /* entry: maximum number of open requests */
    mg_control_addr control[MG_CONTROL_NODES_MAX];
    size_t control_count;
    mg_owner owners[MG_OWNERS_MAX];
    size_t owner_count;
} mg_settings;

/* Reads and checks the file. Errors are added to errors, one per line. */
mg_rc
mg_settings_load(const char *file, mg_settings *s, mg_buf *errors);
/* Id (from 1) of a node in the control group, 0 if it is not a member. */
unsigned
mg_settings_control_id(const mg_settings *s, const char *node);
/* Appends a file to out; MG_E_TOO_LARGE if it has more than max bytes. */
mg_rc
mg_read_file(const char *file, size_t max, mg_buf *out, mg_error *err);

#endif
