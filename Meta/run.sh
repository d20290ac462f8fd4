#!/usr/bin/env bash
# Builds and starts a sample mesh on loopback, sends requests through it and
# checks the answers. With --once it is stopped again and a wrong answer makes
# the exit status non-zero. CRANBERRYFOLD_BIN names built programs to use as
# they are.
set -uo pipefail
cd "$(dirname "$0")/.."

once=no
case "${1:-}" in
  "") ;;
  --once) once=yes ;;
  *) echo "usage: Meta/run.sh [--once]" >&2; exit 2 ;;
esac

if [ -z "${CRANBERRYFOLD_BIN:-}" ]; then
  Meta/install.sh && Meta/build.sh >&2 || exit 1
  CRANBERRYFOLD_BIN=$PWD/build/bin
fi
bin=$CRANBERRYFOLD_BIN

# A start on a loaded machine takes many seconds; nothing is measured here.
readonly start_limit=120
readonly request_limit=30

folder=$(mktemp -d)
pids=()
daemon_pids=()
wrong=0

# Stops only processes that this script started. Daemons go first: they drain.
stop_mesh() {
  local pid
  for pid in "${daemon_pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${daemon_pids[@]}"; do
    wait "$pid" || { echo "daemon with process id $pid: exit status $?"; wrong=1; }
  done
  daemon_pids=()
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  pids=()
}
trap 'stop_mesh' EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# call METHOD ADDRESS TARGET [HEADER] [BODY_FILE]: prints status line, headers
# and body. Needs nothing besides bash, because curl may be missing.
call() {
  local size=0
  [ -z "${5:-}" ] || size=$(stat -c %s "$5")
  {
    exec 3<>"/dev/tcp/${2%:*}/${2##*:}" || return 1
    {
      printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' "$1" "$3" "$2"
      [ -z "${4:-}" ] || printf '%s\r\n' "$4"
      printf 'Content-Length: %s\r\n\r\n' "$size"
      [ "$size" = 0 ] || cat "$5"
    } >&3
    timeout "$request_limit" cat <&3
    exec 3>&-
  } 2>/dev/null
}

# check NAME EXPECTED_TEXT ANSWER: counts a wrong answer and shows it.
check() {
  if grep -qF -- "$2" <<<"$3"; then
    echo "ok    $1"
  else
    echo "WRONG $1: expected \"$2\" in:"; sed 's/^/        /' <<<"$3"
    wrong=1
  fi
}

# wait_for NAME COMMAND...: repeats the command until it succeeds.
wait_for() {
  local name=$1 end=$((SECONDS + start_limit))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "step=wait peer=$name: not reached in $start_limit s; logs are in $folder" >&2
      tail -n 3 "$folder"/*.log >&2
      once=failed
      exit 1
    fi
    sleep 0.2
  done
}

# The reservation ends with this script, which ends the program's input.
coproc reservation { exec "$bin/stand_in_upstream" --reserve_ports 30; }
mapfile -t -n 30 -u "${reservation[0]}" ports
[ "${#ports[@]}" -eq 30 ] || { echo "step=reserve_ports: no free ports" >&2; exit 1; }
instances=(order-1 stock-1 order-2 stock-2 order-3 stock-3)
zones=(ljubljana-1 ljubljana-1 ljubljana-1 maribor-1 maribor-1 maribor-1)
regions=(ljubljana ljubljana ljubljana maribor maribor maribor)
control=(0 1 3)
address() { echo "127.0.0.1:${ports[$(($1 * 5 + $2))]}"; }
caller() { address "$1" 0; }
egress() { address "$1" 1; }
admin() { address "$1" 2; }
peer() { address "$1" 3; }
upstream() { address "$1" 4; }

group=""
for index in "${control[@]}"; do
  group+="${group:+, }{ \"instance\": \"${instances[$index]}\", \"peer_address\": \"$(peer "$index")\" }"
done

write_settings() {
  local index=$1 name=${instances[$1]} section="" seeds
  seeds="\"$(peer 0)\", \"$(peer 3)\""
  if [[ " ${control[*]} " == *" $index "* ]]; then
    section=" \"control\": { \"data_folder\": \"$folder/$name.data\", \"initial_group\": [$group] },"
    mkdir -p "$folder/$name.data"
  fi
  sed -e "s|@INSTANCE@|$name|; s|@ZONE@|${zones[$index]}|; s|@REGION@|${regions[$index]}|" \
    -e "s|@CALLER@|$(caller "$index")|; s|@EGRESS@|$(egress "$index")|" \
    -e "s|@ADMIN@|$(admin "$index")|; s|@PEER@|$(peer "$index")|; s|@SEEDS@|$seeds|" \
    -e "s|@UPSTREAM@|$(upstream "$index")|; s|@SERVICE@|${name%-*}|; s|@CONTROL@|$section|" \
    Samples/daemon.json.in > "$folder/$name.json"
}

for index in "${!instances[@]}"; do
  name=${instances[$index]}
  write_settings "$index"
  calls="/orders=GET /stock/item,/deposits=GET /stock/item"
  [ "${name%-*}" = order ] || calls="/stock/forecast=GET /orders/open"
  "$bin/stand_in_upstream" --listen "$(upstream "$index")" --instance "$name" \
    --service "${name%-*}" --egress "$(egress "$index")" --calls "$calls" \
    --journal "$folder/$name.journal" > "$folder/$name.upstream.log" 2>&1 &
  pids+=($!)
  bootstrap=""
  [[ " ${control[*]} " != *" $index "* ]] || bootstrap=--bootstrap_control
  "$bin/cranberryfold_daemon" --settings "$folder/$name.json" $bootstrap \
    > "$folder/$name.log" 2>&1 &
  daemon_pids+=($!)
done

is_ready() { call GET "$(admin "$1")" /readyz | head -n 1 | grep -q ' 200 '; }
all_have_revision() {
  [ "$("$bin/cranberryfold" --admin "$(admin 0)" status 2>/dev/null |
    awk -v revision="$1" '$4 == revision' | wc -l)" -eq "${#instances[@]}" ]
}

export CRANBERRYFOLD_ADMIN
CRANBERRYFOLD_ADMIN=$(admin 0),$(admin 1),$(admin 3)
apply_tables() {
  "$bin/cranberryfold" tables apply Samples/plumehost_tables.json \
    --base_revision 0 --edit_id sample-tables > "$folder/apply.out" 2>&1
}
wait_for "edit" apply_tables
cat "$folder/apply.out"
wait_for "revision 1 on all daemons" all_have_revision 1
for index in "${!instances[@]}"; do
  wait_for "${instances[$index]} readyz" is_ready "$index"
done

key="Idempotency-Key: ljubljana-1/sample-$$"
stock=$(call GET "$(caller 0)" /stock/item)
check "stock through the daemon of order-1" '"service":"stock"' "$stock"
# A refusal as not run may be sent again; right after the start no zone has its
# claim group yet.
for _ in $(seq 30); do
  order=$(call POST "$(caller 1)" /orders "$key")
  grep -q 'claim_unavailable' <<<"$order" || break
  sleep 1
done
check "order through the daemon of stock-1" '"service":"order"' "$order"
check "the order called stock" '"target":"/stock/item","status":200' "$order"
again=$(call POST "$(caller 3)" /orders "$key")
runs=$(cat "$folder"/*.journal | grep -c "event=start .*key=ljubljana-1/sample-$$ ")
check "a resend through another daemon runs nothing again" "runs=1" "runs=$runs"
forecast=$(call GET "$(caller 4)" /stock/forecast)
check "stock called order" '"target":"/orders/open","status":200' "$forecast"
head -c 20000000 /dev/urandom > "$folder/photo"
photo=$(call PUT "$(caller 5)" /photos/1 "" "$folder/photo")
check "upload of 20 MB through the daemon of stock-3" '"body_bytes":20000000' "$photo"
nowhere=$(call GET "$(caller 2)" /nowhere)
check "a path without a route" 'no_route' "$nowhere"

echo
echo "--- order:"
tail -n 1 <<<"$order"
echo "--- the same order, sent again through another daemon:"
tail -n 1 <<<"$again"
echo "--- status:"
"$bin/cranberryfold" status
if [ "$once" = yes ]; then
  stop_mesh
  if [ "$wrong" -eq 0 ]; then
    rm -rf "$folder"
    echo "all answers were right"
  else
    echo "logs are in $folder"
  fi
  exit "$wrong"
fi

cat <<TEXT

The mesh is running; logs, settings and journals are in $folder
  export CRANBERRYFOLD_ADMIN=$CRANBERRYFOLD_ADMIN
  build/bin/cranberryfold status
  build/bin/cranberryfold tables get
  build/bin/cranberryfold explain --route place-order
  curl -i http://$(caller 0)/stock/item
  curl -i -X POST -H 'Idempotency-Key: my-order-1' http://$(caller 3)/orders
Press Ctrl-C to stop it.
TEXT
wait "${pids[@]}" "${daemon_pids[@]}"
