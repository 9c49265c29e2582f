#!/usr/bin/env bash
# Configures and builds one preset: scripts/build.sh [PRESET] [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."

# Lets the compiler cache serve clones of the tree in other folders.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

preset=${1:-release}
shift || true
cmake --preset "$preset" >"build-$preset.log" 2>&1 || { cat "build-$preset.log"; rm -f "build-$preset.log"; exit 1; }
rm -f "build-$preset.log"
targets=()
if [ $# -gt 0 ]; then
  targets=(--target "$@")
fi
cmake --build --preset "$preset" "${targets[@]}" -- -j "$(nproc)" --quiet
