/* The log buffer with a stalled or closed reader, and with too many lines. */
#include "suite.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include "base/logsink.h"

static mg_logsink sink;

static mg_str
format_line(char *buf, size_t size, unsigned number, size_t length)
{
    int n = snprintf(buf, size, "%u ", number);
    memset(buf + n, 'x', length);
    buf[n + (int)length] = '\n';
    return (mg_str){buf, (size_t)n + length + 1};
}

/* Writes and reads all buffered lines. Returns their number, 0 when one is
   incomplete or out of order. */
static unsigned
read_lines(int fd, int rounds)
{
    static char text[1 << 20];
    unsigned lines = 0;
    size_t n = 0;
    for (int i = 0; i < rounds; i++) {
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

/* the pipe is full and nobody reads: no call blocks, no line is truncated */
static void
test_stalled_reader(void)
{
    char buf[600];
    int fds[2];
    unsigned kept = 0;
    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    mg_logsink_init(&sink, fds[1]);
    int64_t now = 1000;
    for (unsigned i = 0; i < 4000; i++) {
        now += 10;
        kept += mg_logsink_put(&sink, format_line(buf, sizeof(buf), i, 500),
                               false, now);
        mg_logsink_write(&sink, 0);
    }
    CU_ASSERT_TRUE(kept < 4000);
    CU_ASSERT_EQUAL(sink.dropped, 4000 - kept);
    CU_ASSERT_EQUAL(mg_logsink_take_dropped(&sink), 0);
    CU_ASSERT_EQUAL(read_lines(fds[0], 20), kept);
    CU_ASSERT_EQUAL(mg_logsink_take_dropped(&sink), 4000 - kept);
    CU_ASSERT_EQUAL(mg_logsink_take_dropped(&sink), 0);
    close(fds[0]);
    close(fds[1]);
}

/* urgent lines have a separate limit, which other lines don't use up */
static void
test_line_limit(void)
{
    char buf[600];
    unsigned kept = 0;
    mg_logsink_init(&sink, -1);
    for (unsigned i = 0; i < 3 * MG_LOGSINK_LINES; i++) {
        kept += mg_logsink_put(&sink, format_line(buf, sizeof(buf), i, 20),
                               false, 5000 + i % 1000);
    }
    CU_ASSERT_EQUAL(kept, MG_LOGSINK_LINES);
    CU_ASSERT_TRUE(mg_logsink_put(&sink, format_line(buf, sizeof(buf), 1, 20),
                                  true, 5999));
    CU_ASSERT_TRUE(mg_logsink_put(&sink, format_line(buf, sizeof(buf), 1, 20),
                                  false, 6000));
}

/* with a closed reader the lines are discarded, without an error */
static void
test_closed_reader(void)
{
    char buf[600];
    int fds[2];
    signal(SIGPIPE, SIG_IGN);
    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    close(fds[0]);
    mg_logsink_init(&sink, fds[1]);
    CU_ASSERT_TRUE(
        mg_logsink_put(&sink, format_line(buf, sizeof(buf), 1, 20), true, 1));
    mg_logsink_write(&sink, 0);
    CU_ASSERT_EQUAL(sink.n, 0);
    close(fds[1]);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a stalled reader delays nothing", test_stalled_reader},
        {"lines per second are limited by class", test_line_limit},
        {"lines for a closed reader are discarded", test_closed_reader},
        CU_TEST_INFO_NULL,
    };
    return run_suite("logsink", tests);
}
