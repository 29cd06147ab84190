#!/usr/bin/env bash
# path-cost.sh BUILD [RATE] - measures the overhead of the request path
#
# Uses short responses of fast engines, so that engine time is negligible.
# Prints the time to first token and the entries' CPU time per request.
set -euo pipefail

BUILD=${1:-build}
RATE=${2:-300}
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BASE=${BASE:-1000}
SECS=8
WORK=$(mktemp -d)
. "$ROOT/scripts/cluster.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT
trap 'exit 1' TERM INT

cpu_ticks() { # of all entries
    local i n=0
    for i in 1 2 3; do
        n=$((n + $(awk '{ print $14 + $15 }' "/proc/${PID[entry-$i]}/stat")))
    done
    echo $n
}

start_cluster > "$WORK/out"
apply_document "$ROOT/examples/hanbit.toml" > "$WORK/out"
for i in 1 2 3 4 5 6 7 8; do
    start_target $i grain-llm --gap-us 500 --batch-us 0 --prefill-us 0 \
        --slots 16
done
start_target 9 yard-app --service --service-ms 1
wait_until 20 entries_serving 3
wait_until 20 targets_registered 9
before=$(cpu_ticks)
"$BUILD/marigold-load" -e "$(all_entries)" --rate "$RATE" --seconds $SECS \
    --keyed "${KEYED:-0}" --decode-min 2 --decode-max 4 --prompt-max 200 \
    > "$WORK/out"
cat "$WORK/out"
awk -v t=$(($(cpu_ticks) - before)) -v r="$RATE" -v s=$SECS \
    -v hz="$(getconf CLK_TCK)" 'BEGIN { us = t / hz * 1e6 / (r * s)
    printf "%.0f us of entry CPU per request, %.0f requests/s per core\n",
        us, 1e6 / us }'
