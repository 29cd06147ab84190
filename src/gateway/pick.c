#include "gateway/pick.h"

/* what a target in another failure domain costs, in parts of a request */
#define FAR_COST 0.03
/* part of a request's time that goes into reading its prompt */
#define READ_PART 0.3

static double
cost_of(const mg_candidate *c)
{
    double load = (c->running + 1.0) / (double)c->slots;
    double work = 1.0 - READ_PART * c->warm;
    return c->pace * (work + load) + (c->near ? 0.0 : FAR_COST);
}

int
mg_pick(const mg_candidate *c, size_t n, double tie)
{
    int best = -1;
    double best_cost = 0;
    bool sound = false;
    for (size_t i = 0; i < n; i++) {
        sound = sound || !c[i].doubtful;
    }
    size_t start = (size_t)(tie * (double)n);
    for (size_t k = 0; k < n; k++) {
        size_t i = (start + k) % n;
        if (c[i].running >= c[i].slots || (sound && c[i].doubtful)) {
            continue;
        }
        double cost = cost_of(&c[i]);
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}
