# lib.sh - starts and ends a small deployment; sourced by the scripts of cases,
# which set record_file
#
# Nodes are numbered from 1; node N has the address 127.0.0.(20+N) and its own
# zone. All processes that are started here are ended on exit.
set -uo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
bin=$root/review/bin
node_program=$root/target/marigold-node
trouble=${TROUBLE:-1}
work=$(mktemp -d)
declare -A node_pid=()
other_pids=()

note() # note TEXT...
{
    printf '%s %s\n' "$(date +%T.%3N)" "$*" | tee -a "$record_file"
}

end_all()
{
    local p
    for p in "${node_pid[@]}" "${other_pids[@]}"; do
        kill -KILL "$p" 2> /dev/null
    done
    wait 2> /dev/null
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$KEEP_LOGS"; fi
    rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM

cannot_run() # cannot_run WHY
{
    note "can't run: $*"
    exit 2
}

# whether no socket of this machine listens on one of 20 ports from $1 on
ports_are_free()
{
    local address state port rest
    while read -r _ address _ state rest; do
        [ "$state" = 0A ] || continue
        port=$((16#${address#*:}))
        if [ "$port" -ge "$1" ] && [ "$port" -lt $(($1 + 20)) ]; then
            return 1
        fi
    done < <(grep ' 0A ' /proc/net/tcp)
}

# sets base: the first of 20 free ports
choose_ports()
{
    local i
    for i in 1 2 3 4 5 6 7 8 9 10; do
        base=$((12000 + RANDOM % 700 * 20))
        if ports_are_free "$base"; then return; fi
    done
    cannot_run "no free ports"
}

ip_of() { echo "127.0.0.$((20 + $1))"; }
front_of() { echo "$(ip_of "$1"):$((base + 5))"; }
control_of() { echo "$(ip_of "$1"):$((base + 7))"; }
directory_of() { echo "$(ip_of "$1"):$((base + 8))"; }

# writes the settings of node $1 as the deploy file's template gives them;
# $2: bootstrap, $3: disk (yes or no), then the numbers of the seeds
settings()
{
    local n=$1 bootstrap=$2 disk=$3 dir= seeds= s
    shift 3
    [ "$disk" = yes ] && dir=$work/data-$n && mkdir -p "$dir"
    for s in "$@"; do
        seeds+="[[seed]]"$'\n'"addr = \"$(control_of "$s")\""$'\n'
    done
    sed -e '/^{{#seeds}}/,/^{{\/seeds}}/d' \
        -e "s|{{nodeName.json}}|\"node-$n\"|" \
        -e "s|{{ip.json}}|\"$(ip_of "$n")\"|" \
        -e "s|{{zone.json}}|\"zone-$n\"|" \
        -e 's|{{region.json}}|"region"|' \
        -e "s|{{dataDir}}|$dir|" \
        -e "s|{{bootstrap}}|$bootstrap|" \
        -e 's|{{faultTolerance.machines}}|1|' \
        -e 's|{{faultTolerance.zones}}|0|' \
        -e 's|{{faultTolerance.regions}}|0|' \
        -e "s|{{portRange.0}}|$base|" \
        -e "s|{{listen.front}}|$(front_of "$n")|" \
        -e "s|{{listen.readiness}}|$(ip_of "$n"):$((base + 6))|" \
        -e "s|{{listen.control}}|$(control_of "$n")|" \
        -e "s|{{listen.directory}}|$(directory_of "$n")|" \
        -e "s|{{ip}}:9464|$(ip_of "$n"):$((base + 9))|" \
        -e 's|{{bounds.retryBudgetRatio}}|0.2|' \
        -e 's|{{bounds.retrySlack}}|58|' \
        -e 's|{{bounds.budgetWindowS}}|10|' \
        -e 's|{{bounds.quotaOverage}}|0.1|' \
        -e 's|{{bounds.quotaSlack}}|72000|' \
        -e 's|{{bounds.quotaWindowS}}|8|' \
        -e 's|{{bounds.graceS}}|8.0|' \
        -e 's|{{bounds.ackMs}}|4000|' \
        "$root/deploy/settings.toml.in" > "$work/node-$n.toml"
    printf '%s' "$seeds" >> "$work/node-$n.toml"
}

start_node() # start_node N
{
    cd "$root" || exit 2
    MARIGOLDGW_NODE_FILE=$work/node-$1.toml target/marigold-node \
        >> "$work/node-$1.log" 2>&1 &
    node_pid[$1]=$!
    note "node $1 is started"
}

kill_nodes() # kill_nodes N...: SIGKILL for all at once
{
    local n pids=()
    for n in "$@"; do pids+=("${node_pid[$n]}"); done
    kill -KILL "${pids[@]}"
    for n in "$@"; do
        wait "${node_pid[$n]}" 2> /dev/null
        unset "node_pid[$n]"
        note "node $n is killed"
    done
}

# sends configuration text $1 to the nodes $2... in turn until it is accepted;
# fails if that takes longer than ackMs
put_config()
{
    local text=$1 n reply end=$((SECONDS + 5))
    local version=${text#*:}
    version=${version%%,*}
    shift
    while [ "$SECONDS" -lt "$end" ]; do
        for n in "$@"; do
            note "configuration $version is sent to node $n"
            reply=$("$bin/http" "$(control_of "$n")" POST \
                /marigoldgw/config/replace "$text")
            case $reply in
                200*) note "node $n answers ${reply:0:3}: $version is acknowledged"; return 0 ;;
                4*) note "node $n answers $reply"; return 1 ;;
                *) note "node $n answers ${reply:0:3} (000: nothing)" ;;
            esac
        done
        sleep 0.2
    done
    note "configuration $version is not acknowledged within ackMs"
    return 1
}

# the version that node $1 reads back, "none" without a 200
read_config()
{
    local reply
    reply=$(TIMEOUT_MS=2500 "$bin/http" "$(control_of "$1")" GET \
        /marigoldgw/config/get)
    case $reply in
        200*) sed -n 's/.*"version": *\([0-9]*\).*/\1/p' <<< "$reply" ;;
        *) echo none ;;
    esac
}

# writes the settings of nodes 1 to $1, of which 1 to $2 have a disk, with
# bootstrap $3 and the numbers of the seeds after it
settings_of_all()
{
    local n count=$1 disks=$2 bootstrap=$3
    shift 3
    for n in $(seq "$count"); do
        if [ "$n" -le "$disks" ]; then
            settings "$n" "$bootstrap" yes "$@"
        else
            settings "$n" "$bootstrap" no "$@"
        fi
    done
}

# starts nodes 1 to $1 for the first time, as settings_of_all() has it, sends
# them configuration $2, and writes the settings for their later starts; then
# the number of disks and the numbers of the seeds
start_system()
{
    local n count=$1 config=$2 disks=$3
    shift 3
    settings_of_all "$count" "$disks" true "$@"
    for n in $(seq "$count"); do start_node "$n"; done
    sleep 2
    # shellcheck disable=SC2046
    put_config "$config" $(seq "$count") || cannot_run "no configuration"
    settings_of_all "$count" "$disks" false "$@"
}

# configuration $1 with one route of idempotent requests
config_of_reads()
{
    echo "{\"version\":$1,\"routes\":[$(route /read/ reads idempotent 2000 2)],\"services\":[$(service reads)],$limits}"
}

# a route with prefix $1 to service $2, of type $3, with timeoutMs $4 and
# maxAttempts $5; goalMs $6, 200 if it isn't given
route()
{
    echo "{\"name\":\"route-of-$2\",\"hostname\":\"site.example\",\"pathPrefix\":\"$1\",\"routeType\":\"$3\",\"timeoutMs\":$4,\"goalMs\":${6:-200},\"priority\":0,\"service\":\"$2\",\"maxAttempts\":$5}"
}

service() { echo "{\"name\":\"$1\",\"healthPath\":\"/health\",\"maxConns\":110}"; }

limits='"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}'
tenants='"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]'

# whether version $1 comes back: the operator reads it back at nodes 1 to $2 for
# up to twice contactMs, and sends version $1 + 1
read_back()
{
    local n version found=none next=no end=$((SECONDS + 6))
    while [ "$SECONDS" -lt "$end" ] && [ "$found" != "$1" ]; do
        for n in $(seq "$2"); do
            version=$(read_config "$n")
            note "node $n reads back: $version"
            [ "$version" = none ] || found=$version
        done
    done
    # shellcheck disable=SC2046
    put_config "$(config_of_reads $(($1 + 1)))" $(seq "$2") && next=yes
    note "acknowledged: $1; read back: $found; next change acknowledged: $next"
    [ "$found" = "$1" ]
}

: > "$record_file"
[ -x "$node_program" ] || cannot_run "the deploy file's build is missing"
[ -x "$bin/http" ] || cannot_run "review/build.sh has not run"
choose_ports
