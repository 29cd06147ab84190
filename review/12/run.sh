#!/usr/bin/env bash
# A part of a prompt crashes replicas while demand is thin; from then on the
# sound requests that share the other parts are refused. With TROUBLE=0 there
# are no requests with the deadly part.
set -uo pipefail
. "$(dirname "$0")/../lib-3.sh"
cd "$(dirname "$0")"
record=$PWD/record.txt
exec 2> /dev/null
start_nodes 6
[ "${TROUBLE:-1}" != 0 ] || export DEADLY=0
"$standins/parts_site" $((port + 12)) $((port + 10)) 127.0.0.{1,2,3,4,5,6} \
    > "$record" 2>&1 &
pids[site]=$!
wait "${pids[site]}"
status=$?
grep -h "QUARANTINE\|CRASH_SUSPECT" "$work"/node-1.log | head -30 >> "$record"
[ -z "${KEEP:-}" ] || cp "$work"/*.log "$KEEP"
exit $status
