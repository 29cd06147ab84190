/*
 * stall - preloaded into a process, makes its file syncs or its end wait
 *
 * While the file that STALL_FILE names exists, fsync() and fdatasync() do not
 * return, as on a disk that has stalled. With STALL_EXIT_MS, exit() takes that
 * long after libuv's thread pool is gone, as under a sanitizer: the pool
 * destroys its condition variables then.
 */
#include <dlfcn.h>
#include <pthread.h>
#include <stdlib.h>
#include <unistd.h>

#define POLL_US 10000

static int
sync_after_stall(const char *name, int fd)
{
    const char *file = getenv("STALL_FILE");
    int (*f)(int);
    *(void **)&f = dlsym(RTLD_NEXT, name);
    while (file != NULL && access(file, F_OK) == 0) {
        usleep(POLL_US);
    }
    return f(fd);
}

int
fsync(int fd)
{
    return sync_after_stall("fsync", fd);
}

int
fdatasync(int fd)
{
    return sync_after_stall("fdatasync", fd);
}

int
pthread_cond_destroy(pthread_cond_t *c)
{
    const char *ms = getenv("STALL_EXIT_MS");
    int (*f)(pthread_cond_t *);
    *(void **)&f = dlsym(RTLD_NEXT, "pthread_cond_destroy");
    int result = f(c);
    if (ms != NULL) {
        usleep((useconds_t)atoi(ms) * 1000);
    }
    return result;
}
