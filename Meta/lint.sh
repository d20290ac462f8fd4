#!/usr/bin/env bash
# Checks formatting and runs clang-tidy over the compile database of build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror "${files[@]}"
[ "${1:-}" = --format-only ] && exit 0
run-clang-tidy -quiet -extra-arg=-Wno-unknown-warning-option -p build -j "${LINT_JOBS:-$(nproc)}" '.*/(Libraries|Services|Utilities|Tests|platform)/.*\.cpp$' \
  > build/clang-tidy.log 2>&1 || { grep -E 'error:|warning:' build/clang-tidy.log | sort -u; exit 1; }
echo "lint clean"
