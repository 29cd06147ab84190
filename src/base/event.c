#include "base/event.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <log4c.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/logsink.h"

#define EVENT_LINE_MAX 1024
/* at the end of a process, for a reader that is slow, ms */
#define LAST_WAIT_MS 200

static log4c_category_t *category;
static char process_name[64];
static mg_logsink sink;
static bool buffered; /* written by mg_log_flush() only */
/* log4c and the sink serve one thread at a time */
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
    bool urgent = event->evt_priority <= LOG4C_PRIORITY_WARN;
    (void)appender;
    if (!mg_logsink_put(&sink, mg_str_of(event->evt_rendered_msg), urgent,
                        mg_now(mg_system_clock()))) {
        mg_count(MG_C_LOG_DROPPED, 1);
    }
    return 0;
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
    mg_logsink_init(&sink, STDOUT_FILENO);
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
mg_log_enable_buffering(void)
{
    buffered = true;
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

static void
put_line(const struct event_row *row, const char *fields)
{
    log4c_category_log(category, row->priority, "%d %s %s %s", row->number,
                       row->level, row->name, fields);
}

static void
tell_dropped(void)
{
    char fields[64];
    uint64_t lines = mg_logsink_take_dropped(&sink);
    if (lines > 0 && category != NULL) {
        snprintf(fields, sizeof(fields), "lines=%" PRIu64, lines);
        put_line(find_row(MG_EV_LOG_DROPPED), fields);
    }
}

static void
write_lines(int wait_ms)
{
    mg_logsink_write(&sink, wait_ms);
    tell_dropped();
}

void
mg_log_flush(void)
{
    pthread_mutex_lock(&lock);
    write_lines(0);
    pthread_mutex_unlock(&lock);
}

void
mg_log_close(void)
{
    pthread_mutex_lock(&lock);
    write_lines(LAST_WAIT_MS);
    mg_logsink_write(&sink, LAST_WAIT_MS);
    category = NULL;
    pthread_mutex_unlock(&lock);
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
    char fields[EVENT_LINE_MAX];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(fields, sizeof(fields), fmt, ap);
    va_end(ap);
    pthread_mutex_lock(&lock);
    put_line(row, fields);
    if (!buffered) {
        write_lines(0);
    }
    pthread_mutex_unlock(&lock);
}

void
mg_log_print_events(void)
{
    puts("| number | level | name | meaning |");
    puts("| --- | --- | --- | --- |");
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        printf("| %d | %s | %s | %s |\n", rows[i].number, rows[i].level,
               rows[i].name, rows[i].meaning);
    }
}
