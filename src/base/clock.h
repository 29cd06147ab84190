/*
 * clock - replaceable clocks, and random numbers
 *
 * mono_ms is monotonic and comparable within one process only; wall_ms is
 * milliseconds since 1970 UTC and may jump. Scheduling code reads the time
 * through an mg_clock, so that tests can control it.
 */
#ifndef MG_CLOCK_H
#define MG_CLOCK_H

#include <stdint.h>

typedef struct mg_clock mg_clock;
struct mg_clock {
    int64_t (*mono_ms)(mg_clock *c);
    int64_t (*wall_ms)(mg_clock *c);
};

/* A clock for tests: returns the values of its fields. */
typedef struct mg_manual_clock {
    mg_clock clock;
    int64_t mono; /* ms */
    int64_t wall; /* ms since 1970 UTC */
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

/* The system's clock; static, never freed. */
mg_clock *
mg_system_clock(void);
/* Sets the monotonic time and the wall-clock time to 0. */
void
mg_manual_clock_init(mg_manual_clock *c);

/*
 * Pseudo-random generator: erand48() with its state in the struct. The same
 * seed gives the same sequence. Not for secrets.
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
/* Random identifier from OpenSSL's generator, in [1, 2^63); aborts when the
   generator fails. */
uint64_t
mg_random_id(void);

#endif
