#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 6 to 10 into target/review-2. They need a C++20
# compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand_in_2"
for source in sockets fleet; do
  ${CXX:-g++} $flags -c "review/stand_in_2/$source.cpp" -o "target/review-2/$source.o"
done
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/scenario.cpp" ] || continue
  ${CXX:-g++} $flags "$folder/scenario.cpp" target/review-2/sockets.o target/review-2/fleet.o \
    -o "target/review-2/case-${folder#review/}"
done
