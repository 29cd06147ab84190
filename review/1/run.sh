#!/usr/bin/env bash
# Replicas turn orders away as full while one of them sends some of its answers
# a second time, late. An order that is answered 503 must not have run.
#
# TROUBLE=0: the replicas turn nothing away and send no second answers.
# what was sent, answered and run
record_file=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

CONNECTIONS=24
ORDERS_PER_S=600
SECONDS_OF_ORDERS=55
# doses of the pages: srv_grey x 0.45 of the requests for 4 s, all replicas;
# garble "extra late" x 0.03 of the answers, at most 0.6 of the replicas
shed=0.45
late=0.03
[ "$trouble" = 0 ] && shed=0 late=0

config="{\"version\":7,\"routes\":[$(route /order/ orders non_idempotent 1200 1 150)],\"services\":[$(service orders)],$limits,$tenants}"

start_system 3 "$config" 3 1 2 3
note "orders are placed"
BASE_PORT=$((base + 10)) "$bin/orders" $CONNECTIONS $ORDERS_PER_S \
    $SECONDS_OF_ORDERS $shed $late "$(front_of 1)" "$(front_of 2)" \
    "$(front_of 3)" -- "$(control_of 1)" "$(control_of 2)" "$(control_of 3)" \
    >> "$record_file" 2>&1
status=$?
grep ' orders ' "$record_file"
case $status in
    0) note "held" ;;
    1) note "BROKEN: a refused order has run" ;;
    *) cannot_run "the stand-in ended with $status" ;;
esac
exit "$status"
