# cluster.sh - starts a small deployment on loopback, for demo and tests
#
# To be sourced. The caller sets BUILD (directory of the programs) and WORK (an
# empty directory). All processes are children of the script and are signalled
# by process id.
#   ports: control N: link 71N0, HTTP 72N0; entry N: link 7300+5N, HTTP 7400+5N;
#   target N: 7500+N; relays: 7600 and up. BASE is added to each.

BASE=${BASE:-0}
CONTROLS=${CONTROLS:-3}
ENTRIES=${ENTRIES:-3}
TTL_MS=${TTL_MS:-1000}
SNAPSHOT=${SNAPSHOT:-4096}
HOST=127.0.0.1
PLATFORM_SHA=24c16ed59e7d735bd562d0d9876b2f67c66b7dd0a6c291919863bfbe7a1bef5e
MEMBERS_SHA=2e4f59c7e450806118da9ac1a8a566a05def7f06c52038bc4509e9b7772be3c4
declare -A PID

control_link() { echo "$HOST:$((7100 + BASE + 10 * $1))"; }
control_http() { echo "$HOST:$((7200 + BASE + 10 * $1))"; }
entry_link() { echo "$HOST:$((7300 + BASE + 5 * $1))"; }
entry_http() { echo "$HOST:$((7400 + BASE + 5 * $1))"; }
target_addr() { echo "$HOST:$((7500 + BASE + $1))"; }

all_controls() {
    local i list=""
    for i in $(seq "$CONTROLS"); do list="$list,$(control_http "$i")"; done
    echo "${list#,}"
}

all_entries() {
    local i list=""
    for i in $(seq "$ENTRIES"); do list="$list,$(entry_http "$i")"; done
    echo "${list#,}"
}

# With RELAYS=1 the link traffic of each control N passes through a relay of
# its own in both directions, so that the relay can isolate it.
RELAYS=${RELAYS:-0}
relay_inbound() { echo "$HOST:$((7600 + BASE + $1))"; }
relay_outbound() { echo "$HOST:$((7600 + BASE + 10 * $1 + $2))"; }

# control_link_from NODE N: link address of control N as used by NODE
control_link_from() {
    if [ "$RELAYS" = 0 ] || [ "$1" = "control-$2" ]; then
        control_link "$2"
    elif [ "${1#control-}" != "$1" ]; then
        relay_outbound "${1#control-}" "$2"
    else
        relay_inbound "$2"
    fi
}

start_relay() {
    local n=$1 i args=""
    args="$(relay_inbound "$n") $(control_link "$n")"
    for i in $(seq "$CONTROLS"); do
        [ "$i" = "$n" ] ||
            args="$args $(relay_outbound "$n" "$i") $(relay_inbound "$i")"
    done
    # shellcheck disable=SC2086
    "$BUILD/fake-relay" $args >> "$WORK/relay-$n.log" 2>&1 &
    PID[relay-$n]=$!
}

# write_settings FILE NODE N LINK HTTP; N selects the failure domain
write_settings() {
    local file=$1 node=$2 n=$3 link=$4 http=$5 i
    cat > "$file" <<EOF
node = "$node"
domain = "domain-$(((n - 1) % 3 + 1))"
link_addr = "$link"
http_addr = "$http"
link_key = "loopback-link-key"
target_key = "loopback-target-key"
entries_ttl_ms = $TTL_MS
data_dir = "$WORK/data-$node"
snapshot_entries = $SNAPSHOT
EOF
    for i in $(seq "$CONTROLS"); do
        cat >> "$file" <<EOF
[[control]]
node = "control-$i"
link_addr = "$(control_link_from "$node" "$i")"
http_addr = "$(control_http "$i")"
EOF
    done
    cat >> "$file" <<EOF
[[owner]]
name = "platform"
key_sha256 = "$PLATFORM_SHA"
[[owner]]
name = "members"
key_sha256 = "$MEMBERS_SHA"
EOF
}

# While the file $WORK/stall exists, controls that were started with STALLS=1
# wait in each file sync.
STALLS=${STALLS:-0}

start_control() {
    local preload=""
    [ "$STALLS" = 0 ] || preload=$(realpath "$BUILD/stall.so")
    LD_PRELOAD=$preload STALL_FILE=$WORK/stall \
        "$BUILD/marigold-control" --settings "$WORK/control-$1.toml" \
        >> "$WORK/control-$1.log" 2>&1 &
    PID[control-$1]=$!
}

init_controls() {
    local i
    [ "$RELAYS" = 0 ] ||
        for i in $(seq "$CONTROLS"); do start_relay "$i"; done
    for i in $(seq "$CONTROLS"); do
        write_settings "$WORK/control-$i.toml" "control-$i" "$i" \
            "$(control_link "$i")" "$(control_http "$i")"
        "$BUILD/marigold-control" --init --settings "$WORK/control-$i.toml"
        start_control "$i"
    done
}

start_entry() {
    write_settings "$WORK/entry-$1.toml" "entry-$1" "$1" \
        "$(entry_link "$1")" "$(entry_http "$1")"
    "$BUILD/marigold-entry" --settings "$WORK/entry-$1.toml" \
        >> "$WORK/entry-$1.log" 2>&1 &
    PID[entry-$1]=$!
}

# start_target N POOL [options]
start_target() {
    local n=$1 pool=$2
    shift 2
    "$BUILD/fake-engine" --name "target-$n" --pool "$pool" \
        --addr "$(target_addr "$n")" --entries "$(all_entries)" \
        --key loopback-target-key --journal "$WORK/journal-$n" "$@" \
        >> "$WORK/target-$n.log" 2>&1 &
    PID[target-$n]=$!
}

start_cluster() {
    local i
    printf 'demo-owner-platform\n' > "$WORK/platform.key"
    printf 'demo-owner-members\n' > "$WORK/members.key"
    init_controls
    for i in $(seq "$ENTRIES"); do start_entry "$i"; done
}

ctl() { # ctl OWNER ARGS...
    local owner=$1
    shift
    "$BUILD/marigoldctl" --control "$(all_controls)" \
        --key-file "$WORK/$owner.key" "$@"
}

# apply_document FILE: applies both owners' sections, each with its key
apply_document() {
    split_document "$1"
    ctl platform apply "$WORK/platform.toml"
    ctl members apply "$WORK/members.toml"
}

# split_document FILE: writes members.toml and platform.toml to WORK
split_document() {
    awk -v out="$WORK" '
        /^# / { next }
        /^\[(members|papers)\]/ { part = "members" }
        /^\[(platform|desk)\]/ { part = "platform" }
        part { print > (out "/" part ".toml") }' "$1"
}

# signal_process NAME SIGNAL: waits for the exit, except after STOP and CONT
signal_process() {
    kill -"$2" "${PID[$1]}" 2> /dev/null || true
    [ "$2" = STOP ] || [ "$2" = CONT ] || {
        wait "${PID[$1]}" 2> /dev/null || true
        unset "PID[$1]"
    }
}

stop_all() {
    local name
    for name in "${!PID[@]}"; do
        kill -KILL "${PID[$name]}" 2> /dev/null || true
        wait "${PID[$name]}" 2> /dev/null || true
    done
    PID=()
}

# wait_until SECONDS COMMAND...: polls until COMMAND succeeds; 1 on timeout
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

http_get() { curl -s --max-time 2 "http://$1$2"; }

entries_serving() { # entries_serving N: at least N entries report serving
    local i n=0
    for i in $(seq "$ENTRIES"); do
        http_get "$(entry_http "$i")" /status |
            grep -q '"serving": true' && n=$((n + 1))
    done
    [ "$n" -ge "$1" ]
}

targets_registered() { # targets_registered N: schedulers list at least N
    local i n=0
    for i in $(seq "$ENTRIES"); do
        n=$((n + $(http_get "$(entry_http "$i")" /status |
            grep -c '"target":')))
    done
    [ "$n" -ge "$1" ]
}
