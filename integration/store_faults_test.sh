#!/usr/bin/env bash
# Kills a server while the store is down, and another one while the store loses
# responses: keys of other servers stay served, and keys of the killed servers
# are served again within 3 s once the store responds.
# Usage: store_faults_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

start_small_fleet 3
start_load 25 d1 d2 d3
sleep 2
control_platform '{"mode":"down"}'
sleep 1
record_event all-but catalogue-1
kill_program catalogue-1
sleep 4
# Leases of the other servers must be renewed without the store.
record_event all-but catalogue-1
sleep 1
control_platform '{"mode":"up"}'
record_event orphaned catalogue-1
sleep 4
control_platform '{"lose_answers":3}'
record_event killed catalogue-2
kill_program catalogue-2
await_load
check_load
echo "store faults: ok"
