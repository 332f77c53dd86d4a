#!/usr/bin/env bash
# An accepted change comes in force on twelve daemons, over loopback with real
# programs, and stays in force while the store is away. Usage:
# settings_fleet_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

daemons=12
start_platform
for i in 1 2; do start_backend "s$i" catalogue "zone-$i" --keyed; done
publish_vms
apply_settings docs/examples/demo.ini
for ((i = 1; i <= daemons; i++)); do start_daemon "d$i" "zone-$((i % 3))"; done
operators=""
for ((i = 1; i <= daemons; i++)); do
  await_ready "d$i"
  operators+="${operators:+,}$(operator_address "d$i")"
done
ctl() { "$build/gentianreachctl" --store "$platform" --daemon "$operators" "$@"; }

# Seconds until in force everywhere, as the command sees it.
for value in 17KiB 18KiB 19KiB; do
  began=$(date +%s%N)
  ctl settings set limits/max_header "$value" --wait > /dev/null || fail "not in force everywhere"
  echo "in force on $daemons daemons after $((($(date +%s%N) - began) / 1000000)) ms"
done
version=$(ctl settings get --json | grep -o '"version": [0-9]*' | grep -o '[0-9]*')
[ "$version" -eq 4 ] || fail "version $version after four changes"

kill -KILL "${pid_of[platform]}"
sleep 3
running=$(ctl settings status 2> /dev/null | grep -c -E '^d[0-9]+\.[0-9]+ +4 ' || true)
[ "$running" -eq "$daemons" ] || fail "$running daemons run version 4 without the store"
echo "settings fleet: ok"
