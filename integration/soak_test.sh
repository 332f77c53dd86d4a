#!/usr/bin/env bash
# Short soak test with the seeds of soak/regression_seeds.txt. Does not check time
# limits, since other tests may load the machine. Usage: soak_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
# Seeds with options, such as "7:--cut-links".
seeds=$(grep -v '^#' soak/regression_seeds.txt | cut -d' ' -f1)
[ -n "$seeds" ] || { echo "no seeds in soak/regression_seeds.txt"; exit 1; }
failed=""
# A seed must always give the same plan.
first=${seeds%%$'\n'*}
first=${first%%:*}
plan() { "$1/soak" --programs "$1" --logs "$logs" --seed "$first" --seconds 10 --print-plan; }
[ "$(plan "$1")" = "$(plan "$1")" ] || { echo "two plans for seed $first differ"; exit 1; }
for it in $seeds; do
  IFS=: read -ra options <<< "$it"
  "$1/soak" --programs "$1" --logs "$logs/$it" --seed "${options[0]}" --seconds 10 --no-times "${options[@]:1}" || failed+=" $it"
done
[ -z "$failed" ] || { echo "failed seeds:$failed"; exit 1; }
echo "soak: ok"
