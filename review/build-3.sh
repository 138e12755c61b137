#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
    source="review/$number/case.cpp"
    [ -f "$source" ] || continue
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/case-$number"
done
