/*
 * A peer that sends a header section without end to the HTTP client. Guards
 * against a process that keeps it all.
 */
#include "suite.h"

#include <netinet/in.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/addr.h"
#include "wire/http.h"

#define PORT 24744
#define PIECES 1024 /* of 64 KB */
#define GROWTH_MAX_KB 8192
#define RUN_MS 2000

static bool ended;

static void
on_headers(void *user, int status, mg_str type, bool not_run)
{
    (void)user;
    (void)status;
    (void)type;
    (void)not_run;
}

static void
on_data(void *user, mg_str data)
{
    (void)user;
    (void)data;
}

static void
on_end(void *user, mg_http_result result, const char *why)
{
    (void)user;
    (void)result;
    (void)why;
    ended = true;
}

static void
serve_endless_head(int listener)
{
    static char bytes[65536];
    static const char head[] = "HTTP/1.1 200 OK\r\nX: ";
    signal(SIGPIPE, SIG_IGN);
    int fd = accept(listener, NULL, NULL);
    memset(bytes, 'a', sizeof(bytes));
    bool ok = send(fd, head, sizeof(head) - 1, 0) > 0;
    for (int i = 0; ok && i < PIECES; i++) {
        ok = send(fd, bytes, sizeof(bytes), 0) > 0;
    }
    sleep(RUN_MS / 1000 + 1);
    _exit(0);
}

static void
test_endless_head(void)
{
    struct sockaddr_in sin;
    struct rusage before;
    struct rusage after;
    char addr[MG_ADDR_SIZE];
    uv_loop_t loop;
    unsigned pid = (unsigned)getpid();
    snprintf(addr, sizeof(addr), "127.%u.%u.%u:%d", pid >> 16 & 127,
             pid >> 8 & 255, pid & 255, PORT);
    mg_addr_parse(addr, &sin);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL_FATAL(bind(listener, (struct sockaddr *)&sin, sizeof(sin)),
                          0);
    CU_ASSERT_EQUAL_FATAL(listen(listener, 1), 0);
    pid_t server = fork();
    if (server == 0) {
        serve_endless_head(listener);
    }
    uv_loop_init(&loop);
    getrusage(RUSAGE_SELF, &before);
    mg_http_client_req_new(&(mg_http_client_req_options){
        .loop = &loop,
        .addr = addr,
        .method = "GET",
        .path = "/",
        .connect_timeout_ms = 1000,
        .read_timeout_ms = 2 * RUN_MS,
        .on_headers = on_headers,
        .on_data = on_data,
        .on_end = on_end,
    });
    uint64_t end = uv_hrtime() + (uint64_t)RUN_MS * 1000000;
    while (!ended && uv_hrtime() < end) {
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    getrusage(RUSAGE_SELF, &after);
    long grown = after.ru_maxrss - before.ru_maxrss;
    printf("\n  ended %d, grown by %ld KB\n", ended, grown);
    CU_ASSERT_TRUE(ended);
    CU_ASSERT_TRUE(grown <= GROWTH_MAX_KB);
    kill(server, SIGKILL);
    waitpid(server, NULL, 0);
    close(listener);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"a header section without end", test_endless_head},
        CU_TEST_INFO_NULL,
    };
    return run_suite("endless", tests);
}
