#!/usr/bin/env bash
# The replicas of a service crash at the same moment. Exit code: 0 the rule held,
# 1 it was broken, 2 the case could not run. TROUBLE=0: they do not crash.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../lib-2.sh"
start_nodes
TROUBLE=${TROUBLE:-1} "$standins/outage_site" "$here"
