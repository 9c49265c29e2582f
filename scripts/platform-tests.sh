#!/usr/bin/env bash
# Runs three daemons of a fleet as real processes around the platform's stand-in, under failure:
#   scripts/platform-tests.sh [SEED]
# Needs a release build. The stand-in's runners count double runs of a task, starts over their room,
# and starts in a zone more than 5 s after the request of its evacuation. Its callers send a job again
# 1,300 ms after an answer that says it may have run. A test fails on any of these, or if too few jobs
# complete. Prints one line per test and a closing line `N passed, N failed`. Uses 100 loopback
# ports from $FIRST_PORT on, by default 7700.
set -uo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
source scripts/lib/processes.sh
trap 'stop_all_servers; rm -rf "$work"' EXIT
seed=${1:-1}
fleet_standin=$build/src/standins/fleet/fleet-standin
store_port=${FIRST_PORT:-7700}
first_vm_port=$((store_port + 80))
passed=0
failed=0

# start_vm N: zone a has VMs 0 and 1, zone b has VM 2.
start_vm() {
  local port=$((first_vm_port + 3 * $1)) zone=a
  [ "$1" -eq 2 ] && zone=b
  cat >"$work/vm$1.json" <<SETTINGS
{ "vm": "vm-$1", "zone": "$zone", "callerAddress": "127.0.0.1:$port",
  "operatorAddress": "127.0.0.1:$((port + 1))", "peerAddress": "127.0.0.1:$((port + 2))",
  "fleet": { "storeAddress": "127.0.0.1:$store_port", "weight": 0.25, "stopLimitMs": 2500,
             "evacuationLimitMs": 5000 } }
SETTINGS
  start_server "vm$1" "$rattandockd" --settings "$work/vm$1.json"
}

# Each disturbance runs beside the callers.
nothing() { :; }
kill_and_restart() { sleep 4; stop_server vm0 KILL; sleep 1; start_vm 0; }
pause_and_wake() {
  sleep 4
  kill -STOP "${server_pid[vm1]}"
  sleep 3
  kill -CONT "${server_pid[vm1]}"
}
restart_in_turn() {
  local n
  for n in 0 1 2; do
    sleep 2
    stop_server "vm$n" TERM
    start_vm "$n"
  done
}
kill_a_paused_one() {
  sleep 3
  kill -STOP "${server_pid[vm2]}"
  sleep 1
  stop_server vm0 KILL
  start_vm 0
  sleep 1
  kill -CONT "${server_pid[vm2]}"
}

# check NAME LEAST_SHARE DISTURBANCE STANDIN_ARGUMENT...: at least that many percent complete.
check() {
  local name=$1 least=$2 disturbance=$3 n status=0
  shift 3
  for n in 0 1 2; do start_vm "$n"; done
  local ports=$first_vm_port,$((first_vm_port + 3)),$((first_vm_port + 6))
  "$fleet_standin" --first-port $store_port --zones a,b --callers-to $ports --jobs-per-s 20 \
    --seconds 10 --seed "$seed" --warm-up 3 "$@" >"$work/$name.json" 2>"$work/$name.err" &
  local world=$!
  "$disturbance"
  wait "$world" || status=$?
  local result
  result=$(cat "$work/$name.json")
  if [ "$status" -eq 0 ] && python3 - "$least" "$result" <<'JUDGE'; then
import json, sys
least, seen = float(sys.argv[1]), json.loads(sys.argv[2])
answered = seen["completed"] + seen["failed"] + seen["refused"] + seen["brokenOff"]
enough = seen["sent"] > 50 and seen["completed"] * 100 >= least * seen["sent"]
sys.exit(0 if enough and answered == seen["sent"] else 1)
JUDGE
    passed=$((passed + 1))
    echo "$name: passed $result"
  else
    failed=$((failed + 1))
    echo "$name: FAILED $result"
    tail -5 "$work/$name.err" "$work"/vm*.log
  fi
  stop_all_servers
  rm -f "$work"/vm*.log
}

check calm 90 nothing
check lost-and-late-orders 50 nothing --answer-lost 0.03 --late 0.03
check store-down 90 nothing --store-down 4
check kill-and-restart 50 kill_and_restart
check pause-and-wake 50 pause_and_wake
check restart-in-turn 50 restart_in_turn
check evacuation 60 nothing --evacuate a --seconds 16
check evacuation-and-a-pause 40 pause_and_wake --evacuate a --seconds 16
check evacuation-and-a-kill 40 kill_and_restart --evacuate b --seconds 16
check evacuation-of-all-and-back 20 nothing --evacuate a,b --evacuate-for 7 --seconds 16
check kill-beside-a-pause 30 kill_a_paused_one --answer-lost 0.02

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
