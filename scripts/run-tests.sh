#!/usr/bin/env bash
# Runs the tests of one built preset: scripts/run-tests.sh [PRESET]
# Fails if a test program is missing or ran no case.
set -euo pipefail
cd "$(dirname "$0")/.."

preset=${1:-release}
ctest --test-dir "build/$preset" --output-on-failure --no-tests=error -j 4
