#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" \
    "$source" review/standin/net.cpp review/standin/deployment.cpp
done
