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
mg_pick_work_ms(double prompt_tokens, double backlog)
{
    return STEP_MS + (prompt_tokens + backlog) * READ_MS_PER_TOKEN;
}

double
mg_pick_first_ms(const mg_pick_request *r, const mg_candidate *c)
{
    double unread = r->prompt_tokens * (1.0 - c->warm);
    return c->pace * mg_pick_work_ms(unread, c->backlog);
}

static bool
has_own_slot(const mg_pick_request *r, const mg_candidate *c)
{
    return r->may_fill && c->own < c->share;
}

bool
mg_pick_has_room(const mg_pick_request *r, const mg_candidate *c)
{
    return has_own_slot(r, c) ||
           (c->loans > 0 && c->running + 1 <= (double)c->slots);
}

static double
cost_of(const mg_pick_request *r, const mg_candidate *c)
{
    double first = mg_pick_first_ms(r, c);
    double cost = r->goal_ms > 0 ? first / r->goal_ms : first / 1000.0;
    cost = cost > COMFORT ? cost : COMFORT;
    cost += OCCUPANCY_COST * c->running / (double)c->slots;
    return cost + (c->near ? 0.0 : FAR_COST);
}

int
mg_pick(const mg_pick_request *r, const mg_candidate *c, size_t n, double tie)
{
    int best = -1;
    double best_cost = 0;
    bool sound = false;
    bool own = false;
    for (size_t i = 0; i < n; i++) {
        sound = sound || !c[i].doubtful;
    }
    for (size_t i = 0; i < n; i++) {
        own = own || (has_own_slot(r, &c[i]) && !(sound && c[i].doubtful));
    }
    size_t start = (size_t)(tie * (double)n);
    for (size_t k = 0; k < n; k++) {
        size_t i = (start + k) % n;
        if (own ? !has_own_slot(r, &c[i]) : !mg_pick_has_room(r, &c[i])) {
            continue;
        }
        if (sound && c[i].doubtful) {
            continue;
        }
        double cost = cost_of(r, &c[i]);
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}
