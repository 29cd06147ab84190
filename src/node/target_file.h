/*
 * target_file - saves the known targets in the data directory
 *
 * After all hosts were down at the same time, targets announce themselves
 * again only gradually. The saved targets let hosts with a disk, and through
 * the mesh all others, use them immediately after the restart.
 *
 * The file holds a checksum followed by INSTANCE messages. A libuv pool
 * thread replaces the whole file, so a slow disk does not block the event
 * loop. Write errors and corrupt files are logged and otherwise ignored.
 */
#ifndef MG_TARGET_FILE_H
#define MG_TARGET_FILE_H

#include <uv.h>

#include "topology/registry.h"

typedef struct mg_target_file mg_target_file;

/* dir must exist by the first save. */
mg_target_file *
mg_target_file_new(uv_loop_t *loop, const char *dir);
/* Calls f for each saved target, with its restored flag set. */
void
mg_target_file_load(mg_target_file *t,
                    void (*f)(void *user, const mg_announcement *a),
                    void *user);
/* Starts saving the ready targets of the registry. Returns false if a save is
   still in progress or can't be started; the caller must retry. */
bool
mg_target_file_save(mg_target_file *t, const mg_registry *r);

#endif
