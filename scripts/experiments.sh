#!/usr/bin/env bash
# experiments.sh BUILD [OUT] - measures the policy under load and faults
#
# Runs the load tool against real daemons and fake engines modelled on a
# deployment, at fractions and multiples of the capacity, with each placement,
# with and without a slow target or a killed entry. Prints Markdown rows and
# writes a JSON file per run to the directory OUT.
set -euo pipefail

BUILD=${1:-build}
OUT=${2:-$(mktemp -d)}
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BASE=${BASE:-1000}
PROFILE=${PROFILE:-hanbit}
SECS=${SECS:-12}
SCALE=${SCALE:-0.5}
ENGINES=${ENGINES:-12}
# requests per second that saturate the engines; 0: measured by calibrate
CAPACITY=${CAPACITY:-0}
WORK=
. "$ROOT/scripts/cluster.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT
trap 'exit 1' TERM INT
mkdir -p "$OUT"

model() { [ "$PROFILE" = hanbit ] && echo grain-llm || echo column-llm; }
service() { [ "$PROFILE" = hanbit ] && echo yard-app || echo sales-desk; }

# engines with 4, 6, 8 and 12 ms per token; with SLOW=1 one has 60 ms
start_engines() {
    local i gap
    for i in $(seq "$ENGINES"); do
        case $((i % 4)) in
        0) gap=4000 ;; 1) gap=6000 ;; 2) gap=8000 ;; *) gap=12000 ;;
        esac
        [ "${SLOW:-0}" = 1 ] && [ "$i" = 1 ] && gap=60000
        start_target "$i" "$(model)" --gap-us $gap --slots 4 --lag-ms 5000 \
            --prefill-us 10 --domain "domain-$((i % 3 + 1))"
    done
    for i in 1 2 3; do
        start_target $((ENGINES + i)) "$(service)" --service
    done
}

# run LABEL PLACEMENT RATE [KILL]
run() {
    local label=$1 placement=$2 rate=$3 kill=${4:-0}
    WORK=$(mktemp -d)
    start_cluster > "$WORK/out"
    split_document "$ROOT/examples/$PROFILE.toml"
    sed -i "0,/kind = \"engine\"/s//kind = \"engine\"\nplacement = \"$placement\"/" \
        "$WORK/platform.toml"
    ctl platform apply "$WORK/platform.toml" > "$WORK/out"
    ctl members apply "$WORK/members.toml" > "$WORK/out"
    start_engines
    wait_until 20 entries_serving 3
    wait_until 20 targets_registered $((ENGINES + 3))
    "$BUILD/marigold-load" -e "$(all_entries)" --rate "$rate" \
        --seconds "$SECS" --seed 7 --profile "$PROFILE" --keyed 0.3 \
        --deadline-scale "$SCALE" --decode-max 400 --prompt-max 8000 --json "$OUT/$label.json" \
        > "$WORK/out" 2>&1 &
    local job=$!
    if [ "$kill" = 1 ]; then
        sleep $((SECS / 3))
        signal_process entry-2 KILL
        sleep 1
        start_entry 2
    fi
    wait $job || true
    awk -v l="$label" '$1 ~ /^[012]$/ {
        off += $2; good += $3; g[$1] = $11; f[$1] = $13; p[$1] = $14
        bad += $8 + $9 + $10 }
        END { printf "| %s | %s | %s | %s | %.1f%% | %s | %s | %d |\n", l,
              g[0], g[1], g[2], 100 * good / off, f[0], p[0], bad }' "$WORK/out"
    stop_all
    rm -rf "$WORK"
}

# goodput in requests per second when the engines are overloaded
calibrate() {
    run calibrate least_time 300 > /dev/null
    awk -v s="$SECS" -F '[:,]' '/"good"/ { n += $2 }
        END { printf "%d", n / s }' "$OUT/calibrate.json"
}

scaled() { awk -v c="$CAPACITY" -v p="$1" 'BEGIN { print c * p }'; }

[ "$CAPACITY" != 0 ] || CAPACITY=$(calibrate)
cat <<EOF
Profile $PROFILE, $ENGINES engines of four speeds, 3 services; load 1.0 is
$CAPACITY requests/s, the goodput at 300 offered requests/s; $SECS s of
arrivals, seed 7, deadlines $SCALE times the profile's, reports 5 s old.

| run | goodput tier 0 | tier 1 | tier 2 | all | first token p95, tier 0 | gap p95, tier 0 | missing, truncated or wrong |
| --- | --- | --- | --- | --- | --- | --- | --- |
EOF
for part in 0.7 1.0 1.5 2.5; do
    for placement in round_robin least_reported least_time; do
        run "$part $placement" "$placement" "$(scaled $part)"
    done
done
for part in 0.7 2.5; do
    for placement in round_robin least_time; do
        SLOW=1 run "$part $placement, slow target" "$placement" \
            "$(scaled $part)"
        run "$part $placement, entry killed" "$placement" "$(scaled $part)" 1
    done
done
