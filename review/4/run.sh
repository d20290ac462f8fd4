#!/usr/bin/env bash
# A backend deregisters and goes on serving for some seconds. The daemon beside
# it is killed and started again; then a report arrives that the backend had
# sent before.
source "$(dirname "$0")/../lib.sh"
# With TROUBLE=0 the case does the same without the disruption.
trouble=${TROUBLE:-1}

seeds=("$subnet.1" "$subnet.2" "$subnet.3")
machine core-1 1 zone-a region-a
machine core-2 2 zone-b region-a
machine core-3 3 zone-c region-b
machine app-1 11 zone-a region-a orders
machine app-2 12 zone-b region-a orders
machine app-3 13 zone-c region-b orders
machine app-4 14 zone-a region-a catalogue
machine app-5 15 zone-b region-a catalogue
machine app-6 16 zone-a region-a catalogue
machine app-7 17 zone-b region-a catalogue
apps=(app-1 app-2 app-3 app-4 app-5 app-6 app-7)
# How late the report is.
late_ms=3000
# How long the backend serves after its deregistration is acknowledged.
serve_ms=9000

write_tables "$folder/r1.json" r1 orders orders catalogue
for name in core-1 core-2 core-3 "${apps[@]}"; do start_daemon "$name"; done
for name in "${apps[@]}"; do
  start_backend "$name" "backend-$name" --late "$late_ms"
done
put "$folder/r1.json" 0 || cannot_run "the first configuration is not accepted"
for name in "${apps[@]}"; do
  wait_until_served "$name" "/order/w?work=5"
  wait_until_served "$name" "/browse/w?work=5"
done
pause_ms $((stable_window_ms + 1000))

note "step=deregister trouble=$trouble"
kill -USR2 "$(backend_pid app-1)"
for _ in $(seq 50); do
  grep -q 'event=deregistered status=200' "$folder/app-1.backend.txt" && break
  pause_ms 20
done
acknowledged=$(awk '/event=deregistered status=200/ { print $1 }' "$folder/app-1.backend.txt")
[ -n "$acknowledged" ] || cannot_run "the deregistration is not acknowledged"
if [ "$trouble" = 1 ]; then
  pause_ms 200
  note "step=kill machine=app-1"
  kill -KILL "$(daemon_pid app-1)"
fi

# From here on app-1 was started longer ago than the stable window.
pause_ms $((stable_window_ms + 1500))
first_counted=$(now)
[ "$first_counted" -gt $((acknowledged + drain_ms)) ] || cannot_run "the clients began too early"
note "step=orders"
clients=()
number=0
while [ "$(now)" -lt $((acknowledged + serve_ms - 1000)) ]; do
  for name in app-2 app-4 app-5; do
    number=$((number + 1))
    request "$name" POST "/order/o?work=20" "order-$name-$number" 4000 >> "$record" &
    clients+=($!)
  done
  pause_ms 100
done
wait "${clients[@]}"
pause_ms $((acknowledged + serve_ms - $(now) > 0 ? acknowledged + serve_ms - $(now) : 0))
note "step=backend_exits"
kill -KILL "$(backend_pid app-1)"
finish_record

reached=$(grep -c 'backend=backend-app-1 .* event=run request=order-' "$record")
echo "orders that reached the backend more than $((first_counted - acknowledged)) ms after its deregistration was acknowledged: $reached of $number" | tee -a "$record"
[ "$reached" = 0 ]
