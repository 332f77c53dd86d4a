#!/usr/bin/env bash
# Freezes a server and resumes it with requests in its queue, then kills the
# assigner, then a server together with the new assigner.
# Usage: process_faults_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

# assigner DAEMON: prints the name of the current assigner, as DAEMON reports it.
assigner() {
  get_operator "$1" /status | grep -o '"assigner":"[^"]*"' | cut -d'"' -f4 | cut -d. -f1
}

# other_than NAME...: prints the first daemon that is not one of NAME.
other_than() {
  local it
  for it in d1 d2 d3 d4; do
    [[ " $* " == *" $it "* ]] || { echo "$it"; return; }
  done
}

start_small_fleet 4
start_load 20 d1 d2 d3 d4
sleep 2
record_event frozen catalogue-1
kill -STOP "${pid_of[catalogue-1]}"
sleep 4
kill -CONT "${pid_of[catalogue-1]}"
sleep 1
first=$(assigner d1)
[ -n "$first" ] || fail "no assigner"
record_event all-but none
kill_program "$first"
sleep 5
second=$(assigner "$(other_than "$first")")
[ "$second" != "$first" ] || fail "$first was killed but is still the assigner"
record_event killed catalogue-2
kill_program catalogue-2
kill_program "$second"
await_load
check_load
echo "process faults: ok"
