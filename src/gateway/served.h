/*
 * served - the keys of requests and parts of prompts that were served lately
 *
 * A table of fixed size: a key is kept until its set of MG_SERVED_WAYS keys
 * is full of keys that were served later. Keys: see strikes.h.
 */
#ifndef MG_SERVED_H
#define MG_SERVED_H

#include "base/outcome.h"

/* keys of one set; sets. 128 KiB in all */
#define MG_SERVED_WAYS 4
#define MG_SERVED_SETS 2048

typedef struct mg_served mg_served;

mg_served *
mg_served_new(void);
void
mg_served_free(mg_served *s);
/* Notes that the key was served at this time, if that is the last time. */
void
mg_served_note(mg_served *s, uint64_t key, int64_t at_ms);
/* Returns when the key was served last; INT64_MIN: not as far as is known. */
int64_t
mg_served_at(const mg_served *s, uint64_t key);

#endif
