#!/usr/bin/env bash
# Replicas crash, others don't answer, and entries pass orders on. Exit code: 0
# the rules held, 1 one was broken, 2 the case could not run. TROUBLE=0: none
# crashes, all answer.
# What was sent, answered and run is written to record.txt beside it.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../lib-2.sh"
start_nodes
TROUBLE=${TROUBLE:-1} "$standins/relay_site" "$here"
