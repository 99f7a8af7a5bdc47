#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/.build. Needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p .build
flags="-std=c++20 -O2 -Wall -Wextra -pthread"
${CXX:-g++} $flags -c -o .build/stand_in.o stand_in/stand_in.cpp
for source in */case.cpp; do
  name=$(dirname "$source")
  ${CXX:-g++} $flags -o ".build/case-$name" "$source" .build/stand_in.o
done
