#!/usr/bin/env bash
# Generates src/generated from schema/. With --check, only checks that it is up to
# date.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v flatc >/dev/null || { echo "flatc is not installed: generated code not checked"; exit 0; }
out=src/generated
[ "${1:-}" = --check ] && out=$(mktemp -d)
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o "$out" schema/*.fbs
# Embeds the settings schema with its attributes for checks at run time.
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums --bfbs-gen-embed --bfbs-builtins --bfbs-comments -o "$out" schema/settings.fbs
if [ "${1:-}" = --check ]; then
  diff -r "$out" src/generated || { echo "src/generated differs from schema/: run scripts/generate.sh" >&2; exit 1; }
  rm -r "$out"
fi
