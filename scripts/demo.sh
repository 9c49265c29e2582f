#!/usr/bin/env bash
# Shows rattandock at work on this machine: scripts/demo.sh
# Installs what is missing, builds, starts stand-ins for the upstreams and the platform and three
# rattandockd on loopback ports 7500 to 7529, runs jobs, and stops everything that it started.
# Fails if the first job is not complete, an answer is not whole, or a task started twice.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
echo "Building (a few minutes the first time) ..."
scripts/build.sh release rattandockd upstream-standin platform-standin

work=$(mktemp -d)
source scripts/lib/processes.sh
source scripts/lib/fleet.sh
trap 'stop_all_servers; rm -rf "$work"' EXIT

fleet_ports=(7500 7520 7523)
platform_port=7505
port=${fleet_ports[0]}
first_upstream=7510
upstreams=9
per_daemon=3
start_log=$work/starts.log
problems=0

problem() {
  echo "  PROBLEM: $*"
  problems=$((problems + 1))
}

# write_job FILE ID TASKS PREFIX: a job whose task N has the payload PREFIX-N.
write_job() {
  local n separator=""
  {
    echo "{\"id\": \"$2\", \"team\": \"demo\", \"deadlineMs\": 20000, \"tasks\": ["
    for ((n = 0; n < $3; n++)); do
      echo "$separator{\"payload\": \"$4-$n\", \"estimateMs\": $((50 + n % 10 * 25))}"
      separator=","
    done
    echo "]}"
  } >"$1"
}

# expected_results TASKS PREFIX: the results member of a whole answer.
expected_results() {
  local n text=""
  for ((n = 0; n < $1; n++)); do
    text+=",\"done:$2-$n\""
  done
  echo "\"results\":[${text:1}]"
}

# submit JOB_FILE ANSWER_FILE [PORT]
submit() {
  curl -s --max-time 30 -o "$2" -H 'Content-Type: application/json' --data-binary "@$1" \
    "http://127.0.0.1:${3:-$port}/v1/jobs"
}

is_whole() { grep -qF '"outcome":"complete"' "$1" && grep -qF "$(expected_results "$2" "$3")" "$1"; }

cat >"$work/upstreams.json" <<EOF
{ // Nine upstreams with 8 slots; the slowest takes four times as long as the fastest.
  "firstPort": $first_upstream, "count": $upstreams, "startLog": "$start_log",
  "runTime": {"factor": 1.0, "jitter": 0.2, "speedSpread": 4.0, "seed": 1}
}
EOF

echo
echo "1. Starting $upstreams upstreams, the platform stand-in and three rattandockd"
start_server upstreams "$upstream_standin" --settings "$work/upstreams.json"
start_server platform "$platform_standin" --port $platform_port
wait_for_url "http://127.0.0.1:$first_upstream/faults" upstreams
wait_for_url "http://127.0.0.1:$platform_port/vms" platform
start_fleet $first_upstream $per_daemon
for it in "${fleet_ports[@]}"; do
  echo "   vm-$it: callers 127.0.0.1:$it, operators 127.0.0.1:$((it + 1)), peers 127.0.0.1:$((it + 2))"
done

echo
echo "2. One job of 200 tasks of 50 to 275 ms"
token=$(new_token $port)
write_job "$work/job.json" "$token/first" 200 order
begin=$(date +%s%N)
submit "$work/job.json" "$work/answer.json"
echo "   answered after $((($(date +%s%N) - begin) / 1000000)) ms; $(starts_of "$start_log" first#) tasks started"
if is_whole "$work/answer.json" 200 order; then
  echo "   complete: all 200 results, in the order of the tasks"
else
  problem "the job is not complete: $(head -c 300 "$work/answer.json")"
fi

echo
echo "3. The same job again, as a caller does that lost the answer"
submit "$work/job.json" "$work/again.json"
if cmp -s "$work/answer.json" "$work/again.json"; then
  echo "   the stored answer came back; still $(starts_of "$start_log" first#) starts"
else
  problem "the second answer differs from the first"
fi

echo
echo "4. The same job at another VM, which forwards it to its home"
submit "$work/job.json" "$work/forwarded.json" "${fleet_ports[1]}"
if cmp -s "$work/answer.json" "$work/forwarded.json"; then
  echo "   the stored answer came back; still $(starts_of "$start_log" first#) starts"
else
  problem "the forwarded answer differs: $(head -c 300 "$work/forwarded.json")"
fi

echo
echo "5. A burst of 40 jobs of 20 tasks at the same moment"
for ((n = 0; n < 40; n++)); do
  write_job "$work/burst-$n.json" "$token/burst-$n" 20 "b$n"
done
begin=$(date +%s%N)
for ((n = 0; n < 40; n++)); do
  submit "$work/burst-$n.json" "$work/burst-$n.answer" &
  burst_pids[n]=$!
done
for pid in "${burst_pids[@]}"; do
  wait "$pid" || problem "a caller got no answer"
done
elapsed=$((($(date +%s%N) - begin) / 1000000))
complete=0 refused=0
for ((n = 0; n < 40; n++)); do
  if is_whole "$work/burst-$n.answer" 20 "b$n"; then
    complete=$((complete + 1))
  elif grep -qF '"outcome":"not-run"' "$work/burst-$n.answer"; then
    refused=$((refused + 1))
    [ "$(starts_of "$start_log" "burst-$n#")" -eq 0 ] || problem "job burst-$n is called not-run but started"
  else
    problem "job burst-$n: $(head -c 300 "$work/burst-$n.answer")"
  fi
done
echo "   $complete complete, $refused refused as not run, after $elapsed ms"

echo
echo "6. Stopping the job's home as planned (SIGTERM); its records go to another VM"
stop_server daemon-0 TERM || problem "the daemon's exit status is $?"
submit "$work/job.json" "$work/after-stop.json" "${fleet_ports[1]}"
if cmp -s "$work/answer.json" "$work/after-stop.json"; then
  echo "   the job sent again to vm-${fleet_ports[1]}: the stored answer came back"
else
  problem "after the planned stop the answer differs: $(head -c 300 "$work/after-stop.json")"
fi

echo
echo "7. The upstreams' own log of starts"
starts=$(wc -l <"$start_log")
doubled=$(doubled_starts "$start_log" | wc -l)
echo "   $starts tasks started, $doubled of them twice"
[ "$starts" -ge 200 ] || problem "fewer starts than the first job has tasks"
[ "$doubled" -eq 0 ] || problem "tasks started twice: $(doubled_starts "$start_log" | head -3)"

echo
if [ "$problems" -ne 0 ]; then
  echo "Demo failed: $problems problems."
  exit 1
fi
echo "Demo passed: every answer was whole or a refusal, and no task started twice."
