# Functions that start and stop a small fleet on loopback: a stand-in platform, stand-in backend
# servers and entry instances. Sourced by the run command, the process tests and measure.sh. They
# signal only processes that they started.

fleet_init() { # DIR BUILD PORT
  fleet_dir=$1
  fleet_build=$2
  fleet_port=$3
  rm -rf "$fleet_dir"
  mkdir -p "$fleet_dir"
  declare -gA fleet_pid=()
  declare -gA fleet_command=()
  export LATCHSLIP_PEER_SECRET=${LATCHSLIP_PEER_SECRET:-loopback-peer-secret}
  export LATCHSLIP_OPERATOR_TOKEN=${LATCHSLIP_OPERATOR_TOKEN:-loopback-operator-token}
  trap fleet_stop EXIT
}

fleet_start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$fleet_dir/$name.log" 2>&1 &
  fleet_pid[$name]=$!
}

fleet_signal() { # NAME SIGNAL
  kill -"$2" "${fleet_pid[$1]}"
}

fleet_reap() { # NAME: reaps a process that was killed or has left
  wait "${fleet_pid[$1]}" 2>/dev/null || true
  unset "fleet_pid[$1]"
}

fleet_stop() {
  local pid
  for pid in "${fleet_pid[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  fleet_pid=()
}

fleet_platform_address() { echo "127.0.0.1:$fleet_port"; }
fleet_server_address() { echo "127.0.0.1:$((fleet_port + 100 + $1))"; } # NUMBER
fleet_caller_address() { echo "127.0.0.1:$((fleet_port + 200 + $1))"; }
fleet_operator_address() { echo "127.0.0.1:$((fleet_port + 300 + $1))"; }
fleet_peer_address() { echo "127.0.0.1:$((fleet_port + 400 + $1))"; }
fleet_hall() { local halls=(a b c); echo "hall-${halls[$(($1 % 3))]}"; }

fleet_start_platform() { # INSTANCES [FLAGS...]
  local count=$1 list="" number
  shift
  for number in $(seq 1 "$count"); do
    list+="instance-$number=$(fleet_peer_address "$number")@$(fleet_hall "$number"),"
  done
  fleet_start platform "$fleet_build/Services/stand-in-platform" \
    --address="$(fleet_platform_address)" --instances="$list" "$@"
}

fleet_start_server() { # NUMBER SERVICE [FLAGS...]
  local number=$1 service=$2
  shift 2
  fleet_start "server-$number" "$fleet_build/Services/stand-in-server" \
    --address="$(fleet_server_address "$number")" --service="$service" --server="server-$number" \
    --records_file="$fleet_dir/server-$number-$(date +%s%N).records" "$@"
}

fleet_start_instance() { # NUMBER [FLAGS...]
  local number=$1
  shift
  fleet_start "instance-$number" "$fleet_build/Services/latchslipd" \
    --instance_name="instance-$number" --hall="$(fleet_hall "$number")" \
    --caller_address="$(fleet_caller_address "$number")" \
    --operator_address="$(fleet_operator_address "$number")" \
    --peer_address="$(fleet_peer_address "$number")" \
    --platform_address="$(fleet_platform_address)" "$@"
}

fleet_caller_targets() { # INSTANCES
  local number targets=""
  for number in $(seq 1 "$1"); do
    targets+="$(fleet_caller_address "$number"),"
  done
  echo "$targets"
}

# Repeats a command every 0.1 s until it succeeds; fails after SECONDS. Callers pass generous
# bounds, since no test depends on how long it took.
fleet_await() { # SECONDS COMMAND...
  local left=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

fleet_ctl() { # INSTANCE ARGUMENTS...
  local number=$1
  shift
  "$fleet_build/Utilities/latchslipctl" --operator_address="$(fleet_operator_address "$number")" "$@"
}

fleet_admin() { # PATH BODY: posts to the stand-in platform's fault and list switches
  local address
  address=$(fleet_platform_address)
  exec 9<>"/dev/tcp/${address%:*}/${address#*:}"
  printf 'POST %s HTTP/1.1\r\nHost: platform\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
    "$1" "${#2}" "$2" >&9
  cat <&9 >/dev/null
  exec 9>&-
}

# Succeeds when the status of an instance shows at least SERVERS servers that are active with slices
# and a holder.
fleet_is_placed() { # INSTANCE SERVERS
  local status
  status=$(fleet_ctl "$1" status) || return 1
  [ "$(grep -c '    server .* active slices [1-9][0-9]* holder instance-' <<<"$status")" -ge "$2" ]
}

# Writes an intents file with two groups for services given as NAME:FIRST:LAST:CHECKS (numbers of
# their first and last server, and whether they check grants).
fleet_write_intents() { # FILE SERVICE...
  local file=$1 service name first last checks number separator="" inner
  shift
  {
    echo '{ "profile": "unavailability-first", "services": ['
    for service in "$@"; do
      IFS=: read -r name first last checks <<<"$service"
      echo "$separator{ \"name\": \"$name\", \"checks_orders\": $checks, \"slots\": 4, \"connections\": 130, \"servers\": ["
      inner=""
      for number in $(seq "$first" "$last"); do
        echo "$inner{ \"name\": \"server-$number\", \"address\": \"$(fleet_server_address "$number")\", \"hall\": \"$(fleet_hall "$number")\" }"
        inner=","
      done
      echo "] }"
      separator=","
    done
    echo '], "intents": ['
    separator=""
    for service in "$@"; do
      name=${service%%:*}
      echo "$separator{ \"group\": \"booking-sites\", \"service\": \"$name\", \"portion\": 3 },"
      echo "{ \"group\": \"agencies\", \"service\": \"$name\", \"portion\": 1 }"
      separator=","
    done
    echo '] }'
  } >"$file"
}
