# Starts stand-ins and daemons on loopback and ends them by process id.
# Sourced with the build folder as argument; sets $dir.
build=$1
dir=$(mktemp -d)
declare -A pid_of
vms=""

end_fleet() {
  for it in "${pid_of[@]}"; do kill -KILL "$it" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap end_fleet EXIT

fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$dir"/d*.log >&2 || true
  exit 1
}

# run NAME COMMAND...: starts a program; its output goes to NAME.out and .log.
run() {
  local name=$1
  shift
  "$@" > "$dir/$name.out" 2> "$dir/$name.log" &
  pid_of[$name]=$!
}

# await_line FILE PATTERN: prints the first line that matches, once there.
await_line() {
  local i
  for ((i = 0; i < 1000; i++)); do
    grep -m 1 -e "$2" "$1" 2>/dev/null && return 0
    sleep 0.02
  done
  fail "no line '$2' in $1"
}

port_of() {
  await_line "$dir/$1.out" '^port=' | cut -d= -f2
}

start_platform() {
  run platform "$build/fake_platform"
  platform=127.0.0.1:$(port_of platform)
}

# start_backend ID SERVICE ZONE [OPTIONS...]
start_backend() {
  local id=$1 service=$2 zone=$3
  shift 3
  run "$id" "$build/fake_backend" --id "$id" --service "$service" "$@"
  address_of_backend[$id]=127.0.0.1:$(port_of "$id")
  vms+="${vms:+,}{\"id\":\"$id\",\"address\":\"${address_of_backend[$id]}\",\"zone\":\"$zone\",\"role\":\"backend\",\"service\":\"$service\",\"state\":\"live\"}"
}
declare -A address_of_backend

publish_vms() {
  curl -s -m 5 -d "{\"vms\":[$vms]}" "http://$platform/control" > /dev/null
}

apply_settings() {
  "$build/gentianreachctl" --store "$platform" settings apply "$1" > /dev/null
}

# start_daemon NAME ZONE
start_daemon() {
  cat > "$dir/$1.ini" <<EOF
[daemon]
name = $1
zone = $2
caller_address = 127.0.0.1:0
operator_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
store = http://$platform
insecure = true
EOF
  run "$1" "$build/gentianreachd" --config "$dir/$1.ini"
}

caller_address() {
  await_line "$dir/$1.log" 'for=callers' | sed 's/.*address=//'
}

operator_address() {
  await_line "$dir/$1.log" 'for=operators' | sed 's/.*address=//'
}

# await_ready DAEMON: until the balancer's check passes.
await_ready() {
  local i address
  address=$(operator_address "$1")
  for ((i = 0; i < 500; i++)); do
    curl -s -f -m 1 "http://$address/healthz" > /dev/null && return 0
    sleep 0.05
  done
  fail "$1 is not ready"
}

# stop_daemon NAME: graceful stop; fails unless it exits 0.
stop_daemon() {
  kill -TERM "${pid_of[$1]}"
  wait "${pid_of[$1]}" || fail "$1 exited with $?"
  unset "pid_of[$1]"
}
