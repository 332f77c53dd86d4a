#!/usr/bin/env bash
# Starts three entry daemons with the command of the deploy file, and the
# stand-in killer_request with store, instances and clients. See claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gentianreach_entryd ] && [ -x target/review-3/killer_request ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 1 110 target/review-3/killer_request dark "$folder" target/gentianreach_entryd review/11/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
