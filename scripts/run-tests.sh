#!/usr/bin/env bash
# Runs the tests of one built preset: scripts/run-tests.sh [PRESET [CTEST-OPTION...]]
# Fails if a test program is missing or ran no case.
set -euo pipefail
cd "$(dirname "$0")/.."

preset=${1:-release}
shift || true
export TSAN_OPTIONS="suppressions=$PWD/cmake/tsan.supp halt_on_error=1"
ctest --test-dir "build/$preset" --output-on-failure --no-tests=error -j 4 "$@"
