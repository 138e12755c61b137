#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases, after the build of the deploy file, from whose
# libraries they take HTTP and base64. The programs go to target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
libraries="-lquetzalyoke_async -lquetzalyoke_base -lquetzalyoke_core -lquetzalyoke_wire"
packages="thrift libglog inih spdlog"
flags="-std=c++20 -O1 -I. -Isrc -Ireview/standins -Itest/scenarios/runner $(pkg-config --cflags $packages)"
for part in review/standins/Fleet.cpp test/scenarios/runner/LinkRelay.cpp; do
    g++ $flags -c "$part" -o "target/review/$(basename "$part" .cpp).o" &
done
for source in review/[1-9]/*.cpp; do
    [ -e "$source" ] || continue
    g++ $flags -c "$source" -o "target/review/$(basename "$source" .cpp).o" &
done
wait
for source in review/[1-9]/*.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .cpp)
    g++ -o "target/review/$name" "target/review/$name.o" target/review/Fleet.o \
        target/review/LinkRelay.o -Ltarget $libraries $(pkg-config --libs $packages) \
        -lprometheus-cpp-core -lfmt -lpthread
done
