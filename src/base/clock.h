/*
 * clock - time as an interface
 *
 * mono_ms never goes back and is compared only within one process; wall_ms
 * is milliseconds since 1970 UTC and may jump. Decisions read time through
 * an mg_clock so that tests set it.
 */
#ifndef MG_CLOCK_H
#define MG_CLOCK_H

#include <stdint.h>

typedef struct mg_clock mg_clock;
struct mg_clock {
    int64_t (*mono_ms)(mg_clock *c);
    int64_t (*wall_ms)(mg_clock *c);
};

/* A clock that stands still until its fields are changed. */
typedef struct mg_manual_clock {
    mg_clock clock;
    int64_t mono;
    int64_t wall;
} mg_manual_clock;

static inline int64_t
mg_now(mg_clock *c)
{
    return c->mono_ms(c);
}

static inline int64_t
mg_wall(mg_clock *c)
{
    return c->wall_ms(c);
}

/* The host's clock; shared, never freed. */
mg_clock *
mg_system_clock(void);
void
mg_manual_clock_init(mg_manual_clock *c);

/*
 * Random source: the 48-bit generator of the C library with its own state,
 * the same sequence for the same seed. Not for secrets.
 */
typedef struct mg_rng {
    unsigned short state[3];
} mg_rng;

void
mg_rng_init(mg_rng *r, uint64_t seed);
/* Uniform in [0, n); n > 0 and below 2^31. */
uint32_t
mg_rng_below(mg_rng *r, uint32_t n);
/* Uniform in [0, 1). */
double
mg_rng_unit(mg_rng *r);
/* 64 unpredictable bits from the system, for identities. */
uint64_t
mg_random_id(void);

#endif
