#include "base/clock.h"

#include <stdlib.h>
#include <time.h>

#include <openssl/rand.h>
#include <xxhash.h>

#include "base/outcome.h"

static int64_t
read_clock(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
system_mono(mg_clock *c)
{
    (void)c;
    return read_clock(CLOCK_BOOTTIME);
}

static int64_t
system_wall(mg_clock *c)
{
    (void)c;
    return read_clock(CLOCK_REALTIME);
}

mg_clock *
mg_system_clock(void)
{
    static mg_clock system_clock = {system_mono, system_wall};
    return &system_clock;
}

static int64_t
manual_mono(mg_clock *c)
{
    return ((mg_manual_clock *)c)->mono;
}

static int64_t
manual_wall(mg_clock *c)
{
    return ((mg_manual_clock *)c)->wall;
}

void
mg_manual_clock_init(mg_manual_clock *c)
{
    c->clock = (mg_clock){manual_mono, manual_wall};
    c->mono = 0;
    c->wall = 0;
}

void
mg_rng_init(mg_rng *r, uint64_t seed)
{
    /* hashed: erand48() yields similar first numbers for similar seeds */
    uint64_t mixed = XXH3_64bits(&seed, sizeof(seed));
    r->state[0] = (unsigned short)mixed;
    r->state[1] = (unsigned short)(mixed >> 16);
    r->state[2] = (unsigned short)(mixed >> 32);
}

double
mg_rng_unit(mg_rng *r)
{
    return erand48(r->state);
}

uint32_t
mg_rng_below(mg_rng *r, uint32_t n)
{
    return (uint32_t)(erand48(r->state) * n);
}

uint64_t
mg_random_id(void)
{
    uint64_t id = 0;
    MG_INVARIANT(RAND_bytes((unsigned char *)&id, sizeof(id)) == 1);
    /* below 2^63: JSON integers and some codecs are signed; never 0 */
    return (id >> 1) | 1;
}
