#include "base/outcome.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct {
    const char *name;
    int http;
} rc_table[] = {
#define X(code, name, http) {name, http},
    MG_RC_LIST(X)
#undef X
};

const char *
mg_rc_name(mg_rc rc)
{
    return rc_table[rc].name;
}

int
mg_rc_http_status(mg_rc rc)
{
    return rc_table[rc].http;
}

const char *
mg_ran_name(mg_ran ran)
{
    static const char *const names[] = {"no", "unknown", "yes"};
    return names[ran];
}

mg_rc
mg_fail(mg_error *err, mg_rc code, const char *fmt, ...)
{
    if (err != NULL) {
        va_list ap;
        va_start(ap, fmt);
        err->code = code;
        vsnprintf(err->text, sizeof(err->text), fmt, ap);
        va_end(ap);
    }
    return code;
}

static void *
check_memory(void *p)
{
    if (p == NULL) {
        fputs("marigold: out of memory\n", stderr);
        abort();
    }
    return p;
}

void *
mg_alloc(size_t size)
{
    return check_memory(calloc(1, size ? size : 1));
}

void *
mg_realloc(void *p, size_t size)
{
    return check_memory(realloc(p, size ? size : 1));
}

char *
mg_strdup(const char *s)
{
    return check_memory(strdup(s));
}

char *
mg_strndup(const char *s, size_t n)
{
    return check_memory(strndup(s, n));
}

void
mg_invariant_failed(const char *cond, const char *file, int line)
{
    fprintf(stderr, "marigold: invariant broken: %s (%s:%d)\n", cond, file,
            line);
    abort();
}
