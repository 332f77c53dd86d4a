#!/usr/bin/env bash
# Drains a server and stops a daemon under load: all requests must be answered
# and no connection may be closed early. Usage: graceful_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

ranges_of() {
  get_operator d2 /servers | tr '{' '\n' | grep "\"server\":\"$1\"" | grep -o '"ranges":[0-9]*' | cut -d: -f2
}

load_threads=3
# Makes orders slow, so that some requests are in flight at any time.
order_ms=100
start_small_fleet 3
start_load_to others 12 "$dir/outcomes-others" d2 d3
start_load_to leaving 12 "$dir/outcomes-leaving" d1
sleep 2
[ "$(ranges_of catalogue-1)" -gt 0 ] || fail "catalogue-1 owns no ranges"
curl -s -f -m 5 -d '{"server":"catalogue-1","drain":true}' "http://$(operator_address d1)/drain" > /dev/null
for ((i = 0; i < 300; i++)); do
  [ "$(ranges_of catalogue-1)" -eq 0 ] && break
  sleep 0.05
done
[ "$(ranges_of catalogue-1)" -eq 0 ] || fail "catalogue-1 still owns $(ranges_of catalogue-1) ranges"
sleep 1

# The load balancer sends d1 no new requests; those in flight must be answered.
kill -TERM "${pid_of[d1]}" "${pid_of[leaving]}"
wait "${pid_of[d1]}" || fail "d1 exited with $?"
unset "pid_of[d1]"
await_load leaving
await_load others
cat "$dir"/outcomes-* > "$dir/outcomes"
check_load --none-refused --none-cut
echo "graceful: ok"
