/*
 * entry - the front-end process of an entry host, between clients and targets
 *
 * An entry admits requests while it holds a serving lease, or while a
 * majority of the entries report that they hold none (then no change of the
 * document can have been accepted). It runs the schedulers of the pools that
 * the control group has assigned to it.
 */
#ifndef MG_ENTRY_H
#define MG_ENTRY_H

#include <uv.h>

#include "topology/settings.h"

typedef struct mg_entry mg_entry;

/* Opens the entry's ports and starts it on the loop; copies settings. */
mg_rc
mg_entry_open(mg_entry **out, uv_loop_t *loop, const mg_settings *settings,
              mg_error *err);
/*
 * Graceful shutdown: the entry removes itself from the list of entry
 * addresses, serves until the lists that clients have cached expire, hands
 * its schedulers over, finishes the open requests, then stops the loop.
 */
void
mg_entry_drain(mg_entry *e);

#endif
