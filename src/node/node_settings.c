#include "node/node_settings.h"

#include <string.h>

#include "base/toml.h"
#include "topology/settings.h"

#define SETTINGS_BYTES_MAX (64u << 10)

typedef struct seed_row {
    char addr[MG_ADDR_SIZE];
} seed_row;

static const mg_key_spec seed_keys[] = {
    {"addr", MG_KEY_ADDR, true, offsetof(seed_row, addr), 0, 0, NULL},
    {0},
};

static void
read_seed(mg_checker *c, json_t *tree, json_t *pos, void *out)
{
    mg_node_settings *s = out;
    seed_row row = {0};
    mg_str port;
    mg_check_table(c, tree, pos, seed_keys, &row);
    if (s->seed_count == MG_VOTERS_MAX) {
        mg_check_error(c, pos, "seed", "more than %d seeds", MG_VOTERS_MAX);
        return;
    }
    mg_str_copy(s->seeds[s->seed_count++], MG_NAME_SIZE,
                mg_str_split(mg_str_of(row.addr), ':', &port));
}

#define AT(field) offsetof(mg_node_settings, field)

static const mg_key_spec keys[] = {
    {"node", MG_KEY_NAME, true, AT(node), 0, 0, NULL},
    {"ip", MG_KEY_NAME, true, AT(ip), 0, 0, NULL},
    {"domain", MG_KEY_NAME, true, AT(domain), 0, 0, NULL},
    {"region", MG_KEY_TEXT, false, AT(region), 0, 0, NULL},
    {"data_dir", MG_KEY_TEXT, false, AT(data_dir), 0, 0, NULL},
    {"log_level", MG_KEY_NAME, false, AT(log_level), 0, 0, NULL},
    {"link_key", MG_KEY_NAME, false, AT(link_key), 0, 0, NULL},
    {"new_group", MG_KEY_BOOL, false, AT(new_group), 0, 0, NULL},
    {"faults", MG_KEY_INT, false, AT(faults), 0, 3, NULL},
    {"fault_domains", MG_KEY_INT, false, AT(fault_domains), 0, 3, NULL},
    {"fault_regions", MG_KEY_INT, false, AT(fault_regions), 0, 3, NULL},
    {"link_port", MG_KEY_INT, true, AT(link_port), 1, 65530, NULL},
    {"unsent_max_mb", MG_KEY_INT, false, AT(unsent_max_mb), 2, 4096, NULL},
    {"callers_addr", MG_KEY_TEXT, false, AT(clients_addr), 0, 0, NULL},
    {"ready_addr", MG_KEY_TEXT, false, AT(ready_addr), 0, 0, NULL},
    {"control_addr", MG_KEY_TEXT, false, AT(control_addr), 0, 0, NULL},
    {"directory_addr", MG_KEY_TEXT, false, AT(directory_addr), 0, 0, NULL},
    {"metrics_addr", MG_KEY_TEXT, false, AT(metrics_addr), 0, 0, NULL},
    {"retry_ratio", MG_KEY_REAL, false, AT(retry_ratio), 0, 10, NULL},
    {"retry_slack", MG_KEY_INT, false, AT(retry_slack), 0, 1e6, NULL},
    {"retry_window_s", MG_KEY_REAL, false, AT(retry_window_s), 0.1, 3600,
     NULL},
    {"quota_window_s", MG_KEY_REAL, false, AT(quota_window_s), 0.1, 3600,
     NULL},
    {"quota_overage", MG_KEY_REAL, false, AT(quota_overage), 0, 10, NULL},
    {"quota_margin", MG_KEY_REAL, false, AT(quota_margin), 0, 1e12, NULL},
    {"directory_ttl_s", MG_KEY_REAL, false, AT(directory_ttl_s), 0.1, 3600,
     NULL},
    {"grace_s", MG_KEY_REAL, false, AT(grace_s), 0.1, 3600, NULL},
    {"ack_ms", MG_KEY_INT, false, AT(ack_ms), 1, 1e6, NULL},
    {"seed", MG_KEY_TABLES, false, 0, 0, 0, read_seed},
    {0},
};

static void
set_defaults(mg_node_settings *s)
{
    *s = (mg_node_settings){
        .log_level = "info",
        .link_key = "marigold",
        .faults = 1,
        .unsent_max_mb = 16,
        .retry_ratio = 0.2,
        .retry_slack = 50,
        .retry_window_s = 10,
        .quota_window_s = 8,
        .directory_ttl_s = 2,
        .grace_s = 8,
        .ack_ms = 4000,
    };
}

/* number of additional voters if the log is kept in memory, because a voter
   loses its log when it restarts */
#define MEMORY_SPARE_VOTERS 2

unsigned
mg_node_settings_voter_count(const mg_node_settings *s)
{
    int64_t faults = s->faults;
    faults = s->fault_domains > faults ? s->fault_domains : faults;
    faults = s->fault_regions > faults ? s->fault_regions : faults;
    int64_t voters = 2 * faults + 1;
    voters += s->data_dir[0] == '\0' ? MEMORY_SPARE_VOTERS : 0;
    return (unsigned)(voters < MG_VOTERS_MAX ? voters : MG_VOTERS_MAX);
}

size_t
mg_node_settings_unsent_max(const mg_node_settings *s)
{
    return (size_t)s->unsent_max_mb * (1u << 20) / 2;
}

mg_rc
mg_node_settings_load(const char *file, mg_node_settings *s, mg_buf *errors)
{
    mg_buf text = {0};
    mg_error err;
    mg_toml t = {NULL, NULL};
    mg_checker ck;
    set_defaults(s);
    mg_rc rc = mg_read_file(file, SETTINGS_BYTES_MAX, &text, &err);
    if (rc == MG_OK) {
        rc = mg_toml_parse(mg_str_buf(&text), file, SETTINGS_BYTES_MAX, &t,
                           &err);
    }
    mg_buf_free(&text);
    if (rc != MG_OK) {
        mg_buf_printf(errors, "%s\n", err.text);
        return rc;
    }
    mg_checker_init(&ck, file);
    mg_check_table(&ck, t.tree, t.positions, keys, s);
    mg_toml_free(&t);
    mg_buf_put(errors, ck.errors.p, ck.errors.n);
    rc = ck.error_count ? MG_E_INPUT : MG_OK;
    mg_checker_free(&ck);
    return rc;
}
