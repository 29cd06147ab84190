#include "node/target_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/event.h"
#include "topology/settings.h"

#define FILE_NAME "targets"
#define FILE_BYTES_MAX (4u << 20)

struct mg_target_file {
    uv_work_t work; /* first: libuv gives it back */
    uv_loop_t *loop;
    char path[MG_TEXT_SIZE * 2];
    char temporary[MG_TEXT_SIZE * 2];
    char dir[MG_TEXT_SIZE];
    mg_buf content; /* of the save under way */
    bool saving;
    int failed; /* errno of the save, 0 when it went well */
};

mg_target_file *
mg_target_file_new(uv_loop_t *loop, const char *dir)
{
    mg_target_file *t = mg_alloc(sizeof(*t));
    t->loop = loop;
    mg_str_copy(t->dir, sizeof(t->dir), mg_str_of(dir));
    snprintf(t->path, sizeof(t->path), "%s/" FILE_NAME, dir);
    snprintf(t->temporary, sizeof(t->temporary), "%s/" FILE_NAME ".new", dir);
    return t;
}

void
mg_target_file_load(mg_target_file *t,
                    void (*f)(void *user, const mg_announcement *a),
                    void *user)
{
    mg_buf content = {0};
    mg_error err;
    mg_msg m;
    uint64_t sum;
    if (mg_read_file(t->path, FILE_BYTES_MAX, &content, &err) != MG_OK) {
        return; /* none was saved */
    }
    mg_str rest = mg_str_buf(&content);
    bool sound = rest.n >= sizeof(sum);
    if (sound) {
        memcpy(&sum, rest.p, sizeof(sum));
        rest.p += sizeof(sum);
        rest.n -= sizeof(sum);
        sound = sum == mg_hash(rest);
    }
    if (!sound) {
        mg_log(MG_EV_STORE_TORN, "file=%s", t->path);
    }
    while (sound && mg_msg_next(&rest, &m) == MG_OK) {
        mg_announcement a;
        if (m.type == MG_MSG_INSTANCE &&
            mg_announcement_of_msg(&m.u.instance, &a) == MG_OK) {
            a.remembered = true;
            f(user, &a);
        }
    }
    mg_buf_free(&content);
}

static bool
write_file(mg_target_file *t)
{
    int fd =
        open(t->temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        return false;
    }
    bool good =
        write(fd, t->content.p, t->content.n) == (ssize_t)t->content.n &&
        fsync(fd) == 0;
    good = close(fd) == 0 && good;
    return good && rename(t->temporary, t->path) == 0;
}

static bool
sync_folder(mg_target_file *t)
{
    int fd = open(t->dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return false;
    }
    bool good = fsync(fd) == 0;
    close(fd);
    return good;
}

static void
on_work(uv_work_t *w)
{
    mg_target_file *t = (mg_target_file *)w;
    errno = 0;
    t->failed = write_file(t) && sync_folder(t) ? 0 : errno ? errno : EIO;
}

static void
on_saved(uv_work_t *w, int status)
{
    mg_target_file *t = (mg_target_file *)w;
    (void)status;
    t->saving = false;
    t->content.n = 0;
    if (t->failed != 0) {
        mg_log(MG_EV_STORE_FAILED, "file=%s why=%s", t->path,
               strerror(t->failed));
    }
}

static void
put_instance(void *user, mg_instance *i)
{
    mg_msg m = {.type = MG_MSG_INSTANCE};
    if (i->is.state == MG_INSTANCE_READY) {
        mg_announcement_to_msg(&i->is, &m.u.instance);
        mg_msg_encode(&m, user);
    }
}

bool
mg_target_file_save(mg_target_file *t, const mg_registry *r)
{
    uint64_t sum = 0;
    if (t->saving) {
        return false;
    }
    mg_buf_put(&t->content, &sum, sizeof(sum));
    mg_registry_each(r, put_instance, &t->content);
    mg_str body = {t->content.p + sizeof(sum), t->content.n - sizeof(sum)};
    sum = mg_hash(body);
    memcpy(t->content.p, &sum, sizeof(sum));
    t->saving = uv_queue_work(t->loop, &t->work, on_work, on_saved) == 0;
    return t->saving;
}
