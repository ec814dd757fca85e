#!/usr/bin/env bash
# Installs the packages that the build and the tests need on Debian 12.
set -euo pipefail
packages="g++ cmake ninja-build pkg-config clang-format clang-tidy curl \
  libpoco-dev libgrpc++-dev libprotobuf-dev libabsl-dev liblog4cplus-dev \
  libexpected-dev libcpputest-dev libyaml-cpp-dev libboost-dev libssl-dev \
  libbenchmark-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -q
# shellcheck disable=SC2086
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing
