#include "group/voters.h"

#include <string.h>

/* a candidate silent for longer than this is ignored, ms */
#define CANDIDATE_TIMEOUT_MS 1500
/* a voter is removed only if all others were seen within this time, ms */
#define HEALTHY_MS 500
/* all others are seen so lately if the network is well; two heartbeats, ms */
#define PROMPT_MS 250
/* a learner silent for longer than this is replaced by another, ms */
#define LEARNER_LOST_MS 2000
/* up to this number a removed voter is replaced, even if fewer are wanted */
#define REPLACED_UP_TO 3
/* voters without a disk are removed without a replacement once so many others
   have one */
#define ON_DISK_MIN 2

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

unsigned
mg_voters_member_slot(const mg_voters *v, const char *ip)
{
    unsigned slot = mg_voters_slot_of(v, ip);
    return slot != 0 ? slot : v->learner_slot;
}

static bool
is_assigned(const mg_voters *v, unsigned slot)
{
    return v->ip[slot][0] != '\0';
}

static unsigned
count_assigned(const mg_voters *v)
{
    unsigned n = 0;
    for (unsigned i = 0; i < v->count; i++) {
        n += is_assigned(v, i);
    }
    return n;
}

/* Returns a vacant slot, or -1. */
static int
find_vacant(const mg_voters *v)
{
    for (unsigned i = 0; i < v->count; i++) {
        if (!is_assigned(v, i)) {
            return (int)i;
        }
    }
    return -1;
}

/* XXX: a group of one voter never grows: the second one would have to have
   the log before it is readmitted, and is needed for that. */
static bool
may_grow(const mg_voters *v)
{
    return count_assigned(v) > 1;
}

/* Whether a host may get a slot: hosts without a disk only while none has one.
 */
static bool
is_eligible(const mg_voters *v, const mg_voters_view *view,
            const mg_voter_candidate *c)
{
    return view->now_ms - c->last_seen_ms <= CANDIDATE_TIMEOUT_MS &&
           (c->has_disk || !view->disks_exist) && !c->leaving &&
           mg_voters_slot_of(v, c->ip) == 0;
}

/* A host that can learn comes before one that can't. */
static bool
is_better(const mg_voter_candidate *a, const mg_voter_candidate *b)
{
    return a->learns != b->learns ? a->learns : strcmp(a->ip, b->ip) < 0;
}

static const mg_voter_candidate *
best_candidate(const mg_voters *v, const mg_voters_view *view)
{
    const mg_voter_candidate *best = NULL;
    for (size_t i = 0; i < view->candidate_count; i++) {
        const mg_voter_candidate *c = &view->candidates[i];
        if (is_eligible(v, view, c) && (best == NULL || is_better(c, best))) {
            best = c;
        }
    }
    return best;
}

static mg_voters_change
make_change(mg_voters_change_kind kind, unsigned slot, const char *ip)
{
    mg_voters_change c = {kind, slot, "", 0};
    mg_str_copy(c.ip, sizeof(c.ip), mg_str_of(ip));
    return c;
}

/* how long a voter may be silent before it counts as dead, ms */
static int64_t
silence_limit_ms(const mg_voters_view *view, unsigned slot)
{
    if (view->leaving[slot]) {
        return HEALTHY_MS;
    }
    bool ready = view->learner.slot != 0 && view->learner_votes &&
                 view->learner_age_ms <= PROMPT_MS;
    return ready ? MG_VOTER_SILENT_MS : MG_VOTER_DEAD_MS;
}

static bool
is_dead(const mg_voters_view *view, unsigned slot)
{
    return view->age_ms[slot] > silence_limit_ms(view, slot);
}

/* Returns the slot of a dead voter, or -1. The others must be healthy or dead
   too, and the healthy ones a majority, so that they can commit a change. If
   it is silent for a short time only, it must be for no fault of the network.
 */
static int
find_dead(const mg_voters *v, const mg_voters_view *view)
{
    int dead = -1;
    for (unsigned i = 0; i < v->count; i++) {
        if (is_assigned(v, i) && is_dead(view, i) &&
            (dead < 0 || view->age_ms[i] > view->age_ms[dead])) {
            dead = (int)i;
        }
    }
    if (dead < 0) {
        return -1;
    }
    bool is_long = view->age_ms[dead] > MG_VOTER_DEAD_MS;
    int64_t healthy_ms = is_long ? HEALTHY_MS : PROMPT_MS;
    unsigned healthy = 0;
    for (unsigned i = 0; i < v->count; i++) {
        if (!is_assigned(v, i) || is_dead(view, i)) {
            continue;
        }
        if (view->age_ms[i] > healthy_ms) {
            return -1;
        }
        healthy++;
    }
    return 2 * healthy > count_assigned(v) ? dead : -1;
}

static bool
all_healthy(const mg_voters *v, const int64_t *age_ms)
{
    for (unsigned i = 0; i < v->count; i++) {
        if (is_assigned(v, i) && age_ms[i] > HEALTHY_MS) {
            return false;
        }
    }
    return true;
}

/* Returns the slot of a voter that is marked, the leader's own only if there
   is no other, or -1. */
static int
find_marked(const mg_voters *v, const mg_voters_view *view, const bool *marked)
{
    int found = -1;
    for (unsigned i = 0; i < v->count; i++) {
        if (is_assigned(v, i) && marked[i] &&
            (found < 0 || i + 1 != view->own_slot)) {
            found = (int)i;
        }
    }
    return found;
}

static int
find_in_memory(const mg_voters *v, const mg_voters_view *view)
{
    return find_marked(v, view, view->in_memory);
}

static unsigned
count_on_disk(const mg_voters *v, const mg_voters_view *view)
{
    unsigned n = 0;
    for (unsigned i = 0; i < v->count; i++) {
        n += is_assigned(v, i) && !view->in_memory[i];
    }
    return n;
}

/* Returns the slot of a voter that is to go: a dead one, one that leaves, or
   one without a disk; or -1. */
static int
find_outgoing(const mg_voters *v, const mg_voters_view *view)
{
    int dead = find_dead(v, view);
    if (dead >= 0 || !all_healthy(v, view->age_ms)) {
        return dead;
    }
    int leaving = find_marked(v, view, view->leaving);
    if (leaving >= 0 || !view->disks_exist || !view->all_vote) {
        return leaving;
    }
    return find_in_memory(v, view);
}

/* Whether one voter fewer can be spared: of an even number as many disks may
   be lost as of the next lower one. */
static bool
is_one_spare(const mg_voters *v)
{
    unsigned n = count_assigned(v);
    return n > 2 && n % 2 == 0;
}

static unsigned
count_wanted(const mg_voters_view *view)
{
    return view->wanted > REPLACED_UP_TO ? view->wanted : REPLACED_UP_TO;
}

static bool
lacks_voters(const mg_voters *v, const mg_voters_view *view)
{
    if (find_vacant(v) >= 0) {
        return count_assigned(v) < count_wanted(view);
    }
    /* voters without a disk are replaced first */
    return v->count < view->wanted && view->all_vote &&
           (!view->disks_exist || find_in_memory(v, view) < 0);
}

static bool
needs_successor(const mg_voters *v, const mg_voters_view *view)
{
    return lacks_voters(v, view) || find_outgoing(v, view) >= 0;
}

/* Assigns a vacant slot, or a further one, to the learner. */
static mg_voters_change
promote(const mg_voters *v, const mg_voters_view *view)
{
    unsigned slot = view->learner.slot - 1;
    mg_voters_change c =
        make_change(slot < v->count ? MG_VOTERS_ASSIGN : MG_VOTERS_ADD_SLOT,
                    slot, view->learner.ip);
    c.outgoing = (unsigned)(find_outgoing(v, view) + 1);
    return c;
}

/* The successor has come: the voter goes. If only the successor has died by
   now, it goes instead. */
static mg_voters_change
plan_swap(const mg_voters *v, const mg_voters_view *view)
{
    bool died = view->age_ms[v->incoming - 1] > MG_VOTER_DEAD_MS &&
                view->age_ms[v->outgoing - 1] <= HEALTHY_MS;
    unsigned slot = died ? v->incoming : v->outgoing;
    return make_change(MG_VOTERS_REMOVE, slot - 1, "");
}

/* Whether the learner can't take a slot any more. */
static bool
is_learner_lost(const mg_voters_view *view)
{
    return view->learner_age_ms > LEARNER_LOST_MS || view->learner_leaving ||
           (view->learner_in_memory && view->disks_exist);
}

/* The learner gets its slot once it votes and a voter is to be replaced, if
   the others can commit this. */
static mg_voters_change
plan_learner(const mg_voters *v, const mg_voters_view *view)
{
    bool healthy = all_healthy(v, view->age_ms);
    if (is_learner_lost(view)) {
        return make_change(MG_VOTERS_FORGET, 0, "");
    }
    if (needs_successor(v, view) && view->learner_votes &&
        view->learner_age_ms <= HEALTHY_MS &&
        (healthy || find_dead(v, view) >= 0)) {
        return promote(v, view);
    }
    return make_change(MG_VOTERS_KEEP, 0, "");
}

/* The order of earlier builds, for a candidate that can't learn, or if all
   slots are assigned: the voter goes before its successor comes. */
static mg_voters_change
plan_without_learner(const mg_voters *v, const mg_voters_view *view,
                     const mg_voter_candidate *candidate)
{
    int outgoing = find_outgoing(v, view);
    int vacant = find_vacant(v);
    if (vacant >= 0 && count_assigned(v) < count_wanted(view)) {
        return make_change(MG_VOTERS_ASSIGN, (unsigned)vacant, candidate->ip);
    }
    if (outgoing >= 0) {
        return make_change(MG_VOTERS_REMOVE, (unsigned)outgoing, "");
    }
    return make_change(MG_VOTERS_ADD_SLOT, v->count, candidate->ip);
}

/* Whether an outgoing voter goes now: its successor has come, or it has no
   disk, there is no successor, and enough voters have one. */
static bool
may_remove(const mg_voters *v, const mg_voters_view *view, unsigned slot,
           const mg_voter_candidate *candidate)
{
    return is_one_spare(v) ||
           (view->in_memory[slot] && view->age_ms[slot] <= HEALTHY_MS &&
            candidate == NULL && count_on_disk(v, view) >= ON_DISK_MIN);
}

mg_voters_change
mg_voters_plan_change(const mg_voters *v, const mg_voters_view *view)
{
    const mg_voter_candidate *candidate = best_candidate(v, view);
    int outgoing = find_outgoing(v, view);
    int vacant = find_vacant(v);
    unsigned slot = vacant >= 0 ? (unsigned)vacant : v->count;
    if (!may_grow(v)) {
        return make_change(MG_VOTERS_KEEP, 0, "");
    }
    if (v->outgoing != 0) {
        return plan_swap(v, view);
    }
    if (view->learner.slot != 0) {
        return plan_learner(v, view);
    }
    if (outgoing >= 0 && may_remove(v, view, (unsigned)outgoing, candidate)) {
        return make_change(MG_VOTERS_REMOVE, (unsigned)outgoing, "");
    }
    if (candidate == NULL) {
        return make_change(MG_VOTERS_KEEP, 0, "");
    }
    if (candidate->learns && slot < MG_VOTERS_MAX) {
        return make_change(MG_VOTERS_LEARN, slot, candidate->ip);
    }
    return needs_successor(v, view) ? plan_without_learner(v, view, candidate)
                                    : make_change(MG_VOTERS_KEEP, 0, "");
}

bool
mg_voters_lack_disks(const mg_voters *v, const mg_voters_view *view)
{
    return view->disks_exist && find_in_memory(v, view) >= 0 &&
           (best_candidate(v, view) != NULL ||
            count_on_disk(v, view) >= ON_DISK_MIN);
}

void
mg_voters_note_candidate(mg_voter_candidate *c, size_t *count, size_t max,
                         const char *ip, int64_t now_ms)
{
    size_t at = 0;
    for (size_t i = 0; i < *count; i++) {
        if (strcmp(c[i].ip, ip) == 0) {
            c[i].last_seen_ms = now_ms;
            return;
        }
        at = c[i].last_seen_ms < c[at].last_seen_ms ? i : at;
    }
    if (*count < max) {
        at = (*count)++;
    }
    c[at] = (mg_voter_candidate){.last_seen_ms = now_ms};
    mg_str_copy(c[at].ip, sizeof(c[at].ip), mg_str_of(ip));
}

bool
mg_voters_are_agreed(const mg_voters *v, bool has_vote)
{
    return v->rev > 0 || has_vote;
}

bool
mg_voters_keep_vote(const mg_voters *stored, const mg_voters *now,
                    const char *ip)
{
    return mg_voters_member_slot(stored, ip) == mg_voters_member_slot(now, ip);
}

mg_voters_news
mg_voters_compare(const mg_voters *own, unsigned slot, const mg_voters *sent,
                  const char *ip)
{
    bool learns = sent->learner_slot != 0 && mg_voters_slot_of(own, ip) == 0 &&
                  sent->learner_slot != slot;
    if (sent->rev < own->rev || (sent->rev == own->rev && !learns)) {
        return MG_VOTERS_OLD;
    }
    return slot == mg_voters_member_slot(sent, ip) ? MG_VOTERS_ADOPT
                                                   : MG_VOTERS_REOPEN;
}

void
mg_voters_apply(mg_voters *v, const mg_voters_change *change)
{
    if (change->kind == MG_VOTERS_ADD_SLOT) {
        v->count++;
    }
    else if (change->kind != MG_VOTERS_ASSIGN &&
             change->kind != MG_VOTERS_REMOVE) {
        return;
    }
    v->outgoing = change->outgoing;
    v->incoming = change->outgoing != 0 ? change->slot + 1 : 0;
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

static bool
is_assigned_slot(const mg_voters *v, uint64_t slot)
{
    return slot >= 1 && slot <= v->count && is_assigned(v, (unsigned)slot - 1);
}

bool
mg_voters_set_learner(mg_voters *v, uint64_t slot)
{
    if (slot == 0 || slot > v->count + 1 || slot > MG_VOTERS_MAX ||
        is_assigned_slot(v, slot)) {
        return false;
    }
    v->learner_slot = (unsigned)slot;
    return true;
}

void
mg_voters_set_swap(mg_voters *v, uint64_t outgoing, uint64_t incoming)
{
    bool valid = outgoing != incoming && is_assigned_slot(v, outgoing) &&
                 is_assigned_slot(v, incoming);
    v->outgoing = valid ? (unsigned)outgoing : 0;
    v->incoming = valid ? (unsigned)incoming : 0;
}
