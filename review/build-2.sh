#!/usr/bin/env bash
# Builds the scenarios of the second review, with their stand-ins, into target/review. Needs the packages of the deploy
# file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 6 7 8 9 10; do
  source="review/$number/scenario.cpp"
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/second-$number" "$source" -lboost_json -lcrypto -pthread
done
