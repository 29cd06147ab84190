/* log lines before a reader that stops, and before too many of them */
#include "suite.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include "base/logsink.h"

static mg_logsink sink;

static mg_str
line_of(char *buf, size_t size, unsigned number, size_t length)
{
    int n = snprintf(buf, size, "%u ", number);
    memset(buf + n, 'x', length);
    buf[n + (int)length] = '\n';
    return (mg_str){buf, (size_t)n + length + 1};
}

/* reads what is left to the end; the number of lines, 0 for a torn one */
static unsigned
read_lines(int fd, int turns)
{
    static char text[1 << 20];
    unsigned lines = 0;
    size_t n = 0;
    for (int i = 0; i < turns; i++) {
        ssize_t got;
        while ((got = read(fd, text + n, sizeof(text) - n - 1)) > 0) {
            n += (size_t)got;
        }
        mg_logsink_write(&sink, 0);
    }
    text[n] = '\0';
    for (const char *p = text; *p != '\0'; lines++) {
        const char *end = strchr(p, '\n');
        if (end == NULL || strtoul(p, NULL, 10) < lines) {
            return 0;
        }
        p = end + 1;
    }
    return lines;
}

/* the pipe is full and nobody reads: nothing waits, nothing is torn */
static void
test_stopped_reader(void)
{
    char buf[600];
    int ends[2];
    unsigned kept = 0;
    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    mg_logsink_init(&sink, ends[1]);
    int64_t now = 1000;
    for (unsigned i = 0; i < 4000; i++) {
        now += 10;
        kept += mg_logsink_put(&sink, line_of(buf, sizeof(buf), i, 500), false,
                               now);
        mg_logsink_write(&sink, 0);
    }
    CU_ASSERT_TRUE(kept < 4000);
    CU_ASSERT_EQUAL(sink.dropped, 4000 - kept);
    CU_ASSERT_EQUAL(mg_logsink_take_dropped(&sink), 0);
    CU_ASSERT_EQUAL(read_lines(ends[0], 20), kept);
    CU_ASSERT_EQUAL(mg_logsink_take_dropped(&sink), 4000 - kept);
    CU_ASSERT_EQUAL(mg_logsink_take_dropped(&sink), 0);
    close(ends[0]);
    close(ends[1]);
}

/* a flood of decisions leaves room for what is urgent */
static void
test_flood(void)
{
    char buf[600];
    unsigned kept = 0;
    mg_logsink_init(&sink, -1);
    for (unsigned i = 0; i < 3 * MG_LOGSINK_LINES; i++) {
        kept += mg_logsink_put(&sink, line_of(buf, sizeof(buf), i, 20), false,
                               5000 + i % 1000);
    }
    CU_ASSERT_EQUAL(kept, MG_LOGSINK_LINES);
    CU_ASSERT_TRUE(
        mg_logsink_put(&sink, line_of(buf, sizeof(buf), 1, 20), true, 5999));
    CU_ASSERT_TRUE(
        mg_logsink_put(&sink, line_of(buf, sizeof(buf), 1, 20), false, 6000));
}

/* a reader that is gone ends nothing */
static void
test_reader_gone(void)
{
    char buf[600];
    int ends[2];
    signal(SIGPIPE, SIG_IGN);
    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    close(ends[0]);
    mg_logsink_init(&sink, ends[1]);
    CU_ASSERT_TRUE(
        mg_logsink_put(&sink, line_of(buf, sizeof(buf), 1, 20), true, 1));
    mg_logsink_write(&sink, 0);
    CU_ASSERT_EQUAL(sink.n, 0);
    close(ends[1]);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a reader that stops holds up nothing", test_stopped_reader},
        {"a flood of lines is bounded", test_flood},
        {"a reader that is gone", test_reader_gone},
        CU_TEST_INFO_NULL,
    };
    return run_suite("logsink", tests);
}
