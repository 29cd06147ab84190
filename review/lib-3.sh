# lib-3.sh - sourced by the scripts of review cases 11 to 15: nodes with the
# command of the deploy file, on loopback, with the settings of a small
# deployment
#
# Sets work, a temporary folder that goes with the script, and port, the first
# of a range of free ports.

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/.." && pwd)
standins=$root/target/review-3
if [ ! -x "$root/target/marigold-node" ] || [ ! -d "$standins" ]; then
    echo "build first: the build of the deploy file, review/build-3.sh" >&2
    exit 2
fi
work=$(mktemp -d)
declare -A pids=()

cleanup()
{
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2> /dev/null || true
        wait "$pid" 2> /dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

is_free() # is_free PORT COUNT: on the first COUNT loopback addresses
{
    local n
    for n in $(seq "$2"); do
        if (exec 3<> "/dev/tcp/127.0.0.$n/$1") 2> /dev/null; then
            return 1
        fi
    done
}

# The nodes use the first 15 ports of the range, replicas some from the 100th
# on; all are below the ports of outgoing connections.
choose_port()
{
    local p
    for _ in $(seq 50); do
        port=$((20000 + RANDOM % 10000))
        for p in $(seq "$port" $((port + 14))); do
            is_free "$p" 6 || continue 2
        done
        for p in $(seq $((port + 100)) $((port + 130))); do
            is_free "$p" 1 || continue 2
        done
        return 0
    done
    exit 2
}

settings() # settings N NEW_GROUP: node N of the first three has a disk
{
    local data=
    [ "$1" -gt 3 ] || data=$work/data-$1
    cat << END
node = "node-$1"
ip = "127.0.0.$1"
domain = "z$(((($1 - 1) % 3) + 1))"
region = "r"
data_dir = "$data"
new_group = $2
faults = 1
fault_domains = 0
fault_regions = 0
link_port = $port
callers_addr = "127.0.0.$1:$((port + 10))"
ready_addr = "127.0.0.$1:$((port + 11))"
control_addr = "127.0.0.$1:$((port + 12))"
directory_addr = "127.0.0.$1:$((port + 13))"
metrics_addr = "127.0.0.$1:$((port + 14))"
retry_ratio = 0.2
retry_slack = 58
retry_window_s = 10
quota_overage = 0.1
quota_margin = 72000
quota_window_s = 8
grace_s = 8
ack_ms = 4000
[[seed]]
addr = "127.0.0.1:$((port + 12))"
[[seed]]
addr = "127.0.0.2:$((port + 12))"
[[seed]]
addr = "127.0.0.3:$((port + 12))"
END
}

start_node() # start_node N
{
    MARIGOLDGW_NODE_FILE="$work/node-$1.toml" \
        "$root/target/marigold-node" >> "$work/node-$1.log" 2>&1 &
    pids[$1]=$!
}

start_nodes() # start_nodes COUNT: a new cluster
{
    local n
    choose_port
    for n in $(seq "$1"); do
        settings "$n" true > "$work/node-$n.toml"
        start_node "$n"
    done
    sleep 1
    for n in $(seq "$1"); do
        settings "$n" false > "$work/node-$n.toml"
    done
}

kill_node() # kill_node N
{
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2> /dev/null || true
}
