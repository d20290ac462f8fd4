#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compile() {
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$@"
}
compile -c review/stand_in_3/harness.cpp -o target/review-3/harness.o
for source in review/stand_in_3/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = harness ] ||
    compile "$source" target/review-3/harness.o -o "target/review-3/$name"
done
