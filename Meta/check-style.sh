#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all code of the project except generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v /Generated/)
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp' |
  grep -v /Generated/)
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 3 clang-tidy -p Build --quiet 2> >(grep -v 'warnings generated' >&2)
echo "format and lint are clean"
