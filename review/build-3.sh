#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start, into build/review-3/. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."

compiler=${CXX:-g++}
options=(-std=c++20 -O2 -Wall -Wextra -pthread)
sources=review/stand-3
output=build/review-3
mkdir -p "$output"

objects=()
for unit in net record replica deployment; do
  "$compiler" "${options[@]}" -c "$sources/$unit.cpp" -o "$output/$unit.o"
  objects+=("$output/$unit.o")
done
for program in "$sources"/case_*.cpp; do
  "$compiler" "${options[@]}" "$program" "${objects[@]}" -o "$output/$(basename "$program" .cpp)"
done
