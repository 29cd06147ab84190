#!/usr/bin/env bash
# A bad version is rolled back, and the next one is ordered. Exit code: 0 the
# rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: the next one
# is not ordered.
# What was sent, answered and run is written to record.txt beside it.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../lib-2.sh"
start_nodes
TROUBLE=${TROUBLE:-1} "$standins/rollout_site" "$here"
