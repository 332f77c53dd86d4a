#!/usr/bin/env bash
# A server dies while the store is away, and another one while the store loses
# answers: the keys of the others go on, and theirs are served again within 3 s
# of a store that answers. Usage: store_faults_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

start_small_fleet 3
start_load 17 d1 d2 d3
sleep 2
control_platform '{"mode":"down"}'
sleep 1
note_event all-but catalogue-1
kill_program catalogue-1
sleep 4
# The others' leases are renewed without the store.
note_event all-but catalogue-1
sleep 1
control_platform '{"mode":"up"}'
note_event orphaned catalogue-1
sleep 4
control_platform '{"lose_answers":3}'
note_event killed catalogue-2
kill_program catalogue-2
await_load
check_load
echo "store faults: ok"
