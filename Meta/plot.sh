#!/usr/bin/env bash
# Draws the plots of load_tool --plot_out. Arguments: gnuplot scripts.
set -euo pipefail
if ! command -v gnuplot > /dev/null; then
  echo "gnuplot is not installed; no plot was drawn" >&2
  exit 0
fi
for script in "$@"; do
  gnuplot "$script"
done
