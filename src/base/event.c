#include "base/event.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <log4c.h>

#define EVENT_LINE_MAX 1024
#define LOG_BUFFER_BYTES 65536

static log4c_category_t *category;
static char process_name[64];
/* log4c and the buffers below serve one thread at a time */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const struct event_row {
    int number;
    int priority;
    const char *level;
    const char *name;
    const char *meaning;
} rows[] = {
#define X(number, level, name, meaning) \
    {number, LOG4C_PRIORITY_##level, #level, #name, meaning},
    MG_EVENT_LIST(X)
#undef X
};

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static char line[EVENT_LINE_MAX + 128];
    struct timespec ts;
    struct tm tm;
    char when[32];
    (void)layout;
    clock_gettime(CLOCK_REALTIME, &ts);
    gmtime_r(&ts.tv_sec, &tm);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(line, sizeof(line), "%s.%03ldZ %s %s\n", when,
             ts.tv_nsec / 1000000, process_name, event->evt_msg);
    return line;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    return fputs(event->evt_rendered_msg, stdout) < 0 ? -1 : 0;
}

static const log4c_appender_type_t stdout_appender = {"mg_stdout", NULL,
                                                      append_line, NULL};
static const log4c_layout_type_t line_layout = {"mg_line", format_line};

mg_rc
mg_log_open(const char *process, const char *level)
{
    static const struct {
        const char *name;
        int priority;
    } levels[] = {{"info", LOG4C_PRIORITY_INFO},
                  {"warn", LOG4C_PRIORITY_WARN},
                  {"error", LOG4C_PRIORITY_ERROR}};
    int priority = -1;
    for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
        if (strcmp(levels[i].name, level) == 0) {
            priority = levels[i].priority;
        }
    }
    if (priority < 0) {
        return MG_E_INPUT;
    }
    setvbuf(stdout, NULL, _IOLBF, 0);
    snprintf(process_name, sizeof(process_name), "%s", process);
    category = log4c_category_get("marigold");
    log4c_appender_t *to = log4c_appender_get("mg_stdout");
    log4c_layout_t *layout = log4c_layout_get("mg_line");
    log4c_layout_set_type(layout, &line_layout);
    log4c_appender_set_type(to, &stdout_appender);
    log4c_appender_set_layout(to, layout);
    log4c_category_set_appender(category, to);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, priority);
    return MG_OK;
}

void
mg_log_buffer(void)
{
    static char buffer[LOG_BUFFER_BYTES];
    setvbuf(stdout, buffer, _IOFBF, sizeof(buffer));
}

void
mg_log_flush(void)
{
    pthread_mutex_lock(&lock);
    fflush(stdout);
    pthread_mutex_unlock(&lock);
}

void
mg_log_close(void)
{
    category = NULL;
}

static const struct event_row *
find_row(mg_event ev)
{
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if (rows[i].number == (int)ev) {
            return &rows[i];
        }
    }
    return NULL;
}

void
mg_log(mg_event ev, const char *fmt, ...)
{
    if (category == NULL) {
        return;
    }
    const struct event_row *row = find_row(ev);
    MG_INVARIANT(row != NULL);
    if (!log4c_category_is_priority_enabled(category, row->priority)) {
        return;
    }
    char line[EVENT_LINE_MAX];
    int n = snprintf(line, sizeof(line), "%d %s %s ", row->number, row->level,
                     row->name);
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
    va_end(ap);
    pthread_mutex_lock(&lock);
    log4c_category_log(category, row->priority, "%s", line);
    pthread_mutex_unlock(&lock);
}

void
mg_log_catalogue(void)
{
    puts("| number | level | name | meaning |");
    puts("| --- | --- | --- | --- |");
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        printf("| %d | %s | %s | %s |\n", rows[i].number, rows[i].level,
               rows[i].name, rows[i].meaning);
    }
}
