#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with all stand-ins, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$name" "$source" review/stand_in_3/*.cpp
done
