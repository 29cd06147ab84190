# processes.sh - sourced by tests that run nodes: a work folder and background
# processes, which end with the script
#
# Sets work, and pids, to which the script adds each process that it starts.

work=$(mktemp -d)
declare -a pids=()

cleanup()
{
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2> /dev/null || true
        wait "$pid" 2> /dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

# Prints the largest resident size of a process so far, KB; 0 if it has ended.
peak_memory_kb() # peak_memory_kb PID
{
    local kb
    kb=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$1/status" \
        2> /dev/null) || true
    echo "${kb:-0}"
}
