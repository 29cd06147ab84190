#!/usr/bin/env bash
# A machine of the core loses its disk and comes back while the seeds are
# exchanged; long after, another one loses its disk. What was acknowledged must
# still be there.
#
# Nodes 1 to 3 have a disk, 4 and 5 have none. TROUBLE=0: no loss, no exchange.
# SEEDS=kept: the losses without the exchange.
. "$(dirname "$0")/../lib.sh"

CATCH_UP_S=4
CONTACT_S=3
RECOVER_S=12
new_seeds="2 4 5"
[ "${SEEDS:-exchanged}" = kept ] && new_seeds="1 2 3"

lose_disk() # lose_disk N SECONDS: back after that time with an empty disk
{
    kill_nodes "$1"
    rm -rf "$work/data-$1"
    sleep "$2"
    mkdir "$work/data-$1"
    start_node "$1"
    note "node $1 is back with an empty disk and bootstrap = false"
}

start_system 5 "$(config_of_reads 7)" 3 1 2 3
if [ "$trouble" != 0 ]; then
    note "the seeds in the settings are now those of nodes $new_seeds"
    # shellcheck disable=SC2086
    settings_of_all 5 3 false $new_seeds
    for n in 1 3 4 5; do kill -HUP "${node_pid[$n]}"; done
    lose_disk 2 3
fi
sleep $((CATCH_UP_S + CONTACT_S + 3))
put_config "$(config_of_reads 8)" 1 3 4 5 2 ||
    cannot_run "no second configuration"
sleep 1
if [ "$trouble" != 0 ]; then
    lose_disk 3 1
fi
sleep $((RECOVER_S + CONTACT_S))
if ! read_back 8 5; then
    note "BROKEN: the acknowledged configuration doesn't come back"
    exit 1
fi
note "held"
