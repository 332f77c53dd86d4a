#!/usr/bin/env bash
# Tests that fit.awk fits a least-squares line to the selected rows.
# Usage: fit_test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# expect EXPECTED OPTIONS...: checks name, intercept, slope, standard error and sizes.
expect() {
  local expected=$1 got
  shift
  got=$(awk -f scripts/fit.awk -v name=n "$@" "$dir/values.csv" | cut -d, -f1,4-7)
  [ "$got" = "$expected" ] || { echo "FAILED: $* gives '$got', not '$expected'" >&2; exit 1; }
}

cat > "$dir/values.csv" << 'EOF'
varied,x,y,z
a,1,5,1
a,2,7,3
a,3,9,2
a,4,11,4
b,1,0,0
EOF
expect "n,3,2,0,1 2 3 4" -v x=x -v y=y -v where=varied -v is=a
expect "n,6,4,0,1 2 3 4" -v x=x -v y=y -v y_scale=2 -v where=varied -v is=a
# Calculated by hand: residuals -0.3, 0.9, -0.9, 0.3; sum of squares 1.8 over 2
# degrees of freedom and a spread of x of 5.
expect "n,0.5,0.8,0.424264,1 2 3 4" -v x=x -v y=z -v where=varied -v is=a

# Too few sizes and a missing column are errors.
for it in "-v x=x -v y=y -v where=varied -v is=b" "-v x=x -v y=w"; do
  # The options must be split into words.
  # shellcheck disable=SC2086
  if awk -f scripts/fit.awk -v name=n $it "$dir/values.csv" > /dev/null 2>&1; then
    echo "FAILED: no error for $it" >&2
    exit 1
  fi
done
echo "fit: ok"
