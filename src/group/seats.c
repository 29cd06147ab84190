#include "group/seats.h"

#include <string.h>

/* a candidate that was not heard for so long is none, ms */
#define CANDIDATE_MS 1500
/* a seat is vacated only while all others were heard within this, ms */
#define WELL_MS 500

unsigned
mg_seats_of(const mg_seats *s, const char *node)
{
    for (unsigned i = 0; i < s->count; i++) {
        if (s->holder[i][0] != '\0' && strcmp(s->holder[i], node) == 0) {
            return i + 1;
        }
    }
    return 0;
}

static const mg_seat_candidate *
best_candidate(const mg_seats *s, const mg_seat_candidate *c, size_t n,
               int64_t now)
{
    const mg_seat_candidate *best = NULL;
    for (size_t i = 0; i < n; i++) {
        if (now - c[i].heard_ms > CANDIDATE_MS ||
            mg_seats_of(s, c[i].node) != 0) {
            continue;
        }
        if (best == NULL || strcmp(c[i].node, best->node) < 0) {
            best = &c[i];
        }
    }
    return best;
}

static mg_seat_plan
make_plan(mg_seat_step step, unsigned seat, const char *node)
{
    mg_seat_plan p = {step, seat, ""};
    mg_str_copy(p.node, sizeof(p.node), mg_str_of(node));
    return p;
}

/* the seat of a dead holder when all others are well, else -1 */
static int
lone_dead(const mg_seats *s, const int64_t *age_ms)
{
    int dead = -1;
    for (unsigned i = 0; i < s->count; i++) {
        if (age_ms[i] > MG_SEAT_DEAD_MS && dead < 0) {
            dead = (int)i;
        }
        else if (age_ms[i] > WELL_MS) {
            return -1;
        }
    }
    return dead;
}

mg_seat_plan
mg_seats_plan(const mg_seats *s, unsigned wanted, const int64_t *age_ms,
              bool all_vote, const mg_seat_candidate *c, size_t n, int64_t now)
{
    const mg_seat_candidate *new_one = best_candidate(s, c, n, now);
    if (new_one == NULL) {
        return make_plan(MG_SEAT_KEEP, 0, "");
    }
    for (unsigned i = 0; i < s->count; i++) {
        if (s->holder[i][0] == '\0') {
            return make_plan(MG_SEAT_GIVE, i, new_one->node);
        }
    }
    int dead = lone_dead(s, age_ms);
    if (dead >= 0) {
        return make_plan(MG_SEAT_VACATE, (unsigned)dead, "");
    }
    if (s->count < wanted && s->count < MG_SEATS_MAX && all_vote) {
        return make_plan(MG_SEAT_ADD, s->count, new_one->node);
    }
    return make_plan(MG_SEAT_KEEP, 0, "");
}

void
mg_seats_apply(mg_seats *s, const mg_seat_plan *plan)
{
    if (plan->step == MG_SEAT_KEEP) {
        return;
    }
    if (plan->step == MG_SEAT_ADD) {
        s->count++;
    }
    mg_str_copy(s->holder[plan->seat], MG_NAME_SIZE, mg_str_of(plan->node));
}

void
mg_seats_print(const mg_seats *s, char out[MG_SEATS_MAX * MG_NAME_SIZE])
{
    out[0] = '\0';
    for (unsigned i = 0; i < s->count; i++) {
        strcat(out, s->holder[i]);
        if (i + 1 < s->count) {
            strcat(out, ",");
        }
    }
}

mg_rc
mg_seats_parse(mg_seats *s, uint64_t rev, mg_str text)
{
    mg_seats t = {.rev = rev};
    size_t commas = 0;
    for (size_t i = 0; i < text.n; i++) {
        commas += text.p[i] == ',';
    }
    if (text.n == 0 || commas >= MG_SEATS_MAX) {
        return MG_E_INPUT;
    }
    for (size_t i = 0; i <= commas; i++) {
        mg_str one = mg_str_split(text, ',', &text);
        if (one.n >= MG_NAME_SIZE) {
            return MG_E_INPUT;
        }
        mg_str_copy(t.holder[t.count++], MG_NAME_SIZE, one);
    }
    *s = t;
    return MG_OK;
}
