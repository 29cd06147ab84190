/*
 * config - the configuration document: tiers, pools, workspaces, rollouts
 *
 * The document is a TOML text with one table per section. A section belongs
 * to a team. It is converted to canonical JSON (sorted keys, no spaces), the
 * form in which the control group stores, hashes and distributes it.
 *
 * An mg_config holds parsed sections and looks up their objects by name.
 * Sections are replaced as a whole, which frees the objects of the old one.
 * Code that outlives an event loop iteration must therefore keep names, not
 * pointers.
 */
#ifndef MG_CONFIG_H
#define MG_CONFIG_H

#include <uthash.h>

#include "base/check.h"
#include "base/list.h"
#include "wire/msg.h"

#define MG_DOCUMENT_BYTES_MAX (16u << 20)
#define MG_TIER_MAX 8 /* ranks 0 to 7 */

typedef struct mg_tier {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    int64_t rank;        /* 0: highest priority, shed last */
    int64_t deadline_ms; /* of requests that specify no deadline */
} mg_tier;

/* a group of targets that serve one model or service */
typedef struct mg_pool {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    char kind[MG_NAME_SIZE];      /* "engine" or "service" */
    char version[MG_NAME_SIZE];   /* empty: any version is used */
    bool idempotent;              /* false: no request is idempotent */
    int64_t queue_max;            /* maximum number of queued tickets */
    char placement[MG_NAME_SIZE]; /* policy/place.h; empty: default */
} mg_pool;

typedef struct mg_workspace {
    UT_hash_handle hh;
    char *name;
    char *member; /* name under which its completed requests are counted */
    char *tier;
    char key_sha256[MG_HEX_SHA256_SIZE];
    int32_t weight; /* relative share within its tier */
} mg_workspace;

/* planned rollout of another version in a pool */
typedef struct mg_rollout_plan {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    char pool[MG_NAME_SIZE];
    char to_version[MG_NAME_SIZE];
    int64_t start_wall_ms;    /* ms since 1970; 0: immediately */
    int64_t deadline_wall_ms; /* ms since 1970 */
    double canary_percent;    /* of the pool's requests */
} mg_rollout_plan;

typedef struct mg_config mg_config;

/* one section of a parsed document */
typedef struct mg_section {
    char name[MG_NAME_SIZE];
    char owner[MG_NAME_SIZE];
    int64_t version;
    char digest[MG_HEX_SHA256_SIZE]; /* SHA-256 of text */
    char *text;                      /* canonical JSON; owned */
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
 * Adds a section or replaces the one of that name. Errors go to ck, with
 * positions if pos is not NULL, and MG_E_INPUT is returned. An invalid tree
 * leaves the old section in place; a conflict with another section (a name
 * or key defined twice) removes it.
 */
mg_rc
mg_config_set_section(mg_config *c, const char *name, json_t *tree,
                      json_t *pos, mg_checker *ck);
/* Same as mg_config_set_section(), from JSON text. */
mg_rc
mg_config_set_section_json(mg_config *c, const char *name, mg_str text,
                           mg_checker *ck);
void
mg_config_remove_section(mg_config *c, const char *name);
/* Checks the rules across sections: ranks are unique, references exist. */
void
mg_config_verify(const mg_config *c, mg_checker *ck);

const mg_tier *
mg_config_tier(const mg_config *c, const char *name);
const mg_pool *
mg_config_pool(const mg_config *c, mg_str name);
const mg_workspace *
mg_config_workspace(const mg_config *c, const char *name);
/* Workspace of a client's API key (as sent, not hashed), or NULL. Looked up
   by the SHA-256 of the key. */
const mg_workspace *
mg_config_workspace_by_key(const mg_config *c, mg_str key);
/* The rollout planned for a pool, or NULL. A pool has at most one. */
const mg_rollout_plan *
mg_config_rollout(const mg_config *c, const char *pool);
/* Head of the list of all pools, linked by hh.next. */
const mg_pool *
mg_config_first_pool(const mg_config *c);
/* Head of the list of all planned rollouts, linked by hh.next. */
const mg_rollout_plan *
mg_config_first_rollout(const mg_config *c);
size_t
mg_config_workspace_count(const mg_config *c);

/*
 * Parses and checks a whole document, except for mg_config_verify(). All
 * errors go to ck. On MG_OK the caller frees doc.
 */
mg_rc
mg_document_parse(mg_str text, const char *file, mg_document *doc,
                  mg_checker *ck);
void
mg_document_free(mg_document *doc);

#endif
