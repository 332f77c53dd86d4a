#!/usr/bin/env bash
# An accepted settings change becomes active on twelve real daemons and stays
# active while the store is unavailable. Usage: settings_fleet_test.sh BUILD_DIR
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

# Time until the change is active on all daemons, as "settings set --wait" sees it.
for value in 17KiB 18KiB 19KiB; do
  started=$(date +%s%N)
  ctl settings set limits/max_header "$value" --wait > /dev/null || fail "not active on all daemons"
  echo "active on $daemons daemons after $((($(date +%s%N) - started) / 1000000)) ms"
done
version=$(ctl settings get --json | grep -o '"version": [0-9]*' | grep -o '[0-9]*')
[ "$version" -eq 4 ] || fail "version $version after four changes"

kill -KILL "${pid_of[platform]}"
sleep 3
running=$(ctl settings status 2> /dev/null | grep -c -E '^d[0-9]+\.[0-9]+ +4 ' || true)
[ "$running" -eq "$daemons" ] || fail "only $running daemons use version 4 while the store is unavailable"
echo "settings fleet: ok"
