/*
 * marigoldctl - command-line tool for operators
 *
 * Exit codes: 0 done, 1 no response, 2 usage, 3 refused or invalid document,
 * 4 version conflict, 5 no leader or no quorum within the timeout.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <jansson.h>

#include "base/clock.h"
#include "base/event.h"
#include "client.h"
#include "topology/config.h"
#include "topology/settings.h"

enum {
    EXIT_DONE = 0,
    EXIT_NO_RESPONSE = 1,
    EXIT_BAD_USAGE = 2,
    EXIT_REFUSED = 3,
    EXIT_CONFLICT = 4,
    EXIT_NO_CONTROL = 5,
};

#define KEY_FILE_MAX 4096
#define RETRY_DELAY_US 300000
#define ADDRS_MAX 16
#define READ_TIMEOUT_MS 10000

struct options {
    char *addrs[ADDRS_MAX];
    int addr_count;
    char key[MG_TEXT_SIZE];
    bool json;
    int timeout_s;
};

struct command {
    const char *name;
    /* name of the argument in the help, NULL if the command has none */
    const char *argument;
    const char *help;
    int (*run)(const struct options *o, const char *argument);
};

/* ------------------------------------------------------------- requests */

/* true for an error that may no longer occur once a leader is elected */
static bool
is_retryable(const mg_buf *body)
{
    json_t *j = json_loadb(body->p ? body->p : "", body->n, 0, NULL);
    const char *code = json_string_value(json_object_get(j, "code"));
    bool retry = code != NULL && (strcmp(code, "no_leader") == 0 ||
                                  strcmp(code, "no_quorum") == 0);
    json_decref(j);
    return retry;
}

/*
 * Tries the members in turn until one returns a final response or the
 * timeout has passed. Returns the HTTP status, 0 without a response.
 */
static int
send_request(const struct options *o, const char *method, const char *path,
             mg_str body, mg_buf *out)
{
    char extra[MG_TEXT_SIZE + 32];
    snprintf(extra, sizeof(extra), "x-owner-key: %s\r\n", o->key);
    int64_t until = mg_now(mg_system_clock()) + o->timeout_s * 1000;
    int status = 0;
    bool responded = false;
    for (int i = 0;; i++) {
        mg_exchange x = {o->addrs[i % o->addr_count],
                         method,
                         path,
                         extra,
                         body,
                         READ_TIMEOUT_MS};
        out->n = 0;
        responded = mg_client_exchange(&x, &status, out) == MG_OK;
        if (responded && !is_retryable(out)) {
            return status;
        }
        if (mg_now(mg_system_clock()) >= until) {
            return responded ? status : 0;
        }
        usleep(RETRY_DELAY_US);
    }
}

static int
exit_code(int status, const mg_buf *body)
{
    if (status == 0) {
        return EXIT_NO_RESPONSE;
    }
    if (status < 300) {
        return EXIT_DONE;
    }
    if (is_retryable(body)) {
        return EXIT_NO_CONTROL;
    }
    return status == 409 ? EXIT_CONFLICT : EXIT_REFUSED;
}

static void
print_error(const mg_buf *body)
{
    json_t *j = json_loadb(body->p ? body->p : "", body->n, 0, NULL);
    const char *code = json_string_value(json_object_get(j, "code"));
    const char *text = json_string_value(json_object_get(j, "text"));
    fprintf(stderr, "marigoldctl: %s: %s\n", code ? code : "no response",
            text ? text : "");
    json_decref(j);
}

/* --------------------------------------------------------------- output */

static void
print_value(const json_t *v)
{
    if (json_is_string(v)) {
        printf("%s", json_string_value(v));
    }
    else if (json_is_integer(v)) {
        printf("%" JSON_INTEGER_FORMAT, json_integer_value(v));
    }
    else if (json_is_real(v)) {
        printf("%g", json_real_value(v));
    }
    else {
        printf("%s", json_is_true(v) ? "yes" : "no");
    }
}

/* prints a line per row: TITLE: key=value ... */
static void
print_rows(const char *title, json_t *rows)
{
    size_t i;
    json_t *row;
    json_array_foreach(rows, i, row)
    {
        const char *key;
        json_t *v;
        printf("%s:", title);
        json_object_foreach(row, key, v)
        {
            printf(" %s=", key);
            print_value(v);
        }
        printf("\n");
    }
}

static void
print_text(json_t *body)
{
    const char *key;
    json_t *v;
    json_object_foreach(body, key, v)
    {
        if (json_is_array(v)) {
            print_rows(key, v);
        }
        else if (json_is_object(v)) {
            const char *k;
            json_t *item;
            json_object_foreach(v, k, item)
            {
                printf("%s: %s=", key, k);
                print_value(item);
                printf("\n");
            }
        }
        else {
            printf("%s=", key);
            print_value(v);
            printf("\n");
        }
    }
}

static int
print_response(const struct options *o, int status, const mg_buf *body)
{
    int code = exit_code(status, body);
    if (code != EXIT_DONE) {
        print_error(body);
        return code;
    }
    if (o->json) {
        printf("%.*s\n", (int)body->n, body->p);
        return code;
    }
    json_t *j = json_loadb(body->p, body->n, 0, NULL);
    print_text(j);
    json_decref(j);
    return code;
}

static int
get(const struct options *o, const char *path)
{
    mg_buf out = {0};
    int status = send_request(o, "GET", path, (mg_str){"", 0}, &out);
    int code = print_response(o, status, &out);
    mg_buf_free(&out);
    return code;
}

/* ------------------------------------------------------------- commands */

static int
run_status(const struct options *o, const char *argument)
{
    (void)argument;
    return get(o, "/v1/status");
}

static int
run_moves(const struct options *o, const char *argument)
{
    (void)argument;
    return get(o, "/v1/moves");
}

static int
run_credits(const struct options *o, const char *argument)
{
    (void)argument;
    return get(o, "/v1/credits");
}

static int
read_document(const char *file, mg_buf *text)
{
    mg_error err;
    if (mg_read_file(file, MG_DOCUMENT_BYTES_MAX, text, &err) != MG_OK) {
        fprintf(stderr, "marigoldctl: %s\n", err.text);
        return EXIT_REFUSED;
    }
    return EXIT_DONE;
}

static int
check_document(const char *file, mg_str text, bool quiet)
{
    mg_document doc;
    mg_checker ck;
    mg_checker_init(&ck, file);
    mg_rc rc = mg_document_parse(text, file, &doc, &ck);
    if (rc != MG_OK) {
        fwrite(ck.errors.p, 1, ck.errors.n, stderr);
    }
    else {
        if (!quiet) {
            printf("%s: %zu sections, no errors\n", file, doc.count);
        }
        mg_document_free(&doc);
    }
    mg_checker_free(&ck);
    return rc == MG_OK ? EXIT_DONE : EXIT_REFUSED;
}

static int
run_check(const struct options *o, const char *file)
{
    mg_buf text = {0};
    int code = read_document(file, &text);
    (void)o;
    if (code == EXIT_DONE) {
        code = check_document(file, mg_str_buf(&text), false);
    }
    mg_buf_free(&text);
    return code;
}

static int
run_apply(const struct options *o, const char *file)
{
    mg_buf text = {0};
    mg_buf out = {0};
    int code = read_document(file, &text);
    if (code == EXIT_DONE) {
        code = check_document(file, mg_str_buf(&text), true);
    }
    if (code == EXIT_DONE) {
        int status =
            send_request(o, "POST", "/v1/document", mg_str_buf(&text), &out);
        code = print_response(o, status, &out);
    }
    mg_buf_free(&text);
    mg_buf_free(&out);
    return code;
}

static int
post_member_command(const struct options *o, const char *node,
                    const char *what)
{
    char path[MG_TEXT_SIZE];
    mg_buf out = {0};
    snprintf(path, sizeof(path), "/v1/members/%.64s/%s", node, what);
    int status = send_request(o, "POST", path, (mg_str){"", 0}, &out);
    int code = print_response(o, status, &out);
    mg_buf_free(&out);
    return code;
}

static int
run_drain(const struct options *o, const char *node)
{
    return post_member_command(o, node, "drain");
}

static int
run_remove(const struct options *o, const char *node)
{
    return post_member_command(o, node, "remove");
}

static int
run_events(const struct options *o, const char *argument)
{
    (void)o;
    (void)argument;
    mg_log_print_events();
    return EXIT_DONE;
}

static const struct command commands[] = {
    {"check", "FILE", "check a document without sending it", run_check},
    {"apply", "FILE",
     "submit a document; it is accepted or refused as a whole", run_apply},
    {"status", NULL, "leader, entries, pools, revisions", run_status},
    {"moves", NULL, "rollouts with state and reason", run_moves},
    {"credits", NULL, "completed requests by member", run_credits},
    {"drain", "NODE", "drain an entry and shut it down", run_drain},
    {"remove", "NODE", "remove an entry that will not return", run_remove},
    {"events", NULL, "list the log events", run_events},
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void
print_help(void **table)
{
    printf("usage: marigoldctl");
    arg_print_syntax(stdout, table, "\n\n");
    for (size_t i = 0; i < COMMANDS; i++) {
        printf("  %-8s %-5s %s\n", commands[i].name,
               commands[i].argument ? commands[i].argument : "",
               commands[i].help);
    }
    printf("\n");
    arg_print_glossary(stdout, table, "  %-28s %s\n");
    printf(
        "\nExit codes: 0 done, 1 no response, 2 usage, 3 refused or invalid "
        "document,\n4 version conflict, 5 no leader or no quorum within "
        "the timeout.\n");
}

static void
split_addrs(struct options *o, const char *list)
{
    char *copy = strdup(list);
    for (char *a = strtok(copy, ","); a != NULL && o->addr_count < ADDRS_MAX;
         a = strtok(NULL, ",")) {
        o->addrs[o->addr_count++] = a;
    }
}

static int
read_key(struct options *o, const char *file)
{
    mg_buf text = {0};
    mg_error err;
    if (mg_read_file(file, KEY_FILE_MAX, &text, &err) != MG_OK) {
        fprintf(stderr, "marigoldctl: %s\n", err.text);
        return EXIT_BAD_USAGE;
    }
    mg_str rest;
    mg_str_copy(o->key, sizeof(o->key),
                mg_str_split(mg_str_buf(&text), '\n', &rest));
    mg_buf_free(&text);
    return EXIT_DONE;
}

static int
run_command(const struct options *o, const char *name, const char *argument)
{
    for (size_t i = 0; i < COMMANDS; i++) {
        if (strcmp(commands[i].name, name) != 0) {
            continue;
        }
        if ((commands[i].argument != NULL) != (argument != NULL)) {
            fprintf(stderr, "marigoldctl: %s takes %s\n", name,
                    commands[i].argument ? commands[i].argument
                                         : "no argument");
            return EXIT_BAD_USAGE;
        }
        return commands[i].run(o, argument);
    }
    const char *names[COMMANDS];
    for (size_t i = 0; i < COMMANDS; i++) {
        names[i] = commands[i].name;
    }
    const char *near = mg_nearest_name(name, names, COMMANDS);
    fprintf(stderr, "marigoldctl: unknown command %s%s%s%s\n", name,
            near ? "; did you mean " : "", near ? near : "", near ? "?" : "");
    return EXIT_BAD_USAGE;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
    struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
    struct arg_str *control =
        arg_str0("c", "control", "IP:PORT[,...]",
                 "control members (default 127.0.0.1:7201)");
    struct arg_file *key =
        arg_file0("k", "key-file", "FILE", "file that holds the owner's key");
    struct arg_int *timeout =
        arg_int0("t", "timeout", "S", "seconds to wait for a leader (10)");
    struct arg_str *command =
        arg_str0(NULL, NULL, "COMMAND", "one of the above");
    struct arg_str *argument =
        arg_str0(NULL, NULL, "ARGUMENT", "of the command");
    struct arg_end *end = arg_end(8);
    void *table[] = {help,    json,    control,  key,
                     timeout, command, argument, end};
    int errors = arg_parse(argc, argv, table);
    struct options o = {.json = json->count > 0,
                        .timeout_s = timeout->count ? timeout->ival[0] : 10};
    int code = EXIT_DONE;
    if (help->count > 0) {
        print_help(table);
        goto done;
    }
    if (errors > 0 || command->count == 0) {
        arg_print_errors(stderr, end, "marigoldctl");
        fprintf(stderr, "marigoldctl: see --help\n");
        code = EXIT_BAD_USAGE;
        goto done;
    }
    split_addrs(&o, control->count ? control->sval[0] : "127.0.0.1:7201");
    if (key->count > 0) {
        code = read_key(&o, key->filename[0]);
    }
    if (code == EXIT_DONE) {
        code = run_command(&o, command->sval[0],
                           argument->count ? argument->sval[0] : NULL);
    }
done:
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
