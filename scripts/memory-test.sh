#!/usr/bin/env bash
# memory-test.sh BUILD - memory of nodes while peers do not read
#
# Three nodes with disks; 40 fake peers keep links to the log of each, ask for
# all records and read nothing, while the configuration document (900 routes)
# changes again and again. Every change must be acknowledged, and no node may
# exceed MEMORY_MAX_KB at its peak: the memory that a node may take for control.
set -euo pipefail
build=$1
changes=40
peers=40
MEMORY_MAX_KB=32768
. "$(dirname "$0")/processes.sh"

settings() # settings N
{
    cat << END
node = "node-$1"
ip = "127.0.0.$1"
domain = "z$1"
region = "r"
data_dir = "$work/data-$1"
new_group = true
faults = 1
link_port = 24800
callers_addr = "127.0.0.$1:24810"
ready_addr = "127.0.0.$1:24811"
control_addr = "127.0.0.$1:24812"
directory_addr = "127.0.0.$1:24813"
[[seed]]
addr = "127.0.0.1:24812"
[[seed]]
addr = "127.0.0.2:24812"
[[seed]]
addr = "127.0.0.3:24812"
END
}

document() # document VERSION
{
    awk -v version="$1" 'BEGIN {
        printf "{\"version\":%d,\"services\":[{\"name\":\"app\",", version
        printf "\"healthPath\":\"/h\",\"maxConns\":64,\"protocol\":\"h1\","
        printf "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        printf "\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
        printf "\"idleTimeoutMs\":15000},\"tenants\":[],\"routes\":["
        for (i = 0; i < 900; i++) {
            printf "%s{\"name\":\"route-%d\",\"hostname\":\"h%d.example\",", \
                (i ? "," : ""), i, i
            printf "\"pathPrefix\":\"/p%d/\",\"routeType\":\"idempotent\",", i
            printf "\"timeoutMs\":%d,\"goalMs\":150,\"priority\":3,", \
                4000 + version
            printf "\"service\":\"app\",\"maxAttempts\":2,\"public\":true,"
            printf "\"sticky\":false,\"resumable\":false}"
        }
        printf "]}"
    }' > "$work/document"
}

put_document() # put_document VERSION: until it is acknowledged, 10 s at most
{
    local try status=
    document "$1"
    for ((try = 0; try < 20; try++)); do
        status=$(curl -s -o "$work/answer" -w '%{http_code}' -m 5 \
            --data-binary "@$work/document" \
            "http://127.0.0.$((1 + try % 3)):24812/marigoldgw/config/replace") ||
            true
        [ "$status" != 200 ] || return 0
        sleep 0.5
    done
    echo "version $1 not acknowledged: $status $(cat "$work/answer")"
    return 1
}

for n in 1 2 3; do
    settings $n > "$work/node-$n.toml"
    MARIGOLDGW_NODE_FILE="$work/node-$n.toml" "$build/marigold-node" \
        > "$work/node-$n.log" 2>&1 &
    pids+=($!)
done
status=0
put_document 1 || status=1
for n in 1 2 3; do
    "$build/fake-peer" 127.0.0.$n:24800 marigold $peers &
    pids+=($!)
done
for ((v = 2; v <= changes; v++)); do
    put_document $v || status=1
    sleep 0.2
done
echo "document: $(wc -c < "$work/document") bytes, $changes versions," \
    "$((3 * peers)) peers"
for n in 1 2 3; do
    kb=$(peak_memory_kb "${pids[n - 1]}")
    echo "node $n: peak memory $kb KB"
    if [ "$kb" = 0 ] || [ "$kb" -gt "$MEMORY_MAX_KB" ]; then
        echo "node $n: peak memory above $MEMORY_MAX_KB KB, or it has ended"
        status=1
    fi
done
if [ "$status" = 0 ]; then
    echo "1 passed, 0 failed"
else
    tail -n 20 "$work"/node-*.log
    echo "0 passed, 1 failed"
fi
exit "$status"
