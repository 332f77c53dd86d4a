#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Run it after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/standins/*.cc; do
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread \
    -o "target/review/$(basename "$it" .cc)" "$it"
done
echo "stand-ins of the review: built"
