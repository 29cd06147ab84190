/* marigold-control - process of a control group member */
#include <stdio.h>

#include "base/event.h"
#include "control/control.h"
#include "daemon.h"

static void
stop(void *control)
{
    mg_control_stop(control);
}

static int
init_data_dir(const mg_settings *settings)
{
    mg_error err;
    if (mg_control_init_data_dir(settings->data_dir, &err) != MG_OK) {
        fprintf(stderr, "marigold-control: %s\n", err.text);
        return MG_EXIT_FAILED;
    }
    return MG_EXIT_OK;
}

int
main(int argc, char **argv)
{
    static mg_settings settings;
    mg_daemon_args args = {0};
    mg_control *control;
    mg_error err;
    uv_loop_t *loop = uv_default_loop();
    int code = mg_daemon_args_read(argc, argv, true, &args);
    if (code != MG_EXIT_OK || args.done) {
        return code;
    }
    code = mg_daemon_start(args.settings, &settings);
    if (code != MG_EXIT_OK) {
        return code;
    }
    if (args.init) {
        return init_data_dir(&settings);
    }
    if (mg_control_open(&control, loop, &settings, &err) != MG_OK) {
        mg_log(MG_EV_PROCESS_FAILED, "why=%s", err.text);
        return MG_EXIT_FAILED;
    }
    mg_daemon_on_signal(loop, stop, control);
    mg_log(MG_EV_PROCESS_START, "role=control domain=%s http=%s link=%s",
           settings.domain, settings.http_addr, settings.link_addr);
    uv_run(loop, UV_RUN_DEFAULT);
    bool failed = mg_control_storage_failed(control);
    mg_log(MG_EV_PROCESS_STOP, "role=control failed=%d", failed);
    return failed ? MG_EXIT_FAILED : MG_EXIT_OK;
}
