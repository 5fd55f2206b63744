#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for part in Harness KeyedUpstream; do
  g++ "${flags[@]}" -c "standin/$part.cpp" -o "bin/$part.o" &
done
wait
for case in RefusedButRun OwnerAtWork TruncatedAnswer; do
  g++ "${flags[@]}" "standin/$case.cpp" bin/Harness.o bin/KeyedUpstream.o -o "bin/$case"
done
