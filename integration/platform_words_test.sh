#!/usr/bin/env bash
# The platform's wire names stand in platform/ and deploy/ only.
# Usage: platform_words_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
words='trafficSplit|pathPrefix|targetLatencyMs|maxAttempts|holdMs|allowStale|warmupLeftMs|configVersion|createRev|Gentianreach-[A-Z]|/api/(objects|grant|release|readiness)'
found=$(grep -rnE "$words" src include tools standins bench samples schema soak || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
# The check itself works: it finds the names where they belong.
grep -qE "$words" platform/decode.cc
echo "no name of the platform outside platform/"
