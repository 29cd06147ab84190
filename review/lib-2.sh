# lib-2.sh - starts and ends the nodes of a small deployment on loopback
#
# Sourced by run.sh of the cases. Exits with 2 if something can't be started.
set -u
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
node=$root/target/marigold-node
standins=$root/target/review-2
work=$(mktemp -d)
declare -A pids=()

give_up() # give_up WHY
{
    echo "cannot run: $1" >&2
    exit 2
}

clean_up()
{
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2> /dev/null
        wait "$pid" 2> /dev/null
    done
    [ -n "${KEEP:-}" ] && cp "$work"/*.log "$KEEP/" 2> /dev/null
    rm -rf "$work"
}
trap clean_up EXIT

[ -x "$node" ] || give_up "no target/marigold-node; run the build of deploy/system.toml"
[ -d "$standins" ] || give_up "no stand-ins; run review/build-2.sh"

# chooses a block of ports that nobody listens on
base=
for _ in $(seq 50); do
    try=$((20000 + RANDOM % 10000))
    free=1
    for offset in 0 1 2 10 11 12 13 14; do
        if (exec 3<> "/dev/tcp/127.0.0.1/$((try + offset))") 2> /dev/null; then
            free=
            break
        fi
    done
    if [ -n "$free" ]; then
        base=$try
        break
    fi
done
[ -n "$base" ] || give_up "no free ports"
export CLIENT_PORT=$((base + 10)) CONTROL_PORT=$((base + 12))
export NODES="127.0.0.1 127.0.0.2 127.0.0.3"

# the template of deploy/system.toml, filled in as the platform does
settings() # settings N BOOTSTRAP
{
    cat << END
node = "node-$1"
ip = "127.0.0.$1"
domain = "z$1"
region = "r"
data_dir = "$work/data-$1"
new_group = $2
faults = 1
fault_domains = 0
fault_regions = 0
link_port = $base
callers_addr = "127.0.0.$1:$CLIENT_PORT"
ready_addr = "127.0.0.$1:$((base + 11))"
control_addr = "127.0.0.$1:$CONTROL_PORT"
directory_addr = "127.0.0.$1:$((base + 13))"
metrics_addr = "127.0.0.$1:$((base + 14))"
retry_ratio = 0.2
retry_slack = 58
retry_window_s = 10
quota_overage = 0.1
quota_margin = 72000
quota_window_s = 8
grace_s = 8
ack_ms = 4000
[[seed]]
addr = "127.0.0.1:$CONTROL_PORT"
[[seed]]
addr = "127.0.0.2:$CONTROL_PORT"
[[seed]]
addr = "127.0.0.3:$CONTROL_PORT"
END
}

start_node() # start_node N BOOTSTRAP
{
    settings "$1" "$2" > "$work/node-$1.toml"
    (cd "$root" && exec env MARIGOLDGW_NODE_FILE="$work/node-$1.toml" \
        target/marigold-node) >> "$work/node-$1.log" 2>&1 &
    pids[$1]=$!
}

start_nodes()
{
    local n
    for n in 1 2 3; do
        start_node $n true
    done
}
