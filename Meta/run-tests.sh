#!/usr/bin/env bash
# Runs every test program case by case and prints "N passed, N failed".
# Cases listed in KNOWN-RED.txt are run and printed, but do not fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
export CRANBERRYFOLD_BIN="$PWD/build/bin" CRANBERRYFOLD_SOURCE="$PWD"
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

# Each case is its own process, so that an aborting invariant fails one case.
run_case() {
  program=$1 case=$2
  name="$(basename "$program" | sed 's/^Test//')/$case"
  log="$results/$(tr '/ ' '__' <<<"$name").log"
  if "$program" --run_test="$case" --report_level=no > "$log" 2>&1; then
    echo "ok   $name" | tee "$results/$(tr '/ ' '__' <<<"$name").ok"
  elif grep -q "^test: $name\$" KNOWN-RED.txt 2>/dev/null; then
    echo "known red $name" | tee "$results/$(tr '/ ' '__' <<<"$name").red"
  else
    { echo "FAIL $name"; tail -n 60 "$log"; } | tee "$results/$(tr '/ ' '__' <<<"$name").fail"
  fi
}
export -f run_case
export results

list_cases() {
  for program in build/bin/Test*; do
    "$program" --list_content 2>&1 | awk -v program="$program" '
      { indent = match($0, /[^ ]/) - 1; name = $1; sub(/\*$/, "", name); depth = indent / 4
        path[depth] = name; full = path[0]; for (i = 1; i <= depth; i++) full = full "/" path[i]
        if (NR > 1 && indent <= lastIndent) print program, last
        last = full; lastIndent = indent }
      END { if (NR) print program, last }'
  done
}

list_cases | xargs -P "${TEST_JOBS:-4}" -L 1 bash -c 'run_case "$0" "$1"'
passed=$(find "$results" -name '*.ok' | wc -l)
failed=$(find "$results" -name '*.fail' | wc -l)
red=$(find "$results" -name '*.red' | wc -l)
[ "$red" -eq 0 ] || cat "$results"/*.red
if [ "$passed" -eq 0 ]; then failed=$((failed + 1)); echo "no test ran"; fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
