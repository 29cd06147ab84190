#include "gateway/pick.h"

/* of a target whose pace is 1 */
#define STEP_MS 20.0
#define READ_MS_PER_TOKEN 0.025
/* a prediction below this part of the goal is as good as any */
#define COMFORT 0.3
/* of a full target against an empty one, in parts of the goal */
#define OCCUPANCY_COST 0.3
/* of a target in another failure domain, in parts of the goal */
#define FAR_COST 0.02

double
mg_pick_nominal_ms(double prompt_tokens, double backlog)
{
    return STEP_MS + (prompt_tokens + backlog) * READ_MS_PER_TOKEN;
}

double
mg_pick_first_ms(const mg_pick_request *r, const mg_candidate *c)
{
    double unread = r->prompt_tokens * (1.0 - c->cached_fraction);
    return c->slowdown * mg_pick_nominal_ms(unread, c->backlog);
}

static bool
has_own_slot(const mg_pick_request *r, const mg_candidate *c)
{
    return r->may_use_allocated && c->local_running < c->allocated;
}

bool
mg_pick_has_room(const mg_pick_request *r, const mg_candidate *c)
{
    return has_own_slot(r, c) ||
           (c->borrowable > 0 && c->running + 1 <= (double)c->slots);
}

static double
cost_of(const mg_pick_request *r, const mg_candidate *c)
{
    double first = mg_pick_first_ms(r, c);
    double cost = r->goal_ms > 0 ? first / r->goal_ms : first / 1000.0;
    cost = cost > COMFORT ? cost : COMFORT;
    cost += OCCUPANCY_COST * c->running / (double)c->slots;
    return cost + (c->same_domain ? 0.0 : FAR_COST);
}

/* which candidates come into question */
struct choice {
    const mg_pick_request *r;
    const mg_candidate *c;
    size_t n;
    bool sound; /* some are not doubtful: the others are left out */
    bool own;   /* there are own slots: the lent ones are left out */
};

static bool
is_eligible(const struct choice *h, size_t i)
{
    const mg_candidate *c = &h->c[i];
    if (h->sound && c->unhealthy) {
        return false;
    }
    return h->own ? has_own_slot(h->r, c) : mg_pick_has_room(h->r, c);
}

static int
best_from(const struct choice *h, double tie)
{
    int best = -1;
    double best_cost = 0;
    size_t start = (size_t)(tie * (double)h->n);
    for (size_t k = 0; k < h->n; k++) {
        size_t i = (start + k) % h->n;
        if (!is_eligible(h, i)) {
            continue;
        }
        double cost = cost_of(h->r, &h->c[i]);
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}

/* the eligible one with that rank */
static int
nth_eligible(const struct choice *h, size_t rank)
{
    for (size_t i = 0; i < h->n; i++) {
        if (is_eligible(h, i) && rank-- == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* the better of two at random: of many entries that see the same, not all
   take the same target */
static int
better_of_two(const struct choice *h, double tie)
{
    size_t count = 0;
    for (size_t i = 0; i < h->n; i++) {
        count += is_eligible(h, i);
    }
    if (count == 0) {
        return -1;
    }
    double place = tie * (double)count;
    size_t first = (size_t)place;
    size_t step = (size_t)((place - (double)first) * (double)(count - 1));
    size_t second = count > 1 ? (first + 1 + step) % count : first;
    int a = nth_eligible(h, first);
    int b = nth_eligible(h, second);
    return cost_of(h->r, &h->c[a]) <= cost_of(h->r, &h->c[b]) ? a : b;
}

int
mg_pick(const mg_pick_request *r, const mg_candidate *c, size_t n, double tie)
{
    struct choice h = {r, c, n, false, false};
    for (size_t i = 0; i < n; i++) {
        h.sound = h.sound || !c[i].unhealthy;
    }
    for (size_t i = 0; i < n; i++) {
        h.own =
            h.own || (has_own_slot(r, &c[i]) && !(h.sound && c[i].unhealthy));
    }
    return h.own ? best_from(&h, tie) : better_of_two(&h, tie);
}
