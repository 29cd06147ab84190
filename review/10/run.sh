#!/usr/bin/env bash
# Sound replicas number the events of a stream by tokens. Exit code: 0 the rule
# held, 1 it was broken, 2 the case could not run. TROUBLE=0: the ids are 1, 2,
# 3 and so on.
# What was sent, answered and run is written to record.txt beside it.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../lib-2.sh"
start_nodes
TROUBLE=${TROUBLE:-1} "$standins/ids_site" "$here"
