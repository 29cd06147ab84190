#include "client.h"

#define CONNECT_TIMEOUT_MS 1000
/* more than any document or status of a control group */
#define BODY_BYTES_MAX (64u << 20)

struct exchange_state {
    uv_loop_t *loop;
    int status;
    mg_buf *out;
    mg_http_result end;
    bool done;
};

static void
on_head(void *user, int status, mg_str type, bool not_run)
{
    (void)type;
    (void)not_run;
    ((struct exchange_state *)user)->status = status;
}

static void
on_data(void *user, mg_str data)
{
    mg_buf_put(((struct exchange_state *)user)->out, data.p, data.n);
}

static void
on_end(void *user, mg_http_result end, const char *why)
{
    struct exchange_state *e = user;
    (void)why;
    e->end = end;
    e->done = true;
    uv_stop(e->loop);
}

mg_rc
mg_client_exchange(const mg_exchange *x, int *status, mg_buf *out)
{
    struct exchange_state e = {.loop = uv_default_loop(), .out = out};
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = e.loop,
        .addr = x->addr,
        .method = x->method,
        .path = x->path,
        .extra_headers = x->extra_headers,
        .body = x->body,
        .body_max = BODY_BYTES_MAX,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .read_timeout_ms = x->read_timeout_ms,
        .on_headers = on_head,
        .on_data = on_data,
        .on_end = on_end,
        .user = &e,
    });
    while (!e.done) {
        uv_run(e.loop, UV_RUN_DEFAULT);
    }
    *status = e.status;
    return e.end == MG_HTTP_COMPLETE ? MG_OK : MG_E_CLOSED;
}
