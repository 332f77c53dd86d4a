#!/usr/bin/env bash
# Builds the programs, starts four daemons and a dozen backend servers on loopback
# and sends requests of both customers through every daemon while servers, a
# daemon and the store fail. Exits 0 only if no guarantee was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" --target gentianreachd gentianreachctl fake_platform fake_backend demo_load demo_check >/dev/null
. integration/fleet.sh "$build"

load_seconds=22

start_platform
for i in 1 2 3 4; do start_recorded_backend "catalogue-$i" catalogue bilbao --keyed --slots 3; done
for i in 1 2 3; do start_recorded_backend "boats-$i" boats koper --keyed --slots 6; done
for i in 1 2 3; do start_recorded_backend "orders-$i" orders bilbao; done
for i in 1 2; do start_recorded_backend "feed-$i" partner-feed bilbao; done
publish_vms
"$build/gentianreachctl" --store "$platform" settings apply docs/examples/both-customers.ini --as demo --reason demo
for i in 1 2 3 4; do start_daemon "d$i" "zone-$i"; done
for i in 1 2 3 4; do await_ready "d$i"; done

start_load "$load_seconds" d1 d2 d3 d4
sleep 3
echo "killing the server catalogue-1"
record_event killed catalogue-1
kill_program catalogue-1
sleep 5
echo "freezing the server boats-1 for 4 s"
record_event frozen boats-1
kill -STOP "${pid_of[boats-1]}"
sleep 4
kill -CONT "${pid_of[boats-1]}"
sleep 1
echo "stopping the store for 5 s and killing the daemon d4 meanwhile"
control_platform '{"mode":"down"}'
sleep 1
kill_program d4
sleep 4
control_platform '{"mode":"up"}'
await_load
check_load
echo "no guarantee was violated"
