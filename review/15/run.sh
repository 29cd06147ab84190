#!/usr/bin/env bash
# A node that has just thawed acknowledges the order of a rollout from what it
# knew before it froze; the order is never carried out. With TROUBLE=0 no node
# freezes or is killed.
set -uo pipefail
. "$(dirname "$0")/../lib-3.sh"
cd "$(dirname "$0")"
record=$PWD/record.txt
exec 2> /dev/null
start_nodes 6
if [ "${TROUBLE:-1}" != 0 ]; then
    export KILL_FILE=$work/kill FROZEN_PID=${pids[6]}
fi
"$standins/thaw_site" $((port + 12)) $((port + 10)) 127.0.0.{1,2,3,4,5,6} \
    > "$record" 2>&1 &
pids[site]=$!
while kill -0 "${pids[site]}" 2> /dev/null; do
    if [ -e "$work/kill" ]; then
        rm "$work/kill"
        for n in 1 2 3 4 5 6; do kill -KILL "${pids[$n]}"; done
        sleep 0.6
        for n in 1 2 3 4 5 6; do start_node "$n"; done
    fi
    sleep 0.02
done
wait "${pids[site]}"
status=$?
grep -h MOVE_STATE "$work"/node-1.log | grep -v share=[1-9] >> "$record"
[ -z "${KEEP:-}" ] || cp "$work"/*.log "$KEEP"
exit $status
