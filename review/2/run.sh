#!/usr/bin/env bash
# The seeds of the first start are machines without a disk. All machines without
# a disk are killed at the same moment and start again. What was acknowledged
# must still be there.
#
# Nodes 1 to 3 have a disk, 4 to 6 have none; all serve control. TROUBLE=0: no
# kill. SEEDS=disks: the same kill when the seeds are nodes 1 to 3.
# what was sent, answered and run
record_file=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

CONTACT_S=3
RECOVER_S=12
DOWN_S=2
seeds="4 5 6"
[ "${SEEDS:-others}" = disks ] && seeds="1 2 3"

# shellcheck disable=SC2086
start_system 6 "$(config_of_reads 7)" 3 $seeds
sleep 6
put_config "$(config_of_reads 8)" 1 2 3 4 5 6 ||
    cannot_run "no second configuration"
sleep 4
if [ "$trouble" != 0 ]; then
    kill_nodes 4 5 6
    sleep $DOWN_S
    for n in 4 5 6; do start_node $n; done
fi
sleep $((RECOVER_S + CONTACT_S))
if ! read_back 8 6; then
    note "BROKEN: the acknowledged configuration doesn't come back"
    exit 1
fi
note "held"
