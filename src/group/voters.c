#include "group/voters.h"

#include <string.h>

/* a candidate that was not heard for so long is none, ms */
#define CANDIDATE_MS 1500
/* a seat is vacated only while all others were heard within this, ms */
#define WELL_MS 500

unsigned
mg_voters_slot_of(const mg_voters *s, const char *node)
{
    for (unsigned i = 0; i < s->count; i++) {
        if (s->ip[i][0] != '\0' && strcmp(s->ip[i], node) == 0) {
            return i + 1;
        }
    }
    return 0;
}

static const mg_voter_candidate *
best_candidate(const mg_voters *s, const mg_voter_candidate *c, size_t n,
               int64_t now)
{
    const mg_voter_candidate *best = NULL;
    for (size_t i = 0; i < n; i++) {
        if (now - c[i].last_seen_ms > CANDIDATE_MS ||
            mg_voters_slot_of(s, c[i].ip) != 0) {
            continue;
        }
        if (best == NULL || strcmp(c[i].ip, best->ip) < 0) {
            best = &c[i];
        }
    }
    return best;
}

static mg_voters_change
make_plan(mg_voters_change_kind step, unsigned seat, const char *node)
{
    mg_voters_change p = {step, seat, ""};
    mg_str_copy(p.ip, sizeof(p.ip), mg_str_of(node));
    return p;
}

/* the seat of a dead holder when all others are well, else -1 */
static int
lone_dead(const mg_voters *s, const int64_t *age_ms)
{
    int dead = -1;
    for (unsigned i = 0; i < s->count; i++) {
        if (age_ms[i] > MG_VOTER_DEAD_MS && dead < 0) {
            dead = (int)i;
        }
        else if (age_ms[i] > WELL_MS) {
            return -1;
        }
    }
    return dead;
}

mg_voters_change
mg_voters_plan_change(const mg_voters *s, unsigned wanted,
                      const int64_t *age_ms, bool all_vote,
                      const mg_voter_candidate *c, size_t n, int64_t now)
{
    const mg_voter_candidate *new_one = best_candidate(s, c, n, now);
    if (new_one == NULL) {
        return make_plan(MG_VOTERS_KEEP, 0, "");
    }
    for (unsigned i = 0; i < s->count; i++) {
        if (s->ip[i][0] == '\0') {
            return make_plan(MG_VOTERS_ASSIGN, i, new_one->ip);
        }
    }
    int dead = lone_dead(s, age_ms);
    if (dead >= 0) {
        return make_plan(MG_VOTERS_REMOVE, (unsigned)dead, "");
    }
    if (s->count < wanted && s->count < MG_VOTERS_MAX && all_vote) {
        return make_plan(MG_VOTERS_ADD_SLOT, s->count, new_one->ip);
    }
    return make_plan(MG_VOTERS_KEEP, 0, "");
}

void
mg_voters_apply(mg_voters *s, const mg_voters_change *plan)
{
    if (plan->kind == MG_VOTERS_KEEP) {
        return;
    }
    if (plan->kind == MG_VOTERS_ADD_SLOT) {
        s->count++;
    }
    mg_str_copy(s->ip[plan->slot], MG_NAME_SIZE, mg_str_of(plan->ip));
}

void
mg_voters_print(const mg_voters *s, char out[MG_VOTERS_MAX * MG_NAME_SIZE])
{
    out[0] = '\0';
    for (unsigned i = 0; i < s->count; i++) {
        strcat(out, s->ip[i]);
        if (i + 1 < s->count) {
            strcat(out, ",");
        }
    }
}

mg_rc
mg_voters_parse(mg_voters *s, uint64_t rev, mg_str text)
{
    mg_voters t = {.rev = rev};
    size_t commas = 0;
    for (size_t i = 0; i < text.n; i++) {
        commas += text.p[i] == ',';
    }
    if (text.n == 0 || commas >= MG_VOTERS_MAX) {
        return MG_E_INPUT;
    }
    for (size_t i = 0; i <= commas; i++) {
        mg_str one = mg_str_split(text, ',', &text);
        if (one.n >= MG_NAME_SIZE) {
            return MG_E_INPUT;
        }
        mg_str_copy(t.ip[t.count++], MG_NAME_SIZE, one);
    }
    *s = t;
    return MG_OK;
}
