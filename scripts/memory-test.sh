#!/usr/bin/env bash
# memory-test.sh BUILD - memory of nodes while peers do not read
#
# Three nodes with disks; 40 fake peers keep links to the log of each, ask for
# all records and read nothing, while the configuration document (900 routes)
# changes again and again. Every change must be acknowledged, and no node may
# exceed MEMORY_MAX_KB at its peak: the memory that a node may take for control.
# Prefixes are random, so that the document hardly shrinks when it is packed.
#
# Before, without fake peers, a document like those that users write: its
# changes must cost a node at most 1 / PACKED_MIN of its size.
set -euo pipefail
build=$1
changes=40
plain_changes=10
peers=40
MEMORY_MAX_KB=32768
RANDOM_BYTES=290 # a prefix; 6 bits each: as many as the rest of a route
PACKED_MIN=4
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
metrics_addr = "127.0.0.$1:24814"
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

document() # document VERSION RANDOM_BYTES
{
    awk -v version="$1" -v random="$2" 'BEGIN {
        srand(version)
        letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
        letters = letters "0123456789-_"
        printf "{\"version\":%d,\"services\":[{\"name\":\"app\",", version
        printf "\"healthPath\":\"/h\",\"maxConns\":64,\"protocol\":\"h1\","
        printf "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        printf "\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
        printf "\"idleTimeoutMs\":15000},\"tenants\":[],\"routes\":["
        for (i = 0; i < 900; i++) {
            printf "%s{\"name\":\"route-%d\",\"hostname\":\"h%d.example\",", \
                (i ? "," : ""), i, i
            prefix = ""
            for (k = 0; k < random; k++)
                prefix = prefix substr(letters, 1 + int(64 * rand()), 1)
            printf "\"pathPrefix\":\"/p%d%s/\",", i, prefix
            printf "\"routeType\":\"idempotent\","
            printf "\"timeoutMs\":%d,\"goalMs\":150,\"priority\":3,", \
                4000 + version
            printf "\"service\":\"app\",\"maxAttempts\":2,\"public\":true,"
            printf "\"sticky\":false,\"resumable\":false}"
        }
        printf "]}"
    }' > "$work/document"
}

# until it is acknowledged, 10 s at most
put_document() # put_document VERSION RANDOM_BYTES
{
    local try status=
    document "$1" "$2"
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
record_bytes() # sent by all nodes
{
    local n
    for n in 1 2 3; do
        curl -s -m 5 "http://127.0.0.$n:24814/metrics"
    done | awk '/link_record_bytes_total/ { sum += $2 } END { print sum + 0 }'
}

status=0
put_document 1 0 || status=1
sleep 1
before=$(record_bytes)
for ((v = 2; v <= 1 + plain_changes; v++)); do
    put_document $v 0 || status=1
    sleep 0.5
done
size=$(wc -c < "$work/document")
bytes=$((($(record_bytes) - before) / plain_changes / 3))
echo "document of $size bytes: $bytes bytes for a change to a node"
if [ "$bytes" = 0 ] || [ $((bytes * PACKED_MIN)) -gt "$size" ]; then
    echo "more than 1 / $PACKED_MIN of the document"
    status=1
fi
for n in 1 2 3; do
    "$build/fake-peer" 127.0.0.$n:24800 marigold $peers &
    pids+=($!)
done
for ((v = 2 + plain_changes; v <= 1 + plain_changes + changes; v++)); do
    put_document $v $RANDOM_BYTES || status=1
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
