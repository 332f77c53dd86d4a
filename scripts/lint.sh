#!/usr/bin/env bash
# Runs clang-format, the check of generated code, and clang-tidy. Usage: scripts/lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t sources < <(find include src platform soak standins tools bench samples -name '*.h' -o -name '*.cc' | grep -v src/generated/ | sort)
clang-format --dry-run --Werror "${sources[@]}"
scripts/generate.sh --check
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 scripts/tidy.sh "$build"
echo "formatting, generated code and lint: ok"
