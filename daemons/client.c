#include "client.h"

#define CONNECT_MS 1000

struct answer {
    uv_loop_t *loop;
    int status;
    mg_buf *out;
    mg_http_result end;
    bool over;
};

static void
on_head(void *user, int status, mg_str type, bool not_run)
{
    (void)type;
    (void)not_run;
    ((struct answer *)user)->status = status;
}

static void
on_data(void *user, mg_str data)
{
    mg_buf_put(((struct answer *)user)->out, data.p, data.n);
}

static void
on_end(void *user, mg_http_result end, const char *why)
{
    struct answer *a = user;
    (void)why;
    a->end = end;
    a->over = true;
    uv_stop(a->loop);
}

mg_rc
mg_client_exchange(const mg_exchange *x, int *status, mg_buf *out)
{
    struct answer a = {.loop = uv_default_loop(), .out = out};
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = a.loop,
        .addr = x->addr,
        .method = x->method,
        .path = x->path,
        .extra_headers = x->extra,
        .body = x->body,
        .connect_timeout_ms = CONNECT_MS,
        .read_timeout_ms = x->silence_ms,
        .on_headers = on_head,
        .on_data = on_data,
        .on_end = on_end,
        .user = &a,
    });
    while (!a.over) {
        uv_run(a.loop, UV_RUN_DEFAULT);
    }
    *status = a.status;
    return a.end == MG_HTTP_COMPLETE ? MG_OK : MG_E_CLOSED;
}
