#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/standin3/*.cpp; do
  name=$(basename "$case" .cpp)
  [ "$name" = harness ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin3 "$case" \
    review/standin3/harness.cpp -o "target/review-3/$name"
done
