#!/usr/bin/env bash
# Runs real processes under failure and judges them by the upstream stand-in's start log:
#   scripts/fault-tests.sh [TEST...]
# Needs a release build. Prints one line per test and a closing line `N passed, N failed`. A test in
# which no job or no task ran fails. To see the checks fail: DOCTOR=double-start appends a start log
# line a second time and DOCTOR=no-starts empties the log before it is judged (every test must fail);
# DOCTOR=no-fault leaves the upstreams' faults out (all upstream tests must fail); DOCTOR=late-start
# adds a start to the log of the leaving upstream (upstream_leaves must fail).
# Uses 50 loopback ports from $FIRST_PORT on, by default 7600, so that two runs can share a machine.
set -uo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
source scripts/lib/processes.sh
trap 'stop_all_servers; rm -rf "$work"' EXIT
port=${FIRST_PORT:-7600}
first=$((port + 10))
count=12
load_pid=0
passed=0
failed=0

# write_scenario LENGTH_MS EXTRA_MEMBERS
write_scenario() {
  cat >"$work/scenario.json" <<EOF
{ "seed": 31, "lengthMs": $1, "entries": [{"port": $port}], "jobsPerSecond": 25,
  "tasksPerJob": {"min": 1, "max": 20}, "estimateMs": {"min": 50, "max": 400}, "deadlineMs": 6000,
  "resubmitShare": 0.2, "resubmitAfterMs": 150, $2
  "upstreams": {"firstPort": $first, "count": $count, "slots": 8,
                "runTime": {"jitter": 0.3, "speedSpread": 4.0, "seed": 1}} }
EOF
}

start_daemon() {
  start_server daemon "$rattandockd" --settings "$work/daemon.json"
  wait_for_url "http://127.0.0.1:$((port + 1))/readyz" daemon
}

# begin LENGTH_MS EXTRA_MEMBERS: fresh servers and log; the load runs in the background.
begin() {
  : >"$work/starts.log"
  write_scenario "$1" "$2"
  "$rattandock_load" --print-upstream-settings "$work/scenario.json" >"$work/upstreams.json" || return 1
  write_daemon_settings "$work/daemon.json" $port $first $count
  start_server upstreams "$upstream_standin" --settings "$work/upstreams.json" --start-log "$work/starts.log"
  wait_for_url "http://127.0.0.1:$first/faults" upstreams || return 1
  start_daemon || return 1
  # The log is judged after it may have been doctored, so the tool's own reading comes second.
  start_server load "$rattandock_load" "$work/scenario.json" --start-log "$work/starts.log" --jobs "$work/jobs.jsonl"
  load_pid=${server_pid[load]}
  sleep 2
}

# finish: waits for the load and judges it; prints what is wrong and returns 1.
finish() {
  local status=0 task
  unset "server_pid[load]"
  wait "$load_pid" || status=$?
  case ${DOCTOR:-} in
    double-start) head -1 "$work/starts.log" >>"$work/starts.log" ;;
    no-starts) : >"$work/starts.log" ;;
  esac
  if [ "$status" -ne 0 ]; then
    grep -m1 'violation:' "$work/load.log" || tail -1 "$work/load.log"
    return 1
  fi
  if [ ! -s "$work/starts.log" ]; then
    echo "no task started"
    return 1
  fi
  task=$(doubled_starts "$work/starts.log" | head -1)
  if [ -n "$task" ]; then
    echo "task started twice: $task"
    return 1
  fi
}

outcomes() { grep -c "\"outcome\":\"$1\"" "$work/jobs.jsonl"; }
reasons() { grep -c "\"reason\":\"$1\"" "$work/jobs.jsonl"; }
faults() {
  [ "${DOCTOR:-}" != no-fault ] || return 0
  curl -sf --max-time 2 -X POST -d "$2" "http://127.0.0.1:$((first + $1))/faults"
}

# needs COUNT WHAT: the subject of a test; fails if there is none.
needs() {
  [ "$1" -gt 0 ] || { echo "the test had no subject: $2"; return 1; }
}

# The daemon loses its records; every id is submitted again to its successor.
test_daemon_killed() {
  begin 4000 '"resubmitAll": true, "lostAnswersExpected": true,' || return 1
  stop_server daemon KILL
  start_daemon || return 1
  finish || return 1
  needs "$(outcomes unknown)" "no id of the killed daemon was submitted again" || return 1
}

# A paused daemon resumes with attempts and submissions that have waited for it.
test_daemon_paused() {
  begin 5000 '"resubmitAll": true,' || return 1
  kill -STOP "${server_pid[daemon]}"
  sleep 2
  kill -CONT "${server_pid[daemon]}"
  finish || return 1
  needs "$(outcomes complete)" "no job was complete"
}

# Each job that a stopping daemon accepted gets its answer. Later submissions find no listener.
test_daemon_stopped_as_planned() {
  local status=0 lost
  begin 4000 '"lostAnswersExpected": true,' || return 1
  stop_server daemon TERM || status=$?
  finish || return 1
  if [ "$status" -ne 0 ]; then
    echo "the daemon's exit status is $status"
    return 1
  fi
  lost=$(outcomes lost)
  if [ "$lost" -gt 0 ]; then
    echo "$lost submissions got no answer, for example $(grep -m1 '"outcome":"lost"' "$work/jobs.jsonl")"
    return 1
  fi
  needs "$(outcomes complete)" "no job was complete" || return 1
  needs "$(outcomes not-connected)" "no submission came after the stop"
}

test_upstream_resets() {
  begin 4000 "" || return 1
  faults 0 '{"reset": true}' >/dev/null || return 1
  faults 1 '{"reset": true}' >/dev/null || return 1
  finish || return 1
  needs "$(reasons connection-lost)" "no job met a reset"
}

test_upstream_hangs() {
  begin 4000 "" || return 1
  faults 0 '{"hang": true}' >/dev/null || return 1
  finish || return 1
  needs "$(outcomes failed)" "no job met a hang"
}

test_upstream_echoes_another_attempt() {
  begin 4000 "" || return 1
  faults 0 '{"wrongEcho": true}' >/dev/null || return 1
  finish || return 1
  needs "$(reasons crossed-reply)" "no job met a crossed reply"
}

# No start later than 3 s after the first reply with the sign.
test_upstream_leaves() {
  local shown late
  begin 8000 "" || return 1
  faults 0 '{"leaving": true}' >/dev/null || return 1
  finish || return 1
  shown=$(curl -sf "http://127.0.0.1:$first/faults" | sed -n 's/.*"leavingShownAtUs":\([0-9]*\).*/\1/p')
  needs "${shown:-0}" "no reply had the sign" || return 1
  if [ "${DOCTOR:-}" = late-start ]; then
    echo "$((shown + 3000001)) 127.0.0.1:$first doctored#0 1" >>"$work/starts.log"
  fi
  needs "$(awk -v limit=$((shown + 3000000)) '$1 > limit' "$work/starts.log" | wc -l)" "no start anywhere after the limit" || return 1
  late=$(awk -v limit=$((shown + 3000000)) -v upstream="127.0.0.1:$first" '$1 > limit && $2 == upstream' "$work/starts.log" | wc -l)
  if [ "$late" -gt 0 ]; then
    echo "$late starts later than 3 s after the first sign"
    return 1
  fi
}

# The home form needs no platform.
test_platform_down() {
  start_server platform "$platform_standin" --port $((port + 5))
  wait_for_url "http://127.0.0.1:$((port + 5))/vms" platform || return 1
  begin 4000 "" || return 1
  curl -sf --max-time 2 -X POST -d '{"down": true}' "http://127.0.0.1:$((port + 5))/faults" >/dev/null || return 1
  if curl -s -o /dev/null --max-time 2 "http://127.0.0.1:$((port + 5))/vms"; then
    echo "the platform answers although it is down"
    return 1
  fi
  finish || return 1
  needs "$(outcomes complete)" "no job was complete"
}

run_test() {
  local begin=$SECONDS message status=0
  "test_$1" >"$work/message" 2>&1 || status=$?
  message=$(tr '\n' ' ' <"$work/message")
  stop_all_servers
  rm -f "$work"/*.log "$work/jobs.jsonl"
  if [ "$status" -eq 0 ]; then
    passed=$((passed + 1))
    echo "passed: $1 ($((SECONDS - begin)) s)"
  else
    failed=$((failed + 1))
    echo "FAILED: $1 ($((SECONDS - begin)) s): ${message:-no message}"
  fi
}

tests=("$@")
if [ ${#tests[@]} -eq 0 ]; then
  tests=(daemon_killed daemon_paused daemon_stopped_as_planned upstream_resets upstream_hangs
    upstream_echoes_another_attempt upstream_leaves platform_down)
fi
for name in "${tests[@]}"; do
  if ! declare -F "test_$name" >/dev/null; then
    echo "fault-tests: no test $name" >&2
    exit 2
  fi
  run_test "$name"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
