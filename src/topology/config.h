/*
 * config - the operators' document: tiers, pools, workspaces, moves
 *
 * The document is one TOML text with one table for each team's section. A
 * section is split off as canonical JSON (sorted keys, no spaces), which is
 * what the control group keeps, digests and gives to the entries.
 *
 * An mg_config holds parsed sections and finds their objects by name. A
 * section is replaced whole. Objects are valid until their section is
 * replaced; holders keep names, not pointers, across turns of the loop.
 */
#ifndef MG_CONFIG_H
#define MG_CONFIG_H

#include <uthash.h>

#include "base/check.h"
#include "base/list.h"
#include "wire/msg.h"

#define MG_DOCUMENT_BYTES_MAX (16u << 20)
#define MG_TIER_MAX 8

typedef struct mg_tier {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    int64_t rank;        /* 0 is the highest and is shed last */
    int64_t deadline_ms; /* when the caller names none */
} mg_tier;

/* a model or a plain service with the targets that serve it */
typedef struct mg_pool {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    char kind[MG_NAME_SIZE];      /* "engine" or "service" */
    char version[MG_NAME_SIZE];   /* empty: any version is served */
    bool idempotent;              /* false: every call is non-idempotent */
    int64_t queue_max;            /* waiting tickets */
    char placement[MG_NAME_SIZE]; /* see policy/place.h; empty: default */
} mg_pool;

typedef struct mg_workspace {
    UT_hash_handle hh;
    char *name;
    char *member; /* who is credited */
    char *tier;
    char key_sha256[MG_HEX_SHA256_SIZE];
    int32_t weight; /* share inside a tier */
} mg_workspace;

/* planned change of a pool from its version to another one */
typedef struct mg_rollout_plan {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    char pool[MG_NAME_SIZE];
    char to_version[MG_NAME_SIZE];
    int64_t start_wall_ms; /* 0: at once */
    int64_t deadline_wall_ms;
    double canary_percent;
} mg_rollout_plan;

typedef struct mg_config mg_config;

/* one section as split off the document; strings owned */
typedef struct mg_section {
    char name[MG_NAME_SIZE];
    char owner[MG_NAME_SIZE];
    int64_t version;
    char digest[MG_HEX_SHA256_SIZE];
    char *text; /* canonical JSON */
} mg_section;

typedef struct mg_document {
    mg_section *sections;
    size_t count;
} mg_document;

mg_config *
mg_config_new(void);
void
mg_config_free(mg_config *c);
/*
 * Replaces or adds a section. Errors go to the checker, with positions when
 * pos is given; the section then is left out.
 */
mg_rc
mg_config_set_section(mg_config *c, const char *name, json_t *tree,
                      json_t *pos, mg_checker *ck);
/* Same from canonical JSON. */
mg_rc
mg_config_set_section_json(mg_config *c, const char *name, mg_str text,
                           mg_checker *ck);
void
mg_config_remove_section(mg_config *c, const char *name);
/* References between sections: tiers of workspaces, pools of moves. */
void
mg_config_verify(const mg_config *c, mg_checker *ck);

const mg_tier *
mg_config_tier(const mg_config *c, const char *name);
const mg_pool *
mg_config_pool(const mg_config *c, mg_str name);
const mg_workspace *
mg_config_workspace(const mg_config *c, const char *name);
/* By the SHA-256 of the caller's key, compared as a whole hash. */
const mg_workspace *
mg_config_workspace_by_key(const mg_config *c, mg_str key);
/* The move of a pool, or NULL. At most one of them is planned at a time. */
const mg_rollout_plan *
mg_config_rollout(const mg_config *c, const char *pool);
const mg_pool *
mg_config_first_pool(const mg_config *c);
const mg_rollout_plan *
mg_config_first_rollout(const mg_config *c);
size_t
mg_config_workspace_count(const mg_config *c);

/*
 * Parses and checks a whole document; all errors go to the checker. On
 * MG_OK the caller frees doc.
 */
mg_rc
mg_document_parse(mg_str text, const char *file, mg_document *doc,
                  mg_checker *ck);
void
mg_document_free(mg_document *doc);

#endif
