#include "entry/view.h"

#include <stdlib.h>
#include <string.h>

struct mg_view {
    uint64_t rev;
    uint64_t document_rev;
    mg_config *config;
    mg_member *members;
    mg_holder *holders;
    mg_stored_record *records;
};

mg_view *
mg_view_new(void)
{
    mg_view *v = mg_alloc(sizeof(*v));
    v->config = mg_config_new();
    return v;
}

void
mg_view_free(mg_view *v)
{
    mg_member *m;
    mg_member *m1;
    HASH_ITER(hh, v->members, m, m1)
    {
        HASH_DEL(v->members, m);
        free(m);
    }
    mg_holder *h;
    mg_holder *h1;
    HASH_ITER(hh, v->holders, h, h1)
    {
        HASH_DEL(v->holders, h);
        free(h);
    }
    mg_stored_record *r;
    mg_stored_record *r1;
    HASH_ITER(hh, v->records, r, r1)
    {
        HASH_DEL(v->records, r);
        mg_buf_free(&r->value);
        free(r);
    }
    mg_config_free(v->config);
    free(v);
}

static void
set_member(mg_view *v, const mg_rec_member_msg *r, uint64_t rev)
{
    char node[MG_NAME_SIZE];
    mg_member *m;
    mg_str_copy(node, sizeof(node), r->node);
    HASH_FIND_STR(v->members, node, m);
    if (m == NULL) {
        m = mg_alloc(sizeof(*m));
        memcpy(m->node, node, sizeof(node));
        HASH_ADD_STR(v->members, node, m);
    }
    if (rev < m->rev) {
        return;
    }
    mg_str_copy(m->http_addr, sizeof(m->http_addr), r->http_addr);
    mg_str_copy(m->link_addr, sizeof(m->link_addr), r->link_addr);
    mg_str_copy(m->domain, sizeof(m->domain), r->domain);
    m->incarnation = r->incarnation;
    m->draining = (unsigned)r->draining;
    m->rev = rev;
}

static void
set_holder(mg_view *v, const mg_rec_pool_msg *r, uint64_t rev)
{
    char pool[MG_NAME_SIZE];
    mg_holder *h;
    mg_str_copy(pool, sizeof(pool), r->pool);
    HASH_FIND_STR(v->holders, pool, h);
    if (h == NULL) {
        h = mg_alloc(sizeof(*h));
        memcpy(h->pool, pool, sizeof(pool));
        HASH_ADD_STR(v->holders, pool, h);
    }
    if (rev < h->rev) {
        return;
    }
    mg_str_copy(h->node, sizeof(h->node), r->holder);
    h->incarnation = r->incarnation;
    h->epoch = r->epoch;
    h->rev = rev;
}

static void
make_key(char out[MG_NAME_SIZE + 1], unsigned kind, mg_str key)
{
    out[0] = (char)('0' + kind);
    mg_str_copy(out + 1, MG_NAME_SIZE, key);
}

static mg_stored_record *
find_record(const mg_view *v, unsigned kind, mg_str key)
{
    char id[MG_NAME_SIZE + 1];
    mg_stored_record *r;
    make_key(id, kind, key);
    HASH_FIND_STR(v->records, id, r);
    return r;
}

static void
store_record(mg_view *v, const mg_record_msg *rec)
{
    mg_stored_record *r = find_record(v, (unsigned)rec->kind, rec->key);
    if (r == NULL) {
        r = mg_alloc(sizeof(*r));
        make_key(r->key, (unsigned)rec->kind, rec->key);
        HASH_ADD_STR(v->records, key, r);
    }
    if (rec->rev < r->rev) {
        return;
    }
    r->rev = rec->rev;
    r->value.n = 0;
    mg_buf_put(&r->value, rec->value.p, rec->value.n);
}

static mg_rc
set_section(mg_view *v, const mg_rec_section_msg *s, mg_error *err)
{
    mg_checker ck;
    char name[MG_NAME_SIZE];
    mg_str_copy(name, sizeof(name), s->name);
    mg_checker_init(&ck, "revision");
    mg_rc rc = mg_config_set_section_json(v->config, name, s->text, &ck);
    if (rc != MG_OK) {
        mg_fail(err, rc, "%.*s", (int)ck.errors.n, ck.errors.p);
    }
    mg_checker_free(&ck);
    return rc;
}

/* removes changed sections first, so that names may move between them */
static mg_rc
remove_changed_sections(mg_view *v, mg_str records)
{
    mg_msg m;
    mg_rc rc;
    while ((rc = mg_msg_next(&records, &m)) == MG_OK) {
        if (m.type != MG_MSG_RECORD) {
            return MG_E_INPUT;
        }
        if (m.u.record.kind == MG_RECORD_SECTION) {
            char name[MG_NAME_SIZE];
            mg_str_copy(name, sizeof(name), m.u.record.key);
            mg_config_remove_section(v->config, name);
        }
    }
    return rc == MG_E_CLOSED ? MG_OK : MG_E_INPUT;
}

static mg_rc
apply_record(mg_view *v, const mg_record_msg *rec, mg_error *err)
{
    mg_msg value;
    if (mg_msg_decode(rec->value, &value) != MG_OK) {
        return mg_fail(err, MG_E_INPUT, "malformed record");
    }
    switch (value.type) {
    case MG_MSG_REC_SECTION:
        v->document_rev = rec->rev;
        return set_section(v, &value.u.rec_section, err);
    case MG_MSG_REC_MEMBER:
        set_member(v, &value.u.rec_member, rec->rev);
        return MG_OK;
    case MG_MSG_REC_POOL:
        set_holder(v, &value.u.rec_pool, rec->rev);
        return MG_OK;
    case MG_MSG_REC_MOVE:
    case MG_MSG_REC_QUARANTINE:
        store_record(v, rec);
        return MG_OK;
    default:
        return mg_fail(err, MG_E_INPUT, "unknown record type");
    }
}

mg_rc
mg_view_apply(mg_view *v, mg_str records, uint64_t rev, mg_error *err)
{
    if (rev <= v->rev) {
        return MG_OK;
    }
    mg_rc rc = remove_changed_sections(v, records);
    if (rc != MG_OK) {
        return mg_fail(err, rc, "malformed records");
    }
    mg_msg m;
    mg_rc result = MG_OK;
    while (mg_msg_next(&records, &m) == MG_OK) {
        rc = apply_record(v, &m.u.record, err);
        result = rc != MG_OK ? rc : result;
    }
    if (result == MG_OK) {
        v->rev = rev;
    }
    return result;
}

uint64_t
mg_view_rev(const mg_view *v)
{
    return v->rev;
}

uint64_t
mg_view_document_rev(const mg_view *v)
{
    return v->document_rev;
}

const mg_config *
mg_view_config(const mg_view *v)
{
    return v->config;
}

const mg_member *
mg_view_members(const mg_view *v)
{
    return v->members;
}

const mg_member *
mg_view_member(const mg_view *v, const char *node)
{
    mg_member *m;
    HASH_FIND_STR(v->members, node, m);
    return m;
}

const mg_holder *
mg_view_holder(const mg_view *v, const char *pool)
{
    mg_holder *h;
    HASH_FIND_STR(v->holders, pool, h);
    return h;
}

const mg_holder *
mg_view_holders(const mg_view *v)
{
    return v->holders;
}

uint64_t
mg_view_record(const mg_view *v, unsigned kind, const char *key, mg_str *value)
{
    const mg_stored_record *r = find_record(v, kind, mg_str_of(key));
    if (r == NULL) {
        return 0;
    }
    *value = mg_str_buf(&r->value);
    return r->rev;
}

void
mg_view_each_record(const mg_view *v, unsigned kind,
                    void (*f)(void *user, const mg_msg *value), void *user)
{
    for (const mg_stored_record *r = v->records; r != NULL; r = r->hh.next) {
        mg_msg m;
        if (r->key[0] == (char)('0' + kind) &&
            mg_msg_decode(mg_str_buf(&r->value), &m) == MG_OK) {
            f(user, &m);
        }
    }
}
