# Starts a small deployment on loopback addresses: the project's programs with
# the command of deploy/system.toml, and the stand-ins of review/stand_ins/.
# Sourced by review/N/run.sh, which sets nothing but its own steps.
set -uo pipefail
case_folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$case_folder/../.."
record=$case_folder/record.txt
folder=$(mktemp -d)
ask=target/review/ask
node=target/bin/cranberryfold_node
backend_program=target/review/backend
readonly control_port=8306 caller_port=8304 ready_port=8302 app_port=8301
# Bounds of the deployment, as the settings file names them.
readonly stable_window_ms=3000 drain_ms=2500 config_apply_ms=2500
supervisors=()
seeds=()
declare -A ip_of zone_of service_of

now() { date +%s%3N; }
note() { echo "$(now) script $*" >> "$record"; }
pause_ms() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }

kill_recorded() {
  local file
  for file in "$folder"/*.pid; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")"
  done
}

# Ends all processes that this script started, by their ids.
end_all() {
  exec 2> /dev/null
  touch "$folder/stop"
  # A supervisor may start a daemon once more in this moment.
  while [ -n "$(jobs -pr)" ]; do
    kill_recorded
    sleep 0.1
  done
  kill_recorded
  [ -n "${KEEP:-}" ] && echo "files are in $folder" || rm -rf "$folder"
}
trap end_all EXIT

cannot_run() {
  echo "step=setup: $*"
  tail -n 2 "$folder"/*.log 2>/dev/null
  exit 2
}

# Each machine has an address of its own in one subnet of the loopback range,
# and the same ports.
choose_subnet() {
  local try
  for try in 1 2 3 4 5; do
    subnet=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
    (exec 3<>"/dev/tcp/$subnet.1/$control_port") 2>/dev/null || return 0
  done
  cannot_run "no free subnet"
}

# machine NAME NUMBER ZONE REGION [SERVICE]: without a service it is a control
# machine with a disk.
machine() {
  ip_of[$1]=$subnet.$2
  zone_of[$1]=$3
  service_of[$1]=${5:-}
  [ -n "${5:-}" ] || mkdir -p "$folder/$1.data"
  write_settings "$1" "$4"
}

write_settings() {
  local name=$1 region=$2 ip=${ip_of[$1]} service=${service_of[$1]}
  local listen class serves rest disk=null list=""
  local seed
  for seed in "${seeds[@]}"; do list+="${list:+, }\"$seed:$control_port\""; done
  listen="\"Control\": \"$ip:$control_port\""
  if [ -n "$service" ]; then
    class=app_node
    listen+=", \"Outbound\": \"$ip:$caller_port\", \"Ready\": \"$ip:$ready_port\""
    rest="\"AppAddr\": \"$ip:$app_port\", \"Service\": \"$service\","
    serves=app_node
  else
    class=core
    serves=control
    rest=""
    disk="\"$folder/$name.data\""
  fi
  cat > "$folder/$name.json" <<JSON
{ "NodeName": "$name", "MachineClass": "$class", "Serves": ["$serves"],
  "Ip": "$ip", "Zone": "${zone_of[$1]}", "Region": "$region",
  "Listen": { $listen }, "InternalPortRange": [7620, 7635],
  "Seeds": [$list], "Bootstrap": true, $rest "DataDir": $disk,
  "HeartbeatMs": 1500,
  "Limits": { "CpuShare": 0.4, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100 },
  "FaultTolerance": { "Machines": 1, "Zones": 0, "Regions": 0 },
  "Bounds": ["SeedLagS=3", "AddrReuseS=2", "StableWindowMs=$stable_window_ms",
    "AckMs=4000", "CatchUpS=4", "DrainMs=$drain_ms", "GraceS=6",
    "LossSlackMs=200", "ConfigApplyMs=$config_apply_ms",
    "RollbackSlackMs=250", "MaxStretchMs=5000", "RetryBudgetRatio=0.2",
    "BudgetWindowS=10", "RetryBudgetSlack=47", "RecoveryS=15"] }
JSON
}

# The line of a violated invariant, without the path of the sources.
last_violation() {
  grep -a 'invariant violated' "$folder/$1.log" | tail -n 1 |
    sed 's|at /.*/Libraries|at Libraries|'
}

# Runs the daemon of a machine and starts it again when it ends, as the
# platform does, until the file NAME.off or the file stop exists.
start_daemon() {
  (
    trap - EXIT
    until [ -e "$folder/stop" ] || [ -e "$folder/$1.off" ]; do
      CRANBERRYFOLD_BOOT=$folder/$1.json "$node" >> "$folder/$1.log" 2>&1 &
      echo $! > "$folder/$1.pid"
      wait $!
      status=$?
      [ -e "$folder/stop" ] ||
        echo "$(now) platform machine=$1 event=process_ended status=$status $(last_violation "$1")" >> "$record"
      sleep 0.5
    done
  ) 2>/dev/null &
  supervisors+=($!)
}

# start_backend MACHINE ID [OPTION VALUE]...
start_backend() {
  local name=$1 id=$2 ip=${ip_of[$1]}
  shift 2
  "$backend_program" --listen "$ip:$app_port" --control "$ip:$control_port" \
    --id "$id" --service "${service_of[$name]}" --zone "${zone_of[$name]}" "$@" \
    >> "$folder/$name.backend.txt" 2>> "$folder/$name.backend.log" &
  echo $! > "$folder/$name.backend.pid"
  disown $!
}

daemon_pid() { cat "$folder/$1.pid"; }
backend_pid() { cat "$folder/$1.backend.pid"; }

# write_tables FILE VERSION SERVICE_OF_ORDERS SERVICES...: two routes, one for
# orders and one for reads of the catalogue.
write_tables() {
  local file=$1 version=$2 target=$3 rows="" service
  shift 3
  for service in "$@"; do
    rows+="${rows:+, }\"$service\": { \"HealthPath\": \"/health\", \"MaxConnections\": 160, \"Protocol\": \"h1\", \"Tls\": false }"
  done
  cat > "$file" <<JSON
{ "Version": "$version",
  "Routes": {
    "place-order": { "Hostname": "shop.example", "PathPrefix": "/order/", "RouteType": "unsafe",
      "TimeoutMs": 4000, "TargetLatencyMs": 1500, "Priority": 0, "Service": "$target", "MaxAttempts": 2 },
    "browse": { "Hostname": "shop.example", "PathPrefix": "/browse/", "RouteType": "safe",
      "TimeoutMs": 4000, "TargetLatencyMs": 1500, "Priority": 2, "Service": "catalogue", "MaxAttempts": 2 } },
  "Services": { $rows },
  "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 } }
JSON
}

# put FILE BASE: sends the configuration to the control machines in turn until
# one acknowledges it.
put() {
  local try seed
  for try in $(seq 20); do
    for seed in "${seeds[@]}"; do
      "$ask" put "$seed:$control_port" "$2" "$1" >> "$record" && return 0
    done
    sleep 0.3
  done
  return 1
}

# request MACHINE METHOD TARGET ID DEADLINE_MS: a client of that machine.
request() {
  "$ask" request "${ip_of[$1]}:$caller_port" "$2" shop.example "$3" "$4" "$5"
}

# wait_until_served MACHINE TARGET: waits until the machine answers requests.
wait_until_served() {
  local try
  for try in $(seq 100); do
    request "$1" GET "$2" "warm-up-$1-$try" 2000 | grep -q 'status=200' && return 0
    sleep 0.2
  done
  cannot_run "$1 does not serve $2"
}

# Adds what the backends wrote to the record, in order of time.
finish_record() {
  cat "$folder"/*.backend.txt >> "$record" 2>/dev/null
  sort -n -s -k 1,1 -o "$record" "$record"
}

[ -x "$node" ] || cannot_run "$node is missing; run the build of deploy/system.toml"
[ -x "$ask" ] || cannot_run "$ask is missing; run review/build.sh"
: > "$record"
choose_subnet
