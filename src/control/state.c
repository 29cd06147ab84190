#include "control/state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/list.h"

struct record {
    UT_hash_handle hh;
    struct list_head link; /* in mg_state.changes */
    char *id;              /* kind as one byte, then the key */
    size_t id_size;
    uint64_t rev;
    mg_buf value;
};

struct credit {
    UT_hash_handle hh;
    char *member;
    uint64_t count;
};

/* identifies the last batch of credits applied from an entry */
struct credit_batch {
    UT_hash_handle hh;
    char *holder;
    uint64_t incarnation;
    uint64_t seq;
};

struct mg_state {
    uint64_t rev;
    uint64_t document_rev;
    size_t claims_max;
    struct record *records;
    struct list_head changes; /* all records, by ascending rev */
    mg_claims *claims;
    struct credit *credits;
    struct credit_batch *batches;
};

mg_state *
mg_state_new(size_t claims_max)
{
    mg_state *s = mg_alloc(sizeof(*s));
    s->claims_max = claims_max;
    s->claims = mg_claims_new(claims_max);
    init_list_head(&s->changes);
    return s;
}

static void
clear_state(mg_state *s)
{
    list_for_each_safe(el, el1, &s->changes)
    {
        struct record *r = list_entry(el, struct record, link);
        HASH_DEL(s->records, r);
        list_del(&r->link);
        free(r->id);
        mg_buf_free(&r->value);
        free(r);
    }
    struct credit *c;
    struct credit *c1;
    HASH_ITER(hh, s->credits, c, c1)
    {
        HASH_DEL(s->credits, c);
        free(c->member);
        free(c);
    }
    struct credit_batch *b;
    struct credit_batch *b1;
    HASH_ITER(hh, s->batches, b, b1)
    {
        HASH_DEL(s->batches, b);
        free(b->holder);
        free(b);
    }
    mg_claims_free(s->claims);
    s->claims = NULL;
    s->rev = 0;
    s->document_rev = 0;
}

void
mg_state_free(mg_state *s)
{
    clear_state(s);
    free(s);
}

/* ------------------------------------------------------------ records */

static void
make_id(mg_buf *id, uint64_t kind, mg_str key)
{
    char k = (char)kind;
    mg_buf_put(id, &k, 1);
    mg_buf_put(id, key.p, key.n);
}

static struct record *
find_record(const mg_state *s, uint64_t kind, mg_str key)
{
    mg_buf id = {0};
    struct record *r;
    make_id(&id, kind, key);
    HASH_FIND(hh, s->records, id.p, id.n, r);
    mg_buf_free(&id);
    return r;
}

static void
put_record(mg_state *s, uint64_t kind, mg_str key, uint64_t rev, mg_str value)
{
    struct record *r = find_record(s, kind, key);
    if (r == NULL) {
        r = mg_alloc(sizeof(*r));
        mg_buf id = {0};
        make_id(&id, kind, key);
        r->id = id.p;
        r->id_size = id.n;
        HASH_ADD_KEYPTR(hh, s->records, r->id, r->id_size, r);
    }
    else {
        list_del(&r->link);
    }
    list_add_tail(&r->link, &s->changes);
    r->rev = rev;
    r->value.n = 0;
    mg_buf_put(&r->value, value.p, value.n);
    if (kind == MG_RECORD_SECTION) {
        s->document_rev = rev;
    }
}

static mg_record_kind
kind_of(const struct record *r)
{
    return (mg_record_kind)(unsigned char)r->id[0];
}

static mg_str
key_of(const struct record *r)
{
    return (mg_str){r->id + 1, r->id_size - 1};
}

/* whether guard_pool has epoch guard_epoch; true if the command names none */
static bool
guard_holds(const mg_state *s, const mg_cmd_put_msg *c)
{
    if (c->guard_pool.n == 0) {
        return true;
    }
    struct record *r = find_record(s, MG_RECORD_POOL, c->guard_pool);
    mg_msg m;
    return r != NULL && mg_msg_decode(mg_str_buf(&r->value), &m) == MG_OK &&
           m.type == MG_MSG_REC_POOL && m.u.rec_pool.epoch == c->guard_epoch;
}

static void
apply_put(mg_state *s, const mg_cmd_put_msg *c, mg_apply_reply *reply)
{
    struct record *r = find_record(s, c->kind, c->key);
    uint64_t rev = r ? r->rev : 0;
    if (c->kind == MG_RECORD_SECTION) {
        reply->rc = MG_E_INPUT;
    }
    else if (rev != c->expect_rev || !guard_holds(s, c)) {
        reply->rc = MG_E_DOCUMENT_CHANGED;
        reply->rev = rev;
    }
    else {
        reply->rev = ++s->rev;
        put_record(s, c->kind, c->key, reply->rev, c->value);
    }
}

/* ----------------------------------------------------------- sections */

/* revision at which a version was accepted, 0 when the version is unknown */
static uint64_t
find_version(mg_str history, uint64_t version, mg_str *digest)
{
    mg_msg m;
    while (mg_msg_next(&history, &m) == MG_OK) {
        if (m.u.section_version.version == version) {
            *digest = m.u.section_version.digest;
            return m.u.section_version.rev;
        }
    }
    return 0;
}

/*
 * Whether a section may be accepted. *known is the revision at which this
 * version was accepted before, 0 if it was not.
 */
static mg_rc
check_section(const mg_state *s, const mg_rec_section_msg *new_sec,
              uint64_t *known, char *why, size_t why_size)
{
    *known = 0;
    struct record *r = find_record(s, MG_RECORD_SECTION, new_sec->name);
    mg_msg m;
    if (r == NULL || mg_msg_decode(mg_str_buf(&r->value), &m) != MG_OK) {
        return MG_OK;
    }
    const mg_rec_section_msg *cur = &m.u.rec_section;
    if (new_sec->version > cur->version) {
        return MG_OK;
    }
    mg_str digest;
    uint64_t rev = find_version(cur->history, new_sec->version, &digest);
    if (rev == 0) {
        snprintf(why, why_size,
                 "section %.*s: version %" PRIu64
                 " is older than the accepted version %" PRIu64,
                 MG_STR_FMT(new_sec->name), new_sec->version, cur->version);
        return MG_E_VERSION_STALE;
    }
    if (!mg_str_eq(digest, new_sec->digest)) {
        snprintf(why, why_size,
                 "section %.*s: version %" PRIu64
                 " was accepted with digest %.*s, this one has %.*s",
                 MG_STR_FMT(new_sec->name), new_sec->version,
                 MG_STR_FMT(digest), MG_STR_FMT(new_sec->digest));
        return MG_E_VERSION_CONFLICT;
    }
    *known = rev;
    return MG_OK;
}

static void
put_version(mg_buf *out, uint64_t version, mg_str digest, uint64_t rev)
{
    mg_msg m = {.type = MG_MSG_SECTION_VERSION};
    m.u.section_version.version = version;
    m.u.section_version.digest = digest;
    m.u.section_version.rev = rev;
    mg_msg_encode(&m, out);
}

/* appends the section's version, then the old history, to out: newest first,
   at most MG_SECTION_HISTORY_MAX versions */
static void
make_history(const mg_rec_section_msg *sec, uint64_t rev, mg_str old,
             mg_buf *out)
{
    put_version(out, sec->version, sec->digest, rev);
    mg_msg m;
    for (int i = 1; i < MG_SECTION_HISTORY_MAX; i++) {
        if (mg_msg_next(&old, &m) != MG_OK) {
            break;
        }
        mg_msg_encode(&m, out);
    }
}

static void
accept_section(mg_state *s, const mg_rec_section_msg *sec, uint64_t rev)
{
    struct record *r = find_record(s, MG_RECORD_SECTION, sec->name);
    mg_msg old;
    mg_str old_history = {NULL, 0};
    if (r != NULL && mg_msg_decode(mg_str_buf(&r->value), &old) == MG_OK) {
        old_history = old.u.rec_section.history;
    }
    mg_buf history = {0};
    mg_buf value = {0};
    make_history(sec, rev, old_history, &history);
    mg_msg m = {.type = MG_MSG_REC_SECTION};
    m.u.rec_section = *sec;
    m.u.rec_section.accepted_rev = rev;
    m.u.rec_section.history = mg_str_buf(&history);
    mg_msg_encode(&m, &value);
    put_record(s, MG_RECORD_SECTION, sec->name, rev, mg_str_buf(&value));
    mg_buf_free(&history);
    mg_buf_free(&value);
}

static void
apply_document(mg_state *s, const mg_cmd_document_msg *c,
               mg_apply_reply *reply)
{
    mg_msg m;
    mg_str rest = c->sections;
    mg_rc rc;
    uint64_t newest_known = 0;
    bool changes = false;
    while ((rc = mg_msg_next(&rest, &m)) == MG_OK) {
        uint64_t known = 0;
        if (m.type != MG_MSG_REC_SECTION) {
            rc = MG_E_INPUT;
            break;
        }
        reply->rc = check_section(s, &m.u.rec_section, &known, reply->text,
                                  sizeof(reply->text));
        if (reply->rc != MG_OK) {
            return;
        }
        changes = changes || known == 0;
        newest_known = known > newest_known ? known : newest_known;
    }
    if (rc != MG_E_CLOSED) {
        reply->rc = MG_E_INPUT;
        return;
    }
    if (!changes) {
        reply->rev = newest_known;
        return;
    }
    if (c->base_rev != MG_BASE_REV_ANY && c->base_rev != s->document_rev) {
        reply->rc = MG_E_DOCUMENT_CHANGED;
        return;
    }
    reply->rev = ++s->rev;
    rest = c->sections;
    while (mg_msg_next(&rest, &m) == MG_OK) {
        uint64_t known;
        char why[1];
        check_section(s, &m.u.rec_section, &known, why, sizeof(why));
        if (known == 0) {
            accept_section(s, &m.u.rec_section, reply->rev);
        }
    }
}

/* ------------------------------------------------------------ credits */

static void
add_credit(mg_state *s, mg_str member, uint64_t count)
{
    struct credit *c;
    HASH_FIND(hh, s->credits, member.p, member.n, c);
    if (c == NULL) {
        c = mg_alloc(sizeof(*c));
        c->member = mg_str_dup(member);
        HASH_ADD_KEYPTR(hh, s->credits, c->member, member.n, c);
    }
    c->count += count;
}

static struct credit_batch *
get_credit_batch(mg_state *s, mg_str holder)
{
    struct credit_batch *b;
    HASH_FIND(hh, s->batches, holder.p, holder.n, b);
    if (b == NULL) {
        b = mg_alloc(sizeof(*b));
        b->holder = mg_str_dup(holder);
        HASH_ADD_KEYPTR(hh, s->batches, b->holder, holder.n, b);
    }
    return b;
}

/* a batch is counted once: seq grows by one within an incarnation */
static void
apply_credits(mg_state *s, const mg_cmd_credits_msg *c, mg_apply_reply *reply)
{
    struct credit_batch *b = get_credit_batch(s, c->holder);
    if (c->incarnation < b->incarnation ||
        (c->incarnation == b->incarnation && c->seq <= b->seq)) {
        return;
    }
    mg_msg m;
    mg_str rest = c->credits;
    mg_rc rc;
    while ((rc = mg_msg_next(&rest, &m)) == MG_OK && m.type == MG_MSG_CREDIT) {
    }
    if (rc != MG_E_CLOSED) {
        reply->rc = MG_E_INPUT;
        return;
    }
    b->incarnation = c->incarnation;
    b->seq = c->seq;
    rest = c->credits;
    while (mg_msg_next(&rest, &m) == MG_OK) {
        add_credit(s, m.u.credit.member, m.u.credit.count);
    }
}

static void
apply_final(mg_state *s, const mg_cmd_final_msg *c, mg_apply_reply *reply)
{
    bool first;
    reply->rc = mg_claims_finalize(s->claims, c, &first);
    if (first && c->member.n > 0) {
        add_credit(s, c->member, 1);
    }
}

void
mg_state_apply(mg_state *s, mg_str command, mg_apply_reply *reply)
{
    memset(reply, 0, sizeof(*reply));
    mg_msg m;
    reply->rc = mg_msg_decode(command, &m);
    if (reply->rc != MG_OK) {
        return;
    }
    switch (m.type) {
    case MG_MSG_CMD_NOOP:
    case MG_MSG_CMD_READMIT:
        break;
    case MG_MSG_CMD_DOCUMENT:
        apply_document(s, &m.u.cmd_document, reply);
        break;
    case MG_MSG_CMD_PUT:
        apply_put(s, &m.u.cmd_put, reply);
        break;
    case MG_MSG_CMD_CLAIM:
        mg_claims_claim(s->claims, &m.u.cmd_claim, &reply->claim);
        break;
    case MG_MSG_CMD_REFUSE:
        mg_claims_refuse(s->claims, &m.u.cmd_refuse, &reply->claim);
        break;
    case MG_MSG_CMD_FINAL:
        apply_final(s, &m.u.cmd_final, reply);
        break;
    case MG_MSG_CMD_CREDITS:
        apply_credits(s, &m.u.cmd_credits, reply);
        break;
    default:
        reply->rc = MG_E_INPUT;
    }
}

void
mg_state_peek(const mg_state *s, const mg_cmd_claim_msg *cmd,
              mg_claim_reply *reply)
{
    mg_claims_peek(s->claims, cmd, reply);
}

/* ------------------------------------------------------------ reading */

uint64_t
mg_state_rev(const mg_state *s)
{
    return s->rev;
}

uint64_t
mg_state_document_rev(const mg_state *s)
{
    return s->document_rev;
}

bool
mg_state_get(const mg_state *s, mg_record_kind kind, mg_str key, mg_str *value,
             uint64_t *rev)
{
    struct record *r = find_record(s, kind, key);
    if (r == NULL) {
        *rev = 0;
        return false;
    }
    *value = mg_str_buf(&r->value);
    *rev = r->rev;
    return true;
}

void
mg_state_each(const mg_state *s, mg_record_kind kind,
              void (*f)(void *user, mg_str key, mg_str value, uint64_t rev),
              void *user)
{
    list_for_each(el, &s->changes)
    {
        const struct record *r = list_entry(el, struct record, link);
        if (kind_of(r) == kind) {
            f(user, key_of(r), mg_str_buf(&r->value), r->rev);
        }
    }
}

static void
put_record_msg(const struct record *r, mg_buf *out)
{
    mg_msg m = {.type = MG_MSG_RECORD};
    m.u.record.kind = kind_of(r);
    m.u.record.key = key_of(r);
    m.u.record.rev = r->rev;
    m.u.record.value = mg_str_buf(&r->value);
    mg_msg_encode(&m, out);
}

uint64_t
mg_state_changes(const mg_state *s, uint64_t rev, size_t max, mg_buf *out)
{
    const struct list_head *el = s->changes.prev;
    /* find the oldest record that is newer than rev */
    while (el != &s->changes &&
           list_entry(el, struct record, link)->rev > rev) {
        el = el->prev;
    }
    uint64_t reached = rev;
    for (el = el->next; el != &s->changes; el = el->next) {
        const struct record *r = list_entry(el, struct record, link);
        /* a revision is never split: its records may depend on each other */
        if (out->n >= max && r->rev != reached) {
            return reached;
        }
        put_record_msg(r, out);
        reached = r->rev;
    }
    return s->rev;
}

void
mg_state_each_credit(const mg_state *s,
                     void (*f)(void *user, const char *member, uint64_t count),
                     void *user)
{
    for (struct credit *c = s->credits; c != NULL; c = c->hh.next) {
        f(user, c->member, c->count);
    }
}

size_t
mg_state_claim_count(const mg_state *s)
{
    return mg_claims_count(s->claims);
}

/* ---------------------------------------------------------- snapshots */

void
mg_state_save(const mg_state *s, mg_buf *out)
{
    mg_msg m = {.type = MG_MSG_SNAP_HEAD};
    m.u.snap_head.rev = s->rev;
    m.u.snap_head.claim_order = 0;
    mg_msg_encode(&m, out);
    list_for_each(el, &s->changes)
    {
        put_record_msg(list_entry(el, struct record, link), out);
    }
    mg_claims_save(s->claims, out);
    for (struct credit *c = s->credits; c != NULL; c = c->hh.next) {
        m.type = MG_MSG_SNAP_CREDIT;
        m.u.snap_credit.member = mg_str_of(c->member);
        m.u.snap_credit.count = c->count;
        mg_msg_encode(&m, out);
    }
    for (struct credit_batch *b = s->batches; b != NULL; b = b->hh.next) {
        m.type = MG_MSG_SNAP_BATCH;
        m.u.snap_batch.holder = mg_str_of(b->holder);
        m.u.snap_batch.incarnation = b->incarnation;
        m.u.snap_batch.seq = b->seq;
        mg_msg_encode(&m, out);
    }
}

static mg_rc
load_message(mg_state *s, const mg_msg *m)
{
    switch (m->type) {
    case MG_MSG_SNAP_HEAD:
        s->rev = m->u.snap_head.rev;
        return MG_OK;
    case MG_MSG_RECORD:
        put_record(s, m->u.record.kind, m->u.record.key, m->u.record.rev,
                   m->u.record.value);
        return MG_OK;
    case MG_MSG_SNAP_CLAIM:
        mg_claims_load(s->claims, &m->u.snap_claim);
        return MG_OK;
    case MG_MSG_SNAP_CREDIT:
        add_credit(s, m->u.snap_credit.member, m->u.snap_credit.count);
        return MG_OK;
    case MG_MSG_SNAP_BATCH: {
        struct credit_batch *b = get_credit_batch(s, m->u.snap_batch.holder);
        b->incarnation = m->u.snap_batch.incarnation;
        b->seq = m->u.snap_batch.seq;
        return MG_OK;
    }
    default:
        return MG_E_CORRUPT;
    }
}

mg_rc
mg_state_load(mg_state *s, mg_str snapshot)
{
    clear_state(s);
    s->claims = mg_claims_new(s->claims_max);
    mg_msg m;
    mg_rc rc;
    while ((rc = mg_msg_next(&snapshot, &m)) == MG_OK) {
        rc = load_message(s, &m);
        if (rc != MG_OK) {
            break;
        }
    }
    if (rc == MG_E_CLOSED) {
        return MG_OK;
    }
    clear_state(s);
    s->claims = mg_claims_new(s->claims_max);
    return MG_E_CORRUPT;
}
