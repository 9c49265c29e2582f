#!/usr/bin/env bash
# Measures what one rattandockd costs per task, and prints the figures as Markdown:
#   scripts/measure-overhead.sh [SECONDS] [DAEMON_JOBS_PER_SECOND]
# Needs a release build. Each run sends the same tasks through the daemon and directly to the same
# stand-in, so that the load of the machine affects both. Uses loopback ports 7500 to 7599.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-15}
rate=${2:-2000}
work=$(mktemp -d)
source scripts/lib/processes.sh
trap 'stop_all_servers; rm -rf "$work"' EXIT
ulimit -n "$(ulimit -Hn)"

# write_scenario FILE JOBS_PER_SECOND MAX_TASKS DIRECT_SHARE IDLE_CONNECTIONS
# The stand-in has more slots than the daemon uses, so that direct tasks never take the daemon's.
write_scenario() {
  cat >"$1" <<EOF
{ "seed": 21, "lengthMs": $((seconds * 1000)), "entries": [{"port": 7500}],
  "jobsPerSecond": $2, "tasksPerJob": {"min": $3, "max": $3}, "directShare": $4,
  "estimateMs": {"min": 50, "max": 50}, "deadlineMs": 20000, "idleConnections": $5,
  "upstreams": {"firstPort": 7510, "count": 50, "slots": 64, "ioThreads": 2,
                "maxConnections": 500, "runTime": {"seed": 1}} }
EOF
}

# Processor time of the daemon in clock ticks.
daemon_ticks() { awk '{ sub(/^.*\) /, ""); print $12 + $13 }' "/proc/${server_pid[daemon]}/stat"; }
# Nanoseconds that the daemon's threads were ready but had no core, from the kernel's statistics.
daemon_wait_ns() { cat "/proc/${server_pid[daemon]}"/task/*/schedstat | awk '{ sum += $2 } END { printf "%.0f", sum }'; }
memory_kb() { awk -v key="$1:" '$1 == key { print $2 }' "/proc/${server_pid[daemon]}/status"; }
field() { awk -v name="$2" 'index($0, name) == 1 { print $NF }' "$1"; }

# run NAME: runs $work/NAME.json; the daemon's processor seconds go to $work/NAME.seconds.
run() {
  local before after wait_before wait_after
  : >"$work/starts.log"
  before=$(daemon_ticks)
  wait_before=$(daemon_wait_ns)
  "$rattandock_load" "$work/$1.json" --start-log "$work/starts.log" >"$work/$1.txt" || {
    cat "$work/$1.txt"
    return 1
  }
  after=$(daemon_ticks)
  wait_after=$(daemon_wait_ns)
  echo $((wait_after - wait_before)) >"$work/$1.wait"
  awk -v t=$((after - before)) -v hz="$(getconf CLK_TCK)" 'BEGIN { print t / hz }' >"$work/$1.seconds"
  wc -l <"$work/starts.log" >"$work/$1.starts"
}

write_scenario "$work/single.json" $((rate * 2)) 1 0.5 0
write_scenario "$work/group.json" 30 100 0 0
write_scenario "$work/held.json" 100 1 0 2000
"$rattandock_load" --print-upstream-settings "$work/single.json" >"$work/upstreams.json"
write_daemon_settings "$work/daemon.json" 7500 7510 50
start_server upstreams "$upstream_standin" --settings "$work/upstreams.json" --start-log "$work/starts.log"
wait_for_url "http://127.0.0.1:7510/faults" upstreams
start_server daemon "$rattandockd" --settings "$work/daemon.json"
wait_for_url "http://127.0.0.1:7501/readyz" daemon

idle_kb=$(memory_kb VmRSS)
run single
single_kb=$(memory_kb VmRSS)
run group
run held
held_kb=$(memory_kb VmRSS)
peak_kb=$(memory_kb VmHWM)

per_core() { awk -v n="$1" -v s="$(cat "$work/$2.seconds")" 'BEGIN { printf "%.0f", n / s }'; }
single_daemon=$(awk '$1 == "complete" { print $2 }' "$work/single.txt")

cat <<EOF
| figure | value |
| --- | --- |
| load of the machine (1 minute) at the end, cores | $(cut -d' ' -f1 /proc/loadavg) of $(nproc) |
| jobs of one task through the daemon, per second | $rate |
| response over run time through the daemon, p50, p99, ms | $(field "$work/single.txt" "one task by daemon, over run time, ms, p50"), $(field "$work/single.txt" "one task by daemon, over run time, ms, p99") |
| response over run time direct, p50, p99, ms | $(field "$work/single.txt" "one task direct, over run time, ms, p50"), $(field "$work/single.txt" "one task direct, over run time, ms, p99") |
| time a task's handling in the daemon waited for a core, mean, ms | $(awk -v n="$single_daemon" '{ printf "%.3f", $1 / n / 1e6 }' "$work/single.wait") |
| tasks per second and core of the daemon, jobs of 1 task | $(per_core "$single_daemon" single) |
| tasks per second and core of the daemon, jobs of 100 tasks | $(per_core "$(cat "$work/group.starts")" group) |
| resident memory idle, MB | $((idle_kb / 1024)) |
| resident memory after the jobs of 1 task, MB | $((single_kb / 1024)) |
| resident memory with 2,000 connections held, MB | $((held_kb / 1024)) |
| largest resident memory, MB | $((peak_kb / 1024)) |
| connections held | $(field "$work/held.txt" "idle connections held") |
EOF
