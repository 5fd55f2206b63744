#!/usr/bin/env bash
# Demonstration on one machine: a stand-in platform, 8 entry instances, 10 servers of one service
# and 7 of another. Confirms sharing intents, sends 12,000 requests of two groups, kills an instance
# and a server meanwhile, and audits the result against the servers' own records.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/fleet.sh

instances=8
fleet_init "${LATCHSLIP_RUN_DIR:-run/main}" "${LATCHSLIP_BUILD:-Build}" "${LATCHSLIP_PORT:-17000}"

echo "== starting the platform, 17 servers and $instances entry instances"
fleet_start_platform "$instances"
for number in $(seq 1 10); do fleet_start_server "$number" rates; done
for number in $(seq 11 17); do fleet_start_server "$number" bookings; done
for number in $(seq 1 "$instances"); do fleet_start_instance "$number"; done
fleet_await 30 fleet_ctl 1 status

echo "== planning and confirming the sharing intents"
fleet_write_intents "$fleet_dir/intents.json" rates:1:10:true bookings:11:17:true
fleet_ctl 1 plan "$fleet_dir/intents.json" --out="$fleet_dir/plan.json"
fleet_ctl 1 confirm "$fleet_dir/plan.json"
fleet_await 30 fleet_is_placed 1 17
sleep 1

echo "== sending requests; instance-5 and server-3 are killed meanwhile"
load="$fleet_build/Utilities/latchslip-load"
"$load" send --targets="$(fleet_caller_targets "$instances")" --requests=12000 --rate=1000 \
  --streams=rates:booking-sites:repeatable,bookings:booking-sites:once,rates:agencies:repeatable \
  --keys=2000 --probe_keys=200 --results="$fleet_dir/callers.results" &
load_pid=$!
sleep 3
fleet_signal instance-5 KILL
fleet_reap instance-5
sleep 3
fleet_signal server-3 KILL
fleet_reap server-3
wait "$load_pid"

echo "== auditing the answers to the callers against the servers' records"
"$load" audit --records="$fleet_dir" --results="$fleet_dir/callers.results"
