# Starts fakes and daemons on loopback and stops them by process id. Source it
# with the build folder as argument; sets $dir to a temporary folder.
build=$1
dir=$(mktemp -d)
declare -A pid_of
vms=""

stop_fleet() {
  for it in "${pid_of[@]}"; do kill -KILL "$it" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop_fleet EXIT

fail() {
  echo "FAILED: $*" >&2
  tail -n 20 "$dir"/d*.log >&2 || true
  exit 1
}

# run NAME COMMAND...: starts a program with stdout in NAME.out and stderr in NAME.log.
run() {
  local name=$1
  shift
  rm -f "$dir/$name.out" "$dir/$name.log"
  "$@" > "$dir/$name.out" 2> "$dir/$name.log" &
  pid_of[$name]=$!
}

# await_line FILE PATTERN: waits for a line that matches and prints it.
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

# start_daemon NAME ZONE [CALLER_ADDRESS [SECURITY]]: SECURITY holds the TLS
# settings for connections between daemons.
start_daemon() {
  cat > "$dir/$1.ini" <<EOF
[daemon]
name = $1
zone = $2
caller_address = ${3:-127.0.0.1:0}
operator_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
store = http://$platform
${4:-insecure = true}
EOF
  run "$1" "$build/gentianreachd" --config "$dir/$1.ini"
}

caller_address() {
  await_line "$dir/$1.log" 'for=callers' | sed 's/.*address=//'
}

operator_address() {
  await_line "$dir/$1.log" 'for=operators' | sed 's/.*address=//'
}

# await_ready DAEMON: waits until the load balancer's health check passes.
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

# kill_program NAME: kills a program without a graceful stop, as if its VM failed.
kill_program() {
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null || true
  unset "pid_of[$1]"
}

control_platform() {
  curl -s -f -m 5 -d "$1" "http://$platform/control" > /dev/null
}

# start_recorded_backend ID SERVICE ZONE [OPTIONS...]: starts a backend server that
# records its runs.
start_recorded_backend() {
  start_backend "$@" --runs-file "$dir/$1.runs"
}

# record_event WHAT SERVER: records a fault at the current CLOCK_BOOTTIME in ns.
record_event() {
  awk -v what="$1" -v server="$2" '{printf "%s %s %.0f\n", what, server, $1 * 1e9}' /proc/uptime >> "$dir/events"
}

# start_load SECONDS DAEMON...: starts a load generator that uses all the daemons.
start_load() {
  local seconds=$1
  shift
  start_load_to load "$seconds" "$dir/outcomes" "$@"
}

# start_load_to NAME SECONDS FILE DAEMON...: writes the outcomes to FILE.
start_load_to() {
  local name=$1 seconds=$2 out=$3 options=() it
  shift 3
  for it in "$@"; do options+=(--daemon "$(caller_address "$it")"); done
  run "$name" "$build/demo_load" --name "$name" --seconds "$seconds" --out "$out" --threads "${load_threads:-8}" "${options[@]}"
}

# await_load [NAME]: waits for the end of a load generator.
await_load() {
  wait "${pid_of[${1:-load}]}" || fail "the load generator exited with $?"
  unset "pid_of[${1:-load}]"
}

# check_load [OPTIONS...]: prints demo_check's table; fails if a guarantee was
# violated.
check_load() {
  touch "$dir/events"
  "$build/demo_check" --outcomes "$dir/outcomes" --events "$dir/events" --runs "$dir"/*.runs "$@" || fail "a guarantee was violated"
}

# get_operator DAEMON PATH: prints a response from the daemon's operator address.
get_operator() {
  curl -s -f -m 5 "http://$(operator_address "$1")$2"
}

# start_small_fleet DAEMONS: starts backend servers for every service of both
# customers and the given number of daemons, and waits until they are ready.
start_small_fleet() {
  local i
  start_platform
  for i in 1 2 3; do start_recorded_backend "catalogue-$i" catalogue bilbao --keyed; done
  for i in 1 2; do start_recorded_backend "boats-$i" boats koper --keyed --slots 6; done
  for i in 1 2; do start_recorded_backend "orders-$i" orders bilbao --service-ms "${order_ms:-5}"; done
  start_recorded_backend feed-1 partner-feed bilbao
  publish_vms
  apply_settings docs/examples/both-customers.ini
  for ((i = 1; i <= $1; i++)); do start_daemon "d$i" "zone-$i"; done
  for ((i = 1; i <= $1; i++)); do await_ready "d$i"; done
}
