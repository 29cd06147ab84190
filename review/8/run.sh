#!/usr/bin/env bash
# A machine of the core is replaced as planned; then another one loses its disk.
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
# TROUBLE=0: no disk is lost. LATER=S: the disk is lost S seconds after the end
# of the replaced machine (default 1).
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../lib-2.sh"
export RECORD_APPEND=1
rm -f "$here/record.txt"
operator() # operator NODES COMMAND...
{
    NODES=$1 "$standins/config_site" "$here" "${@:2}"
}
note()
{
    printf '        %s\n' "$*" >> "$here/record.txt"
}

start_nodes
operator "127.0.0.1 127.0.0.2 127.0.0.3" put 7 ||
    give_up "the first configuration isn't acknowledged"
sleep 5
note "node 4 starts, with an empty disk, as the successor of node 3"
start_node 4 false
sleep 5
note "node 3 gets SIGTERM"
kill -TERM "${pids[3]}"
wait "${pids[3]}"
note "node 3 has ended with $? and is removed"
unset "pids[3]"
operator "127.0.0.1 127.0.0.2" put 8 ||
    give_up "version 8 isn't acknowledged"
note "version 8 is acknowledged"
sleep "${LATER:-1}"
if [ "${TROUBLE:-1}" != 0 ]; then
    note "node 2 loses its disk"
    kill -KILL "${pids[2]}"
    wait "${pids[2]}" 2> /dev/null
    rm -rf "${work:?}/data-2"
    sleep 2
    start_node 2 false
    note "node 2 is back, with an empty disk"
fi
sleep 12
operator "127.0.0.1 127.0.0.2 127.0.0.4" read 8 30
status=$?
tail -n 1 "$here/record.txt"
if [ "$status" = 1 ]; then
    operator "127.0.0.1 127.0.0.2 127.0.0.4" put 9
    note "version 9: $([ $? = 0 ] || echo not) acknowledged within 20 s"
fi
[ "$status" != 1 ] || note "BROKEN LOST"
exit "$status"
