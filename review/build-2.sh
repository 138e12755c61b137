#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 2 start, into review/standins-2/bin.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p bin
g++ -std=c++20 -O2 -c -o bin/Rig.o Rig.cpp
for program in EarlyAnswers EmptyTakeUp PlannedStop SlowReader; do
    g++ -std=c++20 -O2 -o "bin/$program" "$program.cpp" bin/Rig.o -lpthread
done
