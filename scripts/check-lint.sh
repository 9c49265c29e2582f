#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the given ones, with the release build's commands. A file
# that passed before and has not changed, with its headers, is not linted again.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' | grep -v '^fuzz/')
fi
[ ${#files[@]} -gt 0 ] || { echo "check-lint: no source files"; exit 1; }
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 \
  scripts/lib/lint-one.py build/release
echo "lint: ${#files[@]} files checked"
