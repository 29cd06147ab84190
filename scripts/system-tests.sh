#!/usr/bin/env bash
# system-tests.sh BUILD [TEST...] - tests real daemons on loopback with faults
#
# Each test starts its own cluster. A failed test is printed but does not fail
# the run if KNOWN-RED.txt has a line "NAME:" for it and the "trace: REGEX" line
# that follows matches a line of its daemons' logs.
set -uo pipefail

BUILD=${1:-build}
shift || true
ROOT=$(cd "$(dirname "$0")/.." && pwd)
LOGS=${LOGS:-$(mktemp -d)}
. "$ROOT/scripts/cluster.sh"
. "$ROOT/scripts/system-cases.sh"
trap 'stop_all' EXIT
trap 'exit 1' TERM INT
# the clusters of two runs would use the same ports
exec 9> "${TMPDIR:-/tmp}/marigoldgw-system-tests.lock"
flock 9

ALL="entry_killed scheduler_frozen two_at_once entry_drained silent_links
silent_target control_lost_and_repaired disks_stall leader_cut_off
racing_operators
all_control_down torn_log many_changes target_leaves target_killed
crashing_request move_good move_bad bad_input endless_responses"

passed=0
failed=0
known=0

known_red() { # known_red NAME: true if this failure of the test is listed
    local trace
    trace=$(awk -v want="$1:" '
        /^[a-z_]+:$/ || /^red: / { found = $0 == want }
        found && sub(/^trace: /, "") { print; exit }
    ' "$ROOT/KNOWN-RED.txt" 2> /dev/null)
    [ -n "$trace" ] && grep -qE "$trace" "$WORK"/*.log
}

run_one() {
    local name=$1 start=$SECONDS rc
    WORK="$LOGS/$name"
    rm -rf "$WORK"
    mkdir -p "$WORK"
    BASE=0 RELAYS=0 SNAPSHOT=4096 TTL_MS=1000
    (
        set -e
        trap stop_all EXIT
        "test_$name"
    ) > "$WORK/out" 2>&1
    rc=$?
    if [ $rc = 0 ]; then
        passed=$((passed + 1))
        echo "ok    $name ($((SECONDS - start)) s)"
    elif known_red "$name"; then
        known=$((known + 1))
        echo "KNOWN $name ($((SECONDS - start)) s), see KNOWN-RED.txt"
    else
        failed=$((failed + 1))
        echo "FAIL  $name ($((SECONDS - start)) s)"
        tail -n 25 "$WORK/out" | sed 's/^/      /'
    fi
}

for name in ${*:-$ALL}; do run_one "$name"; done
[ $known = 0 ] || echo "$known known red"
echo "$passed passed, $failed failed"
[ $failed = 0 ]
