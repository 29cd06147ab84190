/*
 * daemon - what the mains share: options, log, signals, the loop
 */
#ifndef MG_DAEMON_H
#define MG_DAEMON_H

#include <uv.h>

#include "topology/settings.h"

/* exit codes, also in docs/OPERATIONS.md */
enum {
    MG_EXIT_OK = 0,
    MG_EXIT_FAILED = 1,
    MG_EXIT_USAGE = 2,
    MG_EXIT_SETTINGS = 3,
};

typedef struct mg_daemon_args {
    const char *settings; /* borrowed from argv */
    bool init;            /* --init */
    bool done;            /* --help or --version was answered */
} mg_daemon_args;

/* Reads the command line; returns an exit code. */
int
mg_daemon_args_read(int argc, char **argv, bool with_init,
                    mg_daemon_args *args);
/* Reads settings, opens the log, ignores SIGPIPE; returns an exit code. */
int
mg_daemon_start(const char *file, mg_settings *s);
/* Calls f on SIGTERM and SIGINT. */
void
mg_daemon_on_signal(uv_loop_t *loop, void (*f)(void *user), void *user);

#endif
