#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
scripts/build.sh release
scripts/run-tests.sh release
