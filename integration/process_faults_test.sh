#!/usr/bin/env bash
# A server freezes and returns with requests in its queue; the assigner is
# killed; and then a server and the new assigner together.
# Usage: process_faults_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

# assigner ASKED: the name of the daemon that is the assigner now.
assigner() {
  ask "$1" /status | grep -o '"assigner":"[^"]*"' | cut -d'"' -f4 | cut -d. -f1
}

# other_than NAME...: a daemon that runs and is none of these.
other_than() {
  local it
  for it in d1 d2 d3 d4; do
    [[ " $* " == *" $it "* ]] || { echo "$it"; return; }
  done
}

start_small_fleet 4
start_load 20 d1 d2 d3 d4
sleep 2
note_event frozen catalogue-1
kill -STOP "${pid_of[catalogue-1]}"
sleep 4
kill -CONT "${pid_of[catalogue-1]}"
sleep 1
first=$(assigner d1)
[ -n "$first" ] || fail "no assigner"
note_event all-but none
kill_program "$first"
sleep 5
second=$(assigner "$(other_than "$first")")
[ "$second" != "$first" ] || fail "$first is dead and still the assigner"
note_event killed catalogue-2
kill_program catalogue-2
kill_program "$second"
await_load
check_load
echo "process faults: ok"
