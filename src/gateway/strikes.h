/*
 * strikes - the crashes that requests are suspected of, as all entries know
 *
 * A suspect is identified by a key, see suspects.h. Each crash gives a key one
 * strike, whoever reports it and however often. Strikes are sent to the other
 * entries with the load reports. A report may be lost, so each strike stands
 * in several; an entry that starts is sent all strikes of refused keys.
 *
 * Does no I/O: its only inputs are calls and the clock.
 */
#ifndef MG_STRIKES_H
#define MG_STRIKES_H

#include "base/clock.h"
#include "policy/quarantine.h"
#include "wire/msg.h"

/* crashes after which a key is refused */
#define MG_STRIKES_MAX 3
/* reports that bear a strike, and the time between the first two of them, ms;
   it doubles with each one */
#define MG_STRIKE_COPIES 4
#define MG_STRIKE_GAP_MS 250
/* strikes that wait to be reported; beyond this, the first one is dropped */
#define MG_STRIKE_REPORTS_MAX 2048

typedef struct mg_strikes mg_strikes;

mg_strikes *
mg_strikes_new(mg_clock *clock);
void
mg_strikes_free(mg_strikes *s);
/* Adds a strike for a crash that this entry has seen; returns the key's
   strikes. crash: see mg_quarantine_crash(). */
unsigned
mg_strikes_add(mg_strikes *s, uint64_t key, uint64_t crash);
/* Adds a strike that another entry reports; returns the key's strikes. */
unsigned
mg_strikes_receive(mg_strikes *s, uint64_t key, uint64_t crash);
/* Whether requests with this key are refused. */
bool
mg_strikes_refuses(const mg_strikes *s, uint64_t key);
/* Whether no key has strikes. */
bool
mg_strikes_is_empty(const mg_strikes *s);
/* Another entry has started, so it knows no strikes. */
void
mg_strikes_entry_started(mg_strikes *s);
/* Appends what is due to be reported, as LOAD_STRIKE messages. */
void
mg_strikes_report(mg_strikes *s, mg_buf *loads);
/* Forgets expired strikes. */
void
mg_strikes_expire(mg_strikes *s);

#endif
