#!/usr/bin/env bash
# flood-test.sh BUILD - memory of a node whose target sends without end
#
# A node and a target that never stops sending, in the head, in the body, around
# it or in a stream of events; 40 requests at a time for each way, also from
# clients that read slowly. The node must stay below MEMORY_MAX_KB, the smallest
# memory of a host, and must still answer.
set -euo pipefail
build=$1
requests=40
client_s=6
MEMORY_MAX_KB=$((88 * 1024))
# tenths of a second until the log must show a request: it is written later
LOG_TRIES=50
. "$(dirname "$0")/processes.sh"

cat > "$work/node.toml" << END
node = "node-1"
ip = "127.0.0.1"
domain = "z1"
region = "r"
data_dir = "$work/data"
new_group = true
faults = 0
link_port = 24900
callers_addr = "127.0.0.1:24910"
ready_addr = "127.0.0.1:24911"
control_addr = "127.0.0.1:24912"
directory_addr = "127.0.0.1:24913"
[[seed]]
addr = "127.0.0.1:24912"
END
MARIGOLDGW_NODE_FILE="$work/node.toml" "$build/marigold-node" \
    > "$work/node.log" 2>&1 &
node=$!
pids+=("$node")
# a target for each way: one that fails is avoided for a while
ways=(head interim body close length line trailer other after event
    events)
for i in "${!ways[@]}"; do
    "$build/fake-flood" "127.0.0.1:$((24920 + i))" &
    pids+=($!)
done

route() # route PREFIX TYPE
{
    printf '{"name":"%s","hostname":"h","pathPrefix":"/%s/",' "$1" "$1"
    printf '"routeType":"%s","timeoutMs":20000,"goalMs":500,' "$2"
    printf '"priority":1,"service":"%s","maxAttempts":1,"public":true,' "$1"
    printf '"sticky":false,"resumable":false,"gapGoalMs":400}'
}

{
    printf '{"version":2,"tenants":[],'
    printf '"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,'
    printf '"headerTimeoutMs":3000,"idleTimeoutMs":15000},"services":['
    for i in "${!ways[@]}"; do
        [ "$i" = 0 ] || echo ,
        printf '{"name":"%s","healthPath":"/h","maxConns":500,' "${ways[i]}"
        printf '"protocol":"h1","tls":false}'
    done
    printf '],"routes":['
    for way in "${ways[@]}"; do
        case $way in
            event*) route "$way" streaming ;;
            *) route "$way" non_idempotent ;;
        esac
        [ "$way" = events ] || echo ,
    done
    printf ']}'
} > "$work/document"

control=http://127.0.0.1:24912/marigoldgw
for ((try = 0; try < 50; try++)); do
    curl -s -o /dev/null -f --data-binary "@$work/document" \
        "$control/config/replace" && break
    sleep 0.2
done
heartbeats()
{
    local seq=0 i
    while sleep 0.5; do
        seq=$((seq + 1))
        for i in "${!ways[@]}"; do
            curl -s -o /dev/null -d "{\"service\":\"${ways[i]}\",\
\"address\":\"127.0.0.1:$((24920 + i))\",\"zone\":\"z1\",\
\"version\":\"v1\",\"slots\":400,\"state\":\"ready\",\
\"coldLeftMs\":0,\"seq\":$seq,\"born\":1000}" \
                "$control/instances/i-$i/heartbeat" || true
        done
    done
}
heartbeats &
pids+=($!)
sleep 1

request() # request PATH CURL-OPTION...
{
    local path=$1
    shift
    curl -s -o /dev/null -m $client_s -H 'Host: h' -d x "$@" \
        -H "Marigoldgw-Attempt-Id: $path$RANDOM$RANDOM" \
        -H 'Marigoldgw-Deadline: 15000' "http://127.0.0.1:24910/$path/x" ||
        true
}

status=0
for path in "${ways[@]}"; do
    declare -a clients=()
    slow=()
    [ $path != events ] || slow=(--limit-rate 1k)
    for ((i = 0; i < requests; i++)); do
        request $path "${slow[@]}" &
        clients+=($!)
    done
    wait "${clients[@]}"
    for ((try = 0; try < LOG_TRIES; try++)); do
        sent=$(grep -c "REQ_DISPATCHED id=$path[0-9]" "$work/node.log") ||
            true
        [ "$sent" -lt "$requests" ] || break
        sleep 0.1
    done
    echo "$path: $sent of $requests requests sent to the target"
    if [ "$sent" -lt $((requests / 4)) ]; then
        echo "$path: less than a quarter of the requests reached the target"
        status=1
    fi
    kb=$(peak_memory_kb "$node")
    echo "$path: peak memory $kb KB"
    if [ "$kb" = 0 ] || [ "$kb" -gt $MEMORY_MAX_KB ]; then
        echo "$path: peak memory above $MEMORY_MAX_KB KB, or it has ended"
        status=1
        break
    fi
done
code=$(curl -s -o /dev/null -m 2 -w '%{http_code}' \
    http://127.0.0.1:24911/marigoldgw/ready) || true
[ "$code" = 200 ] || { echo "not ready afterwards: $code"; status=1; }
if [ "$status" = 0 ]; then
    echo "1 passed, 0 failed"
else
    tail -n 20 "$work/node.log"
    echo "0 passed, 1 failed"
fi
exit "$status"
