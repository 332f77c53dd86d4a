#!/usr/bin/env bash
# Runs clang-tidy on files, except those that passed before with the same content
# and the same project headers.
# Usage: scripts/tidy.sh BUILD_DIR FILE...
set -euo pipefail
build=$1
shift
cache=${GENTIANREACH_TIDY_CACHE:-$HOME/.cache/gentianreach-tidy}
mkdir -p "$cache"
failed=0
for it in "$@"; do
  # The result also depends on the project headers that the file includes, so
  # the cache key is a hash over all of them.
  key=$(cat .clang-tidy "$it" $(g++ -std=c++20 -MM -Iinclude -Isrc -I. $(pkg-config --cflags glib-2.0 gio-2.0 libsoup-3.0) "$it" 2>/dev/null | tr -d '\\\n' | tr ' ' '\n' | grep -E '^(include|src|platform|soak|standins|tools|bench|samples)/' | sort -u) | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && continue
  clang-tidy --quiet -p "$build" "$it" 2>/dev/null || { echo "lint failed: $it" >&2; failed=1; continue; }
  touch "$cache/$key"
done
exit "$failed"
