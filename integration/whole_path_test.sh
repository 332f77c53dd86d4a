#!/usr/bin/env bash
# End-to-end test: requests through every daemon reach the owner of their key and
# the response returns. Uses real programs on loopback.
# Usage: whole_path_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

start_platform
for i in 1 2 3; do start_backend "s$i" catalogue "zone-$((i % 3))" --keyed; done
for i in 1 2; do start_backend "o$i" orders "zone-$i"; done
publish_vms
apply_settings docs/examples/demo.ini
for i in 1 2 3; do start_daemon "d$i" "zone-$i"; done
for i in 1 2 3; do await_ready "d$i"; done

for i in 1 2 3; do
  for path in "/catalogue/praline-$i" /orders/7; do
    answer=$(curl -s -i -m 5 "http://$(caller_address "d$i")$path")
    grep -q '^HTTP/1.1 200' <<< "$answer" || fail "d$i $path: $answer"
    grep -qi '^gentianreach-verdict: answered' <<< "$answer" || fail "d$i $path: $answer"
  done
done

# All daemons must report the same owner for a key.
owners=$(for i in 1 2 3; do curl -s -m 5 "http://$(operator_address "d$i")/owners?service=catalogue&key=praline-1"; done \
  | grep -o '"server":"[^"]*"' | sort -u | wc -l)
[ "$owners" -eq 1 ] || fail "daemons report $owners different owners of one key"

# A request that matches no route gets the verdict not-run.
curl -s -i -m 5 "http://$(caller_address d1)/nowhere" | grep -qi '^gentianreach-verdict: not-run' || fail "no verdict for /nowhere"

# SIGTERM must stop a daemon gracefully.
stop_daemon d1
grep -q 'event=stopped left=true' "$dir/d1.log" || fail "d1 did not leave the cell"
echo "whole path: ok"
