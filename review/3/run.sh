#!/usr/bin/env bash
# A machine is killed while requesters read answers that it holds as a whole.
# The replica states no length for them: such an answer ends with its channel.
# What the requesters get must not look like a complete answer.
#
# TROUBLE=0: no kill.
. "$(dirname "$0")/../lib.sh"

REQUESTERS=2
ANSWER_BYTES=4000000
BYTES_PER_S=600000
KILL_AFTER_S=2

config='{"version":7,"routes":[{"name":"r","hostname":"site.example","pathPrefix":"/read/","routeType":"idempotent","timeoutMs":20000,"goalMs":500,"priority":0,"service":"reads","maxAttempts":2}],"services":[{"name":"reads","healthPath":"/health","maxConns":110}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]}'

for n in 1 2 3; do
    settings $n true yes 1 2 3
    start_node $n
done
sleep 2
put_config "$config" 1 2 3 || cannot_run "no configuration"
"$bin/answers" replica "127.0.0.1:$((base + 10))" i-reads-1 reads zone-1 \
    $ANSWER_BYTES none "$(control_of 1)" "$(control_of 2)" "$(control_of 3)" \
    >> "$record_file" 2>&1 &
other_pids+=($!)
sleep 4
requesters=()
for i in $(seq $REQUESTERS); do
    "$bin/answers" requester "$(front_of 1)" site.example /read/ key-1 \
        "$(printf %016x $i)" $ANSWER_BYTES $BYTES_PER_S \
        >> "$record_file" 2>&1 &
    requesters+=($!)
done
other_pids+=("${requesters[@]}")
sleep $KILL_AFTER_S
[ "$trouble" = 0 ] || kill_node 1
wait "${requesters[@]}"
cat "$record_file"
runs=$(grep -c ' runs ' "$record_file")
written=$(grep -c 'all written' "$record_file")
ended=$(grep -c 'outcome of' "$record_file")
[ "$ended" = $REQUESTERS ] && [ "$runs" -ge $REQUESTERS ] &&
    [ "$written" -ge $REQUESTERS ] || cannot_run "not all answers were made"
broken=$(grep -c 'cut but seen as whole' "$record_file")
note "answers that were cut and look whole: $broken of $REQUESTERS"
if [ "$broken" -gt 0 ]; then
    note "BROKEN: an answer that ended early looks complete"
    exit 1
fi
if [ "$trouble" = 0 ] &&
    [ "$(grep -c ': whole' "$record_file")" != $REQUESTERS ]; then
    cannot_run "not all answers were whole without the kill"
fi
note "held"
