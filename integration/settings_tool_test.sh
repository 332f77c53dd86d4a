#!/usr/bin/env bash
# Tests gentianreachctl with a fake store on loopback: changes, conflicts, merges,
# history, restoring a version, the audit trail and exit codes.
# Usage: settings_tool_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
dir=$(mktemp -d)
"$build/fake_platform" > "$dir/out" 2> "$dir/log" &
platform=$!
trap 'kill -KILL $platform 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$dir"' EXIT
for ((i = 0; i < 500; i++)); do
  grep -q '^port=' "$dir/out" && break
  sleep 0.02
done
GENTIANREACH_STORE=127.0.0.1:$(grep -m 1 '^port=' "$dir/out" | cut -d= -f2)
export GENTIANREACH_STORE

fail() {
  echo "FAILED: $*" >&2
  cat "$dir/stdout" "$dir/stderr" >&2
  exit 1
}
# expect CODE ARGUMENTS...: runs the tool and checks its exit code.
expect() {
  local expected=$1 code=0
  shift
  "$build/gentianreachctl" "$@" > "$dir/stdout" 2> "$dir/stderr" || code=$?
  [ "$code" -eq "$expected" ] || fail "exit code $code instead of $expected: $*"
}
expect_stdout() { grep -qF -e "$1" "$dir/stdout" || fail "no '$1' on standard output"; }
expect_stderr() { grep -qF -e "$1" "$dir/stderr" || fail "no '$1' on standard error"; }

printf '[limits]\nmax_header = 16KiB\n[cell]\nrenewal = 250ms\n' > "$dir/a.ini"
printf '[limits]\nmax_headr = 16KiB\n' > "$dir/bad.ini"

expect 2 settings apply "$dir/bad.ini"
expect_stderr "bad.ini:2: limits/max_headr: unknown key; did you mean max_header?"
expect 0 settings apply "$dir/a.ini" --dry-run
expect 0 settings get
[ ! -s "$dir/stdout" ] || fail "a dry run changed the settings"
expect 0 settings apply "$dir/a.ini" --reason "first" --as ana
expect_stdout "accepted as version 1"
expect 0 settings set limits/max_header 32KiB --as ben
expect_stdout "accepted as version 2"
expect 0 settings get limits/max_header
expect_stdout "32KiB"
expect 0 settings get cell --origin
expect_stdout "[cell]"
expect_stdout "default"
expect 5 settings get limits/nothing
expect 2 settings set limits/max_header 32
expect_stderr "settings:2: limits/max_header: expected a unit"

# A concurrent edit based on version 1 is rejected, then merged.
printf '[limits]\nmax_header = 16KiB\n[cell]\nrenewal = 300ms\n' > "$dir/b.ini"
expect 3 settings apply "$dir/b.ini" --base 1
expect_stdout 'limits/max_header: "16KiB" -> "32KiB"'
expect_stdout 'cell/renewal: "250ms" -> "300ms"'
expect 0 settings apply "$dir/b.ini" --base 1 --merge
expect_stdout "accepted as version 3, merged with changes of others"
expect 0 settings get limits/max_header
expect_stdout "32KiB"
expect 0 settings diff --from 1
expect_stdout 'cell/renewal: "250ms" -> "300ms"'
expect 0 settings restore 1 --as ana
expect_stdout "accepted as version 4"
expect 5 settings restore 77
expect 0 settings history
expect_stdout "first"
expect 0 audit --actor ana
expect_stdout "back to version 1"
grep -q ' ben ' "$dir/stdout" && fail "audit --actor printed an entry of another actor"
expect 0 audit --since 1h --json
expect_stdout '"whole": true'
expect 0 settings status
expect_stdout "accepted: version 4 by ana"

expect 2 settings
expect 2 no-such-command
expect 0 --help
expect 1 servers
expect_stderr "no daemon given"
kill -KILL "$platform"
expect 1 settings get
expect_stderr "store"
echo "settings tool: ok"
