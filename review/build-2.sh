#!/usr/bin/env bash
# Builds the programs that the scripts of review/4 to review/8 start beside the daemon: a case with its stand-ins each. To be run after
# the build of the deploy file; it needs no package beyond those of that file.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/[4-8]/test/Case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$(dirname "$source")")")
    g++ -std=c++20 -O1 -pthread -I review/support "$source" -o "target/review-2/case-$number"
done
