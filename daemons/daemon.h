/*
 * daemon - startup code of the daemons: options, settings, log, signals
 */
#ifndef MG_DAEMON_H
#define MG_DAEMON_H

#include <uv.h>

#include "topology/settings.h"

/* exit codes, documented in docs/OPERATIONS.md */
enum {
    MG_EXIT_OK = 0,
    MG_EXIT_FAILED = 1,
    MG_EXIT_USAGE = 2,
    MG_EXIT_SETTINGS = 3,
};

typedef struct mg_daemon_args {
    const char *settings; /* file name, never freed */
    bool init;            /* --init: create the data directory and exit */
    bool done;            /* --help was printed: exit now */
} mg_daemon_args;

/* Parses the command line; --init is an option only if with_init is set.
   Returns MG_EXIT_OK, or the exit code for the error that it printed. */
int
mg_daemon_args_read(int argc, char **argv, bool with_init,
                    mg_daemon_args *args);
/* Loads settings, opens the log, ignores SIGPIPE. Returns MG_EXIT_OK, or the
   exit code for the error that it printed. */
int
mg_daemon_start(const char *file, mg_settings *s);
/* Calls cb(user) on SIGTERM and SIGINT. One callback per process. */
void
mg_daemon_on_signal(uv_loop_t *loop, void (*cb)(void *user), void *user);

#endif
