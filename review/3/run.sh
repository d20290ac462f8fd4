#!/usr/bin/env bash
# A machine crashes for good with its backend and its address goes to another
# service, while another machine is frozen. That one wakes with requests of its
# clients waiting.
source "$(dirname "$0")/../lib.sh"
# With TROUBLE=0 the case does the same without the disruption.
trouble=${TROUBLE:-1}

seeds=("$subnet.1" "$subnet.2" "$subnet.3")
machine core-1 1 zone-a region-a
machine core-2 2 zone-b region-a
machine core-3 3 zone-c region-b
# reused crashes; frozen has it as the nearest upstream of the orders.
machine reused 11 zone-a region-a orders
machine frozen 12 zone-a region-a catalogue
machine app-3 13 zone-b region-a orders
machine app-4 14 zone-c region-b orders
machine app-5 15 zone-c region-b orders
machine app-6 16 zone-b region-a catalogue
machine app-7 17 zone-c region-b catalogue
apps=(reused frozen app-3 app-4 app-5 app-6 app-7)
# AddrReuseS and a little more.
reuse_ms=2300
freeze_ms=4000

write_tables "$folder/r1.json" r1 orders orders catalogue
for name in core-1 core-2 core-3 "${apps[@]}"; do start_daemon "$name"; done
for name in "${apps[@]}"; do start_backend "$name" "backend-$name"; done
put "$folder/r1.json" 0 || cannot_run "the first configuration is not accepted"
for name in "${apps[@]}"; do
  wait_until_served "$name" "/order/w?work=5"
  wait_until_served "$name" "/browse/w?work=5"
done
pause_ms $((stable_window_ms + 1000))

if [ "$trouble" = 1 ]; then
  note "step=freeze machine=frozen"
  kill -STOP "$(daemon_pid frozen)"
  pause_ms 300
  note "step=crash machine=reused"
  touch "$folder/reused.off"
  kill -KILL "$(daemon_pid reused)" "$(backend_pid reused)"
  pause_ms "$reuse_ms"
  note "step=reuse address of reused, service=catalogue"
  rm "$folder/reused.off"
  service_of[reused]=catalogue
  write_settings reused region-a
  start_daemon reused
  start_backend reused backend-reused-again
  pause_ms $((freeze_ms - reuse_ms - 300 - 400))
fi
note "step=orders trouble=$trouble"
clients=()
send_orders() {
  local number
  for number in $(seq "$2"); do
    request frozen POST "/order/o?work=20" "$1-$number" 6000 >> "$record" &
    clients+=($!)
  done
}
send_orders waiting 20
pause_ms 400
if [ "$trouble" = 1 ]; then
  note "step=wake machine=frozen"
  kill -CONT "$(daemon_pid frozen)"
fi
for round in $(seq 20); do
  send_orders "later-$round" 2
  pause_ms 50
done
wait "${clients[@]}"
finish_record

foreign=$(grep -c 'service=catalogue event=run .*target=/order/' "$record")
echo "orders that a backend of the catalogue ran: $foreign of 60" | tee -a "$record"
[ "$foreign" = 0 ]
