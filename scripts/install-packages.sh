#!/usr/bin/env bash
# Installs what the build, the tests and the checks need. Does nothing if all is there.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config curl python3
  clang-14 clang-format-14 clang-tidy-14 libclang-rt-14-dev
  libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev libboost-json1.81-dev
  libboost-test1.81-dev libnghttp2-dev prometheus-cpp-dev libcxxopts-dev liblog4cxx-dev
  librapidcheck-dev liburcu-dev libcereal-dev libxxhash-dev libssl-dev libconcurrentqueue-dev
  libbenchmark-dev spin gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
if [ "$(id -u)" -ne 0 ]; then
  echo "install-packages: run as root, or install: ${missing[*]}" >&2
  exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
