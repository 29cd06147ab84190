#!/usr/bin/env bash
# soak-test.sh BUILD [SEED...] - real nodes under seeded faults
#
# Runs build/soak once for each seed, by default for those of
# tests/soak/seeds.txt. In the environment: SECONDS_OF_FAULTS (20), NODES (9),
# DISKS (3). The logs of a run that breaks a rule are kept in a folder below
# LOGS (/tmp), whose name is printed; so is the run's record.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$1
shift
seeds=("$@")
if [ ${#seeds[@]} = 0 ]; then
    mapfile -t seeds < <(sed -n 's/^\([0-9][0-9]*\).*/\1/p' \
        "$root/tests/soak/seeds.txt")
fi
status=0
for seed in "${seeds[@]}"; do
    work=$(mktemp -d)
    if "$build/soak" "$seed" "${SECONDS_OF_FAULTS:-20}" "${NODES:-9}" \
        "${DISKS:-3}" "$build/marigold-node" "$work" > "$work/record.txt"; then
        tail -n 3 "$work/record.txt"
        rm -rf "$work"
    else
        status=1
        cat "$work/record.txt"
        kept=${LOGS:-/tmp}/soak-$seed-$$
        mv "$work" "$kept"
        echo "the logs are in $kept"
    fi
done
exit $status
