/*
 * view - an entry's copy of the control group's state
 *
 * Applies the records that come with renewals and holds the parsed document,
 * the members, the holders of the pools, and the records of rollouts and
 * quarantines with their revisions. A record older than the known one is
 * ignored.
 */
#ifndef MG_VIEW_H
#define MG_VIEW_H

#include "topology/config.h"

/* an entry known to the control group */
typedef struct mg_member {
    UT_hash_handle hh;
    char node[MG_NAME_SIZE];
    char http_addr[MG_ADDR_SIZE];
    char link_addr[MG_ADDR_SIZE];
    char domain[MG_NAME_SIZE];
    uint64_t incarnation;
    unsigned draining; /* as in mg_drain_state */
    uint64_t rev;
} mg_member;

/* the entry that runs the scheduler of a pool */
typedef struct mg_holder {
    UT_hash_handle hh;
    char pool[MG_NAME_SIZE];
    char node[MG_NAME_SIZE];
    uint64_t incarnation;
    uint64_t epoch;
    uint64_t rev;
} mg_holder;

/* a rollout or quarantine record, stored encoded */
typedef struct mg_stored_record {
    UT_hash_handle hh;
    char key[MG_NAME_SIZE + 1]; /* digit of the kind, then the key */
    uint64_t rev;
    mg_buf value;
} mg_stored_record;

typedef struct mg_view mg_view;

mg_view *
mg_view_new(void);
void
mg_view_free(mg_view *v);
/*
 * Applies RECORD messages that lead to revision rev. Returns MG_E_INPUT when
 * one is malformed; the view then keeps its revision, so that the records
 * are sent again.
 */
mg_rc
mg_view_apply(mg_view *v, mg_str records, uint64_t rev, mg_error *err);

uint64_t
mg_view_rev(const mg_view *v);
/* Revision of the last section applied. */
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
/* Revision of a stored record, 0 if there is none; value is borrowed. */
uint64_t
mg_view_record(const mg_view *v, unsigned kind, const char *key,
               mg_str *value);
/* Calls f with each decoded record of a kind. */
void
mg_view_each_record(const mg_view *v, unsigned kind,
                    void (*f)(void *user, const mg_msg *value), void *user);

#endif
