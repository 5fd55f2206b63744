#!/bin/bash
# Builds the programs of the scripts of review/4 to review/6 into review/bin, with the libraries that
# the deploy file names. The gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[456]/Case.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" review/standin-2/Harness.cpp \
    -o "review/bin/case-$(basename "$(dirname "$source")")" -lboost_json -pthread
done
