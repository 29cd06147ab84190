#include "gateway/pick.h"

/* duration of the first decoding step, and of the prefill of one token, at a
   target whose slowdown is 1 */
#define STEP_MS 20.0
#define PREFILL_MS_PER_TOKEN 0.025
/* predicted times below this fraction of the goal have the same cost */
#define COST_MIN 0.3
/* additional cost of a full target compared with an empty one, as a fraction
   of the goal */
#define OCCUPANCY_COST 0.3
/* additional cost of a target in another failure domain, as a fraction of the
   goal */
#define OTHER_DOMAIN_COST 0.02

double
mg_pick_nominal_ms(double prompt_tokens, double backlog)
{
    return STEP_MS + (prompt_tokens + backlog) * PREFILL_MS_PER_TOKEN;
}

double
mg_pick_first_ms(const mg_pick_request *r, const mg_candidate *c)
{
    double uncached = r->prompt_tokens * (1.0 - c->cached_fraction);
    return c->slowdown * mg_pick_nominal_ms(uncached, c->backlog);
}

static bool
has_allocated_slot(const mg_pick_request *r, const mg_candidate *c)
{
    return r->may_use_allocated && !c->held_back &&
           c->local_running < c->allocated;
}

bool
mg_pick_has_room(const mg_pick_request *r, const mg_candidate *c)
{
    return has_allocated_slot(r, c) || (c->borrowable > 0 && !c->held_back &&
                                        c->running + 1 <= (double)c->slots);
}

static double
cost_of(const mg_pick_request *r, const mg_candidate *c)
{
    double first = mg_pick_first_ms(r, c);
    double cost = r->goal_ms > 0 ? first / r->goal_ms : first / 1000.0;
    cost = cost > COST_MIN ? cost : COST_MIN;
    cost += OCCUPANCY_COST * c->running / (double)c->slots;
    return cost + (c->same_domain ? 0.0 : OTHER_DOMAIN_COST);
}

/* the candidates, and which of them are eligible */
struct choice {
    const mg_pick_request *r;
    const mg_candidate *c;
    size_t n;
    bool healthy_only;   /* some are healthy: skip unhealthy ones */
    bool allocated_only; /* allocated slots are free: don't borrow */
};

static bool
is_eligible(const struct choice *ch, size_t i)
{
    const mg_candidate *c = &ch->c[i];
    if (ch->healthy_only && c->unhealthy) {
        return false;
    }
    return ch->allocated_only ? has_allocated_slot(ch->r, c)
                              : mg_pick_has_room(ch->r, c);
}

static int
best_eligible(const struct choice *ch, double tie)
{
    int best = -1;
    double best_cost = 0;
    size_t start = (size_t)(tie * (double)ch->n);
    for (size_t k = 0; k < ch->n; k++) {
        size_t i = (start + k) % ch->n;
        if (!is_eligible(ch, i)) {
            continue;
        }
        double cost = cost_of(ch->r, &ch->c[i]);
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}

/* index of the eligible candidate with that rank (0-based) */
static int
nth_eligible(const struct choice *ch, size_t rank)
{
    for (size_t i = 0; i < ch->n; i++) {
        if (is_eligible(ch, i) && rank-- == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* the better of two random candidates, so that entries with the same reports
   do not all choose the same target */
static int
better_of_two(const struct choice *ch, double tie)
{
    size_t count = 0;
    for (size_t i = 0; i < ch->n; i++) {
        count += is_eligible(ch, i);
    }
    if (count == 0) {
        return -1;
    }
    double place = tie * (double)count;
    size_t first = (size_t)place;
    size_t step = (size_t)((place - (double)first) * (double)(count - 1));
    size_t second = count > 1 ? (first + 1 + step) % count : first;
    int a = nth_eligible(ch, first);
    int b = nth_eligible(ch, second);
    return cost_of(ch->r, &ch->c[a]) <= cost_of(ch->r, &ch->c[b]) ? a : b;
}

int
mg_pick(const mg_pick_request *r, const mg_candidate *c, size_t n, double tie)
{
    struct choice ch = {r, c, n, false, false};
    for (size_t i = 0; i < n; i++) {
        ch.healthy_only = ch.healthy_only || !c[i].unhealthy;
    }
    for (size_t i = 0; i < n; i++) {
        ch.allocated_only =
            ch.allocated_only || (has_allocated_slot(r, &c[i]) &&
                                  !(ch.healthy_only && c[i].unhealthy));
    }
    return ch.allocated_only ? best_eligible(&ch, tie)
                             : better_of_two(&ch, tie);
}
