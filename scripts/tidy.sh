#!/usr/bin/env bash
# Lints files, skipping those whose preprocessed text passed before.
# Usage: scripts/tidy.sh BUILD_DIR FILE...
set -euo pipefail
build=$1
shift
cache=${GENTIANREACH_TIDY_CACHE:-$HOME/.cache/gentianreach-tidy}
mkdir -p "$cache"
failed=0
for it in "$@"; do
  # A file's result depends on the headers of this project that it includes,
  # so the key covers them all: cheap, and never stale.
  stamp=$(cat .clang-tidy "$it" $(g++ -std=c++20 -MM -Iinclude -Isrc -I. $(pkg-config --cflags glib-2.0 gio-2.0 libsoup-3.0) "$it" 2>/dev/null | tr -d '\\\n' | tr ' ' '\n' | grep -E '^(include|src|platform|soak|standins|tools|bench|samples)/' | sort -u) | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$stamp" ] && continue
  clang-tidy --quiet -p "$build" "$it" 2>/dev/null || { echo "lint failed: $it" >&2; failed=1; continue; }
  touch "$cache/$stamp"
done
exit "$failed"
