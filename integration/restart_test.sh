#!/usr/bin/env bash
# Kills all daemons at once and restarts them: every key must have its previous
# owner, or another one with a higher token. Usage: restart_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

# token_of DAEMON KEY: prints the token of the key's owner.
token_of() {
  get_operator "$1" "/owners?service=catalogue&key=$2" | grep -o '"token":[0-9]*' | cut -d: -f2
}
owner_of() {
  get_operator "$1" "/owners?service=catalogue&key=$2" | grep -o '"server":"[^"]*"'
}

start_small_fleet 3
start_load 20 d1 d2 d3
sleep 2
declare -A address token owner
for i in 1 2 3; do address[d$i]=$(caller_address "d$i"); done
for key in k0 k1 k2 k3; do
  token[$key]=$(token_of d1 "$key")
  owner[$key]=$(owner_of d1 "$key")
done
kill -KILL "${pid_of[d1]}" "${pid_of[d2]}" "${pid_of[d3]}"
for i in 1 2 3; do wait "${pid_of[d$i]}" 2>/dev/null || true; done
for i in 1 2 3; do start_daemon "d$i" "zone-$i" "${address[d$i]}"; done
for i in 1 2 3; do await_ready "d$i"; done
await_load
for key in k0 k1 k2 k3; do
  now=$(token_of d1 "$key")
  [ "$now" -ge "${token[$key]}" ] || fail "$key: token $now after ${token[$key]}"
  [ "$now" -gt "${token[$key]}" ] || [ "$(owner_of d1 "$key")" = "${owner[$key]}" ] || fail "$key: owner changed without a higher token"
  owners=$(for i in 1 2 3; do owner_of "d$i" "$key"; done | sort -u | wc -l)
  [ "$owners" -eq 1 ] || fail "$key: daemons report $owners different owners"
  curl -s -i -m 5 "http://${address[d1]}/catalogue/$key/again" | grep -qi '^gentianreach-verdict: answered' || fail "$key is not served"
done
check_load
echo "restart: ok"
