/*
 * view - what an entry knows of the control group's state
 *
 * It takes the records that renewals bring and keeps the parsed document,
 * the members, the holders of the pools, and the moves and quarantines with
 * their revisions. It never goes back: a record older than the known one is
 * dropped.
 */
#ifndef MG_VIEW_H
#define MG_VIEW_H

#include "topology/config.h"

typedef struct mg_member {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE];
    char http_addr[MG_ADDR_SIZE];
    char link_addr[MG_ADDR_SIZE];
    char domain[MG_NAME_SIZE];
    uint64_t incarnation;
    unsigned draining;
    uint64_t rev;
} mg_member;

typedef struct mg_holder {
    UT_hash_handle hh;
    char pool[MG_NAME_SIZE];
    char node[MG_NAME_SIZE];
    uint64_t incarnation;
    uint64_t epoch;
    uint64_t rev;
} mg_holder;

/* a record kept as it came: a move or a quarantine */
typedef struct mg_stored_record {
    UT_hash_handle hh;
    char key[MG_NAME_SIZE + 1]; /* kind, then the key */
    uint64_t rev;
    mg_buf value;
} mg_stored_record;

typedef struct mg_view mg_view;

mg_view *
mg_view_new(void);
void
mg_view_free(mg_view *v);
/*
 * Takes RECORD messages and the revision that they lead up to. MG_E_INPUT
 * when one is malformed: the view keeps its revision, so that they come
 * again.
 */
mg_rc
mg_view_apply(mg_view *v, mg_str records, uint64_t rev, mg_error *err);

uint64_t
mg_view_rev(const mg_view *v);
/* Revision of the newest section. */
uint64_t
mg_view_document_rev(const mg_view *v);
const mg_config *
mg_view_config(const mg_view *v);
const mg_member *
mg_view_members(const mg_view *v); /* linked by hh.next */
const mg_member *
mg_view_member(const mg_view *v, const char *node);
const mg_holder *
mg_view_holder(const mg_view *v, const char *pool);
const mg_holder *
mg_view_holders(const mg_view *v);
/* Revision of a kept record, 0 when there is none; value is borrowed. */
uint64_t
mg_view_record(const mg_view *v, unsigned kind, const char *key,
               mg_str *value);
void
mg_view_each_record(const mg_view *v, unsigned kind,
                    void (*f)(void *user, const mg_msg *value), void *user);

#endif
