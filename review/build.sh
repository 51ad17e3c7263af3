#!/usr/bin/env bash
# Builds the stand-ins and the clients that the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  g++ -std=c++20 -O2 -pthread -c "$source" -o "target/review/$(basename "$source" .cpp).o"
done
ar rcs target/review/libstandin.a target/review/*.o
for source in review/[1-9]/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -pthread "$source" target/review/libstandin.a -o "target/review/case-$number"
done
