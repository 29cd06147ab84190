#!/usr/bin/env bash
# mutants.sh - disables each mechanism and checks that its unit test fails
#
# Works on copies of the tree. A mutant is a line: unit test, source file,
# disabled mechanism, sed expression. Prints a row per mutant; exits non-zero
# if a mutant does not apply, does not build or passes its test. "soak" in place
# of a test: build/soak with SOAK_SEED, which the code as it is must pass. ROWS:
# only rows that match this expression.
set -uo pipefail

ROOT=$(cd "$(dirname "$0")/.." && pwd)
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
JOBS=${JOBS:-4}
SOAK_SEED=${SOAK_SEED:-5}

mutants() {
    cat <<'EOF'
claims|src/ledger/claims.c|claims of an older generation are refused|s/cmd->gen >= cl->gen) {/1) {/
claims|src/ledger/claims.c|a held request is not granted to another attempt|s/cl->state == STATE_RELEASED \&\& cl->nonce != cmd->nonce/cl->state != STATE_ANSWERED/
tierq|src/policy/tierq.c|the lowest tier is shed first|s/last_of_tier(&q->tiers\[lowest\])/last_of_tier(\&q->tiers[0])/
sched|src/topology/target.c|a draining target gets no grants|s/return !t->draining \&\&/return/
sched|src/topology/target.c|a target without a lease gets no grants|s/now < t->lease_until_ms;/true;/
sched|src/policy/sched.c|slots are rebuilt before the first grant|s/if (!s->rebuilding) {/if (true) {/
sched|src/policy/sched.c|a target has bounded slots|s/if (t->running >= t->slots_max) {/if (false) {/
sched|src/policy/sched.c|two crash suspects never share a target|s/(suspect \&\& t->suspects > 0)/false/
sched|src/policy/quarantine.h|a request is quarantined after two strikes|s/define MG_QUARANTINE_STRIKES 2/define MG_QUARANTINE_STRIKES 99/
rollout|src/policy/rollout.c|canary grants are reserved in the log|s/return r->granted_new < r->reserved \&\&/return/
rollout|src/policy/rollout.c|a new scheduler counts the reserved grants|s/r->granted_new = opts->reserved;/r->granted_new = 0;/
rollout|src/policy/rollout.c|the failure rate is tested|s/route->failures.llr > REJECT_LLR/false/
rollout|src/policy/rollout.c|the token gap is tested|s/route->slow_gap.llr > REJECT_LLR/false/
lease|src/topology/lease.c|a new grantor waits until old leases expire|s/l->unknown_until_ms = .*/l->unknown_until_ms = 0;/
lease|src/topology/lease.h|the grantor adds a margin to a lease|s/define MG_LEASE_MARGIN_MS 150/define MG_LEASE_MARGIN_MS (-200)/
raft|src/control/raft.c|local log entries count once they are on disk|s/majority_value(r, r->synced_index, peer_match_index)/majority_value(r, mg_raft_last_index(r), peer_match_index)/
raft|src/control/raft.c|a snapshot keeps acknowledged log entries|s/bool agrees = s->last_index <= mg_raft_last_index(r) \&\&/bool agrees = false \&\&/
raft|src/control/raft.c|a new disk identity resets the match index|s/if (peer->uid != p->uid) {/if (false) {/
raft|src/control/raft_vote.c|a vote is persisted before it is sent|s/(r->meta.vote == 0 || r->meta.vote == from)/true/
raft|src/control/raft.c|entries are acknowledged once they are synced|s/synced ? r->reply_match : r->synced_index/r->reply_match/
raft|src/control/raft_log.c|a truncation lowers what a sync in progress covers|s/if (r->syncing_index >= index) {/if (false) {/
raft|src/control/raft.c|a leader is current by what others confirmed|s/mg_raft_ready(r) \&\&$/mg_raft_ready(r);/
raft|src/control/raft.c|a leader is current once it has applied what was committed|s/return mg_raft_ready(r) \&\&$/return true \&\&/
raft|src/control/raft.c|a round that isn't confirmed stays marked|s/if (mg_raft_confirmed_round(r) >= r->mark_round) {/if (true) {/
state|src/control/state.c|a different text of the same version is refused|s/if (!mg_str_eq(digest, new_sec->digest)) {/if (false) {/
state|src/control/state.c|a change is checked against its base revision|s/c->base_rev != s->document_rev) {/false) {/
state|src/control/state.c|a repeated batch of credits is ignored|s/c->seq <= b->seq)/false)/
response_reader|src/entry/response_reader.c|a stream needs its final event|s/return memcmp(r->tail.*/return true;/
response_reader|src/entry/response_reader.c|a refused resume is not part of the response|s/if (r->resume_refused) {/if (false) {/
store|src/control/store.c|corruption before valid records is refused|s/if (valid_record_after(b, at, term)) {/if (false) {/
store|src/control/store.c|a truncation waits for the sync in progress|s/mg_rc rc = wait_for_sync(s);$/mg_rc rc = MG_OK;/
http_server|src/wire/http_server.c|the bodies of all requests are bounded|s/s->body_bytes + bytes > s->opts.limits.bodies_max/false/
http_server|src/wire/http_server.c|unread responses are bounded|s/if (unsent > s->opts.limits.unsent_max) {/if (false) {/
flow|src/gateway/flow.c|a request that is sent again uses its quota again|s/f->usage != NULL \&\& f->possible_runs > 0/false/
quota|src/gateway/quota.c|a refund belongs to the time of the use|s/int64_t slice = taken_ms/int64_t slice = now/
store|src/control/store.c|records are checksummed|s/return h->sum == record_checksum(.*/return true;/
rollout|src/policy/rollout.c|a version whose rollout is done stays in use|s/if (r->state == MG_ROLLOUT_DONE) {/if (false) {/
rollout|src/policy/rollout.c|a rollout ends at its deadline|s/if (wall >= r->deadline_wall_ms) {/if (false) {/
base|src/wire/channel.c|a missing last chunk is detected|s/c->body.framing == MG_H1_CLOSE_DELIMITED;/true;/
crash|src/gateway/flow.c|a target is probed when a reused channel breaks|s/    mg_suspect_connection_lost(f->gw, f->target, &s);/    if (!f->reused_channel) { mg_suspect_connection_lost(f->gw, f->target, \&s); }/
crash|src/gateway/dispatch.c|strikes are checked before each dispatch|s/bool trial = mg_suspect_refuses(f);/bool trial = false;/
crash|src/gateway/dispatch.c|a trial is counted|s/mg_suspect_tried(f);/;/
crash|src/gateway/admit.c|a refused request may be tried|s/ \&\& !mg_suspect_may_try(f)//
trial|src/gateway/trial.c|entries take turns|s/ahead <= (is_wide ? 1 : 0)/true/
trial|src/gateway/trial.c|the only part that was never served is tried late|s/is_only ? MG_TRIAL_ONLY_AFTER_MS/false ? MG_TRIAL_ONLY_AFTER_MS/
trial|src/gateway/trial.c|trials are limited|s/t->trials >= max || //
verdict|src/gateway/strikes.c|a request that has all tied parts is no trial|s/found == g->tied;/false;/
suspects|src/gateway/suspects.c|a crash after a verdict gives strikes to all parts|s/f->event_count <= 1 \&\& i < n/f->event_count <= 1 \&\& !mg_suspect_refuses(f) \&\& i < n/
crash|src/gateway/suspects.c|parts of prompts get strikes|s/f->event_count <= 1 \&\& i < n/i < 0/
strikes|src/gateway/strikes.c|a strike stands in several reports|s/r->copies = MG_STRIKE_COPIES;/r->copies = 1;/
blame|src/gateway/blame.c|the fewest parts that explain the crashes are blamed|s/            explain(&parts\[i\], &found);/if (parts[i].group == count) explain(\&parts[i], \&found);/
blame|src/gateway/blame.c|parts are blamed together only if the same requests had them|s/b->crashes\[k\].run != run ||/false ||/
blame|src/gateway/blame.c|of several requests none tells which parts are together|s/run == MG_QUARANTINE_RUN_SEVERAL) {/false) {/
strikes|src/gateway/blame.c|what was served before is blamed last|s/a->served != b->served) {/false) {/
strikes|src/gateway/blame.c|what was served before needs more crashes|s/return served ? MG_STRIKES_SERVED_MAX : MG_STRIKES_MAX;/return MG_STRIKES_MAX + 0 * served;/
strikes|src/gateway/strikes.c|other entries are told what was served before|s/        note_served(s, m->key, time_of(s, m->served_age_ms - 1));/(void)0;/
strikes|src/gateway/strikes.c|a strike older than the last service doesn't count|s/if (served_ms > c->at_ms) {/if (false) {/
strikes|src/gateway/strikes.c|a popular request isn't refused for crashes at one moment|s/(!served || crashed_apart(s, key))/true/
group_client|src/group/group_client.c|only complete replies tell how far records reach|s/if (!r->partial \&\& mg_str_is(r->leader, peer)/if (mg_str_is(r->leader, peer)/
group_client|src/group/group_client.c|only the leader tells how far records reach|s/mg_str_is(r->leader, peer) \&\& r->rev/r->rev/
strikes|src/policy/quarantine.c|what is served loses its strikes|s/r->cleared_ms = at_ms;/(void)at_ms;/
capacity|src/gateway/capacity.c|only some entries own a share of a limit|s/return before < shares;/return true;/
capacity|src/gateway/capacity.c|a share is handed over after a pause|s/define HANDOVER_MS 1000/define HANDOVER_MS 0/
capacity|src/gateway/capacity.c|a share can't be saved up|s/c->allowance = c->allowance < max ? c->allowance : max;//
capacity|src/gateway/capacity.c|a statement ends with a later request only|s/m->lacking_ms = max_time(m->lacking_ms, sent_ms);/m->lacking_ms = heard_ms;/
capacity|src/gateway/capacity.c|an entry passes on what it only knows from others|s/    c->relayed_ms = now;/    return false;/
capacity|src/gateway/pick.c|what a target states is kept|s/c->held_back/false/g
reach|src/gateway/relay.c|requests are passed on when the entry is cut off|s/(f->pool->cut || f->connect_failures >= CONNECT_FAILURES_MAX)/false/
reach|src/gateway/relay.c|a request that was passed on isn't passed on again|s/ \&\& !f->is_relayed//
reach|src/gateway/relay.c|attempts used here aren't allowed once more|s/f->possible_runs == 0 \&\& f->relay_attempts/f->relay_attempts/
reach|src/gateway/relay.c|a request is written to one entry only|s/if (result == MG_CHANNEL_CONNECT_FAILED) {/if (result != MG_CHANNEL_COMPLETE) {/
timers|src/gateway/flow.c|a timer that fires early is set again|s/if (now < f->timer_at_ms) {/if (false) {/
voters|src/group/voters.c|a voter that leaves hands its slot over|s/int leaving = find_marked(v, view, view->leaving);/int leaving = -1;/
voters|src/group/voters.c|a successor learns before it is needed|s/if (candidate->learns \&\& slot < MG_VOTERS_MAX) {/if (candidate->learns \&\& slot < MG_VOTERS_MAX \&\& needs_successor(v, view)) {/
voters|src/group/voters.h|a silent voter is replaced at once by a learner that votes|s/define MG_VOTER_SILENT_MS 600/define MG_VOTER_SILENT_MS 4000/
event_ids|src/gateway/event_ids.c|runs aren't joined over a gap|s/return MG_EVENT_AFTER_GAP;/(void)0;/
event_ids|src/gateway/event_ids.c|any step within a run shows nothing|s/if (e->joins \&\& e->step/if (e->step/
answers|src/gateway/flow.c|another run is asked after a gap|s/if (!retry(f)) {$/if (true) {/
rejected|src/gateway/versions.c|a version that was rolled back stays out|s/if (mg_rejected_has(&s->rejected, version)) {/if (false) {/
rejected|src/node/rollout_manager.c|rolled back versions are recorded before the next order|s/if (r != NULL \&\& r->rejected_differs) {/if (false) {/
rejected|src/node/rollout_manager.c|an older record doesn't bring a version back|s/exists(r) \&\& r->rev > rec->rollout_rev \&\&/exists(r) \&\&/
rejected|src/policy/rollout.c|no rollout leaves a final state|s/(was_final \&\& now != before)/false/
group_client|src/group/group_client.c|records are complete after a whole reply|s/!r->partial \&\& c->rev > 0/c->rev > 0/
voters|src/group/voters.c|two dead voters of five are replaced|s/2 \* healthy > count_assigned(v) ? dead : -1/healthy + 1 == count_assigned(v) ? dead : -1/
reach|src/gateway/reach.c|an entry is cut off only from what others reach|s/mg_reach_only_others_since(r, r->ok_ms + 1)/true/
flow|src/gateway/targets.c|a request is never written to a channel again|s/if (f->used_channels\[i\] == c) {/if (false) {/
answers|src/gateway/flow.c|a refusal without an id counts on a new channel only|s/res.not_run \&\& res.id.n == 0 \&\& f->reused_channel/false/
h1|src/wire/h1.c|outputs are empty for malformed chunks|s/^        size = 0;$//
usage|src/gateway/reports.c|an entry that starts learns past use|s/mg_quota_add_past(&u->quota/if (false) mg_quota_add_past(\&u->quota/
usage|src/gateway/pools.c|an entry that starts has no burst|s/gw->entry_count > 1 || gw->report_age_ms > 0/false/
quota|src/gateway/quota.c|a part of the demand is admitted|s/if (level < q->limits.burst \* q->share \* FULL_PART) {/if (false) {/
quota|src/gateway/quota.c|many requests at once are counted at all entries|s/define BURST_REQUESTS 1/define BURST_REQUESTS 100000/
quota|src/gateway/quota.c|silent entries keep their share|s/return q->share < 1 ? q->limits.rate_apart \* q->share : q->limits.rate;/return q->limits.rate;/
store|src/control/store.c|records of an earlier term end the log|s/ \&\& h.term >= term) {$/) {/
registry|src/topology/registry.c|a deregistration is newer than any heartbeat|s/out->seq = MG_INSTANCE_SEQ_MAX;/out->seq++;/
http_server|src/wire/http_server.c|pipelined requests are taken up by the event loop|s/        schedule_input(c);/        process_input(c);/
http_server|src/wire/http_response.c|a response without a length is reset if it ends early|s/mg_sock_reset_on_close(&r->conn->tcp, true);//
http_server|src/wire/http_server.c|a response that isn't acknowledged isn't closed|s/(mg_sock_is_acknowledged(&c->tcp) ||/(true ||/
http_server|src/wire/http_server.c|a client's end doesn't stop its response|s/if (orderly \&\& has_output(c)) {/if (false) {/
ends|src/wire/channel.c|the socket's error is looked at|s/           c->socket_error == 0;/           true;/
ends|src/wire/channel.c|a failed write is no orderly end|s/UV_EOF \&\& c->write_error == 0 \&\&/UV_EOF \&\&/
ends|src/wire/channel.c|the end waits for the request|s/c->unsent_bytes == 0 \&\& mg_sock_is_acknowledged(&c->tcp)/true/
answers|src/gateway/flow_response.c|a stream without chunks gets no last chunk|/^mg_flow_start_response/,/^}/s/if (f->close_delimited) {/if (false) {/
answers|src/gateway/flow.c|an end without proof gets no last chunk|s/if (end_is_unproven(f)) {/if (false) {/
answers|src/gateway/flow.c|streams without ids aren't resumed|s/ \&\& !f->has_no_id//
answers|src/gateway/flow_response.c|a response to HEAD has its target's length|s/        if (mg_h1_is_hop_by_hop(headers, h->name) \&\& !is_length) {/        if (mg_h1_is_hop_by_hop(headers, h->name)) {/
crash|src/gateway/flow.c|the end of a response without a length is probed|/^target_served/,/^}/s/if (f->close_delimited) {/if (false) {/
capacity|src/gateway/capacity.c|a wanted pause is kept|s/if (c->unwanted_until_ms != 0 \&\&/if (false \&\&/
capacity|src/gateway/flow.c|what says it leaves gets no requests|s/mg_gw_target_leaves(f->target, \&res);/(void)res;/
recorded|src/wire/msg.c|added fields are ignored|s/o->via.array.size < l->count + 1/o->via.array.size != l->count + 1/
soak|src/gateway/flow_response.c|an answer without a length gets no last chunk|/^mg_flow_start_response/,/^}/s/if (f->close_delimited) {/if (false) {/
soak|src/gateway/flow_response.c|an answer without a length gets none|s/    if (!f->close_delimited) {/    if (true) {/
soak|src/wire/channel.c|a reset is no end of an answer|s/           c->socket_error == 0;/           true;/
EOF
}

run_mutant() { # run_mutant NUMBER LINE
    local n=$1 test file what expr dir rc made run
    IFS='|' read -r test file what expr <<< "$2"
    # the expression may contain the separator
    expr=${2#"$test|$file|$what|"}
    dir="$WORK/$n"
    mkdir -p "$dir"
    cp -r "$ROOT"/{Makefile,src,tests,include,platform} "$dir/" 2> /dev/null
    cp -r "$WORK/base" "$dir/build"
    sed -i "$expr" "$dir/$file"
    if cmp -s "$dir/$file" "$ROOT/$file"; then
        echo "| $test | $what | NOT APPLIED |"
        return 1
    fi
    made="build/unit-${test}_test"
    run=(timeout 120 "$dir/$made")
    if [ "$test" = soak ]; then
        made="build/soak build/marigold-node"
        run=(env LOGS="$dir" "$ROOT/scripts/soak-test.sh" "$dir/build" "$SOAK_SEED")
    fi
    # shellcheck disable=SC2086
    make -s -C "$dir" WARN= $made > "$dir/out" 2>&1 || {
        echo "| $test | $what | NOT BUILT |"
        return 1
    }
    "${run[@]}" > "$dir/out" 2>&1 < /dev/null
    rc=$?
    if [ $rc = 0 ]; then
        echo "| $test | $what | PASSED WITHOUT IT |"
        return 1
    fi
    echo "| $test | $what | fails: $(grep -m1 -o 'seed [0-9]*: .*\|CU_[A-Z_]*(.*\|BROKEN .*' "$dir/out" |
        cut -c1-90) |"
    rm -rf "$dir"
}

mkdir -p "$WORK/base"
echo "| test | disabled mechanism | result |"
echo "| --- | --- | --- |"
bad=0
n=0
while IFS= read -r line; do
    n=$((n + 1))
    run_mutant $n "$line" > "$WORK/row-$n" &
    [ $((n % JOBS)) != 0 ] || wait
done < <(mutants | grep -E "${ROWS:-.}")
wait
for i in $(seq $n); do
    cat "$WORK/row-$i"
    grep -q 'fails:' "$WORK/row-$i" || bad=$((bad + 1))
done
[ $bad = 0 ]
