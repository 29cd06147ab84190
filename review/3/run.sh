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

config() # config VERSION
{
    echo "{\"version\":$1,\"routes\":[{\"name\":\"r\",\"hostname\":\"site.example\",\"pathPrefix\":\"/read/\",\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"goalMs\":200,\"priority\":0,\"service\":\"reads\",\"maxAttempts\":2}],\"services\":[{\"name\":\"reads\",\"healthPath\":\"/health\",\"maxConns\":100}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
}

lose_disk() # lose_disk N SECONDS: back after that time with an empty disk
{
    kill_node "$1"
    rm -rf "$work/data-$1"
    sleep "$2"
    mkdir "$work/data-$1"
    start_node "$1"
    note "node $1 is back with an empty disk and bootstrap = false"
}

disk_of() { [ "$1" -le 3 ] && echo yes || echo no; }

for n in 1 2 3 4 5; do
    settings $n true "$(disk_of $n)" 1 2 3
    start_node $n
done
sleep 2
put_config "$(config 7)" 1 2 3 4 5 || cannot_run "no first configuration"
for n in 1 2 3 4 5; do settings $n false "$(disk_of $n)" 1 2 3; done

if [ "$trouble" != 0 ]; then
    note "the seeds in the settings are now those of nodes $new_seeds"
    for n in 1 2 3 4 5; do
        # shellcheck disable=SC2086
        settings $n false "$(disk_of $n)" $new_seeds
    done
    for n in 1 3 4 5; do kill -HUP "${node_pid[$n]}"; done
    lose_disk 2 3
fi
sleep $((CATCH_UP_S + CONTACT_S + 3))
put_config "$(config 8)" 1 3 4 5 2 || cannot_run "no second configuration"
sleep 1
if [ "$trouble" != 0 ]; then
    lose_disk 3 1
fi
sleep $((RECOVER_S + CONTACT_S))

# the operator reads back for longer than contactMs, at all nodes
found=none
end=$((SECONDS + 2 * CONTACT_S))
while [ "$SECONDS" -lt "$end" ] && [ "$found" != 8 ]; do
    for n in 1 2 3 4 5; do
        version=$(read_config $n)
        note "node $n reads back: $version"
        [ "$version" = none ] || found=$version
    done
done
put_config "$(config 9)" 1 2 3 4 5
next=$?
note "acknowledged: 8; read back: $found; next change acknowledged: $((1 - next))"
if [ "$found" != 8 ]; then
    note "BROKEN: the acknowledged configuration doesn't come back"
    exit 1
fi
note "held"
