#!/usr/bin/env bash
# Measures a fleet on loopback: latency compared with direct calls to the same kind of server,
# throughput, and the CPU time, memory and control traffic of an idle and a loaded instance. Checks
# no bounds.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/fleet.sh
instances=8
fleet_init run/measure "${LATCHSLIP_BUILD:-Build}" "${LATCHSLIP_PORT:-24000}"
load="$fleet_build/Utilities/latchslip-load"

cpu_ticks() { awk '{print $14 + $15}' "/proc/${fleet_pid[$1]}/stat"; }
memory_kb() { awk '/VmRSS/ {print $2}' "/proc/${fleet_pid[$1]}/status"; }
control_bytes() { exec 8<>"/dev/tcp/127.0.0.1/$((fleet_port + 300 + $1))"; printf 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&8; grep -a '^latchslip_control_bytes_sent' <&8 | tr -d '\r' | awk '{print $2}'; exec 8>&-; }

fleet_start_platform "$instances"
for number in $(seq 1 10); do fleet_start_server "$number" rates; done
for number in $(seq 1 "$instances"); do fleet_start_instance "$number"; done
fleet_start_server 50 direct --checks_orders=false
fleet_await 30 fleet_ctl 1 status
fleet_write_intents "$fleet_dir/intents.json" rates:1:10:true
fleet_ctl 1 plan "$fleet_dir/intents.json" --out="$fleet_dir/plan.json" >/dev/null
fleet_ctl 1 confirm "$fleet_dir/plan.json" >/dev/null
fleet_await 30 fleet_is_placed 1 10
sleep 3

before=$(cpu_ticks instance-2); bytes=$(control_bytes 2)
sleep 10
echo "idle instance: $(($(cpu_ticks instance-2) - before)) hundredths of a second of CPU in 10 s, $(memory_kb instance-2) KB resident, $((($(control_bytes 2) - bytes) / 10)) control bytes a second"

echo "direct calls to one server, 700 a second:"
"$load" send --direct --targets="$(fleet_server_address 50)" --requests=5600 --rate=700 --streams=direct:web:repeatable
echo "through the instances to 10 servers, 7000 a second in total:"
before=$(cpu_ticks instance-2); bytes=$(control_bytes 2)
"$load" send --targets="$(fleet_caller_targets "$instances")" --requests=56000 --rate=7000 --keys=20000 --streams=rates:booking-sites:repeatable
echo "loaded instance: $(($(cpu_ticks instance-2) - before)) hundredths of a second of CPU in 8 s, $(memory_kb instance-2) KB resident, $((($(control_bytes 2) - bytes) / 8)) control bytes a second"
echo "through the instances at 700 a second:"
"$load" send --targets="$(fleet_caller_targets "$instances")" --requests=5600 --rate=700 --keys=20000 --prefix=low- --streams=rates:booking-sites:repeatable
echo "as fast as 32 callers can:"
"$load" send --targets="$(fleet_caller_targets "$instances")" --requests=60000 --workers=32 --keys=20000 --prefix=fast- --streams=rates:booking-sites:repeatable

echo "memory of an instance by number of idle caller connections:"
before=0
for wanted in 0 200 400 800; do
  while [ "$before" -lt "$wanted" ]; do
    exec {connection}<>"/dev/tcp/127.0.0.1/$((fleet_port + 202))"
    before=$((before + 1))
  done
  sleep 1
  echo "  $wanted connections: $(memory_kb instance-2) KB"
done

echo "images of 4 MB through the instances:"
"$load" send --targets="$(fleet_caller_targets "$instances")" --requests=200 --workers=4 --keys=200 --body_bytes=4000000 --prefix=image- --streams=rates:booking-sites:repeatable --deadline_ms=10000
