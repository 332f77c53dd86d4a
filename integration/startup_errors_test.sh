#!/usr/bin/env bash
# What keeps a daemon from starting gives one clear line and a nonzero exit.
# Usage: startup_errors_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

# refused TEXT COMMAND...: it has to end by itself, with one line that says so.
refused() {
  local text=$1 code=0
  shift
  timeout 20 "$@" > "$dir/refused.out" 2> "$dir/refused.log" || code=$?
  [ "$code" -ne 0 ] || fail "exit 0: $*"
  [ "$code" -ne 124 ] || fail "does not end: $*"
  grep -v '^time=' "$dir/refused.log" > "$dir/refused.lines" || true
  [ "$(grep -cF -e "$text" "$dir/refused.log")" -eq 1 ] || { cat "$dir/refused.log" >&2; fail "not one line with '$text': $*"; }
}

# with NAME SED_EXPRESSION: a changed copy of a daemon's settings.
with() {
  sed "$2" "$dir/good.ini" > "$dir/$1.ini"
  echo "$dir/$1.ini"
}

start_platform
start_daemon good zone-1
taken=$(operator_address good)
sleep 0.2
daemon=$build/gentianreachd

"$daemon" --check-config --config "$dir/good.ini" > /dev/null || fail "a right file is refused"
refused "zone" "$daemon" --config "$(with no-zone '/^zone/d')"
refused "zonne" "$daemon" --config "$(with typo 's/^zone/zonne/')"
refused "operator_address" "$daemon" --config "$(with address 's/^operator_address.*/operator_address = nowhere/')"
refused "no-such-file" "$daemon" --config "$dir/no-such-file.ini"
refused "--no-such-flag" "$daemon" --config "$dir/good.ini" --no-such-flag
refused "$taken" "$daemon" --config "$(with taken "s/^operator_address.*/operator_address = $taken/")"
refused "${taken##*:}" "$daemon" --config "$(with taken-caller "s/^caller_address.*/caller_address = $taken/")"
refused "${taken##*:}" "$daemon" --config "$(with taken-peer "s/^peer_address.*/peer_address = $taken/")"
kill_program platform
refused "store" "$daemon" --config "$(with no-store 's/x/x/')"
echo "startup errors: ok"
