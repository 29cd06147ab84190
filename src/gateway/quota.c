#include "gateway/quota.h"

static void
refill(mg_quota *q, int64_t now)
{
    if (now > q->at_ms) {
        q->level += q->rate * (double)(now - q->at_ms) / 1000.0;
        q->at_ms = now;
    }
    if (q->level > q->burst) {
        q->level = q->burst;
    }
}

void
mg_quota_set(mg_quota *q, double rate, double burst, int64_t now)
{
    if (q->rate <= 0) {
        q->level = burst;
        q->at_ms = now;
    }
    refill(q, now);
    q->rate = rate;
    q->burst = burst;
    refill(q, now);
}

bool
mg_quota_take(mg_quota *q, double cost, int64_t now)
{
    if (q->rate > 0) {
        refill(q, now);
        if (q->level <= 0) {
            return false;
        }
        q->level -= cost;
    }
    q->used += (uint64_t)cost;
    return true;
}

void
mg_quota_drain(mg_quota *q, double cost, int64_t now)
{
    refill(q, now);
    q->level -= cost;
}

void
mg_quota_give_back(mg_quota *q, double cost)
{
    /* the total that others see only grows: give back by using less */
    q->level += cost;
    q->used -= q->used >= (uint64_t)cost ? (uint64_t)cost : q->used;
}

int64_t
mg_quota_wait_ms(mg_quota *q, int64_t now)
{
    refill(q, now);
    if (q->rate <= 0 || q->level > 0) {
        return 0;
    }
    return (int64_t)(-q->level * 1000.0 / q->rate) + 1;
}
