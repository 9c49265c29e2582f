#!/usr/bin/env bash
# Runs one scenario against one rattandockd: scripts/run-scenario.sh SCENARIO [OUTPUT_FOLDER]
# Needs a release build. Uses loopback ports 7500 and 7501 and those of the scenario's upstreams.
# With a folder, leaves jobs.jsonl, table.txt and response.svg there. Fails if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."

scenario=${1:?a scenario file is needed}
output=${2:-}
work=$(mktemp -d)
source scripts/lib/processes.sh
trap 'stop_all_servers; rm -rf "$work"' EXIT

"$rattandock_load" --print-upstream-settings "$scenario" >"$work/upstreams.json"
first=$(sed -n 's/.*"firstPort":\([0-9]*\).*/\1/p' "$work/upstreams.json")
count=$(sed -n 's/.*"count":\([0-9]*\).*/\1/p' "$work/upstreams.json")
write_daemon_settings "$work/daemon.json" 7500 "$first" "$count"
start_server upstreams "$upstream_standin" --settings "$work/upstreams.json" --start-log "$work/starts.log"
wait_for_url "http://127.0.0.1:$first/faults" upstreams
start_server daemon "$rattandockd" --settings "$work/daemon.json"
wait_for_url "http://127.0.0.1:7501/readyz" daemon

status=0
"$rattandock_load" "$scenario" --start-log "$work/starts.log" --jobs "$work/jobs.jsonl" \
  --points "$work/points.txt" >"$work/table.txt" || status=$?
cat "$work/table.txt"
# Counters of decisions, which show the reasons for refusals and re-sends.
curl -sf http://127.0.0.1:7501/metrics | grep -E '^rattandock_(task_|attempt|upstream_|job_refused|unknown)' || true
if [ -n "$output" ]; then
  mkdir -p "$output"
  cp "$work/jobs.jsonl" "$work/table.txt" "$work/points.txt" "$output/"
  gnuplot -e "points='$output/points.txt'; plot_file='$output/response.svg'" scripts/plot-response.gp
fi
exit "$status"
