#!/usr/bin/env bash
# The seeds of the first start are machines without a disk. All machines without
# a disk are killed at the same moment and start again. What was acknowledged
# must still be there.
#
# Nodes 1 to 3 have a disk, 4 to 6 have none; all serve control. TROUBLE=0: no
# kill. SEEDS=disks: the same kill when the seeds are nodes 1 to 3.
. "$(dirname "$0")/../lib.sh"

CONTACT_S=3
RECOVER_S=12
DOWN_S=2
nodes="1 2 3 4 5 6"
seeds="4 5 6"
[ "${SEEDS:-others}" = disks ] && seeds="1 2 3"

config() # config VERSION
{
    echo "{\"version\":$1,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"pathPrefix\":\"/read/\",\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"goalMs\":200,\"priority\":0,\"service\":\"reads\",\"maxAttempts\":2}],\"services\":[{\"name\":\"reads\",\"healthPath\":\"/health\",\"maxConns\":100}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
}

disk_of() { [ "$1" -le 3 ] && echo yes || echo no; }

for n in $nodes; do
    # shellcheck disable=SC2086
    settings "$n" true "$(disk_of "$n")" $seeds
    start_node "$n"
done
sleep 2
# shellcheck disable=SC2086
put_config "$(config 7)" $nodes || cannot_run "no first configuration"
for n in $nodes; do
    # shellcheck disable=SC2086
    settings "$n" false "$(disk_of "$n")" $seeds
done
sleep 6
# shellcheck disable=SC2086
put_config "$(config 8)" $nodes || cannot_run "no second configuration"
sleep 4
if [ "$trouble" != 0 ]; then
    kill -KILL "${node_pid[4]}" "${node_pid[5]}" "${node_pid[6]}"
    note "nodes 4, 5 and 6 are killed"
    sleep $DOWN_S
    for n in 4 5 6; do start_node $n; done
fi
sleep $((RECOVER_S + CONTACT_S))

# the operator reads back for longer than contactMs, at all nodes
found=none
end=$((SECONDS + 2 * CONTACT_S))
while [ "$SECONDS" -lt "$end" ] && [ "$found" != 8 ]; do
    for n in $nodes; do
        version=$(read_config "$n")
        note "node $n reads back: $version"
        [ "$version" = none ] || found=$version
    done
done
# shellcheck disable=SC2086
put_config "$(config 9)" $nodes
next=$?
note "acknowledged: 8; read back: $found; next change acknowledged: $((1 - next))"
if [ "$found" != 8 ]; then
    note "BROKEN: the acknowledged configuration doesn't come back"
    exit 1
fi
note "held"
