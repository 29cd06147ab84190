#include "wire/sock.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

int
mg_sock_take_error(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    int error = 0;
    socklen_t size = sizeof(error);
    if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        return 0;
    }
    return uv_translate_sys_error(error);
}

bool
mg_sock_is_acknowledged(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    int unacknowledged = 0;
    return uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
           ioctl(fd, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

void
mg_sock_reset_on_close(const uv_tcp_t *tcp, bool on)
{
    uv_os_fd_t fd;
    struct linger l = {.l_onoff = on, .l_linger = 0};
    if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    }
}
