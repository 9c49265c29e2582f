#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each with a fixed seed: scripts/fuzz.sh [RUNS]
# Fails if a target is missing or made fewer runs.
set -euo pipefail
cd "$(dirname "$0")/.."

runs=${1:-100000}
seed=20240601
targets=(parse_job parse_settings parse_home_job_id parse_submission check_configuration parse_request)
sources=(
  src/rattandock/base/finding.cpp
  src/rattandock/core/{home_token,job_outcome,placement_policy,reason}.cpp
  src/rattandock/adapters/{base64,job_json,json_document,json_memory,json_object_reader,json_parse,settings}.cpp
  src/rattandock/adapters/detail/request_parser.cpp
  src/rattandock/adapters/{endpoint,http_message}.cpp
  src/rattandock/fleet/{fleet_action,submission}.cpp
  src/rattandock/app/{config_check,config_differences,config_finding,config_reading}.cpp
  src/rattandock/app/{config_report,configuration_json}.cpp
  platform/{json_fields,submission_codec,directory_codec,configuration_codec,duplicate_members}.cpp
)
out=build/fuzz
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Iinclude -I. -fno-sanitize-recover=all)

export FLAGS="${flags[*]}"
printf '%s\n' "${sources[@]}" | xargs -P 3 -I{} bash -c \
  'clang++-14 $FLAGS -fsanitize=fuzzer-no-link,address,undefined -c "{}" -o "build/fuzz/$(basename "{}" .cpp).o"'
objects=()
for source in "${sources[@]}"; do
  objects+=("$out/$(basename "$source" .cpp).o")
done

for target in "${targets[@]}"; do
  if [ ! -f "fuzz/$target.cpp" ] || [ ! -d "fuzz/seeds/$target" ]; then
    echo "fuzz: target $target or its seeds are missing" >&2
    exit 1
  fi
  clang++-14 "${flags[@]}" -fsanitize=fuzzer,address,undefined "fuzz/$target.cpp" "${objects[@]}" \
    -lboost_json -lcrypto -o "$out/$target"
  log=$out/$target.log
  # Findings of the fuzzer itself go to a scratch folder, so that each run starts from the seeds.
  scratch=$(mktemp -d)
  if ! "$out/$target" -runs="$runs" -seed="$seed" -max_len=4096 -artifact_prefix="$out/$target-" \
    "$scratch" "fuzz/seeds/$target" >"$log" 2>&1; then
    tail -40 "$log"
    exit 1
  fi
  rm -rf "$scratch"
  grep -q "^Done $runs runs" "$log" || { echo "fuzz: $target made fewer than $runs runs" >&2; exit 1; }
  echo "fuzz: $target: $runs runs"
done
