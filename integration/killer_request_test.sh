#!/usr/bin/env bash
# A request that crashes servers is quarantined by all daemons after it has
# crashed two, and other requests are still served.
# Usage: killer_request_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

start_platform
for i in 1 2 3 4; do start_backend "s$i" catalogue zone-1 --keyed --crash-on poison; done
for i in 1 2 3 4; do start_backend "o$i" orders zone-1 --crash-on poison; done
publish_vms
apply_settings docs/examples/demo.ini
for i in 1 2 3; do start_daemon "d$i" "zone-$i"; done
for i in 1 2 3; do await_ready "d$i"; done

# count_running PREFIX: prints the number of running servers.
count_running() {
  local i n=0
  for i in 1 2 3 4; do kill -0 "${pid_of[$1$i]}" 2>/dev/null && n=$((n + 1)); done
  echo "$n"
}
# send DAEMON TARGET [OPTIONS...]: prints the verdict and the reason.
send() {
  local daemon=$1 target=$2
  shift 2
  curl -s -i -m 10 "$@" "http://$(caller_address "$daemon")$target" | tr -d '\r' | grep -iE '^gentianreach-(verdict|reason)' | cut -d' ' -f2 | tr '\n' ' '
}
# expect_quarantine PREFIX TARGET OPTIONS...: sends the request through every
# daemon, like a caller that retries, with time for keys to be reassigned.
expect_quarantine() {
  local prefix=$1 target=$2 round last=""
  shift 2
  for round in 1 2 3 1 2 3; do
    last=$(send "d$round" "$target" "$@")
    echo "$target through d$round: $last, $(count_running "$prefix") servers run"
    [ "$(count_running "$prefix")" -ge 2 ] || fail "$target crashed a third server"
    sleep 1
  done
  [[ "$last" == "not-run quarantined "* ]] || fail "$target is not quarantined: $last"
  [ "$(count_running "$prefix")" -eq 2 ] || fail "$(count_running "$prefix") servers run, so the request did not crash two"
}

expect_quarantine o /orders/poison -d x
expect_quarantine s /catalogue/k1/poison
for i in 1 2 3; do
  for target in /orders/ordinary /catalogue/k1/ordinary /catalogue/k2; do
    [[ "$(send "d$i" "$target")" == answered* ]] || fail "d$i $target: $(send "d$i" "$target")"
  done
done
echo "killer request: ok"
