#!/usr/bin/env bash
# Checks the guarantees with real processes on loopback. Each call runs one case, so that ctest
# lists them separately. Results are judged by the servers' records and by the answers that
# operators and callers received, never by how long something took.
# Usage: Meta/process-tests.sh CASE BUILD PORT
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/fleet.sh

case_name=$1
fleet_init "$2/process-tests/$case_name" "$2" "$3"
load="$fleet_build/Utilities/latchslip-load"
instances=4

# Starts a fleet with the service rates on servers 1 to 4 and bookings on 5 to 7. CHECKS (true or
# false) says whether the servers of rates check grants.
start_fleet() { # CHECKS
  local number
  fleet_start_platform "$instances" --list_lag_ms=300
  for number in 1 2 3 4; do fleet_start_server "$number" rates --checks_orders="$1"; done
  for number in 5 6 7; do fleet_start_server "$number" bookings; done
  for number in $(seq 1 "$instances"); do fleet_start_instance "$number"; done
  fleet_await 30 fleet_ctl 1 status
  fleet_await 30 all_instances_are_listed
  fleet_write_intents "$fleet_dir/intents.json" "rates:1:4:$1" bookings:5:7:true
  fleet_ctl 1 plan "$fleet_dir/intents.json" --out="$fleet_dir/plan.json" >/dev/null
  fleet_ctl 1 confirm "$fleet_dir/plan.json"
  fleet_await 30 fleet_is_placed 1 7
  fleet_await 30 requests_are_answered
}

all_instances_are_listed() {
  local number
  for number in $(seq 1 "$instances"); do
    [ "$(fleet_ctl "$number" status | grep -c '^  instance ')" -eq "$instances" ] || return 1
  done
}

# Sends 40 requests and succeeds if all of them are answered.
requests_are_answered() {
  "$load" send --targets="$(fleet_caller_targets "$instances")" --requests=40 --workers=4 \
    --streams=rates:booking-sites:repeatable --prefix="try-$RANDOM-" \
    --results="$fleet_dir/try.results" >/dev/null
  [ "$(grep -c '"outcome":"answered"' "$fleet_dir/try.results")" -eq 40 ]
}

start_load() { # REQUESTS RATE
  "$load" send --targets="$(fleet_caller_targets "$instances")" --requests="$1" --rate="$2" \
    --streams=rates:booking-sites:repeatable,bookings:agencies:once,rates:agencies:once \
    --keys=500 --results="$fleet_dir/callers.results" >"$fleet_dir/load.log" &
  load_pid=$!
}

audit() {
  wait "$load_pid"
  cat "$fleet_dir/load.log"
  "$load" audit --records="$fleet_dir" --results="$fleet_dir/callers.results"
}

count_outcome() { # OUTCOME
  grep -c "\"outcome\":\"$1\"" "$fleet_dir/callers.results" || true
}

case "$case_name" in
  instance-and-server-killed)
    start_fleet true
    start_load 4000 500
    sleep 2
    fleet_signal instance-2 KILL
    fleet_reap instance-2
    sleep 2
    fleet_signal server-2 KILL
    fleet_reap server-2
    audit
    fleet_await 30 requests_are_answered
    ;;
  stopped-longer-than-a-lease)
    start_fleet true
    start_load 4000 500
    sleep 1
    fleet_signal instance-3 STOP
    sleep 2
    fleet_signal instance-3 CONT
    fleet_signal server-1 STOP
    sleep 2
    fleet_signal server-1 CONT
    audit
    fleet_await 30 requests_are_answered
    ;;
  unchecked-servers)
    start_fleet false
    start_load 4000 500
    sleep 1
    fleet_signal instance-2 KILL
    fleet_reap instance-2
    fleet_admin /admin/instances '{"name":"instance-2","state":"gone"}'
    sleep 3
    fleet_signal server-2 STOP
    sleep 2
    fleet_signal server-2 CONT
    audit
    fleet_await 30 requests_are_answered
    ;;
  store-outage-of-a-minute)
    start_fleet true
    start_load 32500 500
    sleep 1
    fleet_admin /admin/fault '{"outage":true}'
    sleep 60
    fleet_admin /admin/fault '{"outage":false}'
    audit
    # Repeatable requests do not need the store, so all of them were answered.
    [ "$(grep '"repeatable":true' "$fleet_dir/callers.results" | grep -vc '"outcome":"answered"' || true)" -eq 0 ]
    fleet_await 30 requests_are_answered
    ;;
  lost-answers)
    start_fleet true
    start_load 3000 500
    sleep 1
    fleet_admin /admin/fault '{"lose_answers":10}'
    fleet_signal server-3 KILL
    fleet_reap server-3
    sleep 2
    fleet_admin /admin/fault '{"lose_answers":10}'
    audit
    fleet_admin /admin/fault '{"lose_answers":0}'
    fleet_await 30 requests_are_answered
    ;;
  two-operators)
    start_fleet true
    sed 's/"portion": 3/"portion": 5/' "$fleet_dir/intents.json" >"$fleet_dir/first.json"
    sed 's/"portion": 3/"portion": 7/' "$fleet_dir/intents.json" >"$fleet_dir/second.json"
    fleet_ctl 1 plan "$fleet_dir/first.json" --out="$fleet_dir/first.plan" >/dev/null
    fleet_ctl 2 plan "$fleet_dir/second.json" --out="$fleet_dir/second.plan" >/dev/null
    fleet_ctl 1 confirm "$fleet_dir/first.plan" >"$fleet_dir/first.out" 2>&1 &
    first=$!
    fleet_ctl 2 confirm "$fleet_dir/second.plan" >"$fleet_dir/second.out" 2>&1 &
    second=$!
    first_code=0
    second_code=0
    wait "$first" || first_code=$?
    wait "$second" || second_code=$?
    cat "$fleet_dir/first.out" "$fleet_dir/second.out"
    # Exactly one is applied (exit code 0) and the other reports the conflict (4).
    [ $((first_code + second_code)) -eq 4 ] && [ $((first_code * second_code)) -eq 0 ]
    portion=5
    [ "$second_code" -eq 0 ] && portion=7
    for number in 1 2 3 4; do
      fleet_ctl "$number" declaration | grep -q "\"portion\":$portion"
      fleet_ctl "$number" status | grep -q "revision 2"
    done
    ;;
  planned-stop)
    start_fleet true
    start_load 4000 500
    sleep 2
    fleet_ctl 2 drain-instance
    wait "${fleet_pid[instance-2]}"
    unset "fleet_pid[instance-2]"
    # The platform removes the instance from its list; a confirmation would wait for it until then.
    fleet_admin /admin/instances '{"name":"instance-2","state":"gone"}'
    sleep 1
    fleet_ctl 1 drain-server rates server-2
    audit
    grep -q 'E102 InstanceStopped reason=all-work-ended' "$fleet_dir/instance-2.log"
    [ "$(count_outcome unknown)" -eq 0 ]
    [ "$(count_outcome not-run)" -eq 0 ]
    ;;
  restart-all)
    start_fleet true
    for number in $(seq 1 "$instances"); do
      fleet_signal "instance-$number" KILL
      fleet_reap "instance-$number"
    done
    for number in $(seq 1 "$instances"); do fleet_start_instance "$number"; done
    fleet_await 30 fleet_is_placed 1 7
    fleet_await 30 requests_are_answered
    fleet_ctl 3 status | grep -q "revision 1"
    start_load 500 500
    audit
    ;;
  bad-input)
    start_fleet true
    expect_code() { # CODE COMMAND...
      local wanted=$1 code=0
      shift
      "$@" >"$fleet_dir/out" 2>&1 || code=$?
      [ "$code" -eq "$wanted" ] || { echo "exit $code instead of $wanted: $*"; cat "$fleet_dir/out"; return 1; }
    }
    echo '{ "services": [], "intents": [ { "group": "g" } ] }' >"$fleet_dir/bad.json"
    expect_code 3 fleet_ctl 1 check "$fleet_dir/bad.json"
    grep -q 'intents\[0\].service' "$fleet_dir/out"
    expect_code 3 fleet_ctl 1 plan "$fleet_dir/bad.json"
    expect_code 2 fleet_ctl 1 fly
    expect_code 3 fleet_ctl 1 drain-server rates server-99
    expect_code 4 fleet_ctl 1 confirm "$fleet_dir/plan.json"
    LATCHSLIP_OPERATOR_TOKEN=wrong-token-wrong-token expect_code 3 fleet_ctl 1 confirm "$fleet_dir/plan.json"
    grep -q 'E503 OperatorRefused' "$fleet_dir/instance-1.log"
    expect_code 5 "$fleet_build/Utilities/latchslipctl" --operator_address=127.0.0.1:1 status
    expect_code 2 "$fleet_build/Services/latchslipd" --instance_name=x --hall=a --caller_address=nowhere
    grep -q -- '--caller_address' "$fleet_dir/out"
    "$load" send --targets="$(fleet_caller_targets 1)" --requests=20 --workers=1 \
      --streams=rates:strangers:once,rooms:agencies:once --prefix=refused- \
      --results="$fleet_dir/callers.results"
    [ "$(count_outcome not-run)" -eq 20 ]
    "$load" audit --records="$fleet_dir" --results="$fleet_dir/callers.results"
    ;;
  *)
    echo "no case is named $case_name" >&2
    exit 2
    ;;
esac
echo "case $case_name holds"
