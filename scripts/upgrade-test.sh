#!/usr/bin/env bash
# upgrade-test.sh BUILD [SEED...] - nodes of two builds side by side
#
# Builds the commit that deploy/system.toml names as production from the history,
# and soaks nodes of both builds (build/soak): each start draws one, so that
# nodes go forth and back, under load, with kills, stops, changes of the
# configuration and lost disks. By hand; without the history it fails.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$(realpath "$1")
shift
seeds=("$@")
[ ${#seeds[@]} -gt 0 ] || seeds=(31 32 33)
commit=$(sed -n 's/^production = "\([0-9a-f]*\)".*/\1/p' "$root/deploy/system.toml")
if ! git -C "$root" cat-file -e "$commit^{commit}" 2> /dev/null; then
    echo "the history has no commit $commit: not run" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git -C "$root" archive "$commit" | tar -x -C "$work"
make -s -j"$(nproc)" -C "$work" BUILD=target target/marigold-node > /dev/null
OTHER_PROGRAM=$work/target/marigold-node SECONDS_OF_FAULTS=${SECONDS_OF_FAULTS:-40} \
    "$root/scripts/soak-test.sh" "$build" "${seeds[@]}"
