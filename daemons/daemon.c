#include "daemon.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "base/event.h"

static void
print_help(const char *program, void **table)
{
    printf("usage: %s", program);
    arg_print_syntax(stdout, table, "\n");
    arg_print_glossary(stdout, table, "  %-28s %s\n");
}

int
mg_daemon_args_read(int argc, char **argv, bool with_init,
                    mg_daemon_args *args)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help and exit");
    struct arg_lit *init =
        arg_lit0(NULL, "init",
                 "create the data directory of a member of a "
                 "new group and exit");
    struct arg_file *file =
        arg_file0("s", "settings", "FILE", "settings file");
    struct arg_end *end = arg_end(8);
    void *with[] = {help, init, file, end};
    void *without[] = {help, file, end};
    void **table = with_init ? with : without;
    int errors = arg_parse(argc, argv, table);
    int code = MG_EXIT_OK;
    if (help->count > 0) {
        print_help(argv[0], table);
        args->done = true;
    }
    else if (errors > 0 || file->count == 0) {
        arg_print_errors(stderr, end, argv[0]);
        fprintf(stderr, "%s: --settings FILE is required, see --help\n",
                argv[0]);
        code = MG_EXIT_USAGE;
    }
    else {
        args->settings = strdup(file->filename[0]);
        args->init = with_init && init->count > 0;
    }
    arg_freetable(with, sizeof(with) / sizeof(with[0]));
    return code;
}

int
mg_daemon_start(const char *file, mg_settings *s)
{
    mg_buf errors = {0};
    signal(SIGPIPE, SIG_IGN);
    if (mg_settings_load(file, s, &errors) != MG_OK) {
        fwrite(errors.p, 1, errors.n, stderr);
        mg_buf_free(&errors);
        return MG_EXIT_SETTINGS;
    }
    if (mg_log_open(s->node, s->log_level) != MG_OK) {
        fprintf(stderr,
                "%s: log_level: expected \"info\", \"warn\" or \"error\"\n",
                file);
        return MG_EXIT_SETTINGS;
    }
    return MG_EXIT_OK;
}

struct signal_handler {
    void (*cb)(void *user);
    void *user;
};

static void
on_signal(uv_signal_t *h, int number)
{
    struct signal_handler *handler = h->data;
    (void)number;
    handler->cb(handler->user);
}

void
mg_daemon_on_signal(uv_loop_t *loop, void (*cb)(void *user), void *user)
{
    static uv_signal_t handles[2];
    static struct signal_handler handler;
    static const int numbers[] = {SIGTERM, SIGINT};
    handler.cb = cb;
    handler.user = user;
    for (size_t i = 0; i < 2; i++) {
        uv_signal_init(loop, &handles[i]);
        handles[i].data = &handler;
        uv_signal_start(&handles[i], on_signal, numbers[i]);
        uv_unref((uv_handle_t *)&handles[i]);
    }
}
