#!/usr/bin/env bash
# A short soak: the seeds of soak/regression_seeds.txt, without a judgement of
# times, since other tests may load the machine. Usage: soak_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
seeds=$(grep -v '^#' soak/regression_seeds.txt | cut -d' ' -f1)
[ -n "$seeds" ] || { echo "no seeds"; exit 1; }
failed=""
# The plan of a seed is the same every time.
first=${seeds%%$'\n'*}
plan() { "$1/soak" --programs "$1" --logs "$logs" --seed "$first" --seconds 10 --print-plan; }
[ "$(plan "$1")" = "$(plan "$1")" ] || { echo "two plans of seed $first differ"; exit 1; }
for seed in $seeds; do
  "$1/soak" --programs "$1" --logs "$logs/$seed" --seed "$seed" --seconds 10 --no-times || failed+=" $seed"
done
[ -z "$failed" ] || { echo "seeds that failed:$failed"; exit 1; }
echo "soak: ok"
