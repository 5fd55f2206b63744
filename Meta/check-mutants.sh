#!/usr/bin/env bash
# Mutation test: removes one mechanism at a time from a copy of the code and checks that the
# scenarios or the named tests fail. Exits non-zero when a mutant is not caught.
# Usage: Meta/check-mutants.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r CMakeLists.txt Meta Libraries Services Utilities Tests Benchmarks platform "$copy/"
cmake -S "$copy" -B "$copy/Build" -G Ninja >/dev/null
ninja -C "$copy/Build" test-scenarios >/dev/null

# Runs each of $programs and writes their output to $copy/log; fails if one of them fails.
run_tests() {
  local program all_passed=0
  : >"$copy/log"
  for program in $programs; do
    "$copy/Build/Tests/$program" >>"$copy/log" 2>&1 || all_passed=1
  done
  return $all_passed
}

programs=test-scenarios
missed=0
while IFS='|' read -r name file expression; do
  name=$(xargs <<<"$name")
  if [[ "$name" == @* ]]; then
    programs=${name#@}
    continue
  fi
  file=$copy/Libraries/$(xargs <<<"$file")
  expression=${expression# }
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
    continue
  fi
  cp "$file" "$copy/original"
  perl -0pi -e "$expression" "$file"
  if cmp -s "$file" "$copy/original"; then
    echo "$name: the substitution changes nothing" >&2
    missed=1
    continue
  fi
  # shellcheck disable=SC2086
  if ! ninja -C "$copy/Build" $programs >"$copy/log" 2>&1; then
    echo "$name: the mutant does not build" >&2
    missed=1
  elif run_tests; then
    echo "$name: NOT caught"
    missed=1
  else
    caught=$(grep -cE '^\[  FAILED  \].*ms\)' "$copy/log" || true)
    reason=$(grep -oE 'broken: at [0-9]+ us: [a-z-]+|us: [a-z-]+:|it is [0-9.]+|seed [0-9]+$' "$copy/log" |
      grep -oE '[a-z-]+:?$|it is' | sort | uniq -c | sort -rn | head -3 | xargs || true)
    echo "$name: caught by $caught tests ($reason)"
  fi
  cp "$copy/original" "$file"
done < <(grep -vE '^#|^$' Tests/Mutants.txt)
exit "$missed"
