#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md. Prints the tables of the runs;
# byte and message counts do not depend on the machine, processor times do.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${CRANBERRYFOLD_BIN:-$PWD/build/bin}
echo "== dissemination and membership, by number of daemons"
"$bin/random_run" dissemination --daemons 100,400,1700 --edits 6 --csv "${1:-build/dissemination.csv}"
echo "== claims"
"$bin/random_run" claim_costs --steps 10000
echo "== restart of a control replica, by number of edits"
for edits in 500 5000 20000; do
  "$bin/random_run" control_restart --steps "$edits"
done
