#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into
# target/review-2/. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_in_2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = harness ] && continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" \
    "$source" review/stand_in_2/harness.cpp &
done
wait
for source in review/stand_in_2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = harness ] || [ -x "target/review-2/$name" ]
done
