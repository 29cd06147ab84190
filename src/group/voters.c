#include "group/voters.h"

#include <string.h>

/* a candidate silent for longer than this is ignored, ms */
#define CANDIDATE_TIMEOUT_MS 1500
/* a voter is removed only if all others were seen within this time, ms */
#define HEALTHY_MS 500

unsigned
mg_voters_slot_of(const mg_voters *v, const char *ip)
{
    for (unsigned i = 0; i < v->count; i++) {
        if (v->ip[i][0] != '\0' && strcmp(v->ip[i], ip) == 0) {
            return i + 1;
        }
    }
    return 0;
}

static const mg_voter_candidate *
best_candidate(const mg_voters *v, const mg_voter_candidate *c, size_t n,
               int64_t now)
{
    const mg_voter_candidate *best = NULL;
    for (size_t i = 0; i < n; i++) {
        if (now - c[i].last_seen_ms > CANDIDATE_TIMEOUT_MS ||
            mg_voters_slot_of(v, c[i].ip) != 0) {
            continue;
        }
        if (best == NULL || strcmp(c[i].ip, best->ip) < 0) {
            best = &c[i];
        }
    }
    return best;
}

static mg_voters_change
make_change(mg_voters_change_kind kind, unsigned slot, const char *ip)
{
    mg_voters_change c = {kind, slot, ""};
    mg_str_copy(c.ip, sizeof(c.ip), mg_str_of(ip));
    return c;
}

/* Returns the slot of the only dead voter if all others are healthy, or -1. */
static int
find_single_dead(const mg_voters *v, const int64_t *age_ms)
{
    int dead = -1;
    for (unsigned i = 0; i < v->count; i++) {
        if (age_ms[i] > MG_VOTER_DEAD_MS && dead < 0) {
            dead = (int)i;
        }
        else if (age_ms[i] > HEALTHY_MS) {
            return -1;
        }
    }
    return dead;
}

mg_voters_change
mg_voters_plan_change(const mg_voters *v, unsigned wanted,
                      const int64_t *age_ms, bool all_vote,
                      const mg_voter_candidate *c, size_t n, int64_t now)
{
    const mg_voter_candidate *candidate = best_candidate(v, c, n, now);
    if (candidate == NULL) {
        return make_change(MG_VOTERS_KEEP, 0, "");
    }
    for (unsigned i = 0; i < v->count; i++) {
        if (v->ip[i][0] == '\0') {
            return make_change(MG_VOTERS_ASSIGN, i, candidate->ip);
        }
    }
    int dead = find_single_dead(v, age_ms);
    if (dead >= 0) {
        return make_change(MG_VOTERS_REMOVE, (unsigned)dead, "");
    }
    if (v->count < wanted && v->count < MG_VOTERS_MAX && all_vote) {
        return make_change(MG_VOTERS_ADD_SLOT, v->count, candidate->ip);
    }
    return make_change(MG_VOTERS_KEEP, 0, "");
}

void
mg_voters_apply(mg_voters *v, const mg_voters_change *change)
{
    if (change->kind == MG_VOTERS_KEEP) {
        return;
    }
    if (change->kind == MG_VOTERS_ADD_SLOT) {
        v->count++;
    }
    mg_str_copy(v->ip[change->slot], MG_NAME_SIZE, mg_str_of(change->ip));
}

void
mg_voters_print(const mg_voters *v, char out[MG_VOTERS_MAX * MG_NAME_SIZE])
{
    out[0] = '\0';
    for (unsigned i = 0; i < v->count; i++) {
        strcat(out, v->ip[i]);
        if (i + 1 < v->count) {
            strcat(out, ",");
        }
    }
}

mg_rc
mg_voters_parse(mg_voters *v, uint64_t rev, mg_str text)
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
        mg_str field = mg_str_split(text, ',', &text);
        if (field.n >= MG_NAME_SIZE) {
            return MG_E_INPUT;
        }
        mg_str_copy(t.ip[t.count++], MG_NAME_SIZE, field);
    }
    *v = t;
    return MG_OK;
}
