#include "gateway/served.h"

#include <stdlib.h>

#include "base/bytes.h"

typedef struct served_key {
    uint64_t key; /* 0: none */
    int64_t at_ms;
} served_key;

struct mg_served {
    served_key sets[MG_SERVED_SETS][MG_SERVED_WAYS];
};

mg_served *
mg_served_new(void)
{
    return mg_alloc(sizeof(mg_served));
}

void
mg_served_free(mg_served *s)
{
    free(s);
}

/* keys are hashes, but for their lowest bit */
static size_t
set_of(uint64_t key)
{
    return (size_t)(key >> 1) % MG_SERVED_SETS;
}

void
mg_served_note(mg_served *s, uint64_t key, int64_t at_ms)
{
    served_key *set = s->sets[set_of(key)];
    served_key *place = &set[0];
    for (size_t i = 0; i < MG_SERVED_WAYS; i++) {
        if (set[i].key == key) {
            set[i].at_ms = at_ms > set[i].at_ms ? at_ms : set[i].at_ms;
            return;
        }
        if (place->key != 0 &&
            (set[i].key == 0 || set[i].at_ms < place->at_ms)) {
            place = &set[i];
        }
    }
    if (place->key == 0 || place->at_ms < at_ms) {
        *place = (served_key){key, at_ms};
    }
}

int64_t
mg_served_at(const mg_served *s, uint64_t key)
{
    const served_key *set = s->sets[set_of(key)];
    for (size_t i = 0; i < MG_SERVED_WAYS; i++) {
        if (set[i].key == key) {
            return set[i].at_ms;
        }
    }
    return INT64_MIN;
}
