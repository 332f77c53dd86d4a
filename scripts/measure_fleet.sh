#!/usr/bin/env bash
# Measures one cell of real daemons on loopback, first idle, then under load.
# Prints one CSV row; with --header, prints only the column names.
# Usage: measure_fleet.sh BUILD_DIR SECONDS DAEMONS | measure_fleet.sh --header
set -euo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."

names="daemons,backends,cpu_ms_per_s_mean,cpu_ms_per_s_max,rss_kib_mean,rss_kib_max"
names+=",peer_frames_out_per_s,peer_bytes_out_per_s,peer_bytes_out_per_s_max"
names+=",store_reads_per_s,store_writes_per_s,store_watches_per_s,store_lists_per_s,store_vms_per_s"
names+=",store_watches_since_start,platform_cpu_ms_per_s"
names+=",idle_connections_keyed,idle_connections_plain"
names+=",loaded_connections_of_120,loaded_connections_of_8"
if [ "$1" = --header ]; then
  echo "$names"
  exit 0
fi

seconds=$2
daemons=$3
. integration/fleet.sh "$1"

cat > "$dir/settings.ini" <<EOF
[services/catalogue]
kind = keyed
slots = 3
connections = 100
[services/orders]
slots = 100
connections = 120
[services/parcels]
slots = 100
connections = 8
[routes/catalogue]
service = catalogue
path_prefix = /catalogue/
key_source = path-segment
key_segment = 1
[routes/orders]
service = orders
path_prefix = /orders
[routes/parcels]
service = parcels
path_prefix = /parcels
EOF

ticks_per_s=$(getconf CLK_TCK)

# cpu_ticks PID: prints the user and system time since the start of the process.
cpu_ticks() {
  sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

rss_kib() {
  awk '/^VmRSS:/ { print $2 }' "/proc/$1/status"
}

# metric DAEMON NAME: prints the value of a metric.
metric() {
  curl -s -f -m 5 "http://$(operator_address "$1")/metrics" | awk -v n="gentianreach_$2" '$1 == n { print $2 }'
}

# calls KIND FILE: prints the number of store calls of KIND, from a saved response
# of /control/calls.
calls() {
  grep -o "\"$1\":[0-9]*" "$2" | cut -d: -f2 || echo 0
}

# connections SERVER: prints the number of established connections of a server.
connections() {
  ss -Htn state established "sport = :${address_of_backend[$1]##*:}" | wc -l
}

# snapshot FILE: writes a row for each daemon to FILE and the store's call counts to
# FILE.calls.
snapshot() {
  local i pid
  curl -s -f -m 5 "http://$platform/control/calls" > "$1.calls"
  echo "platform $(date +%s%N) $(cpu_ticks "${pid_of[platform]}") 0 0 0" > "$1"
  for ((i = 1; i <= daemons; i++)); do
    pid=${pid_of[d$i]}
    echo "d$i $(date +%s%N) $(cpu_ticks "$pid") $(rss_kib "$pid")" \
      "$(metric "d$i" peer_frames_out_total) $(metric "d$i" peer_bytes_out_total)" >> "$1"
  done
}

# loaded_connections SERVICE SERVER: prints the maximum number of connections of
# SERVER while all daemons are under load.
loaded_connections() {
  local i loads=() max=0 n
  for ((i = 1; i <= daemons; i++)); do
    "$build/load" "$(caller_address "d$i")" --connections 40 --seconds 4 --path "/$1/1" > /dev/null 2>&1 &
    loads+=($!)
  done
  for ((i = 0; i < 6; i++)); do
    sleep 0.5
    n=$(connections "$2")
    [ "$n" -gt "$max" ] && max=$n
  done
  wait "${loads[@]}" || true
  echo "$max"
}

start_platform
for i in 1 2 3 4 5 6 7 8; do start_backend "s$i" catalogue "zone-$((i % 3))" --keyed; done
for it in orders parcels; do
  for i in 1 2; do
    start_backend "$it$i" "$it" "zone-$i" --slots 100 --queue 1000 --service-ms 200
  done
done
publish_vms
apply_settings "$dir/settings.ini"
for ((i = 1; i <= daemons; i++)); do start_daemon "d$i" "zone-$((i % 3))"; done
for ((i = 1; i <= daemons; i++)); do await_ready "d$i"; done
sleep 3

snapshot "$dir/before"
sleep "$seconds"
snapshot "$dir/after"
idle=$(connections s1),$(connections parcels1)
of_120=$(loaded_connections orders orders1)
of_8=$(loaded_connections parcels parcels1)

call_rates=""
for it in read write watch list vms; do
  before=$(calls "$it" "$dir/before.calls")
  after=$(calls "$it" "$dir/after.calls")
  call_rates+=" $((${after:-0} - ${before:-0}))"
done

watches=$(calls watch "$dir/after.calls")

join <(sort "$dir/before") <(sort "$dir/after") | awk -v ticks="$ticks_per_s" -v daemons="$daemons" \
  -v rates="$call_rates" -v watches="$watches" -v connections="$idle,$of_120,$of_8" '
  # Fields: name, then time, ticks, KiB, frames and bytes, each before and after.
  { span = ($7 - $2) / 1e9; cpu = 1000 * ($8 - $3) / ticks / span }
  $1 == "platform" { platform = cpu; platform_span = span; next }
  {
    n++; sum += cpu; rss += $9
    frames += ($10 - $5) / span; bytes += ($11 - $6) / span
    if (($11 - $6) / span > most_bytes) most_bytes = ($11 - $6) / span
    if (cpu > most) most = cpu
    if ($9 > most_rss) most_rss = $9
  }
  END {
    split(rates, call, " ")
    printf "%d,12,%.2f,%.2f,%.0f,%.0f,%.1f,%.0f,%.0f", n, sum / n, most, rss / n, most_rss, frames / n, bytes / n, most_bytes
    for (i = 1; i <= 5; i++) printf ",%.2f", call[i] / platform_span
    printf ",%d,%.2f,%s\n", watches, platform, connections
  }'
