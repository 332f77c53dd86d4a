#!/usr/bin/env bash
# Builds the stand-ins of review/11 and review/12 into target/review-3. Needs the
# build of the deploy file and nothing beyond its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/standins-3/*.cc; do
  "${CXX:-g++}" -std=c++20 -O2 -pthread "$source" -o "$out/$(basename "$source" .cc)"
done
