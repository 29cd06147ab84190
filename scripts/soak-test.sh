#!/usr/bin/env bash
# soak-test.sh BUILD [SEED...] - real nodes under seeded faults
#
# Runs build/soak once for each seed, by default for those of
# tests/soak/seeds.txt. In the environment: SECONDS_OF_FAULTS (20), NODES (9),
# DISKS (3), JOBS (3): runs at once. The logs of a run that breaks a rule are
# kept in a folder below LOGS (/tmp), whose name is printed; so is the run's
# record.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$1
shift
seeds=("$@")
if [ ${#seeds[@]} = 0 ]; then
    mapfile -t seeds < <(sed -n 's/^\([0-9][0-9]*\).*/\1/p' \
        "$root/tests/soak/seeds.txt")
fi

run_seed() { # run_seed SEED: prints the end of the record, or all of it
    local seed=$1 work kept
    work=$(mktemp -d)
    if "$build/soak" "$seed" "${SECONDS_OF_FAULTS:-20}" "${NODES:-9}" \
        "${DISKS:-3}" "$build/marigold-node" "$work" > "$work/record.txt"; then
        tail -n 3 "$work/record.txt"
        rm -rf "$work"
        return 0
    fi
    cat "$work/record.txt"
    kept=${LOGS:-/tmp}/soak-$seed-$BASHPID
    mv "$work" "$kept"
    echo "the logs are in $kept"
    return 1
}

jobs=${JOBS:-3}
status=0
printed=$(mktemp -d)
trap 'rm -rf "$printed"' EXIT
for ((i = 0; i < ${#seeds[@]}; i += jobs)); do
    pids=()
    for ((k = i; k < i + jobs && k < ${#seeds[@]}; k++)); do
        run_seed "${seeds[k]}" > "$printed/$k" &
        pids+=($!)
    done
    for k in "${!pids[@]}"; do
        wait "${pids[k]}" || status=1
        cat "$printed/$((i + k))"
    done
done
exit $status
