#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a case with a temporary folder for settings and logs, and writes
# FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
root="$(cd "$(dirname "$0")/.." && pwd)"
case="$1"
folder="$(cd "$2" && pwd)"
program="target/platform/latchslip-entry"
if [ ! -x "$root/$program" ] || [ ! -x "$root/review/bin/$case" ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cd "$root" || exit 2
timeout -k 5 110 "review/bin/$case" "$program" "$work" "$folder/record.txt"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  cp -r "$work" "$KEEP_LOGS"
fi
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
