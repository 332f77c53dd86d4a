#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < .ci/packages.txt
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
apt-get install -y --no-install-recommends "${missing[@]}" >/dev/null
