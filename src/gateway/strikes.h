/*
 * strikes - the crashes that requests are suspected of, as all entries know
 *
 * A suspect is a request or a part of its prompt, identified by a key, see
 * suspects.h; the lowest bit of a key tells which (MG_STRIKES_PART). Each
 * crash gives a key one strike, whoever reports it and however often. What is
 * served has not crashed its target: that takes the key's earlier strikes
 * back. A key that was served before its crashes is no likely cause: more of
 * them are needed, and of a request they must not all be at one moment.
 *
 * A target that crashes gives strikes to all that it ran and to all parts of
 * their prompts. Which parts are refused, alone or only together, is in
 * blame.h; when a refused request is let through nevertheless, in trial.h.
 *
 * Strikes, and whether a key with strikes was served, are sent to the other
 * entries with the load reports. A report may be lost, so each one stands in
 * several; an entry that starts is sent all strikes of refused keys.
 *
 * Does no I/O: its only inputs are calls and the clock.
 */
#ifndef MG_STRIKES_H
#define MG_STRIKES_H

#include "base/clock.h"
#include "policy/quarantine.h"
#include "wire/msg.h"

/* set in the key of a part, not in that of a request */
#define MG_STRIKES_PART UINT64_C(1)
/* crashes after which a key is refused that was never served, and one that
   was served before them */
#define MG_STRIKES_MAX 3
#define MG_STRIKES_SERVED_MAX 5
/* a part, or a request that was served before, is refused after as many
   crashes, which are this far apart: targets that crash at one moment have
   another cause, and all that they ran would be refused */
#define MG_STRIKES_SPAN_MS 500
/* reports that bear a strike, and the time between the first two of them, ms;
   it doubles with each one */
#define MG_STRIKE_COPIES 4
#define MG_STRIKE_GAP_MS 250
/* parts with enough strikes that are looked at.
   XXX: further ones are not refused. */
#define MG_STRIKES_PARTS_MAX 256
/* strikes that wait to be reported; beyond this, the first one is dropped */
#define MG_STRIKE_REPORTS_MAX 2048

typedef struct mg_strikes mg_strikes;

mg_strikes *
mg_strikes_new(mg_clock *clock);
void
mg_strikes_free(mg_strikes *s);
/* Adds a strike for a crash that this entry has seen now; returns the key's
   strikes. position: of the part in the prompt. crash: see
   mg_quarantine_crash(). run: key of the request that the target ran. */
unsigned
mg_strikes_add(mg_strikes *s, uint64_t key, unsigned position, uint64_t crash,
               uint64_t run);
/* Adds a strike that another entry reports; returns the key's strikes. */
unsigned
mg_strikes_receive(mg_strikes *s, const mg_load_strike_msg *m);
/* Adds what another entry knows of a key with strikes. */
void
mg_strikes_receive_details(mg_strikes *s, const mg_load_suspect_msg *m);
/* A request that has this key, or a part with it, has been served now: takes
   back its strikes, here and at the other entries. To be called for keys
   without strikes, too. */
void
mg_strikes_served(mg_strikes *s, uint64_t key);
/* The same, as another entry reports it. */
void
mg_strikes_receive_served(mg_strikes *s, const mg_load_served_msg *m);
/* Whether the key is known to have been served, at any entry. */
bool
mg_strikes_was_served(const mg_strikes *s, uint64_t key);
/* Finds why a request is refused that has these keys, its own one among them
   or not. Sets cause, which has room for n, to the indexes of the keys at
   fault and returns their number; 0: it is not refused. */
size_t
mg_strikes_find_cause(mg_strikes *s, const uint64_t *keys, size_t n,
                      size_t *cause);
/* Whether the request, or all requests with the part, are refused. */
bool
mg_strikes_refuses(mg_strikes *s, uint64_t key);
/* The number of keys for which requests are refused that have all of them,
   this key among them; 1: the key alone, 0: none. */
size_t
mg_strikes_blames(mg_strikes *s, uint64_t key);
/* Sets the entries that take turns in trials, see trial.h: entry self of n. */
void
mg_strikes_set_entries(mg_strikes *s, size_t self, size_t n);
/* Whether a request with these keys, which is refused, may run as a trial here
   and now. */
bool
mg_strikes_may_try(mg_strikes *s, const uint64_t *keys, size_t n);
/* Such a request is sent to a target now; reports that to the other entries.
 */
void
mg_strikes_tried(mg_strikes *s, const uint64_t *keys, size_t n);
/* Whether no key has strikes. */
bool
mg_strikes_is_empty(const mg_strikes *s);
/* Another entry has started, so it knows no strikes. */
void
mg_strikes_entry_started(mg_strikes *s);
/* Appends what is due to be reported: LOAD_STRIKE, LOAD_SUSPECT and
   LOAD_SERVED messages. */
void
mg_strikes_report(mg_strikes *s, mg_buf *loads);
/* Forgets expired strikes. */
void
mg_strikes_expire(mg_strikes *s);

#endif
