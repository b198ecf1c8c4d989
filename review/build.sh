#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs only the compiler that the build of the deploy file uses.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review
mkdir -p "$out"
compile() { # compile SOURCE OBJECT
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -c "$1" -o "$out/$2.o"
}
compile review/support/sockets.cpp sockets
compile review/support/deployment.cpp deployment
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  compile "$source" "case_$number"
  "${CXX:-c++}" -pthread "$out/case_$number.o" "$out/deployment.o" "$out/sockets.o" -o "$out/case_$number"
done
