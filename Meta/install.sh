#!/usr/bin/env bash
# Installs the Debian packages that the build needs, when one is missing.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache
  libboost1.81-dev libboost-log1.81-dev libboost-test1.81-dev libboost-random1.81-dev
  libcereal-dev prometheus-cpp-dev libgflags-dev libxxhash-dev
)

missing=()
for package in "${packages[@]}" "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

become_root=()
[ "$(id -u)" -eq 0 ] || become_root=(sudo)
"${become_root[@]}" apt-get update
DEBIAN_FRONTEND=noninteractive "${become_root[@]}" apt-get install -y --no-install-recommends "${missing[@]}"
