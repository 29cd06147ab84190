#include "topology/settings.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "base/toml.h"

#define TTL_MAX_MS 600000.0
#define BODY_LIMIT (64.0 * 1024 * 1024)
#define COUNT_LIMIT 1e8

static void
read_control(mg_checker *c, json_t *tree, json_t *pos, void *out)
{
    static const mg_key_spec keys[] = {
        {"node", MG_KEY_NAME, true, offsetof(mg_control_addr, node), 0, 0,
         NULL},
        {"link_addr", MG_KEY_ADDR, true, offsetof(mg_control_addr, link_addr),
         0, 0, NULL},
        {"http_addr", MG_KEY_ADDR, false, offsetof(mg_control_addr, http_addr),
         0, 0, NULL},
        {0}};
    mg_settings *s = out;
    if (s->control_count == MG_CONTROL_NODES_MAX) {
        mg_check_error(c, pos, NULL, "expected at most %d control nodes",
                       MG_CONTROL_NODES_MAX);
        return;
    }
    mg_check_table(c, tree, pos, keys, &s->control[s->control_count++]);
}

static void
read_owner(mg_checker *c, json_t *tree, json_t *pos, void *out)
{
    static const mg_key_spec keys[] = {
        {"name", MG_KEY_NAME, true, offsetof(mg_owner, name), 0, 0, NULL},
        {"key_sha256", MG_KEY_TEXT, true, offsetof(mg_owner, key_sha256), 0, 0,
         NULL},
        {0}};
    mg_settings *s = out;
    if (s->owner_count == MG_OWNERS_MAX) {
        mg_check_error(c, pos, NULL, "expected at most %d owners",
                       MG_OWNERS_MAX);
        return;
    }
    mg_check_table(c, tree, pos, keys, &s->owners[s->owner_count++]);
}

static const mg_key_spec settings_keys[] = {
    {"node", MG_KEY_NAME, true, offsetof(mg_settings, node), 0, 0, NULL},
    {"domain", MG_KEY_NAME, true, offsetof(mg_settings, domain), 0, 0, NULL},
    {"link_addr", MG_KEY_ADDR, true, offsetof(mg_settings, link_addr), 0, 0,
     NULL},
    {"http_addr", MG_KEY_ADDR, true, offsetof(mg_settings, http_addr), 0, 0,
     NULL},
    {"link_key", MG_KEY_TEXT, true, offsetof(mg_settings, link_key), 0, 0,
     NULL},
    {"target_key", MG_KEY_TEXT, false, offsetof(mg_settings, target_key), 0, 0,
     NULL},
    {"log_level", MG_KEY_NAME, false, offsetof(mg_settings, log_level), 0, 0,
     NULL},
    {"data_dir", MG_KEY_TEXT, false, offsetof(mg_settings, data_dir), 0, 0,
     NULL},
    {"claims_max", MG_KEY_INT, false, offsetof(mg_settings, claims_max), 1,
     COUNT_LIMIT, NULL},
    {"snapshot_entries", MG_KEY_INT, false,
     offsetof(mg_settings, snapshot_entries), 16, COUNT_LIMIT, NULL},
    {"entries_ttl_ms", MG_KEY_INT, false,
     offsetof(mg_settings, entries_ttl_ms), 100, TTL_MAX_MS, NULL},
    {"body_max", MG_KEY_INT, false, offsetof(mg_settings, body_max), 1024,
     BODY_LIMIT, NULL},
    {"requests_max", MG_KEY_INT, false, offsetof(mg_settings, requests_max), 1,
     COUNT_LIMIT, NULL},
    {"control", MG_KEY_TABLES, true, 0, 0, 0, read_control},
    {"owner", MG_KEY_TABLES, false, 0, 0, 0, read_owner},
    {0}};

static void
set_defaults(mg_settings *s)
{
    memset(s, 0, sizeof(*s));
    strcpy(s->log_level, "info");
    s->claims_max = 1000000;
    s->snapshot_entries = 4096;
    s->entries_ttl_ms = 5000;
    s->body_max = 1 << 20;
    s->requests_max = 20000;
}

static void
check_group(mg_checker *c, const mg_settings *s)
{
    if (s->control_count % 2 == 0) {
        mg_check_error(c, NULL, "control",
                       "expected an odd number of control nodes, got %zu",
                       s->control_count);
    }
    for (size_t i = 0; i < s->control_count; i++) {
        for (size_t k = 0; k < i; k++) {
            if (strcmp(s->control[i].node, s->control[k].node) == 0) {
                mg_check_error(c, NULL, "control", "node \"%s\" stands twice",
                               s->control[i].node);
            }
        }
    }
}

mg_rc
mg_read_file(const char *file, size_t max, mg_buf *out, mg_error *err)
{
    FILE *f = fopen(file, "rbe");
    if (f == NULL) {
        return mg_fail(err, MG_E_IO, "%s: %s", file, strerror(errno));
    }
    char chunk[65536];
    size_t n;
    while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0 && out->n <= max) {
        mg_buf_put(out, chunk, n);
    }
    int failed = ferror(f);
    fclose(f);
    if (failed) {
        return mg_fail(err, MG_E_IO, "%s: can't be read", file);
    }
    if (out->n > max) {
        return mg_fail(err, MG_E_TOO_LARGE, "%s: more than %zu bytes", file,
                       max);
    }
    return MG_OK;
}

mg_rc
mg_settings_load(const char *file, mg_settings *s, mg_buf *errors)
{
    mg_buf text = {0};
    mg_error err;
    mg_toml t = {NULL, NULL};
    set_defaults(s);
    mg_rc rc = mg_read_file(file, MG_SETTINGS_BYTES_MAX, &text, &err);
    if (rc == MG_OK) {
        rc = mg_toml_parse(mg_str_buf(&text), file, MG_SETTINGS_BYTES_MAX, &t,
                           &err);
    }
    mg_buf_free(&text);
    if (rc != MG_OK) {
        mg_buf_printf(errors, "%s\n", err.text);
        return rc;
    }
    mg_checker ck;
    mg_checker_init(&ck, file);
    mg_check_table(&ck, t.tree, t.positions, settings_keys, s);
    if (ck.error_count == 0) {
        check_group(&ck, s);
    }
    mg_toml_free(&t);
    mg_buf_put(errors, ck.errors.p, ck.errors.n);
    rc = ck.error_count ? MG_E_INPUT : MG_OK;
    mg_checker_free(&ck);
    return rc;
}

unsigned
mg_settings_control_id(const mg_settings *s, const char *node)
{
    for (unsigned i = 0; i < s->control_count; i++) {
        if (strcmp(s->control[i].node, node) == 0) {
            return i + 1;
        }
    }
    return 0;
}
