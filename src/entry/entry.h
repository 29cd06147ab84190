/*
 * entry - an entry host's process: callers and targets on one side, the
 * control group and the other entries on the other
 *
 * It serves callers while it holds a serving lease, or while most entries
 * agree that none of them holds one (then no change of the document can have
 * been accepted). It holds the schedulers of the pools that the control
 * group has placed on it.
 */
#ifndef MG_ENTRY_H
#define MG_ENTRY_H

#include <uv.h>

#include "topology/settings.h"

typedef struct mg_entry mg_entry;

mg_rc
mg_entry_open(mg_entry **out, uv_loop_t *loop, const mg_settings *settings,
              mg_error *err);
/*
 * Graceful shutdown: leaves the addresses, serves until callers' kept
 * answers have run out, hands its schedulers over, finishes what is in
 * flight, then stops the loop.
 */
void
mg_entry_drain(mg_entry *e);

#endif
