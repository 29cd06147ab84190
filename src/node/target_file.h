/*
 * target_file - the targets that a host knows, saved in its data folder
 *
 * After all hosts were down at once targets announce themselves only one
 * after the other; with what was saved the hosts with a disk, and through
 * them all others, use the targets again from the first moment.
 *
 * A file is a checksum and INSTANCE messages. It is replaced whole, by a
 * thread of libuv's pool, so that a slow disk holds up nothing; what can't
 * be written or read is logged and does without.
 */
#ifndef MG_TARGET_FILE_H
#define MG_TARGET_FILE_H

#include <uv.h>

#include "topology/registry.h"

typedef struct mg_target_file mg_target_file;

/* dir must exist when something is saved. */
mg_target_file *
mg_target_file_new(uv_loop_t *loop, const char *dir);
/* Calls f for each target of the file, marked as remembered. */
void
mg_target_file_load(mg_target_file *t,
                    void (*f)(void *user, const mg_announcement *a),
                    void *user);
/* Saves the ready ones of the registry, unless a save is still under way:
   then false, and the caller comes again. */
bool
mg_target_file_save(mg_target_file *t, const mg_registry *r);

#endif
