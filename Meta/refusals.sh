#!/usr/bin/env bash
# Summarizes refused requests: reads logs of entry instances (files, or standard input) and prints
# a row for each second, service and reason with the number of refusals (E600), the median of the
# requests' ages and the median of the time left until their deadlines. docs/OPERATIONS.md shows its
# use.
set -euo pipefail

awk '
  # The value of NAME=VALUE in this line; "-" when there is none.
  function word(name,    at) {
    for (at = 1; at <= NF; at++) {
      if (index($at, name "=") == 1) {
        return substr($at, length(name) + 2)
      }
    }
    return "-"
  }
  / event=E600 / {
    second = int(word("time_us") / 1000000)
    printf "%d %s %s %d %d\n", second, word("service"), word("reason"),
      word("age_us") / 1000, word("time_left_us") / 1000
  }' "$@" |
  sort -k1,1n -k2,3 -k4,4n |
  awk '
    function flush() {
      if (count > 0) {
        middle = int((count + 1) / 2)
        printf "%s\t%d\t%d\t%d\n", group, count, age[middle], left[middle]
      }
      count = 0
    }
    BEGIN { print "second\tservice\treason\trefusals\tage_ms\tleft_ms" }
    {
      if ($1 "\t" $2 "\t" $3 != group) {
        flush()
        group = $1 "\t" $2 "\t" $3
      }
      age[++count] = $4
      left[count] = $5
    }
    END { flush() }'
