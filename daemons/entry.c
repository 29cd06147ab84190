/* marigold-entry - front-end process */
#include <stdio.h>

#include "base/event.h"
#include "daemon.h"
#include "entry/entry.h"

static void
drain(void *entry)
{
    mg_entry_drain(entry);
}

int
main(int argc, char **argv)
{
    static mg_settings settings;
    mg_daemon_args args = {0};
    mg_entry *entry;
    mg_error err;
    uv_loop_t *loop = uv_default_loop();
    int code = mg_daemon_args_read(argc, argv, false, &args);
    if (code != MG_EXIT_OK || args.done) {
        return code;
    }
    code = mg_daemon_start(args.settings, &settings);
    if (code != MG_EXIT_OK) {
        return code;
    }
    if (mg_entry_open(&entry, loop, &settings, &err) != MG_OK) {
        mg_log(MG_EV_PROCESS_FAILED, "why=%s", err.text);
        return MG_EXIT_FAILED;
    }
    mg_daemon_on_signal(loop, drain, entry);
    mg_log(MG_EV_PROCESS_START, "role=entry domain=%s http=%s link=%s",
           settings.domain, settings.http_addr, settings.link_addr);
    uv_run(loop, UV_RUN_DEFAULT);
    mg_log(MG_EV_PROCESS_STOP, "role=entry");
    return MG_EXIT_OK;
}
