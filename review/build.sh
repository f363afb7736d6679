#!/usr/bin/env bash
# Builds the stand-ins and scenarios of all cases into target/review. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/scenario.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/scenario-$number" "$source" -lboost_json -lcrypto -pthread
done
