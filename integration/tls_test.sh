#!/usr/bin/env bash
# Daemons with certificates of one authority form a cell over TLS. A daemon whose
# certificate has another authority or another name cannot join it.
# Usage: tls_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
. integration/fleet.sh "$1"

# make_authority NAME: creates a certificate authority.
make_authority() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 1 -subj "/CN=$1" \
    -keyout "$dir/$1.key" -out "$dir/$1.pem" 2> /dev/null
}
# make_certificate NAME AUTHORITY [DNS_NAME]: creates a signed certificate.
make_certificate() {
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -subj "/CN=$1" \
    -keyout "$dir/$1.key" -out "$dir/$1.csr" 2> /dev/null
  printf 'subjectAltName=DNS:%s\nextendedKeyUsage=serverAuth,clientAuth\n' "${3:-gentianreach}" > "$dir/$1.ext"
  openssl x509 -req -days 1 -in "$dir/$1.csr" -CA "$dir/$2.pem" -CAkey "$dir/$2.key" -CAcreateserial \
    -extfile "$dir/$1.ext" -out "$dir/$1.pem" 2> /dev/null
}
# security CERTIFICATE AUTHORITY: prints the TLS settings of a daemon.
security() {
  printf 'tls_certificate = %s\ntls_key = %s\ntls_authority = %s\n' "$dir/$1.pem" "$dir/$1.key" "$dir/$2.pem"
}
# await_member DAEMON: waits until the daemon is a member of a settled view.
await_member() {
  local i answer
  for ((i = 0; i < 300; i++)); do
    answer=$(get_operator "$1" /status)
    grep -q '"is_member":true' <<< "$answer" && grep -q '"view_settled":true' <<< "$answer" && return 0
    sleep 0.05
  done
  fail "$1 is not a member: $answer"
}
# cell_of DAEMON: prints the fields that change with the members or the assigner.
cell_of() { get_operator "$1" /status | grep -oE '"(assigner|epoch|view|is_member)":[^,}]*'; }

make_authority trusted
make_authority untrusted
for i in 1 2 3; do make_certificate "node-$i" trusted; done
make_certificate foreign untrusted
make_certificate misnamed trusted elsewhere

start_platform
for i in 1 2 3; do start_backend "s$i" catalogue zone-1 --keyed; done
start_backend o1 orders zone-1
publish_vms
apply_settings docs/examples/demo.ini
for i in 1 2 3; do start_daemon "d$i" "zone-$i" "" "$(security "node-$i" trusted)"; done
for i in 1 2 3; do await_ready "d$i"; done
for i in 1 2 3; do await_member "d$i"; done
for i in 1 2 3; do
  curl -s -i -m 5 "http://$(caller_address "d$i")/catalogue/k$i" | grep -qi '^gentianreach-verdict: answered' || fail "d$i does not serve"
done
before=$(cell_of d1)

# These two daemons reach the store, but no daemon accepts their certificates.
start_daemon d8 zone-1 "" "$(security misnamed trusted)"
start_daemon d9 zone-1 "" "$(security foreign untrusted)"
for it in d8 d9; do operator_address "$it" > /dev/null; done
sleep 5
[ "$(cell_of d1)" = "$before" ] || fail "an untrusted daemon changed the cell: $before, then $(cell_of d1)"
for it in d8 d9; do
  get_operator "$it" /status | grep -q '"is_member":false' || fail "the untrusted daemon $it is a member"
done
for i in 1 2 3; do
  curl -s -i -m 5 "http://$(caller_address "d$i")/catalogue/k$i" | grep -qi '^gentianreach-verdict: answered' || fail "d$i no longer serves"
done
echo "tls: ok"
