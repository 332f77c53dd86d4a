#!/usr/bin/env bash
# Every startup error makes a daemon print one line with the cause and exit with a
# nonzero code.
# Usage: startup_errors_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

# expect_error TEXT COMMAND...: the command must exit with a nonzero code and print
# exactly one line with TEXT.
expect_error() {
  local text=$1 code=0
  shift
  timeout 20 "$@" > "$dir/error.out" 2> "$dir/error.log" || code=$?
  [ "$code" -ne 0 ] || fail "exit code 0: $*"
  [ "$code" -ne 124 ] || fail "does not exit within 20 s: $*"
  grep -v '^time=' "$dir/error.log" > "$dir/error.lines" || true
  [ "$(grep -cF -e "$text" "$dir/error.log")" -eq 1 ] || { cat "$dir/error.log" >&2; fail "not one line with '$text': $*"; }
}

# edit_config NAME SED_EXPRESSION: prints the path of an edited copy of good.ini.
edit_config() {
  sed "$2" "$dir/good.ini" > "$dir/$1.ini"
  echo "$dir/$1.ini"
}

start_platform
start_daemon good zone-1
taken=$(operator_address good)
sleep 0.2
daemon=$build/gentianreachd

"$daemon" --check-config --config "$dir/good.ini" > /dev/null || fail "a valid file is rejected"
expect_error "zone" "$daemon" --config "$(edit_config no-zone '/^zone/d')"
expect_error "zonne" "$daemon" --config "$(edit_config typo 's/^zone/zonne/')"
expect_error "operator_address" "$daemon" --config "$(edit_config address 's/^operator_address.*/operator_address = nowhere/')"
expect_error "no-such-file" "$daemon" --config "$dir/no-such-file.ini"
expect_error "--no-such-flag" "$daemon" --config "$dir/good.ini" --no-such-flag
expect_error "$taken" "$daemon" --config "$(edit_config taken "s/^operator_address.*/operator_address = $taken/")"
expect_error "${taken##*:}" "$daemon" --config "$(edit_config taken-caller "s/^caller_address.*/caller_address = $taken/")"
expect_error "${taken##*:}" "$daemon" --config "$(edit_config taken-peer "s/^peer_address.*/peer_address = $taken/")"
kill_program platform
expect_error "store" "$daemon" --config "$(edit_config no-store 's/x/x/')"
echo "startup errors: ok"
