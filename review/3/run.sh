#!/usr/bin/env bash
# A machine of the core loses its disk and comes back while the seeds are
# exchanged; long after, another one loses its disk. What was acknowledged must
# still be there.
#
# Nodes 1 to 3 have a disk, 4 to 8 have none. The seeds are exchanged twice, each
# time for three other machines. TROUBLE=0: no loss, no exchange. SEEDS=kept: the
# losses without the exchanges.
# what was sent, answered and run
record_file=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

CATCH_UP_S=4
CONTACT_S=3
RECOVER_S=12
NODES=8
DISKS=3

exchange_seeds() # exchange_seeds N N N
{
    local n
    [ "${SEEDS:-exchanged}" = kept ] && return
    settings_of_all $NODES $DISKS false "$@"
    for n in $(seq $NODES); do kill -HUP "${node_pid[$n]}"; done
    note "the seeds in the settings are now those of nodes $*"
}

lose_disk() # lose_disk N SECONDS: back after that time with an empty disk
{
    kill_nodes "$1"
    rm -rf "$work/data-$1"
    sleep "$2"
    mkdir "$work/data-$1"
    start_node "$1"
    note "node $1 is back with an empty disk and bootstrap = false"
}

start_system $NODES "$(config_of_reads 7)" $DISKS 1 2 3
if [ "$trouble" != 0 ]; then
    exchange_seeds 4 5 6
    sleep 2
    exchange_seeds 2 7 8
    sleep 1
    lose_disk 2 2
fi
sleep $((CATCH_UP_S + CONTACT_S + 3))
put_config "$(config_of_reads 8)" 1 3 4 5 6 7 8 2 ||
    cannot_run "no second configuration"
sleep 1
if [ "$trouble" != 0 ]; then
    lose_disk 3 1
fi
sleep $((RECOVER_S + CONTACT_S))
if ! read_back 8 $NODES; then
    note "BROKEN: the acknowledged configuration doesn't come back"
    exit 1
fi
note "held"
