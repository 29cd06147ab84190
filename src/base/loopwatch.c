#include "base/loopwatch.h"

#include "base/counter.h"

static void
on_after_poll(uv_check_t *h)
{
    ((mg_loopwatch *)h->data)->iteration_start_ns = uv_hrtime();
}

static void
on_before_poll(uv_prepare_t *h)
{
    mg_loopwatch *w = h->data;
    if (w->iteration_start_ns != 0) {
        mg_observe(MG_H_LOOP_ITERATION,
                   (int64_t)((uv_hrtime() - w->iteration_start_ns) / 1000));
    }
}

void
mg_loopwatch_start(mg_loopwatch *w, uv_loop_t *loop)
{
    *w = (mg_loopwatch){0};
    uv_check_init(loop, &w->after_poll);
    w->after_poll.data = w;
    uv_check_start(&w->after_poll, on_after_poll);
    uv_prepare_init(loop, &w->before_poll);
    w->before_poll.data = w;
    uv_prepare_start(&w->before_poll, on_before_poll);
}
