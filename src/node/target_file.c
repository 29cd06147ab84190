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
    uv_work_t work; /* first member: libuv callbacks cast it back */
    uv_loop_t *loop;
    char path[MG_TEXT_SIZE * 2];
    char temp_path[MG_TEXT_SIZE * 2];
    char dir[MG_TEXT_SIZE];
    mg_buf content; /* of the save in progress */
    bool saving;
    int save_errno; /* errno of the save, 0: success */
};

mg_target_file *
mg_target_file_new(uv_loop_t *loop, const char *dir)
{
    mg_target_file *t = mg_alloc(sizeof(*t));
    t->loop = loop;
    mg_str_copy(t->dir, sizeof(t->dir), mg_str_of(dir));
    snprintf(t->path, sizeof(t->path), "%s/" FILE_NAME, dir);
    snprintf(t->temp_path, sizeof(t->temp_path), "%s/" FILE_NAME ".new", dir);
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
        return; /* nothing was saved */
    }
    mg_str rest = mg_str_buf(&content);
    bool valid = rest.n >= sizeof(sum);
    if (valid) {
        memcpy(&sum, rest.p, sizeof(sum));
        rest.p += sizeof(sum);
        rest.n -= sizeof(sum);
        valid = sum == mg_hash(rest);
    }
    if (!valid) {
        mg_log(MG_EV_STORE_TORN, "file=%s", t->path);
    }
    while (valid && mg_msg_next(&rest, &m) == MG_OK) {
        mg_announcement a;
        if (m.type == MG_MSG_INSTANCE &&
            mg_announcement_from_msg(&m.u.instance, &a) == MG_OK) {
            a.restored = true;
            f(user, &a);
        }
    }
    mg_buf_free(&content);
}

static bool
write_file(mg_target_file *t)
{
    int fd =
        open(t->temp_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        return false;
    }
    bool ok = write(fd, t->content.p, t->content.n) == (ssize_t)t->content.n &&
              fsync(fd) == 0;
    ok = close(fd) == 0 && ok;
    return ok && rename(t->temp_path, t->path) == 0;
}

static bool
sync_dir(mg_target_file *t)
{
    int fd = open(t->dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return false;
    }
    bool ok = fsync(fd) == 0;
    close(fd);
    return ok;
}

static void
on_work(uv_work_t *w)
{
    mg_target_file *t = (mg_target_file *)w;
    errno = 0;
    t->save_errno = write_file(t) && sync_dir(t) ? 0 : errno ? errno : EIO;
}

static void
on_saved(uv_work_t *w, int status)
{
    mg_target_file *t = (mg_target_file *)w;
    (void)status;
    t->saving = false;
    t->content.n = 0;
    if (t->save_errno != 0) {
        mg_log(MG_EV_STORE_FAILED, "file=%s why=%s", t->path,
               strerror(t->save_errno));
    }
}

static void
append_instance(void *user, mg_instance *i)
{
    mg_msg m = {.type = MG_MSG_INSTANCE};
    if (i->info.state == MG_INSTANCE_READY) {
        mg_announcement_to_msg(&i->info, &m.u.instance);
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
    mg_registry_each(r, append_instance, &t->content);
    mg_str body = {t->content.p + sizeof(sum), t->content.n - sizeof(sum)};
    sum = mg_hash(body);
    memcpy(t->content.p, &sum, sizeof(sum));
    t->saving = uv_queue_work(t->loop, &t->work, on_work, on_saved) == 0;
    return t->saving;
}
