#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in Backend Ask; do
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread \
    review/stand_ins/Http.cpp "review/stand_ins/$program.cpp" \
    -o "target/review/${program,,}"
done
