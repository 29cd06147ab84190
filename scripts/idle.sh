#!/usr/bin/env bash
# idle.sh BUILD - measures the cost of idle processes by number of entries
#
# Prints the CPU, memory and link traffic of an entry and of the control
# leader for 3, 6, 9 and 12 entries without requests.
set -euo pipefail

BUILD=${1:-build}
ROOT=$(cd "$(dirname "$0")/.." && pwd)
BASE=${BASE:-1000}
SPAN=${SPAN:-8} # seconds
WORK=
. "$ROOT/scripts/cluster.sh"
trap 'stop_all; rm -rf "$WORK"' EXIT
trap 'exit 1' TERM INT

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
rss_mb() { awk '/^VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"; }
link_bytes() {
    http_get "$1" /metrics |
        awk '/link_bytes_(in|out)/ { n += $2 } END { printf "%d", n }'
}

print_row() { # print_row NAME PID HTTP_ADDR
    local t0 b0 t1 b1
    t0=$(cpu_ticks "$2") b0=$(link_bytes "$3")
    sleep "$SPAN"
    t1=$(cpu_ticks "$2") b1=$(link_bytes "$3")
    awk -v n="$ENTRIES" -v what="$1" -v t="$((t1 - t0))" -v b="$((b1 - b0))" \
        -v s="$SPAN" -v m="$(rss_mb "$2")" -v hz="$(getconf CLK_TCK)" \
        'BEGIN { printf "| %d | %s | %.2f%% | %s MB | %.2f KB/s |\n", n, what,
                 100 * t / hz / s, m, b / s / 1024 }'
}

echo "| entries | process | CPU of a core | memory | links |"
echo "| --- | --- | --- | --- | --- |"
for ENTRIES in 3 6 9 12; do
    WORK=$(mktemp -d)
    start_cluster
    apply_document "$ROOT/examples/hanbit.toml" > "$WORK/out"
    start_target 1 grain-llm
    wait_until 20 entries_serving "$ENTRIES"
    leader=$(ctl platform status | sed -n 's/^leader=control-//p')
    print_row entry "${PID[entry-1]}" "$(entry_http 1)"
    print_row "control leader" "${PID[control-$leader]}" \
        "$(control_http "$leader")"
    stop_all
    rm -rf "$WORK"
done
