#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs the compiler and nlohmann-json3-dev, as the deploy file's build does.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/test/*.cpp; do
    name=$(basename "$source" .cpp)
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
