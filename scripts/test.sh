#!/usr/bin/env bash
# Installs packages, builds, checks format and lint, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build"
scripts/lint.sh "$build"
ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
