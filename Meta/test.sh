#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. Ends with the counts.
set -uo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh && Meta/build.sh "$@" || exit 1
exec Meta/run-tests.sh
