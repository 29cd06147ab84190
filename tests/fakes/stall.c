/*
 * stall - preloaded into a process, makes its file syncs wait
 *
 * While the file that STALL_FILE names exists, fsync() and fdatasync() do not
 * return, as on a disk that has stalled.
 */
#include <dlfcn.h>
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
