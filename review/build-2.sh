#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for part in http hosts peers; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "review/stand-2/stand_$part.cpp" -o "$out/stand_$part.o" &
done
wait
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  [ "$number" -ge 6 ] 2>/dev/null || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" "$out"/stand_{http,hosts,peers}.o \
    -o "$out/case-$number"
done
