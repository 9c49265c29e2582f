#!/usr/bin/env bash
# Fails if a source file differs from what clang-format makes of it; --fix rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp')
[ ${#files[@]} -gt 0 ] || { echo "check-format: no source files"; exit 1; }
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
echo "format: ${#files[@]} files checked"
