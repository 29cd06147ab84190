#include "topology/config.h"

#include <stdlib.h>
#include <string.h>

#include "base/toml.h"
#include "policy/place.h"

#define RANK_MAX (MG_TIER_MAX - 1)
#define DEADLINE_MAX_MS 86400000.0
#define WEIGHT_MAX 1000.0
#define VERSION_MAX 1e15
#define DEFAULT_QUEUE_MAX 4096
#define QUEUE_MAX 1000000.0
#define DEFAULT_CANARY_PERCENT 2.0
#define CANARY_MAX_PERCENT 50.0

struct workspace_item {
    mg_workspace ws;
    UT_hash_handle key_hh; /* by key_sha256 */
    struct list_head link;
};

struct tier_item {
    mg_tier tier;
    struct list_head link;
};

struct pool_item {
    mg_pool pool;
    struct list_head link;
};

struct rollout_item {
    mg_rollout_plan rollout;
    struct list_head link;
};

struct section {
    UT_hash_handle hh;
    char name[MG_NAME_SIZE];
    char owner[MG_NAME_SIZE];
    int64_t version;
    struct list_head tiers;
    struct list_head pools;
    struct list_head workspaces;
    struct list_head rollouts;
};

struct mg_config {
    struct section *sections;
    mg_tier *tiers;
    mg_pool *pools;
    mg_workspace *workspaces;
    struct workspace_item *by_key;
    mg_rollout_plan *rollouts; /* by pool */
};

mg_config *
mg_config_new(void)
{
    return mg_alloc(sizeof(mg_config));
}

/* --------------------------------------------------- reading a section */

static void
read_tier(mg_checker *c, json_t *tree, json_t *pos, void *out)
{
    static const mg_key_spec keys[] = {
        {"name", MG_KEY_NAME, true, offsetof(mg_tier, name), 0, 0, NULL},
        {"rank", MG_KEY_INT, true, offsetof(mg_tier, rank), 0, RANK_MAX, NULL},
        {"deadline_ms", MG_KEY_INT, true, offsetof(mg_tier, deadline_ms), 1,
         DEADLINE_MAX_MS, NULL},
        {0}};
    struct section *s = out;
    struct tier_item *it = mg_alloc(sizeof(*it));
    mg_check_table(c, tree, pos, keys, &it->tier);
    list_add_tail(&it->link, &s->tiers);
}

static void
read_pool(mg_checker *c, json_t *tree, json_t *pos, void *out)
{
    static const mg_key_spec keys[] = {
        {"name", MG_KEY_NAME, true, offsetof(mg_pool, name), 0, 0, NULL},
        {"kind", MG_KEY_NAME, true, offsetof(mg_pool, kind), 0, 0, NULL},
        {"version", MG_KEY_NAME, false, offsetof(mg_pool, version), 0, 0,
         NULL},
        {"repeatable", MG_KEY_BOOL, false, offsetof(mg_pool, idempotent), 0, 0,
         NULL},
        {"placement", MG_KEY_NAME, false, offsetof(mg_pool, placement), 0, 0,
         NULL},
        {"queue_max", MG_KEY_INT, false, offsetof(mg_pool, queue_max), 1,
         QUEUE_MAX, NULL},
        {0}};
    struct section *s = out;
    struct pool_item *it = mg_alloc(sizeof(*it));
    it->pool.idempotent = true;
    it->pool.queue_max = DEFAULT_QUEUE_MAX;
    mg_check_table(c, tree, pos, keys, &it->pool);
    if (it->pool.kind[0] && strcmp(it->pool.kind, "engine") != 0 &&
        strcmp(it->pool.kind, "service") != 0) {
        mg_check_error(c, mg_key_position(pos, "kind"), "kind",
                       "expected \"engine\" or \"service\", got \"%s\"",
                       it->pool.kind);
    }
    if (it->pool.placement[0] &&
        mg_placement_find(it->pool.placement) == NULL) {
        mg_check_error(c, mg_key_position(pos, "placement"), "placement",
                       "expected \"least_time\", \"round_robin\" or "
                       "\"least_reported\", got \"%s\"",
                       it->pool.placement);
    }
    list_add_tail(&it->link, &s->pools);
}

/* a workspace as read from the document */
struct workspace_text {
    char name[MG_NAME_SIZE];
    char member[MG_NAME_SIZE];
    char tier[MG_NAME_SIZE];
    char key_sha256[MG_TEXT_SIZE];
    int64_t weight;
};

static void
read_workspace(mg_checker *c, json_t *tree, json_t *pos, void *out)
{
    static const mg_key_spec keys[] = {
        {"name", MG_KEY_NAME, true, offsetof(struct workspace_text, name), 0,
         0, NULL},
        {"member", MG_KEY_NAME, true, offsetof(struct workspace_text, member),
         0, 0, NULL},
        {"tier", MG_KEY_NAME, true, offsetof(struct workspace_text, tier), 0,
         0, NULL},
        {"key_sha256", MG_KEY_TEXT, true,
         offsetof(struct workspace_text, key_sha256), 0, 0, NULL},
        {"weight", MG_KEY_INT, false, offsetof(struct workspace_text, weight),
         1, WEIGHT_MAX, NULL},
        {0}};
    struct section *s = out;
    struct workspace_text t = {.weight = 1};
    mg_check_table(c, tree, pos, keys, &t);
    if (strlen(t.key_sha256) != MG_HEX_SHA256_SIZE - 1 ||
        strspn(t.key_sha256, "0123456789abcdef") != MG_HEX_SHA256_SIZE - 1) {
        mg_check_error(c, mg_key_position(pos, "key_sha256"), "key_sha256",
                       "expected 64 lower-case hexadecimal digits");
        t.key_sha256[0] = '\0';
    }
    struct workspace_item *it = mg_alloc(sizeof(*it));
    it->ws.name = mg_strdup(t.name);
    it->ws.member = mg_strdup(t.member);
    it->ws.tier = mg_strdup(t.tier);
    it->ws.weight = (int32_t)t.weight;
    mg_str_copy(it->ws.key_sha256, sizeof(it->ws.key_sha256),
                mg_str_of(t.key_sha256));
    list_add_tail(&it->link, &s->workspaces);
}

static void
read_rollout(mg_checker *c, json_t *tree, json_t *pos, void *out)
{
    static const mg_key_spec keys[] = {
        {"name", MG_KEY_NAME, true, offsetof(mg_rollout_plan, name), 0, 0,
         NULL},
        {"pool", MG_KEY_NAME, true, offsetof(mg_rollout_plan, pool), 0, 0,
         NULL},
        {"to", MG_KEY_NAME, true, offsetof(mg_rollout_plan, to_version), 0, 0,
         NULL},
        {"start", MG_KEY_TIME, false, offsetof(mg_rollout_plan, start_wall_ms),
         0, 0, NULL},
        {"by", MG_KEY_TIME, true, offsetof(mg_rollout_plan, deadline_wall_ms),
         0, 0, NULL},
        {"canary_percent", MG_KEY_REAL, false,
         offsetof(mg_rollout_plan, canary_percent), 0.1, CANARY_MAX_PERCENT,
         NULL},
        {0}};
    struct section *s = out;
    struct rollout_item *it = mg_alloc(sizeof(*it));
    it->rollout.canary_percent = DEFAULT_CANARY_PERCENT;
    mg_check_table(c, tree, pos, keys, &it->rollout);
    list_add_tail(&it->link, &s->rollouts);
}

static const mg_key_spec section_keys[] = {
    {"owner", MG_KEY_NAME, true, offsetof(struct section, owner), 0, 0, NULL},
    {"version", MG_KEY_INT, true, offsetof(struct section, version), 1,
     VERSION_MAX, NULL},
    {"tier", MG_KEY_TABLES, false, 0, 0, 0, read_tier},
    {"pool", MG_KEY_TABLES, false, 0, 0, 0, read_pool},
    {"workspace", MG_KEY_TABLES, false, 0, 0, 0, read_workspace},
    {"move", MG_KEY_TABLES, false, 0, 0, 0, read_rollout},
    {0}};

/* ------------------------------------------- adding and removing sections */

static bool
add_tiers(mg_config *c, struct section *s, mg_checker *ck)
{
    list_for_each(el, &s->tiers)
    {
        mg_tier *t = &list_entry(el, struct tier_item, link)->tier;
        if (mg_config_tier(c, t->name) != NULL) {
            mg_check_error(ck, NULL, "tier", "\"%s\" is defined twice",
                           t->name);
            return false;
        }
        HASH_ADD_STR(c->tiers, name, t);
    }
    return true;
}

static bool
add_pools(mg_config *c, struct section *s, mg_checker *ck)
{
    list_for_each(el, &s->pools)
    {
        mg_pool *p = &list_entry(el, struct pool_item, link)->pool;
        if (mg_config_pool(c, mg_str_of(p->name)) != NULL) {
            mg_check_error(ck, NULL, "pool", "\"%s\" is defined twice",
                           p->name);
            return false;
        }
        HASH_ADD_STR(c->pools, name, p);
    }
    return true;
}

static bool
add_workspaces(mg_config *c, struct section *s, mg_checker *ck)
{
    list_for_each(el, &s->workspaces)
    {
        struct workspace_item *it =
            list_entry(el, struct workspace_item, link);
        mg_workspace *w = &it->ws;
        struct workspace_item *other;
        if (mg_config_workspace(c, w->name) != NULL) {
            mg_check_error(ck, NULL, "workspace", "\"%s\" is defined twice",
                           w->name);
            return false;
        }
        HASH_FIND(key_hh, c->by_key, w->key_sha256, MG_HEX_SHA256_SIZE - 1,
                  other);
        if (other != NULL) {
            mg_check_error(ck, NULL, "workspace",
                           "\"%s\" has the same key as \"%s\"", w->name,
                           other->ws.name);
            return false;
        }
        HASH_ADD_KEYPTR(hh, c->workspaces, w->name, strlen(w->name), w);
        HASH_ADD_KEYPTR(key_hh, c->by_key, w->key_sha256,
                        MG_HEX_SHA256_SIZE - 1, it);
    }
    return true;
}

static bool
add_rollouts(mg_config *c, struct section *s, mg_checker *ck)
{
    list_for_each(el, &s->rollouts)
    {
        mg_rollout_plan *r =
            &list_entry(el, struct rollout_item, link)->rollout;
        if (mg_config_rollout(c, r->pool) != NULL) {
            mg_check_error(ck, NULL, "move",
                           "pool \"%s\" has more than one rollout", r->pool);
            return false;
        }
        HASH_ADD_STR(c->rollouts, pool, r);
    }
    return true;
}

/* Removes those of a section's objects that were added to the tables, and
   frees the section with all its objects. */
static void
free_section(mg_config *c, struct section *s)
{
    list_for_each_safe(e0, e0n, &s->tiers)
    {
        struct tier_item *it = list_entry(e0, struct tier_item, link);
        if (mg_config_tier(c, it->tier.name) == &it->tier) {
            HASH_DEL(c->tiers, &it->tier);
        }
        free(it);
    }
    list_for_each_safe(e1, e1n, &s->pools)
    {
        struct pool_item *it = list_entry(e1, struct pool_item, link);
        if (mg_config_pool(c, mg_str_of(it->pool.name)) == &it->pool) {
            HASH_DEL(c->pools, &it->pool);
        }
        free(it);
    }
    list_for_each_safe(e2, e2n, &s->workspaces)
    {
        struct workspace_item *it =
            list_entry(e2, struct workspace_item, link);
        if (mg_config_workspace(c, it->ws.name) == &it->ws) {
            HASH_DELETE(hh, c->workspaces, &it->ws);
            HASH_DELETE(key_hh, c->by_key, it);
        }
        free(it->ws.name);
        free(it->ws.member);
        free(it->ws.tier);
        free(it);
    }
    list_for_each_safe(e3, e3n, &s->rollouts)
    {
        struct rollout_item *it = list_entry(e3, struct rollout_item, link);
        if (mg_config_rollout(c, it->rollout.pool) == &it->rollout) {
            HASH_DEL(c->rollouts, &it->rollout);
        }
        free(it);
    }
    free(s);
}

static struct section *
new_section(const char *name)
{
    struct section *s = mg_alloc(sizeof(*s));
    mg_str_copy(s->name, sizeof(s->name), mg_str_of(name));
    init_list_head(&s->tiers);
    init_list_head(&s->pools);
    init_list_head(&s->workspaces);
    init_list_head(&s->rollouts);
    return s;
}

static struct section *
read_section(const char *name, json_t *tree, json_t *pos, mg_checker *ck)
{
    int before = ck->error_count;
    struct section *s = new_section(name);
    snprintf(ck->path, sizeof(ck->path), "%s", name);
    if (!json_is_object(tree)) {
        mg_check_error(ck, pos, NULL, "expected a section, [%s]", name);
    }
    else {
        mg_check_table(ck, tree, pos, section_keys, s);
    }
    if (ck->error_count == before) {
        return s;
    }
    free_section(&(mg_config){0}, s);
    return NULL;
}

void
mg_config_remove_section(mg_config *c, const char *name)
{
    struct section *s;
    HASH_FIND_STR(c->sections, name, s);
    if (s != NULL) {
        HASH_DEL(c->sections, s);
        free_section(c, s);
    }
}

mg_rc
mg_config_set_section(mg_config *c, const char *name, json_t *tree,
                      json_t *pos, mg_checker *ck)
{
    struct section *s = read_section(name, tree, pos, ck);
    if (s == NULL) {
        return MG_E_INPUT;
    }
    mg_config_remove_section(c, name);
    if (!add_tiers(c, s, ck) || !add_pools(c, s, ck) ||
        !add_workspaces(c, s, ck) || !add_rollouts(c, s, ck)) {
        free_section(c, s);
        return MG_E_INPUT;
    }
    HASH_ADD_STR(c->sections, name, s);
    ck->path[0] = '\0';
    return MG_OK;
}

mg_rc
mg_config_set_section_json(mg_config *c, const char *name, mg_str text,
                           mg_checker *ck)
{
    json_error_t je;
    json_t *tree = json_loadb(text.p, text.n, 0, &je);
    if (tree == NULL) {
        mg_check_error(ck, NULL, NULL, "section %s: %s", name, je.text);
        return MG_E_INPUT;
    }
    mg_rc rc = mg_config_set_section(c, name, tree, NULL, ck);
    json_decref(tree);
    return rc;
}

void
mg_config_free(mg_config *c)
{
    if (c == NULL) {
        return;
    }
    struct section *s;
    struct section *s1;
    HASH_ITER(hh, c->sections, s, s1)
    {
        HASH_DEL(c->sections, s);
        free_section(c, s);
    }
    free(c);
}

/* -------------------------------------------------------------- look-up */

const mg_tier *
mg_config_tier(const mg_config *c, const char *name)
{
    mg_tier *t;
    HASH_FIND_STR(c->tiers, name, t);
    return t;
}

const mg_pool *
mg_config_pool(const mg_config *c, mg_str name)
{
    mg_pool *p;
    HASH_FIND(hh, c->pools, name.p, name.n, p);
    return p;
}

const mg_workspace *
mg_config_workspace(const mg_config *c, const char *name)
{
    mg_workspace *w;
    HASH_FIND_STR(c->workspaces, name, w);
    return w;
}

const mg_workspace *
mg_config_workspace_by_key(const mg_config *c, mg_str key)
{
    char hex[MG_HEX_SHA256_SIZE];
    struct workspace_item *it;
    mg_sha256_hex(key, hex);
    HASH_FIND(key_hh, c->by_key, hex, MG_HEX_SHA256_SIZE - 1, it);
    return it ? &it->ws : NULL;
}

const mg_rollout_plan *
mg_config_rollout(const mg_config *c, const char *pool)
{
    mg_rollout_plan *r;
    HASH_FIND_STR(c->rollouts, pool, r);
    return r;
}

const mg_pool *
mg_config_first_pool(const mg_config *c)
{
    return c->pools;
}

const mg_rollout_plan *
mg_config_first_rollout(const mg_config *c)
{
    return c->rollouts;
}

size_t
mg_config_workspace_count(const mg_config *c)
{
    return HASH_COUNT(c->workspaces);
}

/* ------------------------------------------- checks across all sections */

static void
verify_workspaces(const mg_config *c, mg_checker *ck)
{
    for (const mg_workspace *w = c->workspaces; w != NULL; w = w->hh.next) {
        if (mg_config_tier(c, w->tier) == NULL) {
            mg_check_error(ck, NULL, "workspace",
                           "\"%s\": tier \"%s\" is not defined", w->name,
                           w->tier);
        }
    }
}

static void
verify_tiers(const mg_config *c, mg_checker *ck)
{
    const char *by_rank[MG_TIER_MAX] = {NULL};
    for (const mg_tier *t = c->tiers; t != NULL; t = t->hh.next) {
        if (by_rank[t->rank] != NULL) {
            mg_check_error(ck, NULL, "tier",
                           "\"%s\" and \"%s\" have the same rank %d",
                           by_rank[t->rank], t->name, (int)t->rank);
        }
        by_rank[t->rank] = t->name;
    }
}

static void
verify_rollouts(const mg_config *c, mg_checker *ck)
{
    for (const mg_rollout_plan *r = c->rollouts; r != NULL; r = r->hh.next) {
        const mg_pool *p = mg_config_pool(c, mg_str_of(r->pool));
        if (p == NULL) {
            mg_check_error(ck, NULL, "move",
                           "\"%s\": pool \"%s\" is not defined", r->name,
                           r->pool);
        }
        else if (p->version[0] == '\0') {
            mg_check_error(ck, NULL, "move",
                           "\"%s\": pool \"%s\" has no version to replace",
                           r->name, r->pool);
        }
    }
}

void
mg_config_verify(const mg_config *c, mg_checker *ck)
{
    ck->path[0] = '\0';
    verify_tiers(c, ck);
    verify_workspaces(c, ck);
    verify_rollouts(c, ck);
}

/* ------------------------------------------------- parsing a document */

static void
add_document_section(mg_document *doc, const char *name, json_t *tree)
{
    doc->sections =
        mg_realloc(doc->sections, (doc->count + 1) * sizeof(mg_section));
    mg_section *s = &doc->sections[doc->count++];
    memset(s, 0, sizeof(*s));
    mg_str_copy(s->name, sizeof(s->name), mg_str_of(name));
    const char *owner = json_string_value(json_object_get(tree, "owner"));
    mg_str_copy(s->owner, sizeof(s->owner), mg_str_of(owner));
    s->version = json_integer_value(json_object_get(tree, "version"));
    s->text = json_dumps(tree, JSON_COMPACT | JSON_SORT_KEYS);
    mg_sha256_hex(mg_str_of(s->text), s->digest);
}

mg_rc
mg_document_parse(mg_str text, const char *file, mg_document *doc,
                  mg_checker *ck)
{
    mg_toml t;
    mg_error err;
    memset(doc, 0, sizeof(*doc));
    mg_rc rc = mg_toml_parse(text, file, MG_DOCUMENT_BYTES_MAX, &t, &err);
    if (rc != MG_OK) {
        ck->error_count++;
        mg_buf_printf(&ck->errors, "%s\n", err.text);
        return rc;
    }
    mg_config *c = mg_config_new();
    const char *name;
    json_t *tree;
    json_object_foreach(t.tree, name, tree)
    {
        json_t *pos = mg_key_position(t.positions, name);
        if (strlen(name) >= MG_NAME_SIZE) {
            mg_check_error(ck, pos, NULL, "section name is too long");
        }
        else if (mg_config_set_section(c, name, tree, pos, ck) == MG_OK) {
            add_document_section(doc, name, tree);
        }
    }
    if (doc->count == 0 && ck->error_count == 0) {
        mg_check_error(ck, NULL, NULL, "the document has no section");
    }
    mg_config_free(c);
    mg_toml_free(&t);
    if (ck->error_count == 0) {
        return MG_OK;
    }
    mg_document_free(doc);
    return MG_E_INPUT;
}

void
mg_document_free(mg_document *doc)
{
    for (size_t i = 0; i < doc->count; i++) {
        free(doc->sections[i].text);
    }
    free(doc->sections);
    memset(doc, 0, sizeof(*doc));
}
