#!/usr/bin/env bash
# Builds everything into build/. Arguments are passed to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets several checkouts share compiler results.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja "$@" > build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build ${BUILD_JOBS:+-j "$BUILD_JOBS"}
