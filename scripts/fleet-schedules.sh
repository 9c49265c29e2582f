#!/usr/bin/env bash
# Plays many random schedules of faults against the fleet's dispatchers, on several cores:
# scripts/fleet-schedules.sh FIRST_SEED COUNT [PROCESSES]
set -euo pipefail
cd "$(dirname "$0")/.."

first=$1
count=$2
processes=${3:-4}
program=build/release/src/rattandock/fleet/rattandock-fleet-test
each=$(((count + processes - 1) / processes))
pids=()
for ((n = 0; n < processes; n++)); do
  FLEET_SEED=$((first + n * each)) FLEET_SCHEDULES=$each "$program" --log_level=message \
    --run_test=FleetPropertyTest/keepsPromisesOverManySchedules &
  pids+=($!)
done
status=0
for pid in "${pids[@]}"; do
  wait "$pid" || status=1
done
exit "$status"
