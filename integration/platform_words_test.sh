#!/usr/bin/env bash
# Checks that the platform's wire names occur in platform/ and deploy/ only.
# Usage: platform_words_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
pattern='trafficSplit|pathPrefix|targetLatencyMs|maxAttempts|holdMs|allowStale|warmupLeftMs|warmupPerS|warmupS|configVersion|createRev|Gentianreach-[A-Z]|Server-Limit|/api/(objects|grant|release|readiness)'
found=$(grep -rnE "$pattern" src include tools standins bench samples schema soak || true)
if [ -n "$found" ]; then
  echo "wire names of the platform used outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
# Checks the pattern itself: it must match in platform/.
grep -qE "$pattern" platform/decode.cc
echo "no wire name of the platform is used outside platform/"
