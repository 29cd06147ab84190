#include "gateway/rejected.h"

#include <string.h>

static size_t
position_of(const mg_rejected *r, const char *version)
{
    size_t i = 0;
    while (i < r->count && strcmp(r->versions[i], version) != 0) {
        i++;
    }
    return i;
}

bool
mg_rejected_has(const mg_rejected *r, const char *version)
{
    return position_of(r, version) < r->count;
}

static void
remove_at(mg_rejected *r, size_t at)
{
    r->count--;
    memmove(r->versions[at], r->versions[at + 1],
            (r->count - at) * sizeof(r->versions[0]));
}

static void
add(mg_rejected *r, mg_str version)
{
    if (r->count == MG_REJECTED_MAX) {
        remove_at(r, 0);
    }
    mg_str_copy(r->versions[r->count++], MG_NAME_SIZE, version);
}

bool
mg_rejected_follow(mg_rejected *r, const char *version,
                   mg_rollout_state_id state)
{
    size_t at = position_of(r, version);
    bool found = at < r->count;
    if (state == MG_ROLLOUT_ROLLED_BACK && !found) {
        add(r, mg_str_of(version));
        return true;
    }
    if (state == MG_ROLLOUT_DONE && found) {
        remove_at(r, at);
        return true;
    }
    return false;
}

void
mg_rejected_encode(const mg_rejected *r, mg_buf *out)
{
    for (size_t i = 0; i < r->count; i++) {
        mg_msg m = {.type = MG_MSG_VERSION_NAME};
        m.u.version_name.version = mg_str_of(r->versions[i]);
        mg_msg_encode(&m, out);
    }
}

void
mg_rejected_decode(mg_rejected *r, mg_str versions)
{
    mg_msg m;
    r->count = 0;
    while (mg_msg_next(&versions, &m) == MG_OK) {
        if (m.type == MG_MSG_VERSION_NAME) {
            add(r, m.u.version_name.version);
        }
    }
}
