#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/.build. Needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p .build
for source in */case.cpp; do
  name=$(dirname "$source")
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o ".build/case-$name" \
    "$source" stand_in/stand_in.cpp
done
