#!/usr/bin/env bash
# Runs three linked daemons under failure and judges them by the upstreams' start log:
#   scripts/fleet-tests.sh [TEST...]
# Needs a release build. Every job has one task; each test submits its ids at all three VMs and
# fails if a task started twice, an answer contradicts the log, or the test had no subject. To see
# the checks fail: DOCTOR=double-start repeats a line of the start log before it is judged.
# Prints one line per test, the unknown answers, and a closing line `N passed, N failed`.
# Uses 50 loopback ports from $FIRST_PORT on, by default 7650.
set -uo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
source scripts/lib/processes.sh
source scripts/lib/fleet.sh
trap 'stop_all_servers; rm -rf "$work"' EXIT
port=${FIRST_PORT:-7650}
fleet_ports=("$port" $((port + 3)) $((port + 6)))
platform_port=$((port + 10))
first=$((port + 20))
jobs=20
passed=0
failed=0

begin() {
  : >"$work/starts.log"
  rm -f "$work"/*.answer
  echo "{ \"firstPort\": $first, \"count\": 6, \"startLog\": \"$work/starts.log\" }" >"$work/upstreams.json"
  start_server upstreams "$upstream_standin" --settings "$work/upstreams.json"
  start_server platform "$platform_standin" --port $platform_port
  wait_for_url "http://127.0.0.1:$first/faults" upstreams || return 1
  wait_for_url "http://127.0.0.1:$platform_port/vms" platform || return 1
  start_fleet $first 2
}

# Waits until each VM has read a holder of every key range.
wait_for_key_ranges() {
  local n it known
  for ((n = 0; n < 200; n++)); do
    known=0
    for it in "${fleet_ports[@]}"; do
      curl -sf --max-time 1 "http://127.0.0.1:$((it + 1))/v1/status" | grep -qF '"keyRangesKnown":1024' \
        && known=$((known + 1))
    done
    [ "$known" -eq ${#fleet_ports[@]} ] && return 0
    sleep 0.1
  done
  echo "only $known of ${#fleet_ports[@]} VMs know all key ranges"
  return 1
}

# submit ID VM ROUND: in the background; the answer goes to a file of its own.
submit() {
  local body="{\"id\": \"$1\", \"deadlineMs\": 8000, \"tasks\": [{\"payload\": \"p\", \"estimateMs\": ${ESTIMATE_MS:-100}}]}"
  curl -s --max-time 20 -o "$work/${1##*/}.vm$2.$3.answer" --data-binary "$body" \
    "http://127.0.0.1:${fleet_ports[$2]}/v1/jobs" &
  clients+=($!)
}

# submit_all PREFIX ROUND VM...
submit_all() {
  local prefix=$1 round=$2 n vm
  shift 2
  for ((n = 0; n < jobs; n++)); do
    for vm in "$@"; do
      submit "$prefix$n" "$vm" "$round"
    done
  done
}

clients=()
wait_for_clients() {
  local it
  for it in "${clients[@]}"; do
    wait "$it" || true
  done
  clients=()
}

answers() { cat "$work"/*.answer 2>/dev/null | grep -c "\"outcome\":\"$1\""; }

# No task twice; no start under an id that an answer calls not-run; a complete job has a start.
judge() {
  local it id
  [ "${DOCTOR:-}" != double-start ] || head -1 "$work/starts.log" >>"$work/starts.log"
  [ -s "$work/starts.log" ] || { echo "no task started"; return 1; }
  it=$(doubled_starts "$work/starts.log" | head -1)
  [ -z "$it" ] || { echo "task started twice: $it"; return 1; }
  for it in $(grep -l '"outcome":"not-run"' "$work"/*.answer 2>/dev/null); do
    id=$(basename "$it" | sed 's/\.vm.*//')
    if grep -qE "(/|%2F| )$id#" "$work/starts.log"; then
      echo "$id is called not-run but started"
      return 1
    fi
  done
  for it in $(grep -l '"outcome":"complete"' "$work"/*.answer 2>/dev/null); do
    id=$(basename "$it" | sed 's/\.vm.*//')
    if ! grep -qE "(/|%2F| )$id#" "$work/starts.log"; then
      echo "$id is called complete but never started"
      return 1
    fi
  done
}

needs() {
  [ "$1" -gt 0 ] || { echo "the test had no subject: $2"; return 1; }
}

# A caller submits the same id to all VMs at the same moment.
test_home_form_at_all_vms() {
  begin || return 1
  submit_all "$(new_token "${fleet_ports[0]}")/h" 1 0 1 2
  wait_for_clients
  judge || return 1
  [ "$(answers complete)" -eq $((3 * jobs)) ] || { echo "only $(answers complete) of $((3 * jobs)) answers are complete"; return 1; }
}

test_key_form_at_all_vms() {
  begin && wait_for_key_ranges || return 1
  submit_all key 1 0 1 2
  wait_for_clients
  judge || return 1
  [ "$(answers complete)" -eq $((3 * jobs)) ] || { echo "only $(answers complete) of $((3 * jobs)) answers are complete"; return 1; }
}

# The home dies with running jobs; its ids are submitted again at the others.
test_home_killed() {
  # The same in both rounds: another body under the same id is refused as id-reused.
  local ESTIMATE_MS=400
  begin && wait_for_key_ranges || return 1
  submit_all "$(new_token "${fleet_ports[0]}")/h" 1 0
  submit_all key 1 0 1
  sleep 0.5
  stop_server daemon-0 KILL
  submit_all "$(sed -n 's/.* \(v1[^ %]*\)%2F.*/\1/p' "$work/starts.log" | head -1)/h" 2 1 2
  submit_all key 2 1 2
  wait_for_clients
  judge || return 1
  needs "$(answers unknown)" "no id of the killed home was submitted again"
}

# The home is paused while its ids are submitted at the others, and then resumes.
test_home_paused() {
  local token
  begin && wait_for_key_ranges || return 1
  token=$(new_token "${fleet_ports[0]}")
  kill -STOP "${server_pid[daemon-0]}"
  submit_all "$token/h" 1 0 1 2
  submit_all key 1 0 1 2
  sleep 4
  kill -CONT "${server_pid[daemon-0]}"
  wait_for_clients
  submit_all "$token/h" 2 1 2
  submit_all key 2 1 2
  wait_for_clients
  judge || return 1
  needs "$(answers complete)" "no job was complete"
}

# After a planned stop each id gets its answer from the successor, never unknown.
test_home_stopped_as_planned() {
  local token
  begin && wait_for_key_ranges || return 1
  token=$(new_token "${fleet_ports[0]}")
  submit_all "$token/h" 1 0
  submit_all key 1 0 1 2
  wait_for_clients
  stop_server daemon-0 TERM || { echo "the daemon's exit status is $?"; return 1; }
  submit_all "$token/h" 2 1 2
  submit_all "$token/new" 2 1 2
  submit_all key 2 1 2
  wait_for_clients
  judge || return 1
  [ "$(answers unknown)" -eq 0 ] || { echo "$(answers unknown) answers are unknown, for example $(cat "$work"/*.answer | grep -m1 unknown)"; return 1; }
  needs "$(answers not-run)" "no id was new after the stop"
}

# The platform is down: both forms go on, since leases outlast the outage.
test_platform_down() {
  begin && wait_for_key_ranges || return 1
  curl -sf --max-time 2 -X POST -d '{"down": true}' "http://127.0.0.1:$platform_port/faults" >/dev/null || return 1
  submit_all "$(new_token "${fleet_ports[0]}")/h" 1 0 1 2
  submit_all key 1 0 1 2
  wait_for_clients
  judge || return 1
  [ "$(answers complete)" -eq $((6 * jobs)) ] || { echo "only $(answers complete) of $((6 * jobs)) answers are complete"; return 1; }
}

tests=("$@")
if [ ${#tests[@]} -eq 0 ]; then
  tests=(home_form_at_all_vms key_form_at_all_vms home_killed home_paused home_stopped_as_planned platform_down)
fi
for name in "${tests[@]}"; do
  # In this shell, not a subshell, so that the servers are known when they are stopped.
  if "test_$name" >"$work/message" 2>&1; then
    passed=$((passed + 1))
    echo "$name: passed; answers: $(answers complete) complete, $(answers not-run) not-run, $(answers unknown) unknown, $(answers failed) failed"
  else
    failed=$((failed + 1))
    echo "$name: FAILED: $(tail -3 "$work/message")"
    for it in "$work"/*.answer; do
      echo "  $(basename "$it" | sed 's/^[a-z]*[0-9]*/&/; s/[0-9]*\.vm/.vm/; s/\.answer//') $(sed -n 's/.*"outcome":"\([a-z-]*\)".*"reason":"\([a-z-]*\)".*/\1 \2/p; /complete/s/.*/complete/p' "$it" | head -1)"
    done | sort | uniq -c
  fi
  stop_all_servers
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
