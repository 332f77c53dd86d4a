#!/usr/bin/env bash
# Measures on one machine how costs grow with the size of a deployment. Builds the
# benchmarks and writes values, fitted lines and plots; see README.md.
#
# Usage: measure.sh [--quick] [--only NAME]... [--build DIR] [--out DIR]
#   --quick  fewer seeds and shorter runs; takes a minute, not for publication
#   --only   control, takeover, placement, settings, datapath or fleet
#   --out    output folder; docs/measurements by default
set -euo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."

build=build
out=docs/measurements
quick=false
only=""
while [ $# -gt 0 ]; do
  case $1 in
    --quick) quick=true ;;
    --only) only+=" $2 "; shift ;;
    --build) build=$2; shift ;;
    --out) out=$2; shift ;;
    *) sed -n '2,9s/^# \?//p' "$0" >&2; exit 2 ;;
  esac
  shift
done
for it in $only; do
  case $it in
    control | takeover | placement | settings | datapath | fleet) ;;
    *) echo "measure.sh: unknown measurement: $it" >&2; exit 2 ;;
  esac
done

is_selected() {
  [ -z "$only" ] || [[ $only == *" $1 "* ]]
}

programs=()
is_selected control || is_selected takeover && programs+=(takeover_bench)
is_selected placement && programs+=(placement_bench)
is_selected settings && programs+=(settings_bench)
is_selected datapath && programs+=(proxy_bench)
is_selected fleet && programs+=(gentianreachd gentianreachctl fake_platform fake_backend load)
ninja -C "$build" "${programs[@]}" > /dev/null
mkdir -p "$out"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# save NAME COMMAND: moves complete values to the output folder, so that a failed
# run leaves no partial file there.
save() {
  mv "$scratch/$1" "$out/$1.csv"
  commands[$1]=$2
}
declare -A commands

# measure NAME COMMAND...: saves the output of the command.
measure() {
  local name=$1
  shift
  echo "$(date +%T) $name: $*" >&2
  "$@" > "$scratch/$name"
  save "$name" "${*//$build\//build/}"
}

measure_control() {
  measure control "$build/takeover_bench" --slopes
}

measure_takeover() {
  measure takeover "$build/takeover_bench" --by-ranges --seeds "$($quick && echo 2 || echo 20)"
}

measure_placement() {
  local command=("$build/placement_bench" --slopes --csv)
  echo "$(date +%T) placement: ${command[*]}" >&2
  "${command[@]}" > "$scratch/all"
  # The first series varies the ranges up to 100000, the second the hot keys.
  awk -F, '/^[0-9]/ || $1 == "ranges"; $1 == 100000 { exit }' "$scratch/all" > "$scratch/placement_ranges"
  awk -F, '$1 == "ranges" { print; next } /^[a-z]/ { exit } second; $1 == 100000 { second = 1 }' \
    "$scratch/all" > "$scratch/placement_hot_keys"
  save placement_ranges "build/placement_bench --slopes --csv"
  save placement_hot_keys "build/placement_bench --slopes --csv"
}

measure_settings() {
  if $quick; then
    measure settings "$build/settings_bench" --csv 12 24 48
  else
    measure settings "$build/settings_bench" --csv 12 24 48 96 192 384 768
  fi
}

measure_datapath() {
  measure datapath "$build/proxy_bench" --fleet --seconds "$($quick && echo 0.3 || echo 2)"
}

measure_fleet() {
  local seconds=10 sizes=(4 8 12 16 24) it
  $quick && seconds=2 sizes=(4 8 12)
  scripts/measure_fleet.sh --header > "$scratch/fleet"
  for it in "${sizes[@]}"; do
    echo "$(date +%T) fleet: scripts/measure_fleet.sh $build $seconds $it" >&2
    scripts/measure_fleet.sh "$build" "$seconds" "$it" >> "$scratch/fleet"
  done
  save fleet "scripts/measure_fleet.sh build $seconds N"
}

# Prints one line for each slope: the file, the columns x and y, their units, the
# factor for y, and optionally the column and value that select the rows.
slopes() {
  cat << 'EOF'
control daemons cpu_ms_per_agent_second daemons ms/s 1 varied daemons
control servers cpu_ms_per_agent_second servers ms/s 1 varied servers
control ranges cpu_ms_per_agent_second ranges ms/s 1 varied ranges
control daemons heap_kib_per_agent daemons KiB 1 varied daemons
control servers heap_kib_per_agent servers KiB 1 varied servers
control ranges heap_kib_per_agent ranges KiB 1 varied ranges
control daemons peer_bytes_per_agent_second daemons B/s 1 varied daemons
control servers peer_bytes_per_agent_second servers B/s 1 varied servers
control ranges peer_bytes_per_agent_second ranges B/s 1 varied ranges
control daemons peer_messages_per_agent_second daemons messages/s 1 varied daemons
control servers peer_messages_per_agent_second servers messages/s 1 varied servers
control servers orders_per_agent_second servers orders/s 1 varied servers
control daemons store_reads_per_cell_second daemons reads/s 1 varied daemons
control ranges record_bytes ranges B 1 varied ranges
takeover ranges_per_server median_ms ranges/server ms 1
takeover ranges_per_server worst_ms ranges/server ms 1
placement_ranges ranges plan_us ranges us 1
placement_ranges ranges observe_us ranges us 1
placement_ranges ranges kilobytes ranges KiB 1
placement_hot_keys hot_keys plan_us hot-keys us 1
placement_hot_keys hot_keys observe_us hot-keys us 1
placement_hot_keys hot_keys kilobytes hot-keys KiB 1
settings daemons median_ms daemons ms 1
settings daemons worst_ms daemons ms 1
settings daemons idle_bytes daemons B/s 1
settings daemons full_bytes daemons B/s 1
settings daemons idle_calls daemons calls/s 1
settings daemons full_calls daemons calls/s 1
settings daemons cpu_share daemons ms/s 1000
datapath daemons cpu_us_median daemons us/request 1 varied daemons
datapath servers cpu_us_median servers us/request 1 varied servers
datapath daemons route_ns daemons ns 1 varied daemons
datapath servers route_ns servers ns 1 varied servers
fleet daemons cpu_ms_per_s_mean daemons ms/s 1
fleet daemons cpu_ms_per_s_max daemons ms/s 1
fleet daemons rss_kib_mean daemons KiB 1
fleet daemons peer_frames_out_per_s daemons frames/s 1
fleet daemons peer_bytes_out_per_s daemons B/s 1
fleet daemons peer_bytes_out_per_s_max daemons B/s 1
fleet daemons store_reads_per_s daemons calls/s 1
fleet daemons store_writes_per_s daemons calls/s 1
fleet daemons store_vms_per_s daemons calls/s 1
fleet daemons store_watches_since_start daemons calls 1
fleet daemons idle_connections_keyed daemons connections 1
fleet daemons idle_connections_plain daemons connections 1
fleet daemons loaded_connections_of_120 daemons connections 1
fleet daemons loaded_connections_of_8 daemons connections 1
EOF
}

# Fits all slopes. Keeps the previous fits of files that were not measured now.
fit_slopes() {
  local file x y x_unit y_unit scale where is header
  header="name,x unit,y unit,intercept,slope,standard error,sizes,command"
  echo "$header" > "$scratch/slopes"
  while read -r file x y x_unit y_unit scale where is; do
    local name="$file: $y by $x"
    if [ -z "${commands[$file]:-}" ]; then
      grep -F "$name," "$out/slopes.csv" >> "$scratch/slopes" 2> /dev/null || true
      continue
    fi
    awk -f scripts/fit.awk -v name="$name" -v x="$x" -v y="$y" -v x_unit="$x_unit" -v y_unit="$y_unit" \
      -v y_scale="$scale" -v where="${where:-}" -v is="${is:-}" -v command="${commands[$file]}" \
      "$out/$file.csv" >> "$scratch/slopes"
  done < <(slopes)
  mv "$scratch/slopes" "$out/slopes.csv"
}

# plot_slope FILE X Y X_UNIT Y_UNIT SCALE WHERE IS INTERCEPT SLOPE: plots the
# values and the fitted line.
plot_slope() {
  local svg="$out/$1-$3-by-$2.svg"
  awk -F, -v x="$2" -v y="$3" -v scale="$6" -v where="$7" -v is="$8" '
    NR == 1 { for (i = 1; i <= NF; i++) c[$i] = i; next }
    where != "" && $(c[where]) != is { next }
    { print $(c[x]), $(c[y]) * scale }' "$out/$1.csv" > "$scratch/points"
  gnuplot << EOF
set terminal svg size 480,320 font "sans,11" background "white"
set output "$svg"
set title "${1//_/ }: ${3//_/ }" noenhanced
set xlabel "${4//_/ }" noenhanced
set ylabel "$5" noenhanced
set grid
set rmargin 5
set key top left
set style circle radius graph 0.008
set style fill solid
set offsets graph 0.02, graph 0.04, graph 0.25, graph 0.05
set xrange [0:*]
set yrange [0:*]
plot "$scratch/points" using 1:2 with circles lc rgb "#1f4e79" title "measured", \
  $9 + (${10}) * x with lines lc rgb "#c55a11" title "fit"
EOF
}

plot_slopes() {
  local file x y x_unit y_unit scale where is fit
  while read -r file x y x_unit y_unit scale where is; do
    fit=$(grep -F "$file: $y by $x," "$out/slopes.csv") || continue
    plot_slope "$file" "$x" "$y" "$x_unit" "$y_unit" "$scale" "${where:-}" "${is:-}" \
      "$(cut -d, -f4 <<< "$fit")" "$(cut -d, -f5 <<< "$fit")"
  done < <(slopes)
}

# Records the machine that was measured. A run with --only appends its line.
write_machine() {
  [ -n "$only" ] && [ -e "$out/machine.csv" ] ||
    echo "date,cores,memory_mib,load_at_start,load_at_end,options" > "$out/machine.csv"
  echo "$(date -u +%FT%TZ),$(nproc),$(awk '/^MemTotal/ { print int($2 / 1024) }' /proc/meminfo),$load_at_start,$(cut -d' ' -f1 /proc/loadavg),$($quick && echo quick || echo whole)${only% }" >> "$out/machine.csv"
}

load_at_start=$(cut -d' ' -f1 /proc/loadavg)
for it in control takeover placement settings datapath fleet; do
  is_selected "$it" && "measure_$it"
done
fit_slopes
plot_slopes
write_machine
echo "$(date +%T) written to $out" >&2
