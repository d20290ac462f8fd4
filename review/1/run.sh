#!/usr/bin/env bash
# An operator drops a service from the tables and takes the decision back a
# moment later, while orders for the service are under way.
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
machine app-6 16 zone-c region-b catalogue
apps=(app-1 app-2 app-3 app-4 app-5 app-6)

write_tables "$folder/r1.json" r1 orders orders catalogue
write_tables "$folder/r2.json" r2 catalogue catalogue
write_tables "$folder/r3.json" r3 orders orders catalogue

for name in core-1 core-2 core-3 "${apps[@]}"; do start_daemon "$name"; done
for name in "${apps[@]}"; do start_backend "$name" "backend-$name"; done
put "$folder/r1.json" 0 || cannot_run "the first configuration is not accepted"
for name in "${apps[@]}"; do
  wait_until_served "$name" "/order/w?work=5"
  wait_until_served "$name" "/browse/w?work=5"
done
pause_ms $((stable_window_ms + 1000))

# send_orders NAME: two orders of 1.5 s through each machine at once.
clients=()
send_orders() {
  local name number
  for name in "${apps[@]}"; do
    for number in 1 2; do
      request "$name" POST "/order/$1?work=1500" "$1-$name-$number" 5000 >> "$record" &
      clients+=($!)
    done
  done
}

note "step=orders_without_a_change"
send_orders calm
wait "${clients[@]}"
clients=()
pause_ms "$stable_window_ms"

note "step=orders_during_the_changes trouble=$trouble"
send_orders changed
pause_ms 300
if [ "$trouble" = 1 ]; then
  put "$folder/r2.json" r1 || cannot_run "r2 is not acknowledged"
  pause_ms 300
  put "$folder/r3.json" r2 || cannot_run "r3 is not acknowledged"
fi
wait "${clients[@]}"
pause_ms 1500
finish_record

# An order is lost if a backend began to run it and the client's connection
# ended without a complete answer, well before its time was over.
lost() {
  local id count=0
  for id in $(awk -v prefix="request=$1-" '$2 == "client" && index($0, prefix) && / status=0 / {
      sub(/.*request=/, ""); sub(/ .*/, ""); print }' "$record"); do
    grep -q "event=run request=$id " "$record" && count=$((count + 1))
  done
  echo "$count"
}
calm=$(lost calm)
changed=$(lost changed)
crashed=$(grep -c 'event=process_ended' "$record")
sent=$((2 * ${#apps[@]}))
echo "orders without a change: $calm of $sent lost; during the changes: $changed of $sent lost; daemons that ended: $crashed" | tee -a "$record"
[ "$calm" = 0 ] || cannot_run "orders were lost without a change"
[ "$changed" = 0 ] && [ "$crashed" = 0 ]
